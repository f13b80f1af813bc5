#include "server_core.hpp"

#include <cerrno>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include "server_exchange.hpp"

namespace teaselshore {

namespace {

    /// Connections accepted per event, so that a burst does not delay open exchanges.
    constexpr int acceptsPerEvent = 16;
    /// Pause after the process ran out of descriptors; the listener stays readable and would be polled in a tight loop.
    constexpr Duration acceptPause = std::chrono::milliseconds(50);
    constexpr char serverName[] = "teaselshore";

    enum class Pending {
        Nothing,
        Bytes,
        End,
    };

    /// Looks at the socket without consuming what arrived.
    Pending peek(h2o_socket_t* socket)
    {
        char byte = 0;
        const ssize_t count = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count > 0)
            return Pending::Bytes;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return Pending::Nothing;
        return Pending::End;
    }

    std::uint64_t toTimeout(Duration duration)
    {
        return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
    }

} // namespace

ServerCore::ServerCore(
    EventLoop::Impl& loop, const HttpServerSettings& settings, HttpHandler handler, int listenDescriptor)
    : loop(loop)
    , handler(std::move(handler))
{
    h2o_config_init(&this->configuration);
    this->configuration.server_name = h2o_iovec_init(serverName, sizeof(serverName) - 1);
    this->configuration.max_request_entity_size = settings.maxBodyBytes;
    this->configuration.http1.req_timeout = toTimeout(settings.requestTimeout);
    this->configuration.http2.idle_timeout = toTimeout(settings.requestTimeout);
    h2o_hostconf_t* host = h2o_config_register_host(&this->configuration, h2o_iovec_init("default", 7), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* entry = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    entry->super.on_req = onRequest;
    entry->core = this;

    h2o_context_init(&this->context, loop.loop, &this->configuration);
    this->acceptContext.ctx = &this->context;
    this->acceptContext.hosts = this->configuration.hosts;

    this->listener = h2o_evloop_socket_create(loop.loop, listenDescriptor, H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, onAccept);
}

ServerCore::~ServerCore()
{
    // Set by h2o_context_request_shutdown() and not unset by h2o_context_dispose().
    h2o_timeout_unlink(&this->context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&this->context);
    h2o_config_dispose(&this->configuration);
}

void ServerCore::stopAccepting()
{
    if (this->listener == nullptr)
        return;
    this->loop.cancelTimer(this->acceptTimer);
    h2o_socket_close(this->listener);
    this->listener = nullptr;
    // From here on h2o announces "connection: close" in each answer.
    h2o_context_request_shutdown(&this->context);
    for (const auto& [socket, connection] : this->connections) {
        if (connection->exchange == nullptr)
            closeIfIdle(socket);
    }
}

void ServerCore::closeIfIdle(h2o_socket_t* socket)
{
    if (socket->input->size == 0 && peek(socket) == Pending::Nothing)
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

void ServerCore::abandon()
{
    this->stopAccepting();
    this->handler = nullptr;
    this->abandoned = true;
    ++this->loop.lingeringServers;
    const std::vector<H2oExchange*> open(this->exchanges.begin(), this->exchanges.end());
    for (H2oExchange* exchange : open) {
        if (this->exchanges.contains(exchange))
            exchange->abort();
    }
    for (const auto& [socket, connection] : this->connections)
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    this->releaseIfUnused();
}

void ServerCore::releaseIfUnused()
{
    if (!this->abandoned || this->releasing || !this->connections.empty())
        return;
    this->releasing = true;
    // Deferred, since h2o may still use the context further up the call stack.
    this->loop.addTimer(Duration(0), [this] {
        --this->loop.lingeringServers;
        delete this;
    });
}

void ServerCore::exchangeOpened(H2oExchange& exchange, h2o_socket_t* socket)
{
    this->exchanges.insert(&exchange);
    if (socket != nullptr)
        this->watch(socket, exchange);
}

void ServerCore::exchangeClosed(H2oExchange& exchange) { this->exchanges.erase(&exchange); }

void ServerCore::watch(h2o_socket_t* socket, H2oExchange& exchange)
{
    const auto found = this->connections.find(socket);
    if (found == this->connections.end())
        return;
    found->second->exchange = &exchange;
    // h2o does not read while an HTTP/1.1 request runs, and its parsed request points into the input buffer, which
    // therefore must not grow: the socket is only polled.
    h2o_socket_dont_read(socket, 1);
    h2o_socket_read_start(socket, onWatchedSocket);
}

void ServerCore::unwatch(h2o_socket_t* socket)
{
    const auto found = this->connections.find(socket);
    if (found == this->connections.end())
        return;
    found->second->exchange = nullptr;
    h2o_socket_read_stop(socket);
    h2o_socket_dont_read(socket, 0);
}

void ServerCore::onAccept(h2o_socket_t* listener, const char* error)
{
    if (error != nullptr)
        return;
    auto* core = static_cast<ServerCore*>(listener->data);
    for (int count = 0; count < acceptsPerEvent; ++count) {
        errno = 0;
        h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
                core->pauseAccepting();
            return;
        }
        auto connection = std::make_unique<Connection>(Connection { core, socket });
        socket->on_close.cb = onConnectionReleased;
        socket->on_close.data = connection.get();
        core->connections.emplace(socket, std::move(connection));
        h2o_accept(&core->acceptContext, socket);
    }
}

void ServerCore::pauseAccepting()
{
    h2o_socket_read_stop(this->listener);
    this->acceptTimer = this->loop.addTimer(acceptPause, [this] { h2o_socket_read_start(this->listener, onAccept); });
}

void ServerCore::onConnectionReleased(void* data)
{
    auto* connection = static_cast<Connection*>(data);
    ServerCore* core = connection->core;
    core->connections.erase(connection->socket);
    core->releaseIfUnused();
}

void ServerCore::onWatchedSocket(h2o_socket_t* socket, const char* error)
{
    auto* connection = static_cast<Connection*>(socket->on_close.data);
    H2oExchange* exchange = connection->exchange;
    const Pending pending = error != nullptr ? Pending::End : peek(socket);
    if (pending == Pending::Nothing)
        return;
    // A pipelined request stays in the kernel until its turn; polling on would return at once each time.
    h2o_socket_read_stop(socket);
    if (pending == Pending::End && exchange != nullptr)
        exchange->callerGone();
}

int ServerCore::onRequest(h2o_handler_t* handler, h2o_req_t* request)
{
    ServerCore* core = reinterpret_cast<Handler*>(handler)->core;
    const auto exchange = H2oExchange::attach(*core, request);
    if (!core->handler) {
        exchange->abort();
        return 0;
    }
    core->handler(exchange);
    return 0;
}

} // namespace teaselshore
