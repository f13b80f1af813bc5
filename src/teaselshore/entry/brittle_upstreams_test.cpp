#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry_fleet.hpp"
#include "teaselshore/entry/brittle_upstreams.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr double allowances[] = { 2, 10, 40 };

    /// Services by the size of their upstreams, and the fleet in front of them.
    struct Site {
        std::size_t nodes = 0;
        int upstreams = 0;
        std::uint32_t slots = 0;
        /// Mean time of a run.
        Duration runTime {};

        double capacity() const { return this->upstreams * this->slots / toSeconds(this->runTime); }
    };

    std::ostream& operator<<(std::ostream& out, const Site& site)
    {
        return out << site.nodes << " nodes, " << site.upstreams << " upstreams with " << site.slots << " slots";
    }

    const Site sites[] = { { 9, 3, 6, 60ms }, { 9, 9, 32, 400ms }, { 75, 24, 32, 400ms } };

    /// Upstreams of a fleet of nodes that run a number of requests at once, keep some waiting and refuse the others.
    /// One that refuses too many requests in a second fails for some seconds.
    class BrittleFleet {
    public:
        BrittleFleet(EntryFleet& fleet, const Site& site)
            : fleet(fleet)
            , site(site)
            , waiting(site.slots * 2)
        {
            fleet.onForward = [this](const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>&) {
                this->arrivals.emplace(this->fleet.now + linkDelay,
                    Arrival { host, this->starts[host], forward.attempt.upstream, forward.attempt.attempt });
            };
            for (int number = 1; number <= site.upstreams; ++number) {
                this->registered.push_back(EntryHarness::upstream(number, site.slots));
                this->upstreams[this->registered.back().id()];
            }
            this->list();
            // Until all nodes know each other.
            fleet.advance(12s);
        }

        /// @brief Sends the list of all upstreams to all nodes, as after their start.
        void list()
        {
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, UpstreamsListed { this->registered });
        }

        /// @brief Replaces the process on a host.
        void restart(const std::string& host)
        {
            ++this->starts[host];
            std::erase_if(this->fleet.dueEvents, [&host](const auto& due) { return due.second.first == host; });
            this->fleet.add(host);
            this->fleet.handle(host, UpstreamsListed { this->registered });
        }

        /// @brief Sends requests to random nodes, and runs the upstreams, for the given time.
        void run(Duration time, double requestsPerSecond)
        {
            const Instant end = this->fleet.now + time;
            Instant nextRequest = this->fleet.now;
            while (this->fleet.now < end) {
                while (nextRequest <= this->fleet.now) {
                    this->request();
                    nextRequest += fromSeconds(this->fleet.random.exponential(1 / requestsPerSecond));
                }
                this->step();
            }
        }

        /// @brief Lets all nodes know the statement, and waits until the upstreams may act on it.
        void name(std::optional<double> value, double requestsPerSecond)
        {
            this->allowance = value;
            this->waiting = this->site.slots * 2;
            this->run(contactTime, requestsPerSecond);
            this->waiting = value ? fewWaiting : this->site.slots * 2;
            this->isCounting = value.has_value();
        }

        double maxFailures() const { return 2 + this->site.upstreams / 10.0; }

        /// @brief Returns how many requests were answered with status 200 since the last call, and how many were sent.
        std::pair<std::size_t, std::size_t> takeServed()
        {
            this->run(1s, 1);
            const auto served = std::count_if(this->sent.begin(), this->sent.end(), [this](const RequestId& id) {
                const auto response = this->fleet.responses.find(id);
                return response != this->fleet.responses.end() && response->second.status == 200;
            });
            const std::pair result(static_cast<std::size_t>(served), this->sent.size());
            this->sent.clear();
            return result;
        }

        /// @brief Same as a fraction of the requests.
        double takeServedFraction()
        {
            const auto [served, count] = this->takeServed();
            return static_cast<double>(served) / static_cast<double>(count);
        }

        std::size_t failures = 0;
        std::size_t refusals = 0;
        /// What upstreams name from now on.
        std::optional<double> allowance;
        bool reportsLoad = true;
        /// Number of requests that a brittle upstream lets wait.
        std::uint32_t fewWaiting = 2;

    private:
        static constexpr Duration linkDelay = 4ms;
        static constexpr Duration contactTime = 3s;
        static constexpr Duration downTime = 4s;

        struct Arrival {
            std::string host;
            int start = 0;
            UpstreamId upstream;
            AttemptId attempt = 0;
        };

        struct Upstream {
            std::uint32_t running = 0;
            std::deque<Arrival> queue;
            std::deque<Instant> refusedAt;
            Instant downUntil {};
            /// Rises with each failure; runs of earlier processes do not end.
            int generation = 0;
        };

        void request()
        {
            auto host = std::next(this->fleet.nodes.begin(),
                static_cast<std::ptrdiff_t>(this->fleet.random.below(this->fleet.nodes.size())));
            this->sent.push_back(this->fleet.request(host->first, std::nullopt, "status"));
        }

        void step()
        {
            this->fleet.now += 1ms;
            this->fleet.deliverDue();
            while (!this->ends.empty() && this->ends.begin()->first <= this->fleet.now) {
                const auto [arrival, generation] = this->ends.extract(this->ends.begin()).mapped();
                this->finish(arrival, generation);
            }
            while (!this->arrivals.empty() && this->arrivals.begin()->first <= this->fleet.now)
                this->receive(this->arrivals.extract(this->arrivals.begin()).mapped());
            for (const auto& [host, node] : this->fleet.nodes) {
                if (node->nextTick() <= this->fleet.now)
                    this->fleet.handle(host, EntryTick {});
            }
        }

        void receive(const Arrival& arrival)
        {
            Upstream& upstream = this->upstreams.at(arrival.upstream);
            if (this->fleet.now < upstream.downUntil) {
                this->send(arrival, AttemptFailed { arrival.attempt, false, false, 0, "refused", std::nullopt });
            } else if (upstream.running < this->site.slots) {
                this->start(arrival);
            } else if (upstream.queue.size() < this->waiting) {
                upstream.queue.push_back(arrival);
            } else {
                this->refuse(arrival);
            }
        }

        void start(const Arrival& arrival)
        {
            Upstream& upstream = this->upstreams.at(arrival.upstream);
            ++upstream.running;
            const double factor = 0.5 + this->fleet.random.uniform();
            this->ends.emplace(this->fleet.now + fromSeconds(factor * toSeconds(this->site.runTime)),
                std::pair(arrival, upstream.generation));
        }

        void refuse(const Arrival& arrival)
        {
            Upstream& upstream = this->upstreams.at(arrival.upstream);
            ++this->refusals;
            this->send(arrival, this->response(arrival, true));
            upstream.refusedAt.push_back(this->fleet.now);
            while (upstream.refusedAt.front() <= this->fleet.now - 1s)
                upstream.refusedAt.pop_front();
            if (!this->isCounting || static_cast<double>(upstream.refusedAt.size()) <= *this->allowance)
                return;
            ++this->failures;
            upstream.downUntil = this->fleet.now + downTime;
            upstream.running = 0;
            upstream.refusedAt.clear();
            ++upstream.generation;
            for (const Arrival& lost : std::exchange(upstream.queue, {}))
                this->send(lost, AttemptFailed { lost.attempt, true, true, 0, "reset", std::nullopt });
        }

        void finish(const Arrival& arrival, int generation)
        {
            Upstream& upstream = this->upstreams.at(arrival.upstream);
            if (generation != upstream.generation) {
                this->send(arrival, AttemptFailed { arrival.attempt, true, true, 0, "reset", std::nullopt });
                return;
            }
            --upstream.running;
            while (!upstream.queue.empty() && upstream.running < this->site.slots) {
                this->start(upstream.queue.front());
                upstream.queue.pop_front();
            }
            this->send(arrival, this->response(arrival, false));
        }

        UpstreamResponded response(const Arrival& arrival, bool refuses) const
        {
            const Upstream& upstream = this->upstreams.at(arrival.upstream);
            UpstreamResponded responded;
            responded.response.attempt = arrival.attempt;
            responded.response.status = refuses ? 503 : 200;
            responded.facts.notRun = refuses;
            responded.facts.isStamped = !refuses;
            responded.facts.refusalAllowance = this->allowance;
            const auto queued = static_cast<std::uint32_t>(upstream.queue.size());
            if (this->reportsLoad)
                responded.facts.load = ResponseFacts::Load { upstream.running, queued };
            return responded;
        }

        void send(const Arrival& arrival, EntryEvent event)
        {
            if (this->starts[arrival.host] == arrival.start)
                this->fleet.schedule(this->fleet.now + linkDelay, arrival.host, std::move(event));
        }

        EntryFleet& fleet;
        Site site;
        /// Number of requests that an upstream lets wait.
        std::uint32_t waiting = 0;
        std::vector<RegisteredUpstream> registered;
        std::map<UpstreamId, Upstream> upstreams;
        std::multimap<Instant, Arrival> arrivals;
        std::multimap<Instant, std::pair<Arrival, int>> ends;
        /// Number of restarts of each host.
        std::map<std::string, int> starts;
        std::vector<RequestId> sent;
        bool isCounting = false;
    };

    // Guards against upstreams that fail in a burst since the nodes do not read how few refusals they bear, or since
    // each node uses the whole allowance alone.
    TEST(BrittleUpstreams, BearABurstOfThreeTimesTheirCapacity)
    {
        for (const Site& site : sites) {
            for (const double allowance : allowances) {
                EntryFleet fleet(site.nodes);
                BrittleFleet upstreams(fleet, site);
                upstreams.name(allowance, 0.5 * site.capacity());
                upstreams.run(2s, 0.5 * site.capacity());
                upstreams.run(4s, 3 * site.capacity());
                upstreams.run(2s, 0.5 * site.capacity());
                EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures())
                    << site << ", allowance " << allowance << ", refusals " << upstreams.refusals;
            }
        }
    }

    // Guards against callers that are refused although upstreams have room for them.
    TEST(BrittleUpstreams, ServeASoundLoadLikeOthers)
    {
        for (const Site& site : sites) {
            for (const double allowance : allowances) {
                EntryFleet fleet(site.nodes);
                BrittleFleet upstreams(fleet, site);
                upstreams.run(3s, 0.5 * site.capacity());
                upstreams.takeServed();
                upstreams.run(3s, 0.5 * site.capacity());
                const double before = upstreams.takeServedFraction();
                upstreams.name(allowance, 0.5 * site.capacity());
                upstreams.run(6s, 0.5 * site.capacity());
                EXPECT_GE(upstreams.takeServedFraction(), 0.95 * before)
                    << site << ", allowance " << allowance << ", before " << before;
                EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures()) << site;
            }
        }
    }

    // Guards against nodes that do not know of the statement, or of the other nodes: after a restart of some of them,
    // and while one reaches no peers.
    TEST(BrittleUpstreams, BearRestartsAndANodeWithoutPeers)
    {
        for (const Site& site : sites) {
            for (const double allowance : allowances) {
                EntryFleet fleet(site.nodes);
                BrittleFleet upstreams(fleet, site);
                fleet.cutFromPeers.insert("host-1");
                upstreams.name(allowance, 0.5 * site.capacity());
                upstreams.run(2s, 3 * site.capacity());
                for (std::size_t number = 2; number < 2 + site.nodes / 3; ++number)
                    upstreams.restart("host-" + std::to_string(number));
                upstreams.run(4s, 3 * site.capacity());
                EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures())
                    << site << ", allowance " << allowance << ", refusals " << upstreams.refusals;
            }
        }
    }

    // Guards against upstreams that fail since more nodes send a first request at the same time than there are free
    // slots.
    TEST(BrittleUpstreams, BearABurstWithLessThanTwoSlotsForEachNode)
    {
        const Site site { 75, 12, 8, 60ms };
        EntryFleet fleet(site.nodes);
        BrittleFleet upstreams(fleet, site);
        upstreams.name(2, 0.5 * site.capacity());
        upstreams.run(2s, 0.5 * site.capacity());
        upstreams.run(4s, 3 * site.capacity());
        EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures()) << upstreams.refusals;
    }

    // Guards against callers that are refused because upstreams without a waiting room are closed after each refusal.
    TEST(BrittleUpstreams, ServeASoundLoadWithoutAWaitingRoom)
    {
        const Site site { 9, 3, 6, 60ms };
        EntryFleet fleet(site.nodes);
        BrittleFleet upstreams(fleet, site);
        upstreams.fewWaiting = 0;
        upstreams.run(3s, 0.5 * site.capacity());
        upstreams.takeServed();
        upstreams.run(3s, 0.5 * site.capacity());
        const double before = upstreams.takeServedFraction();
        upstreams.name(2, 0.5 * site.capacity());
        upstreams.takeServed();
        upstreams.run(6s, 0.5 * site.capacity());
        EXPECT_GE(upstreams.takeServedFraction(), 0.95 * before);
        EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures());
    }

    // Guards against callers that are refused at upstreams that report no load, and against such upstreams that fail.
    TEST(BrittleUpstreams, ServeASoundLoadAndBearABurstWithoutReportsOfTheirLoad)
    {
        for (const Site& site : sites) {
            EntryFleet fleet(site.nodes);
            BrittleFleet upstreams(fleet, site);
            upstreams.reportsLoad = false;
            upstreams.run(3s, 0.5 * site.capacity());
            upstreams.takeServed();
            upstreams.run(3s, 0.5 * site.capacity());
            const double before = upstreams.takeServedFraction();
            upstreams.name(10, 0.5 * site.capacity());
            upstreams.run(6s, 0.5 * site.capacity());
            EXPECT_GE(upstreams.takeServedFraction(), 0.95 * before) << site << ", before " << before;
            upstreams.run(4s, 3 * site.capacity());
            EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures())
                << site << ", refusals " << upstreams.refusals;
        }
    }

    // Guards against a statement that is forgotten too early or never: upstreams that are brittle time and again fail
    // no more often, and get the full load in between.
    TEST(BrittleUpstreams, BearBurstsWhenStatementsComeAndGo)
    {
        for (const Site& site : sites) {
            EntryFleet fleet(site.nodes);
            BrittleFleet upstreams(fleet, site);
            upstreams.name(std::nullopt, 0.5 * site.capacity());
            upstreams.takeServed();
            upstreams.run(3s, 0.7 * site.capacity());
            const double before = upstreams.takeServedFraction();
            for (int round = 0; round < 3; ++round) {
                upstreams.name(2, 0.5 * site.capacity());
                upstreams.failures = 0;
                upstreams.run(2s, 3 * site.capacity());
                upstreams.run(1s, 0.5 * site.capacity());
                EXPECT_LE(static_cast<double>(upstreams.failures), upstreams.maxFailures()) << site << " " << round;
                upstreams.name(std::nullopt, 0.5 * site.capacity());
            }
            upstreams.takeServed();
            upstreams.run(3s, 0.7 * site.capacity());
            EXPECT_GE(upstreams.takeServedFraction(), 0.95 * before) << site << ", before " << before;
        }
    }

    constexpr const char* thisHost = "host-a";
    const Instant start { 1000s };

    RegisteredUpstream upstreamWith(std::uint32_t slots) { return EntryHarness::upstream(1, slots); }

    bool maySend(const BrittleUpstreams& upstreams, const RegisteredUpstream& upstream, Instant now)
    {
        return upstreams.closedUpstreams({ upstream }, now).empty();
    }

    BrittleUpstreams brittleFor(double allowance, std::size_t nodes, const std::string& host = thisHost)
    {
        BrittleUpstreams upstreams(host);
        upstreams.setNodes(nodes);
        upstreams.onStated(ServiceName("app"), allowance, start);
        return upstreams;
    }

    // Guards against an upstream that gets requests although its known refusals have used up half of the allowance, and
    // against more requests than its slots, its completed requests and the allowance admit, whatever the order of
    // events.
    RC_GTEST_PROP(BrittleUpstreams, BoundsRequestsInAnyOrderOfEvents, (std::uint64_t seed))
    {
        RandomSource random(seed);
        const RegisteredUpstream upstream = upstreamWith(static_cast<std::uint32_t>(1 + random.below(64)));
        const auto allowance = static_cast<double>(random.below(50));
        BrittleUpstreams upstreams = brittleFor(allowance, random.below(20));
        Instant now = start;
        std::deque<Instant> refusals;
        std::uint32_t outstanding = 0;
        double admitted = upstream.slots + allowance;
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(random.below(3));
            while (!refusals.empty() && refusals.front() <= now - BrittleUpstreams::refusalPeriod)
                refusals.pop_front();
            switch (random.below(8)) {
            case 0:
                upstreams.onLoad(upstream.id(), outstanding, now);
                break;
            case 1:
                upstreams.onRefused(upstream.id(), 1, now);
                refusals.push_back(now);
                break;
            case 2:
                if (outstanding == 0)
                    break;
                --outstanding;
                upstreams.onCompleted(upstream, now);
                ++admitted;
                break;
            default:
                if (!maySend(upstreams, upstream, now))
                    break;
                RC_ASSERT(static_cast<double>(refusals.size()) < std::max(1.0, std::floor(allowance / 2)));
                upstreams.onSent(upstream, now);
                ++outstanding;
                RC_ASSERT(outstanding <= admitted);
            }
        }
    }

    // Guards against nodes that each use the whole room of an upstream: over many reports, all nodes together add no
    // more than the room that it reported and a quarter of the allowance.
    TEST(BrittleUpstreams, AllNodesTogetherAddNoMoreThanTheRoom)
    {
        for (const std::size_t nodes : { 1u, 9u, 75u, 300u }) {
            for (const double allowance : allowances) {
                const RegisteredUpstream upstream = upstreamWith(32);
                std::vector<BrittleUpstreams> fleet;
                for (std::size_t number = 0; number < nodes; ++number)
                    fleet.push_back(brittleFor(allowance, nodes, "host-" + std::to_string(number)));
                constexpr int reports = 200;
                std::size_t added = 0;
                for (int number = 0; number < reports; ++number) {
                    const Instant now = start + number * 30ms;
                    for (BrittleUpstreams& node : fleet) {
                        node.onLoad(upstream.id(), 24, now);
                        for (; maySend(node, upstream, now + 25ms); ++added)
                            node.onSent(upstream, now + 25ms);
                    }
                }
                EXPECT_LE(static_cast<double>(added) / reports, 8 + allowance / 4) << nodes << " " << allowance;
                EXPECT_GT(added, 0u) << nodes << " " << allowance;
            }
        }
    }

    // Guards against requests that wait although the upstream has just completed one, and against those that replace
    // one at an upstream that has none free.
    TEST(BrittleUpstreams, CompletedRequestsAreReplaced)
    {
        const RegisteredUpstream upstream = upstreamWith(8);
        BrittleUpstreams upstreams = brittleFor(2, 300);
        upstreams.onLoad(upstream.id(), 7, start);
        upstreams.onCompleted(upstream, start);
        EXPECT_TRUE(maySend(upstreams, upstream, start + 40ms));
        upstreams.onSent(upstream, start + 40ms);
        upstreams.onLoad(upstream.id(), 8, start + 40ms);
        upstreams.onCompleted(upstream, start + 40ms);
        EXPECT_FALSE(maySend(upstreams, upstream, start + 40ms));
    }

    // Guards against a refusal that closes an upstream for good, or that a service which is not brittle is closed for.
    TEST(BrittleUpstreams, AreClosedForTheRestOfTheSecondOnceHalfOfTheAllowanceIsUsed)
    {
        const RegisteredUpstream upstream = upstreamWith(64);
        BrittleUpstreams upstreams = brittleFor(4, 1);
        EXPECT_TRUE(maySend(upstreams, upstream, start));
        upstreams.onRefused(upstream.id(), 1, start);
        EXPECT_FALSE(maySend(upstreams, upstream, start + 99ms));
        EXPECT_TRUE(maySend(upstreams, upstream, start + 100ms));
        upstreams.onRefused(upstream.id(), 1, start + 200ms);
        EXPECT_FALSE(maySend(upstreams, upstream, start + 999ms));
        EXPECT_TRUE(maySend(upstreams, upstream, start + 1s));
        BrittleUpstreams sound(thisHost);
        sound.onRefused(upstream.id(), 100, start);
        EXPECT_TRUE(maySend(sound, upstream, start));
    }

    // Guards against a service that is taken for brittle by the responses of another one, that stays so, or that is
    // forgotten because of one response without the statement.
    TEST(BrittleUpstreams, StatementsHoldForOneServiceUntilTheyEnd)
    {
        const ServiceName app("app");
        BrittleUpstreams upstreams(thisHost);
        EXPECT_FALSE(upstreams.onStated(app, std::nullopt, start));
        EXPECT_TRUE(upstreams.onStated(app, 5, start));
        EXPECT_FALSE(upstreams.allowance(ServiceName("other")));
        EXPECT_FALSE(upstreams.onStated(app, 5, start + 1s));
        EXPECT_FALSE(upstreams.onStated(app, 9, start + 1s));
        EXPECT_TRUE(upstreams.onStated(app, 2, start + 1s));
        EXPECT_EQ(upstreams.allowance(app), 2);
        EXPECT_FALSE(upstreams.onStated(app, std::nullopt, start + 1999ms));
        EXPECT_TRUE(upstreams.onStated(app, std::nullopt, start + 2s));
        EXPECT_FALSE(upstreams.allowance(app));
    }

} // namespace
} // namespace teaselshore
