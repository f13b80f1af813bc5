#pragma once

#include <memory>
#include <optional>
#include <string>

#include "client_connection.hpp"
#include "reply_parser.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {

/// @brief State of one running call; passes the parts of its reply on to the handlers.
struct ClientCall : public ReplySink {
    bool onReplyHead(int status, const HttpHeaders& headers, bool endsWithConnection) override;
    bool onReplyBytes(std::string_view bytes) override;
    /// @brief Lets the call fail since its reply cannot be accepted. Returns false, to stop the parser.
    bool refuse(const char* reason);
    /// Which request a reply answers.
    enum class Attribution { Own, Earlier, Unclear };
    /// @brief Returns which request a reply with these fields answers. Precondition: expectedEcho is set.
    Attribution attribute(const HttpHeaders& headers) const;
    bool skipReply(int status, const HttpHeaders& headers);
    std::size_t requestBytes() const { return this->head.size() + this->call.request.body.size(); }
    bool isRequestWritten() const { return this->writtenBytes == this->requestBytes(); }

    CallId id = 0;
    HttpCall call;
    HttpCallHandlers handlers;
    std::string head;
    std::unique_ptr<ClientConnection> connection;
    std::optional<ReplyParser> parser;
    TimerId timer = 0;
    /// Start of the call, later the last time bytes arrived.
    Instant lastProgress;
    /// End of the time for the whole call.
    Instant deadline = Instant::max();
    /// Replies to earlier requests that were skipped, and the bytes of their bodies.
    std::size_t skippedReplies = 0;
    std::size_t skippedBytes = 0;
    /// The reply that is being parsed belongs to an earlier request.
    bool foreignReply = false;
    /// Time for which the peer keeps the connection open without a request, if it said so.
    std::optional<Duration> keepAlive;
    /// Set if the head of the reply is refused.
    std::optional<HttpError> refusal;
    /// The connection is established, so that the request may have been sent.
    bool connected = false;
    /// Bytes of the request that the socket took.
    std::size_t writtenBytes = 0;
    /// The peer acknowledged the whole request.
    bool requestDelivered = false;
    /// The end of the peer's side was there before it had the whole request.
    bool endedEarly = false;
    /// The reply ended with its connection, and a reset may follow.
    bool awaitsReset = false;
    bool paused = false;
    /// A handler is on the call stack; a cancellation waits until it returns.
    bool inHandler = false;
    bool cancelled = false;
};

} // namespace teaselshore
