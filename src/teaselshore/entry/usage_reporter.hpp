#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/entry/live_nodes.hpp"
#include "usage_horizon.hpp"

namespace teaselshore {

/// @brief Reports the usage of each window once for all nodes. Runs at the node that holds the lease.
///
/// The counts of a window are first stored at the platform, where only the first write succeeds. The stored counts are
/// sent, so that two holders never send different counts for a window. After a restore of the platform stored counts
/// may be gone that have been sent. No holder therefore reports a window before the stored horizon, but for counts that
/// it knows to be stored itself: a missing report is better than a second, different one. Not thread-safe.
class UsageReporter {
public:
    UsageReporter(EntryState& state, ObjectCallIds& ids);

    /// @brief Makes due calls. reports are the latest ones of the live nodes; holder is set while this node holds
    /// the lease.
    void onTick(const LiveReports& reports, std::optional<FencedHolder> holder, Instant now);
    /// @brief Must be called with the first answer of the platform, before this node can hold the lease.
    void onPlatformAnswered(Instant now) { this->eraKnownSince = now; }
    void onPlatformRestored(Instant now);
    bool awaits(ObjectCallId id) const { return this->horizon.awaits(id) || this->objectCalls.contains(id); }
    void onObjectResult(const ObjectResult& result, Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->cloudCalls.contains(call); }
    /// @brief Handles the outcome of a SendUsage; returns false if the cloud refused the fencing token as outdated.
    bool onCloudResult(const CloudCallEnded& result, Instant now);

private:
    enum class Phase {
        /// The reports of some nodes are still missing.
        Collecting,
        Storing,
        Reading,
        Stored,
        Sending,
        Done,
    };
    struct Window {
        Phase phase = Phase::Collecting;
        WorkspaceCounts counts;
        Instant nextAttempt {};
    };

    /// @brief Forgets what another holder may have changed since this node held the lease.
    void onAcquired(Instant now);
    /// @brief Returns the first window of which this node knows that it was not reported in an earlier era, unless its
    /// counts are stored in the present one. Precondition: this node holds the lease.
    std::int64_t ownHorizon(Duration clockOffset) const;
    void advance(std::int64_t number, Window& window, const LiveReports& reports, const FencedHolder& holder,
        Duration wallClock);
    bool isComplete(std::int64_t number, const LiveReports& reports) const;
    WorkspaceCounts sum(std::int64_t number, const LiveReports& reports) const;
    void store(std::int64_t number, Window& window);
    void read(std::int64_t number, Window& window);
    /// @brief Handles counts that were stored, or found stored, with the version of their object.
    void onStored(const char* message, std::int64_t number, Window& window, ObjectVersion version);
    /// @brief Ends a window without a report.
    void close(std::int64_t number, Window& window);
    void send(std::int64_t number, Window& window, const FencedHolder& holder);

    EntryState& state;
    ObjectCallIds& ids;
    UsageHorizon horizon;
    std::map<std::int64_t, Window> windows;
    std::map<ObjectCallId, std::int64_t> objectCalls;
    std::map<std::uint64_t, std::int64_t> cloudCalls;
    /// Last window that was reported, or that is too old to be reported.
    std::optional<std::int64_t> lastClosed;
    /// Time since which this node has held the lease without a break.
    std::optional<Instant> heldSince;
    /// Time since which this process has known the present era of the platform. What was lost at its beginning is
    /// older.
    std::optional<Instant> eraKnownSince;
};

} // namespace teaselshore
