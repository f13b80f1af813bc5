#include "call_runner.hpp"

#include <algorithm>
#include <utility>

#include "platform_replies.hpp"

namespace teaselshore {

namespace {

    constexpr Duration longestConnectTime = std::chrono::seconds(1);

    PlatformError noTimeLeft()
    {
        return { PlatformError::Kind::Unavailable, "no call budget before the timeout", std::nullopt };
    }

} // namespace

CallRunner::CallRunner(EventLoop& loop, const PlatformClientSettings& settings)
    : loop(loop)
    , settings(settings)
    , client(HttpClient::create(loop))
    , reads { { settings.budget.readsPerSecond, settings.budget.readBurst, loop.now() }, {}, 0 }
    , writes { { settings.budget.writesPerSecond, settings.budget.writeBurst, loop.now() }, {}, 0 }
{
}

CallRunner::~CallRunner()
{
    for (const auto& [id, call] : this->calls)
        this->loop.cancelTimer(call->timer);
    this->loop.cancelTimer(this->reads.timer);
    this->loop.cancelTimer(this->writes.timer);
}

PlatformCallId CallRunner::start(PlatformRequest request, PlatformReplyHandler handler)
{
    const PlatformCallId id = ++this->lastCall;
    auto call = std::make_unique<Call>();
    call->deadline = this->loop.now() + this->settings.callTimeout + request.wait;
    call->timer = this->loop.runAfter(this->settings.callTimeout + request.wait, [this, id] { this->onDeadline(id); });
    call->request = std::move(request);
    call->handler = std::move(handler);
    Lane& lane = this->lane(call->request.kind);
    PlatformCallCounts& counts = this->statistics[static_cast<std::size_t>(call->request.kind)];
    this->calls.emplace(id, std::move(call));
    lane.queue.push_back(id);
    this->pump(lane);
    if (!lane.queue.empty())
        ++counts.delayed;
    return id;
}

PlatformCallId CallRunner::refuse(PlatformError error, PlatformReplyHandler handler)
{
    const PlatformCallId id = ++this->lastCall;
    auto call = std::make_unique<Call>();
    call->timer = this->loop.runAfter(Duration(0), [this, id, error = std::move(error)] { this->fail(id, error); });
    call->handler = std::move(handler);
    this->calls.emplace(id, std::move(call));
    return id;
}

CallRunner::Lane& CallRunner::lane(PlatformCallKind kind) { return isPlatformWrite(kind) ? this->writes : this->reads; }

void CallRunner::pump(Lane& lane)
{
    this->loop.cancelTimer(lane.timer);
    lane.timer = 0;
    while (!lane.queue.empty()) {
        const PlatformCallId id = lane.queue.front();
        const auto found = this->calls.find(id);
        // Calls that were cancelled or timed out stay in the queue until their turn and use no token.
        if (found == this->calls.end()) {
            lane.queue.pop_front();
            continue;
        }
        if (!lane.bucket.take(this->loop.now()))
            break;
        lane.queue.pop_front();
        this->send(id, *found->second);
    }
    if (lane.queue.empty())
        return;
    const Duration delay = lane.bucket.untilNext(this->loop.now());
    lane.timer = this->loop.runAfter(delay, [this, &lane] { this->pump(lane); });
}

void CallRunner::send(PlatformCallId id, Call& call)
{
    const PlatformCallKind kind = call.request.kind;
    ++this->statistics[static_cast<std::size_t>(kind)].sent;
    if (isPlatformWatch(kind))
        ++this->watches;

    HttpCall http;
    http.authority = this->settings.authority;
    http.request = std::move(call.request.request);
    http.idleTimeout = std::max(call.deadline - this->loop.now(), Duration(std::chrono::milliseconds(1)));
    http.connectTimeout = std::min(http.idleTimeout, longestConnectTime);
    HttpCallHandlers handlers;
    handlers.onHead = [&call](int status, const HttpHeaders& headers) {
        call.reply.status = status;
        call.reply.headers = headers;
    };
    handlers.onData = [this, id](std::string_view bytes) { this->onData(id, bytes); };
    handlers.onEnd = [this, id] {
        const std::unique_ptr<Call> ended = this->remove(id);
        ended->handler(std::move(ended->reply));
    };
    handlers.onError = [this, id, kind](const HttpError& error) { this->fail(id, convertPlatformError(kind, error)); };
    call.httpCall = this->client->start(std::move(http), std::move(handlers));
}

void CallRunner::onData(PlatformCallId id, std::string_view bytes)
{
    Call& call = *this->calls.at(id);
    if (call.reply.body.size() + bytes.size() <= this->settings.maxReplyBytes) {
        call.reply.body.append(bytes);
        return;
    }
    this->client->cancel(call.httpCall);
    this->fail(id, malformedReply(call.request.kind, "reply is too large"));
}

void CallRunner::onDeadline(PlatformCallId id)
{
    const Call& call = *this->calls.at(id);
    if (call.httpCall == 0) {
        this->fail(id, noTimeLeft());
        return;
    }
    // The HTTP client's own timeouts come first, unless the reply trickles in.
    this->client->cancel(call.httpCall);
    this->fail(id, convertPlatformError(call.request.kind, { HttpError::Kind::Timeout, "call timeout", true }));
}

std::unique_ptr<CallRunner::Call> CallRunner::remove(PlatformCallId id)
{
    auto node = this->calls.extract(id);
    std::unique_ptr<Call> call = std::move(node.mapped());
    this->loop.cancelTimer(call->timer);
    if (call->httpCall != 0 && isPlatformWatch(call->request.kind))
        --this->watches;
    return call;
}

void CallRunner::fail(PlatformCallId id, const PlatformError& error)
{
    const std::unique_ptr<Call> call = this->remove(id);
    if (call->httpCall == 0)
        call->handler(CallNotSent { error });
    else
        call->handler(error);
}

void CallRunner::cancel(PlatformCallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    if (found->second->httpCall != 0)
        this->client->cancel(found->second->httpCall);
    this->remove(id);
}

void CallRunner::setBudget(const CallBudgetLimits& limits)
{
    const Instant now = this->loop.now();
    this->reads.bucket.setRate(limits.readsPerSecond, limits.readBurst, now);
    this->writes.bucket.setRate(limits.writesPerSecond, limits.writeBurst, now);
    this->pump(this->reads);
    this->pump(this->writes);
}

void CallRunner::countFailure(PlatformCallKind kind) { ++this->statistics[static_cast<std::size_t>(kind)].failed; }

void CallRunner::countUnreadableObjects(PlatformCallKind kind, std::size_t count)
{
    this->statistics[static_cast<std::size_t>(kind)].unreadableObjects += count;
}

const PlatformCallCounts& CallRunner::counts(PlatformCallKind kind) const
{
    return this->statistics[static_cast<std::size_t>(kind)];
}

} // namespace teaselshore
