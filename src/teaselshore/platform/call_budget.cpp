#include "teaselshore/platform/call_budget.hpp"

#include <algorithm>
#include <cmath>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    /// Covers rounding when fractions of tokens are added up, so that a caller that waits as told finds its token.
    constexpr double tokenTolerance = 1e-6;

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, Instant now)
    : perSecond(perSecond)
    , burst(burst)
    , tokens(burst)
    , updated(now)
{
    TEASELSHORE_ASSERT(perSecond > 0 && burst >= 1, "a token bucket needs a rate and room for one token");
}

double TokenBucket::available(Instant now) const
{
    const Duration passed = std::max(now - this->updated, Duration(0));
    return std::min(this->burst, this->tokens + toSeconds(passed) * this->perSecond);
}

bool TokenBucket::take(Instant now)
{
    const double current = this->available(now);
    this->updated = std::max(this->updated, now);
    this->tokens = current;
    if (current < 1 - tokenTolerance)
        return false;
    this->tokens = std::max(current - 1, 0.0);
    return true;
}

Duration TokenBucket::untilNext(Instant now) const
{
    const double missing = 1 - tokenTolerance - this->available(now);
    if (missing <= 0)
        return Duration(0);
    return Duration(static_cast<Duration::rep>(std::ceil(missing / this->perSecond * 1e6)));
}

void TokenBucket::setRate(double newPerSecond, double newBurst, Instant now)
{
    TEASELSHORE_ASSERT(newPerSecond > 0 && newBurst >= 1, "a token bucket needs a rate and room for one token");
    this->tokens = std::min(this->available(now), newBurst);
    this->updated = std::max(this->updated, now);
    this->perSecond = newPerSecond;
    this->burst = newBurst;
}

} // namespace teaselshore
