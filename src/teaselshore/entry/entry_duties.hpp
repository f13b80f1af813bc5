#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crash_detector.hpp"
#include "entry_rollouts.hpp"
#include "entry_state.hpp"
#include "fleet_controller.hpp"
#include "limit_exchange.hpp"
#include "teaselshore/control/lease.hpp"
#include "teaselshore/entry/live_nodes.hpp"
#include "usage_reporter.hpp"

namespace teaselshore {

/// @brief Background tasks of a node: writes its report to the platform, reads the reports of the other nodes, and runs
/// the tasks of the whole fleet while it holds the lease for them. Not thread-safe.
class EntryDuties {
public:
    EntryDuties(EntryState& state, CrashDetector& crashes, LimitExchange& limits);

    void onReports(const std::vector<std::string>& texts, Instant now);
    /// @brief Relays a report that could not be written to peers, which may reach the platform.
    void onReportWritten(const NodeReportWritten& result);
    /// @brief Writes a report that its node could not write itself.
    void onRelayed(const RelayedReport& relayed);
    void onObjectResult(const ObjectResult& result, Instant now);
    void onCloudResult(const CloudCallEnded& result, Instant now);
    void onPlatformRestored(Instant now)
    {
        this->usageReporter.onPlatformRestored(now);
        this->fleetController.onPlatformRestored();
        this->versionRollouts.onPlatformRestored(now);
    }
    /// @brief Runs due tasks. Returns whether the shares of versions changed.
    bool onTick(Instant now);
    EntryRollouts& rollouts() { return this->versionRollouts; }
    /// @brief Releases the lease.
    void stop() { this->lease.stop(); }
    /// @brief Reports what this process has served since its last report, before it ends.
    void writeLastReport(Instant now);
    bool holdsLease(Instant now) const { return this->lease.fencingToken(now).has_value(); }

private:
    /// @brief Returns whether this node judges rollouts beside the holder of the lease, or while there is none.
    bool isStandby() const { return this->isContending && this->versionRollouts.isActive(); }
    Duration readPeriod(Instant now) const;
    void scheduleReports(Instant now);
    void writeReport(Instant now, bool endsWindow);
    void execute(std::vector<ObjectCommand> commands);
    /// @brief Returns this node and its fencing token; nothing without the lease or if the token was refused.
    std::optional<FencedHolder> fencedHolder(Instant now) const;
    /// @brief Returns the peer addresses of the other live nodes, in an order that differs between nodes.
    std::vector<std::string> peers(Instant now) const;
    /// @brief Sets the shares of the quotas and retry budgets from the round of reports that followed the end of the
    /// given window.
    void applyShares(std::int64_t window, Instant now);

    EntryState& state;
    CrashDetector& crashes;
    LimitExchange& limits;
    ObjectCallIds ids;
    LiveNodes nodes;
    /// Time without a report after which the other nodes take over a node's share of the quotas.
    const Duration shareTimeout;
    LeaseHolder lease;
    /// True if this node is one of those that acquire a free lease.
    bool isContending = false;
    UsageReporter usageReporter;
    FleetController fleetController;
    EntryRollouts versionRollouts;
    /// True once the counts of an earlier process on this host have been restored from its last report.
    bool ownUsageRestored = false;
    /// Start of this process.
    std::optional<Instant> startedAt;
    /// True if other processes had written reports before this one started.
    bool joinedRunningFleet = false;
    std::uint64_t reportNumber = 0;
    /// The last written report, encoded.
    std::string lastReport;
    std::optional<std::int64_t> reportedWindow;
    Instant reportedAt {};
    /// Demand during the last complete window.
    std::map<ServiceName, ServiceDemand> serviceDemand;
    Instant nextRead {};
    bool isReading = false;
    /// Window whose round of reports determined the current share of the quotas.
    std::optional<std::int64_t> appliedWindow;
    /// This node's share of the quotas; 0 until reports have been read.
    double quotaShare = 0;
    /// Last time that this node's own current report was among those read.
    std::optional<Instant> ownReportSeenAt;
    Instant readStartedAt {};
    /// Fencing token that the cloud refused because a newer holder has acted.
    std::optional<std::uint64_t> refusedToken;
};

} // namespace teaselshore
