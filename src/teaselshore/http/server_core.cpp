#include "server_core.hpp"

#include <cerrno>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include "server_exchange.hpp"
#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    /// Connections accepted per event, so that a burst does not delay open exchanges.
    constexpr int acceptsPerEvent = 16;
    /// Pause after the process ran out of descriptors; the listener stays readable and would be polled in a tight loop.
    constexpr Duration acceptPause = std::chrono::milliseconds(50);
    constexpr char serverName[] = "teaselshore";

    std::uint64_t toTimeout(Duration duration)
    {
        return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
    }

} // namespace

ServerCore::ServerCore(
    EventLoop::Impl& loop, const HttpServerSettings& settings, HttpHandler handler, int listenDescriptor)
    : loop(loop)
    , listenPort(settings.port)
    , handler(std::move(handler))
    , serverLimits { settings.maxHeaderBytes, settings.maxBodyBytes, settings.requestTimeout, settings.idleTimeout }
    , headerFields(settings.maxHeaderFields)
    , refuseDotSegments(settings.refuseDotSegments)
    , bodies(settings.bodyBudget)
{
    h2o_config_init(&this->configuration);
    this->configuration.server_name = h2o_iovec_init(serverName, sizeof(serverName) - 1);
    this->configuration.max_request_entity_size = settings.maxBodyBytes;
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
    // Closing the listener resets the connections that wait in its queue, and their requests may have arrived.
    while (this->acceptConnection())
        continue;
    this->loop.cancelTimer(this->acceptTimer);
    h2o_socket_close(this->listener);
    this->listener = nullptr;
    this->isClosing = true;
    // From here on h2o announces the end of HTTP/2 connections.
    h2o_context_request_shutdown(&this->context);
    for (const auto& [socket, connection] : this->connections)
        connection->closeWhenIdle();
}

void ServerCore::abandon()
{
    this->stopAccepting();
    this->handler = nullptr;
    this->abandoned = true;
    ++this->loop.lingeringServers;
    const std::vector<ServerExchange*> open(this->exchanges.begin(), this->exchanges.end());
    for (ServerExchange* exchange : open) {
        if (this->exchanges.contains(exchange))
            exchange->abort();
    }
    std::vector<Http1Connection*> remaining;
    remaining.reserve(this->connections.size());
    for (const auto& [socket, connection] : this->connections)
        remaining.push_back(connection.get());
    for (Http1Connection* connection : remaining)
        connection->endWithServer();
    for (const auto& [socket, connection] : this->http2Connections)
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    this->releaseIfUnused();
}

void ServerCore::releaseIfUnused()
{
    if (!this->abandoned || this->releasing || !this->connections.empty() || !this->http2Connections.empty())
        return;
    this->releasing = true;
    // Deferred, since h2o may still use the context further up the call stack.
    this->loop.releaseLater([this] {
        --this->loop.lingeringServers;
        delete this;
    });
}

void ServerCore::handle(std::shared_ptr<ServerExchange> exchange)
{
    if (this->handler)
        this->handler(std::move(exchange));
    else
        exchange->abort();
}

void ServerCore::countRefused(int status, std::string_view reason)
{
    ++this->refused;
    logLine(
        LogLevel::Info, "request refused before it was read in full", { { "status", status }, { "reason", reason } });
}

UnsentAnswers ServerCore::unsentAnswers() const
{
    UnsentAnswers unsent { this->http2Connections.size(), 0 };
    for (const auto& [socket, connection] : this->connections) {
        const std::size_t bytes = connection->unsentBytes();
        unsent.connections += bytes > 0 ? 1 : 0;
        unsent.bytes += bytes;
    }
    return unsent;
}

std::size_t ServerCore::arrivingRequests() const
{
    std::size_t count = 0;
    for (const auto& [socket, connection] : this->connections)
        count += connection->isReceiving() ? 1 : 0;
    return count;
}

void ServerCore::closeIdleConnections()
{
    std::vector<Http1Connection*> open;
    open.reserve(this->connections.size());
    for (const auto& [socket, connection] : this->connections)
        open.push_back(connection.get());
    for (Http1Connection* connection : open)
        connection->closeIfIdle();
}

BodyMemory ServerCore::bodyMemory() const
{
    return { this->bodies.used(), this->bodies.total(), this->bodiesWithoutMemory };
}

void ServerCore::acceptHttp2(h2o_socket_t* socket)
{
    this->retire(std::move(this->connections.at(socket)));
    this->connections.erase(socket);
    auto connection = std::make_unique<Http2Connection>(Http2Connection { this, socket });
    socket->on_close.cb = onConnectionReleased;
    socket->on_close.data = connection.get();
    this->http2Connections.emplace(socket, std::move(connection));
    h2o_http2_accept(&this->acceptContext, socket, timeval {});
}

void ServerCore::connectionClosed(h2o_socket_t* socket)
{
    const auto found = this->connections.find(socket);
    this->retire(std::move(found->second));
    this->connections.erase(found);
    this->releaseIfUnused();
}

void ServerCore::retire(std::unique_ptr<Http1Connection> connection)
{
    // Its methods may still be on the call stack.
    const std::shared_ptr<Http1Connection> retired = std::move(connection);
    this->loop.releaseLater([retired] {});
}

void ServerCore::onAccept(h2o_socket_t* listener, const char* error)
{
    if (error != nullptr)
        return;
    auto* core = static_cast<ServerCore*>(listener->data);
    core->loop.nameWork("connections accepted");
    for (int count = 0; count < acceptsPerEvent && core->acceptConnection(); ++count)
        continue;
}

bool ServerCore::acceptConnection()
{
    errno = 0;
    h2o_socket_t* socket = h2o_evloop_socket_accept(this->listener);
    if (socket == nullptr) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            this->pauseAccepting();
        return false;
    }
    auto connection = std::make_unique<Http1Connection>(*this, socket);
    this->connections.emplace(socket, std::move(connection)).first->second->start();
    return true;
}

void ServerCore::pauseAccepting()
{
    h2o_socket_read_stop(this->listener);
    this->loop.cancelTimer(this->acceptTimer);
    this->acceptTimer = this->loop.addTimer(acceptPause, [this] { h2o_socket_read_start(this->listener, onAccept); });
}

void ServerCore::onConnectionReleased(void* data)
{
    auto* connection = static_cast<Http2Connection*>(data);
    ServerCore* core = connection->core;
    core->http2Connections.erase(connection->socket);
    core->releaseIfUnused();
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
