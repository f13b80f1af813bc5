#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Limits of one request.
struct RequestLimits {
    /// Request line and header fields.
    std::size_t maxHeaderBytes = 0;
    std::size_t maxHeaderFields = HttpHeaders::maxFields;
    std::size_t maxBodyBytes = 0;
    bool refuseDotSegments = false;

    auto operator<=>(const RequestLimits&) const = default;
};

/// @brief Incremental parser of one HTTP/1.x request, on Boost.Beast.
///
/// h2o's own parser is not used for HTTP/1: h2o 2.2.5 accepts a request with both a content length and a transfer
/// encoding, and one with two different content lengths, whose bytes then run as a second request.
class RequestParser {
public:
    enum class Progress {
        NeedsMore,
        Done,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
    };

    explicit RequestParser(const RequestLimits& limits);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// @brief Parses bytes and sets the number of bytes used; the others must be passed again, with more behind them.
    Progress put(std::string_view bytes, std::size_t& used);
    /// @brief True once all header fields are parsed.
    bool hasHeader() const;
    /// @brief True if the client waits for an interim answer before it sends the body. Precondition: hasHeader().
    bool expectsContinue() const;
    /// @brief Returns whether the connection may carry another request. Precondition: the request is done.
    bool keepsAlive() const;
    /// @brief True for HTTP/1.0, which knows no chunks. Precondition: hasHeader().
    bool isVersion10() const;
    /// @brief Bytes that the fields take that have been parsed.
    std::size_t headerBytes() const;
    /// @brief Bytes of the body that have arrived.
    std::size_t bodyBytes() const;
    /// @brief Length of the body; nothing if it comes in chunks. Precondition: hasHeader().
    std::optional<std::size_t> announcedBytes() const;
    /// @brief Takes the request out. The guard is released together with the body. Precondition: the request is done.
    HttpRequest take(std::shared_ptr<const void> bodyGuard);

private:
    class Message;

    std::unique_ptr<Message> message;
};

} // namespace teaselshore
