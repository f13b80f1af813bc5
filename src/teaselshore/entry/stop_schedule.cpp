#include "stop_schedule.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Time from the first failing readiness check until the load balancer opens no new connections: two checks one
    /// second apart, and their responses.
    constexpr Duration loadBalancerDelay = std::chrono::milliseconds(2600);
    /// Time for callers to learn of the stop. Later, only connections that were in use all the while bring requests,
    /// and their callers can send them to another node at once.
    constexpr Duration noticeTime = std::chrono::milliseconds(2600);
    /// Part of the grace time that is reserved for sending the last bytes.
    constexpr Duration flushMargin = std::chrono::milliseconds(300);
    /// Part of the grace time that the end of the process itself takes.
    constexpr Duration exitMargin = std::chrono::milliseconds(100);

} // namespace

StopSchedule::StopSchedule(Instant receivedAt, Instant handledAt, Duration grace)
    : received(receivedAt)
    , handled(handledAt)
    , grace(grace)
{
}

Instant StopSchedule::connectionsEnd() const
{
    return std::min(this->handled + loadBalancerDelay, this->requestsEnd());
}

Instant StopSchedule::boundedFrom() const { return this->received + noticeTime; }

Instant StopSchedule::requestsEnd() const { return this->received + this->grace - flushMargin; }

Instant StopSchedule::processEnd() const { return this->received + this->grace - exitMargin; }

} // namespace teaselshore
