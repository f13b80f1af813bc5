#include "teaselshore/reliability/stop_schedule.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Time from the first failing readiness check until the load balancer opens no new connections: two checks one
    /// second apart, and their responses.
    constexpr Duration loadBalancerDelay = std::chrono::milliseconds(2600);
    /// Callers accept that requests are cut which they sent up to 3 s after the request to stop; the rest is for the
    /// way to the node and for a loop that is late.
    constexpr Duration openEndedTime = std::chrono::milliseconds(2600);
    /// Part of the grace time that is reserved for sending the last bytes.
    constexpr Duration flushMargin = std::chrono::milliseconds(300);
    /// Part of the grace time that the end of the process itself takes.
    constexpr Duration exitMargin = std::chrono::milliseconds(100);
    /// Short grace times have shorter margins: these parts of them.
    constexpr int flushDivisor = 8;
    constexpr int exitDivisor = 24;

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

Instant StopSchedule::boundedFrom() const { return this->received + openEndedTime; }

Instant StopSchedule::requestsEnd() const
{
    return this->received + this->grace - std::min(flushMargin, this->grace / flushDivisor);
}

Instant StopSchedule::processEnd() const
{
    return this->received + this->grace - std::min(exitMargin, this->grace / exitDivisor);
}

} // namespace teaselshore
