#pragma once

#include <cstdint>
#include <map>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Number of requests by workspace.
using WorkspaceCounts = std::map<WorkspaceName, std::uint64_t>;

/// @brief Counts started requests by window of wall clock time and by workspace. Not thread-safe.
class UsageLedger {
public:
    explicit UsageLedger(Duration window);

    /// @brief Returns the number of the window that contains a time since the Unix epoch.
    std::int64_t windowAt(Duration sinceEpoch) const { return sinceEpoch / this->window; }
    void onStarted(const WorkspaceName& workspace, Duration sinceEpoch);
    /// @brief Adds the counts of an earlier process.
    void merge(const std::map<std::int64_t, WorkspaceCounts>& earlier);
    /// @brief Drops the windows before the given one.
    void dropBefore(std::int64_t window);
    const std::map<std::int64_t, WorkspaceCounts>& windows() const { return this->counts; }

private:
    Duration window;
    std::map<std::int64_t, WorkspaceCounts> counts;
};

} // namespace teaselshore
