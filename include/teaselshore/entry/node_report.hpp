#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/control/version_evidence.hpp"
#include "teaselshore/entry/limit_statement.hpp"
#include "teaselshore/entry/usage_ledger.hpp"
#include "teaselshore/reliability/crash_history.hpp"

namespace teaselshore {

/// @brief Recent request rates of one service at one node.
struct ServiceDemand {
    double requestsPerSecond = 0;
    /// Prompt tokens that upstreams had not cached, as far as this node knows their caches.
    double promptTokensPerSecond = 0;
    /// Requests refused for lack of capacity.
    double refusedPerSecond = 0;

    auto operator<=>(const ServiceDemand&) const = default;
};

/// @brief Report that a node shares through the platform: a heartbeat, its usage, demand and rollout evidence.
struct NodeReport {
    /// Name of the host, which is also the name of the object at the platform.
    std::string host;
    NodeId process;
    /// Address at which the node accepts connections of peers; empty if it does not accept any.
    std::string peerAddress;
    /// Address at which the node takes requests of peers; empty if it does not take any.
    std::string relayAddress;
    /// Increases with each report of the process.
    std::uint64_t number = 0;
    /// Number of the last usage window that had ended when the report was written.
    std::int64_t completeWindow = 0;
    /// Details, which only the node needs that runs the tasks of the fleet: usage, demand and versions.
    std::map<std::int64_t, WorkspaceCounts> usage;
    std::map<ServiceName, ServiceDemand> demand;
    /// Outcomes of attempts by version, for running rollouts.
    std::vector<VersionReport> versions;
    /// Upstream crashes, each with a request that is suspected of causing it.
    std::vector<RequestCrash> crashes;
    /// Limits of upstreams, for nodes that start.
    std::vector<LimitStatement> limits;
    /// The details as they arrived, until they are decoded.
    std::optional<std::string> encodedDetails;

    auto operator<=>(const NodeReport&) const = default;

    /// @brief Encodes as a line of JSON with what all nodes need of each other, and one with the details, which are
    /// most of the bytes.
    std::string encode() const;
    /// @brief Decodes a report; returns nothing if the text is not a valid one.
    static std::optional<NodeReport> decode(std::string_view text);
    /// @brief Decodes a report without its details, which decodeDetails() adds.
    static std::optional<NodeReport> decodeHead(std::string_view text);
    /// @brief Decodes the details if that was not done yet. Returns false, and leaves them empty, if they are
    /// malformed.
    bool decodeDetails();
};

} // namespace teaselshore
