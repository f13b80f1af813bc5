#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry_fleet.hpp"

namespace teaselshore {

/// @brief Upstreams of a fleet of nodes, some of whose requests crash each process that begins to run them.
///
/// A crash breaks all other requests that run there. A new process registers some seconds later.
class CrashingUpstreams {
public:
    static constexpr const char* poison = "poison";
    /// Time until all nodes know of a crash.
    static constexpr Duration propagationTime = std::chrono::seconds(3);
    static constexpr Duration restartTime = std::chrono::seconds(2);

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

    void advance(Duration time)
    {
        const Instant end = this->fleet.now + time;
        while (this->fleet.now < end) {
            this->fleet.advance(std::chrono::milliseconds(100));
            this->crashDue();
            this->restart();
        }
    }

    /// @brief Sends the poison request, which is identical each time.
    RequestId sendPoison(const std::string& host, const std::string& route)
    {
        return this->fleet.request(host, std::nullopt, route, poison);
    }

    /// @brief Sends the list of all upstreams to all nodes, as after their start.
    void list()
    {
        UpstreamsListed listed;
        for (const auto& [id, process] : this->running)
            listed.upstreams.push_back(process.entry);
        for (const auto& [host, node] : this->fleet.nodes)
            this->fleet.handle(host, listed);
    }

    /// @brief Returns how many requests that crash upstreams reached one after the given number of crashes was known.
    std::size_t lateSends(std::size_t knownCrashes) const
    {
        if (this->crashes.size() < knownCrashes)
            return 0;
        const Instant known = this->crashes[knownCrashes - 1] + propagationTime;
        return static_cast<std::size_t>(std::count_if(
            this->poisonSends.begin(), this->poisonSends.end(), [known](Instant at) { return at > known; }));
    }

    /// @brief Ends all upstreams of a zone at once, as in a power failure.
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

    /// @brief Breaks the connections of all open attempts while the upstreams keep running.
    void resetConnections()
    {
        for (auto& [id, process] : this->running)
            this->breakAttempts(std::exchange(process.open, {}));
    }

    /// @brief Changes the entries of all upstreams and sends them to all nodes.
    void announce(const std::function<void(RegisteredUpstream&)>& change)
    {
        for (auto& [id, process] : this->running)
            change(process.entry);
        this->list();
    }

    /// @brief Ends all upstream processes; new ones start later.
    void endAll()
    {
        std::vector<UpstreamId> all;
        for (const auto& [id, process] : this->running)
            all.push_back(id);
        for (const UpstreamId& id : all)
            this->end(id);
    }

    /// Whether a request with this body crashes its upstream.
    std::function<bool(const std::string& body)> isDeadly = [](const std::string& body) { return body == poison; };
    /// Time from the arrival of such a request to the crash.
    Duration crashDelay {};
    /// Time from the arrival of any other request to its response.
    Duration runTime {};
    /// Bodies of requests that stay open until their upstream ends.
    std::set<std::string> longRunning;
    /// Bodies of requests to which upstreams send a malformed response before they close the connection.
    std::set<std::string> malformed;
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
        if (this->isDeadly(forward.attempt.body.text())) {
            this->poisonSends.push_back(this->fleet.now);
            if (this->crashDelay == Duration(0)) {
                this->crash(host, forward, events);
                return;
            }
            found->second.open.push_back({ host, attempt });
            this->dueCrashes.emplace(this->fleet.now + this->crashDelay, forward.attempt.upstream);
            return;
        }
        if (this->malformed.contains(forward.attempt.body.text())) {
            events.emplace_back(AttemptFailed { attempt, true, true, 0, "malformed reply", std::nullopt });
            return;
        }
        if (this->longRunning.contains(forward.attempt.body.text())) {
            found->second.open.push_back({ host, attempt });
            return;
        }
        UpstreamResponded responded;
        responded.response.attempt = attempt;
        responded.response.status = 200;
        responded.facts.isStamped = true;
        if (this->runTime == Duration(0)) {
            events.emplace_back(std::move(responded));
            return;
        }
        // A node ignores the response if the upstream crashes before it.
        found->second.open.push_back({ host, attempt });
        this->fleet.schedule(this->fleet.now + this->runTime, host, std::move(responded));
    }

    void crashDue()
    {
        while (!this->dueCrashes.empty() && this->dueCrashes.begin()->first <= this->fleet.now) {
            const UpstreamId upstream = this->dueCrashes.extract(this->dueCrashes.begin()).mapped();
            if (!this->running.contains(upstream))
                continue;
            this->crashes.push_back(this->fleet.now);
            this->end(upstream);
        }
    }

    void crash(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)
    {
        this->crashes.push_back(this->fleet.now);
        std::vector<OpenAttempt> others = this->stop(forward.attempt.upstream);
        events.emplace_back(broken(forward.attempt.attempt));
        const auto here = std::partition(
            others.begin(), others.end(), [&host](const OpenAttempt& open) { return open.host != host; });
        // This node is still handling an event, so its failures are queued instead of delivered.
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
                this->fleet.handle(host, UpstreamRemoved { before });
            }
        }
    }

    EntryFleet& fleet;
    std::map<UpstreamId, Process> running;
    std::vector<std::pair<Instant, RegisteredUpstream>> ended;
    std::multimap<Instant, UpstreamId> dueCrashes;
    int restarts = 0;
};

inline std::string hostName(std::size_t number) { return "host-" + std::to_string(number); }

} // namespace teaselshore
