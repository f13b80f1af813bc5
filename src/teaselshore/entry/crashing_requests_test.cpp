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

        /// Requests that stay open until their upstream ends; by their bodies.
        std::set<std::string> lasting;
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
            Process process = std::move(this->running.extract(forward.attempt.upstream).mapped());
            const auto broken = [](AttemptId attempt) {
                return AttemptFailed { attempt, true, true, 0, "connection closed", std::nullopt };
            };
            events.emplace_back(broken(forward.attempt.attempt));
            for (const OpenAttempt& open : process.open) {
                if (open.host == host)
                    events.emplace_back(broken(open.attempt));
                else
                    this->fleet.handle(open.host, broken(open.attempt));
            }
            this->ended.emplace_back(this->fleet.now, process.entry);
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

} // namespace
} // namespace teaselshore
