#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Outgoing request.
struct HttpCall {
    /// "address:port" with an IPv4 address.
    std::string authority;
    HttpRequest request;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Longest time without progress (reply head, or next body bytes).
    Duration idleTimeout = std::chrono::seconds(30);
    /// Longest time for the whole call. Without it, a peer that sends a byte now and then holds the call for good.
    std::optional<Duration> totalTimeout;
    /// Accepts a reply without content length and without chunks, whose end is the end of the connection. Off by
    /// default, because such a reply cannot be told from one that was cut off. It is complete only if the connection
    /// ended in order after the peer had received the whole request; any other end is a ConnectionClosed error.
    bool acceptUnframedReply = false;
    /// Header field that the peer repeats from the request; with an empty value if the request has no such field. A
    /// reply with another value is a late one to an earlier request on the connection; it is skipped, and the next
    /// reply is awaited. A value is sent over a connection once. A reply without the field is accepted only on a
    /// connection without earlier requests, and one with several different values is malformed.
    std::optional<HttpHeader> expectedEcho;
};

/// @brief Callbacks of one call. onError and onEnd exclude each other; exactly one of them runs, last, unless
/// cancelled.
struct HttpCallHandlers {
    std::function<void(int status, const HttpHeaders& headers)> onHead;
    std::function<void(std::string_view bytes)> onData;
    std::function<void()> onEnd;
    std::function<void(const HttpError& error)> onError;
    /// Head of a skipped reply; see HttpCall::expectedEcho.
    std::function<void(int status, const HttpHeaders& headers)> onSkippedReply;
};

/// @brief Identifies a running call of one client.
using CallId = std::uint64_t;

/// @brief HTTP/1.1 client on h2o's sockets with a pool of kept-alive connections per authority.
///
/// A request is never repeated by the client: if a kept-alive connection breaks before the reply, the error says so.
/// All methods belong to the event loop's thread. Callbacks never run inside start().
class HttpClient {
public:
    static std::unique_ptr<HttpClient> create(EventLoop& loop);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @brief Starts a call. A request that cannot be sent as it is gives an error of kind RequestInvalid.
    CallId start(HttpCall call, HttpCallHandlers handlers);

    /// @brief Drops a call and its connection; no callback of it runs afterwards.
    void cancel(CallId call);

    /// @brief Stops or resumes reading the reply, for back pressure. Bytes already read may still be delivered, and a
    /// paused call does not time out.
    void setPaused(CallId call, bool paused);

    /// @brief Closes the kept-alive connections that no call uses, so that the next calls open new ones. For a peer
    /// that stopped answering: connections may have gone silent without an end.
    void closeIdleConnections();

    std::size_t openCalls() const;

private:
    struct Impl;
    explicit HttpClient(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
