#include "version_rollouts.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(250);
    /// Period in which the controller repeats an unchanged record, below RolloutStateMachineSettings::readEvery, so
    /// that followers do not read the object.
    constexpr Duration updatePeriod = std::chrono::seconds(20);
    /// Time after which a controller that sent no update counts as replaced.
    constexpr Duration controllerExpiry = 2 * updatePeriod;
    constexpr int firstServerError = 500;
    constexpr int firstCallerError = 400;
    constexpr int statusTooManyRequests = 429;

    AttemptEnd endOf(const EndedAttempt& ended)
    {
        const bool leaving = ended.upstream
            && (ended.upstream->state == UpstreamState::Leaving || ended.upstream->state == UpstreamState::Dead);
        if (ended.outcome == AttemptOutcome::Cancelled)
            return AttemptEnd::Cancelled;
        if (ended.status >= firstServerError)
            return AttemptEnd::Failed;
        if (ended.status >= firstCallerError)
            return ended.status == statusTooManyRequests ? AttemptEnd::Cancelled : AttemptEnd::CallerError;
        if (ended.outcome == AttemptOutcome::Completed)
            return AttemptEnd::Succeeded;
        if (leaving)
            return AttemptEnd::Reclaimed;
        if (ended.outcome == AttemptOutcome::TimedOut)
            return AttemptEnd::TimedOut;
        // Whether the process died is known only after the crash check.
        return AttemptEnd::Refused;
    }

} // namespace

VersionRollouts::VersionRollouts(NodeState& state)
    : state(state)
    , guard(state.settings.self.id, state.settings.versionGuard)
{
}

void VersionRollouts::onEvent(Instant now)
{
    if (this->state.configurationVersion != this->adopted)
        this->adoptConfiguration();
    for (const EndedAttempt& ended : std::exchange(this->state.endedAttempts, {}))
        this->judge(ended, now);
}

void VersionRollouts::adoptConfiguration()
{
    this->adopted = this->state.configurationVersion;
    std::map<ServiceName, Rollout> kept;
    std::vector<VersionPair> pairs;
    for (const ServiceConfiguration& service : this->state.configuration->services) {
        const auto pair = configuredRollout(service);
        if (!pair)
            continue;
        pairs.push_back(*pair);
        auto node = this->rollouts.extract(service.name);
        if (node.empty()) {
            kept.emplace(service.name,
                Rollout { *pair, LeaseHolder(this->state.settings.self.id, service.name, this->state.settings.lease),
                    RolloutStateMachine(service.name, this->state.settings.versionMove) });
        } else {
            node.mapped().pair = *pair;
            node.mapped().told.reset();
            kept.insert(std::move(node));
        }
    }
    this->rollouts = std::move(kept);
    this->guard.setRollouts(pairs);
    for (auto& [service, rollout] : this->rollouts) {
        rollout.move.setPair(rollout.pair);
        rollout.applied.reset();
        this->apply(service, rollout);
        if (this->stopping)
            rollout.lease.stop();
    }
}

void VersionRollouts::onTick(Instant now)
{
    if (now < this->nextTick)
        return;
    this->nextTick = now + tickPeriod;
    this->execute(this->guard.onTick(now), now);
    std::set<NodeId> alive { this->state.settings.self.id };
    for (const Member& member : this->state.membership.liveMembers())
        alive.insert(member.id);
    for (auto& [service, rollout] : this->rollouts) {
        rollout.lease.setMembers(alive);
        this->tick(service, rollout, now);
    }
}

void VersionRollouts::tick(const ServiceName& service, Rollout& rollout, Instant now)
{
    this->call(rollout.lease.tick(now, this->ids));
    this->call(rollout.move.tick(this->timeAt(now), rollout.lease.fencingToken(now), this->ids));
    this->apply(service, rollout);
    if (rollout.lease.fencingToken(now))
        this->tellPeers(rollout, now);
    else
        rollout.told.reset();
}

void VersionRollouts::onObjectResult(const ObjectResult& result, Instant now)
{
    for (auto& [service, rollout] : this->rollouts) {
        if (rollout.lease.awaits(result.id))
            this->call(rollout.lease.onResult(result, now, this->ids));
        rollout.move.onResult(result, now);
        this->apply(service, rollout);
    }
}

void VersionRollouts::onEvidence(const VersionEvidence& evidence, Instant now)
{
    this->execute(this->guard.onPeerEvidence(evidence), now);
}

void VersionRollouts::onReport(const VersionReport& report, Instant now)
{
    const auto found = this->rollouts.find(report.pair.service);
    if (found == this->rollouts.end())
        return;
    if (report.stopped)
        this->onEvidence(*report.stopped, now);
    found->second.move.onReport(report, now);
}

void VersionRollouts::onUpdate(const std::string& sender, const MoveUpdate& update, Instant now)
{
    const auto found = this->rollouts.find(update.record.pair.service);
    if (found == this->rollouts.end())
        return;
    found->second.controller = sender;
    found->second.controllerSeen = now;
    found->second.move.onPeerRecord(update.record, now);
    this->apply(found->first, found->second);
}

void VersionRollouts::onUpstreamLost(const UpstreamId& upstream) { this->guard.onUpstreamLost(upstream); }

void VersionRollouts::stop()
{
    this->stopping = true;
    for (auto& [service, rollout] : this->rollouts)
        rollout.lease.stop();
}

const RolloutRecord* VersionRollouts::move(const ServiceName& service) const
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() ? nullptr : found->second.move.record();
}

RolloutTime VersionRollouts::timeAt(Instant now) const
{
    const auto passed = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    return { now, this->state.settings.wallAtZero + passed };
}

void VersionRollouts::judge(const EndedAttempt& ended, Instant now)
{
    const RunningAttempt& attempt = ended.attempt;
    if (!this->rollouts.contains(attempt.service))
        return;
    AttemptEvidence evidence { attempt.service, attempt.version, attempt.upstream,
        { attempt.route, attempt.latencyClass, LoadBand::Low }, endOf(ended),
        attempt.firstByteAt.value_or(now) - attempt.startedAt };
    if (ended.upstream)
        evidence.cell.load = loadBand(ended.upstream->outstanding, ended.upstream->limit);
    this->execute(this->guard.onAttempt(evidence, now), now);
}

void VersionRollouts::execute(const std::vector<GuardCommand>& commands, Instant now)
{
    for (const GuardCommand& command : commands) {
        if (const auto* report = std::get_if<SendVersionReport>(&command)) {
            this->sendReport(report->report, now);
            continue;
        }
        const StopVersion& stop = std::get<StopVersion>(command);
        const VersionPair& pair = stop.evidence.pair;
        if (stop.tellPeers)
            this->state.broadcast(stop.evidence);
        this->state.log(LogLevel::Warning, "version gets no more work",
            { { "service", pair.service.value() }, { "version", pair.to.value() },
                { "reason", stop.evidence.fault.describe() }, { "seenBy", stop.evidence.node.value() } });
        const auto found = this->rollouts.find(pair.service);
        if (found == this->rollouts.end())
            continue;
        found->second.move.onEvidence(stop.evidence);
        this->apply(found->first, found->second);
    }
}

void VersionRollouts::sendReport(const VersionReport& report, Instant now)
{
    const auto found = this->rollouts.find(report.pair.service);
    if (found == this->rollouts.end())
        return;
    Rollout& rollout = found->second;
    if (rollout.lease.fencingToken(now)) {
        rollout.move.onReport(report, now);
        return;
    }
    // Without a known controller the evidence is lost; the rollout then waits longer at its step.
    if (!rollout.controller.empty() && now - rollout.controllerSeen < controllerExpiry)
        this->state.commands.emplace_back(SendToPeer { rollout.controller, RequestMessage { report } });
}

void VersionRollouts::call(const std::vector<ObjectCommand>& commands)
{
    for (const ObjectCommand& command : commands)
        this->state.commands.emplace_back(CallObjectApi { command });
}

void VersionRollouts::tellPeers(Rollout& rollout, Instant now)
{
    const RolloutRecord* record = rollout.move.record();
    if (!record)
        return;
    const bool changed = !rollout.told || rollout.told->state != record->state || rollout.told->step != record->step
        || rollout.told->fencingToken != record->fencingToken;
    if (!changed && now < rollout.nextUpdate)
        return;
    rollout.told = *record;
    rollout.told->evidence.clear();
    rollout.nextUpdate = now + updatePeriod;
    this->state.broadcast(MoveUpdate { *rollout.told });
    if (changed)
        this->state.log(record->state == RolloutState::RolledBack ? LogLevel::Warning : LogLevel::Info,
            "version rollout",
            { { "service", record->pair.service.value() }, { "version", record->pair.to.value() },
                { "state", std::string(rolloutStateName(record->state)) },
                { "share", fmt::format("{}", record->share) }, { "reason", record->reason } });
}

void VersionRollouts::apply(const ServiceName& service, Rollout& rollout)
{
    const auto share = rollout.move.share();
    if (!share || rollout.applied == share)
        return;
    rollout.applied = share;
    const ServiceConfiguration* configured = this->state.configuration->findService(service);
    if (!configured)
        return;
    for (const VersionConfiguration& version : configured->versions) {
        if (version.name == rollout.pair.to) {
            if (*share == 0)
                this->state.router.stopVersion(service, version.name);
            else
                this->state.router.setVersionShare(service, version.name, *share);
            continue;
        }
        const bool isOld = version.name == rollout.pair.from;
        this->state.router.setVersionShare(service, version.name, isOld ? 1 - *share : 0);
    }
}

} // namespace teaselshore
