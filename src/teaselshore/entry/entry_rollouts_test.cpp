#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    const ServiceName app("app");
    const VersionName newVersion("v2");

    /// Maximum exposure of a bad version: a fraction of its service's requests between the order and its deadline plus
    /// a fixed number, and no requests once the stop time has passed after its 50th bad response.
    constexpr double allowedFraction = 0.1;
    constexpr std::size_t allowedExtraRequests = 50;
    constexpr std::size_t badResponsesToDetect = 50;
    constexpr Duration maxStopDelay = 5s;

    /// How the new version differs from the old one.
    struct Fault {
        double slowdown = 1;
        double failures = 0;

        bool isNone() const { return this->slowdown <= 1 && this->failures <= 0; }
    };

    /// Simulates the rollout of a new version of a service at a fleet of nodes. The upstreams of the new version start
    /// beside the old ones after the order.
    class RolloutTrial {
    public:
        RolloutTrial(std::size_t nodes, double requestsPerSecond, Fault fault, std::uint64_t seed)
            : fleet(nodes, seed)
            , nodeCount(nodes)
            , requestsPerSecond(requestsPerSecond)
            , fault(fault)
        {
            this->fleet.onForward = [this](const std::string& host, const ForwardRequest& forward,
                                        std::vector<EntryEvent>&) { this->receive(host, forward); };
            for (int number = 1; number <= oldUpstreams; ++number)
                this->registered.push_back(EntryHarness::upstream(number, 32));
            this->listUpstreams();
        }

        /// @brief Advances the time while callers send requests.
        void advance(Duration time)
        {
            const Instant end = this->fleet.now + time;
            while (this->fleet.now < end) {
                this->dueRequests += this->requestsPerSecond * toSeconds(step);
                for (; this->dueRequests >= 1; this->dueRequests -= 1) {
                    const std::string host = "host-" + std::to_string(this->fleet.random.below(this->nodeCount));
                    if (this->fleet.nodes.contains(host) && !this->fleet.frozen.contains(host))
                        this->fleet.request(host, std::nullopt, "status", std::to_string(++this->lastBody));
                }
                this->fleet.advance(step);
            }
        }

        void order(Duration duration)
        {
            RolloutOrder order;
            order.service = app;
            order.target = newVersion;
            order.duration = duration;
            this->orderedAt = this->fleet.now;
            this->deadline = this->fleet.now + duration;
            this->fleet.writeRollout(order);
            for (int number = 1; number <= newUpstreams; ++number) {
                RegisteredUpstream entry = EntryHarness::upstream(100 + number, 32);
                entry.version = newVersion;
                this->registered.push_back(entry);
            }
        }

        /// @brief Sends the list of registered upstreams to all nodes.
        void listUpstreams()
        {
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, UpstreamsListed { this->registered });
        }

        RolloutOrder::State state() const { return this->fleet.rollouts.at(app).back().second.state; }

        void expectLimitedExposure() const
        {
            const auto within = [this](Instant at) { return at >= this->orderedAt && at <= this->deadline; };
            const auto requests = std::count_if(this->sends.begin(), this->sends.end(), within);
            EXPECT_LE(static_cast<double>(this->newSends.size()),
                allowedFraction * static_cast<double>(requests) + static_cast<double>(allowedExtraRequests));
            if (this->badResponses.size() < badResponsesToDetect)
                return;
            const Instant detectableAt = this->badResponses[badResponsesToDetect - 1];
            EXPECT_EQ(std::count_if(this->newSends.begin(), this->newSends.end(),
                          [&](Instant at) { return at > detectableAt + maxStopDelay; }),
                0);
        }

        EntryFleet fleet;
        std::vector<Instant> sends;
        std::vector<Instant> newSends;
        std::vector<Instant> badResponses;

    private:
        static constexpr Duration step = 100ms;
        static constexpr int oldUpstreams = 9;
        static constexpr int newUpstreams = 5;
        static constexpr Duration serviceTime = 45ms;

        void receive(const std::string& host, const ForwardRequest& forward)
        {
            const auto entry = std::find_if(this->registered.begin(), this->registered.end(),
                [&](const RegisteredUpstream& other) { return other.id() == forward.attempt.upstream; });
            const bool isNew = entry != this->registered.end() && entry->version == newVersion;
            this->sends.push_back(this->fleet.now);
            // Half to twice the service time.
            const double spread = std::exp2(2 * this->fleet.random.uniform() - 1);
            const double slowdown = isNew ? this->fault.slowdown : 1;
            const Instant doneAt = this->fleet.now + fromSeconds(toSeconds(serviceTime) * spread * slowdown);
            const bool fails = isNew && this->fleet.random.uniform() < this->fault.failures;
            if (isNew) {
                this->newSends.push_back(this->fleet.now);
                if (fails || slowdown > 1)
                    this->badResponses.push_back(doneAt);
            }
            UpstreamResponded responded;
            responded.response.attempt = forward.attempt.attempt;
            responded.response.status = fails ? 500 : 200;
            responded.facts.isStamped = true;
            this->fleet.schedule(doneAt, host, std::move(responded));
        }

        std::size_t nodeCount;
        double requestsPerSecond;
        Fault fault;
        std::vector<RegisteredUpstream> registered;
        Instant orderedAt {};
        Instant deadline {};
        double dueRequests = 0;
        int lastBody = 0;
    };

    // Guards against a slow or failing version that gets too much traffic or is completed in a short rollout. The
    // decisions of the holder of the lease must reach all nodes at once, and the full share requires enough responses.
    TEST(EntryRollouts, BadVersionGetsLittleTrafficAndIsRolledBack)
    {
        for (const Fault& fault : { Fault { 4, 0 }, Fault { 8, 0 }, Fault { 1, 0.4 } }) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                SCOPED_TRACE(seed);
                RolloutTrial trial(9, 75, fault, seed);
                trial.advance(12s);
                trial.order(15s);
                trial.advance(100ms);
                trial.listUpstreams();
                trial.advance(30s);
                trial.expectLimitedExposure();
                EXPECT_EQ(trial.state(), RolloutOrder::State::RolledBack);
            }
        }
    }

    // Guards against a bad version that stays in use when the holder of the lease is cut off from the platform or
    // restarts in the middle of a rollout.
    TEST(EntryRollouts, BadVersionIsRolledBackWhenTheLeaseHolderIsLost)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(seed);
            RolloutTrial trial(9, 75, { 4, 0 }, seed);
            trial.advance(12s);
            trial.order(15s);
            trial.advance(100ms);
            trial.listUpstreams();
            trial.advance(std::chrono::milliseconds(2000 + 500 * seed));
            const auto holders = trial.fleet.leaseHolders();
            ASSERT_EQ(holders.size(), 1u);
            if (seed % 2 == 0)
                trial.fleet.cutFromPlatform.insert(holders.front());
            else
                trial.fleet.add(holders.front());
            trial.listUpstreams();
            trial.advance(30s);
            trial.expectLimitedExposure();
            EXPECT_NE(trial.state(), RolloutOrder::State::Complete);
        }
    }

    // Guards against a slow version that keeps the middle share while nobody has the lease, as the last holder was
    // killed.
    TEST(EntryRollouts, SlowVersionIsRolledBackThoughTheLeaseHolderIsKilled)
    {
        std::vector<std::uint64_t> seeds { 58, 130, 154 };
        for (std::uint64_t seed = 1; seed <= 24; ++seed)
            seeds.push_back(seed);
        for (const std::uint64_t seed : seeds) {
            SCOPED_TRACE(seed);
            RolloutTrial trial(9, 133, { seed % 2 ? 2.7 : 2.0, 0 }, seed);
            trial.advance(12s);
            trial.order(15s);
            trial.advance(100ms);
            trial.listUpstreams();
            trial.advance(std::chrono::milliseconds(3000 + 250 * (seed % 24)));
            const auto holders = trial.fleet.leaseHolders();
            ASSERT_EQ(holders.size(), 1u);
            trial.fleet.frozen.insert(holders.front());
            trial.advance(30s);
            trial.expectLimitedExposure();
            EXPECT_EQ(trial.state(), RolloutOrder::State::RolledBack);
        }
    }

    // Guards against checks so strict that good versions cannot complete short rollouts.
    TEST(EntryRollouts, GoodVersionCompletesByItsDeadline)
    {
        for (const double requestsPerSecond : { 27.0, 75.0, 200.0 }) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                SCOPED_TRACE(seed);
                RolloutTrial trial(9, requestsPerSecond, {}, seed);
                trial.advance(12s);
                trial.order(15s);
                trial.advance(100ms);
                trial.listUpstreams();
                trial.advance(15s);
                EXPECT_EQ(trial.state(), RolloutOrder::State::Complete) << requestsPerSecond;
            }
        }
    }

    // Guards against a new version that gets traffic in proportion to its upstreams at nodes that have not yet read its
    // rollout order.
    TEST(EntryRollouts, NewVersionGetsNothingBeforeItsOrderIsKnown)
    {
        EntryHarness harness;
        harness.start(2);
        RegisteredUpstream added = EntryHarness::upstream(7, 100);
        added.version = newVersion;
        harness.send(UpstreamChanged { added });
        ASSERT_TRUE(harness.first<ReadRollouts>());
        EXPECT_FALSE(harness.first<ReadRollouts>()->mayBeStale);
        const auto usesNew = [&] {
            for (int request = 0; request < 30; ++request) {
                harness.request("status");
                const auto sent = harness.first<ForwardRequest>();
                if (sent && sent->attempt.upstream == added.id())
                    return true;
                if (sent)
                    harness.respond(sent->attempt.attempt, 200);
            }
            return false;
        };
        EXPECT_FALSE(usesNew());
        // A list that may be stale does not prove that there is no order.
        harness.send(RolloutsListed { {}, false });
        EXPECT_FALSE(usesNew());
        harness.send(RolloutsListed { {}, true });
        EXPECT_TRUE(usesNew()) << "upstreams of a new version without a rollout order get traffic";
    }

    // Guards against a stale read that arrives after a newer one and makes orders disappear or restart.
    TEST(EntryRollouts, StaleListChangesNothing)
    {
        EntryHarness harness;
        harness.start(2);
        RegisteredUpstream added = EntryHarness::upstream(7, 100);
        added.version = newVersion;
        harness.send(UpstreamChanged { added });
        RolloutOrder order;
        order.service = app;
        order.target = newVersion;
        order.duration = 15s;
        order.objectVersion = 9;
        order.state = RolloutOrder::State::RolledBack;
        harness.send(RolloutsListed { { order }, true });
        harness.send(RolloutsListed { {}, false });
        order.state = RolloutOrder::State::Running;
        order.share = 1;
        order.objectVersion = 8;
        harness.send(RolloutsListed { { order }, false });
        for (int request = 0; request < 30; ++request) {
            harness.request("status");
            const auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent);
            EXPECT_NE(sent->attempt.upstream, added.id());
            harness.respond(sent->attempt.attempt, 200);
        }
    }

} // namespace
} // namespace teaselshore
