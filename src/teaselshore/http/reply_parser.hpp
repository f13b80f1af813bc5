#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Receives the parts of a reply. The methods return false to stop the parser.
class ReplySink {
public:
    virtual ~ReplySink() = default;
    virtual bool onReplyHead(int status, const HttpHeaders& headers, bool endsWithConnection) = 0;
    virtual bool onReplyBytes(std::string_view bytes) = 0;
};

/// @brief Incremental parser of one HTTP/1.1 reply, on Boost.Beast.
///
/// h2o's own client is not used: h2o 2.2.5 aborts the process on a reply with an invalid content length or an unknown
/// transfer encoding, and takes a chunked reply that breaks off between two chunks for complete.
class ReplyParser {
public:
    enum class Progress {
        NeedsMore,
        Done,
        /// The sink returned false.
        Stopped,
        Malformed,
        /// The connection ended inside the reply.
        BrokenOff,
    };

    /// @brief Prepares for the reply to one request. The sink must outlive the parser.
    ReplyParser(ReplySink& sink, bool isHeadRequest);
    ~ReplyParser();
    ReplyParser(const ReplyParser&) = delete;
    ReplyParser& operator=(const ReplyParser&) = delete;

    /// @brief Parses bytes and sets the number of bytes used; the others must be passed again, with more behind them.
    Progress put(std::string_view bytes, std::size_t& used);

    /// @brief Reports the orderly end of the connection.
    Progress putEnd();

    /// @brief Returns whether the connection may carry another request. Precondition: the reply is done.
    bool keepsAlive() const;

private:
    class Message;
    std::unique_ptr<Message> message;
    ReplySink& sink;
    bool isHeadRequest;
    std::size_t informational = 0;
};

} // namespace teaselshore
