#include <array>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"
#include "teaselshore/entry/evacuated_zones.hpp"
#include "teaselshore/entry/upstream_links.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;
    constexpr int serviceUnavailable = 503;
    const AvailabilityZone zoneA("zone-a");
    const AvailabilityZone zoneB("zone-b");

    RegisteredUpstream upstreamIn(int number, const AvailabilityZone& zone, std::uint32_t slots = 4)
    {
        RegisteredUpstream upstream = EntryHarness::upstream(number, slots);
        upstream.zone = zone;
        return upstream;
    }

    EntryNodeSettings enabledSettings(std::uint64_t seed)
    {
        EntryNodeSettings settings = EntryHarness::settings(seed, "host-a");
        settings.host.evacuations = true;
        return settings;
    }

    /// A node with the upstreams 1 and 2 in one zone, and 3 and 4 in another one.
    class EvacuationTest : public testing::Test {
    protected:
        void start(std::uint32_t slots = 4, int inOtherZone = 2)
        {
            this->harness.send(ClockRead { 1'000'000s });
            this->harness.send(EntryConfigurationRead { EntryHarness::configuration() });
            UpstreamsListed listed { { upstreamIn(1, zoneA, slots), upstreamIn(2, zoneA, slots) } };
            for (int number = 3; number < 3 + inOtherZone; ++number)
                listed.upstreams.push_back(upstreamIn(number, zoneB, slots));
            this->harness.send(std::move(listed));
            this->harness.send(EvacuationsListed { {}, 100 });
        }

        void knowPeers()
        {
            NodeReportsRead read;
            for (const char* host : { "host-b", "host-c" }) {
                NodeReport report;
                report.host = host;
                report.process = NodeId(std::string(host) + "-1");
                report.peerAddress = std::string(host) + ":1";
                report.relayAddress = std::string(host) + ":2";
                report.number = 1;
                read.reports.push_back(report.encode());
            }
            this->harness.send(std::move(read));
        }

        static bool isInZoneA(const ForwardRequest& forward)
        {
            return forward.attempt.upstream == EntryHarness::upstream(1).id()
                || forward.attempt.upstream == EntryHarness::upstream(2).id();
        }

        /// @brief Sends a request and returns its attempt. Precondition: it is sent at once.
        ForwardRequest sendRequest(const std::string& route = "order")
        {
            this->harness.request(route);
            return this->harness.first<ForwardRequest>().value();
        }

        /// @brief Sends a request until one goes to the zone, and returns its attempt; the others remain open.
        ForwardRequest sendRequestTo(bool isToZoneA, const std::string& route)
        {
            for (;;) {
                ForwardRequest forward = this->sendRequest(route);
                if (isInZoneA(forward) == isToZoneA)
                    return forward;
            }
        }

        std::set<bool> zonesOfRequests(int count)
        {
            std::set<bool> zones;
            for (int number = 0; number < count; ++number) {
                const ForwardRequest forward = this->sendRequest();
                zones.insert(isInZoneA(forward));
                this->harness.respond(forward.attempt.attempt, statusOk);
                this->harness.advance(10ms);
            }
            return zones;
        }

        void expectRefusedAtOnce()
        {
            const auto response = this->harness.first<Respond>();
            ASSERT_TRUE(response);
            EXPECT_EQ(response->status, serviceUnavailable);
            EXPECT_EQ(response->headers.back().first, "retry-after");
            EXPECT_GE(std::stod(response->headers.back().second), 1);
            EXPECT_FALSE(this->harness.first<ForwardRequest>());
            EXPECT_FALSE(this->harness.first<RelayRequest>());
        }

        EntryHarness harness { enabledSettings(1) };
    };

    // Guards against requests that go to an evacuated zone, and a zone that stays empty after its evacuation.
    TEST_F(EvacuationTest, NewRequestsAvoidTheZoneUntilItsEnd)
    {
        this->start();
        EXPECT_TRUE(this->zonesOfRequests(40).contains(true));
        this->harness.send(EvacuationStarted { zoneA, 101 });
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 1u);
        EXPECT_EQ(this->zonesOfRequests(40), std::set<bool> { false });
        this->harness.send(EvacuationEnded { zoneA, 102 });
        EXPECT_TRUE(this->zonesOfRequests(40).contains(true));
    }

    // Guards against waiting requests that get a slot that is released in the zone.
    TEST_F(EvacuationTest, WaitingRequestsAvoidTheZone)
    {
        this->start(1);
        std::vector<ForwardRequest> running;
        running.reserve(4);
        for (int number = 0; number < 4; ++number)
            running.push_back(this->sendRequest());
        this->harness.request("order");
        ASSERT_EQ(this->harness.node.statistics().waitingRequests, 1u);
        this->harness.send(EvacuationStarted { zoneA, 101 });
        for (const ForwardRequest& forward : running) {
            if (!isInZoneA(forward))
                continue;
            this->harness.respond(forward.attempt.attempt, statusOk);
            EXPECT_FALSE(this->harness.first<ForwardRequest>());
        }
        for (const ForwardRequest& forward : running) {
            if (isInZoneA(forward))
                continue;
            this->harness.respond(forward.attempt.attempt, statusOk);
            EXPECT_TRUE(this->harness.first<ForwardRequest>());
            return;
        }
    }

    // Guards against running requests and streams that are cut when their zone is evacuated.
    TEST_F(EvacuationTest, RunningRequestsEndNormally)
    {
        this->start(100);
        const ForwardRequest stream = this->sendRequestTo(true, "query");
        this->harness.send(UpstreamStreamStarted { stream.attempt.attempt, {} });
        const ForwardRequest order = this->sendRequestTo(true, "order");
        this->harness.send(EvacuationStarted { zoneA, 101 });
        EXPECT_FALSE(this->harness.first<CancelAttempt>());
        EXPECT_GE(this->harness.node.statistics().requestsInEvacuatedZones, 2u);
        this->harness.advance(500ms);
        EXPECT_FALSE(this->harness.first<CancelAttempt>());
        this->harness.respond(order.attempt.attempt, statusOk);
        EXPECT_EQ(this->harness.first<Respond>().value().status, statusOk);
        UpstreamResponded ended;
        ended.response.attempt = stream.attempt.attempt;
        ended.response.status = statusOk;
        ended.response.relayed = true;
        ended.facts.isStamped = true;
        this->harness.send(std::move(ended));
        EXPECT_FALSE(this->harness.first<FailStream>());
        EXPECT_EQ(this->harness.first<RequestEnded>().value().outcome, RequestOutcome::Answered);
    }

    // Guards against retries that go to the zone of the failed attempt.
    TEST_F(EvacuationTest, RetriesAvoidTheZone)
    {
        this->start(100);
        for (int number = 0; number < 20; ++number) {
            this->harness.send(EvacuationEnded { zoneA, 100 + 2U * static_cast<unsigned>(number) });
            const ForwardRequest refused = this->sendRequestTo(true, "order");
            this->harness.send(EvacuationStarted { zoneA, 101 + 2U * static_cast<unsigned>(number) });
            this->harness.respond(refused.attempt.attempt, serviceUnavailable, true);
            const auto again = this->harness.first<ForwardRequest>();
            ASSERT_TRUE(again);
            EXPECT_FALSE(isInZoneA(*again));
            this->harness.advance(1s);
        }
    }

    // Guards against a stream that is resumed in the zone, or that hangs if it can be resumed nowhere else.
    TEST_F(EvacuationTest, StreamsAreResumedElsewhereOrAborted)
    {
        std::uint64_t revision = 100;
        for (const bool isElsewhere : { true, false }) {
            this->start(100, isElsewhere ? 2 : 0);
            const ForwardRequest stream = this->sendRequestTo(true, "query");
            this->harness.send(UpstreamStreamStarted { stream.attempt.attempt, {} });
            this->harness.send(EvacuationStarted { zoneA, ++revision });
            this->harness.fail(stream.attempt.attempt, true, 5);
            const auto resumed = this->harness.first<ForwardRequest>();
            EXPECT_EQ(resumed.has_value(), isElsewhere);
            EXPECT_EQ(this->harness.first<FailStream>().has_value(), !isElsewhere);
            if (resumed) {
                EXPECT_FALSE(isInZoneA(*resumed));
                EXPECT_EQ(resumed->context.resumeAfter, 5u);
            }
            this->harness.send(EvacuationEnded { zoneA, ++revision });
        }
    }

    // Guards against requests of peers that go to the zone.
    TEST_F(EvacuationTest, RequestsOfPeersAvoidTheZone)
    {
        this->start(100);
        this->harness.send(EvacuationStarted { zoneA, 101 });
        const auto arrive = [this] {
            CallerRequestArrived arrived { this->harness.node.nextRequestId(), {}, HandedRequest {} };
            arrived.request.method = "POST";
            arrived.request.path = "/order/x";
            arrived.request.host = EntryHarness::hostName;
            arrived.request.key = "key-n";
            this->harness.send(std::move(arrived));
        };
        for (int number = 0; number < 20; ++number) {
            arrive();
            ASSERT_TRUE(this->harness.first<ForwardRequest>());
            EXPECT_FALSE(isInZoneA(*this->harness.first<ForwardRequest>()));
        }
        this->harness.send(EvacuationStarted { zoneB, 102 });
        arrive();
        this->expectRefusedAtOnce();
    }

    // Guards against requests that wait for upstreams that will not be used, callers that are told to retry at once,
    // and a node that concludes from an empty list of upstreams that its links are lost.
    TEST_F(EvacuationTest, RequestsThatOnlyTheZoneCouldServeAreRefusedAtOnce)
    {
        this->start(1);
        this->knowPeers();
        this->harness.send(EvacuationStarted { zoneB, 101 });
        const ForwardRequest first = this->sendRequest();
        this->sendRequest();
        this->harness.request("order");
        ASSERT_EQ(this->harness.node.statistics().waitingRequests, 1u);
        this->harness.send(EvacuationStarted { zoneA, 102 });
        this->expectRefusedAtOnce();
        this->harness.request("query");
        this->expectRefusedAtOnce();
        // A broken connection and a silent upstream raise a suspicion against the links.
        this->harness.fail(first.attempt.attempt, true);
        for (int round = 0; round < 30; ++round) {
            this->harness.advance(100ms);
            EXPECT_FALSE(this->harness.first<CheckUpstream>());
        }
        EXPECT_FALSE(this->harness.node.statistics().linksLost);
        this->harness.request("order");
        this->expectRefusedAtOnce();
        EXPECT_GE(std::stod(this->harness.first<Respond>()->headers.back().second), 3) << "it has lasted three seconds";
        this->harness.send(EvacuationEnded { zoneA, 103 });
        this->harness.request("order");
        EXPECT_TRUE(this->harness.first<ForwardRequest>());
    }

    // Guards against links that count as lost for good since the checks under way end without success in the evacuated
    // zones and there is no upstream to check again.
    TEST_F(EvacuationTest, ChecksOfBeforeDoNotLoseTheLinks)
    {
        this->start(100);
        this->knowPeers();
        this->harness.request("status");
        for (auto sent = this->harness.first<ForwardRequest>(); sent; sent = this->harness.first<ForwardRequest>())
            this->harness.fail(sent->attempt.attempt, false);
        this->harness.advance(100ms);
        const auto checks = this->harness.all<CheckUpstream>();
        ASSERT_FALSE(checks.empty());
        this->harness.send(EvacuationStarted { zoneA, 101 });
        this->harness.send(EvacuationStarted { zoneB, 102 });
        for (const CheckUpstream& check : checks)
            this->harness.send(UpstreamChecked { check.upstream, UpstreamChecked::State::Unknown, false });
        EXPECT_FALSE(this->harness.node.statistics().linksLost);
        this->harness.request("order");
        this->expectRefusedAtOnce();
    }

    // Guards against requests that wait while all upstreams outside the zone are behind open circuit breakers.
    TEST_F(EvacuationTest, UpstreamsBehindOpenCircuitsServeNobody)
    {
        this->start(100, 1);
        this->harness.send(EvacuationStarted { zoneA, 101 });
        for (int number = 0; number < 100; ++number) {
            this->harness.request("order");
            const auto forward = this->harness.first<ForwardRequest>();
            if (!forward)
                break;
            this->harness.fail(forward->attempt.attempt, false);
        }
        this->harness.request("order");
        this->expectRefusedAtOnce();
    }

    // Guards against checks of upstreams in the zone, which are calls as well, and upstreams that are not checked after
    // the evacuation since a check is believed to be under way.
    TEST_F(EvacuationTest, NoChecksGoToTheZone)
    {
        this->start(100);
        const ForwardRequest broken = this->sendRequestTo(true, "order");
        const ForwardRequest later = this->sendRequestTo(true, "order");
        ForwardRequest same = later;
        while (same.attempt.upstream != broken.attempt.upstream)
            same = this->sendRequestTo(true, "order");
        this->harness.send(EvacuationStarted { zoneA, 101 });
        const auto expectNoCheckOfTheZone = [this] {
            for (const CheckUpstream& check : this->harness.all<CheckUpstream>())
                EXPECT_FALSE(check.upstream == EntryHarness::upstream(1).id()
                    || check.upstream == EntryHarness::upstream(2).id());
        };
        this->harness.fail(broken.attempt.attempt, true);
        expectNoCheckOfTheZone();
        // Shorter than the time limit of the requests.
        for (int round = 0; round < 10; ++round) {
            this->harness.advance(100ms);
            expectNoCheckOfTheZone();
        }
        this->harness.send(EvacuationEnded { zoneA, 102 });
        this->harness.fail(same.attempt.attempt, true);
        const auto check = this->harness.first<CheckUpstream>();
        ASSERT_TRUE(check);
        EXPECT_EQ(check->upstream, same.attempt.upstream);
    }

    // Guards against a zone that is used again during an outage of the platform, when nobody could have ended its
    // evacuation, and one that stays evacuated since the removal of the object was missed in the outage.
    TEST_F(EvacuationTest, LastKnownStateHoldsDuringAnOutage)
    {
        this->start();
        this->harness.send(EvacuationStarted { zoneA, 101 });
        this->harness.send(EvacuationWatchChanged { false });
        for (int second = 0; second < 60; ++second) {
            this->harness.advance(1s);
            EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 1u);
        }
        this->harness.send(EvacuationWatchChanged { true });
        this->harness.send(EvacuationsListed { {}, 110 });
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 0u);
    }

    // Guards against an evacuation that ends since the platform came back from a copy of before it, until the operator
    // writes it again; and against one that never ends if nobody does.
    TEST_F(EvacuationTest, RestoredPlatformMayHaveLostTheObject)
    {
        this->start();
        this->harness.send(EvacuationStarted { zoneA, 101 });
        this->harness.send(EvacuationStarted { zoneB, 102 });
        constexpr std::uint64_t era = 1ULL << 48U;
        this->harness.send(PlatformRestored {});
        this->harness.send(EvacuationsListed { {}, era + 90 });
        this->harness.advance(5s);
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 2u);
        this->harness.send(EvacuationStarted { zoneA, era + 91 });
        this->harness.advance(10s);
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 1u);
        EXPECT_EQ(this->zonesOfRequests(10), std::set<bool> { false });
        this->harness.send(EvacuationEnded { zoneA, era + 92 });
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 0u);
    }

    // Guards against a node that starts during an evacuation and serves before it knows of it.
    TEST_F(EvacuationTest, StartingNodeIsNotReadyBeforeItKnowsTheEvacuations)
    {
        this->harness.send(EntryConfigurationRead { EntryHarness::configuration() });
        this->harness.send(UpstreamsListed { { upstreamIn(1, zoneA), upstreamIn(3, zoneB) } });
        EXPECT_FALSE(this->harness.first<SetReady>());
        this->harness.request("order");
        EXPECT_FALSE(this->harness.first<ForwardRequest>());
        this->harness.send(EvacuationsListed { { { zoneA, 90 } }, 100 });
        EXPECT_TRUE(this->harness.first<SetReady>().value().ready);
        ASSERT_TRUE(this->harness.first<ForwardRequest>());
        EXPECT_FALSE(isInZoneA(*this->harness.first<ForwardRequest>()));
    }

    // Guards against a node that stays unready since only its list of evacuations fails, though peers know them; and
    // against a guess if nobody tells, as peers of the last release do not.
    TEST_F(EvacuationTest, StartingNodeAsksPeersIfItsListFails)
    {
        this->harness.send(EntryConfigurationRead { EntryHarness::configuration() });
        this->harness.send(UpstreamsListed { { upstreamIn(1, zoneA), upstreamIn(3, zoneB) } });
        this->knowPeers();
        this->harness.send(EvacuationWatchChanged { false });
        std::size_t asked = 0;
        bool isToldWhy = false;
        for (int round = 0; round < 100; ++round) {
            this->harness.advance(100ms);
            EXPECT_FALSE(this->harness.first<SetReady>());
            for (const SendEntryMessage& message : this->harness.all<SendEntryMessage>())
                asked += std::holds_alternative<EvacuationReport>(message.message) ? 1 : 0;
            for (const LogEvent& line : this->harness.all<LogEvent>())
                isToldWhy = isToldWhy || line.message.starts_with("not ready: neither");
        }
        EXPECT_TRUE(isToldWhy);
        EXPECT_GE(asked, 30u);
        EXPECT_LE(asked, 100u);
        // A peer that has not read them either.
        this->harness.send(
            EntryMessageReceived { "host-b:1", EvacuationReport { { { zoneB, true, 95, 1s } }, std::nullopt, false } });
        EXPECT_FALSE(this->harness.first<SetReady>());
        this->harness.send(
            EntryMessageReceived { "host-c:1", EvacuationReport { { { zoneA, true, 90, 1s } }, 94, false } });
        ASSERT_TRUE(this->harness.first<SetReady>());
        EXPECT_EQ(this->harness.node.statistics().evacuatedZones, 2u);
    }

    // Guards against an older statement that replaces a later one, in whatever order they come.
    TEST(EvacuatedZones, LaterRevisionsWin)
    {
        const Instant now { 1000s };
        EvacuatedZones zones;
        EXPECT_TRUE(zones.onListed({}, 100, now).empty());
        EXPECT_TRUE(zones.onReported({ zoneA, true, 99, now }).empty()) << "read completely up to 100";
        EXPECT_EQ(zones.onReported({ zoneA, true, 110, now }).size(), 1u);
        EXPECT_TRUE(zones.onReported({ zoneA, true, 110, now }).empty()) << "known";
        EXPECT_TRUE(zones.onListed({}, 105, now).empty()) << "read before the peer's revision";
        EXPECT_TRUE(zones.contains(zoneA));
        EXPECT_EQ(zones.onReported({ zoneA, false, 112, now }).size(), 1u);
        EXPECT_TRUE(zones.onReported({ zoneA, true, 111, now }).empty());
        EXPECT_TRUE(zones.onRead({ zoneA, true, 110, now }).empty()) << "the watch is behind the peer";
        EXPECT_FALSE(zones.contains(zoneA));
        EXPECT_EQ(zones.onRead({ zoneA, true, 113, now }).size(), 1u);
        EXPECT_TRUE(zones.onListed({}, 111, now).empty()) << "a list that was read before the event";
        EXPECT_TRUE(zones.contains(zoneA));
        EXPECT_EQ(zones.onListed({}, 114, now).size(), 1u) << "objects that are missing from a list are gone";
        EXPECT_EQ(zones.count(), 0u);
        // The end of an evacuation whose start this node has missed.
        EXPECT_TRUE(zones.onReported({ zoneB, false, 120, now }).empty());
        EXPECT_TRUE(zones.onReported({ zoneB, true, 119, now }).empty());
        EXPECT_EQ(zones.count(), 0u);
    }

    // Guards against peers that keep a lost evacuation in effect for ever by telling each other of it, against one that
    // starts again after it ended, and against a list by which a node forgets what a peer has told.
    TEST(EvacuatedZones, MissingEvacuationsOfPeersEndInTime)
    {
        const Instant now { 1000s };
        EvacuatedZones zones;
        zones.onListed({}, 200, now);
        const ZoneEvacuation missing { zoneA, true, 101, now - 5s, now + 4s };
        EXPECT_EQ(zones.onReportedMissing(missing, now).size(), 1u);
        EXPECT_TRUE(zones.isDoubtful());
        EXPECT_TRUE(zones.onReportedMissing({ zoneA, true, 101, now, now + 9s }, now + 1s).empty()) << "known";
        EXPECT_TRUE(zones.onListed({}, 201, now + 2s).empty());
        EXPECT_TRUE(zones.onTick(now + 3s).empty());
        EXPECT_TRUE(zones.contains(zoneA));
        EXPECT_EQ(zones.onTick(now + 4s).size(), 1u);
        EXPECT_TRUE(zones.onReportedMissing({ zoneA, true, 101, now, now + 9s }, now + 5s).empty()) << "has ended";
        EXPECT_FALSE(zones.contains(zoneA));

        EXPECT_TRUE(zones.onReportedMissing({ zoneB, true, 101, now, now + 5s }, now + 5s).empty()) << "over";
        EXPECT_EQ(zones.onReportedMissing({ zoneB, true, 101, now, now + 3600s }, now + 5s).size(), 1u);
        EXPECT_EQ(zones.onRead({ zoneB, true, 202, now + 6s }).size(), 0u);
        EXPECT_FALSE(zones.isDoubtful()) << "the operator has written it again";
        EXPECT_TRUE(zones.onTick(now + 600s).empty());
        EXPECT_TRUE(zones.contains(zoneB));

        const AvailabilityZone zoneC("zone-c");
        EXPECT_EQ(zones.onReportedMissing({ zoneC, true, 101, now, now + 3600s }, now + 5s).size(), 1u);
        EXPECT_EQ(zones.onTick(now + 15s).size(), 1u) << "no longer than after a restore that this node has seen";
    }

    // Guards against a suspicion of before an evacuation by which the links of a node without upstreams count as lost.
    TEST(UpstreamLinks, ChecksUnderWayDoNotCountWithoutUpstreams)
    {
        UpstreamLinks links(1);
        const Instant now { 1000s };
        const UpstreamId upstream("i-1");
        links.onAttemptStarted(1, upstream, now);
        links.onNotConnected(1, now);
        ASSERT_TRUE(links.areChecksDue(1, now));
        ASSERT_EQ(links.takeChecks({ upstream }, now).size(), 1u);
        links.onNoUpstreams();
        links.onChecked(upstream, false, now);
        EXPECT_FALSE(links.areLost());
    }

    /// Nodes of which a third cannot read the store.
    class EvacuatingFleet {
    public:
        explicit EvacuatingFleet(std::size_t nodes, std::uint64_t seed = 1)
            : fleet(0, seed)
        {
            this->fleet.configure = [](EntrySettings& settings) { settings.evacuations = true; };
            for (std::size_t number = 0; number < nodes; ++number) {
                const std::string host = "host-" + std::to_string(number);
                this->fleet.add(host);
                this->fleet.handle(host, UpstreamsListed { { upstreamIn(1, zoneA), upstreamIn(2, zoneB) } });
                this->fleet.handle(host, EvacuationsListed { {}, 100 });
            }
            // Until all nodes know each other.
            this->fleet.advance(12s);
            for (std::size_t number = 0; number < nodes; number += 3) {
                const std::string host = "host-" + std::to_string(number);
                this->fleet.cutFromPlatform.insert(host);
                this->fleet.handle(host, EvacuationWatchChanged { false });
            }
        }

        /// @brief Delivers an event to the nodes that can read the store, up to half a second later.
        template <typename Event> void write(const Event& event)
        {
            for (const auto& [host, node] : this->fleet.nodes) {
                const Instant at
                    = this->fleet.now + Duration(static_cast<Duration::rep>(this->fleet.random.below(500'000)));
                if (!this->fleet.cutFromPlatform.contains(host) && !this->fleet.isolated.contains(host))
                    this->fleet.schedule(at, host, event);
            }
        }

        std::size_t countEvacuating() const
        {
            std::size_t count = 0;
            for (const auto& [host, node] : this->fleet.nodes)
                count += node->statistics().evacuatedZones;
            return count;
        }

        EntryFleet fleet;
    };

    // Guards against nodes without the store that go on sending to an evacuated zone, or never use it again.
    TEST(EvacuationExchange, NodesWithoutTheStoreLearnOfChangesWithinASecond)
    {
        for (const auto& [nodes, seed] : std::vector<std::pair<std::size_t, std::uint64_t>> {
                 { 9, 1 }, { 9, 2 }, { 9, 3 }, { 90, 1 }, { 90, 2 }, { 90, 3 }, { 300, 1 } }) {
            EvacuatingFleet evacuating(nodes, seed);
            evacuating.write(EvacuationStarted { zoneA, 101 });
            evacuating.fleet.advance(1s);
            EXPECT_EQ(evacuating.countEvacuating(), nodes) << seed;
            evacuating.write(EvacuationEnded { zoneA, 102 });
            evacuating.fleet.advance(1s);
            EXPECT_EQ(evacuating.countEvacuating(), 0u) << nodes << " " << seed;
        }
    }

    // Guards against nodes that do not learn of a change if they lose the store after the others have told each other,
    // or with two changes of which one is older.
    TEST(EvacuationExchange, NodesThatLoseTheStoreLaterAskForWhatTheyMissed)
    {
        EvacuatingFleet evacuating(30);
        evacuating.fleet.isolated.insert("host-1");
        evacuating.write(EvacuationStarted { zoneA, 101 });
        evacuating.fleet.advance(1s);
        evacuating.write(EvacuationStarted { zoneB, 103 });
        evacuating.write(EvacuationEnded { zoneA, 102 });
        evacuating.fleet.advance(2s);
        evacuating.fleet.isolated.clear();
        evacuating.fleet.handle("host-1", EvacuationWatchChanged { false });
        evacuating.fleet.advance(1s);
        EXPECT_EQ(evacuating.countEvacuating(), 30u);
    }

    // Guards against nodes that confirm each other an evacuation that a restored platform has lost, so that nobody ends
    // it: they keep it for some seconds, and meanwhile tell each other of a change in another zone.
    TEST(EvacuationExchange, LostObjectsEndDespiteMessages)
    {
        constexpr std::uint64_t era = 1ULL << 48U;
        EvacuatingFleet evacuating(9);
        evacuating.write(EvacuationStarted { zoneA, 101 });
        evacuating.fleet.advance(2s);
        evacuating.write(PlatformRestored {});
        evacuating.fleet.advance(1s);
        evacuating.write(EvacuationsListed { {}, era + 90 });
        evacuating.fleet.advance(1s);
        EXPECT_EQ(evacuating.countEvacuating(), 9u);
        evacuating.write(EvacuationStarted { zoneB, era + 91 });
        evacuating.fleet.advance(2s);
        EXPECT_EQ(evacuating.countEvacuating(), 18u);
        evacuating.fleet.advance(10s);
        EXPECT_EQ(evacuating.countEvacuating(), 9u);
        evacuating.write(EvacuationEnded { zoneB, era + 92 });
        evacuating.fleet.advance(1s);
        EXPECT_EQ(evacuating.countEvacuating(), 0u);
    }

    // Guards against requests to an evacuated zone by processes that start after a restore has lost the evacuation,
    // until the operator writes it again.
    TEST(EvacuationExchange, EvacuationsOutliveTheProcessesThatReadThem)
    {
        constexpr std::uint64_t era = 1ULL << 48U;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            EvacuatingFleet evacuating(9, seed);
            evacuating.fleet.cutFromPlatform.clear();
            for (const auto& [host, node] : evacuating.fleet.nodes)
                evacuating.fleet.handle(host, EvacuationWatchChanged { true });
            evacuating.write(EvacuationStarted { zoneA, 101 });
            evacuating.fleet.advance(2s);
            for (const auto& [host, node] : evacuating.fleet.nodes)
                evacuating.fleet.handle(host, PlatformRestored {});
            evacuating.write(EvacuationsListed { {}, era + 90 });
            for (std::size_t number = 0; number < 9; ++number) {
                evacuating.fleet.advance(std::chrono::milliseconds(300 + RandomSource(seed).below(400)));
                const std::string host = "host-" + std::to_string(number);
                evacuating.fleet.add(host);
                evacuating.fleet.handle(host, UpstreamsListed { { upstreamIn(1, zoneA), upstreamIn(2, zoneB) } });
                evacuating.fleet.handle(host, EvacuationWatchChanged { true });
                evacuating.fleet.handle(host, EvacuationsListed { {}, era + 90 });
            }
            evacuating.fleet.advance(1s);
            EXPECT_EQ(evacuating.countEvacuating(), 9u) << seed;
        }
    }

    // Guards against messages that grow with the fleet, that never end, or that are sent though all nodes read the
    // store or evacuations are off.
    TEST(EvacuationExchange, SendsFewMessages)
    {
        for (const std::size_t nodes : { 30u, 90u }) {
            EvacuatingFleet evacuating(nodes);
            const std::size_t cut = evacuating.fleet.cutFromPlatform.size();
            for (const std::string& host : std::set<std::string>(evacuating.fleet.cutFromPlatform))
                evacuating.fleet.handle(host, EvacuationWatchChanged { true });
            evacuating.fleet.cutFromPlatform.clear();
            evacuating.fleet.advance(5s);
            std::size_t before = evacuating.fleet.messages;
            evacuating.fleet.advance(5s);
            EXPECT_EQ(evacuating.fleet.messages, before);
            evacuating.write(EvacuationStarted { zoneA, 101 });
            evacuating.fleet.advance(2s);
            EXPECT_EQ(evacuating.countEvacuating(), nodes);
            EXPECT_LE(evacuating.fleet.messages - before, 4 * nodes);
            before = evacuating.fleet.messages;
            for (std::size_t number = 0; number < cut; ++number)
                evacuating.fleet.handle("host-" + std::to_string(3 * number), EvacuationWatchChanged { false });
            evacuating.fleet.advance(1s);
            EXPECT_LE(evacuating.fleet.messages - before, 20 * cut) << "two peers four times a second, and answers";
        }
        EntryFleet off(9);
        off.advance(12s);
        const std::size_t before = off.messages;
        off.handle(
            "host-1", EntryMessageReceived { "10.0.0.1:1", EvacuationReport { { { zoneA, true, 9, 0s } }, 9, true } });
        off.advance(5s);
        EXPECT_EQ(off.messages, before);
        EXPECT_EQ(off.nodes.at("host-1")->statistics().evacuatedZones, 0u);
    }

    // Guards against orders of upstreams that would stand idle in an evacuated zone, a fleet that is too small without
    // it, and one that is reduced the moment the zone returns with upstreams that may be cold.
    TEST(EvacuatedFleet, UpstreamsAreOrderedInOtherZones)
    {
        const AvailabilityZone zoneC("zone-c");
        EntryFleet fleet(0);
        fleet.configure = [&](EntrySettings& settings) {
            settings.evacuations = true;
            settings.zones = { zoneA, zoneB, zoneC };
        };
        UpstreamsListed listed;
        for (int number = 1; number <= 6; ++number)
            listed.upstreams.push_back(upstreamIn(number, std::array { zoneA, zoneB, zoneC }.at(number % 3)));
        for (const char* host : { "host-0", "host-1", "host-2" }) {
            fleet.add(host);
            fleet.handle(host, UpstreamRemoved { "i-4" });
            fleet.handle(host, listed);
            fleet.handle(host, EvacuationsListed { {}, 100 });
        }
        fleet.advance(20s);
        const auto countOrdered = [&fleet](const AvailabilityZone& zone) {
            std::uint32_t count = 0;
            for (const UpstreamOrder& order : fleet.platform.orders)
                count = order.zone == zone && order.reclaimable ? order.count : count;
            return count;
        };
        ASSERT_FALSE(fleet.platform.orders.empty());
        const std::uint32_t usual = countOrdered(zoneB);
        for (const auto& [host, node] : fleet.nodes)
            fleet.handle(host, EvacuationStarted { zoneA, 101 });
        std::size_t before = fleet.platform.orders.size();
        fleet.advance(15s);
        for (std::size_t index = before; index < fleet.platform.orders.size(); ++index)
            EXPECT_NE(fleet.platform.orders[index].zone, zoneA);
        EXPECT_GT(countOrdered(zoneB), usual);
        EXPECT_GT(countOrdered(zoneC), usual);
        const std::uint32_t increased = countOrdered(zoneB);
        for (const auto& [host, node] : fleet.nodes)
            fleet.handle(host, EvacuationEnded { zoneA, 102 });
        fleet.advance(4s);
        EXPECT_EQ(countOrdered(zoneB), increased) << "upstreams start within four seconds";
        fleet.advance(10s);
        EXPECT_EQ(countOrdered(zoneB), usual);
    }

} // namespace
} // namespace teaselshore
