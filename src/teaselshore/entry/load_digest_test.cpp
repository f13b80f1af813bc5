#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iostream>
#include <memory>
#include <numeric>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "entry_test_support.hpp"
#include "load_digest_exchange.hpp"
#include "teaselshore/routing/queueing_fake.hpp"
#include "upstream_routing.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;
    using test_support::EngineJob;
    using test_support::EventQueue;
    using test_support::FakeEngine;

    enum class Choice { Today, Random, Digest, Subsets, FullKnowledge };

    constexpr std::uint32_t slots = 16;
    constexpr std::size_t subsetSize = 12;
    constexpr std::array<double, 3> zoneSlowness { 0.7, 0.7, 1.7 };
    constexpr double shareOfSlowTime = 0.15;
    constexpr double momentarySlowness = 2.5;
    constexpr Duration latencyTarget = 400ms;
    /// Prompt tokens that an engine of the page reads while the fake engine reads one.
    constexpr double tokenScale = 12;
    /// Counted as the age of information that there is none of.
    constexpr double unknownAge = 10;

    RegisteredUpstream engine(std::size_t number)
    {
        RegisteredUpstream upstream = EntryHarness::upstream(static_cast<int>(number), slots);
        upstream.zone = AvailabilityZone(fmt::format("zone-{}", number % zoneSlowness.size()));
        return upstream;
    }

    std::string addressOf(std::size_t node) { return fmt::format("10.1.0.{}:7000", node); }

    /// A node's state and digest, without the rest of an EntryNode.
    struct Node {
        Node(std::size_t number, std::size_t nodes)
            : state(settings(number))
            , exchange(state)
        {
            EntryConfiguration configuration = EntryHarness::configuration();
            configuration.services[0].isEngine = true;
            this->state.table = std::make_shared<const RouteTable>(configuration);
            this->state.liveNodes = nodes;
            std::vector<std::string> peers;
            for (std::size_t peer = 0; peer < nodes; ++peer) {
                if (peer != number)
                    peers.push_back(addressOf(peer));
            }
            this->state.peerAddresses = peers;
            this->state.borrower.setPeers(std::move(peers));
        }

        static EntryNodeSettings settings(std::size_t number)
        {
            EntryNodeSettings result = EntryHarness::settings(number + 1, fmt::format("host-{}", number));
            result.host.zones.clear();
            for (std::size_t zone = 0; zone < zoneSlowness.size(); ++zone)
                result.host.zones.emplace_back(fmt::format("zone-{}", zone));
            result.host.zone = result.host.zones[number % zoneSlowness.size()];
            return result;
        }

        void list(const std::vector<RegisteredUpstream>& upstreams, Instant now)
        {
            this->state.directory.onListed(upstreams, now);
            this->state.instances = usableInstances(upstreams);
            this->state.router.onConfiguration(
                routingConfiguration(this->state.table->configuration(), upstreams, this->state.settings.host), now);
            this->state.router.setVersionShare(ServiceName("app"), VersionName("v1"), 1);
            this->exchange.onUpstreams();
        }

        /// Returns the digests sent at a tick.
        std::vector<std::pair<std::string, LoadDigest>> tick(Instant now)
        {
            this->state.router.onTick(now);
            this->exchange.onTick(now);
            std::vector<std::pair<std::string, LoadDigest>> sent;
            for (EntryCommand& command : std::exchange(this->state.commands, {})) {
                auto& message = std::get<SendEntryMessage>(command);
                sent.emplace_back(message.address, std::get<LoadDigest>(message.message));
            }
            return sent;
        }

        std::optional<double> predicted(const UpstreamId& upstream, Instant now)
        {
            RoutingRequest request;
            request.service = ServiceName("app");
            request.latencyClass = ClassName("query");
            request.promptTokens = 100;
            for (const RegisteredUpstream& other : this->state.directory.upstreams()) {
                if (other.id() != upstream)
                    request.excluded.push_back(other.id());
            }
            const auto decision = this->state.router.choose(request, now);
            return decision ? std::optional(toSeconds(decision->chosen.predictedFirstToken)) : std::nullopt;
        }

        EntryState state;
        LoadDigestExchange exchange;
    };

    /// Many nodes in front of engines of three speeds that are slow at times, with bursts of requests of two sizes.
    class Fleet {
    public:
        Fleet(Choice choice, std::size_t nodeCount, std::size_t engineCount)
            : choice(choice)
            , random(7)
            , work(engineCount)
        {
            const Instant now = this->events.now();
            for (std::size_t i = 0; i < engineCount; ++i)
                this->engines.emplace_back(this->events, slots);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                std::vector<RegisteredUpstream> upstreams;
                const std::size_t count = choice == Choice::Subsets ? std::min(subsetSize, engineCount) : engineCount;
                for (std::size_t k = 0; k < count; ++k)
                    upstreams.push_back(engine((i * engineCount / nodeCount + k) % engineCount));
                this->nodes.push_back(std::make_unique<Node>(i, nodeCount));
                this->nodes.back()->list(upstreams, now);
                this->events.after(fromSeconds(0.1 * this->random.uniform()), [this, i] { this->tick(i); });
                this->scheduleArrival(i);
            }
            this->changeSpeeds();
        }

        void run(Duration time) { this->events.runUntil(this->events.now() + time); }

        double shareInTime() const { return this->arrived == 0 ? 0 : this->inTime / this->arrived; }
        /// Returns the largest ratio of an engine's used time to the mean.
        double busiest() const
        {
            const double sum = std::accumulate(this->work.begin(), this->work.end(), 0.0);
            return *std::max_element(this->work.begin(), this->work.end()) * static_cast<double>(this->work.size())
                / sum;
        }
        double meanAge() const { return this->ageSum / this->arrived; }
        double medianAge()
        {
            std::nth_element(this->ages.begin(),
                this->ages.begin() + static_cast<std::ptrdiff_t>(this->ages.size() / 2), this->ages.end());
            return this->ages[this->ages.size() / 2];
        }
        /// Returns the bytes that a node sends per second; see the sizes in codec_test.cpp.
        double bytesPerNode() const
        {
            return this->bytes / static_cast<double>(this->nodes.size())
                / toSeconds(this->events.now().time_since_epoch());
        }

        /// Links that lose all messages.
        std::set<std::pair<std::size_t, std::size_t>> cut;
        std::optional<std::size_t> liar;

    private:
        void scheduleArrival(std::size_t node)
        {
            constexpr double perSecond = 12;
            // Bursts of a second at 1.6 times the mean rate, on all nodes at once.
            const bool isBurst = std::fmod(toSeconds(this->events.now().time_since_epoch()), 3) < 1;
            const double mean = 1 / (perSecond * (isBurst ? 1.6 : 0.7));
            this->events.after(fromSeconds(this->random.exponential(mean)), [this, node] {
                this->arrive(node);
                this->scheduleArrival(node);
            });
        }

        void changeSpeeds()
        {
            for (std::size_t i = 0; i < this->engines.size(); ++i) {
                const double now = this->random.uniform() < shareOfSlowTime ? momentarySlowness : 1;
                this->engines[i].slowdownFactor = zoneSlowness[i % zoneSlowness.size()] * now;
            }
            this->events.after(600ms, [this] { this->changeSpeeds(); });
        }

        void tick(std::size_t number)
        {
            const Instant now = this->events.now();
            for (auto& [address, digest] : this->nodes[number]->tick(now)) {
                if (this->choice != Choice::Digest)
                    continue;
                this->bytes += 100 + 16.0 * static_cast<double>(digest.entries.size());
                if (this->liar == number)
                    digest = this->lie();
                const std::size_t receiver = std::stoul(address.substr(addressOf(0).find("0:")));
                if (this->cut.contains({ number, receiver }))
                    continue;
                this->events.after(3ms, [this, number, receiver, digest = digest] {
                    this->nodes[receiver]->exchange.onDigest(addressOf(number), digest, this->events.now());
                });
            }
            this->events.after(100ms, [this, number] { this->tick(number); });
        }

        /// Half of the engines are said to be idle, and the others to be full.
        LoadDigest lie()
        {
            LoadDigest digest;
            for (int i = 0; i < 20; ++i) {
                const std::size_t number = this->random.below(this->engines.size());
                const std::uint32_t load = number % 2 == 0 ? 0 : 1'000'000;
                digest.entries.push_back({ LoadDigest::key(engine(number).id()), load, load,
                    number % 2 == 0 ? 1 : 100'000U, load, number % 2 == 0 ? 1'000'000U : 1U, 0ms });
            }
            return digest;
        }

        double oracleCost(std::size_t number, double tokens) const
        {
            const FakeEngine& fake = this->engines[number];
            const double wait = fake.running < slots ? 0 : 0.6 * static_cast<double>(fake.queued() + 1) / slots;
            return toSeconds(fake.pendingPrefill())
                + fake.slowdownFactor * (tokens / FakeEngine::prefillPerSecond + wait);
        }

        std::size_t choose(Node& node, RoutingRequest& request, DispatchId& dispatch)
        {
            const Instant now = this->events.now();
            if (this->choice == Choice::Random)
                return this->random.below(this->engines.size());
            if (this->choice == Choice::FullKnowledge) {
                const std::size_t first = this->random.below(this->engines.size());
                std::size_t best = first;
                for (std::size_t k = 1; k < this->engines.size(); ++k) {
                    const std::size_t i = (first + k) % this->engines.size();
                    if (this->oracleCost(i, request.promptTokens) < this->oracleCost(best, request.promptTokens))
                        best = i;
                }
                return best;
            }
            const auto decision = node.state.router.choose(request, now);
            if (!decision)
                return this->random.below(this->engines.size());
            const auto age = node.state.router.loadAge(decision->chosen.upstream, now);
            const double seconds = age ? std::min(unknownAge, toSeconds(*age)) : unknownAge;
            this->ageSum += seconds;
            this->ages.push_back(seconds);
            dispatch = node.state.router.onDispatched(request, *decision, now);
            const std::string& id = decision->chosen.upstream.value();
            return std::stoul(id.substr(2));
        }

        void arrive(std::size_t number)
        {
            Node& node = *this->nodes[number];
            RoutingRequest request;
            request.service = ServiceName("app");
            request.latencyClass = ClassName("query");
            const bool isLong = this->random.uniform() < 0.15;
            request.promptTokens
                = static_cast<std::uint32_t>((isLong ? this->random.exponential(6610) : 1800) / tokenScale);
            request.expectedOutputTokens = 50;
            DispatchId dispatch;
            const std::size_t chosen = this->choose(node, request, dispatch);
            const double seconds = request.promptTokens / FakeEngine::prefillPerSecond;
            this->work[chosen] += seconds * zoneSlowness[chosen % zoneSlowness.size()];
            ++this->arrived;

            const Instant start = this->events.now();
            const double hold = 0.1 * std::pow(20, this->random.uniform());
            auto job = std::make_shared<EngineJob>();
            job->prefillTokens = request.promptTokens;
            job->prefix = ++this->prefixes;
            job->outputTokens = hold / FakeEngine::secondsPerToken;
            job->onFirstToken = [this, &node, dispatch, chosen, start] {
                this->inTime += this->events.now() - start <= latencyTarget ? 1 : 0;
                this->report(node, chosen);
                node.state.router.onFirstToken(dispatch, this->events.now());
            };
            job->onEnd = [this, &node, dispatch, chosen, tokens = job->outputTokens] {
                node.state.router.onFinished(
                    dispatch, AttemptOutcome::Completed, static_cast<std::uint32_t>(tokens), this->events.now());
                this->report(node, chosen);
            };
            this->engines[chosen].submit(job);
        }

        void report(Node& node, std::size_t number)
        {
            const FakeEngine& fake = this->engines[number];
            const UpstreamId id = engine(number).id();
            const double slowness = fake.slowdownFactor / zoneSlowness[number % zoneSlowness.size()];
            const ResponseFacts::Load load { fake.running, static_cast<std::uint32_t>(fake.queued()), slots,
                static_cast<std::uint32_t>(std::lround(100 * slowness)) };
            node.state.router.onLoadReport(
                { id, load.waiting, load.running, 0ms, load.slots, static_cast<float>(slowness) }, this->events.now());
            node.exchange.onLoad(id, load, this->events.now());
        }

        Choice choice;
        RandomSource random;
        EventQueue events;
        std::deque<FakeEngine> engines;
        std::vector<std::unique_ptr<Node>> nodes;
        std::vector<double> work;
        std::vector<double> ages;
        double ageSum = 0;
        double arrived = 0;
        double inTime = 0;
        double bytes = 0;
        Fingerprint prefixes = 0;
    };

    // Guards against choices by information that is older than the work it describes, against requests that rush to the
    // same upstreams, and against a cost that grows with the fleet. Prints how the alternatives compare.
    TEST(LoadDigest, ComparedWithOtherChoices)
    {
        const std::array<std::pair<Choice, const char*>, 5> choices { { { Choice::Today, "own responses" },
            { Choice::Random, "random" }, { Choice::Digest, "digest" }, { Choice::Subsets, "subsets of 12" },
            { Choice::FullKnowledge, "full knowledge" } } };
        std::cout << "nodes  choice          mean age  median age  busiest/mean  in time  bytes/node/s\n";
        for (const auto& [nodes, engines] :
            { std::pair<std::size_t, std::size_t> { 9, 9 }, { 69, 72 }, { 300, 300 } }) {
            std::map<Choice, double> inTime;
            for (const auto& [choice, name] : choices) {
                Fleet fleet(choice, nodes, engines);
                fleet.run(nodes > 100 ? 9s : 18s);
                inTime[choice] = fleet.shareInTime();
                const bool hasAge = choice != Choice::Random && choice != Choice::FullKnowledge;
                const double median = hasAge ? fleet.medianAge() : 0;
                std::cout << fmt::format("{:5}  {:14}  {:8.3f}  {:10.3f}  {:12.2f}  {:7.4f}  {:12.0f}\n", nodes, name,
                    hasAge ? fleet.meanAge() : 0, median, fleet.busiest(), fleet.shareInTime(), fleet.bytesPerNode());
                if (choice != Choice::Digest)
                    continue;
                EXPECT_LE(fleet.bytesPerNode(), 4096);
                if (nodes < 16)
                    EXPECT_EQ(fleet.bytesPerNode(), 0) << "a small fleet sends no digests";
                else
                    EXPECT_LT(median, 0.6);
            }
            EXPECT_GE(inTime[Choice::Digest], inTime[Choice::Today] - 0.005);
            EXPECT_GT(inTime[Choice::Digest], inTime[Choice::Random]);
        }
    }

    // Guards against a node whose false digest makes others serve fewer requests in time, and against choices that get
    // worse than without digests when a third of the links is cut.
    TEST(LoadDigest, LiesAndCutLinksDoLittleHarm)
    {
        Fleet today(Choice::Today, 69, 72);
        today.run(12s);
        Fleet lied(Choice::Digest, 69, 72);
        lied.liar = 5;
        lied.run(12s);
        Fleet cut(Choice::Digest, 69, 72);
        for (std::size_t from = 0; from < 69; ++from) {
            for (std::size_t to = 0; to < 69; ++to) {
                if ((from < 23) != (to < 23))
                    cut.cut.emplace(from, to);
            }
        }
        cut.run(12s);
        std::cout << fmt::format("in time: without digests {:.4f}, with a liar {:.4f}, with cut links {:.4f}\n",
            today.shareInTime(), lied.shareInTime(), cut.shareInTime());
        EXPECT_GE(lied.shareInTime(), today.shareInTime() - 0.01);
        EXPECT_GE(cut.shareInTime(), today.shareInTime() - 0.01);
    }

    LoadDigest digestOf(std::size_t number, std::uint32_t running, std::uint32_t waiting, Duration age = 0ms)
    {
        return { LoadDigest::currentVersion, true,
            { { LoadDigest::key(engine(number).id()), running, waiting, 100, 0, 0, age } } };
    }

    // Guards against statements that outlive the node that made them, and against an older statement that replaces a
    // younger one.
    TEST(LoadDigest, StatementsFadeWithinTwoSeconds)
    {
        Instant now { 100s };
        Node node(0, 20);
        node.list({ engine(1), engine(2) }, now);
        const double usual = *node.predicted(engine(1).id(), now);
        LoadDigest digest = digestOf(1, 16, 32);
        digest.entries[0].slowness = 400;
        digest.entries[0].promptTokens = 50'000;
        node.exchange.onDigest("a", digest, now);
        EXPECT_GT(*node.predicted(engine(1).id(), now), 2 * usual);
        node.exchange.onDigest("b", digestOf(1, 0, 0, 500ms), now);
        EXPECT_GT(*node.predicted(engine(1).id(), now), 2 * usual) << "an older statement";
        const double other = *node.predicted(engine(2).id(), now + 2s);
        EXPECT_NEAR(*node.predicted(engine(1).id(), now + 2s), other, 0.01 * other);
        EXPECT_TRUE(node.tick(now + 1100ms).empty()) << "an old statement is sent on";
        node.exchange.onDigest("a", digest, now + 2s);
        node.exchange.onDigest("b", digestOf(1, 0, 0), now + 2100ms);
        node.exchange.onDigest("a", digestOf(1, 0, 0), now + 2100ms);
        EXPECT_LT(*node.predicted(engine(1).id(), now + 2100ms), 1.01 * usual) << "a younger statement";
    }

    // Guards against an upstream that gets no requests at all since a peer says that it is full.
    TEST(LoadDigest, PeersAloneMakeNoUpstreamUnavailable)
    {
        const Instant now { 100s };
        Node node(0, 20);
        node.list({ engine(1) }, now);
        node.exchange.onDigest("a", digestOf(1, 1'000'000, 1'000'000), now);
        EXPECT_TRUE(node.predicted(engine(1).id(), now));
    }

    // Guards against counting this node's own requests as those of others, and against an estimate that does not rise
    // with the node's own dispatches.
    TEST(LoadDigest, OwnRequestsAreNoRequestsOfOthers)
    {
        Instant now { 100s };
        Node node(0, 20);
        node.list({ engine(1) }, now);
        RoutingRequest request;
        request.service = ServiceName("app");
        request.latencyClass = ClassName("query");
        std::vector<DispatchId> open;
        open.reserve(3);
        for (int i = 0; i < 3; ++i)
            open.push_back(node.state.router.onDispatched(request, *node.state.router.choose(request, now), now));
        now += 100ms;
        node.state.router.onFinished(open[0], AttemptOutcome::Cancelled, 0, now);
        node.state.router.onFinished(open[1], AttemptOutcome::Cancelled, 0, now);
        const UpstreamId id = engine(1).id();
        // Measured while all three ran.
        node.exchange.onDigest("a", digestOf(1, 5, 0, 50ms), now);
        EXPECT_NEAR(node.state.router.othersOutstanding(id, now), 2, 0.2);
        // Measured after two of them had ended.
        now += 40ms;
        node.exchange.onDigest("a", digestOf(1, 3, 0, 5ms), now);
        EXPECT_NEAR(node.state.router.othersOutstanding(id, now), 2, 0.2);
        node.state.router.onDispatched(request, *node.state.router.choose(request, now), now);
        EXPECT_EQ(node.state.router.status(id, now)->outstanding, 2U);
        EXPECT_NEAR(node.state.router.othersOutstanding(id, now), 2, 0.2);
    }

    // Guards against digests and load reports that do not reach the digest of a node or its statistics, and against
    // messages of a node without peers.
    TEST(LoadDigest, IsPartOfTheNode)
    {
        EntryHarness harness;
        EntryConfiguration configuration = EntryHarness::configuration();
        configuration.services[0].isEngine = true;
        harness.send(EntryConfigurationRead { configuration });
        harness.send(UpstreamsListed { { EntryHarness::upstream(1) } });
        LoadDigest digest = digestOf(1, 2, 0, 100ms);
        digest.entries[0].upstream = LoadDigest::key(EntryHarness::upstream(1).id());
        harness.send(EntryMessageReceived { "10.0.0.9:7000", digest });
        harness.request("query");
        const AttemptId attempt = harness.first<ForwardRequest>()->attempt.attempt;
        harness.advance(20ms);
        UpstreamStreamStarted started { attempt, {} };
        started.facts.load = ResponseFacts::Load { 1, 0, 4, 100 };
        harness.send(started);
        const EntryStatistics statistics = harness.node.statistics();
        EXPECT_EQ(statistics.receivedLoadDigests, 1U);
        EXPECT_EQ(statistics.informedChoices, 1U);
        EXPECT_EQ(statistics.loadAges, 105ms);
        EXPECT_EQ(statistics.predictedStreams, 1U);
        EXPECT_EQ(statistics.actualFirstEvents, 20ms);
        EXPECT_GT(statistics.predictionErrors, 0ms);
        harness.advance(300ms);
        EXPECT_TRUE(harness.all<SendEntryMessage>().empty());
    }

    // Guards against statements about upstreams that were removed or replaced, and against a digest of plain services.
    TEST(LoadDigest, FollowsTheRegisteredUpstreams)
    {
        Instant now { 100s };
        Node node(0, 20);
        node.list({ engine(1) }, now);
        node.exchange.onLoad(engine(1).id(), { 3, 0, slots, 100 }, now);
        node.exchange.onLoad(engine(2).id(), { 3, 0, slots, 100 }, now);
        node.exchange.onDigest("a", digestOf(3, 3, 0), now);
        auto sent = node.tick(now);
        ASSERT_EQ(sent.size(), 2U);
        ASSERT_EQ(sent[0].second.entries.size(), 1U);
        EXPECT_EQ(sent[0].second.entries[0].upstream, LoadDigest::key(engine(1).id()));
        RegisteredUpstream replaced = engine(1);
        ++replaced.startedAt;
        node.list({ replaced, engine(2) }, now);
        EXPECT_TRUE(node.tick(now += 200ms).empty()) << "of an earlier process";
        node.exchange.onLoad(engine(2).id(), { 3, 0, slots, 100 }, now);
        EXPECT_EQ(node.tick(now += 200ms).size(), 2U);
        EntryConfiguration plain = EntryHarness::configuration();
        node.state.table = std::make_shared<const RouteTable>(plain);
        node.exchange.onUpstreams();
        EXPECT_TRUE(node.tick(now += 200ms).empty());
    }

} // namespace
} // namespace teaselshore
