#include "teaselshore/control/fleet_planner.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Returns the on-demand upstreams per zone that replace reclaimable ones while those are scarce.
    std::uint32_t onDemandReplacements(const FleetState& state, const FleetPlannerSettings& settings)
    {
        std::uint32_t reclaimable = 0;
        std::uint32_t largest = 0;
        for (const FleetZone& zone : state.zones) {
            reclaimable += zone.reclaimable;
            largest = std::max(largest, zone.reclaimable);
        }
        // Reclaims come in waves: the zone with the most may be next, before a replacement could start.
        const double remaining = reclaimable - largest;
        const double needed = state.busyUpstreams
            ? std::min<double>(state.baseline, *state.busyUpstreams / settings.loadPerUpstream)
            : state.baseline;
        const double missing = needed - remaining;
        if (missing <= 0)
            return 0;
        return static_cast<std::uint32_t>(std::ceil(missing / static_cast<double>(state.zones.size())));
    }

} // namespace

std::vector<FleetTarget> planFleet(const FleetState& state, const FleetPlannerSettings& settings)
{
    std::vector<FleetTarget> targets;
    const auto zones = static_cast<double>(state.zones.size());
    if (state.zones.empty())
        return targets;
    const double needed = std::max(1.0, state.baseline * settings.fractionAfterZoneLoss);
    // The remaining zones must serve the load after the loss of one. With a single zone there is no such reserve.
    const double remainingZones = std::max(1.0, zones - 1);
    const auto perZone = static_cast<std::uint32_t>(std::ceil(needed / remainingZones));
    for (const FleetZone& zone : state.zones) {
        const std::uint32_t total = std::clamp(perZone, std::max(1U, state.minimum), std::max(1U, state.maximum));
        if (!state.reclaimablePrice || *state.reclaimablePrice >= 1) {
            targets.push_back({ zone.zone, total, 0 });
            continue;
        }
        const std::uint32_t onDemand = std::min(settings.onDemandFloor, total);
        const std::uint32_t headroom = state.maximum - std::min(state.maximum, zone.reclaimable);
        // On-demand upstreams are kept while reclaimable ones are scarce, as they may be needed within seconds.
        const std::uint32_t replacements = state.reclaimableScarce
            ? std::max(zone.onDemand, std::min(onDemandReplacements(state, settings), headroom))
            : 0;
        targets.push_back({ zone.zone, std::max(onDemand, replacements), total - onDemand });
    }
    return targets;
}

} // namespace teaselshore
