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
#include "teaselshore/entry/live_nodes.hpp"

namespace teaselshore {

/// @brief Orders the upstreams of each service as planned by planFleet(). Runs at the node that holds the lease.
///
/// An order states a total count, so that repeats are idempotent. On-demand upstreams are released only once the
/// reclaimable ones that replace them are in service. Not thread-safe.
class FleetController {
public:
    FleetController(EntryState& state, ObjectCallIds& ids);

    /// @brief Sends due orders for the services without a running rollout.
    void onTick(
        std::optional<FencedHolder> holder, const LiveReports& reports, const EntryRollouts& rollouts, Instant now);
    /// @brief Creates the known sizes of fleets at their start again, which the copy may lack.
    void onPlatformRestored();
    bool awaits(ObjectCallId id) const { return this->objectCalls.contains(id); }
    void onObjectResult(const ObjectResult& result, Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->cloudCalls.contains(call); }
    void onCloudResult(const CloudCallEnded& result, Instant now);

private:
    /// State of the orders for one kind of upstream of a service in one availability zone.
    struct Order {
        /// Count and fencing token of the last order that the platform accepted.
        std::optional<std::uint32_t> acceptedCount;
        std::uint64_t acceptedToken = 0;
        Instant acceptedAt {};
        std::uint32_t sentCount = 0;
        std::uint64_t sentToken = 0;
        std::optional<std::uint64_t> pendingCall;
        Instant nextAttempt {};
    };
    struct OrderKey {
        ServiceName service;
        AvailabilityZone zone;
        bool reclaimable = false;

        auto operator<=>(const OrderKey&) const = default;
    };
    /// Size of a service's fleet when the service was started.
    struct Baseline {
        std::optional<std::uint32_t> upstreams;
        /// True if the platform has no stored size.
        bool isMissing = false;
        bool isPending = false;
        Instant nextAttempt {};
        /// Number of registered upstreams at the last check, and when it last changed.
        std::uint32_t registered = 0;
        Instant registeredChangedAt {};
    };

    void planService(const EntryService& service, const FencedHolder& holder, const LiveReports& reports, Instant now);
    /// @brief Returns how many upstreams the reported prompt tokens keep busy; nothing without demand.
    std::optional<double> busyUpstreams(const ServiceName& service, const LiveReports& reports) const;
    /// @brief Returns the stored fleet size at the start of the service; stores the present one if there is none.
    std::optional<std::uint32_t> baseline(const EntryService& service, Instant now);
    void readBaseline(const ServiceName& service);
    void createBaseline(const ServiceName& service, std::uint32_t upstreams);
    FleetState fleetState(const EntryService& service, Instant now) const;
    void orderIfDue(const OrderKey& key, std::uint32_t target, std::uint32_t usable, Duration bootTime,
        const FencedHolder& holder, Instant now);

    EntryState& state;
    ObjectCallIds& ids;
    std::map<ServiceName, Baseline> baselines;
    std::map<OrderKey, Order> orders;
    /// Busy upstreams of the service that was planned last, for logging.
    double lastBusyUpstreams = 0;
    /// Time of the last refused order of reclaimable upstreams.
    std::map<ServiceName, Instant> reclaimableRefusedAt;
    std::map<ObjectCallId, ServiceName> objectCalls;
    std::map<std::uint64_t, OrderKey> cloudCalls;
};

} // namespace teaselshore
