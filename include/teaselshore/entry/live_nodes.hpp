#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Reports that LiveNodes keeps; valid until it reads further ones. They are not copied, since those of hundreds
/// of nodes are megabytes.
using LiveReports = std::vector<std::reference_wrapper<const NodeReport>>;

/// @brief Tracks which nodes are live by their reports at the platform. Not thread-safe.
///
/// A node is live while its report changes. The clocks of hosts are not compared.
class LiveNodes {
public:
    /// @brief A node whose report has not changed for the timeout is no longer live.
    LiveNodes(std::string self, Duration silenceTimeout);

    void onReports(std::vector<NodeReport> reports, Instant now);
    /// @brief Returns the sorted hosts of the live nodes, including this one.
    std::vector<std::string> hosts(Instant now) const;
    /// @brief Returns the sorted hosts whose report changed within the given time, including this one.
    std::vector<std::string> hostsReportedWithin(Duration time, Instant now) const;
    /// @brief Decodes the details of the live nodes' reports, for the node that needs them. Returns the number of those
    /// that are malformed.
    std::size_t decodeDetails(Instant now);
    /// @brief Returns the latest reports of the live nodes, without their details unless those were decoded.
    LiveReports reports(Instant now) const;
    /// @brief Returns this node's rank among the live ones for a task, starting at 0 (rendezvous hashing).
    ///
    /// The order is the same at all nodes that know the same hosts, and differs between tasks.
    std::size_t rank(std::string_view task, Instant now) const;
    /// @brief Returns true once reports have been read.
    bool hasReports() const { return this->reportsRead; }

private:
    struct NodeEntry {
        NodeReport report;
        Instant changedAt {};
    };

    std::string self;
    Duration silenceTimeout;
    std::map<std::string, NodeEntry> entries;
    bool reportsRead = false;
};

} // namespace teaselshore
