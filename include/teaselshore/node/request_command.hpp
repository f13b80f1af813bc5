#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaselshore/base/header_list.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/shared_bytes.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/ids.hpp"

namespace teaselshore {

/// @brief Sends a request to an upstream.
struct StartAttempt {
    AttemptId attempt = 0;
    /// Caller's request that the response belongs to; also set for durable requests that have no caller here.
    RequestId request;
    UpstreamId upstream;
    /// "address:port"
    std::string authority;
    std::string method;
    std::string path;
    HeaderList headers;
    SharedBytes body;
    Duration connectTimeout {};
    Duration idleTimeout {};
    /// Relays a successful event stream to the caller while it arrives, instead of collecting the body.
    bool relay = false;
    /// Header field that the upstream repeats in its response; a response with another value is not for this attempt.
    std::optional<std::pair<std::string, std::string>> expectedEcho;

    auto operator<=>(const StartAttempt&) const = default;
};

/// @brief Drops an attempt; later bytes of it are discarded.
struct CancelAttempt {
    AttemptId attempt = 0;

    auto operator<=>(const CancelAttempt&) const = default;
};

/// @brief Ends an attempt early and reports it as AttemptFailed, so that the request can go on elsewhere.
struct InterruptAttempt {
    AttemptId attempt = 0;

    auto operator<=>(const InterruptAttempt&) const = default;
};

/// @brief Complete response to a caller.
struct Respond {
    RequestId request;
    int status = 0;
    HeaderList headers;
    std::string body;

    auto operator<=>(const Respond&) const = default;
};

/// @brief Ends a relayed stream with an error event in place of the final one: the response is incomplete.
struct FailStream {
    RequestId request;
    std::string errorBody;

    auto operator<=>(const FailStream&) const = default;
};

} // namespace teaselshore
