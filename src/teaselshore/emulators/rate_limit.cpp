#include "teaselshore/emulators/rate_limit.hpp"

#include <algorithm>

namespace teaselshore {

RateLimit::RateLimit(double perSecond, double burst)
    : perSecond(perSecond)
    , burst(burst)
    , available(burst)
{
}

bool RateLimit::tryTake(Instant now)
{
    if (this->perSecond <= 0)
        return true;

    const Duration passed = std::max(now - this->updated, Duration::zero());
    this->available = std::min(this->burst, this->available + toSeconds(passed) * this->perSecond);
    this->updated = std::max(this->updated, now);
    if (this->available < 1)
        return false;
    this->available -= 1;
    return true;
}

void RateMeter::count(Instant now)
{
    if (this->calls == 0)
        this->second = now;
    if (now >= this->second + std::chrono::seconds(1)) {
        this->second += std::chrono::floor<std::chrono::seconds>(now - this->second);
        this->current = 0;
    }
    ++this->calls;
    ++this->current;
    this->peak = std::max(this->peak, this->current);
}

} // namespace teaselshore
