#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"
#include "teaselshore/entry/upstream_limits.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t fleetSizes[] = { 9, 68, 75 };
    constexpr double limits[] = { 1, 1.6, 50 };

    /// Upstreams of a fleet of nodes, some of which name a limit of requests per second. Counts what arrives at each.
    class LimitedUpstreams {
    public:
        LimitedUpstreams(EntryFleet& fleet, int count)
            : fleet(fleet)
        {
            fleet.onForward = [this](const std::string& host, const ForwardRequest& forward,
                                  std::vector<EntryEvent>& events) { this->receive(host, forward, events); };
            for (int number = 1; number <= count; ++number)
                this->upstreams.push_back(EntryHarness::upstream(number, 64));
            this->list();
            // Until all nodes know each other.
            fleet.advance(12s);
        }

        /// @brief Sends the list of all upstreams to all nodes, as after their start.
        void list()
        {
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, UpstreamsListed { this->upstreams });
        }

        UpstreamId id(std::size_t index) const { return this->upstreams.at(index).id(); }

        /// @brief Sets the limit that the first upstreams name from now on.
        void name(std::size_t count, std::optional<double> limit)
        {
            for (std::size_t index = 0; index < count; ++index) {
                this->named[this->id(index)] = limit;
                this->namedAt.insert_or_assign(this->id(index), this->fleet.now);
            }
        }

        /// @brief Sends requests to random nodes for the given time.
        void run(Duration time, double requestsPerSecond)
        {
            const Instant end = this->fleet.now + time;
            double due = 0;
            while (this->fleet.now < end) {
                for (due += requestsPerSecond / 10; due >= 1; --due)
                    this->request();
                this->fleet.advance(100ms);
            }
        }

        void request()
        {
            auto host = std::next(this->fleet.nodes.begin(),
                static_cast<std::ptrdiff_t>(this->fleet.random.below(this->fleet.nodes.size())));
            this->sent.push_back(this->fleet.request(host->first, std::nullopt, "status"));
        }

        /// @brief Returns the highest number of arrivals at one upstream in 4 s that began at least 3 s after it named
        /// its limit, less what the limit allows there.
        double excess(double limit) const { return excessOf(this->arrivals, limit); }

        /// @brief Same for the arrivals from processes that had a response with the limit half a second before.
        double excessOfTold(double limit) const { return this->excessOf(this->arrivalsOfTold, limit); }

        double excessOf(const std::map<UpstreamId, std::vector<Instant>>& counted, double limit) const
        {
            constexpr Duration settleTime = 3s;
            constexpr Duration window = 4s;
            constexpr double tolerance = 1.5;
            constexpr double slack = 5;
            double most = -slack;
            for (const auto& [upstream, times] : counted) {
                const auto since = this->namedAt.find(upstream);
                if (since == this->namedAt.end())
                    continue;
                for (auto first = times.begin(); first != times.end(); ++first) {
                    if (*first < since->second + settleTime)
                        continue;
                    const auto count = std::lower_bound(first, times.end(), *first + window) - first;
                    most = std::max(most, static_cast<double>(count) - tolerance * limit * toSeconds(window) - slack);
                }
            }
            return most;
        }

        std::size_t arrivalsSince(const UpstreamId& upstream, Instant start) const
        {
            const auto found = this->arrivals.find(upstream);
            if (found == this->arrivals.end())
                return 0;
            return static_cast<std::size_t>(
                found->second.end() - std::lower_bound(found->second.begin(), found->second.end(), start));
        }

        /// @brief Returns the number of requests that were answered with the status.
        std::size_t countAnswered(int status) const
        {
            return static_cast<std::size_t>(
                std::count_if(this->sent.begin(), this->sent.end(), [this, status](const RequestId& id) {
                    const auto response = this->fleet.responses.find(id);
                    return response != this->fleet.responses.end() && response->second.status == status;
                }));
        }

        EntryFleet& fleet;
        std::vector<RegisteredUpstream> upstreams;
        /// Limit that each upstream names.
        std::map<UpstreamId, std::optional<double>> named;
        std::map<UpstreamId, Instant> namedAt;
        std::map<UpstreamId, std::vector<Instant>> arrivals;
        std::map<UpstreamId, std::vector<Instant>> arrivalsOfTold;
        /// When each process first had a response with a limit, by process and upstream.
        std::map<std::pair<const EntryNode*, UpstreamId>, Instant> toldAt;
        std::vector<RequestId> sent;
        /// Time from the arrival of a request to its response.
        Duration responseTime {};

    private:
        void receive(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)
        {
            const UpstreamId& upstream = forward.attempt.upstream;
            this->arrivals[upstream].push_back(this->fleet.now);
            const std::pair process(static_cast<const EntryNode*>(this->fleet.nodes.at(host).get()), upstream);
            const auto told = this->toldAt.find(process);
            if (told != this->toldAt.end() && this->fleet.now - told->second >= 500ms)
                this->arrivalsOfTold[upstream].push_back(this->fleet.now);
            UpstreamResponded responded;
            responded.response.attempt = forward.attempt.attempt;
            responded.response.status = 200;
            responded.facts.isStamped = true;
            const auto limit = this->named.find(upstream);
            if (limit != this->named.end())
                responded.facts.limit = limit->second;
            if (responded.facts.limit)
                this->toldAt.emplace(process, this->fleet.now + this->responseTime);
            if (this->responseTime == Duration::zero())
                events.emplace_back(std::move(responded));
            else
                this->fleet.schedule(this->fleet.now + this->responseTime, host, std::move(responded));
        }
    };

    // Guards against nodes that send an upstream more requests than the limit that it names for all nodes together,
    // since they do not read the limit or since each applies it alone.
    TEST(LimitedUpstreams, GetNoMoreThanTheLimitFromAllNodesTogether)
    {
        for (const std::size_t nodes : fleetSizes) {
            for (const double limit : limits) {
                EntryFleet fleet(nodes);
                LimitedUpstreams upstreams(fleet, 12);
                upstreams.name(2, limit);
                upstreams.run(20s, 800);
                EXPECT_LE(upstreams.excess(limit), 0) << nodes << " nodes, limit " << limit;
            }
        }
    }

    // Load pattern: many times more requests than all upstreams take together. Guards against turns that are lost
    // although requests wait, and against callers that are kept waiting for what cannot be served or are not told when
    // to return.
    TEST(LimitedUpstreams, AreUsedUpToTheirLimitsAndOtherRequestsAreRefusedAtOnce)
    {
        for (const std::size_t nodes : fleetSizes) {
            EntryFleet fleet(nodes);
            LimitedUpstreams upstreams(fleet, 12);
            constexpr double limit = 5;
            constexpr double seconds = 20;
            upstreams.name(12, limit);
            upstreams.run(3s, 800);
            const Instant start = fleet.now;
            upstreams.run(fromSeconds(seconds), 800);
            EXPECT_LE(upstreams.excess(limit), 0) << nodes;
            std::size_t served = 0;
            for (std::size_t index = 0; index < 12; ++index)
                served += upstreams.arrivalsSince(upstreams.id(index), start);
            EXPECT_GE(static_cast<double>(served), 0.9 * 12 * limit * seconds) << nodes;
            // The longest time that a request of the route may wait.
            fleet.advance(50ms);
            for (const RequestId& id : upstreams.sent) {
                ASSERT_TRUE(fleet.responses.contains(id)) << nodes;
                const Respond& response = fleet.responses.at(id);
                const bool tellsReturn = std::any_of(response.headers.begin(), response.headers.end(),
                    [](const auto& field) { return field.first == "retry-after"; });
                ASSERT_TRUE(response.status == 200 || (response.status == 503 && tellsReturn)) << nodes;
            }
        }
    }

    // Guards against callers that are refused because of a limit although other upstreams have room.
    TEST(LimitedUpstreams, RequestsGoToUpstreamsWithoutALimit)
    {
        for (const std::size_t nodes : fleetSizes) {
            EntryFleet fleet(nodes);
            LimitedUpstreams upstreams(fleet, 12);
            upstreams.name(8, 1);
            upstreams.run(20s, 400);
            EXPECT_LE(upstreams.excess(1), 0) << nodes;
            EXPECT_EQ(upstreams.countAnswered(200), upstreams.sent.size()) << nodes;
        }
    }

    // Guards against nodes that save up turns while there are no requests and use them all at the same time.
    TEST(LimitedUpstreams, GetNoBurstAfterAPauseOfTheCallers)
    {
        for (const std::size_t nodes : fleetSizes) {
            EntryFleet fleet(nodes);
            LimitedUpstreams upstreams(fleet, 2);
            upstreams.name(2, 1.6);
            upstreams.run(5s, 100);
            fleet.advance(60s);
            upstreams.run(5s, 800);
            EXPECT_LE(upstreams.excess(1.6), 0) << nodes;
        }
    }

    // Guards against nodes that exceed the limit while they do not know each other: after a restart of all of them, and
    // while half of them cannot reach the platform or their peers.
    TEST(LimitedUpstreams, GetNoMoreThanTheLimitAroundRestartsAndPartitions)
    {
        for (const std::size_t nodes : fleetSizes) {
            for (const double limit : { 1.6, 50.0 }) {
                EntryFleet fleet(nodes);
                LimitedUpstreams upstreams(fleet, 12);
                upstreams.name(12, limit);
                upstreams.run(5s, 800);
                for (std::size_t number = 0; number < nodes; ++number)
                    fleet.add("host-" + std::to_string(number));
                upstreams.toldAt.clear();
                upstreams.list();
                upstreams.run(10s, 800);
                EXPECT_LE(upstreams.excessOfTold(limit), 0) << nodes << " nodes restarted, limit " << limit;
                for (std::size_t number = 0; number < nodes / 2; ++number)
                    fleet.isolated.insert("host-" + std::to_string(number));
                upstreams.run(20s, 800);
                EXPECT_LE(upstreams.excessOfTold(limit), 0) << nodes << " nodes cut in two, limit " << limit;
                fleet.isolated.clear();
                upstreams.run(10s, 800);
                EXPECT_LE(upstreams.excessOfTold(limit), 0) << nodes << " nodes joined again, limit " << limit;
            }
        }
    }

    // Guards against nodes that were added and send at the full rate before the others know them.
    TEST(LimitedUpstreams, GetNoMoreThanTheLimitWhileTheFleetDoubles)
    {
        EntryFleet fleet(9);
        LimitedUpstreams upstreams(fleet, 12);
        upstreams.name(12, 5);
        upstreams.run(5s, 800);
        for (std::size_t number = 9; number < 18; ++number)
            fleet.add("host-" + std::to_string(number));
        upstreams.list();
        upstreams.run(20s, 800);
        EXPECT_LE(upstreams.excess(5), 0);
    }

    // Guards against nodes that exceed the limit while responses are under way, and against a response to a request of
    // before the limit that is taken for its end.
    TEST(LimitedUpstreams, RequestsOnTheirWayDoNotEndALimit)
    {
        for (const std::size_t nodes : fleetSizes) {
            EntryFleet fleet(nodes);
            LimitedUpstreams upstreams(fleet, 12);
            upstreams.responseTime = 700ms;
            upstreams.run(3s, 400);
            upstreams.name(2, 1);
            upstreams.run(20s, 400);
            EXPECT_LE(upstreams.excess(1), 0) << nodes;
        }
    }

    // Guards against upstreams that stay without requests after they have raised or ended their limit, among them one
    // that took none at all.
    TEST(LimitedUpstreams, GetTheirShareAgainWhenTheLimitEnds)
    {
        for (const double limit : { 0.0, 1.0 }) {
            EntryFleet fleet(9);
            LimitedUpstreams upstreams(fleet, 12);
            // The other upstreams are busier than the limited ones.
            upstreams.responseTime = 200ms;
            upstreams.name(2, limit);
            upstreams.run(8s, 400);
            EXPECT_LE(upstreams.excess(limit), 0) << limit;
            upstreams.name(2, std::nullopt);
            // A request shows the end of the limit at the latest after the time between two turns of the lowest rate.
            upstreams.run(12s, 400);
            const Instant start = fleet.now;
            upstreams.run(5s, 400);
            // Half of a fair share.
            EXPECT_GT(upstreams.arrivalsSince(upstreams.id(0), start), 400 * 5 / 12 / 2) << limit;
        }
    }

    // Guards against nodes that only learn of a limit from their own responses: each would send one batch too many.
    TEST(LimitedUpstreams, NodesTellEachOtherAndNodesThatStart)
    {
        EntryFleet fleet(9);
        LimitedUpstreams upstreams(fleet, 2);
        upstreams.name(1, 1);
        const Instant namedAt = fleet.now;
        while (upstreams.arrivalsSince(upstreams.id(0), namedAt) == 0) {
            upstreams.request();
            fleet.advance(1ms);
        }
        fleet.advance(200ms);
        for (const auto& [host, node] : fleet.nodes)
            EXPECT_EQ(node->statistics().limitedUpstreams, 1u) << host;
        const std::size_t messages = fleet.messages;
        upstreams.run(4s, 100);
        EXPECT_EQ(fleet.messages, messages) << "a limit that stays the same needs no messages";
        // All nodes have written a report.
        fleet.advance(6s);
        fleet.add("host-0");
        fleet.advance(200ms);
        EXPECT_EQ(fleet.nodes.at("host-0")->statistics().limitedUpstreams, 1u);
    }

    // Guards against a limit that is lost with a restore of the platform, while the nodes that know it are replaced.
    TEST(LimitedUpstreams, NodesThatStartAfterARestoreKnowTheLimits)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            EntryFleet fleet(9, seed);
            RandomSource random(seed);
            LimitedUpstreams upstreams(fleet, 2);
            const SimulatedPlatform::Copy copy = fleet.platform.copy();
            upstreams.name(1, 1);
            upstreams.run(4s, 100);
            fleet.platform.restore(copy);
            for (int number = 0; number < 9; ++number) {
                fleet.advance(std::chrono::milliseconds(100 + random.below(400)));
                fleet.add("host-" + std::to_string(number));
            }
            fleet.advance(500ms);
            for (const auto& [host, node] : fleet.nodes)
                EXPECT_EQ(node->statistics().limitedUpstreams, 1u) << "seed " << seed << " " << host;
        }
    }

    // Guards against a request of which nobody can tell that a limit moved it, who named the limit, and how old it was.
    TEST(LimitedUpstreams, TheLogTellsThatALimitMovedARequest)
    {
        EntryFleet fleet(9);
        LimitedUpstreams upstreams(fleet, 1);
        upstreams.name(1, 1);
        upstreams.run(2s, 100);
        CallerRequestArrived arrived { fleet.nodes.at("host-0")->nextRequestId(), {} };
        arrived.request.method = "POST";
        arrived.request.path = "/status/x";
        arrived.request.host = EntryHarness::hostName;
        arrived.request.key = "key-n";
        std::string passedOver;
        for (const EntryCommand& command : fleet.nodes.at("host-0")->handle(arrived, fleet.now)) {
            const auto* event = std::get_if<LogEvent>(&command);
            if (!event || event->message != "request ended")
                continue;
            for (const auto& [name, value] : event->fields) {
                if (name == "passedOver")
                    passedOver = value;
            }
        }
        EXPECT_TRUE(passedOver.starts_with(upstreams.id(0).value() + " limit 1/s from ")) << passedOver;
        EXPECT_TRUE(passedOver.ends_with(" ms ago")) << passedOver;
        EXPECT_GT(fleet.nodes.at("host-0")->statistics().limitedRequests, 0u);
    }

    // Guards against statements that are applied in the order of their arrival and not of the responses behind them.
    TEST(UpstreamLimits, TheLatestStatementCounts)
    {
        const UpstreamId upstream("i-1@1");
        const Instant start { 100s };
        UpstreamLimits limits;
        limits.setFleet({ "a" }, "a");
        EXPECT_TRUE(limits.onStated(upstream, { 2.0, start, "response" }, 1000s));
        EXPECT_FALSE(limits.onStated(upstream, { std::nullopt, start - 1s, "10.0.0.1:1" }, 1000s));
        EXPECT_FALSE(limits.onStated(upstream, { 9.0, start - 1s, "10.0.0.1:1" }, 1000s));
        EXPECT_EQ(limits.find(upstream)->perSecond, 2.0);
        EXPECT_TRUE(limits.onStated(upstream, { std::nullopt, start + 1s, "10.0.0.1:1" }, 1001s));
        EXPECT_FALSE(limits.isAnyLimited());
        EXPECT_FALSE(limits.onStated(upstream, { 2.0, start + 500ms, "10.0.0.2:1" }, 1001s));
        EXPECT_LE(limits.nextTurn(upstream, 1001s), 1001s);
        EXPECT_FALSE(limits.onStated(UpstreamId("i-2@1"), { std::nullopt, start, "response" }, 1000s));
    }

    // Guards against a process that inherits the limit of the one before it at the same address.
    TEST(UpstreamLimits, HoldForOneProcessOnly)
    {
        UpstreamLimits limits;
        limits.setFleet({ "a", "b" }, "c");
        limits.onStated(UpstreamId("i-1@1"), { 2.0, Instant { 100s }, "response" }, 1000s);
        EXPECT_EQ(limits.nextTurn(UpstreamId("i-1@1"), 1000s), Duration::max()) << "not a member of the fleet";
        EXPECT_EQ(limits.nextTurn(UpstreamId("i-1@2"), 1000s), Duration(1000s));
    }

    // Guards against memory that grows with every upstream that ever named a limit.
    TEST(UpstreamLimits, AreForgottenWithoutConfirmation)
    {
        UpstreamLimits limits;
        limits.onStated(UpstreamId("i-1@1"), { 2.0, Instant { 100s }, "response" }, 1000s);
        limits.onTick(Instant { 100s } + 9min);
        EXPECT_TRUE(limits.isAnyLimited());
        limits.onTick(Instant { 100s } + 10min);
        EXPECT_FALSE(limits.isAnyLimited());
        EXPECT_EQ(limits.find(UpstreamId("i-1@1")), nullptr);
    }

} // namespace
} // namespace teaselshore
