#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief What a service may order in one availability zone, and what it has there.
struct FleetZone {
    AvailabilityZone zone;
    /// Price of an on-demand upstream, relative.
    double price = 1;
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const FleetZone&) const = default;
};

/// @brief State that a plan of the fleet of one service depends on.
struct FleetState {
    std::vector<FleetZone> zones;
    /// Per zone, both kinds together.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    /// Price of a reclaimable upstream as a part of the on-demand price; none can be had if it is not set.
    std::optional<double> reclaimablePrice;
    /// Upstreams that the operator started the service with, all zones together.
    std::uint32_t baseline = 0;
    /// Demand as a multiple of what the baseline is meant for.
    double demand = 1;

    auto operator<=>(const FleetState&) const = default;
};

/// @brief Upstreams that one zone should have.
struct FleetTarget {
    AvailabilityZone zone;
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const FleetTarget&) const = default;
};

struct FleetPlannerSettings {
    /// Part of the baseline that must be left after any one zone has lost its reclaimable upstreams.
    double leftAfterLoss = 1.0;
    /// On-demand upstreams per zone beside reclaimable ones, for the loss of all reclaimable ones at once.
    std::uint32_t onDemandFloor = 1;

    auto operator<=>(const FleetPlannerSettings&) const = default;
};

/// @brief Returns how many upstreams of which kind each zone should have. Pure.
///
/// Reclaimable upstreams carry the load, spread over the zones so that the loss of one zone leaves enough; a zone that
/// cannot be had is made up for by the others up to their maximum.
std::vector<FleetTarget> planFleet(const FleetState& state, const FleetPlannerSettings& settings = {});

} // namespace teaselshore
