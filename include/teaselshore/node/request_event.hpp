#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "teaselshore/base/header_list.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/ids.hpp"

namespace teaselshore {

/// @brief A caller's request is complete. The id is chosen by the serving task, see Node::nextRequestId().
struct RequestArrived {
    RequestId request;
    std::string method;
    /// Path with query string.
    std::string path;
    /// Lower-case names.
    HeaderList headers;
    std::string body;

    auto operator<=>(const RequestArrived&) const = default;
};

/// @brief The caller closed the connection before the response was complete.
struct CallerGone {
    RequestId request;

    auto operator<=>(const CallerGone&) const = default;
};

/// @brief First bytes of a streamed response were relayed to the caller.
struct AttemptStarted {
    AttemptId attempt = 0;
    HeaderList headers;

    auto operator<=>(const AttemptStarted&) const = default;
};

/// @brief The upstream's response is complete. The body is empty if it was relayed as a stream.
struct AttemptFinished {
    AttemptId attempt = 0;
    int status = 0;
    HeaderList headers;
    std::string body;
    /// True if the response went to the caller while it arrived.
    bool relayed = false;
    /// Complete events of a relayed stream, over all attempts of the request.
    std::uint64_t relayedEvents = 0;

    auto operator<=>(const AttemptFinished&) const = default;
};

/// @brief The attempt ended without a complete response.
struct AttemptFailed {
    AttemptId attempt = 0;
    /// False only if the upstream cannot have started the request.
    bool mayHaveRun = true;
    /// True if the upstream was reached and the connection broke afterwards, as after a crash.
    bool connectionBroken = false;
    /// Complete events of a relayed stream, over all attempts of the request.
    std::uint64_t relayedEvents = 0;
    std::string detail;
    /// Id of the last complete event that the caller got, if events have ids.
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const AttemptFailed&) const = default;
};

} // namespace teaselshore
