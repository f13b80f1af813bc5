#pragma once

#include <array>
#include <memory>
#include <string>

#include "connection_pool.hpp"
#include "event_loop_impl.hpp"
#include "h2o.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {

/// @brief How the end of a reply body is marked.
enum class ReplyFraming {
    ContentLength,
    Chunked,
    EndOfConnection,
};

/// @brief State of one running call.
struct ClientCall {
    HttpClient::Impl* owner = nullptr;
    CallId id = 0;
    HttpCall call;
    HttpCallHandlers handlers;
    sockaddr_in address {};
    std::string head;
    std::array<h2o_iovec_t, 2> buffers {};
    std::unique_ptr<PooledConnection> connection;
    h2o_http1client_t* client = nullptr;
    TimerId timer = 0;
    /// Start of the call, later the last time bytes arrived.
    Instant lastProgress;
    ReplyFraming framing = ReplyFraming::ContentLength;
    bool connected = false;
    /// start() has not returned from h2o yet; errors are reported later.
    bool starting = false;
    bool inCallback = false;
    bool cancelled = false;
};

/// @brief Returns the framing of a reply, or nothing if its header fields contradict each other.
std::optional<ReplyFraming> replyFraming(const HttpHeaders& headers);

/// @brief Converts an error text of h2o's client.
HttpError convertError(const char* text, bool requestMayHaveBeenSent);

/// @brief Returns whether the peer ended the connection orderly, as opposed to a reset.
bool endedOrderly(h2o_socket_t* socket);

} // namespace teaselshore
