#include "transient_requests.hpp"

#include <algorithm>
#include <variant>

#include "forwarded_headers.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnprocessable = 422;
    constexpr int firstServerError = 500;
    /// Time between two tries to find an upstream while none has capacity.
    constexpr Duration capacityPollInterval = std::chrono::milliseconds(20);
    /// Time between two checks of whether the isolated retry of the same request has ended elsewhere.
    constexpr Duration isolatedRetryPollInterval = std::chrono::milliseconds(500);
    constexpr Duration suspectRetryAfter = std::chrono::seconds(2);
    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

    std::uint32_t tokensOf(const AttemptFinished& finished)
    {
        return static_cast<std::uint32_t>(finished.relayedEvents);
    }

    /// Error of a request that ends without a response.
    CallerError endError(bool mayHaveRun, const std::string& reason, Duration retryAfter)
    {
        return mayHaveRun ? failedError(reason) : notRunError(reason, retryAfter);
    }

} // namespace

TransientRequests::TransientRequests(NodeState& state, CrashChecks& crashChecks)
    : state(state)
    , crashChecks(crashChecks)
{
}

TransientRequests::Request* TransientRequests::find(const RequestId& id)
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

void TransientRequests::onArrived(
    RequestArrived arrived, ClassifiedRequest classified, std::optional<TraceContext> parent, Instant now)
{
    const RequestId id = arrived.request;
    Request request;
    request.trace = this->state.childOf(parent);
    request.parentSpan = parent ? parent->spanId : SpanId();
    request.arrivedAt = now;
    request.deadline = now + classified.timeLimit;
    request.relayedEvents = classified.deliveredEvents;
    request.backoff = Backoff(this->state.settings.retryBackoff);

    AdmissionRequest admission;
    admission.request = id;
    admission.service = classified.service;
    admission.latencyClass = classified.latencyClass;
    admission.workspace = classified.workspace;
    // A request that starts later than this would probably end after its deadline.
    const Duration holdTime = this->state.router.meanHoldTime(classified.service);
    admission.startBy = request.deadline - std::min<Duration>(holdTime, classified.timeLimit / 2);
    admission.cost = 1.0 + classified.promptTokens + classified.expectedOutputTokens;

    request.arrived = std::move(arrived);
    request.classified = std::move(classified);
    this->timers.emplace(request.deadline, id);
    Request& added = this->requests.emplace(id, std::move(request)).first->second;

    const AdmissionResult result = this->state.admission.onRequest(admission, now);
    if (const auto* rejected = std::get_if<Rejected>(&result)) {
        this->fail(added, notRunError("the request would not start before its deadline", rejected->retryAfter), now);
        return;
    }
    if (const auto* queued = std::get_if<Queued>(&result)) {
        if (queued->preempt)
            this->state.preemptions.push_back(*queued->preempt);
        return;
    }
    this->proceed(id, now);
}

void TransientRequests::onAdmissionRejected(const Rejected& rejected, Instant now)
{
    Request* request = this->find(rejected.request);
    if (!request)
        return;
    const std::string reason = "the request can no longer meet its deadline";
    this->fail(*request, endError(request->mayHaveRun, reason, rejected.retryAfter), now);
}

void TransientRequests::proceed(const RequestId& id, Instant now)
{
    Request* request = this->find(id);
    if (!request)
        return;
    switch (this->state.suspectVerdict(request->classified.suspect, now)) {
    case SuspectVerdict::Clear:
        this->dispatch(*request, false, now);
        return;
    case SuspectVerdict::RetryIsolated:
        this->dispatch(*request, true, now);
        return;
    case SuspectVerdict::RetryRunning:
        this->wait(*request, isolatedRetryPollInterval, now);
        return;
    case SuspectVerdict::Undecided:
        this->wait(*request, this->state.settings.crashSuspects.zoneLossWindow, now);
        return;
    case SuspectVerdict::Rejected:
        this->fail(*request, rejectedError(statusUnprocessable, "this request crashed the upstreams that ran it"), now);
        return;
    }
}

void TransientRequests::dispatch(Request& request, bool alone, Instant now)
{
    RoutingRequest routing;
    routing.service = request.classified.service;
    routing.latencyClass = request.classified.latencyClass;
    routing.idempotent = true;
    routing.promptTokens = request.classified.promptTokens;
    routing.expectedOutputTokens = request.classified.expectedOutputTokens;
    routing.prefixBlocks = request.classified.prefixBlocks;
    routing.excluded = request.excluded;
    routing.version = request.version;
    routing.alone = alone;
    auto decision = this->state.router.choose(routing, now);
    if (!decision && (!routing.excluded.empty() || routing.version)) {
        // An upstream that failed before, or another version, is better than none.
        routing.excluded.clear();
        routing.version.reset();
        decision = this->state.router.choose(routing, now);
    }
    if (!decision) {
        this->wait(request, capacityPollInterval, now);
        return;
    }

    if (alone)
        this->state.broadcastSuspects(this->state.suspects.onRetryStarted(request.classified.suspect, now));
    if (request.attempts == 0)
        this->state.retryBudget(routing.service).onRequest(now);
    ++request.attempts;
    if (request.relayedEvents > request.classified.deliveredEvents)
        ++this->state.statistics.resumes;

    NodeState::Outgoing outgoing;
    outgoing.attempt.request = request.arrived.request;
    outgoing.attempt.route = request.classified.route;
    outgoing.attempt.suspect = request.classified.suspect;
    outgoing.attempt.trace = this->state.childOf(request.trace);
    outgoing.attempt.parentSpan = request.trace.spanId;
    outgoing.start.method = request.arrived.method;
    outgoing.start.path = request.arrived.path;
    outgoing.start.headers = upstreamHeaders(request.arrived.headers);
    outgoing.start.headers.emplace_back("x-priority", std::to_string(request.classified.priority));
    if (request.relayedEvents > 0 && !this->state.settings.mutations.resumeFromZero)
        outgoing.start.headers.emplace_back("x-resume-from", std::to_string(request.relayedEvents));
    outgoing.start.body = request.arrived.body;
    outgoing.start.relay = request.classified.stream;
    request.attempt = this->state.startAttempt(routing, *decision, std::move(outgoing), now);
    request.phase = Phase::Running;
}

void TransientRequests::wait(Request& request, Duration delay, Instant now)
{
    request.phase = Phase::Waiting;
    request.waitUntil = now + delay;
    this->timers.emplace(request.waitUntil, request.arrived.request);
}

void TransientRequests::onAttemptStarted(const RunningAttempt& attempt, Instant now)
{
    this->state.router.onFirstToken(attempt.dispatch, now);
    Request* request = this->find(attempt.request);
    if (!request)
        return;
    request->mayHaveRun = true;
    request->streaming = true;
    // Tokens of two versions must not be mixed in one response.
    request->version = attempt.version;
}

void TransientRequests::onAttemptFinished(const RunningAttempt& attempt, AttemptFinished finished, Instant now)
{
    Request* request = this->find(attempt.request);
    const bool refused = finished.status == statusTooManyRequests || saysNotRun(finished);
    const bool failed = !refused && finished.status >= firstServerError;
    const AttemptOutcome outcome = refused ? AttemptOutcome::Refused
        : failed                           ? AttemptOutcome::Failed
                                           : AttemptOutcome::Completed;
    this->state.endAttempt(attempt, outcome, tokensOf(finished), now, finished.status);
    if (attempt.alone && failed)
        this->state.broadcastSuspects(this->state.suspects.clear(attempt.suspect, now));
    if (!request)
        return;
    if (!refused && !failed) {
        this->respond(*request, std::move(finished), now);
        return;
    }
    request->mayHaveRun = request->mayHaveRun || failed;
    request->excluded.push_back(attempt.upstream);
    this->retry(*request, true, "the upstream answered with status " + std::to_string(finished.status), now);
}

void TransientRequests::onAttemptFailed(const RunningAttempt& attempt, const AttemptFailed& failed, Instant now)
{
    Request* request = this->find(attempt.request);
    const bool interrupted = !failed.connectionBroken && failed.mayHaveRun && request && request->preempting;
    if (request)
        request->relayedEvents
            = std::max(request->relayedEvents, request->classified.deliveredEvents + failed.relayedEvents);

    if (interrupted) {
        this->state.endAttempt(attempt, AttemptOutcome::Cancelled, 0, now);
        request->preempting = false;
        request->mayHaveRun = true;
        request->phase = Phase::Queued;
        const auto status = this->state.router.status(attempt.upstream, now);
        if (status && status->state != UpstreamState::Available) {
            request->excluded.push_back(attempt.upstream);
            this->proceed(attempt.request, now);
            return;
        }
        ++this->state.statistics.preemptions;
        this->state.admissionChanges.push_back(this->state.admission.onPreempted(attempt.request, now));
        return;
    }

    if (!failed.mayHaveRun) {
        this->state.endAttempt(attempt, AttemptOutcome::Refused, 0, now);
        this->crashChecks.onRefused(attempt.upstream, now);
        if (!request)
            return;
        request->excluded.push_back(attempt.upstream);
        // Nothing was sent, so the retry adds no load to any upstream.
        this->retry(*request, false, failed.detail, now);
        return;
    }

    this->state.endAttempt(
        attempt, failed.connectionBroken ? AttemptOutcome::Failed : AttemptOutcome::TimedOut, 0, now);
    if (failed.connectionBroken)
        this->crashChecks.onBroken(
            attempt.upstream, { attempt.request, false, 0, attempt.suspect, attempt.alone }, now);
    if (!request)
        return;
    request->mayHaveRun = true;
    request->excluded.push_back(attempt.upstream);
    if (failed.connectionBroken) {
        request->phase = Phase::Checking;
        return;
    }
    this->retry(*request, true, failed.detail, now);
}

void TransientRequests::onCrashCheck(const CrashCheckResult& result, Instant now)
{
    for (const BrokenRequest& broken : result.requests) {
        Request* request = broken.durable ? nullptr : this->find(broken.request);
        if (!request || request->phase != Phase::Checking)
            continue;
        // After a death the retry replaces lost work and adds no load; after a mere break it may.
        this->retry(*request, !result.crashed, "the connection to the upstream broke", now);
    }
}

void TransientRequests::retry(Request& request, bool amplifies, const std::string& reason, Instant now)
{
    const bool spent = request.attempts >= this->state.settings.maxAttempts;
    if (spent || (amplifies && !this->state.retryBudget(request.classified.service).tryRetry(now))) {
        this->fail(request, endError(request.mayHaveRun, reason, defaultRetryAfter), now);
        return;
    }
    ++this->state.statistics.retries;
    if (amplifies || request.attempts > 1) {
        this->wait(request, request.backoff.next(this->state.random), now);
        return;
    }
    this->proceed(request.arrived.request, now);
}

void TransientRequests::preempt(const RequestId& id)
{
    Request* request = this->find(id);
    if (!request || request->phase != Phase::Running || request->preempting)
        return;
    request->preempting = true;
    this->state.commands.emplace_back(InterruptAttempt { request->attempt });
}

void TransientRequests::moveFrom(const UpstreamId& upstream)
{
    for (const AttemptId attempt : this->state.attempts.onUpstream(upstream)) {
        const RunningAttempt* running = this->state.attempts.find(attempt);
        if (!running->durable)
            this->preempt(running->request);
    }
}

void TransientRequests::onCallerGone(const RequestId& id, Instant now)
{
    Request* request = this->find(id);
    if (!request)
        return;
    this->cancelAttempt(*request, AttemptOutcome::Cancelled, now);
    this->erase(id, "caller gone", now);
}

void TransientRequests::cancelAttempt(Request& request, AttemptOutcome outcome, Instant now)
{
    if (request.phase != Phase::Running)
        return;
    this->state.commands.emplace_back(CancelAttempt { request.attempt });
    if (const auto attempt = this->state.attempts.take(request.attempt))
        this->state.endAttempt(*attempt, outcome, 0, now);
    request.mayHaveRun = true;
}

void TransientRequests::endAll(Instant now)
{
    std::vector<RequestId> open;
    open.reserve(this->requests.size());
    for (const auto& [id, request] : this->requests)
        open.push_back(id);
    const std::string reason = "this node stops";
    for (const RequestId& id : open) {
        Request& request = this->requests.at(id);
        this->cancelAttempt(request, AttemptOutcome::Cancelled, now);
        this->fail(request, endError(request.mayHaveRun, reason, defaultRetryAfter), now);
    }
}

void TransientRequests::onTick(Instant now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const RequestId id = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        Request* request = this->find(id);
        if (!request)
            continue;
        if (request->deadline <= now) {
            this->expire(*request, now);
            continue;
        }
        if (request->phase == Phase::Waiting && request->waitUntil <= now)
            this->proceed(id, now);
    }
}

void TransientRequests::expire(Request& request, Instant now)
{
    this->cancelAttempt(request, AttemptOutcome::TimedOut, now);
    const std::string reason = "the deadline passed";
    this->fail(request, endError(request.mayHaveRun, reason, defaultRetryAfter), now);
}

void TransientRequests::respond(Request& request, AttemptFinished finished, Instant now)
{
    const RequestId id = request.arrived.request;
    if (!finished.relayed) {
        Respond response { id, finished.status, callerHeaders(finished.headers), std::move(finished.body) };
        response.headers.emplace_back("x-request-id", id.value());
        response.headers.emplace_back("traceparent", formatTraceparent(request.trace));
        this->state.commands.emplace_back(std::move(response));
    }
    ++this->state.statistics.responses;
    this->erase(id, "answered", now);
}

void TransientRequests::fail(Request& request, const CallerError& error, Instant now)
{
    const RequestId id = request.arrived.request;
    TEASELSHORE_ASSERT(
        error.code != ErrorCode::NotRun || !request.mayHaveRun, "not_run after the request may have run");
    if (request.streaming)
        this->state.commands.emplace_back(FailStream { id, errorBody(id, error) });
    else
        this->state.commands.emplace_back(errorResponse(id, error));
    this->state.statistics.count(error.code);
    this->erase(id, std::string(errorCodeName(error.code)), now);
}

void TransientRequests::erase(const RequestId& id, std::string outcome, Instant now)
{
    const auto node = this->requests.extract(id);
    const Request& request = node.mapped();
    this->timers.erase({ request.deadline, id });
    this->state.recordSpan(request.trace, request.parentSpan, "request", request.arrivedAt, now,
        { { "service", request.classified.service.value() }, { "route", request.classified.route.value() },
            { "class", request.classified.latencyClass.value() }, { "outcome", std::move(outcome) },
            { "attempts", std::to_string(request.attempts) }, { "request", id.value() } });
    this->state.release(id, now);
}

} // namespace teaselshore
