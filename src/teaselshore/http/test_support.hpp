#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_client.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief What the callbacks of one call reported.
struct CallRecord {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::vector<std::string> chunks;
    bool ended = false;
    std::optional<HttpError> error;

    bool isDone() const { return this->ended || this->error.has_value(); }
};

/// @brief Event loop, server and client of one test, all in the test's thread.
class HttpFixture {
public:
    explicit HttpFixture(HttpHandler handler, const HttpServerSettings& settings = {});

    HttpCall call(std::string method, std::string path, std::string body = {}) const;
    std::string authority() const { return "127.0.0.1:" + std::to_string(this->server->port()); }
    /// @brief Starts a call whose callbacks fill the record.
    CallId start(HttpCall call, CallRecord& record);
    /// @brief Runs one call to its end.
    CallRecord run(HttpCall call);
    /// @brief Runs the loop until the condition holds; false after the limit.
    bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(5));

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
};

/// @brief Blocking TCP connection for bytes that no HTTP library would send.
class RawConnection {
public:
    explicit RawConnection(int port);
    explicit RawConnection(int descriptor, bool);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void send(const std::string& bytes) const;
    /// @brief Sends bytes to a peer that may have closed the connection; false if it has refused earlier ones.
    bool trySend(const std::string& bytes) const;
    /// @brief Returns what arrived so far without waiting; ended tells whether the peer closed.
    std::string receive(bool& ended) const;
    /// @brief Returns at most this many of the bytes that arrived so far, without waiting.
    std::string receiveAtMost(std::size_t size) const;
    /// @brief Returns the number of bytes that arrived and have not been received.
    std::size_t unreadBytes() const;
    /// @brief Ends the sending side in order; the peer's bytes can still be received.
    void endSending() const;
    /// @brief Closes with a reset instead of an orderly end.
    void reset();
    void close();
    /// @brief Returns whether the last receive() ended with a reset.
    bool wasReset() const { return this->resetSeen; }

private:
    int descriptor;
    mutable bool resetSeen = false;
};

/// @brief Listens on a free port and answers each connection's first bytes with fixed bytes.
class RawServer {
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::string authority() const { return "127.0.0.1:" + std::to_string(this->port); }
    /// @brief Accepts a waiting connection, if there is one.
    std::unique_ptr<RawConnection> accept() const;

private:
    int descriptor;
    int port = 0;
};

} // namespace teaselshore
