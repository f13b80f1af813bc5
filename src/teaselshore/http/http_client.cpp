#include "teaselshore/http/http_client.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include "client_call.hpp"
#include "connection_pool.hpp"
#include "event_loop_impl.hpp"
#include "request_text.hpp"

namespace teaselshore {

namespace {

    /// Below the usual keep-alive times of servers, so that the client is the one that closes idle connections.
    constexpr Duration idleConnectionTime = std::chrono::seconds(4);
    constexpr Duration pruneInterval = std::chrono::seconds(1);
    /// h2o's own timeout; the client's timers are always shorter.
    constexpr std::uint64_t libraryTimeoutMilliseconds = 24ULL * 3600 * 1000;

} // namespace

struct HttpClient::Impl {
    explicit Impl(EventLoop& eventLoop);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void launch(ClientCall& call);
    void cancel(CallId id);
    void armTimer(ClientCall& call, Duration delay);
    void onTimer(CallId id);
    void prune();

    /// Marks that h2o is on the call stack; connections of calls that end meanwhile are not yet free.
    class CallbackScope;
    struct ReleasedConnection {
        std::string authority;
        std::unique_ptr<PooledConnection> connection;
        bool reusable;
    };
    void settle();

    std::unique_ptr<ClientCall> remove(ClientCall& call, bool reusable);
    void end(ClientCall& call, bool reusable);
    void fail(ClientCall& call, HttpError error);

    static h2o_http1client_head_cb onConnect(
        h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, std::size_t* count, int* isHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t* client, const char* error, int minorVersion, int status,
        h2o_iovec_t message, h2o_header_t* headers, std::size_t count, int headLength);
    static int onBody(h2o_http1client_t* client, const char* error);

    EventLoop::Impl& loop;
    h2o_timeout_t libraryTimeout {};
    h2o_http1client_ctx_t context {};
    ConnectionPool pool;
    std::unordered_map<CallId, std::unique_ptr<ClientCall>> calls;
    std::vector<ReleasedConnection> released;
    CallId lastCall = 0;
    TimerId pruneTimer = 0;
    int callbackDepth = 0;
};

class HttpClient::Impl::CallbackScope {
public:
    explicit CallbackScope(Impl& impl)
        : impl(impl)
    {
        if (this->impl.callbackDepth++ == 0)
            this->impl.settle();
    }
    ~CallbackScope() { --this->impl.callbackDepth; }
    CallbackScope(const CallbackScope&) = delete;
    CallbackScope& operator=(const CallbackScope&) = delete;

private:
    Impl& impl;
};

HttpClient::Impl::Impl(EventLoop& eventLoop)
    : loop(eventLoop.implementation())
{
    h2o_timeout_init(this->loop.loop, &this->libraryTimeout, libraryTimeoutMilliseconds);
    this->context.loop = this->loop.loop;
    this->context.io_timeout = &this->libraryTimeout;
}

HttpClient::Impl::~Impl()
{
    while (!this->calls.empty())
        this->cancel(this->calls.begin()->first);
    this->loop.cancelTimer(this->pruneTimer);
    this->released.clear();
    h2o_timeout_dispose(this->loop.loop, &this->libraryTimeout);
}

void HttpClient::Impl::launch(ClientCall& call)
{
    if (this->callbackDepth == 0)
        this->settle();
    call.connection = this->pool.take(this->loop.loop, call.call.authority, call.address);
    this->armTimer(call, call.call.connectTimeout);
    call.starting = true;
    h2o_http1client_connect_with_pool(&call.client, &call, &this->context, call.connection->pool(), onConnect);
    call.starting = false;
}

void HttpClient::Impl::cancel(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    ClientCall& call = *found->second;
    if (call.inCallback) {
        call.cancelled = true;
        return;
    }
    if (call.client != nullptr)
        h2o_http1client_cancel(call.client);
    this->remove(call, false);
}

void HttpClient::Impl::armTimer(ClientCall& call, Duration delay)
{
    this->loop.cancelTimer(call.timer);
    call.timer = this->loop.addTimer(delay, [this, id = call.id] { this->onTimer(id); });
}

void HttpClient::Impl::onTimer(CallId id)
{
    ClientCall& call = *this->calls.at(id);
    const Duration limit = call.connected ? call.call.idleTimeout : call.call.connectTimeout;
    const Duration remaining = call.lastProgress + limit - monotonicNow();
    if (remaining > Duration(0)) {
        this->armTimer(call, remaining);
        return;
    }
    h2o_http1client_cancel(call.client);
    this->fail(call, { HttpError::Kind::Timeout, call.connected ? "no progress" : "connect", call.connected });
}

void HttpClient::Impl::prune()
{
    this->pruneTimer = 0;
    this->settle();
    this->pool.prune(monotonicNow() - idleConnectionTime);
    if (!this->pool.empty())
        this->pruneTimer = this->loop.addTimer(pruneInterval, [this] { this->prune(); });
}

void HttpClient::Impl::settle()
{
    for (ReleasedConnection& entry : this->released) {
        if (entry.reusable)
            this->pool.put(entry.authority, std::move(entry.connection), monotonicNow());
    }
    this->released.clear();
    if (this->pruneTimer == 0 && !this->pool.empty())
        this->pruneTimer = this->loop.addTimer(pruneInterval, [this] { this->prune(); });
}

std::unique_ptr<ClientCall> HttpClient::Impl::remove(ClientCall& call, bool reusable)
{
    this->loop.cancelTimer(call.timer);
    // h2o returns or closes the connection only after the running callback.
    if (call.connection)
        this->released.push_back({ call.call.authority, std::move(call.connection), reusable });
    auto node = this->calls.extract(call.id);
    return std::move(node.mapped());
}

void HttpClient::Impl::end(ClientCall& call, bool reusable)
{
    const std::unique_ptr<ClientCall> owned = this->remove(call, reusable);
    if (!owned->cancelled && owned->handlers.onEnd)
        owned->handlers.onEnd();
}

void HttpClient::Impl::fail(ClientCall& call, HttpError error)
{
    call.client = nullptr;
    if (call.starting) {
        this->loop.cancelTimer(call.timer);
        call.timer = this->loop.addTimer(
            Duration(0), [this, id = call.id, error = std::move(error)] { this->fail(*this->calls.at(id), error); });
        return;
    }
    const std::unique_ptr<ClientCall> owned = this->remove(call, false);
    if (!owned->cancelled && owned->handlers.onError)
        owned->handlers.onError(error);
}

h2o_http1client_head_cb HttpClient::Impl::onConnect(
    h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, std::size_t* count, int* isHead)
{
    auto& call = *static_cast<ClientCall*>(client->data);
    const CallbackScope scope(*call.owner);
    if (error != nullptr) {
        call.owner->fail(call, { HttpError::Kind::ConnectFailed, error, false });
        return nullptr;
    }
    call.connected = true;
    call.lastProgress = monotonicNow();
    call.connection->connected(client->sock);
    call.owner->armTimer(call, call.call.idleTimeout);
    call.buffers[0] = h2o_iovec_init(call.head.data(), call.head.size());
    call.buffers[1] = h2o_iovec_init(call.call.request.body.data(), call.call.request.body.size());
    *buffers = call.buffers.data();
    *count = call.call.request.body.empty() ? 1 : 2;
    *isHead = call.call.request.method == "HEAD" ? 1 : 0;
    return onHead;
}

h2o_http1client_body_cb HttpClient::Impl::onHead(h2o_http1client_t* client, const char* error, int, int status,
    h2o_iovec_t, h2o_header_t* headers, std::size_t count, int headLength)
{
    auto& call = *static_cast<ClientCall*>(client->data);
    const CallbackScope scope(*call.owner);
    const bool hasNoBody = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !hasNoBody) {
        call.owner->fail(call, convertError(error, true));
        return nullptr;
    }
    call.lastProgress = monotonicNow();
    HttpHeaders fields;
    for (std::size_t index = 0; index < count; ++index)
        fields.add({ headers[index].name->base, headers[index].name->len },
            std::string(headers[index].value.base, headers[index].value.len));
    const std::optional<ReplyFraming> framing = replyFraming(fields);
    if (!framing || status == 101) {
        call.owner->fail(call, { HttpError::Kind::MalformedReply, "contradictory framing or protocol switch", true });
        return nullptr;
    }
    call.framing = *framing;
    if (!hasNoBody && call.framing == ReplyFraming::EndOfConnection && !call.call.acceptUnframedReply) {
        call.owner->fail(call, { HttpError::Kind::MalformedReply, "reply has neither length nor chunks", true });
        return nullptr;
    }
    call.inCallback = true;
    if (call.handlers.onHead)
        call.handlers.onHead(status, fields);
    call.inCallback = false;
    if (hasNoBody) {
        // Bytes after a reply without a body belong to no request.
        const bool clean = client->sock->input->size <= static_cast<std::size_t>(headLength);
        call.owner->end(call, clean);
        return nullptr;
    }
    if (call.cancelled) {
        call.owner->remove(call, false);
        return nullptr;
    }
    return onBody;
}

int HttpClient::Impl::onBody(h2o_http1client_t* client, const char* error)
{
    auto& call = *static_cast<ClientCall*>(client->data);
    const CallbackScope scope(*call.owner);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
        call.owner->fail(call, convertError(error, true));
        return -1;
    }
    // h2o reports a connection that closes between two chunks as the end of the reply; only then no bytes came.
    const bool closedWithoutBytes = ended && client->sock->bytes_read == 0;
    h2o_buffer_t** input = &client->sock->input;
    if ((*input)->size != 0) {
        call.lastProgress = monotonicNow();
        call.inCallback = true;
        if (call.handlers.onData)
            call.handlers.onData({ (*input)->bytes, (*input)->size });
        call.inCallback = false;
        h2o_buffer_consume(input, (*input)->size);
    }
    if (call.cancelled) {
        call.owner->remove(call, false);
        return -1;
    }
    if (!ended)
        return 0;
    const bool truncated = (call.framing == ReplyFraming::Chunked && closedWithoutBytes)
        || (call.framing == ReplyFraming::EndOfConnection && !endedOrderly(client->sock));
    if (truncated)
        call.owner->fail(call, { HttpError::Kind::ConnectionClosed, "connection closed inside the reply", true });
    else
        call.owner->end(call, call.framing != ReplyFraming::EndOfConnection);
    return 0;
}

std::unique_ptr<HttpClient> HttpClient::create(EventLoop& loop)
{
    return std::unique_ptr<HttpClient>(new HttpClient(std::make_unique<Impl>(loop)));
}

HttpClient::HttpClient(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

HttpClient::~HttpClient() = default;

CallId HttpClient::start(HttpCall call, HttpCallHandlers handlers)
{
    auto state = std::make_unique<ClientCall>();
    ClientCall& entry = *state;
    entry.owner = this->impl.get();
    entry.id = ++this->impl->lastCall;
    entry.call = std::move(call);
    entry.handlers = std::move(handlers);
    entry.lastProgress = monotonicNow();
    this->impl->calls.emplace(entry.id, std::move(state));

    entry.starting = true;
    const std::optional<sockaddr_in> address = ConnectionPool::parseAuthority(entry.call.authority);
    std::optional<std::string> head = requestHead(entry.call.request, entry.call.authority);
    if (!address) {
        this->impl->fail(entry, { HttpError::Kind::AddressInvalid, entry.call.authority, false });
    } else if (!head) {
        this->impl->fail(entry, { HttpError::Kind::RequestInvalid, "method, path or header field", false });
    } else {
        entry.address = *address;
        entry.head = std::move(*head);
        if (this->impl->loop.entered)
            this->impl->launch(entry);
        else
            entry.timer = this->impl->loop.addTimer(
                Duration(0), [impl = this->impl.get(), id = entry.id] { impl->launch(*impl->calls.at(id)); });
    }
    entry.starting = false;
    return entry.id;
}

void HttpClient::cancel(CallId call) { this->impl->cancel(call); }

std::size_t HttpClient::openCalls() const { return this->impl->calls.size(); }

} // namespace teaselshore
