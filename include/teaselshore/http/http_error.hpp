#pragma once

#include <string>

namespace teaselshore {

/// @brief Error of the HTTP layer.
struct HttpError {
    enum class Kind {
        AddressInvalid,
        /// Method, path or a header field contains bytes that HTTP/1.1 does not allow there.
        RequestInvalid,
        ListenFailed,
        ConnectFailed,
        Timeout,
        ConnectionClosed,
        MalformedReply,
        Cancelled,
    };

    Kind kind = Kind::ConnectionClosed;
    std::string detail;
    /// False only if no byte of the request can have reached the peer. Decides between "not run" and "unknown".
    bool requestMayHaveBeenSent = true;

    auto operator<=>(const HttpError&) const = default;
};

} // namespace teaselshore
