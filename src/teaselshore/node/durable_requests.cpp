#include "durable_requests.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "forwarded_headers.hpp"

namespace teaselshore {

namespace {

    constexpr int statusAccepted = 202;
    constexpr int statusNotFound = 404;
    constexpr int statusUnprocessable = 422;
    constexpr int firstServerError = 500;
    constexpr std::size_t suffixDigits = 24;
    constexpr std::string_view requestPathPrefix = "/v1/requests/";
    constexpr std::string_view generatedKeyPrefix = "generated-";
    constexpr Duration runPollInterval = std::chrono::milliseconds(50);
    /// Time after which a run that the journal did not dispatch gives its place back; its slot may have moved.
    constexpr Duration dispatchPatience = std::chrono::seconds(10);
    constexpr Duration suspectPollInterval = std::chrono::milliseconds(500);
    /// Attempts of one durable request after which its failure is final.
    constexpr std::uint32_t maxDurableAttempts = 12;

    StoredAnswer failureAnswer(const RequestId& request, const CallerError& error)
    {
        return { error.status, { { "content-type", "application/json" } }, errorBody(request, error), true };
    }

    Respond acceptedResponse(const RequestId& caller, const RequestId& stored)
    {
        const std::string location = std::string(requestPathPrefix) + stored.value();
        const nlohmann::ordered_json body { { "id", stored.value() }, { "status", "accepted" } };
        return { caller, statusAccepted,
            { { "content-type", "application/json" }, { "location", location }, { "retry-after", "1" } }, body.dump() };
    }

    bool isNotRunAnswer(const Answer& answer) { return std::holds_alternative<AnswerNotRun>(answer); }

} // namespace

DurableRequests::DurableRequests(NodeState& state, CrashChecks& crashChecks)
    : state(state)
    , crashChecks(crashChecks)
    , owner(state.settings.self.id, state.settings.slotOwner, state.settings.mutations.slotOwner)
    // A late answer for an earlier process at this address must not match a caller of this one.
    , lastCaller(fingerprint({ state.settings.self.id.value() }))
{
}

void DurableRequests::handle(const SlotEvent& event, Instant now)
{
    for (const SlotCommand& command : this->owner.handle(event, now))
        std::visit([&](const auto& content) { this->execute(content, now); }, command);
}

std::optional<ClassifiedRequest> DurableRequests::classify(const JournalRequest& request) const
{
    if (!this->state.configuration)
        return std::nullopt;
    const RequestArrived arrived { request.id, request.method, request.path, request.headers, request.body };
    auto result = classifyRequest(arrived, *this->state.configuration, this->state.settings.defaultOutputTokens);
    if (auto* classified = std::get_if<ClassifiedRequest>(&result))
        return std::move(*classified);
    return std::nullopt;
}

void DurableRequests::onArrived(const RequestArrived& arrived, const ClassifiedRequest& classified,
    const std::optional<TraceContext>& parent, Instant now)
{
    LocalCaller caller;
    caller.request = arrived.request;
    caller.trace = this->state.childOf(parent);
    caller.parentSpan = parent ? parent->spanId : SpanId();
    caller.service = classified.service;
    caller.arrivedAt = now;

    JournalRequest request;
    const bool generated = !classified.key;
    request.key.workspace = classified.workspace;
    request.key.key = classified.key.value_or(
        IdempotencyKey(std::string(generatedKeyPrefix) + this->state.random.hex(suffixDigits)));
    const Slot slot = slotOf(request.key.workspace, request.key.key);
    request.id = makeRequestId(slot, this->state.random.hex(suffixDigits));
    request.service = classified.service;
    request.route = classified.route;
    request.method = arrived.method;
    request.path = arrived.path;
    request.headers = arrived.headers;
    if (generated)
        request.headers.emplace_back("idempotency-key", request.key.key.value());
    request.body = arrived.body;
    request.idempotent = classified.idempotent;
    request.patient = classified.respondAsync;
    request.traceparent = formatTraceparent(caller.trace);

    if (this->state.suspects.verdict(classified.suspect, now) == SuspectVerdict::Rejected) {
        this->state.commands.emplace_back(errorResponse(
            arrived.request, rejectedError(statusUnprocessable, "this request crashed the upstreams that ran it")));
        this->state.statistics.count(ErrorCode::Rejected);
        return;
    }
    const CallerId id = ++this->lastCaller;
    caller.journalled = request.id;
    this->callerOfRequest.emplace(arrived.request, id);
    this->localCallers.emplace(id, std::move(caller));
    std::optional<UpstreamId> upstream;
    if (!request.patient && this->owner.serves(slot))
        upstream = this->choose(request, {}, false, now);
    this->handle(ClientRequest { id, std::move(request), std::move(upstream), false }, now);
}

void DurableRequests::onReadArrived(const RequestArrived& arrived, const RequestId& target, Instant now)
{
    const auto parent = parseTraceparent(findHeader(arrived.headers, "traceparent").value_or(std::string()));
    LocalCaller caller;
    caller.request = arrived.request;
    caller.trace = this->state.childOf(parent);
    caller.parentSpan = parent ? parent->spanId : SpanId();
    caller.arrivedAt = now;
    const CallerId id = ++this->lastCaller;
    this->callerOfRequest.emplace(arrived.request, id);
    this->localCallers.emplace(id, std::move(caller));
    this->handle(AnswerRead { id, target, false }, now);
}

void DurableRequests::onCallerGone(const RequestId& id)
{
    const auto found = this->callerOfRequest.find(id);
    if (found == this->callerOfRequest.end())
        return;
    this->localCallers.erase(found->second);
    this->callerOfRequest.erase(found);
}

void DurableRequests::onForwarded(const std::string& senderAddress, const ForwardedRequest& forwarded, Instant now)
{
    const CallerId id = ++this->lastCaller;
    JournalRequest request = forwarded.request;
    RemoteCaller caller { senderAddress, forwarded.caller, forwarded.attempt, request.id, std::nullopt, {}, now };
    if (const auto parent = parseTraceparent(request.traceparent)) {
        caller.trace = this->state.childOf(parent);
        caller.parentSpan = parent->spanId;
        request.traceparent = formatTraceparent(*caller.trace);
    }
    this->remoteCallers.emplace(id, std::move(caller));
    std::optional<UpstreamId> upstream;
    if (!request.patient && this->owner.serves(slotOf(request.key.workspace, request.key.key)))
        upstream = this->choose(request, {}, false, now);
    this->handle(ClientRequest { id, std::move(request), std::move(upstream), true }, now);
}

void DurableRequests::onForwarded(const std::string& senderAddress, const ForwardedRead& forwarded, Instant now)
{
    const CallerId id = ++this->lastCaller;
    this->remoteCallers.emplace(
        id, RemoteCaller { senderAddress, forwarded.caller, forwarded.attempt, {}, std::nullopt, {}, now });
    this->handle(AnswerRead { id, forwarded.request, true }, now);
}

void DurableRequests::onForwardNotSent(CallerId caller, std::uint32_t attempt, Instant now)
{
    this->handle(ForwardFailed { caller, attempt, false }, now);
}

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

void DurableRequests::execute(const ObjectCommand& command, Instant)
{
    this->state.commands.emplace_back(CallObjectApi { command });
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
    if (this->state.suspects.verdict(classified.suspect, now) == SuspectVerdict::Rejected) {
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

void DurableRequests::execute(const AnswerCaller& command, Instant now)
{
    if (const auto local = this->localCallers.extract(command.caller)) {
        this->callerOfRequest.erase(local.mapped().request);
        this->chosen.erase(local.mapped().journalled);
        this->answerLocal(local.mapped(), command.answer, now);
        return;
    }
    const auto remote = this->remoteCallers.extract(command.caller);
    if (remote.empty())
        return;
    const RemoteCaller& caller = remote.mapped();
    this->chosen.erase(caller.journalled);
    this->state.commands.emplace_back(
        SendToPeer { caller.address, ForwardedAnswer { caller.caller, caller.attempt, command.answer } });
    if (!caller.trace)
        return;
    this->state.recordSpan(*caller.trace, caller.parentSpan, "forwarded request", caller.arrivedAt, now,
        { { "from", caller.address }, { "outcome", isNotRunAnswer(command.answer) ? "not_run" : "answered" } });
}

void DurableRequests::answerLocal(const LocalCaller& caller, const Answer& answer, Instant now)
{
    NodeStatistics& statistics = this->state.statistics;
    const auto respondError = [&](const CallerError& error) {
        statistics.count(error.code);
        this->state.commands.emplace_back(errorResponse(caller.request, error));
        return std::string(errorCodeName(error.code));
    };
    std::string outcome;
    if (const auto* finished = std::get_if<AnswerFinished>(&answer)) {
        if (!finished->answer.bodyStored) {
            outcome = respondError(failedError("the request ran, but its response was too large to be kept"));
        } else {
            ++statistics.responses;
            Respond response { caller.request, finished->answer.status, callerHeaders(finished->answer.headers),
                finished->answer.body };
            response.headers.emplace_back("x-request-id", caller.request.value());
            this->state.commands.emplace_back(std::move(response));
            outcome = "answered";
        }
    } else if (const auto* accepted = std::get_if<AnswerAccepted>(&answer)) {
        ++statistics.responses;
        this->state.commands.emplace_back(acceptedResponse(caller.request, accepted->request));
        outcome = "accepted";
    } else if (const auto* notRun = std::get_if<AnswerNotRun>(&answer)) {
        outcome = respondError(notRunError(notRun->reason, notRun->retryAfter));
    } else if (const auto* unknown = std::get_if<AnswerUnknown>(&answer)) {
        outcome = respondError(outcomeUnknownError("the request may have run", unknown->retryAfter));
    } else {
        outcome = respondError(rejectedError(statusNotFound, "no request with this id is known"));
    }
    this->state.recordSpan(caller.trace, caller.parentSpan, "request", caller.arrivedAt, now,
        { { "service", caller.service.value() }, { "outcome", outcome }, { "request", caller.request.value() } });
}

void DurableRequests::execute(const LookUpOutcome& command, Instant now)
{
    const auto configuration = this->state.configuration;
    const ServiceConfiguration* service = configuration ? configuration->findService(command.service) : nullptr;
    if (!service || service->outcomeLookup.empty()) {
        this->handle(OutcomeLookedUp { command.request, std::nullopt }, now);
        return;
    }
    for (const UpstreamConfiguration& upstream : service->upstreams) {
        if (upstream.id != command.upstream)
            continue;
        this->state.commands.emplace_back(
            QueryOutcome { command.request, upstream.address, service->outcomeLookup + command.key.key.value() });
        return;
    }
    this->handle(OutcomeLookedUp { command.request, std::nullopt }, now);
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
        = classified ? this->state.suspects.verdict(classified->suspect, now) : SuspectVerdict::Clear;
    if (verdict == SuspectVerdict::RetryRunning || verdict == SuspectVerdict::Undecided) {
        this->state.release(id, now);
        this->deferRun(id, suspectPollInterval, now);
        return;
    }
    const auto upstream = this->choose(found->second, {}, verdict == SuspectVerdict::RetryAlone, now);
    if (!upstream) {
        this->state.release(id, now);
        this->deferRun(id, runPollInterval, now);
        return;
    }
    this->waitingRuns.erase(found);
    this->awaitingDispatch.insert_or_assign(id, now + dispatchPatience);
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

void DurableRequests::execute(const ForwardToOwner& command, Instant now)
{
    const std::string address = this->addressOf(command.owner);
    if (address.empty()) {
        this->handle(ForwardFailed { command.caller, command.attempt, false }, now);
        return;
    }
    ++this->state.statistics.forwards;
    this->state.commands.emplace_back(SendToPeer {
        address, ForwardedRequest { command.caller, command.attempt, command.request, command.upstream } });
}

void DurableRequests::execute(const ForwardRead& command, Instant now)
{
    const std::string address = this->addressOf(command.owner);
    if (address.empty()) {
        this->handle(ForwardFailed { command.caller, command.attempt, false }, now);
        return;
    }
    this->state.commands.emplace_back(
        SendToPeer { address, ForwardedRead { command.caller, command.attempt, command.request } });
}

void DurableRequests::execute(const SendHandOver& command, Instant)
{
    const std::string address = this->addressOf(command.to);
    if (!address.empty())
        this->state.commands.emplace_back(SendToPeer { address, command.handOver });
}

void DurableRequests::execute(const SendHandOverAck& command, Instant)
{
    const std::string address = this->addressOf(command.to);
    if (!address.empty())
        this->state.commands.emplace_back(SendToPeer { address, HandOverAck { command.instance } });
}

void DurableRequests::execute(const OwnershipLost& command, Instant)
{
    this->state.log(LogLevel::Warning, "journal was taken over by another node; slots are given up",
        { { "instance", command.instance.value() } });
}

void DurableRequests::execute(const StopCompleted&, Instant) { this->stopped = true; }

std::string DurableRequests::addressOf(const NodeId& node) const
{
    const Member* member = this->state.membership.find(node);
    return member && isLive(*member) ? member->address : std::string();
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

void DurableRequests::onTick(Instant now)
{
    while (!this->deferredRuns.empty() && this->deferredRuns.begin()->first <= now) {
        const RequestId id = this->deferredRuns.begin()->second;
        this->deferredRuns.erase(this->deferredRuns.begin());
        this->requestAdmission(id, now);
    }
    std::erase_if(this->awaitingDispatch, [&](const auto& entry) {
        if (entry.second > now)
            return false;
        this->chosen.erase(entry.first);
        this->state.release(entry.first, now);
        return true;
    });
    this->handle(Tick {}, now);
}

} // namespace teaselshore
