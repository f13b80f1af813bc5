#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Price and current upstreams of a service in one availability zone.
struct FleetZone {
    AvailabilityZone zone;
    /// Relative price of an on-demand upstream.
    double price = 1;
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const FleetZone&) const = default;
};

/// @brief Input for planning the fleet of one service.
struct FleetState {
    std::vector<FleetZone> zones;
    /// Bounds of the upstreams per zone, on-demand and reclaimable together.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    /// Price of a reclaimable upstream as a fraction of the on-demand price; not set if none are offered.
    std::optional<double> reclaimablePrice;
    /// Upstreams that the operator started the service with, over all zones.
    std::uint32_t baseline = 0;
    /// Number of upstreams that the measured demand would keep fully busy; not set before the first measurement.
    std::optional<double> busyUpstreams;
    /// True if reclaimable upstreams were recently reclaimed or refused: more may be lost and new orders may fail.
    bool reclaimableScarce = false;

    auto operator<=>(const FleetState&) const = default;
};

/// @brief Planned number of upstreams in one zone.
struct FleetTarget {
    AvailabilityZone zone;
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const FleetTarget&) const = default;
};

struct FleetPlannerSettings {
    /// Fraction of the baseline that must remain after any one zone has lost its reclaimable upstreams.
    double fractionAfterZoneLoss = 1.0;
    /// Demand that one upstream may serve while reclaimable ones are scarce, in busy upstreams. It is above 1 because
    /// the measured prefill rate includes the time that prompts wait for each other and so understates the
    /// capacity. Values of 0.35 and 1.2 ordered on-demand upstreams at low load that did not improve response times.
    double loadPerUpstream = 2;
    /// Minimum on-demand upstreams per zone, which remain if all reclaimable ones are lost at once. With one in the
    /// cheapest zone only, a deployment with few engines lost more under its heaviest load than it saved in prices.
    std::uint32_t onDemandFloor = 1;

    auto operator<=>(const FleetPlannerSettings&) const = default;
};

/// @brief Returns how many upstreams of each kind every zone should have. Pure.
///
/// Reclaimable upstreams serve the load. They are spread over the zones so that enough remain after the loss of any one
/// zone, as far as the maximum of the zones allows.
std::vector<FleetTarget> planFleet(const FleetState& state, const FleetPlannerSettings& settings = {});

} // namespace teaselshore
