#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Listening address and limits of a server.
struct HttpServerSettings {
    /// IPv4 address, for example "127.0.0.1".
    std::string address = "127.0.0.1";
    /// 0 selects a free port; see HttpServer::port().
    std::uint16_t port = 0;
    /// Request line and header fields; also each line between the chunks of a body, and its trailer.
    std::size_t maxHeaderBytes = std::size_t { 64 } * 1024;
    std::size_t maxHeaderFields = HttpHeaders::maxFields;
    std::size_t maxBodyBytes = std::size_t { 8 } * 1024 * 1024;
    /// Bytes that all HTTP/1 requests may take together: their bodies, from their arrival until nobody holds them, and
    /// what their heads and unfinished lines take beyond some kilobytes.
    std::size_t bodyBudget = SIZE_MAX;
    /// Time a client may take to send a whole request.
    Duration requestTimeout = std::chrono::seconds(10);
    /// Time a connection may wait for its next request.
    Duration idleTimeout = std::chrono::seconds(10);
    /// Refuses paths with "." or ".." segments, also encoded ones. For servers that pass requests on: an upstream might
    /// resolve the segments and run the request under a path that its route does not cover.
    bool refuseDotSegments = false;

    auto operator<=>(const HttpServerSettings&) const = default;
};

/// @brief Limits that may change while a server runs; see HttpServerSettings for their meaning.
struct HttpServerLimits {
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Duration requestTimeout {};
    Duration idleTimeout {};

    auto operator<=>(const HttpServerLimits&) const = default;
};

/// @brief One request and the means to answer it. Lives until the answer is finished or the connection is closed.
///
/// All methods belong to the event loop's thread. Calls after the connection was closed do nothing. Header fields that
/// frame the answer or contain line breaks are left out; a content length given to startStream() is used.
class ServerExchange {
public:
    virtual ~ServerExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// @brief Sends a complete answer. Precondition: no answer was started.
    virtual void reply(HttpReply reply) = 0;

    /// @brief Starts a streamed answer. Precondition: no answer was started.
    virtual void startStream(int status, HttpHeaders headers) = 0;

    /// @brief Appends bytes to a streamed answer. Chunks written while an earlier one is in flight are joined.
    virtual void write(std::string_view bytes) = 0;

    /// @brief Ends a streamed answer normally.
    virtual void finish() = 0;

    /// @brief Breaks the connection off, so that the caller sees that the answer is incomplete.
    virtual void abort() = 0;
    /// @brief Like abort(), but first sends what was written.
    virtual void finishIncomplete() = 0;

    /// @brief Bytes written but not yet handed to the connection; for back pressure.
    virtual std::size_t pendingBytes() const = 0;

    /// @brief Sets the function that runs once if the caller goes away before the answer is finished.
    virtual void onClosed(std::function<void()> handler) = 0;
};

/// @brief Answers, or parts of them, that callers have not received yet.
struct UnsentAnswers {
    std::size_t connections = 0;
    /// Bytes that wait in the process and in the kernel. Those of HTTP/2 connections are not known.
    std::size_t bytes = 0;

    auto operator<=>(const UnsentAnswers&) const = default;
};

/// @brief Memory of HTTP/1 requests; see HttpServerSettings::bodyBudget.
struct BodyMemory {
    std::size_t bytes = 0;
    std::size_t budget = 0;
    /// Requests that were refused since they did not fit.
    std::uint64_t refusedRequests = 0;

    auto operator<=>(const BodyMemory&) const = default;
};

using HttpHandler = std::function<void(std::shared_ptr<ServerExchange>)>;

/// @brief HTTP/1.1 and HTTP/2 (prior knowledge) server on h2o's event loop.
///
/// An HTTP/1.1 request whose framing is ambiguous or malformed is answered 400; one
/// beyond the limits 431, 413 or 408; one that does not fit into the budget 503 with retry-after: before its body is
/// read if its length does not fit into what is left, otherwise as soon as the bytes that arrived do not. The
/// connection is closed after each of these, and the handler never sees them.
class HttpServer {
public:
    /// @brief Starts to listen. Returns nothing and sets error if the address cannot be used.
    static std::unique_ptr<HttpServer> listen(
        EventLoop& loop, const HttpServerSettings& settings, HttpHandler handler, HttpError* error);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;

    /// @brief Applies to requests and idle times that begin after the call.
    void setLimits(const HttpServerLimits& limits);
    /// @brief Bounds the bodies of both servers together, by the budget of the other one. Precondition: no request has
    /// been read yet.
    void shareBodyBudget(const HttpServer& other);
    /// @brief Closes each connection after its next answer, and tells the caller so in the answer.
    void announceClose();
    /// @brief Requests answered by the server itself since they were malformed, too large or too slow.
    std::uint64_t refusedRequests() const;
    /// @brief Stops accepting connections and closes idle ones; open exchanges go on.
    void stopAccepting();

    /// @brief Connections with bytes that their callers have not received, whether or not the answer is finished. An
    /// HTTP/2 connection counts until it is closed.
    UnsentAnswers unsentAnswers() const;
    /// @brief HTTP/1 connections on which bytes of a request have arrived, read or not, that has no exchange yet.
    std::size_t arrivingRequests() const;
    /// @brief Closes HTTP/1 connections that wait for a request of which no byte has arrived.
    void closeIdleConnections();
    /// @brief Connections that were closed before their callers had received a finished answer, since they stopped to
    /// read it.
    std::uint64_t cutAnswers() const;
    /// @brief HTTP/1 connections that were ended with bytes of a request that got no answer, though no answer had told
    /// the caller that the connection ends.
    std::uint64_t droppedRequests() const;

    BodyMemory bodyMemory() const;

    /// @brief Number of exchanges without a finished answer.
    std::size_t openExchanges() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
