#pragma once

#include <array>
#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Counts two kinds of events over a sliding window of eight equal steps.
///
/// The window moves in whole steps, so a count covers between seven eighths of the window and all of it.
class SlidingCounter {
public:
    /// @brief Precondition: window >= 8 us.
    explicit SlidingCounter(Duration window);

    void add(std::uint32_t first, std::uint32_t second, Instant now);
    std::uint32_t first(Instant now) const;
    std::uint32_t second(Instant now) const;
    void clear();

private:
    static constexpr std::size_t stepCount = 8;

    struct Step {
        std::int64_t number = -1;
        std::uint32_t first = 0;
        std::uint32_t second = 0;
    };

    std::int64_t stepNumber(Instant now) const;

    Duration stepLength;
    std::array<Step, stepCount> steps;
};

} // namespace teaselshore
