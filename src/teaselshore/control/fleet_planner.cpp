#include "teaselshore/control/fleet_planner.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

std::vector<FleetTarget> planFleet(const FleetState& state, const FleetPlannerSettings& settings)
{
    std::vector<FleetTarget> targets;
    const auto zones = static_cast<double>(state.zones.size());
    if (state.zones.empty())
        return targets;
    const double needed = std::max(1.0, state.baseline * state.demand * settings.leftAfterLoss);
    // With one zone gone, the others must carry the load. A single zone cannot be insured against its loss.
    const double carrying = std::max(1.0, zones - 1);
    const auto perZone = static_cast<std::uint32_t>(std::ceil(needed / carrying));
    for (const FleetZone& zone : state.zones) {
        const std::uint32_t total = std::clamp(perZone, std::max(1U, state.minimum), std::max(1U, state.maximum));
        if (!state.reclaimablePrice || *state.reclaimablePrice >= 1) {
            targets.push_back({ zone.zone, total, 0 });
            continue;
        }
        const std::uint32_t onDemand = std::min(settings.onDemandFloor, total);
        targets.push_back({ zone.zone, onDemand, total - onDemand });
    }
    return targets;
}

} // namespace teaselshore
