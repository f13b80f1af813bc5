#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/entry/live_nodes.hpp"

namespace teaselshore {

/// @brief Reports the usage of each window once for all nodes. Runs at the node that holds the lease.
///
/// The counts of a window are first stored at the platform, where only the first write succeeds. The stored counts are
/// sent, so that two holders never send different counts for a window. After a restore of the platform stored counts
/// may be gone that the holder before has sent. The next holder then marks the windows that ended before the restore as
/// not to be reported, unless their counts are still stored: a missing report is better than a second, different one.
/// Not thread-safe.
class UsageReporter {
public:
    UsageReporter(EntryState& state, ObjectCallIds& ids);

    /// @brief Makes due calls. reports are the latest ones of the live nodes; holder is set while this node holds
    /// the lease. isSuccessorAfterRestore tells whether another node held it before the last restore of the platform,
    /// and none between.
    void onTick(
        const LiveReports& reports, std::optional<FencedHolder> holder, bool isSuccessorAfterRestore, Instant now);
    void onPlatformRestored(Instant now);
    bool awaits(ObjectCallId id) const { return this->objectCalls.contains(id); }
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
        /// True if the window may have been reported already, with counts that are not known.
        bool isDoubtful = false;
        WorkspaceCounts counts;
        Instant nextAttempt {};
    };

    /// @brief Forgets what another holder may have changed since this node held the lease.
    void onAcquired(bool isSuccessorAfterRestore, std::int64_t currentWindow);
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
    std::map<std::int64_t, Window> windows;
    std::map<ObjectCallId, std::int64_t> objectCalls;
    std::map<std::uint64_t, std::int64_t> cloudCalls;
    /// Last window that was reported, or that is too old to be reported.
    std::optional<std::int64_t> lastClosed;
    bool wasHolder = false;
    /// Window in which this node noticed the last restore of the platform.
    std::optional<std::int64_t> restoredWindow;
    /// Windows before this one may have been reported by a holder before the restore.
    std::int64_t firstCertainWindow = 0;
};

} // namespace teaselshore
