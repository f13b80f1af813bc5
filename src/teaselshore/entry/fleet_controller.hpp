#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry_rollouts.hpp"
#include "entry_state.hpp"
#include "teaselshore/control/fleet_planner.hpp"

namespace teaselshore {

/// @brief Orders the upstreams of each service as planFleet() says. Runs at the node that holds the lease.
///
/// An order declares a number, so that a repeat does no harm. On-demand upstreams are given up only once the
/// reclaimable ones that replace them serve. Not thread-safe.
class FleetController {
public:
    FleetController(EntryState& state, ObjectCallIds& ids);

    /// @brief Makes due orders for the services without a running rollout.
    void onTick(std::optional<FencedHolder> by, const std::vector<NodeReport>& reports, const EntryRollouts& rollouts,
        Instant now);
    bool awaits(ObjectCallId id) const { return this->calls.contains(id); }
    void onObjectResult(const ObjectResult& result, Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->cloudCalls.contains(call); }
    void onCloudResult(const CloudCallEnded& result, Instant now);

private:
    /// Orders of one kind of upstream in one zone.
    struct Order {
        /// Number of the last order that the platform accepted, and the token that it bore.
        std::optional<std::uint32_t> accepted;
        std::uint64_t acceptedToken = 0;
        Instant acceptedAt {};
        std::uint32_t sent = 0;
        std::uint64_t sentToken = 0;
        std::optional<std::uint64_t> call;
        Instant nextTry {};
    };
    struct OrderKey {
        ServiceName service;
        AvailabilityZone zone;
        bool reclaimable = false;

        auto operator<=>(const OrderKey&) const = default;
    };
    struct Baseline {
        std::optional<std::uint32_t> upstreams;
        /// True once the platform said that none is stored.
        bool missing = false;
        bool pending = false;
        Instant nextTry {};
        /// Upstreams registered at the last look, and since when.
        std::uint32_t registered = 0;
        Instant registeredSince {};
    };

    void planService(
        const EntryService& service, const FencedHolder& by, const std::vector<NodeReport>& reports, Instant now);
    std::optional<double> busyUpstreams(const ServiceName& service, const std::vector<NodeReport>& reports) const;
    /// @brief Returns the stored size with which the service was started; stores it first if there is none.
    std::optional<std::uint32_t> baseline(const EntryService& service, Instant now);
    void readBaseline(const ServiceName& service);
    FleetState fleetState(const EntryService& service) const;
    void orderIfDue(const OrderKey& key, std::uint32_t target, std::uint32_t usable, Duration bootTime,
        const FencedHolder& by, Instant now);

    EntryState& state;
    ObjectCallIds& ids;
    std::map<ServiceName, Baseline> baselines;
    std::map<OrderKey, Order> orders;
    /// Busy upstreams of the service that was planned last, for the log.
    double lastBusy = 0;
    /// Last refusal of reclaimable upstreams.
    std::map<ServiceName, Instant> refusedAt;
    std::map<ObjectCallId, ServiceName> calls;
    std::map<std::uint64_t, OrderKey> cloudCalls;
};

} // namespace teaselshore
