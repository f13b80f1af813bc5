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
    /// Upstreams that the measured demand keeps busy all the time; nothing before it was measured.
    std::optional<double> busyUpstreams;
    /// True while reclaimable upstreams were taken away or refused lately, so that more may go and none come.
    bool reclaimableScarce = false;

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
    /// Busy upstreams' worth of demand that one upstream may carry while reclaimable ones are scarce. The measured
    /// reading speed includes the time that prompts wait for each other, so that an upstream can do more than it says.
    /// With 0.35 and 1.2 the quiet days paid for on-demand upstreams that did not improve the response times.
    double loadPerUpstream = 2;
    /// On-demand upstreams per zone beside reclaimable ones, for the loss of all reclaimable ones at once. With one in
    /// the cheapest zone only, the heaviest day of a deployment with few engines lost more than the prices that it
    /// saved.
    std::uint32_t onDemandFloor = 1;

    auto operator<=>(const FleetPlannerSettings&) const = default;
};

/// @brief Returns how many upstreams of which kind each zone should have. Pure.
///
/// Reclaimable upstreams carry the load, spread over the zones so that the loss of one zone leaves enough; a zone that
/// cannot be had is made up for by the others up to their maximum.
std::vector<FleetTarget> planFleet(const FleetState& state, const FleetPlannerSettings& settings = {});

} // namespace teaselshore
