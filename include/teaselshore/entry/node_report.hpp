#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/name.hpp"
#include "teaselshore/entry/usage_ledger.hpp"

namespace teaselshore {

/// @brief Responses of one version of a service, as one node saw them.
struct VersionTally {
    std::uint64_t responses = 0;
    /// Responses with a server error, and attempts that broke off.
    std::uint64_t failures = 0;
    /// Sum of the times to the response or to the first event, milliseconds.
    double totalMilliseconds = 0;

    auto operator<=>(const VersionTally&) const = default;
};

/// @brief Requests for one service that one node got lately.
struct ServiceDemand {
    double requestsPerSecond = 0;
    /// Prompt tokens that no upstream had in memory, as far as this node knows.
    double promptTokensPerSecond = 0;
    /// Mean number of requests of this node that run at upstreams.
    double running = 0;
    /// Requests refused for lack of room.
    double refusedPerSecond = 0;

    auto operator<=>(const ServiceDemand&) const = default;
};

/// @brief What a node tells the others through the platform: that it lives, its usage and its demand.
struct NodeReport {
    /// Name of the host; the object's name.
    std::string host;
    NodeId process;
    /// Grows with each report of the process.
    std::uint64_t number = 0;
    /// Number of the last usage window that had ended when the report was written.
    std::int64_t completeWindow = 0;
    std::map<std::int64_t, WorkspaceCounts> usage;
    /// Quota units per second that callers asked for, by workspace.
    std::map<WorkspaceName, double> quotaDemand;
    std::map<ServiceName, ServiceDemand> demand;
    std::map<ServiceName, std::map<VersionName, VersionTally>> versions;

    auto operator<=>(const NodeReport&) const = default;

    /// @brief Encodes as JSON.
    std::string encode() const;
    /// @brief Decodes; nothing if the text is no report.
    static std::optional<NodeReport> decode(std::string_view text);
};

} // namespace teaselshore
