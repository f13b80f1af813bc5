#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    /// What the users' rule allows after the crash of the third upstream: nodes know of it after this time, and from
    /// then on the request is sent at most so many times more.
    constexpr Duration knownAfter = 3s;
    constexpr std::size_t allowedCrashes = 3;
    constexpr std::size_t allowedLateSends = 3;
    constexpr Duration restartTime = 2s;

    /// Upstreams of a fleet of nodes. A request with the poisonous body ends each process that begins to run it, and
    /// all other requests that run there break with it. A new process registers some seconds later.
    class CrashingUpstreams {
    public:
        static constexpr const char* poison = "poison";

        CrashingUpstreams(EntryFleet& fleet, int count)
            : fleet(fleet)
        {
            fleet.onForward = [this](const std::string& host, const ForwardRequest& forward,
                                  std::vector<EntryEvent>& events) { this->receive(host, forward, events); };
            fleet.onCheck = [this](const std::string&, const CheckUpstream& check) {
                return this->running.contains(check.upstream) ? UpstreamChecked::State::Answered
                                                              : UpstreamChecked::State::Ended;
            };
            for (int number = 1; number <= count; ++number)
                this->start(EntryHarness::upstream(number));
            this->list();
        }

        void pass(Duration time)
        {
            const Instant end = this->fleet.now + time;
            while (this->fleet.now < end) {
                this->fleet.pass(100ms);
                this->restart();
            }
        }

        /// @brief A caller sends the poisonous request, which is the same each time.
        RequestId sendPoison(const std::string& host, const std::string& route)
        {
            return this->fleet.request(host, std::nullopt, route, poison);
        }

        /// @brief Tells the nodes of all upstreams, as after their start.
        void list()
        {
            UpstreamsListed listed;
            for (const auto& [id, process] : this->running)
                listed.upstreams.push_back(process.entry);
            for (const auto& [host, node] : this->fleet.nodes)
                this->fleet.handle(host, listed);
        }

        /// @brief Returns how often the poisonous request reached an upstream after the third crash was known.
        std::size_t lateSends() const
        {
            if (this->crashes.size() < allowedCrashes)
                return 0;
            const Instant known = this->crashes[allowedCrashes - 1] + knownAfter;
            return static_cast<std::size_t>(std::count_if(
                this->poisonSends.begin(), this->poisonSends.end(), [known](Instant at) { return at > known; }));
        }

        /// @brief All upstreams of a zone end at once, as without power.
        void loseZone(const AvailabilityZone& zone)
        {
            std::vector<UpstreamId> lost;
            for (const auto& [id, process] : this->running) {
                if (process.entry.zone == zone)
                    lost.push_back(id);
            }
            for (const UpstreamId& id : lost)
                this->end(id);
        }

        /// @brief The connections of all open attempts break, and the upstreams live on.
        void resetConnections()
        {
            for (auto& [id, process] : this->running)
                this->breakAttempts(std::exchange(process.open, {}));
        }

        /// @brief Changes what the nodes know of all upstreams.
        void announce(const std::function<void(RegisteredUpstream&)>& change)
        {
            for (auto& [id, process] : this->running)
                change(process.entry);
            this->list();
        }

        /// @brief Each upstream process ends, and another starts.
        void endAll()
        {
            std::vector<UpstreamId> all;
            for (const auto& [id, process] : this->running)
                all.push_back(id);
            for (const UpstreamId& id : all)
                this->end(id);
        }

        /// Bodies of the requests that stay open until their upstream ends.
        std::set<std::string> lasting;
        /// Bodies of the requests that upstreams answer with other bytes than a response, and close.
        std::set<std::string> garbled;
        std::vector<Instant> crashes;
        std::vector<Instant> poisonSends;

    private:
        struct OpenAttempt {
            std::string host;
            AttemptId attempt = 0;
        };
        struct Process {
            RegisteredUpstream entry;
            std::vector<OpenAttempt> open;
        };

        void start(const RegisteredUpstream& entry) { this->running[entry.id()] = Process { entry, {} }; }

        void receive(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)
        {
            const AttemptId attempt = forward.attempt.attempt;
            const auto found = this->running.find(forward.attempt.upstream);
            if (found == this->running.end()) {
                events.emplace_back(AttemptFailed { attempt, false, false, 0, "connection refused", std::nullopt });
                return;
            }
            if (forward.attempt.body == poison) {
                this->poisonSends.push_back(this->fleet.now);
                this->crash(host, forward, events);
                return;
            }
            if (this->garbled.contains(forward.attempt.body)) {
                events.emplace_back(AttemptFailed { attempt, true, true, 0, "malformed reply", std::nullopt });
                return;
            }
            if (this->lasting.contains(forward.attempt.body)) {
                found->second.open.push_back({ host, attempt });
                return;
            }
            UpstreamResponded responded;
            responded.response.attempt = attempt;
            responded.response.status = 200;
            responded.facts.isStamped = true;
            events.emplace_back(std::move(responded));
        }

        void crash(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)
        {
            this->crashes.push_back(this->fleet.now);
            std::vector<OpenAttempt> others = this->stop(forward.attempt.upstream);
            events.emplace_back(broken(forward.attempt.attempt));
            const auto here = std::partition(
                others.begin(), others.end(), [&host](const OpenAttempt& open) { return open.host != host; });
            // The node is still inside the handling of its own event.
            for (auto open = here; open != others.end(); ++open)
                events.emplace_back(broken(open->attempt));
            others.erase(here, others.end());
            this->breakAttempts(others);
        }

        void end(const UpstreamId& upstream) { this->breakAttempts(this->stop(upstream)); }

        std::vector<OpenAttempt> stop(const UpstreamId& upstream)
        {
            Process process = std::move(this->running.extract(upstream).mapped());
            this->ended.emplace_back(this->fleet.now, process.entry);
            return std::move(process.open);
        }

        void breakAttempts(const std::vector<OpenAttempt>& attempts)
        {
            for (const OpenAttempt& open : attempts)
                this->fleet.handle(open.host, broken(open.attempt));
        }

        static AttemptFailed broken(AttemptId attempt)
        {
            return { attempt, true, true, 0, "connection closed", std::nullopt };
        }

        void restart()
        {
            std::vector<std::pair<Instant, RegisteredUpstream>> due;
            std::erase_if(this->ended, [&](const auto& entry) {
                const bool isDue = entry.first + restartTime <= this->fleet.now;
                if (isDue)
                    due.push_back(entry);
                return isDue;
            });
            for (auto& [at, entry] : due) {
                const std::string before = entry.instance;
                entry.draining = false;
                entry.instance = "i-r" + std::to_string(++this->restarts);
                entry.startedAt += 10'000 + this->restarts;
                this->start(entry);
                for (const auto& [host, node] : this->fleet.nodes) {
                    this->fleet.handle(host, UpstreamChanged { entry });
                    this->fleet.handle(host, UpstreamRemoved { before, std::nullopt });
                }
            }
        }

        EntryFleet& fleet;
        std::map<UpstreamId, Process> running;
        std::vector<std::pair<Instant, RegisteredUpstream>> ended;
        int restarts = 0;
    };

    std::string hostName(std::size_t number) { return "host-" + std::to_string(number); }

    // Guards against a request that crashes each upstream that runs it and comes again at any node: a node that forgets
    // the crashes with the end of each request lets every repeat end further upstreams (report BUDGET of the users).
    TEST(CrashingRequests, RepeatsAtAnyNodeEndNoMoreThanThreeUpstreams)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            for (const char* route : { "order", "status", "query" }) {
                EntryFleet fleet(nodes);
                CrashingUpstreams upstreams(fleet, 12);
                upstreams.pass(12s);
                for (int repeat = 0; repeat < 30; ++repeat) {
                    upstreams.sendPoison(hostName(fleet.random.below(nodes)), route);
                    upstreams.pass(1s);
                }
                EXPECT_LE(upstreams.crashes.size(), allowedCrashes) << nodes << " " << route;
                EXPECT_LE(upstreams.lateSends(), allowedLateSends) << nodes << " " << route;
            }
        }
    }

    // Guards against crashes that are forgotten with the processes that saw them: nodes that restart, all of them at
    // once included, and new nodes.
    TEST(CrashingRequests, NodesThatStartAnewKnowOfEarlierCrashes)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.pass(12s);
        for (int repeat = 0; repeat < 4; ++repeat) {
            upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
            upstreams.pass(1s);
        }
        upstreams.pass(6s);
        for (std::size_t host = 0; host < 9; ++host)
            fleet.add(hostName(host));
        fleet.add(hostName(9));
        upstreams.list();
        upstreams.pass(1s);
        for (int repeat = 0; repeat < 20; ++repeat) {
            upstreams.sendPoison(hostName(fleet.random.below(10)), "status");
            upstreams.pass(500ms);
        }
        EXPECT_LE(upstreams.crashes.size(), allowedCrashes);
        EXPECT_LE(upstreams.lateSends(), allowedLateSends);
    }

    // Guards against a node that goes on sending since none of its peers reaches it: it learns of the crashes from
    // their reports at the platform.
    TEST(CrashingRequests, NodeWithoutPeersLearnsFromThePlatform)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.pass(12s);
        fleet.cutFromPeers.insert(hostName(4));
        for (int repeat = 0; repeat < 4; ++repeat) {
            upstreams.sendPoison(hostName(3), "status");
            upstreams.pass(1s);
        }
        ASSERT_EQ(upstreams.crashes.size(), allowedCrashes);
        // Two rounds of the nodes' reports.
        upstreams.pass(10s);
        for (int repeat = 0; repeat < 10; ++repeat)
            upstreams.sendPoison(hostName(4), "status");
        EXPECT_EQ(upstreams.crashes.size(), allowedCrashes);
    }

    // Guards against a caller that waits, or is told that its request may have run, or is turned away for good with a
    // status that blames its key or its path, when the request is known to crash upstreams.
    TEST(CrashingRequests, CallerIsRefusedAtOnceWithATimeToReturn)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.pass(12s);
        for (int repeat = 0; repeat < 3; ++repeat) {
            upstreams.sendPoison(hostName(2), "order");
            upstreams.pass(1s);
        }
        const RequestId refused = upstreams.sendPoison(hostName(5), "order");
        ASSERT_TRUE(fleet.responses.contains(refused));
        const Respond& response = fleet.responses.at(refused);
        EXPECT_EQ(response.status, 503);
        const auto retryAfter = std::find_if(response.headers.begin(), response.headers.end(),
            [](const auto& field) { return field.first == "retry-after"; });
        ASSERT_NE(retryAfter, response.headers.end());
        EXPECT_GT(std::stod(retryAfter->second), 60);
        // Another body, path or caller is another request.
        const RequestId other = fleet.request(hostName(5), std::nullopt, "order", "harmless");
        EXPECT_EQ(fleet.responses.at(other).status, 200);
    }

    // Load pattern: a popular request, equal each time, runs on all upstreams while another one crashes several of
    // them. Guards against the popular one being rejected for crashes under which it only happened to run.
    TEST(CrashingRequests, PopularRequestThatCompletesElsewhereIsNotRejected)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 6);
        upstreams.pass(12s);
        for (int round = 0; round < 20; ++round) {
            upstreams.lasting = { "popular" };
            for (std::size_t host = 0; host < 9; ++host)
                fleet.request(hostName(host), std::nullopt, "status", "popular");
            upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
            upstreams.lasting.clear();
            upstreams.pass(300ms);
            const RequestId next = fleet.request(hostName(fleet.random.below(9)), std::nullopt, "status", "popular");
            ASSERT_EQ(fleet.responses.at(next).status, 200) << round;
        }
        EXPECT_LE(upstreams.crashes.size(), allowedCrashes);
    }

    // Guards against requests that are rejected though no upstream ended because of them: connections are reset, bytes
    // that are no response arrive, and processes end that have announced it.
    TEST(CrashingRequests, OtherCausesMakeNoRequestASuspect)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.pass(12s);
        const auto isServed = [&](const std::string& body) {
            const RequestId id = fleet.request(hostName(7), std::nullopt, "status", body);
            return fleet.responses.contains(id) && fleet.responses.at(id).status == 200;
        };
        for (int round = 0; round < 5; ++round) {
            upstreams.lasting = { "reset" };
            fleet.request(hostName(1), std::nullopt, "status", "reset");
            upstreams.resetConnections();
            upstreams.pass(500ms);
        }
        upstreams.lasting.clear();
        EXPECT_TRUE(isServed("reset"));

        upstreams.garbled = { "garbled" };
        for (int round = 0; round < 5; ++round) {
            fleet.request(hostName(1), std::nullopt, "status", "garbled");
            upstreams.pass(500ms);
        }
        upstreams.garbled.clear();
        EXPECT_TRUE(isServed("garbled"));

        for (int round = 0; round < 5; ++round) {
            upstreams.lasting = { "leaving" };
            fleet.request(hostName(1), std::nullopt, "order", "leaving");
            upstreams.announce([](RegisteredUpstream& entry) { entry.draining = true; });
            upstreams.endAll();
            upstreams.pass(3s);
        }
        upstreams.lasting.clear();
        EXPECT_TRUE(isServed("leaving"));
    }

    // Load pattern: a zone is lost while many equal requests run there. Guards against their rejection: the upstreams
    // ended together, so that their ends are one piece of evidence. Also bounds the messages that it costs.
    TEST(CrashingRequests, LostZoneIsOnePieceOfEvidence)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            EntryFleet fleet(nodes);
            CrashingUpstreams upstreams(fleet, 12);
            upstreams.pass(12s);
            upstreams.lasting = { "popular" };
            for (std::size_t host = 0; host < nodes; ++host)
                fleet.request(hostName(host), std::nullopt, "order", "popular");
            upstreams.pass(100ms);
            const std::size_t before = fleet.messages;
            upstreams.loseZone(AvailabilityZone("zone-a"));
            upstreams.lasting.clear();
            upstreams.pass(100ms);
            // One message of each node to each peer at most.
            EXPECT_LE(fleet.messages - before, nodes * (nodes - 1)) << nodes;
            upstreams.pass(3s);
            const RequestId next = fleet.request(hostName(0), std::nullopt, "order", "popular");
            ASSERT_TRUE(fleet.responses.contains(next));
            EXPECT_EQ(fleet.responses.at(next).status, 200) << nodes;
        }
    }

} // namespace
} // namespace teaselshore
