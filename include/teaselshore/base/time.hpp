#pragma once

#include <algorithm>
#include <chrono>

namespace teaselshore {

/// @brief Clock type of Instant. It has no now(): decision code gets the time as an argument.
struct PassedClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<PassedClock, duration>;
    static constexpr bool is_steady = true;
};

/// @brief Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Point on a process's monotonic time line, in microseconds since an arbitrary start.
using Instant = std::chrono::time_point<PassedClock, Duration>;

/// @brief Returns the length in milliseconds, with fractions.
constexpr double toMilliseconds(Duration length) { return static_cast<double>(length.count()) / 1000.0; }

/// @brief Returns the length in seconds, with fractions.
constexpr double toSeconds(Duration length) { return static_cast<double>(length.count()) / 1e6; }

/// @brief Longest time that a message can state; a longer one is cut. Sums of some of them stay far from an overflow.
constexpr std::chrono::hours longestTime { 24 * 365 };

/// @brief Converts a time that a message states, which may be any number of its unit; at most longestTime either way.
template <typename Rep, typename Period> constexpr Duration toStatedTime(std::chrono::duration<Rep, Period> stated)
{
    // Compared in the unit of the message, since the conversion of the number might overflow.
    constexpr auto longest = std::chrono::duration_cast<std::chrono::duration<Rep, Period>>(longestTime);
    return std::clamp(stated, -longest, longest);
}

/// @brief Longest length that fromSeconds() returns. Times since 1970 are far below it, and sums of some hundred such
/// lengths do not overflow.
constexpr std::chrono::hours longestLength { 24 * 365 * 1000 };

/// @brief Converts seconds to a Duration, rounding towards zero; at most longestLength either way, and zero for no
/// number.
constexpr Duration fromSeconds(double seconds)
{
    constexpr double longest = std::chrono::duration<double>(longestLength).count();
    // Not a number compares as false.
    if (!(seconds >= -longest && seconds <= longest))
        return seconds > longest ? longestLength : seconds < -longest ? -longestLength : Duration::zero();
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

} // namespace teaselshore
