#include "durable_requests.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "forwarded_headers.hpp"
#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    constexpr int statusAccepted = 202;
    constexpr int statusNotFound = 404;
    constexpr int statusUnprocessable = 422;
    constexpr std::size_t suffixDigits = 24;
    /// Time in which another node has taken over the requests of one that stops.
    constexpr Duration stoppingRetryAfter = std::chrono::seconds(1);
    constexpr std::string_view requestPathPrefix = "/v1/requests/";
    constexpr std::string_view generatedKeyPrefix = "generated-";

    Respond acceptedResponse(const RequestId& caller, const RequestId& stored)
    {
        const std::string location = std::string(requestPathPrefix) + stored.value();
        const nlohmann::ordered_json body { { "id", stored.value() }, { "status", "accepted" } };
        return { caller, statusAccepted,
            { { "content-type", "application/json" }, { "location", location }, { "retry-after", "1" } },
            toJsonText(body) };
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
    request.respondAsync = classified.respondAsync;
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
    if (!request.respondAsync && this->owner.serves(slot))
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
    if (!request.respondAsync && this->owner.serves(slotOf(request.key.workspace, request.key.key)))
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

void DurableRequests::execute(const ObjectCommand& command, Instant)
{
    this->state.commands.emplace_back(CallObjectApi { command });
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

void DurableRequests::endCallers(Instant now)
{
    for (const auto& [id, caller] : std::exchange(this->localCallers, {})) {
        // Reading a stored response again does no harm.
        const bool isRead = caller.journalled == RequestId();
        this->answerLocal(caller,
            isRead ? Answer { AnswerNotRun { stoppingRetryAfter, "this node stops" } }
                   : Answer { AnswerUnknown { stoppingRetryAfter } },
            now);
    }
    this->callerOfRequest.clear();
}

std::string DurableRequests::addressOf(const NodeId& node) const
{
    const Member* member = this->state.membership.find(node);
    return member && isLive(*member) ? member->address : std::string();
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
