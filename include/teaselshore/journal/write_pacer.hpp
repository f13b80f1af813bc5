#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Keeps the writes of one process to the object API within a rate (generic cell rate algorithm).
///
/// Not thread-safe.
class WritePacer {
public:
    /// @brief Allows perSecond writes per second on average and up to burst at once. Precondition: both positive.
    WritePacer(double perSecond, double burst);

    /// @brief Returns true if a write may start now.
    bool allows(Instant now) const { return now >= this->nextAt(); }

    /// @brief Returns the earliest time of the next write.
    Instant nextAt() const { return this->theoretical - this->tolerance; }

    /// @brief Counts a write. Precondition: allows(now).
    void take(Instant now);

private:
    Duration interval;
    Duration tolerance;
    Instant theoretical {};
};

} // namespace teaselshore
