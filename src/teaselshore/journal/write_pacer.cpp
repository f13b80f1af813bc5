#include "teaselshore/journal/write_pacer.hpp"

#include <algorithm>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

WritePacer::WritePacer(double perSecond, double burst)
    : interval(fromSeconds(1.0 / perSecond))
    , tolerance(fromSeconds(std::max(0.0, burst - 1.0) / perSecond))
{
    TEASELSHORE_ASSERT(perSecond > 0 && burst > 0, "write rate and burst must be positive");
}

void WritePacer::take(Instant now)
{
    TEASELSHORE_ASSERT(this->allows(now), "write budget exceeded");
    this->theoretical = std::max(this->theoretical, now) + this->interval;
}

} // namespace teaselshore
