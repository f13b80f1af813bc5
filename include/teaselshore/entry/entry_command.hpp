#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/entry/caller_request.hpp"
#include "teaselshore/entry/entry_configuration.hpp"
#include "teaselshore/entry/entry_message.hpp"
#include "teaselshore/entry/entry_statistics.hpp"
#include "teaselshore/entry/registered_upstream.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/node/node_command.hpp"
#include "teaselshore/node/request_command.hpp"
#include "teaselshore/platform/platform_types.hpp"

namespace teaselshore {

/// @brief Sends a request to an upstream. The attempt holds the caller's headers; the context holds what to add.
struct ForwardRequest {
    StartAttempt attempt;
    ForwardingContext context;
    /// Id that the upstream echoes in its response.
    std::string callerAttemptId;
};

/// @brief Hands a request to a peer that sends it to an upstream. The attempt holds the caller's headers.
struct RelayRequest {
    StartAttempt attempt;
    RelayContext context;
};

/// @brief Checks whether an upstream's process still runs; the reply is UpstreamChecked.
struct CheckUpstream {
    UpstreamId upstream;
    std::string authority;
    std::string instance;
    /// Path of the service's health check.
    std::string path;
};

/// @brief Sets the limits on what callers may send.
struct ApplyCallerLimits {
    CallerLimits limits;
};

/// @brief Announces in all further responses that the connection will be closed.
struct AnnounceClose { };

/// @brief Closes idle caller connections and accepts no new ones.
struct StopAccepting { };

/// @brief Records an ended request in the metrics.
struct RequestEnded {
    /// Empty if no route matched.
    RouteName route;
    RequestOutcome outcome = RequestOutcome::Answered;
    /// From the arrival to the end of the response.
    Duration duration {};
};

/// @brief Sends the usage report of one window; the reply is CloudCallEnded.
struct SendUsage {
    std::uint64_t call = 0;
    UsageReport report;
};

/// @brief Sends an order for upstreams; the reply is CloudCallEnded.
struct SendUpstreamOrder {
    std::uint64_t call = 0;
    UpstreamOrder order;
};

/// @brief Writes the state of a rollout to its order, where the operator sees it; the reply is CloudCallEnded.
struct WriteRolloutState {
    std::uint64_t call = 0;
    RolloutOrder order;
};

/// @brief Reads all rollout orders now; the reply is RolloutsListed. The periodic read is infrequent.
struct ReadRollouts {
    /// True if the result may be some seconds old, which is cheaper for the platform.
    bool mayBeStale = false;
};

/// @brief Decodes a configuration that a peer sent; the reply is EntryConfigurationRead, or none if it is not valid.
struct DecodeConfiguration {
    /// As the platform encodes it.
    std::string text;
};

/// @brief Writes this node's report unconditionally, replacing the previous one.
struct WriteNodeReport {
    std::string host;
    std::string report;
};

/// @brief Reads the reports of all nodes; the reply is NodeReportsRead.
struct ReadNodeReports { };

/// @brief Sends a message to the node that listens at the address. Delivery is not guaranteed.
struct SendEntryMessage {
    std::string address;
    EntryMessage message;
};

using EntryCommand = std::variant<ForwardRequest, RelayRequest, CheckUpstream, CancelAttempt, Respond, FailStream,
    SetReady, ApplyCallerLimits, AnnounceClose, StopAccepting, StopProcess, SendUsage, SendUpstreamOrder,
    WriteRolloutState, ReadRollouts, DecodeConfiguration, WriteNodeReport, ReadNodeReports, SendEntryMessage,
    CallObjectApi, RequestEnded, LogEvent>;

using EntryCommands = std::vector<EntryCommand>;

} // namespace teaselshore
