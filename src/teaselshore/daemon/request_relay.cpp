#include "teaselshore/daemon/request_relay.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <unordered_map>
#include <utility>

#include "header_conversion.hpp"
#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/node/delivered_events.hpp"
#include "teaselshore/node/event_splitter.hpp"

namespace teaselshore {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotModified = 304;
    constexpr std::string_view eventStreamType = "text/event-stream";
    constexpr const char* tooLong = "the response is longer than the limit";
    /// Callers with fewer unread bytes are not worth adding up: a few events of a fast upstream.
    constexpr std::size_t minPendingForTotal = std::size_t { 64 } * 1024;

    struct Caller {
        std::shared_ptr<ServerExchange> exchange;
        DeliveredEvents events;
        bool streaming = false;
    };

    struct Attempt {
        RequestId request;
        UpstreamId upstream;
        CallId call = 0;
        bool isHead = false;
        bool relay = false;
        bool relaying = false;
        bool announced = false;
        bool gotHead = false;
        int status = 0;
        /// Name of the field that tells which request a response answers.
        std::optional<std::string> echoName;
        HttpHeaders headers;
        std::string body;
        EventSplitter splitter;
        /// Bytes that are kept for this attempt until it ends or its event is complete.
        std::size_t keptBytes = 0;
    };

    HttpHeaders toHttpHeaders(const HeaderList& list)
    {
        HttpHeaders headers;
        for (const auto& [name, value] : list)
            headers.add(name, value);
        return headers;
    }

    /// Returns the length of the body; 0 if the head does not state it.
    std::uint64_t announcedBytes(const HttpHeaders& headers)
    {
        const std::string text = headers.find("content-length").value_or("");
        std::uint64_t length = 0;
        // The client takes no reply whose length is not a number.
        std::from_chars(text.data(), text.data() + text.size(), length);
        return length;
    }

    bool isEventStream(const HttpHeaders& headers)
    {
        const auto type = headers.find("content-type");
        return type && type->starts_with(eventStreamType);
    }

} // namespace

struct RequestRelay::Impl : std::enable_shared_from_this<RequestRelay::Impl> {
    Impl(EventLoop& eventLoop, const Settings& settings, std::function<void(RelayEvent)> emit)
        : loop(eventLoop)
        , settings(settings)
        , emit(std::move(emit))
        , client(HttpClient::create(eventLoop))
    {
    }

    void start(StartAttempt command);
    void onHead(AttemptId id, int status, const HttpHeaders& headers);
    void onSkippedReply(AttemptId id, int status, const HttpHeaders& headers);
    void onData(AttemptId id, std::string_view bytes);
    void onEnd(AttemptId id);
    void onError(AttemptId id, const HttpError& error);

    bool belongsTo(AttemptId id, const Attempt& attempt, const HttpHeaders& headers) const;
    bool isUsable(const HttpHeaders& headers) const;
    /// @brief Returns whether the stream that just ended with this attempt is complete.
    bool isComplete(const Caller& caller, const Attempt& attempt) const;
    HttpHeaders streamHead(const Attempt& attempt) const;
    void relayBytes(AttemptId id, Attempt& attempt, std::string_view bytes);
    /// @brief Notes how many bytes are kept for an attempt, and gives up the attempt with the most if all together
    /// have too many. The attempt may be gone afterwards.
    void setKept(Attempt& attempt, std::size_t bytes);
    /// @brief Ends an attempt whose response has no end.
    void giveUp(AttemptId id, std::string detail);
    /// @brief Disconnects callers that read too slowly. Any caller may be gone afterwards.
    void dropSlowCallers(const RequestId& request, std::size_t pendingBytes);
    void dropCaller(const RequestId& request);
    /// @brief Takes an attempt out of those that run.
    Attempt take(std::unordered_map<AttemptId, Attempt>::iterator position);
    void fail(AttemptId id, bool mayHaveRun, bool connectionBroken, std::string detail);
    Caller* findCaller(const RequestId& request);
    std::uint64_t relayedEvents(const RequestId& request);
    void callerGone(const RequestId& request);

    EventLoop& loop;
    Settings settings;
    std::function<void(RelayEvent)> emit;
    std::unique_ptr<HttpClient> client;
    std::unordered_map<RequestId, Caller> callers;
    std::unordered_map<AttemptId, Attempt> attempts;
    /// Sum of Attempt::keptBytes.
    std::size_t keptBytes = 0;
    RelayCounters counters;
};

RequestRelay::RequestRelay(EventLoop& loop, const Settings& settings, std::function<void(RelayEvent)> emit)
    : impl(std::make_shared<Impl>(loop, settings, std::move(emit)))
{
}

RequestRelay::~RequestRelay() = default;

void RequestRelay::addCaller(const RequestId& request, std::shared_ptr<ServerExchange> exchange)
{
    const std::weak_ptr<Impl> weak = this->impl;
    exchange->onClosed([weak, request] {
        if (const auto self = weak.lock())
            self->callerGone(request);
    });
    const bool added = this->impl->callers.emplace(request, Caller { std::move(exchange), {}, false }).second;
    TEASELSHORE_ASSERT(added, "a request id was used twice");
}

void RequestRelay::execute(StartAttempt command) { this->impl->start(std::move(command)); }

void RequestRelay::execute(const CancelAttempt& command)
{
    const auto found = this->impl->attempts.find(command.attempt);
    if (found == this->impl->attempts.end())
        return;
    this->impl->client->cancel(found->second.call);
    this->impl->take(found);
}

void RequestRelay::execute(const InterruptAttempt& command)
{
    const auto found = this->impl->attempts.find(command.attempt);
    if (found == this->impl->attempts.end())
        return;
    this->impl->client->cancel(found->second.call);
    // The event is posted, because the owner is still inside the decision that asked for the interruption.
    const std::weak_ptr<Impl> weak = this->impl;
    this->impl->loop.post([weak, id = command.attempt] {
        if (const auto self = weak.lock())
            self->fail(id, true, false, "interrupted");
    });
}

void RequestRelay::execute(Respond command)
{
    const auto found = this->impl->callers.find(command.request);
    if (found == this->impl->callers.end())
        return;
    TEASELSHORE_ASSERT(!found->second.streaming, "a complete response cannot follow a started stream");
    const auto exchange = std::move(found->second.exchange);
    this->impl->callers.erase(found);
    exchange->reply({ command.status, toHttpHeaders(command.headers), std::move(command.body) });
}

void RequestRelay::execute(const FailStream& command)
{
    const auto found = this->impl->callers.find(command.request);
    if (found == this->impl->callers.end())
        return;
    const auto exchange = std::move(found->second.exchange);
    this->impl->callers.erase(found);
    // An abort would also drop events that wait to be sent, and the error event with them.
    if (std::holds_alternative<FramedStreams>(this->impl->settings.streams)) {
        exchange->finishIncomplete();
        return;
    }
    exchange->write("event: error\ndata: " + command.errorBody + "\n\n");
    exchange->finish();
}

std::size_t RequestRelay::openCallers() const { return this->impl->callers.size(); }

std::size_t RequestRelay::openAttempts() const { return this->impl->attempts.size(); }

RelayCounters RequestRelay::counters() const { return this->impl->counters; }

void RequestRelay::Impl::start(StartAttempt command)
{
    const AttemptId id = command.attempt;
    const std::weak_ptr<Impl> weak = this->weak_from_this();
    HttpCallHandlers handlers;
    handlers.onHead = [weak, id](int status, const HttpHeaders& headers) {
        if (const auto self = weak.lock())
            self->onHead(id, status, headers);
    };
    handlers.onSkippedReply = [weak, id](int status, const HttpHeaders& headers) {
        if (const auto self = weak.lock())
            self->onSkippedReply(id, status, headers);
    };
    handlers.onData = [weak, id](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->onData(id, bytes);
    };
    handlers.onEnd = [weak, id] {
        if (const auto self = weak.lock())
            self->onEnd(id);
    };
    handlers.onError = [weak, id](const HttpError& error) {
        if (const auto self = weak.lock())
            self->onError(id, error);
    };

    const bool isHead = command.method == "HEAD";
    HttpCall call;
    call.authority = std::move(command.authority);
    call.request = { std::move(command.method), std::move(command.path), toHttpHeaders(command.headers),
        std::move(command.body) };
    call.connectTimeout = command.connectTimeout;
    call.idleTimeout = command.idleTimeout;
    if (command.expectedEcho)
        call.expectedEcho = HttpHeader { command.expectedEcho->first, command.expectedEcho->second };
    // The end of the connection is the end of such a response, and a reset is told from it.
    call.acceptUnframedReply = std::holds_alternative<FramedStreams>(this->settings.streams);

    Attempt attempt;
    attempt.request = std::move(command.request);
    attempt.upstream = std::move(command.upstream);
    attempt.isHead = isHead;
    attempt.relay = command.relay;
    if (command.expectedEcho)
        attempt.echoName = command.expectedEcho->first;
    attempt.call = this->client->start(std::move(call), std::move(handlers));
    const bool added = this->attempts.emplace(id, std::move(attempt)).second;
    TEASELSHORE_ASSERT(added, "an attempt id was used twice");
}

void RequestRelay::Impl::onHead(AttemptId id, int status, const HttpHeaders& headers)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    Attempt& attempt = found->second;
    if (!this->belongsTo(id, attempt, headers)) {
        ++this->counters.misdirectedResponses;
        logLine(LogLevel::Warning, "response names another request; the attempt is dropped",
            { { "request", attempt.request }, { "upstream", attempt.upstream } });
        this->client->cancel(attempt.call);
        this->fail(id, true, false, "the response belongs to another request");
        return;
    }

    attempt.gotHead = true;
    attempt.status = status;
    attempt.headers = headers;
    const bool streamable = attempt.relay && status == statusOk && isEventStream(headers) && this->isUsable(headers);
    attempt.relaying = streamable && this->findCaller(attempt.request);
    // Only the length of a body is a promise to send one.
    const bool hasBody = !attempt.isHead && status != statusNotModified;
    if (hasBody && !attempt.relaying && announcedBytes(headers) > this->settings.maxCollectedBytes)
        this->giveUp(id, tooLong);
}

void RequestRelay::Impl::onSkippedReply(AttemptId id, int status, const HttpHeaders& headers)
{
    ++this->counters.skippedResponses;
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    const Attempt& attempt = found->second;
    const std::string named = attempt.echoName ? headers.find(*attempt.echoName).value_or("") : std::string();
    logLine(LogLevel::Warning, "response to an earlier request on the connection is skipped",
        { { "request", attempt.request }, { "upstream", attempt.upstream }, { "status", status }, { "named", named } });
}

void RequestRelay::Impl::onData(AttemptId id, std::string_view bytes)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    Attempt& attempt = found->second;
    if (attempt.relaying) {
        this->relayBytes(id, attempt, bytes);
        return;
    }
    attempt.body.append(bytes);
    if (attempt.body.size() > this->settings.maxCollectedBytes)
        this->giveUp(id, tooLong);
    else
        this->setKept(attempt, attempt.body.size());
}

void RequestRelay::Impl::setKept(Attempt& attempt, std::size_t bytes)
{
    this->keptBytes += bytes - attempt.keptBytes;
    attempt.keptBytes = bytes;
    if (this->keptBytes <= this->settings.maxCollectedTotal)
        return;
    // Not the attempt that happened to grow last: that may be a sound one beside many without an end.
    const auto longest = std::max_element(this->attempts.begin(), this->attempts.end(),
        [](const auto& left, const auto& right) { return left.second.keptBytes < right.second.keptBytes; });
    this->giveUp(longest->first, "the responses that are being collected are longer than the limit");
}

void RequestRelay::Impl::giveUp(AttemptId id, std::string detail)
{
    ++this->counters.endlessResponses;
    this->client->cancel(this->attempts.at(id).call);
    this->fail(id, true, false, std::move(detail));
}

Attempt RequestRelay::Impl::take(std::unordered_map<AttemptId, Attempt>::iterator position)
{
    Attempt attempt = std::move(position->second);
    this->attempts.erase(position);
    this->keptBytes -= attempt.keptBytes;
    return attempt;
}

void RequestRelay::Impl::relayBytes(AttemptId id, Attempt& attempt, std::string_view bytes)
{
    Caller* caller = this->findCaller(attempt.request);
    if (!caller)
        return;
    const std::string complete = attempt.splitter.takeComplete(bytes);
    if (attempt.splitter.isTooLong()) {
        this->giveUp(id, "an event is longer than the limit");
        return;
    }
    const std::string fresh = caller->events.takeNew(complete);
    if (fresh.empty()) {
        this->setKept(attempt, attempt.splitter.partialBytes());
        return;
    }
    // Not before the first complete event: until then the caller can still get another response.
    if (!caller->streaming) {
        caller->streaming = true;
        caller->exchange->startStream(statusOk, this->streamHead(attempt));
    }
    this->counters.relayedBytes += fresh.size();
    caller->exchange->write(fresh);
    const RequestId request = attempt.request;
    const std::size_t pendingBytes = caller->exchange->pendingBytes();
    if (!attempt.announced && pendingBytes <= this->settings.maxPendingStreamBytes) {
        attempt.announced = true;
        this->emit(AttemptStarted { id, toHeaderList(attempt.headers) });
    }
    this->dropSlowCallers(request, pendingBytes);
    const auto remaining = this->attempts.find(id);
    if (remaining != this->attempts.end())
        this->setKept(remaining->second, remaining->second.splitter.partialBytes());
}

void RequestRelay::Impl::dropSlowCallers(const RequestId& request, std::size_t pendingBytes)
{
    if (pendingBytes > this->settings.maxPendingStreamBytes) {
        this->dropCaller(request);
        return;
    }
    if (pendingBytes < minPendingForTotal)
        return;
    std::size_t total = 0;
    std::size_t most = 0;
    RequestId slowest;
    for (const auto& [id, caller] : this->callers) {
        const std::size_t pending = caller.exchange->pendingBytes();
        total += pending;
        if (pending <= most)
            continue;
        most = pending;
        slowest = id;
    }
    if (total > this->settings.maxPendingTotal)
        this->dropCaller(slowest);
}

void RequestRelay::Impl::dropCaller(const RequestId& request)
{
    ++this->counters.slowCallers;
    this->callers.at(request).exchange->abort();
    this->callerGone(request);
}

void RequestRelay::Impl::onEnd(AttemptId id)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    if (!found->second.relaying) {
        Attempt attempt = this->take(found);
        this->emit(AttemptFinished { id, attempt.status, toHeaderList(attempt.headers), std::move(attempt.body), false,
            this->relayedEvents(attempt.request) });
        return;
    }

    const auto caller = this->callers.find(found->second.request);
    if (caller == this->callers.end()) {
        this->take(found);
        return;
    }
    if (!this->isComplete(caller->second, found->second)) {
        this->fail(id, true, true, "the stream ended without its final event");
        return;
    }
    const std::uint64_t events = caller->second.events.count();
    const auto exchange = std::move(caller->second.exchange);
    this->callers.erase(caller);
    const Attempt attempt = this->take(found);
    exchange->finish();
    this->emit(AttemptFinished { id, attempt.status, toHeaderList(attempt.headers), {}, true, events });
}

void RequestRelay::Impl::onError(AttemptId id, const HttpError& error)
{
    if (!this->attempts.contains(id))
        return;
    const bool broken = error.requestMayHaveBeenSent && error.kind == HttpError::Kind::ConnectionClosed;
    this->fail(id, error.requestMayHaveBeenSent, broken, error.detail);
}

bool RequestRelay::Impl::isUsable(const HttpHeaders& headers) const
{
    const auto* framed = std::get_if<FramedStreams>(&this->settings.streams);
    return !framed || headers.find(framed->requiredField).has_value();
}

bool RequestRelay::Impl::isComplete(const Caller& caller, const Attempt& attempt) const
{
    if (std::holds_alternative<FramedStreams>(this->settings.streams))
        return caller.streaming && !attempt.splitter.hasPartial();
    return caller.events.done();
}

HttpHeaders RequestRelay::Impl::streamHead(const Attempt& attempt) const
{
    if (!std::holds_alternative<FramedStreams>(this->settings.streams))
        return { { "content-type", std::string(eventStreamType) }, { "cache-control", "no-cache" },
            { "x-request-id", attempt.request.value() } };
    HttpHeaders head;
    for (const HttpHeader& field : attempt.headers.all()) {
        // Events may be dropped or added by a resume, so that the upstream's length does not hold.
        if (field.name != "content-length")
            head.add(field.name, field.value);
    }
    return head;
}

bool RequestRelay::Impl::belongsTo(AttemptId id, const Attempt& attempt, const HttpHeaders& headers) const
{
    const auto request = headers.find("x-request-id");
    if (request && *request != attempt.request.value())
        return false;
    const auto number = headers.find("x-attempt");
    return !number || *number == std::to_string(id);
}

void RequestRelay::Impl::fail(AttemptId id, bool mayHaveRun, bool connectionBroken, std::string detail)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    const RequestId request = this->take(found).request;
    std::optional<std::uint64_t> lastEventId;
    if (const Caller* caller = this->findCaller(request))
        lastEventId = caller->events.lastId();
    this->emit(AttemptFailed {
        id, mayHaveRun, connectionBroken, this->relayedEvents(request), std::move(detail), lastEventId });
}

Caller* RequestRelay::Impl::findCaller(const RequestId& request)
{
    const auto found = this->callers.find(request);
    return found == this->callers.end() ? nullptr : &found->second;
}

std::uint64_t RequestRelay::Impl::relayedEvents(const RequestId& request)
{
    const Caller* caller = this->findCaller(request);
    return caller ? caller->events.count() : 0;
}

void RequestRelay::Impl::callerGone(const RequestId& request)
{
    if (this->callers.erase(request) > 0)
        this->emit(CallerGone { request });
}

} // namespace teaselshore
