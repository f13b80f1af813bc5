#pragma once

#include <optional>
#include <string>

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/http/message.hpp"
#include "teaselshore/node/node.hpp"
#include "teaselshore/telemetry/span_ring.hpp"

namespace teaselshore {

/// @brief What the replies need beside the node's own state.
struct AdminContext {
    const DaemonSettings& settings;
    const Node& node;
    const SpanRing& spans;
    /// Time since the daemon started.
    Duration uptime {};
    /// Time since the configuration in force was adopted.
    Duration configurationAge {};
    Instant now {};
    /// Trace of a request, if it is remembered.
    std::optional<TraceId> trace;
};

/// @brief Replies of the admin interface; docs/admin-api.md describes their fields.
HttpReply statusReply(const AdminContext& context);
HttpReply nodesReply(const AdminContext& context);

/// @brief Returns the spans of a trace; 404 if the context has no trace or the node has no span of it.
HttpReply traceReply(const AdminContext& context);

/// @brief Returns the routing decisions of a request; 404 if none is remembered.
HttpReply explainReply(const AdminContext& context, const RequestId& request);
HttpReply drainReply(const AdminContext& context);

} // namespace teaselshore
