#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/log.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/node/node_event.hpp"
#include "teaselshore/node/request_command.hpp"
#include "teaselshore/telemetry/span.hpp"

namespace teaselshore {

/// @brief Sends a message to a peer.
struct SendToPeer {
    std::string address;
    PeerContent content;

    auto operator<=>(const SendToPeer&) const = default;
};

/// @brief Closes the connection to a peer that is gone.
struct ForgetPeer {
    std::string address;

    auto operator<=>(const ForgetPeer&) const = default;
};

/// @brief Calls the platform's object API; the reply is an ObjectResult.
struct CallObjectApi {
    ObjectCommand call;

    auto operator<=>(const CallObjectApi&) const = default;
};

/// @brief Starts or ends the watch of the operator configuration; each new version is a ConfigurationRead.
struct WatchConfiguration {
    bool enabled = false;

    auto operator<=>(const WatchConfiguration&) const = default;
};

/// @brief Reads the host list; the reply is HostListRead.
struct ReadHostList {
    auto operator<=>(const ReadHostList&) const = default;
};

/// @brief Reads the pending reclaim notices; the reply is NoticesRead.
struct ReadNotices {
    auto operator<=>(const ReadNotices&) const = default;
};

/// @brief Asks an upstream for its load; the reply is LoadQueried and, for an engine, CacheEventsRead.
struct QueryLoad {
    UpstreamId upstream;
    std::string authority;
    bool engine = false;
    /// Number that LoadQueried repeats; 0 for regular queries.
    std::uint64_t check = 0;

    auto operator<=>(const QueryLoad&) const = default;
};

/// @brief Asks an upstream whether a key ran; the reply is OutcomeQueried.
struct QueryOutcome {
    RequestId request;
    std::string authority;
    std::string path;

    auto operator<=>(const QueryOutcome&) const = default;
};

/// @brief Changes the answer of the readiness check.
struct SetReady {
    bool ready = true;

    auto operator<=>(const SetReady&) const = default;
};

/// @brief Open requests are finished or handed over; the process ends once the last answers have reached their callers.
struct StopProcess {
    /// The process ends at this time whatever is left.
    Instant deadline {};

    auto operator<=>(const StopProcess&) const = default;
};

/// @brief Something that operators should see.
struct LogEvent {
    LogLevel level = LogLevel::Info;
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const LogEvent&) const = default;
};

using NodeCommand = std::variant<StartAttempt, CancelAttempt, InterruptAttempt, Respond, FailStream, SendToPeer,
    ForgetPeer, CallObjectApi, WatchConfiguration, ReadHostList, ReadNotices, QueryLoad, QueryOutcome, SetReady,
    StopProcess, LogEvent, Span>;

using NodeCommands = std::vector<NodeCommand>;

} // namespace teaselshore
