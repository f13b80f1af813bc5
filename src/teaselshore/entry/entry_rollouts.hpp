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
#include "teaselshore/entry/live_nodes.hpp"
#include "upstream_routing.hpp"

namespace teaselshore {

/// @brief Properties of an ended attempt at an upstream that serve as evidence about the upstream's version.
struct EndedEntryAttempt {
    ServiceName service;
    UpstreamId upstream;
    RouteName route;
    AttemptEnd end = AttemptEnd::Succeeded;
    /// Time to the response or to the first event.
    std::optional<Duration> latency;
};

/// @brief What a node does for rollouts beyond its own evidence.
enum class RolloutRole {
    None,
    /// Judges the reports of all nodes, so that a faulty version is stopped while nobody holds the lease.
    Standby,
    /// Also raises the share, and writes the state for the operator.
    Holder,
};

/// @brief Carries out version rollouts. Each node stops a faulty version on its own evidence; the holder of the lease
/// also raises the share of a good version, rolls a faulty one back, and writes the state for the operator. Not
/// thread-safe.
class EntryRollouts {
public:
    EntryRollouts(EntryState& state, ObjectCallIds& ids);

    /// @brief Handles the orders read from the platform. Returns whether the shares may have changed.
    bool onOrders(const RolloutsListed& listed, Instant now);
    /// @brief Handles a decision of the holder of the lease. Returns whether the shares may have changed.
    bool onDecision(const RolloutDecision& decision);
    /// @brief Sends all known decisions to a peer that has just started or doubts the platform: its orders may be of an
    /// older copy.
    void tellDecisions(const std::string& peerAddress) const;
    /// @brief Handles a change of the registered upstreams.
    void onUpstreams(Instant now);
    /// @brief Returns the orders with the stops of this node and the decisions of the holder of the lease applied.
    const std::vector<RolloutOrder>& orders() const { return this->effectiveOrders; }
    /// @brief Returns the new versions whose rollout orders this node may not have read yet.
    const std::set<ServiceVersion>& unknownVersions() const { return this->versionsAwaitingOrder; }
    bool isActive() const;
    bool isActive(const ServiceName& service) const;
    void onAttempt(const EndedEntryAttempt& attempt, Instant now);
    /// @brief Returns the evidence to report to the holder of the lease.
    std::vector<VersionReport> reports() const;
    /// @brief Reads orders when due, and judges or advances rollouts. Returns whether shares changed.
    bool onTick(const LiveReports& reports, RolloutRole role, Instant now);
    /// @brief Writes the state of rollouts again and reads the orders.
    void onPlatformRestored(Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->cloudCalls.contains(call); }
    void onCloudResult(const CloudCallEnded& result, Instant now);

private:
    /// Progress of a rollout at a node that judges it.
    struct ActiveRollout {
        VersionPair pair;
        Instant startedAt {};
        double share = 0;
        Instant changedAt {};
        RolloutStep::State state = RolloutStep::State::Running;
        EvidenceHistory history;
        std::uint64_t responses = 0;
        std::uint64_t responsesAtChange = 0;
        /// Sums over all reports, for the log.
        EvidenceCounts oldCounts;
        EvidenceCounts newCounts;
        std::map<NodeId, std::uint64_t> lastSequence;
        bool isFaulty = false;
        std::string reason;
        /// State and share that were written last, and that the platform has once the pending call succeeds.
        std::optional<RolloutStep> lastWritten;
        std::optional<std::uint64_t> pendingCall;
        Instant nextAttempt {};
        /// Version of the order's object after this node's last write; 0 before the first.
        ObjectVersion objectVersion = 0;
    };

    /// Order as last read from the platform.
    struct KnownOrder {
        RolloutOrder order;
        Instant seenAt {};
    };

    /// @brief Returns the order's target and the most common other version of the service.
    std::optional<VersionPair> versionPair(const RolloutOrder& order) const;
    void updatePairs();
    void execute(std::vector<GuardCommand> commands);
    /// @brief Keeps a decision that a restored order lacks, and sends it to the peers: one that has just started, or
    /// that holds the lease now, may not know it.
    void repeatDecision(const RolloutOrder& known, const RolloutOrder& restored);
    /// @brief Applies a decision of another node.
    void adoptDecision(ActiveRollout& rollout, Instant now) const;
    /// @brief Applies a decision at this node and sends it to the others, before it is written to the platform.
    void announce(const RolloutOrder& order, const RolloutStep& step);
    void requestOrders(bool mayBeStale, Instant now);
    void advance(const RolloutOrder& order, const LiveReports& reports, RolloutRole role, Instant now);
    void collectEvidence(ActiveRollout& rollout, const LiveReports& reports, Instant now) const;
    void write(const RolloutOrder& order, ActiveRollout& rollout);

    EntryState& state;
    ObjectCallIds& ids;
    VersionGuard guard;
    std::map<ServiceName, KnownOrder> knownOrders;
    /// Orders as last read from the platform.
    std::vector<RolloutOrder> platformOrders;
    /// The same orders with this node's stops and the decisions of the holder of the lease applied.
    std::vector<RolloutOrder> effectiveOrders;
    std::map<ServiceName, RolloutDecision> decisions;
    /// Versions of the registered upstreams and the time at which each was first seen.
    std::map<ServiceVersion, Instant> versionsSeenSince;
    std::set<ServiceVersion> versionsAwaitingOrder;
    Instant nextRead {};
    std::map<ServiceName, ActiveRollout> activeRollouts;
    /// Last reports, which are repeated since the holder of the lease may miss some.
    std::deque<VersionReport> recentReports;
    std::set<ServiceName> stoppedServices;
    std::map<std::uint64_t, ServiceName> cloudCalls;
    bool sharesChanged = false;
};

} // namespace teaselshore
