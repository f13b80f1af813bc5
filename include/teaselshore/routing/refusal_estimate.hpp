#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Estimates how likely an upstream is to refuse the next request, from how it took the recent ones.
///
/// Old results count less and less, and only a limited number of them, so that an upstream that refused everything is
/// tried again and soon trusted. Not thread-safe.
class RefusalEstimate {
public:
    /// @brief Adds results; a fraction of a result counts less than a whole one. Precondition: both numbers are not
    /// negative.
    void add(double accepted, double refused, Instant now);
    /// @brief Returns the probability of a refusal, in [0, 1); 0 without results.
    double probability(Instant now) const;

private:
    float accepted = 0;
    float refused = 0;
    Instant updatedAt {};
};

} // namespace teaselshore
