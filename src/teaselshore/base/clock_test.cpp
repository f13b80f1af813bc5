#include <atomic>
#include <ctime>

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "teaselshore/base/clock.hpp"

namespace {

/// Time for which the host of this test seems to have been suspended.
std::atomic<long> suspendedSeconds = 0;

} // namespace

/// Takes the place of the C library's function in this program: the clock that includes suspensions is ahead.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
        time->tv_sec += suspendedSeconds;
    return result;
}

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    // Guards against a process that acts on a lease that ran out while its host was suspended.
    TEST(Clock, CountsTheTimeThatTheHostWasSuspended)
    {
        const Instant before = monotonicNow();
        suspendedSeconds = 7;
        const Instant after = monotonicNow();
        suspendedSeconds = 0;
        EXPECT_GE(after - before, 7s);
        EXPECT_LT(after - before, 8s);
    }

} // namespace
} // namespace teaselshore
