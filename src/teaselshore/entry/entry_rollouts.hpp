#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/control/rollout_schedule.hpp"
#include "teaselshore/control/version_guard.hpp"
#include "teaselshore/entry/node_report.hpp"
#include "upstream_routing.hpp"

namespace teaselshore {

/// @brief Attempt at an upstream that has ended, as far as versions are judged by it.
struct EndedEntryAttempt {
    ServiceName service;
    UpstreamId upstream;
    RouteName route;
    AttemptEnd end = AttemptEnd::Succeeded;
    /// Time to the response or to the first event.
    std::optional<Duration> latency;
};

/// @brief Version rollouts: each node stops a bad version on its own evidence, and the holder of the lease moves the
/// share of a good one, writes the state for the operator, and takes a bad one back. Not thread-safe.
class EntryRollouts {
public:
    EntryRollouts(EntryState& state, ObjectCallIds& ids);

    /// @brief Takes over the orders and their states. Returns whether the shares may have changed.
    bool onOrders(const RolloutsListed& listed, Instant now);
    /// @brief Takes over what the holder of the lease has decided. Returns whether the shares may have changed.
    bool onDecision(const RolloutDecision& decision);
    /// @brief Tells that the registered upstreams changed.
    void onUpstreams(Instant now);
    const std::vector<RolloutOrder>& orders() const { return this->effective; }
    /// @brief Returns the versions that have just appeared beside others, and for which an order may not be known yet.
    const std::set<ServiceVersion>& unknownVersions() const { return this->awaiting; }
    bool isActive() const;
    bool isActive(const ServiceName& service) const;
    void onAttempt(const EndedEntryAttempt& attempt, Instant now);
    /// @brief Returns the outcomes to report to the holder of the lease.
    std::vector<VersionReport> reports() const;
    /// @brief Makes decisions if this node holds the lease. Returns whether shares changed.
    bool onTick(const std::vector<NodeReport>& reports, bool holdsLease, Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->calls.contains(call); }
    void onCloudResult(const CloudCallEnded& result, Instant now);

private:
    /// Progress of one rollout at the node that drives it.
    struct Driven {
        VersionPair pair;
        Instant startedAt {};
        double share = 0;
        Instant changedAt {};
        RolloutStep::State state = RolloutStep::State::Running;
        EvidenceHistory history;
        std::uint64_t responses = 0;
        std::uint64_t responsesAtChange = 0;
        std::map<NodeId, std::uint64_t> lastSequence;
        bool faulty = false;
        std::string reason;
        /// State and share that the platform has.
        std::optional<RolloutStep> written;
        std::optional<std::uint64_t> call;
        Instant nextTry {};
        /// Version of the order's object after this node's last write; 0 before.
        ObjectVersion objectVersion = 0;
    };

    /// Order as the platform has it.
    struct Known {
        RolloutOrder order;
        Instant seenAt {};
    };

    std::optional<VersionPair> pairOf(const RolloutOrder& order) const;
    void updatePairs();
    void execute(std::vector<GuardCommand> commands);
    /// @brief Lets a decision take effect here and at the other nodes, before the platform has it.
    void announce(const RolloutOrder& order, const RolloutStep& step);
    void read(bool mayBeStale, Instant now);
    void drive(const RolloutOrder& order, const std::vector<NodeReport>& reports, Instant now);
    void takeIn(Driven& driven, const std::vector<NodeReport>& reports, Instant now) const;
    void write(const RolloutOrder& order, Driven& driven);

    EntryState& state;
    ObjectCallIds& ids;
    VersionGuard guard;
    std::map<ServiceName, Known> known;
    /// Orders as the platform has them, and with this node's own stops and the decisions of the holder of the lease.
    std::vector<RolloutOrder> ordered;
    std::vector<RolloutOrder> effective;
    std::map<ServiceName, RolloutDecision> decided;
    /// Versions of registered upstreams, and when each was first seen.
    std::map<ServiceVersion, Instant> versionsSince;
    std::set<ServiceVersion> awaiting;
    Instant nextRead {};
    std::map<ServiceName, Driven> driven;
    std::deque<VersionReport> unread;
    std::set<ServiceName> stopped;
    std::map<std::uint64_t, ServiceName> calls;
    bool changed = false;
};

} // namespace teaselshore
