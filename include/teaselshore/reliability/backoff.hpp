#pragma once

#include <cstdint>

#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

struct BackoffSettings {
    /// Upper bound of the first delay.
    Duration initial = std::chrono::milliseconds(50);
    /// Upper bound of every delay.
    Duration limit = std::chrono::seconds(5);
    double factor = 2;

    auto operator<=>(const BackoffSettings&) const = default;
};

/// @brief Exponential delays with a cap and full jitter: each delay is uniform between 0 and the current bound.
///
/// Not thread-safe.
class Backoff {
public:
    explicit Backoff(BackoffSettings settings = {});

    /// @brief Returns the delay before the next attempt and raises the bound of the following one.
    Duration next(RandomSource& random);

    /// @brief Returns the upper bound of the next delay.
    Duration bound() const { return this->currentBound; }

    /// @brief Resets the bound to its initial value, after a success.
    void reset();

private:
    BackoffSettings settings;
    Duration currentBound;
};

} // namespace teaselshore
