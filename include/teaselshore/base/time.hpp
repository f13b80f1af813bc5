#pragma once

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

/// @brief Converts seconds to a Duration, rounding towards zero.
constexpr Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e6)); }

} // namespace teaselshore
