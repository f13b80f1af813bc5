#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/control/version_evidence.hpp"
#include "teaselshore/entry/usage_ledger.hpp"
#include "teaselshore/reliability/crash_history.hpp"

namespace teaselshore {

/// @brief Requests for one service that one node got lately.
struct ServiceDemand {
    double requestsPerSecond = 0;
    /// Prompt tokens that upstreams had to read, as far as this node knows what they keep in memory.
    double promptTokensPerSecond = 0;
    /// Requests refused for lack of room.
    double refusedPerSecond = 0;

    auto operator<=>(const ServiceDemand&) const = default;
};

/// @brief What a node tells the others through the platform: that it lives, its usage and its demand.
struct NodeReport {
    /// Name of the host; the object's name.
    std::string host;
    NodeId process;
    /// Address at which the node listens for its peers; empty if it does not.
    std::string peerAddress;
    /// Grows with each report of the process.
    std::uint64_t number = 0;
    /// Number of the last usage window that had ended when the report was written.
    std::int64_t completeWindow = 0;
    std::map<std::int64_t, WorkspaceCounts> usage;
    std::map<ServiceName, ServiceDemand> demand;
    /// Outcomes of the versions of running rollouts.
    std::vector<VersionReport> versions;
    /// Crashes of requests that may crash their upstreams.
    std::vector<RequestCrash> crashes;

    auto operator<=>(const NodeReport&) const = default;

    /// @brief Encodes as JSON.
    std::string encode() const;
    /// @brief Decodes; nothing if the text is no report.
    static std::optional<NodeReport> decode(std::string_view text);
};

} // namespace teaselshore
