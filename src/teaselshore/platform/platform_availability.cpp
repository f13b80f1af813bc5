#include "teaselshore/platform/platform_availability.hpp"

#include <utility>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

PlatformAvailability::PlatformAvailability(Instant start)
    : answeredAt(start)
{
}

bool PlatformAvailability::onAnswer(Instant now)
{
    const Instant before = std::exchange(this->answeredAt, now);
    if (std::exchange(this->available, true))
        return false;
    this->outage = { before, now };
    ++this->returnCount;
    return true;
}

bool PlatformAvailability::onFailure() { return std::exchange(this->available, false); }

const PlatformOutage& PlatformAvailability::lastOutage() const
{
    TEASELSHORE_ASSERT(this->returnCount > 0, "no outage has ended");
    return this->outage;
}

} // namespace teaselshore
