#include "teaselshore/http/http_client.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "client_call.hpp"
#include "client_connection.hpp"
#include "event_loop_impl.hpp"
#include "request_text.hpp"

namespace teaselshore {

namespace {

    /// Below the usual keep-alive times of servers, so that the client is the one that closes idle connections.
    constexpr Duration idleConnectionTime = std::chrono::seconds(4);
    /// Kept between the end of the peer's keep-alive time and the last request, for the way and for late timers.
    constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);
    constexpr Duration pruneInterval = std::chrono::seconds(1);
    /// Longest part of a reply that cannot be parsed before more of it arrives, as the longest head.
    constexpr std::size_t maxUnparsedBytes = std::size_t { 64 } * 1024;
    /// Longest body whose end is not held back. Such ones fit into what peers receive before they read.
    constexpr std::size_t maxPlainBodyBytes = std::size_t { 32 } * 1024;
    /// Bytes at the end of a request with a longer one that are written once all before them were sent.
    constexpr std::size_t lastPieceBytes = 1024;
    /// Time between the end of the peer's side and the end of the call, for a reset that follows at once.
    constexpr Duration resetTime = std::chrono::milliseconds(1);

    /// @brief Returns whether the peer may reply without a length before it has the request. The last bytes of such a
    /// request wait until the ones before were sent.
    ///
    /// The socket would take megabytes that the peer has no room for. If the peer ended its side then and read on, all
    /// of them could arrive before the client looks, and nothing would tell that the end came first.
    bool isUpload(const ClientCall& call)
    {
        return call.call.acceptUnframedReply && call.call.request.body.size() > maxPlainBodyBytes;
    }

    /// @brief Notes that the peer ended its side though it does not have the whole request.
    void noteEarlyEnd(ClientCall& call)
    {
        if (!call.call.acceptUnframedReply || call.requestDelivered || call.endedEarly)
            return;
        // The end acknowledges what the peer had got. It is looked for first, since it may come between the two.
        const bool hasEnded = call.connection->hasPeerEnded();
        call.requestDelivered = call.isRequestWritten() && call.connection->hasDeliveredAll();
        call.endedEarly = hasEnded && !call.requestDelivered;
    }

} // namespace

struct HttpClient::Impl {
    explicit Impl(EventLoop& eventLoop);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void prepare(ClientCall& call);
    void launch(ClientCall& call, const sockaddr_in& address);
    void send(ClientCall& call);
    /// @brief Hands the socket what it takes of the rest of the request.
    static void write(ClientCall& call);
    void cancel(CallId id);
    void setPaused(ClientCall& call, bool paused);
    void armTimer(ClientCall& call, Duration delay);
    void onTimer(CallId id);
    void prune();

    /// @brief Feeds what arrived to the parser.
    ReplyParser::Progress parse(ClientCall& call, h2o_socket_t* socket, const char* error) const;
    void finish(ClientCall& call, ReplyParser::Progress progress, bool connectionEnded);
    /// @brief Ends a call whose reply ends with the connection.
    void endUnframed(ClientCall& call);
    void end(ClientCall& call, bool connectionEnded);
    void fail(ClientCall& call, const HttpError& error);
    /// @brief Fails the call in a later round, since callbacks must not run inside start().
    void failLater(ClientCall& call, HttpError error);
    std::unique_ptr<ClientCall> remove(ClientCall& call);

    static void onEstablished(h2o_socket_t* socket, const char* error);
    static void onWritable(h2o_socket_t* socket, const char* error);
    static void onReadable(h2o_socket_t* socket, const char* error);

    EventLoop::Impl& loop;
    ConnectionPool pool;
    std::unordered_map<CallId, std::unique_ptr<ClientCall>> calls;
    CallId lastCall = 0;
    TimerId pruneTimer = 0;
};

HttpClient::Impl::Impl(EventLoop& eventLoop)
    : loop(eventLoop.implementation())
{
}

HttpClient::Impl::~Impl()
{
    while (!this->calls.empty())
        this->remove(*this->calls.begin()->second);
    this->loop.cancelTimer(this->pruneTimer);
}

void HttpClient::Impl::prepare(ClientCall& call)
{
    const std::optional<sockaddr_in> address = parseAuthority(call.call.authority);
    if (!address) {
        this->failLater(call, { HttpError::Kind::AddressInvalid, call.call.authority, false });
        return;
    }
    std::optional<std::string> head = requestHead(call.call.request, call.call.authority);
    if (!head) {
        this->failLater(call, { HttpError::Kind::RequestInvalid, "method, path or header field", false });
        return;
    }
    call.head = std::move(*head);
    if (this->loop.entered) {
        this->launch(call, *address);
        return;
    }
    call.timer = this->loop.addTimer(
        Duration(0), [this, id = call.id, address = *address] { this->launch(*this->calls.at(id), address); });
}

void HttpClient::Impl::launch(ClientCall& call, const sockaddr_in& address)
{
    call.connection = this->pool.take(call.call.authority, call.call.expectedEcho, monotonicNow());
    if (call.connection) {
        call.connection->call = &call;
        this->send(call);
        return;
    }
    call.connection = std::make_unique<ClientConnection>(this->loop.loop, call.call.authority, address, onEstablished);
    call.connection->owner = this;
    call.connection->call = &call;
    if (call.connection->socket() == nullptr)
        this->failLater(call, { HttpError::Kind::ConnectFailed, "connect", false });
    else
        this->armTimer(call, call.call.connectTimeout);
}

void HttpClient::Impl::send(ClientCall& call)
{
    call.connected = true;
    call.lastProgress = monotonicNow();
    if (const auto& echo = call.call.expectedEcho)
        call.connection->sentEchoes.add(echo->value);
    this->armTimer(call, call.call.idleTimeout);
    const HttpRequest& request = call.call.request;
    call.parser.emplace(call, request.method == "HEAD");
    write(call);
    h2o_socket_t* socket = call.connection->socket();
    if (call.paused)
        h2o_socket_read_stop(socket);
    else
        h2o_socket_read_start(socket, onReadable);
}

void HttpClient::Impl::write(ClientCall& call)
{
    noteEarlyEnd(call);
    const std::size_t total = call.requestBytes();
    const std::size_t lastPiece = isUpload(call) ? total - lastPieceBytes : 0;
    const std::size_t limit = call.writtenBytes < lastPiece ? lastPiece : total;
    const std::size_t headBytes = std::min(call.writtenBytes, call.head.size());
    const std::string_view head = std::string_view(call.head).substr(headBytes);
    const std::size_t bodyBytes = call.writtenBytes - headBytes;
    const std::string_view body
        = std::string_view(call.call.request.body).substr(bodyBytes, limit - call.writtenBytes - head.size());
    const std::optional<std::size_t> count = call.connection->write(head, body);
    // After a failed write the peer may still have sent a reply, for example a refusal; reading tells.
    if (!count)
        return;
    call.writtenBytes += *count;
    if (lastPiece > 0 && call.writtenBytes == lastPiece)
        call.connection->limitUnsent(1);
    if (!call.isRequestWritten())
        h2o_socket_notify_write(call.connection->socket(), onWritable);
    else if (lastPiece > 0)
        call.connection->limitUnsent(0);
}

void HttpClient::Impl::cancel(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    ClientCall& call = *found->second;
    if (call.inHandler)
        call.cancelled = true;
    else
        this->remove(call);
}

void HttpClient::Impl::setPaused(ClientCall& call, bool paused)
{
    if (call.paused == paused)
        return;
    call.paused = paused;
    call.lastProgress = monotonicNow();
    if (!call.connected || call.awaitsReset)
        return;
    if (paused)
        h2o_socket_read_stop(call.connection->socket());
    else
        h2o_socket_read_start(call.connection->socket(), onReadable);
}

void HttpClient::Impl::armTimer(ClientCall& call, Duration delay)
{
    this->loop.cancelTimer(call.timer);
    const Duration untilDeadline = std::max(Duration(0), call.deadline - monotonicNow());
    call.timer = this->loop.addTimer(std::min(delay, untilDeadline), [this, id = call.id] { this->onTimer(id); });
}

void HttpClient::Impl::onTimer(CallId id)
{
    ClientCall& call = *this->calls.at(id);
    // What has arrived since the latest poll is not known yet.
    if (this->loop.polledAt >= call.deadline) {
        this->fail(call, { HttpError::Kind::Timeout, "time for the whole call", call.connected });
        return;
    }
    const Duration limit = call.connected ? call.call.idleTimeout : call.call.connectTimeout;
    // One poll reads a part of many ready sockets.
    if (call.connected && (call.paused || !call.connection->isQuiet()))
        call.lastProgress = monotonicNow();
    const Duration remaining = call.lastProgress + limit - this->loop.polledAt;
    if (remaining > Duration(0))
        this->armTimer(call, remaining);
    else
        this->fail(call, { HttpError::Kind::Timeout, call.connected ? "no progress" : "connect", call.connected });
}

void HttpClient::Impl::prune()
{
    this->pruneTimer = 0;
    this->pool.prune(monotonicNow());
    if (!this->pool.empty())
        this->pruneTimer = this->loop.addTimer(pruneInterval, [this] { this->prune(); });
}

ReplyParser::Progress HttpClient::Impl::parse(ClientCall& call, h2o_socket_t* socket, const char* error) const
{
    call.lastProgress = monotonicNow();
    call.inHandler = true;
    std::size_t used = 0;
    const ReplyParser::Progress progress = error != nullptr
        ? call.parser->putEnd()
        : call.parser->put({ socket->input->bytes, socket->input->size }, used);
    call.inHandler = false;
    h2o_buffer_consume(&socket->input, used);
    // The head's limit does not cover the lines between chunks and after the last one.
    if (progress == ReplyParser::Progress::NeedsMore && socket->input->size > maxUnparsedBytes)
        return ReplyParser::Progress::Malformed;
    return progress;
}

void HttpClient::Impl::finish(ClientCall& call, ReplyParser::Progress progress, bool connectionEnded)
{
    switch (progress) {
    case ReplyParser::Progress::NeedsMore:
        return;
    case ReplyParser::Progress::Done:
        if (connectionEnded)
            this->endUnframed(call);
        else
            this->end(call, connectionEnded);
        return;
    case ReplyParser::Progress::Stopped:
        if (call.refusal)
            this->fail(call, HttpError(*call.refusal));
        else
            this->remove(call);
        return;
    case ReplyParser::Progress::Malformed:
        this->fail(call, { HttpError::Kind::MalformedReply, "reply is not valid HTTP/1.1", true });
        return;
    case ReplyParser::Progress::BrokenOff:
        this->fail(call, { HttpError::Kind::ConnectionClosed, "connection ended inside the reply", true });
        return;
    }
}

void HttpClient::Impl::endUnframed(ClientCall& call)
{
    // A failed write takes the error of a reset, so that the next read sees an ordinary end. A peer that ends its side
    // before it has the whole request may reset the connection as well.
    if (call.endedEarly || !call.requestDelivered || call.connection->takeError()) {
        this->fail(call, { HttpError::Kind::ConnectionClosed, "connection ended before the request was read", true });
        return;
    }
    // A peer that closes with a part of the request unread, or aborts, resets the connection, which nothing tells
    // before.
    call.awaitsReset = true;
    h2o_socket_read_stop(call.connection->socket());
    this->loop.cancelTimer(call.timer);
    call.timer = this->loop.addTimer(resetTime, [this, id = call.id] {
        ClientCall& waiting = *this->calls.at(id);
        if (waiting.connection->takeError())
            this->fail(waiting, { HttpError::Kind::ConnectionClosed, "connection was reset after its end", true });
        else
            this->end(waiting, /*connectionEnded=*/true);
    });
}

void HttpClient::Impl::end(ClientCall& call, bool connectionEnded)
{
    h2o_socket_t* socket = call.connection->socket();
    // Surplus bytes belong to no request, and an early reply leaves the rest of the request unsent.
    const bool reusable = !connectionEnded && call.parser->keepsAlive() && socket->input->size == 0
        && call.isRequestWritten() && call.connection->sentEchoes.mayTakeAnother();
    if (reusable) {
        call.connection->call = nullptr;
        // An idle connection is polled, so that its end is noticed at once.
        h2o_socket_read_start(socket, onReadable);
        const Duration limit = std::min(idleConnectionTime, call.keepAlive.value_or(Duration::max()) - keepAliveMargin);
        this->pool.put(std::move(call.connection), monotonicNow() + limit);
        if (this->pruneTimer == 0)
            this->pruneTimer = this->loop.addTimer(pruneInterval, [this] { this->prune(); });
    }
    const std::unique_ptr<ClientCall> owned = this->remove(call);
    if (!owned->cancelled && owned->handlers.onEnd)
        owned->handlers.onEnd();
}

void HttpClient::Impl::fail(ClientCall& call, const HttpError& error)
{
    const std::unique_ptr<ClientCall> owned = this->remove(call);
    if (!owned->cancelled && owned->handlers.onError)
        owned->handlers.onError(error);
}

void HttpClient::Impl::failLater(ClientCall& call, HttpError error)
{
    this->loop.cancelTimer(call.timer);
    call.timer = this->loop.addTimer(
        Duration(0), [this, id = call.id, error = std::move(error)] { this->fail(*this->calls.at(id), error); });
}

std::unique_ptr<ClientCall> HttpClient::Impl::remove(ClientCall& call)
{
    this->loop.cancelTimer(call.timer);
    call.connection.reset();
    auto node = this->calls.extract(call.id);
    return std::move(node.mapped());
}

void HttpClient::Impl::onEstablished(h2o_socket_t* socket, const char* error)
{
    const ClientConnection& connection = ClientConnection::of(socket);
    auto* impl = static_cast<Impl*>(connection.owner);
    impl->loop.nameWork("connected");
    if (error != nullptr) {
        impl->fail(*connection.call, { HttpError::Kind::ConnectFailed, error, false });
        return;
    }
    connection.configure();
    impl->send(*connection.call);
}

void HttpClient::Impl::onWritable(h2o_socket_t* socket, const char*)
{
    const ClientConnection& connection = ClientConnection::of(socket);
    static_cast<Impl*>(connection.owner)->loop.nameWork("request write");
    if (connection.call != nullptr)
        write(*connection.call);
}

void HttpClient::Impl::onReadable(h2o_socket_t* socket, const char* error)
{
    const ClientConnection& connection = ClientConnection::of(socket);
    auto* impl = static_cast<Impl*>(connection.owner);
    impl->loop.nameWork("reply read");
    if (connection.call == nullptr) {
        impl->pool.drop(connection);
        return;
    }
    ClientCall& call = *connection.call;
    noteEarlyEnd(call);
    if (error != nullptr && error != h2o_socket_error_closed) {
        impl->fail(call, { HttpError::Kind::ConnectionClosed, error, true });
        return;
    }
    ReplyParser::Progress progress = impl->parse(call, socket, error);
    while (progress == ReplyParser::Progress::Done && call.foreignReply) {
        call.foreignReply = false;
        call.parser.emplace(call, call.call.request.method == "HEAD");
        progress = impl->parse(call, socket, error);
    }
    impl->finish(call, progress, error != nullptr);
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
    entry.id = ++this->impl->lastCall;
    entry.call = std::move(call);
    entry.handlers = std::move(handlers);
    entry.lastProgress = monotonicNow();
    if (entry.call.totalTimeout)
        entry.deadline = entry.lastProgress + *entry.call.totalTimeout;
    this->impl->calls.emplace(entry.id, std::move(state));
    this->impl->prepare(entry);
    return entry.id;
}

void HttpClient::cancel(CallId call) { this->impl->cancel(call); }

void HttpClient::setPaused(CallId call, bool paused)
{
    const auto found = this->impl->calls.find(call);
    if (found != this->impl->calls.end())
        this->impl->setPaused(*found->second, paused);
}

void HttpClient::closeIdleConnections() { this->impl->pool.clear(); }

std::size_t HttpClient::openCalls() const { return this->impl->calls.size(); }

} // namespace teaselshore
