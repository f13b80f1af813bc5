#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "teaselshore/base/random.hpp"

namespace teaselshore {

/// @brief Bounded uniform sample of values, for quantiles. Not thread-safe.
class QuantileSample {
public:
    /// @brief Creates a sample that is exact up to capacity values and a random selection above.
    explicit QuantileSample(std::size_t capacity = 500000);

    void add(double value);

    /// @brief Returns the value at or below which the share of values lies; 0 without values.
    double quantile(double share) const;

    std::uint64_t count() const { return this->seen; }

private:
    std::size_t capacity;
    std::uint64_t seen = 0;
    RandomSource random { 1 };
    std::vector<double> values;
};

} // namespace teaselshore
