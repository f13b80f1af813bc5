#include "teaselshore/control/fleet_planner.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// On-demand upstreams per zone that replace reclaimable ones while none come.
    std::uint32_t replacements(const FleetState& state, const FleetPlannerSettings& settings)
    {
        std::uint32_t serving = 0;
        std::uint32_t largest = 0;
        for (const FleetZone& zone : state.zones) {
            serving += zone.reclaimable;
            largest = std::max(largest, zone.reclaimable);
        }
        // Reclaims come in waves: the largest zone may be next, sooner than a replacement could start.
        const double safe = serving - largest;
        const double needed = state.busyUpstreams
            ? std::min<double>(state.baseline, *state.busyUpstreams / settings.loadPerUpstream)
            : state.baseline;
        const double missing = needed - safe;
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
    const double needed = std::max(1.0, state.baseline * settings.leftAfterLoss);
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
        const std::uint32_t room = state.maximum - std::min(state.maximum, zone.reclaimable);
        // None is given up while more may be needed within seconds.
        const std::uint32_t replacing
            = state.reclaimableScarce ? std::max(zone.onDemand, std::min(replacements(state, settings), room)) : 0;
        targets.push_back({ zone.zone, std::max(onDemand, replacing), total - onDemand });
    }
    return targets;
}

} // namespace teaselshore
