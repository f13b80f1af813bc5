#include "teaselshore/reliability/turn_schedule.hpp"

#include <algorithm>
#include <cmath>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

TurnSchedule::TurnSchedule(double perSecond, std::size_t position, std::size_t members)
    : perSecond(perSecond)
    , position(position)
    , members(members)
{
    TEASELSHORE_ASSERT(perSecond > 0 && std::isfinite(perSecond), "a turn schedule needs a positive rate");
    TEASELSHORE_ASSERT(position < members, "the position is outside the fleet");
}

Duration TurnSchedule::nextTurn(Duration from) const
{
    const auto size = static_cast<double>(this->members);
    const auto offset = static_cast<double>(this->position);
    const double round = std::ceil((toSeconds(from) * this->perSecond - offset) / size);
    const auto startOf = [&](double number) { return fromSeconds((number * size + offset) / this->perSecond); };
    // Rounding to microseconds may move the start before the given time.
    const Duration start = startOf(round);
    return start >= from ? start : std::max(from, startOf(round + 1));
}

} // namespace teaselshore
