#pragma once

#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Token bucket that starts full.
class RateLimit {
public:
    /// @brief Creates a limit of perSecond calls with bursts of up to burst calls. perSecond 0 means no limit.
    RateLimit(double perSecond, double burst);

    /// @brief Takes one call from the bucket; false if the limit is exceeded.
    bool tryTake(Instant now);

private:
    double perSecond;
    double burst;
    double available;
    Instant updated {};
};

/// @brief Counts calls and the busiest whole second.
class RateMeter {
public:
    void count(Instant now);

    std::uint64_t total() const { return this->calls; }

    /// @brief Returns the calls in the busiest second so far, with seconds aligned to the first call.
    std::uint64_t peakPerSecond() const { return this->peak; }

private:
    std::uint64_t calls = 0;
    std::uint64_t peak = 0;
    std::uint64_t current = 0;
    Instant second {};
};

} // namespace teaselshore
