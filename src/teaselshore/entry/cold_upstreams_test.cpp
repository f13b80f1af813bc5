#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cold_exchange.hpp"
#include "entry_fleet.hpp"
#include "teaselshore/entry/upstream_limits.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration coldTime = 8s;
    constexpr double coldRate = 13;

    /// Requests that a cold upstream may get in any one second.
    double boundFor(double rate) { return rate * 1.5 + 5; }

    /// Returns the most of these times that are within one second; they are in order.
    std::size_t mostWithinSecond(const std::deque<Instant>& times)
    {
        std::size_t most = 0;
        auto first = times.begin();
        for (auto last = times.begin(); last != times.end(); ++last) {
            while (*first + 1s <= *last)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    /// Nodes that send to one cold upstream whenever they may, each with limits, a fleet and a clock of its own.
    class ColdFleet {
    public:
        ColdFleet(std::size_t size, double rate, std::uint64_t seed)
            : random(seed)
            , rate(rate)
        {
            for (std::size_t index = 0; index < size; ++index)
                this->start("host-" + std::to_string(this->hostCount++), 0s);
            for (Node& node : this->nodes)
                node.hosts = this->allHosts();
            for (Node& node : this->nodes)
                this->startProcess(node);
        }

        void run(Duration time)
        {
            const Instant end = this->now + time;
            while (this->now < end) {
                this->now += 10ms;
                this->applyDue();
                for (Node& node : this->nodes)
                    this->send(node);
            }
        }

        /// @brief Stops or resumes the callers of all nodes.
        void setIdle(bool isIdle) { this->isIdle = isIdle; }

        /// @brief Restarts the upstream. Each node learns of the new process within two seconds, and knows until then
        /// that the connections to the old one broke.
        void restartUpstream()
        {
            ++this->process;
            for (Node& node : this->nodes) {
                this->makeCold(node);
                const std::uint64_t current = this->process;
                this->defer(node.host, this->below(2000ms), [this, current](Node& learning) {
                    if (learning.process >= current)
                        return;
                    learning.limits->endCold(this->idOf(learning.process));
                    learning.process = current;
                    this->makeCold(learning);
                });
            }
        }

        /// @brief Adds hosts; each node learns of them at another time, and they know of that last.
        void join(std::size_t count)
        {
            std::vector<std::string> joined;
            for (std::size_t index = 0; index < count; ++index) {
                joined.push_back("host-" + std::to_string(this->hostCount++));
                this->start(joined.back(), 5s);
            }
            this->changeFleets([joined](std::vector<std::string>& hosts) {
                for (const std::string& host : joined) {
                    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
                        hosts.push_back(host);
                }
            });
        }

        void leave(std::size_t count)
        {
            std::set<std::string> left;
            while (left.size() < count) {
                if (this->nodes.size() <= 2)
                    break;
                const std::size_t leaving = this->random.below(this->nodes.size());
                left.insert(this->nodes[leaving].host);
                this->nodes.erase(this->nodes.begin() + static_cast<std::ptrdiff_t>(leaving));
            }
            this->changeFleets([left](std::vector<std::string>& hosts) {
                std::erase_if(hosts, [&left](const std::string& host) { return left.contains(host); });
            });
        }

        /// @brief Restarts the processes of some nodes, which forget the turns that they have used.
        void restartNodes(std::size_t count)
        {
            for (std::size_t index = 0; index < count; ++index)
                this->startProcess(this->nodes[this->random.below(this->nodes.size())]);
        }

        std::size_t size() const { return this->nodes.size(); }

        RandomSource random;
        Instant now { 1000s };
        std::deque<Instant> arrivals;

    private:
        struct Node {
            std::string host;
            std::unique_ptr<UpstreamLimits> limits;
            /// Difference between its clock and the true time.
            Duration clockOffset {};
            /// Hosts of the fleet as this node knows it.
            std::vector<std::string> hosts;
            /// Upstream process that it knows.
            std::uint64_t process = 0;
        };

        using Change = std::function<void(Node&)>;

        UpstreamId idOf(std::uint64_t number) const { return UpstreamId("i-1@" + std::to_string(number)); }

        Duration below(Duration time)
        {
            return Duration(static_cast<Duration::rep>(this->random.below(static_cast<std::uint64_t>(time.count()))));
        }

        Duration wallClock(const Node& node) const
        {
            return this->now.time_since_epoch() + EntryFleet::calendarOffset + node.clockOffset;
        }

        void makeCold(Node& node)
        {
            const ColdLimit limit { ServiceName("app"), "i-1", this->rate, Instant::max() };
            node.limits->setCold(this->idOf(node.process), limit, this->wallClock(node));
        }

        void start(const std::string& host, Duration unknownFor)
        {
            Node node { host, nullptr, this->below(600ms) - 300ms, {}, this->process };
            this->startProcess(node);
            this->nodes.push_back(std::move(node));
            if (unknownFor == Duration::zero())
                return;
            this->defer(host, unknownFor, [this](Node& known) {
                known.hosts = this->allHosts();
                known.limits->setFleet(known.hosts, known.host, this->wallClock(known));
            });
        }

        void startProcess(Node& node)
        {
            node.limits = std::make_unique<UpstreamLimits>();
            node.limits->setFleet(node.hosts, node.host, this->wallClock(node));
            this->makeCold(node);
        }

        std::vector<std::string> allHosts() const
        {
            std::vector<std::string> hosts;
            for (const Node& node : this->nodes)
                hosts.push_back(node.host);
            return hosts;
        }

        void changeFleets(const std::function<void(std::vector<std::string>&)>& change)
        {
            for (const Node& node : this->nodes) {
                this->defer(node.host, this->below(5s), [this, change](Node& learning) {
                    if (learning.hosts.empty())
                        return;
                    change(learning.hosts);
                    learning.limits->setFleet(learning.hosts, learning.host, this->wallClock(learning));
                });
            }
        }

        void defer(const std::string& host, Duration time, Change change)
        {
            this->due.emplace(this->now + time, std::pair(host, std::move(change)));
        }

        void applyDue()
        {
            while (!this->due.empty() && this->due.begin()->first <= this->now) {
                const auto item = this->due.extract(this->due.begin());
                for (Node& node : this->nodes) {
                    if (node.host == item.mapped().first)
                        item.mapped().second(node);
                }
            }
        }

        void send(Node& node)
        {
            if (this->isIdle)
                return;
            const Duration time = this->wallClock(node);
            const UpstreamId id = this->idOf(node.process);
            while (node.limits->nextTurn(id, time) <= time) {
                node.limits->onSent(id, time);
                this->arrivals.push_back(this->now);
            }
        }

        double rate;
        std::vector<Node> nodes;
        std::size_t hostCount = 0;
        std::uint64_t process = 1;
        bool isIdle = false;
        std::multimap<Instant, std::pair<std::string, Change>> due;
    };

    void checkAnyHistory(std::size_t size, std::uint64_t seed)
    {
        RandomSource random(seed);
        const double rate = std::vector<double> { 1, 5, 13, 40 }[random.below(4)];
        ColdFleet fleet(size, rate, random.next());
        const std::size_t most = std::max<std::size_t>(1, size / 3);
        for (int step = 0; step < 12; ++step) {
            switch (random.below(6)) {
            case 0:
                fleet.restartUpstream();
                break;
            case 1:
                fleet.join(1 + random.below(most));
                break;
            case 2:
                fleet.leave(1 + random.below(most));
                break;
            case 3:
                fleet.restartNodes(1 + random.below(fleet.size()));
                break;
            default:
                fleet.setIdle(random.below(2) == 0);
                break;
            }
            fleet.run(std::chrono::milliseconds(random.below(4000)));
        }
        const std::size_t arrived = mostWithinSecond(fleet.arrivals);
        RC_ASSERT(static_cast<double>(arrived) <= boundFor(rate));
        fleet.setIdle(false);
        fleet.run(6s);
        // With the fleet settled again, the turns are there and used.
        const std::size_t before = fleet.arrivals.size();
        fleet.run(20s);
        RC_ASSERT(static_cast<double>(fleet.arrivals.size() - before) >= 0.4 * rate * 20 - 5);
        RC_ASSERT(static_cast<double>(mostWithinSecond(fleet.arrivals)) <= boundFor(rate));
    }

    // Guards against a cold upstream that gets more than it bears in a second from all nodes together: after its
    // restarts, while nodes join, leave and restart and know this at different times, with clocks that differ by up to
    // 0.3 s, and when waiting requests of all nodes go out at once.
    RC_GTEST_PROP(ColdUpstreams, NineNodesKeepTheBound, (std::uint64_t seed)) { checkAnyHistory(9, seed); }
    RC_GTEST_PROP(ColdUpstreams, NinetyNodesKeepTheBound, (std::uint64_t seed)) { checkAnyHistory(90, seed); }
    RC_GTEST_PROP(ColdUpstreams, ThreeHundredNodesKeepTheBound, (std::uint64_t seed)) { checkAnyHistory(300, seed); }

    // Guards against a limit that outlives the time for which the upstream is cold, or ends before.
    TEST(ColdUpstreams, LimitExpires)
    {
        UpstreamLimits limits;
        limits.setFleet({ "a", "b" }, "a", 50s);
        const UpstreamId id("i-1@1");
        const Instant until { 60s };
        EXPECT_TRUE(limits.setCold(id, { ServiceName("app"), "i-1", 1, until }, 50s));
        EXPECT_FALSE(limits.setCold(id, { ServiceName("app"), "i-1", 1, until }, 50s)) << "known already";
        EXPECT_TRUE(limits.isAnyLimited());
        EXPECT_GT(limits.nextTurn(id, 50s), 50s);
        EXPECT_EQ(limits.turnPeriod(id), 2s);
        EXPECT_TRUE(limits.endExpiredCold(until - 1us).empty());
        EXPECT_EQ(limits.endExpiredCold(until), std::vector { id });
        EXPECT_FALSE(limits.isAnyLimited());
        EXPECT_LE(limits.nextTurn(id, 50s), 50s);
    }

    /// Fleet whose service has 12 upstreams that are cold after their start.
    class ColdService {
    public:
        explicit ColdService(std::size_t nodes, double rate = coldRate)
            : fleet(nodes)
        {
            EntryConfiguration configuration = EntryHarness::configuration(2);
            configuration.services[0].coldTime = coldTime;
            configuration.services[0].coldRate = rate;
            this->fleet.onForward = [this](const std::string& host, const ForwardRequest& forward,
                                        std::vector<EntryEvent>& events) { this->receive(host, forward, events); };
            UpstreamsListed listed;
            for (int number = 1; number <= 12; ++number)
                listed.upstreams.push_back(this->entry(number, 0s));
            for (const auto& [host, node] : this->fleet.nodes) {
                this->fleet.handle(host, EntryConfigurationRead { configuration, "2" });
                this->fleet.handle(host, listed);
            }
            // Until all nodes know each other.
            this->fleet.advance(12s);
        }

        /// @brief Returns an entry that states for how long its upstream is cold; each has another version.
        RegisteredUpstream entry(int number, std::optional<Duration> left)
        {
            RegisteredUpstream upstream = EntryHarness::upstream(number, 64);
            upstream.coldFor = { left, ++this->lastVersion };
            return upstream;
        }

        void write(const RegisteredUpstream& entry)
        {
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, UpstreamChanged { entry });
        }

        void run(Duration time, double requestsPerSecond = 900)
        {
            const Instant end = this->fleet.now + time;
            double due = 0;
            while (this->fleet.now < end) {
                for (due += requestsPerSecond / 10; due >= 1; --due)
                    this->sent.push_back(this->request());
                this->fleet.advance(100ms);
            }
        }

        RequestId request()
        {
            const auto host = std::next(this->fleet.nodes.begin(),
                static_cast<std::ptrdiff_t>(this->fleet.random.below(this->fleet.nodes.size())));
            return this->fleet.request(host->first, std::nullopt, "status");
        }

        static UpstreamId id(int number) { return EntryHarness::upstream(number).id(); }

        std::size_t countAnswered(int status) const
        {
            return static_cast<std::size_t>(
                std::count_if(this->sent.begin(), this->sent.end(), [this, status](const RequestId& request) {
                    const auto response = this->fleet.responses.find(request);
                    return response != this->fleet.responses.end() && response->second.status == status;
                }));
        }

        /// @brief Returns how many nodes take upstreams for cold.
        std::size_t nodesThatKnow() const
        {
            std::size_t count = 0;
            for (const auto& [host, node] : this->fleet.nodes)
                count += node->statistics().coldUpstreams > 0 ? 1 : 0;
            return count;
        }

        EntryFleet fleet;
        std::map<UpstreamId, std::deque<Instant>> arrivals;
        /// Same from nodes that could not connect to the upstream before.
        std::map<UpstreamId, std::deque<Instant>> arrivalsOfFailed;
        /// Upstreams to which no connection can be established.
        std::set<UpstreamId> dark;
        std::vector<RequestId> sent;

    private:
        void receive(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)
        {
            const std::pair attempted(host, forward.attempt.upstream);
            if (this->dark.contains(forward.attempt.upstream)) {
                this->failed.insert(attempted);
                events.emplace_back(AttemptFailed { forward.attempt.attempt, false, false, 0, "refused", {} });
                return;
            }
            this->arrivals[forward.attempt.upstream].push_back(this->fleet.now);
            if (this->failed.contains(attempted))
                this->arrivalsOfFailed[forward.attempt.upstream].push_back(this->fleet.now);
            UpstreamResponded responded;
            responded.response.attempt = forward.attempt.attempt;
            responded.response.status = 200;
            responded.facts.isStamped = true;
            events.emplace_back(std::move(responded));
        }

        std::set<std::pair<std::string, UpstreamId>> failed;
        std::uint64_t lastVersion = 0;
    };

    // Guards against cold upstreams that get more than their turns, most of all when they have just registered and look
    // idle to all nodes, and against requests that are refused although the others have room.
    TEST(ColdUpstreams, GetTheirTurnsAndOthersTakeTheRest)
    {
        for (const std::size_t nodes : { 9U, 90U }) {
            ColdService service(nodes);
            // The upstreams of one zone are new.
            for (int number = 1; number <= 4; ++number) {
                RegisteredUpstream restarted = service.entry(number, coldTime);
                restarted.startedAt += 1000;
                service.write(restarted);
            }
            service.run(6s);
            for (int number = 1; number <= 4; ++number) {
                RegisteredUpstream restarted = EntryHarness::upstream(number);
                restarted.startedAt += 1000;
                const auto& arrived = service.arrivals[restarted.id()];
                EXPECT_LE(static_cast<double>(mostWithinSecond(arrived)), boundFor(coldRate)) << nodes;
                EXPECT_GT(arrived.size(), 0u) << nodes;
                EXPECT_EQ(service.arrivals.count(ColdService::id(number)), 0u) << "the old process";
            }
            EXPECT_EQ(service.countAnswered(200), service.sent.size()) << nodes;
            EXPECT_EQ(service.nodesThatKnow(), nodes);
            service.run(6s);
            EXPECT_EQ(service.nodesThatKnow(), 0u) << "the cold time has passed";
        }
    }

    // Guards against an entry that states nothing, whose upstream has just started, and against an entry that a list
    // repeats and that would start the time again.
    TEST(ColdUpstreams, EntryWithoutAStatementIsColdAfterItsStart)
    {
        ColdService service(9);
        const Duration wallClock = service.fleet.now.time_since_epoch() + EntryFleet::calendarOffset;
        RegisteredUpstream started = service.entry(1, std::nullopt);
        started.startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(wallClock - 3s).count();
        service.write(started);
        service.fleet.advance(200ms);
        EXPECT_EQ(service.nodesThatKnow(), 9u);
        service.fleet.advance(coldTime - 3s);
        EXPECT_EQ(service.nodesThatKnow(), 0u);
        const RegisteredUpstream stated = service.entry(2, 2s);
        service.write(stated);
        service.fleet.advance(3s);
        service.write(stated);
        EXPECT_EQ(service.nodesThatKnow(), 0u) << "repeated";
        service.write(service.entry(2, 2s));
        EXPECT_EQ(service.nodesThatKnow(), 9u) << "cold again";
        service.write(service.entry(2, 0s));
        EXPECT_EQ(service.nodesThatKnow(), 0u) << "the last statement counts";
    }

    // Guards against more requests of all nodes together than an upstream bears that answers again, cold, before its
    // entry says so: also of nodes that have not noticed that it did not answer.
    TEST(ColdUpstreams, AnswerAfterBrokenConnectionsKeepsTheBoundForAllNodes)
    {
        for (const std::size_t nodes : { 9U, 90U }) {
            ColdService service(nodes);
            service.run(1s);
            for (int number = 1; number <= 4; ++number)
                service.dark.insert(ColdService::id(number));
            service.run(4s);
            service.arrivals.clear();
            service.dark.clear();
            service.run(4s);
            for (int number = 1; number <= 4; ++number) {
                const auto& arrived = service.arrivals[ColdService::id(number)];
                EXPECT_LE(static_cast<double>(mostWithinSecond(arrived)), boundFor(coldRate)) << nodes;
            }
        }
    }

    // Guards against the requests of all nodes at an upstream that answers again before its entry says that it is cold,
    // as far as they have noticed that it did not, and against upstreams that stay limited although their entry says
    // that they are warm.
    TEST(ColdUpstreams, AnswerAfterBrokenConnectionsIsTakenForCold)
    {
        for (const std::size_t nodes : { 9U, 90U }) {
            ColdService service(nodes);
            service.run(1s);
            for (int number = 1; number <= 4; ++number)
                service.dark.insert(ColdService::id(number));
            service.run(4s);
            EXPECT_GT(service.nodesThatKnow(), nodes / 2);
            service.dark.clear();
            service.run(4s);
            for (int number = 1; number <= 4; ++number) {
                const auto& arrived = service.arrivalsOfFailed[ColdService::id(number)];
                EXPECT_LE(static_cast<double>(mostWithinSecond(arrived)), boundFor(coldRate)) << nodes;
            }
            EXPECT_GT(service.nodesThatKnow(), nodes / 2) << "answers alone do not tell that an upstream is warm";
            for (int number = 1; number <= 4; ++number)
                service.write(service.entry(number, 0s));
            EXPECT_EQ(service.nodesThatKnow(), 0u);
            // Until the circuit breakers have closed.
            service.run(20s);
            service.arrivals.clear();
            service.run(4s);
            std::size_t arrived = 0;
            for (int number = 1; number <= 4; ++number)
                arrived += service.arrivals[ColdService::id(number)].size();
            // Twice the turns of four cold upstreams in this time.
            EXPECT_GT(static_cast<double>(arrived), 2 * 4 * 4 * UpstreamLimits::coldTurnFraction * coldRate) << nodes;
        }
    }

    // Guards against upstreams of a dark zone that this node has not tried meanwhile and takes for warm when they are
    // back, and against a zone that counts as dark since some of its upstreams have ended.
    TEST(ColdUpstreams, UpstreamsOfADarkZoneAreTakenForCold)
    {
        EntryState state(EntryHarness::settings(1, "host-a"));
        EntryConfiguration configuration = EntryHarness::configuration();
        configuration.services[0].coldTime = coldTime;
        configuration.services[0].coldRate = coldRate;
        state.table = std::make_shared<const RouteTable>(configuration);
        state.clockOffset = EntryFleet::calendarOffset;
        ColdExchange cold(state);
        const Instant now { 1000s };
        cold.onConfiguration(now);
        for (int number = 1; number <= 8; ++number) {
            RegisteredUpstream upstream = EntryHarness::upstream(number);
            upstream.zone = AvailabilityZone(number <= 5 ? "zone-a" : "zone-b");
            cold.onEntry(upstream, now);
        }
        cold.onUnreachable(ColdService::id(1), now);
        cold.onUnreachable(ColdService::id(2), now);
        cold.onResponse(ColdService::id(4), {}, now);
        cold.onUnreachable(ColdService::id(3), now);
        EXPECT_EQ(state.limits.coldCount(), 3u) << "one answered in between";
        cold.onUnreachable(ColdService::id(6), now);
        cold.onUnreachable(ColdService::id(1), now);
        EXPECT_EQ(state.limits.coldCount(), 4u) << "another zone, and one that was counted before";
        cold.onUnreachable(ColdService::id(2), now);
        EXPECT_EQ(state.limits.coldCount(), 6u);
        EXPECT_TRUE(state.limits.findCold(ColdService::id(5)));
        cold.onResponse(ColdService::id(5), {}, now + 60s);
        EXPECT_EQ(state.limits.findCold(ColdService::id(5))->until, now + 60s + coldTime);
    }

    // Guards against an entry that was removed while its upstream was dark, and returns without a statement.
    TEST(ColdUpstreams, ReturningEntryIsTakenForCold)
    {
        ColdService service(9);
        for (const auto& [host, node] : service.fleet.nodes)
            service.fleet.handle(host, UpstreamRemoved { "i-1" });
        service.fleet.advance(5s);
        EXPECT_EQ(service.nodesThatKnow(), 0u);
        service.write(service.entry(1, std::nullopt));
        EXPECT_EQ(service.nodesThatKnow(), 9u);
        service.run(4s);
        EXPECT_LE(static_cast<double>(mostWithinSecond(service.arrivals[ColdService::id(1)])), boundFor(coldRate));
    }

    // Guards against nodes without access to the store that do not learn of a cold upstream, against messages while
    // nothing is cold, and against nodes that repeat to each other what they all know.
    TEST(ColdUpstreams, PeersLearnWhatAResponseStates)
    {
        ColdService service(9);
        service.fleet.messages = 0;
        service.run(2s);
        EXPECT_EQ(service.fleet.messages, 0u);
        const UpstreamChecked checked { ColdService::id(1), UpstreamChecked::State::Answered, true, 5s };
        service.fleet.handle("host-0", checked);
        service.fleet.advance(200ms);
        EXPECT_EQ(service.nodesThatKnow(), 9u);
        EXPECT_EQ(service.fleet.messages, 8u);
        service.fleet.handle("host-1", UpstreamChecked { ColdService::id(1), checked.state, true, 4800ms });
        service.fleet.advance(200ms);
        EXPECT_EQ(service.fleet.messages, 8u) << "nothing new";
        // An older statement of a peer does not replace a later one.
        const ColdReport late { { { ColdService::id(1), 0s, 10s } } };
        service.fleet.handle("host-2", EntryMessageReceived { "10.0.0.1:1", late });
        EXPECT_EQ(service.nodesThatKnow(), 9u);
        service.fleet.advance(5s);
        EXPECT_EQ(service.nodesThatKnow(), 0u);
    }

    // Guards against callers that wait, or are not told when to return, while all upstreams are cold.
    TEST(ColdUpstreams, RequestsBeyondTheTurnsAreRefusedAtOnce)
    {
        ColdService service(9, 1);
        for (int number = 1; number <= 12; ++number)
            service.write(service.entry(number, 60s));
        service.run(4s, 300);
        // The longest time that a request of the route may wait.
        service.fleet.advance(50ms);
        std::size_t refused = 0;
        for (const RequestId& id : service.sent) {
            ASSERT_TRUE(service.fleet.responses.contains(id));
            const Respond& response = service.fleet.responses.at(id);
            refused += response.status == 503 ? 1 : 0;
            const bool tellsReturn = std::any_of(response.headers.begin(), response.headers.end(),
                [](const auto& field) { return field.first == "retry-after"; });
            EXPECT_TRUE(response.status == 200 || tellsReturn) << response.status;
        }
        EXPECT_GT(refused, 0u);
        for (int number = 1; number <= 12; ++number)
            EXPECT_LE(static_cast<double>(mostWithinSecond(service.arrivals[ColdService::id(number)])), boundFor(1));
    }

    // Guards against limits of services that name no rate for cold upstreams.
    TEST(ColdUpstreams, ServiceWithoutARateHasNoLimit)
    {
        ColdService service(9, 0);
        service.write(service.entry(1, 60s));
        service.dark.insert(ColdService::id(2));
        service.run(1s);
        EXPECT_EQ(service.nodesThatKnow(), 0u);
    }

} // namespace
} // namespace teaselshore
