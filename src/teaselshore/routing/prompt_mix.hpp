#pragma once

#include <optional>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Share of long prompts in the prompt tokens that this node sends to a pool of engines.
///
/// A prompt is long if reading it takes a considerable part of the tightest first-token target among the requests of
/// the pool, and its own target is looser. Otherwise, gathering long prompts would spare requests that can wait at the
/// expense of those that can't. Requests without a stated size are not counted. Not thread-safe.
class PromptMix {
public:
    /// @brief Records a sent request with the time that an engine takes to read its uncached prompt tokens, and the
    /// first-token target of its class.
    void onDispatched(double readingSeconds, double targetSeconds, Instant now);

    bool isLong(double readingSeconds, double targetSeconds) const;

    /// @brief Returns the part of the reading time that long prompts take, in [0, 1].
    double longShare() const;

    /// @brief Returns the mean time until an engine that reads a long prompt has read it.
    double meanRemainingSeconds() const;

    /// @brief Forgets the targets, since the classes may have changed.
    void resetTargets() { this->tightestTarget.reset(); }

private:
    std::optional<double> tightestTarget;
    double allSeconds = 0;
    double longSeconds = 0;
    double longSecondsSquared = 0;
    Instant updatedAt {};
};

} // namespace teaselshore
