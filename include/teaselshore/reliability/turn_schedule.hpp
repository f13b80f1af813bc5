#pragma once

#include <compare>
#include <cstddef>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Divides a rate among the members of a fleet without messages: the members take turns.
///
/// Turn k of the fleet begins k / perSecond seconds after 1970 and belongs to the member at position k modulo the
/// number of members. Members that agree on the fleet never share a turn, whatever the rate. Thread-safe.
class TurnSchedule {
public:
    /// @brief Precondition: perSecond is positive and finite, position < members.
    TurnSchedule(double perSecond, std::size_t position, std::size_t members);

    /// @brief Returns the start of the member's first turn at or after a wall-clock time, as time since 1970.
    Duration nextTurn(Duration from) const;

    auto operator<=>(const TurnSchedule&) const = default;

private:
    double perSecond = 1;
    std::size_t position = 0;
    std::size_t members = 1;
};

} // namespace teaselshore
