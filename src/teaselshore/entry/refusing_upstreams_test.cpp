#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr SharedRetryBudget budget { 0.2, 60, 10s };

    /// Upstreams of a fleet of nodes, some of which refuse most requests that they receive. Counts the requests of
    /// callers and the arrivals at upstreams beyond the first of each request.
    class RefusingUpstreams {
    public:
        RefusingUpstreams(EntryFleet& fleet, int count, int refusing, std::uint64_t refusePercent)
            : fleet(fleet)
            , refusePercent(refusePercent)
        {
            fleet.retries = budget;
            this->restartNodes();
            fleet.onForward = [this](const std::string&, const ForwardRequest& forward,
                                  std::vector<EntryEvent>& events) { this->receive(forward, events); };
            for (int number = 1; number <= count; ++number) {
                RegisteredUpstream entry = EntryHarness::upstream(number, 64);
                if (number <= refusing)
                    this->refusing.insert(entry.id());
                this->upstreams.push_back(entry);
            }
            this->list();
        }

        /// @brief Replaces the processes of all nodes.
        void restartNodes()
        {
            for (std::size_t number = 0, count = this->fleet.nodes.size(); number < count; ++number)
                this->fleet.add("host-" + std::to_string(number));
            this->list();
        }

        /// @brief Sends the list of all upstreams to all nodes, as after their start.
        void list()
        {
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, UpstreamsListed { this->upstreams });
        }

        /// @brief Sends requests to random nodes for the given time.
        void run(Duration time, int requestsPerSecond)
        {
            const Instant end = this->fleet.now + time;
            double due = 0;
            while (this->fleet.now < end) {
                for (due += requestsPerSecond / 10.0; due >= 1; --due)
                    this->request();
                this->fleet.advance(100ms);
            }
        }

        void request()
        {
            auto host = std::next(this->fleet.nodes.begin(),
                static_cast<std::ptrdiff_t>(this->fleet.random.below(this->fleet.nodes.size())));
            this->requests.push_back(this->fleet.now);
            this->sent.push_back(this->fleet.request(host->first, std::nullopt, "status"));
        }

        /// @brief Returns the highest number of repeated arrivals in a window, less what the budget allows there.
        double excess() const
        {
            double most = -budget.floor;
            for (const Instant start : this->repeats) {
                const auto count = [start](const std::vector<Instant>& times, Instant from) {
                    return static_cast<double>(std::lower_bound(times.begin(), times.end(), from + budget.window)
                        - std::lower_bound(times.begin(), times.end(), from));
                };
                const double counted = std::max({ count(this->requests, start),
                    count(this->requests, start - budget.window / 2), count(this->requests, start - budget.window) });
                most = std::max(most, count(this->repeats, start) - budget.ratio * counted - budget.floor);
            }
            return most;
        }

        /// @brief Returns the fraction of the requests that were answered with status 200.
        double servedFraction() const
        {
            const auto served = std::count_if(this->sent.begin(), this->sent.end(), [this](const RequestId& id) {
                const auto response = this->fleet.responses.find(id);
                return response != this->fleet.responses.end() && response->second.status == 200;
            });
            return static_cast<double>(served) / static_cast<double>(this->sent.size());
        }

        std::set<UpstreamId> refusing;
        /// Upstreams that refuse connections, so that nothing arrives there.
        std::set<UpstreamId> unreachable;
        std::vector<Instant> repeats;
        /// Upstream of each arrival.
        std::vector<UpstreamId> arrivals;

    private:
        void receive(const ForwardRequest& forward, std::vector<EntryEvent>& events)
        {
            const AttemptId attempt = forward.attempt.attempt;
            if (this->unreachable.contains(forward.attempt.upstream)) {
                events.emplace_back(AttemptFailed { attempt, false, false, 0, "connection refused", std::nullopt });
                return;
            }
            this->arrivals.push_back(forward.attempt.upstream);
            if (!this->arrived.insert(forward.attempt.request).second)
                this->repeats.push_back(this->fleet.now);
            UpstreamResponded responded;
            responded.response.attempt = attempt;
            const bool refuses = this->refusing.contains(forward.attempt.upstream)
                && this->fleet.random.below(100) < this->refusePercent;
            responded.response.status = refuses ? 503 : 200;
            responded.facts.notRun = refuses;
            responded.facts.isStamped = !refuses;
            events.emplace_back(std::move(responded));
        }

        EntryFleet& fleet;
        std::uint64_t refusePercent;
        std::vector<RegisteredUpstream> upstreams;
        std::vector<Instant> requests;
        std::vector<RequestId> sent;
        std::set<RequestId> arrived;
    };

    // Guards against retries that the budget does not count: an upstream that refuses a request has received it.
    TEST(RefusingUpstreams, RetriesOfRefusedRequestsStayWithinTheSharedBudget)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            EntryFleet fleet(nodes);
            RefusingUpstreams upstreams(fleet, 24, 24, 80);
            // Until all nodes know each other.
            fleet.advance(12s);
            upstreams.run(20s, 1500);
            EXPECT_LE(upstreams.excess(), 0) << nodes;
        }
    }

    // Guards against nodes that use more than their share of the budget's floor while they do not know how many share
    // it, or although the process before them has just used it.
    TEST(RefusingUpstreams, StartedAndRestartedNodesStayWithinTheSharedBudget)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            EntryFleet fleet(nodes);
            RefusingUpstreams upstreams(fleet, 24, 24, 80);
            upstreams.run(14s, 100);
            EXPECT_LE(upstreams.excess(), 0) << nodes;
            upstreams.restartNodes();
            upstreams.run(14s, 100);
            EXPECT_LE(upstreams.excess(), 0) << nodes;
        }
    }

    // Load pattern: more than half of the upstreams refuse most requests while the others have room. Guards against
    // nodes that keep sending requests to upstreams that refuse, and refuse callers once the retry budget is spent.
    TEST(RefusingUpstreams, RequestsGoToUpstreamsThatAccept)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            EntryFleet fleet(nodes);
            RefusingUpstreams upstreams(fleet, 24, 14, 80);
            fleet.advance(12s);
            upstreams.run(20s, 800);
            EXPECT_LE(upstreams.excess(), 0) << nodes;
            EXPECT_GE(upstreams.servedFraction(), 0.99) << nodes;
        }
    }

    // Guards against upstreams that stay without requests after they have stopped refusing them.
    TEST(RefusingUpstreams, UpstreamsThatRecoverGetRequestsAgain)
    {
        EntryFleet fleet(75);
        RefusingUpstreams upstreams(fleet, 24, 14, 100);
        fleet.advance(12s);
        upstreams.run(10s, 800);
        const std::set<UpstreamId> recovered = std::exchange(upstreams.refusing, {});
        // The longest time for which a circuit breaker stays open, and one window of it.
        upstreams.run(40s, 800);
        upstreams.arrivals.clear();
        upstreams.run(5s, 800);
        const auto atRecovered = std::count_if(upstreams.arrivals.begin(), upstreams.arrivals.end(),
            [&recovered](const UpstreamId& upstream) { return recovered.contains(upstream); });
        // Half of their fair share.
        const double fairShare = static_cast<double>(recovered.size()) / 24;
        EXPECT_GT(static_cast<double>(atRecovered), fairShare / 2 * static_cast<double>(upstreams.arrivals.size()));
    }

    // Guards against messages that grow with the square of the fleet or with the load, or that are sent although no
    // upstream refuses.
    TEST(RefusingUpstreams, ReportsAreFewAndOnlySentWhileUpstreamsRefuse)
    {
        constexpr std::size_t nodes = 75;
        EntryFleet fleet(nodes);
        RefusingUpstreams upstreams(fleet, 24, 0, 80);
        fleet.advance(12s);
        const std::size_t before = fleet.messages;
        upstreams.run(5s, 800);
        EXPECT_EQ(fleet.messages, before);

        RefusingUpstreams refusing(fleet, 24, 14, 80);
        fleet.advance(12s);
        const std::size_t start = fleet.messages;
        refusing.run(5s, 1600);
        // 32 peers in each half second.
        EXPECT_LE(fleet.messages - start, nodes * 32 * 11);
        refusing.refusing.clear();
        refusing.run(5s, 800);
        const std::size_t end = fleet.messages;
        refusing.run(5s, 800);
        EXPECT_EQ(fleet.messages, end);
    }

    // Guards against a budget that also counts connections that were never established: they put no load on an
    // upstream, and their requests would be refused although other upstreams could serve them.
    TEST(RefusingUpstreams, UnreachableUpstreamsUseNoRetryBudget)
    {
        EntryHarness harness;
        harness.start(3, 64);
        for (int count = 0; count < 200; ++count) {
            harness.now += 10ms;
            harness.request("order");
            auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent) << count;
            // Below the rate at which circuit breakers open.
            if (count % 3 == 0) {
                harness.fail(sent->attempt.attempt, false);
                sent = harness.first<ForwardRequest>();
                ASSERT_TRUE(sent) << count;
            }
            harness.respond(sent->attempt.attempt, 200);
        }
        EXPECT_EQ(harness.node.statistics().deniedRetries, 0u);
    }

    // Load pattern: upstreams with free slots refuse half of the first attempts. Guards against upstreams that get no
    // requests because of their refusals although they have free slots, and against a single upstream that is not tried
    // again although the retry budget allows it.
    TEST(RefusingUpstreams, RequestsReachUpstreamsWithFreeSlots)
    {
        constexpr int requests = 400;
        for (const int count : { 1, 2 }) {
            EntryHarness harness;
            harness.start(count, 6);
            RandomSource random(3);
            int unsent = 0;
            int served = 0;
            int firstRefused = 0;
            for (int number = 0; number < requests; ++number) {
                harness.advance(20ms);
                harness.request("order");
                auto sent = harness.first<ForwardRequest>();
                if (!sent) {
                    ++unsent;
                    harness.advance(100ms);
                    continue;
                }
                if (random.below(2) == 0) {
                    ++firstRefused;
                    harness.respond(sent->attempt.attempt, 503, true);
                    sent = harness.first<ForwardRequest>();
                }
                if (!sent)
                    continue;
                ++served;
                harness.respond(sent->attempt.attempt, 200);
            }
            const auto retries = static_cast<int>(harness.node.statistics().retries);
            EXPECT_EQ(unsent, 0) << count;
            EXPECT_EQ(served, requests - firstRefused + retries) << count;
            // The budget allows a retry for every tenth request in a window.
            EXPECT_GE(retries, requests / 20) << count;
            EXPECT_LE(retries, requests / 5) << count;
        }
    }

    // Load pattern: no new connections can be opened, and open ones carry a third of the attempts. Guards against
    // upstreams that get no requests because of the others, though they answer on the open connections.
    TEST(RefusingUpstreams, RequestsReachUpstreamsByOpenConnections)
    {
        constexpr int requests = 400;
        for (const int count : { 2, 4 }) {
            EntryHarness harness;
            harness.start(count, 64);
            RandomSource random(3);
            int unsent = 0;
            for (int number = 0; number < requests; ++number) {
                harness.advance(20ms);
                harness.request("order");
                auto sent = harness.first<ForwardRequest>();
                if (!sent) {
                    ++unsent;
                    harness.advance(100ms);
                }
                while (sent && random.below(3) != 0) {
                    harness.fail(sent->attempt.attempt, false);
                    sent = harness.first<ForwardRequest>();
                }
                if (sent)
                    harness.respond(sent->attempt.attempt, 200);
            }
            EXPECT_EQ(unsent, 0) << count;
        }
    }

    // Guards against requests that go on to an upstream which is gone, since it answered shortly before.
    TEST(RefusingUpstreams, UpstreamThatIsGoneGetsFewRequests)
    {
        EntryHarness harness;
        harness.start(4, 64);
        const UpstreamId gone = EntryHarness::upstream(1, 64).id();
        int served = 0;
        int failed = 0;
        for (int number = 0; number < 400; ++number) {
            harness.advance(10ms);
            harness.request("order");
            auto sent = harness.first<ForwardRequest>();
            if (number >= 200 && sent && sent->attempt.upstream == gone) {
                ++failed;
                harness.fail(sent->attempt.attempt, false);
                sent = harness.first<ForwardRequest>();
            }
            if (!sent)
                continue;
            ++served;
            harness.respond(sent->attempt.attempt, 200);
        }
        EXPECT_EQ(served, 400);
        // Its part of the requests for half a second, and as many as open a circuit breaker or probe it.
        EXPECT_LE(failed, 50 / 4 + 5 + 2);
    }

} // namespace
} // namespace teaselshore
