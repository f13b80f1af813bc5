#pragma once

#include <optional>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/routing/routing_decision.hpp"

namespace teaselshore {

/// @brief What a node would do with a request that arrived now, for `explain`.
struct RequestForecast {
    enum class Outcome {
        /// Sent to the upstream of the decision.
        Routed,
        /// Handed to a peer.
        Relayed,
        /// Kept until peers lend quota or an upstream has room; rejected if that does not happen in time.
        Queued,
        Rejected,
    };

    Outcome outcome = Outcome::Rejected;
    /// Why the request would not be routed; empty if it would be.
    std::string reason;
    /// Status of a rejection, also of one after queueing; 0 if the request would be routed or relayed.
    int status = 0;
    /// Retry-After of a rejection.
    std::optional<Duration> retryAfter;
    /// Longest time in the queue.
    std::optional<Duration> longestWait;
    std::string route;
    std::string workspace;
    std::string service;
    std::uint32_t priority = 0;
    std::optional<RoutingDecision> decision;

    auto operator<=>(const RequestForecast&) const = default;
};

/// @brief Returns the name of an outcome in lower case.
const char* outcomeName(RequestForecast::Outcome outcome);

} // namespace teaselshore
