#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "event_loop_impl.hpp"
#include "h2o.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

class H2oExchange;

/// @brief h2o state of one server. Outlives its HttpServer until h2o has released the last connection.
class ServerCore {
public:
    /// @brief Takes over the listening socket.
    ServerCore(EventLoop::Impl& loop, const HttpServerSettings& settings, HttpHandler handler, int listenDescriptor);
    ~ServerCore();
    ServerCore(const ServerCore&) = delete;
    ServerCore& operator=(const ServerCore&) = delete;

    void stopAccepting();
    /// @brief Closes all connections; the core deletes itself once they are released.
    void abandon();
    std::size_t openExchanges() const { return this->exchanges.size(); }

    /// @brief Called by exchanges: an exchange without a finished answer begins or ends.
    void exchangeOpened(H2oExchange& exchange, h2o_socket_t* socket);
    void exchangeClosed(H2oExchange& exchange);
    /// @brief Called by exchanges: watches the connection of an HTTP/1.1 request for its end.
    void watch(h2o_socket_t* socket, H2oExchange& exchange);
    void unwatch(h2o_socket_t* socket);

private:
    struct Connection {
        ServerCore* core;
        h2o_socket_t* socket;
        H2oExchange* exchange = nullptr;
    };
    struct Handler {
        h2o_handler_t super;
        ServerCore* core;
    };

    static void onAccept(h2o_socket_t* listener, const char* error);
    static void onConnectionReleased(void* data);
    static void onWatchedSocket(h2o_socket_t* socket, const char* error);
    static int onRequest(h2o_handler_t* handler, h2o_req_t* request);
    static void closeIfIdle(h2o_socket_t* socket);
    void releaseIfUnused();
    void pauseAccepting();

    EventLoop::Impl& loop;
    HttpHandler handler;
    h2o_globalconf_t configuration {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t* listener = nullptr;
    TimerId acceptTimer = 0;
    bool abandoned = false;
    bool releasing = false;
    std::unordered_map<h2o_socket_t*, std::unique_ptr<Connection>> connections;
    std::unordered_set<H2oExchange*> exchanges;
};

} // namespace teaselshore
