#include <gtest/gtest.h>

#include "teaselshore/reliability/stop_schedule.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant receivedAt { 1000s };

    // Guards against a process that ends requests too late for the host, or so early that callers cannot tell the end
    // of the grace time from a failure.
    TEST(StopSchedule, EndsShortlyBeforeTheGraceTimeWhateverItsLength)
    {
        for (const Duration grace : { Duration(100ms), Duration(200ms), Duration(1s), Duration(2s), Duration(3s),
                 Duration(8s), Duration(60s), Duration(300s) }) {
            for (const Duration delay : { Duration(0ms), Duration(900ms), grace }) {
                const StopSchedule schedule(receivedAt, receivedAt + delay, grace);
                EXPECT_GE(schedule.requestsEnd(), receivedAt + grace * 5 / 6) << toSeconds(grace);
                EXPECT_LE(schedule.connectionsEnd(), schedule.requestsEnd()) << toSeconds(grace);
                EXPECT_LT(schedule.requestsEnd(), schedule.processEnd()) << toSeconds(grace);
                EXPECT_LT(schedule.processEnd(), receivedAt + grace) << toSeconds(grace);
            }
        }
    }

    // Guards against a load balancer that still opens connections to a node that accepts none, since the node told it
    // late, and against open-ended requests that are taken for as much longer.
    TEST(StopSchedule, LateHandlingMovesTheEndOfConnectionsOnly)
    {
        const StopSchedule onTime(receivedAt, receivedAt, 8s);
        const StopSchedule late(receivedAt, receivedAt + 900ms, 8s);
        EXPECT_EQ(late.connectionsEnd(), onTime.connectionsEnd() + 900ms);
        EXPECT_EQ(late.boundedFrom(), onTime.boundedFrom());
        EXPECT_EQ(late.requestsEnd(), onTime.requestsEnd());
        EXPECT_EQ(late.processEnd(), onTime.processEnd());
    }

} // namespace
} // namespace teaselshore
