#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Reports the usage of each window once, on behalf of all nodes. Runs at the node that holds the lease.
///
/// The counts of a window are first stored at the platform, where only the first writer succeeds. What is sent is what
/// is stored, so that two holders never send different counts for one window. Not thread-safe.
class UsageReporter {
public:
    UsageReporter(EntryState& state, ObjectCallIds& ids);

    /// @brief Makes due calls. reports are the last ones of the live nodes; token is set while the lease is held.
    void onTick(const std::vector<NodeReport>& reports, std::optional<FencedHolder> by, Instant now);
    bool awaits(ObjectCallId id) const { return this->calls.contains(id); }
    void onObjectResult(const ObjectResult& result, Instant now);
    bool awaitsCloudCall(std::uint64_t call) const { return this->cloudCalls.contains(call); }
    /// @brief Handles the outcome of a SendUsage; returns false if a newer holder was seen.
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
        Instant nextTry {};
    };

    void advance(std::int64_t number, Window& window, const std::vector<NodeReport>& reports, const FencedHolder& by,
        Duration calendar);
    bool isComplete(std::int64_t number, const std::vector<NodeReport>& reports) const;
    WorkspaceCounts sum(std::int64_t number, const std::vector<NodeReport>& reports) const;
    void store(std::int64_t number, Window& window);
    void read(std::int64_t number, Window& window);
    void send(std::int64_t number, Window& window, const FencedHolder& by);

    EntryState& state;
    ObjectCallIds& ids;
    std::map<std::int64_t, Window> windows;
    std::map<ObjectCallId, std::int64_t> calls;
    std::map<std::uint64_t, std::int64_t> cloudCalls;
    /// Windows up to this one are done or out of reach.
    std::optional<std::int64_t> lastDone;
};

} // namespace teaselshore
