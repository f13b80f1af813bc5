#include <cmath>
#include <set>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/protocol/codec.hpp"

namespace teaselshore {
namespace {

    /// @brief Draws values of fields from bytes that RapidCheck generates.
    class Fields {
    public:
        explicit Fields(std::uint64_t seed)
            : random(seed)
        {
        }

        std::string text()
        {
            std::string result(this->random.below(20), ' ');
            for (char& byte : result)
                byte = static_cast<char>(this->random.below(256));
            return result;
        }
        std::uint64_t number() { return this->random.next() >> this->random.below(64); }
        std::uint32_t smallNumber() { return static_cast<std::uint32_t>(this->number()); }
        Duration duration() { return Duration(static_cast<Duration::rep>(this->random.next())); }
        bool flag() { return this->random.below(2) == 0; }
        std::size_t below(std::size_t bound) { return this->random.below(bound); }

        Member member()
        {
            return { NodeId("n" + this->text()), AvailabilityZone(this->text()), Region(this->text()), this->text(),
                this->number(), static_cast<MemberState>(this->below(4)) };
        }
        std::vector<Member> members()
        {
            std::vector<Member> result(this->below(4));
            for (Member& member : result)
                member = this->member();
            return result;
        }
        std::optional<std::string> optionalText() { return this->flag() ? std::optional(this->text()) : std::nullopt; }
        JournalHeaders headers()
        {
            JournalHeaders result(this->below(4));
            for (auto& header : result)
                header = { this->text(), this->text() };
            return result;
        }
        std::vector<ConfigurationPiece> pieces()
        {
            std::vector<ConfigurationPiece> result;
            for (std::size_t count = this->below(4); count > 0; --count) {
                if (this->flag())
                    result.emplace_back(CopiedChunks { this->smallNumber(), this->smallNumber() });
                else
                    result.emplace_back(this->text());
            }
            return result;
        }

        JournalRequest journalRequest()
        {
            return { RequestId(this->text()), { WorkspaceName(this->text()), IdempotencyKey(this->text()) },
                ServiceName(this->text()), RouteName(this->text()), this->text(), this->text(), this->headers(),
                this->text(), this->flag(), this->flag(), this->text() };
        }
        Answer answer()
        {
            switch (this->below(5)) {
            case 0:
                return AnswerFinished { { static_cast<int>(this->below(1000)), this->headers(), this->text(),
                    this->flag() } };
            case 1:
                return AnswerAccepted { RequestId(this->text()) };
            case 2:
                return AnswerNotRun { this->duration(), this->text() };
            case 3:
                return AnswerUnknown { this->duration() };
            default:
                return AnswerNotFound {};
            }
        }
        std::vector<SuspectReport> reports()
        {
            std::vector<SuspectReport> result(this->below(4));
            for (SuspectReport& report : result)
                report = { static_cast<SuspectReportKind>(this->below(5)), this->number(), UpstreamId(this->text()),
                    AvailabilityZone(this->text()), this->duration(), this->flag() };
            return result;
        }

        VersionPair pair()
        {
            return { ServiceName(this->text()), VersionName(this->text()), VersionName(this->text()),
                WallTime(std::chrono::seconds(this->below(1U << 31U))) };
        }
        EvidenceCounts counts()
        {
            return { this->number(), this->number(), this->number(), this->random.uniform(), -this->random.uniform() };
        }
        EvidenceCell cell()
        {
            return { RouteName(this->text()), ClassName(this->text()), static_cast<LoadBand>(this->below(3)) };
        }
        VersionEvidence evidence()
        {
            const EvidenceCell at = this->cell();
            const FaultScope scope { at.route, at.latencyClass, this->flag() ? std::optional(at.load) : std::nullopt };
            return { this->pair(), NodeId(this->text()),
                { static_cast<FaultKind>(this->below(2)), scope, this->counts(), this->counts() } };
        }

    private:
        RandomSource random;
    };

    std::vector<PeerMessage> everyMessage(Fields& fields)
    {
        return {
            MembershipMessage(
                Ping { fields.number(), fields.member(), fields.flag(), fields.number(), fields.members() }),
            MembershipMessage(PingRequest {
                fields.number(), fields.member(), NodeId(fields.text()), fields.text(), fields.members() }),
            MembershipMessage(
                Ack { fields.number(), fields.member(), fields.number(), fields.flag(), fields.members() }),
            ConfigurationMessage(ConfigurationDigest { fields.number(), fields.number() }),
            ConfigurationMessage(
                ConfigurationRequest { fields.number(), fields.number(), { fields.number(), fields.number() } }),
            ConfigurationMessage(ConfigurationText {
                fields.number(), fields.number(), fields.number(), fields.flag(), fields.pieces() }),
            RequestMessage(
                ForwardedRequest { fields.number(), fields.smallNumber(), fields.journalRequest(), std::nullopt }),
            RequestMessage(ForwardedRequest {
                fields.number(), fields.smallNumber(), fields.journalRequest(), UpstreamId(fields.text()) }),
            RequestMessage(ForwardedRead { fields.number(), fields.smallNumber(), RequestId(fields.text()) }),
            RequestMessage(ForwardedAnswer { fields.number(), fields.smallNumber(), fields.answer() }),
            RequestMessage(SuspectReports { fields.reports() }),
            RequestMessage(fields.evidence()),
            RequestMessage(VersionReport { fields.pair(), NodeId(fields.text()), fields.number(),
                { { fields.cell(), VersionName(fields.text()), fields.counts() },
                    { fields.cell(), VersionName(fields.text()), fields.counts() } },
                fields.flag() ? std::optional(fields.evidence()) : std::nullopt }),
            RequestMessage(MoveUpdate {
                { { ServiceName("s"), VersionName("a"), VersionName("b"), WallTime() }, RolloutState::RolledBack,
                    "reason", fields.smallNumber(), 0.25, WallTime(), WallTime(), fields.number(), {} } }),
            RequestMessage(UpstreamLeaving { UpstreamId(fields.text()), fields.duration() }),
            RequestMessage(HandOver { NodeId(fields.text()), OwnerInstance(fields.text()), fields.number(),
                fields.optionalText(), { fields.text(), fields.text() } }),
            RequestMessage(HandOverAck { OwnerInstance(fields.text()) }),
            EntryMessage(QuotaLoanRequest {
                fields.number(), WorkspaceName(fields.text()), static_cast<double>(fields.smallNumber()) }),
            EntryMessage(RelayedReport { fields.text() }),
            EntryMessage(QuotaLoan { fields.number(), static_cast<double>(fields.smallNumber()) }),
            EntryMessage(QuotaReturn { WorkspaceName(fields.text()), static_cast<double>(fields.smallNumber()) }),
            EntryMessage(NewerConfigurationRequest { fields.number() }),
            EntryMessage(
                RefusalReport { { { UpstreamId(fields.text()), 3, 4 }, { UpstreamId(fields.text()), 5, 6 } } }),
            EntryMessage(LimitReport { { { UpstreamId(fields.text()), 1.6, std::chrono::seconds(fields.smallNumber()) },
                { UpstreamId(fields.text()), std::nullopt, Duration::zero() } } }),
            EntryMessage(
                BrittlenessReport { { { ServiceName(fields.text()), 2.5, std::chrono::seconds(fields.smallNumber()) },
                                        { ServiceName(fields.text()), std::nullopt, Duration::zero() } },
                    { { UpstreamId(fields.text()), 3, std::nullopt }, { UpstreamId(fields.text()), 0, 7 } } }),
            EntryMessage(ColdReport { { { UpstreamId(fields.text()), std::chrono::seconds(7), Duration(3) },
                { UpstreamId(fields.text()), Duration::zero(), std::chrono::seconds(9) } } }),
            EntryMessage(ConfigurationCopy { fields.number(), fields.text() }),
            EntryMessage(EvacuationReport {
                { { AvailabilityZone(fields.text()), true, fields.number(), std::chrono::seconds(fields.below(1000)) },
                    { AvailabilityZone(fields.text()), false, fields.number(), Duration::zero() },
                    { AvailabilityZone(fields.text()), true, fields.number(), std::chrono::seconds(1),
                        std::chrono::seconds(fields.below(1000)) } },
                fields.flag() ? std::optional(fields.number()) : std::nullopt, fields.flag() }),
            EntryMessage(PlatformContactRequest {}),
            EntryMessage(PlatformContact { std::chrono::seconds(7), std::chrono::milliseconds(3),
                fields.flag() ? std::optional(Duration(std::chrono::seconds(9))) : std::nullopt }),
            EntryMessage(RolloutDecision {
                ServiceName(fields.text()), VersionName(fields.text()), RolloutOrder::State::RolledBack, 0.25 }),
            EntryMessage(CrashReport { { { 1ULL << 63U, UpstreamId(fields.text()),
                std::chrono::seconds(fields.smallNumber()), std::chrono::seconds(fields.smallNumber()), true } } }),
        };
    }

    // Guards against a field that is lost or exchanged with another one, and against a message type without encoding.
    RC_GTEST_PROP(Codec, DecodesWhatItEncoded, (std::uint64_t seed))
    {
        Fields fields(seed);
        const std::vector<PeerMessage> messages = everyMessage(fields);
        std::set<std::pair<std::size_t, std::size_t>> types;
        for (const PeerMessage& message : messages)
            types.emplace(message.index(), std::visit([](const auto& group) { return group.index(); }, message));
        const std::size_t expected
            = std::variant_size_v<
                  MembershipMessage> + std::variant_size_v<ConfigurationMessage> + std::variant_size_v<RequestMessage> + std::variant_size_v<EntryMessage>;
        RC_ASSERT(types.size() == expected);
        for (const PeerMessage& message : messages) {
            const Envelope envelope { NodeId(fields.text()), fields.text(), fields.text(), message };
            ProtocolError error {};
            const std::optional<Envelope> decoded = decode(encode(envelope), error);
            RC_ASSERT(decoded == envelope);
        }
    }

    // Guards against a crash or unbounded allocation caused by random bytes from the network.
    RC_GTEST_PROP(Codec, SurvivesRandomBytes, (const std::vector<std::uint8_t>& bytes))
    {
        ProtocolError error {};
        decode(std::string(bytes.begin(), bytes.end()), error);
    }

    // Guards against a crash caused by a message that was truncated or damaged on the way.
    RC_GTEST_PROP(Codec, SurvivesMutatedMessages, (std::uint64_t seed))
    {
        Fields fields(seed);
        for (const PeerMessage& message : everyMessage(fields)) {
            std::string bytes = encode({ NodeId(fields.text()), fields.text(), fields.text(), message });
            for (int mutation = 0; mutation < 20; ++mutation) {
                const std::size_t position = fields.below(bytes.size());
                bytes[position] = static_cast<char>(fields.below(256));
                ProtocolError error {};
                decode(bytes, error);
                decode(std::string_view(bytes).substr(0, position), error);
            }
        }
    }

    // Guards against messages of another protocol version, of an unknown type or with a value from a later version
    // being taken for something else.
    TEST(Codec, RefusesUnknownVersionTypeAndValue)
    {
        ProtocolError error {};
        const auto digest = ConfigurationMessage(ConfigurationDigest { 1, 2 });
        std::string bytes = encode({ NodeId("a"), "b", "c", digest });
        ASSERT_EQ(bytes[1], static_cast<char>(protocolVersion));
        bytes[1] = static_cast<char>(protocolVersion + 1);
        EXPECT_FALSE(decode(bytes, error));
        EXPECT_EQ(error, ProtocolError::UnsupportedVersion);

        const std::string withoutMessage { '\x08', static_cast<char>(protocolVersion) };
        EXPECT_FALSE(decode(withoutMessage, error));
        EXPECT_EQ(error, ProtocolError::UnknownMessage);
        // A message of a later release: field 1000 of the envelope, empty.
        EXPECT_FALSE(decode(withoutMessage + "\xc2\x3e" + std::string(1, '\0'), error));
        EXPECT_EQ(error, ProtocolError::UnknownMessage);

        // A time in the future, or one that cannot be subtracted from an Instant.
        for (const Duration age : { Duration(-1), Duration::max() }) {
            const EvacuationReport evacuated { { { AvailabilityZone("a"), true, 1, age } }, std::nullopt, false };
            EXPECT_FALSE(decode(encode({ NodeId("a"), "b", "c", EntryMessage(evacuated) }), error));
            EXPECT_EQ(error, ProtocolError::InvalidValue);
            const EvacuationReport missing { { { AvailabilityZone("a"), true, 1, std::chrono::seconds(1), age } },
                std::nullopt, false };
            EXPECT_FALSE(decode(encode({ NodeId("a"), "b", "c", EntryMessage(missing) }), error));
            EXPECT_EQ(error, ProtocolError::InvalidValue);
        }

        const SuspectReport report { .kind = SuspectReportKind::Excused };
        std::string invalid = encode({ NodeId("a"), "b", "c", RequestMessage(SuspectReports { { report } }) });
        ASSERT_EQ(invalid.back(), '\x04');
        invalid.back() = '\x09';
        EXPECT_FALSE(decode(invalid, error));
        EXPECT_EQ(error, ProtocolError::InvalidValue);

        // An amount that is no number would empty or fill a share for good.
        for (const double amount : { -1.0, std::nan(""), HUGE_VAL }) {
            for (const EntryMessage& message : { EntryMessage(QuotaLoan { 1, amount }),
                     EntryMessage(QuotaReturn { WorkspaceName("north"), amount }) }) {
                EXPECT_FALSE(decode(encode({ NodeId("a"), "b", "c", message }), error));
                EXPECT_EQ(error, ProtocolError::InvalidValue);
            }
        }

        EXPECT_FALSE(decode("\xff\xff\xff", error));
        EXPECT_EQ(error, ProtocolError::Malformed);
    }

} // namespace
} // namespace teaselshore
