#include "durable_requests.hpp"

#include <utility>

#include "forwarded_headers.hpp"

namespace teaselshore {

namespace {

    constexpr int statusUnprocessable = 422;
    constexpr int firstServerError = 500;
    constexpr Duration runPollInterval = std::chrono::milliseconds(50);
    /// Time after which a run that the journal did not dispatch gives its place back; its slot may have moved.
    constexpr Duration dispatchTimeout = std::chrono::seconds(10);
    constexpr Duration suspectPollInterval = std::chrono::milliseconds(500);
    /// Attempts of one durable request after which its failure is final.
    constexpr std::uint32_t maxDurableAttempts = 12;

    StoredAnswer failureAnswer(const RequestId& request, const CallerError& error)
    {
        return { error.status, { { "content-type", "application/json" } }, errorBody(request, error), true };
    }

} // namespace

std::optional<UpstreamId> DurableRequests::choose(
    const JournalRequest& request, std::vector<UpstreamId> excluded, bool alone, Instant now)
{
    auto classified = this->classify(request);
    if (!classified)
        return std::nullopt;
    Chosen choice;
    choice.routing.service = classified->service;
    choice.routing.latencyClass = classified->latencyClass;
    choice.routing.idempotent = request.idempotent;
    choice.routing.promptTokens = classified->promptTokens;
    choice.routing.expectedOutputTokens = classified->expectedOutputTokens;
    choice.routing.prefixBlocks = classified->prefixBlocks;
    choice.routing.excluded = std::move(excluded);
    choice.routing.alone = alone;
    auto decision = this->state.router.choose(choice.routing, now);
    if (!decision)
        return std::nullopt;
    choice.decision = std::move(*decision);
    choice.classified = std::move(*classified);
    const UpstreamId upstream = choice.decision.chosen.upstream;
    this->chosen.insert_or_assign(request.id, std::move(choice));
    return upstream;
}

void DurableRequests::execute(const DispatchUpstream& command, Instant now)
{
    const JournalRequest& request = command.request;
    this->awaitingDispatch.erase(request.id);
    auto choice = this->chosen.extract(request.id);
    const auto status = this->state.router.status(command.upstream, now);
    const bool available = status && status->state == UpstreamState::Available;
    if (choice.empty() || choice.mapped().decision.chosen.upstream != command.upstream || !available) {
        this->state.release(request.id, now);
        const auto next = this->choose(request, { command.upstream }, false, now);
        this->handle(UpstreamNotRun { request.id, command.attempt, next }, now);
        return;
    }

    const ClassifiedRequest& classified = choice.mapped().classified;
    if (this->state.suspectVerdict(classified.suspect, now) == SuspectVerdict::Rejected) {
        const CallerError error = rejectedError(statusUnprocessable, "this request crashed the upstreams that ran it");
        this->state.release(request.id, now);
        this->handle(UpstreamFinished { request.id, command.attempt, failureAnswer(request.id, error) }, now);
        return;
    }
    if (choice.mapped().routing.alone)
        this->state.broadcastSuspects(this->state.suspects.onRetryStarted(classified.suspect, now));

    const auto parent = parseTraceparent(request.traceparent);
    NodeState::Outgoing outgoing;
    outgoing.attempt.request = request.id;
    outgoing.attempt.durable = true;
    outgoing.attempt.journalAttempt = command.attempt;
    outgoing.attempt.route = request.route;
    outgoing.attempt.suspect = classified.suspect;
    outgoing.attempt.trace = this->state.childOf(parent);
    outgoing.attempt.parentSpan = parent ? parent->spanId : SpanId();
    outgoing.start.method = request.method;
    outgoing.start.path = request.path;
    outgoing.start.headers = upstreamHeaders(request.headers);
    outgoing.start.headers.emplace_back("x-priority", std::to_string(classified.priority));
    outgoing.start.body = request.body;
    if (command.attempt <= 1)
        this->state.retryBudget(request.service).onRequest(now);
    const AttemptId attempt
        = this->state.startAttempt(choice.mapped().routing, choice.mapped().decision, std::move(outgoing), now);
    this->dispatched.insert_or_assign(request.id, Dispatched { request, attempt });
}

void DurableRequests::execute(const RunAccepted& command, Instant now)
{
    this->waitingRuns.insert_or_assign(command.request.id, command.request);
    this->requestAdmission(command.request.id, now);
}

void DurableRequests::requestAdmission(const RequestId& id, Instant now)
{
    const auto found = this->waitingRuns.find(id);
    if (found == this->waitingRuns.end())
        return;
    const auto classified = this->classify(found->second);
    if (!classified) {
        // The route may come back with the next configuration; an accepted request is not dropped.
        this->deferRun(id, std::chrono::seconds(5), now);
        return;
    }
    // A place is still held if the journal asks again for a run that it could not record.
    this->awaitingDispatch.erase(id);
    this->state.release(id, now);
    AdmissionRequest admission;
    admission.request = id;
    admission.service = classified->service;
    admission.latencyClass = classified->latencyClass;
    admission.workspace = classified->workspace;
    admission.startBy = now + classified->timeLimit;
    admission.cost = 1.0 + classified->promptTokens + classified->expectedOutputTokens;
    const AdmissionResult result = this->state.admission.onRequest(admission, now);
    if (const auto* rejected = std::get_if<Rejected>(&result))
        this->deferRun(id, rejected->retryAfter, now);
    else if (std::holds_alternative<Admitted>(result))
        this->chooseForRun(id, now);
}

void DurableRequests::chooseForRun(const RequestId& id, Instant now)
{
    const auto found = this->waitingRuns.find(id);
    if (found == this->waitingRuns.end())
        return;
    const auto classified = this->classify(found->second);
    const SuspectVerdict verdict
        = classified ? this->state.suspectVerdict(classified->suspect, now) : SuspectVerdict::Clear;
    if (verdict == SuspectVerdict::RetryRunning || verdict == SuspectVerdict::Undecided) {
        this->state.release(id, now);
        this->deferRun(id, suspectPollInterval, now);
        return;
    }
    const auto upstream = this->choose(found->second, {}, verdict == SuspectVerdict::RetryIsolated, now);
    if (!upstream) {
        this->state.release(id, now);
        this->deferRun(id, runPollInterval, now);
        return;
    }
    this->waitingRuns.erase(found);
    this->awaitingDispatch.insert_or_assign(id, now + dispatchTimeout);
    this->handle(UpstreamChosen { id, *upstream }, now);
}

void DurableRequests::preempt(const RequestId& id)
{
    const auto found = this->dispatched.find(id);
    if (found == this->dispatched.end())
        return;
    // An interrupted request runs again, which only an idempotent one may.
    if (found->second.request.idempotent)
        this->state.commands.emplace_back(InterruptAttempt { found->second.attempt });
}

void DurableRequests::deferRun(const RequestId& id, Duration delay, Instant now)
{
    this->deferredRuns.emplace(now + delay, id);
}

void DurableRequests::onAdmissionRejected(const Rejected& rejected, Instant now)
{
    this->deferRun(rejected.request, rejected.retryAfter, now);
}

std::optional<UpstreamId> DurableRequests::chooseNext(const RunningAttempt& attempt, Instant now)
{
    const auto request = this->dispatched.find(attempt.request);
    if (request == this->dispatched.end() || !this->state.retryBudget(attempt.service).tryRetry(now))
        return std::nullopt;
    ++this->state.statistics.retries;
    return this->choose(request->second.request, { attempt.upstream }, attempt.alone, now);
}

void DurableRequests::notRun(const RunningAttempt& attempt, int status, Instant now)
{
    this->state.endAttempt(attempt, AttemptOutcome::Refused, 0, now, status);
    const auto next = this->chooseNext(attempt, now);
    this->dispatched.erase(attempt.request);
    this->handle(UpstreamNotRun { attempt.request, attempt.journalAttempt, next }, now);
}

void DurableRequests::onAttemptFinished(const RunningAttempt& attempt, AttemptFinished finished, Instant now)
{
    this->state.release(attempt.request, now);
    if (saysNotRun(finished)) {
        this->notRun(attempt, finished.status, now);
        return;
    }
    const bool serverError = finished.status >= firstServerError;
    this->state.endAttempt(
        attempt, serverError ? AttemptOutcome::Failed : AttemptOutcome::Completed, 0, now, finished.status);
    if (attempt.alone && serverError)
        this->state.broadcastSuspects(this->state.suspects.clear(attempt.suspect, now));
    const auto request = this->dispatched.extract(attempt.request);
    const bool idempotent = !request.empty() && request.mapped().request.idempotent;
    if (serverError && idempotent && attempt.journalAttempt < maxDurableAttempts) {
        this->handle(UpstreamUnknown { attempt.request, attempt.journalAttempt }, now);
        return;
    }
    StoredAnswer answer { finished.status, std::move(finished.headers), std::move(finished.body), true };
    this->handle(UpstreamFinished { attempt.request, attempt.journalAttempt, std::move(answer) }, now);
}

void DurableRequests::onAttemptFailed(const RunningAttempt& attempt, const AttemptFailed& failed, Instant now)
{
    this->state.release(attempt.request, now);
    if (!failed.mayHaveRun) {
        this->crashChecks.onRefused(attempt.upstream, now);
        this->notRun(attempt, 0, now);
        return;
    }
    this->dispatched.erase(attempt.request);
    this->state.endAttempt(
        attempt, failed.connectionBroken ? AttemptOutcome::Failed : AttemptOutcome::TimedOut, 0, now);
    if (failed.connectionBroken) {
        this->crashChecks.onBroken(
            attempt.upstream, { attempt.request, true, attempt.journalAttempt, attempt.suspect, attempt.alone }, now);
        return;
    }
    this->handle(UpstreamUnknown { attempt.request, attempt.journalAttempt }, now);
}

void DurableRequests::onCrashCheck(const CrashCheckResult& result, Instant now)
{
    for (const BrokenRequest& broken : result.requests) {
        if (broken.durable)
            this->handle(UpstreamUnknown { broken.request, broken.journalAttempt }, now);
    }
}

} // namespace teaselshore
