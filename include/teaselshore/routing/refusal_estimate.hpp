#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Estimates how likely an upstream is to refuse the next request, from how it took the recent ones.
///
/// Old results count less and less, so that an upstream that refused everything is tried again. Not thread-safe.
class RefusalEstimate {
public:
    void onAccepted(Instant now);
    void onRefused(Instant now);
    /// @brief Returns the probability of a refusal, in [0, 1); 0 without results.
    double probability(Instant now) const;

private:
    void decayTo(Instant now);

    float accepted = 0;
    float refused = 0;
    Instant updatedAt {};
};

} // namespace teaselshore
