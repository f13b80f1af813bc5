#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/control/rollout_state_machine.hpp"
#include "teaselshore/control/version_guard.hpp"

namespace teaselshore {

/// @brief In-memory object API that answers at once.
class FakeObjectApi {
public:
    ObjectResult call(const ObjectCommand& command)
    {
        if (this->down)
            return { std::visit([](const auto& value) { return value.id; }, command), ObjectOutcome::Unavailable, {}, 0,
                {} };
        if (const auto* read = std::get_if<ObjectRead>(&command)) {
            const auto found = this->objects.find(read->key);
            if (found == this->objects.end())
                return { read->id, ObjectOutcome::NotFound, {}, 0, {} };
            return { read->id, ObjectOutcome::Ok, found->second.first, found->second.second, {} };
        }
        if (const auto* create = std::get_if<ObjectCreate>(&command))
            return this->put(create->id, create->key, create->value, 0);
        if (const auto* update = std::get_if<ObjectUpdate>(&command))
            return this->put(update->id, update->key, update->value, update->expected);
        return {};
    }

    bool down = false;
    std::map<std::string, std::pair<std::string, ObjectVersion>> objects;

private:
    ObjectResult put(ObjectCallId id, const std::string& key, const std::string& value, ObjectVersion expected)
    {
        auto& object = this->objects[key];
        if (object.second != expected)
            return { id, ObjectOutcome::Conflict, {}, object.second, {} };
        object = { value, ++this->lastVersion };
        return { id, ObjectOutcome::Ok, {}, object.second, {} };
    }

    ObjectVersion lastVersion = 0;
};

enum class SimulatedFault {
    None,
    FailsAtOnce,
    FailsLater,
    Slow,
    FailsUnderLoad,
    FailsOnOneRoute,
    /// Good version, while a reclaim wave and the loss of a zone affect only its upstreams.
    ReclaimWave,
    /// Both versions fail for two minutes, for example because of a common dependency, while both get traffic.
    SharedFailure,
    /// The same at any time, including when the old version gets no traffic to compare with.
    SharedFailureAnytime,
};

struct SimulationResult {
    std::optional<RolloutRecord> record;
    double finishedAt = 0;
    std::uint64_t requests = 0;
    /// Requests that failed or were slow because of the version's fault.
    std::uint64_t harmed = 0;
    double largestShare = 0;
};

/// @brief Simulates three nodes in front of two versions of a service with two routes, in steps of 100 ms.
///
/// The load oscillates between low and high with a period of 200 s. The lease moves to another node every 137 s, and
/// 10% of the reports to the controller are lost.
class RolloutSimulation {
public:
    static constexpr int deadline = 1200;

    RolloutSimulation(std::uint64_t seed, SimulatedFault fault)
        : random(seed)
        , fault(fault)
        , pair { ServiceName("assistant"), VersionName("v1"), VersionName("v2"),
            WallTime(std::chrono::seconds(deadline)) }
    {
        this->faultProbability = 0.3 + 0.7 * this->random.uniform();
        this->slowdown = 1.8 + 2 * this->random.uniform();
        if (fault == SimulatedFault::FailsLater)
            this->faultAt = 1000 * this->random.uniform();
        if (fault == SimulatedFault::SharedFailure)
            this->faultAt = 600 * this->random.uniform();
        if (fault == SimulatedFault::SharedFailureAnytime)
            this->faultAt = 1000 * this->random.uniform();
        this->zoneLossAt = 900 * this->random.uniform();
        for (std::size_t i = 0; i < nodeCount; i++) {
            this->guards.emplace_back(nodeName(i));
            this->guards.back().setRollouts({ this->pair });
            this->rollouts.emplace_back(this->pair.service);
            this->rollouts.back().setPair(this->pair);
        }
    }

    /// @brief Runs until the rollout has ended or a minute after its deadline.
    SimulationResult run()
    {
        while (this->seconds() < deadline + 60) {
            this->step();
            const RolloutRecord* record = this->rollouts[this->holder()].record();
            if (record && record->state != RolloutState::InProgress)
                break;
        }
        const RolloutRecord* record = this->rollouts[this->holder()].record();
        if (record)
            this->result.record = *record;
        this->result.finishedAt = this->seconds();
        return this->result;
    }

    FakeObjectApi objects;
    /// Start and end of an outage of the object API, in seconds.
    std::optional<std::pair<double, double>> outage;
    double requestRate = 60;

private:
    static constexpr std::size_t nodeCount = 3;
    static constexpr Duration tickLength = std::chrono::milliseconds(100);

    struct EndedAttempt {
        std::size_t node = 0;
        AttemptEvidence attempt;
    };

    static NodeId nodeName(std::size_t index) { return NodeId("node-" + std::to_string(index)); }
    double seconds() const { return toSeconds(this->now.time_since_epoch()); }
    std::uint64_t token() const { return 1 + static_cast<std::uint64_t>(this->seconds() / 137); }
    std::size_t holder() const { return this->token() % nodeCount; }

    void step()
    {
        this->now += tickLength;
        this->objects.down
            = this->outage && this->seconds() >= this->outage->first && this->seconds() < this->outage->second;
        for (std::size_t i = 0; i < nodeCount; i++)
            this->tickRollout(i);
        this->generateRequests();
        const auto due = this->ended.upper_bound(this->now);
        std::vector<EndedAttempt> finished;
        for (auto entry = this->ended.begin(); entry != due; ++entry)
            finished.push_back(std::move(entry->second));
        this->ended.erase(this->ended.begin(), due);
        for (const EndedAttempt& end : finished)
            this->execute(end.node, this->guards[end.node].onAttempt(end.attempt, this->now));
        if (this->fault == SimulatedFault::ReclaimWave)
            for (VersionGuard& guard : this->guards)
                guard.onUpstreamLost(UpstreamId("v2-lost"));
        for (std::size_t i = 0; i < nodeCount; i++)
            this->execute(i, this->guards[i].onTick(this->now));
    }

    void tickRollout(std::size_t index)
    {
        RolloutStateMachine& rollout = this->rollouts[index];
        const RolloutTime time { this->now,
            WallTime(std::chrono::duration_cast<std::chrono::seconds>(this->now.time_since_epoch())) };
        const auto held = index == this->holder() ? std::optional(this->token()) : std::nullopt;
        for (const ObjectCommand& command : rollout.tick(time, held, this->ids))
            rollout.onResult(this->objects.call(command), this->now);
        if (index != this->holder())
            return;
        if (const RolloutRecord* record = rollout.record()) {
            for (RolloutStateMachine& other : this->rollouts)
                other.onPeerRecord(*record, this->now);
        }
    }

    void execute(std::size_t from, const std::vector<GuardCommand>& commands)
    {
        for (const GuardCommand& command : commands) {
            if (const auto* report = std::get_if<SendVersionReport>(&command)) {
                if (this->random.below(10) != 0)
                    this->rollouts[this->holder()].onReport(report->report, this->now);
                continue;
            }
            const StopVersion& stop = std::get<StopVersion>(command);
            if (!stop.tellPeers)
                continue;
            for (std::size_t i = 0; i < nodeCount; i++) {
                this->rollouts[i].onEvidence(stop.evidence);
                if (i != from)
                    this->guards[i].onPeerEvidence(stop.evidence);
            }
        }
    }

    double load() const { return 0.6 + 0.35 * std::sin(this->seconds() * 2 * 3.14159 / 200); }

    void generateRequests()
    {
        const double mean = this->requestRate * toSeconds(tickLength) * this->load() / 0.6;
        for (double at = this->random.exponential(1); at < mean; at += this->random.exponential(1))
            this->sendRequest();
    }

    void sendRequest()
    {
        const std::size_t node = this->random.below(nodeCount);
        const bool isChat = this->random.below(10) < 7;
        const double share
            = this->guards[node].stopped(this->pair.service) ? 0 : this->rollouts[node].share().value_or(0);
        const bool isNew = this->random.uniform() < share;
        const double utilization = this->load() + 0.1 * (this->random.uniform() - 0.5);
        this->result.requests++;
        this->result.largestShare = std::max(this->result.largestShare, share);
        AttemptEvidence attempt { this->pair.service, isNew ? this->pair.to : this->pair.from,
            UpstreamId(isNew ? "v2-0" : "v1-0"),
            { RouteName(isChat ? "chat" : "summary"), ClassName(isChat ? "interactive" : "patient"),
                loadBand(static_cast<std::uint32_t>(utilization * 100), 100) },
            AttemptEnd::Succeeded, std::nullopt };
        double latency = (isChat ? 0.08 : 0.4) * (0.5 + utilization) * std::exp(0.4 * this->standardNormal());
        if (isNew && this->fault == SimulatedFault::Slow) {
            latency *= this->slowdown;
            this->result.harmed++;
        }
        attempt.latency = fromSeconds(latency);
        if (this->random.uniform() < 0.004)
            attempt.end = AttemptEnd::Failed;
        this->applyFault(attempt, isNew, isChat);
        const Instant endsAt = this->now + fromSeconds(latency);
        this->ended.emplace(endsAt, EndedAttempt { node, std::move(attempt) });
    }

    void applyFault(AttemptEvidence& attempt, bool isNew, bool isChat)
    {
        const double elapsed = this->seconds() - this->zoneLossAt;
        if (this->fault == SimulatedFault::ReclaimWave && isNew && elapsed >= 0 && elapsed < 60
            && this->random.uniform() < 0.8) {
            const std::array ends { AttemptEnd::Reclaimed, AttemptEnd::Refused, AttemptEnd::ZoneLost,
                AttemptEnd::CrashSuspect, AttemptEnd::Cancelled, AttemptEnd::CallerError };
            attempt.end = ends[this->random.below(ends.size())];
            attempt.upstream = UpstreamId("v2-lost");
            return;
        }
        if (!this->hasFault(isNew, isChat, attempt.cell.load) || this->random.uniform() >= this->faultProbability)
            return;
        attempt.end = AttemptEnd::Failed;
        if (this->fault != SimulatedFault::SharedFailure && this->fault != SimulatedFault::SharedFailureAnytime)
            this->result.harmed++;
    }

    bool hasFault(bool isNew, bool isChat, LoadBand band) const
    {
        const double elapsed = this->seconds() - this->faultAt;
        switch (this->fault) {
        case SimulatedFault::FailsAtOnce:
            return isNew;
        case SimulatedFault::FailsLater:
            return isNew && elapsed >= 0;
        case SimulatedFault::FailsUnderLoad:
            return isNew && band == LoadBand::High;
        case SimulatedFault::FailsOnOneRoute:
            return isNew && !isChat;
        case SimulatedFault::SharedFailure:
        case SimulatedFault::SharedFailureAnytime:
            return elapsed >= 0 && elapsed < 120;
        default:
            return false;
        }
    }

    double standardNormal()
    {
        const double radius = std::sqrt(2 * this->random.exponential(1));
        return radius * std::cos(2 * 3.14159 * this->random.uniform());
    }

    RandomSource random;
    SimulatedFault fault;
    VersionPair pair;
    double faultProbability = 1;
    double slowdown = 1;
    double faultAt = 0;
    double zoneLossAt = 0;
    Instant now {};
    ObjectCallIds ids { 1ULL << 62 };
    std::vector<VersionGuard> guards;
    std::vector<RolloutStateMachine> rollouts;
    std::multimap<Instant, EndedAttempt> ended;
    SimulationResult result;
};

} // namespace teaselshore
