#include "prompt_mix.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Part of the tightest target from which the reading time of a prompt makes it a long one.
    constexpr double longTargetFraction = 0.15;
    /// Time in seconds after which a request counts 1/e. A node that sends two long prompts per second sees 20 in it.
    constexpr double memorySeconds = 10;

} // namespace

void PromptMix::onDispatched(double readingSeconds, double targetSeconds, Instant now)
{
    this->tightestTarget = std::min(this->tightestTarget.value_or(targetSeconds), targetSeconds);
    const double kept = std::exp(-std::max(0.0, toSeconds(now - this->updatedAt)) / memorySeconds);
    this->updatedAt = now;
    this->allSeconds *= kept;
    this->longSeconds *= kept;
    this->longSecondsSquared *= kept;
    this->allSeconds += readingSeconds;
    if (!this->isLong(readingSeconds, targetSeconds))
        return;
    this->longSeconds += readingSeconds;
    this->longSecondsSquared += readingSeconds * readingSeconds;
}

bool PromptMix::isLong(double readingSeconds, double targetSeconds) const
{
    return this->tightestTarget && targetSeconds > *this->tightestTarget
        && readingSeconds > longTargetFraction * *this->tightestTarget;
}

double PromptMix::longShare() const { return this->allSeconds > 0 ? this->longSeconds / this->allSeconds : 0; }

double PromptMix::meanRemainingSeconds() const
{
    return this->longSeconds > 0 ? this->longSecondsSquared / this->longSeconds / 2 : 0;
}

} // namespace teaselshore
