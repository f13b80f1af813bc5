#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "event_loop_impl.hpp"
#include "h2o.hpp"
#include "http1_connection.hpp"
#include "teaselshore/base/byte_budget.hpp"
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
    /// @brief Announces the end of the connection in each further answer.
    void announceClose() { this->isClosing = true; }
    std::uint16_t port() const { return this->listenPort; }
    bool closing() const { return this->isClosing; }
    /// @brief Returns whether new connections are accepted.
    bool accepts() const { return this->listener != nullptr; }
    bool refusesDotSegments() const { return this->refuseDotSegments; }
    std::size_t maxHeaderFields() const { return this->headerFields; }
    const HttpServerLimits& limits() const { return this->serverLimits; }
    void setLimits(const HttpServerLimits& limits) { this->serverLimits = limits; }
    /// @brief Closes all connections; the core deletes itself once they are released.
    void abandon();
    std::size_t openExchanges() const { return this->exchanges.size(); }

    EventLoop::Impl& eventLoop() { return this->loop; }
    /// @brief Called by exchanges: an exchange without a finished answer begins or ends.
    void exchangeOpened(ServerExchange* exchange) { this->exchanges.insert(exchange); }
    void exchangeClosed(ServerExchange* exchange) { this->exchanges.erase(exchange); }
    /// @brief Called by HTTP/1 connections.
    void handle(std::shared_ptr<ServerExchange> exchange);
    void countRefused(int status, std::string_view reason);
    /// @brief Hands a connection whose first bytes are the HTTP/2 preface to h2o.
    void acceptHttp2(h2o_socket_t* socket);
    /// @brief The connection has let go of its socket; it is destroyed in a later round.
    void connectionClosed(h2o_socket_t* socket);
    std::uint64_t refusedRequests() const { return this->refused; }
    void countCutAnswer() { ++this->cut; }
    std::uint64_t cutAnswers() const { return this->cut; }
    void countDroppedRequest() { ++this->dropped; }
    std::uint64_t droppedRequests() const { return this->dropped; }
    UnsentAnswers unsentAnswers() const;
    std::size_t arrivingRequests() const;
    void closeIdleConnections();
    const ByteBudget& bodyBudget() const { return this->bodies; }
    void setBodyBudget(ByteBudget budget) { this->bodies = std::move(budget); }
    void countBodyWithoutMemory() { ++this->bodiesWithoutMemory; }
    BodyMemory bodyMemory() const;

private:
    /// HTTP/2 connection, which h2o owns.
    struct Http2Connection {
        ServerCore* core;
        h2o_socket_t* socket;
    };
    struct Handler {
        h2o_handler_t super;
        ServerCore* core;
    };

    static void onAccept(h2o_socket_t* listener, const char* error);
    static void onConnectionReleased(void* data);
    static int onRequest(h2o_handler_t* handler, h2o_req_t* request);
    void releaseIfUnused();
    void retire(std::unique_ptr<Http1Connection> connection);
    /// @brief Accepts one waiting connection; false if there is none.
    bool acceptConnection();
    void pauseAccepting();

    EventLoop::Impl& loop;
    std::uint16_t listenPort;
    HttpHandler handler;
    h2o_globalconf_t configuration {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t* listener = nullptr;
    TimerId acceptTimer = 0;
    bool abandoned = false;
    bool releasing = false;
    std::unordered_map<h2o_socket_t*, std::unique_ptr<Http1Connection>> connections;
    std::unordered_map<h2o_socket_t*, std::unique_ptr<Http2Connection>> http2Connections;
    std::unordered_set<ServerExchange*> exchanges;
    HttpServerLimits serverLimits;
    std::size_t headerFields;
    bool refuseDotSegments;
    bool isClosing = false;
    ByteBudget bodies;
    std::uint64_t bodiesWithoutMemory = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    std::uint64_t dropped = 0;
};

} // namespace teaselshore
