#include "teaselshore/control/rollout_state_machine.hpp"

#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

RolloutStateMachine::RolloutStateMachine(ServiceName service, RolloutStateMachineSettings settings)
    : service(std::move(service))
    , settings(std::move(settings))
{
}

void RolloutStateMachine::setPair(const std::optional<VersionPair>& configured)
{
    if (configured == this->pair)
        return;
    this->pair = configured;
    this->history.reset();
    this->stopEvidence.reset();
    this->stepEvidence.clear();
    this->nextRead = {};
    if (!this->pair)
        return;
    this->history.emplace(*this->pair, this->settings.comparison);
    if (this->isCurrent())
        this->adopt(*this->stored);
}

std::vector<ObjectCommand> RolloutStateMachine::tick(
    const RolloutTime& time, std::optional<std::uint64_t> fencingToken, ObjectCallIds& ids)
{
    if (this->pending && time.now - this->pending->sentAt >= this->settings.callTimeout) {
        this->pending.reset();
        this->versionKnown = false;
    }
    if (!this->pair || this->pending || time.now < this->nextCall)
        return {};
    if (fencingToken ? !this->versionKnown : time.now >= this->nextRead)
        return this->read(time.now, ids);
    if (!fencingToken || (this->stored && this->stored->fencingToken > *fencingToken))
        return {};
    if (time.now < this->nextDecision)
        return {};
    this->nextDecision = time.now + this->settings.decideEvery;
    RolloutRecord next = this->decide(time, *fencingToken);
    if (next == this->stored)
        return {};
    return this->write(std::move(next), time.now, ids);
}

void RolloutStateMachine::onResult(const ObjectResult& result, Instant now)
{
    if (!this->awaits(result.id))
        return;
    const Pending call = *std::exchange(this->pending, std::nullopt);
    if (call.written) {
        if (result.outcome == ObjectOutcome::Ok) {
            this->version = result.version;
            this->onRecordWritten(*call.written);
            return;
        }
        if (result.outcome == ObjectOutcome::Unavailable)
            this->nextCall = now + this->settings.retryEvery;
        // After a conflict another node has written. After a lost response this write may have been applied.
        this->versionKnown = false;
        return;
    }
    if (result.outcome == ObjectOutcome::Ok || result.outcome == ObjectOutcome::NotFound)
        this->nextRead = now + this->settings.readEvery;
    if (result.outcome == ObjectOutcome::NotFound) {
        this->versionKnown = true;
        this->version = 0;
        this->stored.reset();
        return;
    }
    if (result.outcome != ObjectOutcome::Ok) {
        this->nextCall = now + this->settings.retryEvery;
        return;
    }
    this->versionKnown = true;
    this->version = result.version;
    if (const auto record = RolloutRecord::decode(result.value))
        this->adopt(*record);
    else
        this->stored.reset();
}

void RolloutStateMachine::onReport(const VersionReport& report, Instant now)
{
    if (!this->pair || report.pair != *this->pair)
        return;
    std::uint64_t& last = this->lastSequence[report.node];
    if (std::exchange(last, report.sequence) == report.sequence)
        return;
    if (report.stopped)
        this->onEvidence(*report.stopped);
    for (const EvidenceEntry& entry : report.entries) {
        this->history->add(entry, now);
        if (this->stepEvidence.size() >= EvidenceHistory::maxCells && !this->stepEvidence.contains(entry.cell))
            continue;
        StepEvidence& step = this->stepEvidence[entry.cell];
        step.cell = entry.cell;
        if (entry.version == this->pair->to)
            step.to += entry.counts;
        else if (entry.version == this->pair->from)
            step.from += entry.counts;
    }
}

void RolloutStateMachine::onEvidence(const VersionEvidence& evidence)
{
    if (this->pair && evidence.pair == *this->pair && !this->stopEvidence)
        this->stopEvidence = evidence;
}

void RolloutStateMachine::onPeerRecord(const RolloutRecord& record, Instant now)
{
    if (!this->pair || record.pair != *this->pair)
        return;
    // Within one rollout a final record is newest, then that of the later controller, then that of the later step.
    const auto rank = [](const RolloutRecord& value) {
        return std::tuple(value.state != RolloutState::InProgress, value.fencingToken, value.step);
    };
    this->nextRead = now + this->settings.readEvery;
    if (this->isCurrent() && rank(record) <= rank(*this->stored))
        return;
    // Peers do not send the version of the object, so it must be read before the next write.
    this->versionKnown = false;
    this->adopt(record);
}

const RolloutRecord* RolloutStateMachine::record() const { return this->isCurrent() ? &*this->stored : nullptr; }

std::optional<double> RolloutStateMachine::share() const
{
    if (!this->pair)
        return std::nullopt;
    const bool complete = this->isCurrent() && this->stored->state == RolloutState::Complete;
    if (this->stopEvidence && !complete)
        return 0;
    if (!this->isCurrent())
        return std::nullopt;
    return this->stored->share;
}

std::vector<ObjectCommand> RolloutStateMachine::read(Instant now, ObjectCallIds& ids)
{
    this->pending = Pending { ids.next(), now, std::nullopt };
    return { ObjectRead { this->pending->id, rolloutKey(this->service) } };
}

std::vector<ObjectCommand> RolloutStateMachine::write(RolloutRecord next, Instant now, ObjectCallIds& ids)
{
    const std::string value = next.encode();
    this->nextSave = now + this->settings.saveEvery;
    this->pending = Pending { ids.next(), now, std::move(next) };
    if (this->version == 0)
        return { ObjectCreate { this->pending->id, rolloutKey(this->service), value } };
    return { ObjectUpdate { this->pending->id, rolloutKey(this->service), value, this->version } };
}

RolloutRecord RolloutStateMachine::decide(const RolloutTime& time, std::uint64_t fencingToken)
{
    const bool hasRecord = this->isCurrent();
    RolloutRecord next = hasRecord ? *this->stored : this->start(time);
    const bool isNewController = next.fencingToken < fencingToken;
    next.fencingToken = fencingToken;
    if (next.state != RolloutState::InProgress)
        return hasRecord ? *this->stored : next;
    if (this->stopEvidence) {
        this->rollBack(next,
            fmt::format("{} (seen by {})", this->stopEvidence->fault.describe(), this->stopEvidence->node.value()));
        return next;
    }
    if (const auto fault = this->history->findFault(time.now)) {
        this->rollBack(next, fault->describe());
        return next;
    }
    // A new controller first writes its fencing token, so that its predecessor's next write fails.
    if (isNewController)
        return next;
    this->advance(next, time);
    const bool changed = next.step != this->stored->step || next.state != this->stored->state;
    return changed || time.now >= this->nextSave ? next : *this->stored;
}

RolloutRecord RolloutStateMachine::start(const RolloutTime& time) const
{
    RolloutRecord record;
    record.pair = *this->pair;
    record.share = this->settings.plan.steps.front().share;
    record.startedAt = time.wall;
    record.stepStartedAt = time.wall;
    record.reason = fmt::format("step 1 of {}, started", this->settings.plan.steps.size());
    return record;
}

void RolloutStateMachine::advance(RolloutRecord& next, const RolloutTime& time) const
{
    next.evidence.clear();
    for (const auto& [cell, evidence] : this->stepEvidence)
        next.evidence.push_back(evidence);
    const RolloutPlanSettings& plan = this->settings.plan;
    const StepEvaluation evaluation = evaluateStep(next, plan, time.wall);
    next.reason = evaluation.reason;
    const bool last = next.step + 1 >= plan.steps.size();
    const bool settled = last && time.wall - next.stepStartedAt >= plan.settleTime
        && evaluateStep(next, plan, std::max(time.wall, next.pair.moveBy)).proceed;
    if (!evaluation.proceed && !settled)
        return;
    next.evidence.clear();
    next.stepStartedAt = time.wall;
    if (last) {
        next.state = RolloutState::Complete;
        next.reason = fmt::format("all traffic moved; no fault in {}", evaluation.reason);
        return;
    }
    next.step++;
    next.share = plan.steps[next.step].share;
    next.reason = fmt::format("step {} of {}, after {}", next.step + 1, plan.steps.size(), evaluation.reason);
}

void RolloutStateMachine::rollBack(RolloutRecord& next, const std::string& reason) const
{
    next.state = RolloutState::RolledBack;
    next.reason = fmt::format("at share {:.1f}%: {}", next.share * 100, reason);
    next.share = 0;
    next.evidence.clear();
}

void RolloutStateMachine::adopt(const RolloutRecord& record)
{
    this->stored = record;
    if (!this->isCurrent())
        return;
    this->stepEvidence.clear();
    for (const StepEvidence& entry : record.evidence)
        this->stepEvidence.emplace(entry.cell, entry);
}

void RolloutStateMachine::onRecordWritten(const RolloutRecord& record)
{
    const bool sameStep = this->isCurrent() && this->stored->step == record.step;
    this->stored = record;
    // Outcomes that arrived during the write count for the step only if the step is still the same.
    if (!sameStep)
        this->stepEvidence.clear();
}

bool RolloutStateMachine::isCurrent() const { return this->pair && this->stored && this->stored->pair == *this->pair; }

} // namespace teaselshore
