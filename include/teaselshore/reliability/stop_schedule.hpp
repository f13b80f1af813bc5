#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Moments of a planned stop. The host ends the process once the grace time after its request is over.
class StopSchedule {
public:
    /// @brief Precondition: the request was handled no earlier than it was received.
    StopSchedule(Instant receivedAt, Instant handledAt, Duration grace);

    Instant receivedAt() const { return this->received; }
    /// @brief The load balancer, which saw the node unready once the request was handled, opens no connection later.
    Instant connectionsEnd() const;
    /// @brief Requests that arrive from here on must end before requestsEnd() in any case, not only by an estimate.
    Instant boundedFrom() const;
    /// @brief What is open is ended.
    Instant requestsEnd() const;
    /// @brief The process ends, whatever callers have not received yet.
    Instant processEnd() const;

    auto operator<=>(const StopSchedule&) const = default;

private:
    Instant received;
    Instant handled;
    Duration grace;
};

} // namespace teaselshore
