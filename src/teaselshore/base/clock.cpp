#include "teaselshore/base/clock.hpp"

#include <ctime>

namespace teaselshore {

Instant monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto passed = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(passed));
}

} // namespace teaselshore
