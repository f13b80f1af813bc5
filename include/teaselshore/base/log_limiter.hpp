#pragma once

#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Bounds the number of log lines under load; what is left out is counted. Not thread-safe.
class LogLimiter {
public:
    /// @brief Preconditions: perSecond > 0, burst >= 1.
    LogLimiter(double perSecond, double burst);

    /// @brief Returns whether a line may be written now; counts it as left out if not.
    bool admit(Instant now);
    /// @brief Returns the number of lines left out since the last call.
    std::uint64_t takeLeftOut();

private:
    double perSecond;
    double burst;
    double tokens;
    Instant updated {};
    std::uint64_t leftOut = 0;
};

} // namespace teaselshore
