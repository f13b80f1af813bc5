#pragma once

#include <map>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Nodes that live, judged by their reports at the platform. Not thread-safe.
///
/// A node lives while its report changes. Clocks of hosts are not compared.
class LiveNodes {
public:
    /// @brief A node whose report did not change for the time is gone.
    LiveNodes(std::string self, Duration silence);

    void onReports(const std::vector<NodeReport>& reports, Instant now);
    /// @brief Returns the hosts of the live nodes, this one included, in order.
    std::vector<std::string> hosts(Instant now) const;
    /// @brief Returns the number of hosts whose report changed within the time, this one included.
    std::size_t countWithin(Duration time, Instant now) const;
    /// @brief Returns the last reports of the live nodes.
    std::vector<NodeReport> reports(Instant now) const;
    /// @brief Returns this node's place among the live ones for a task, 0 for the first.
    ///
    /// The order is the same at all nodes that know the same hosts, and differs between tasks.
    std::size_t rank(std::string_view task, Instant now) const;
    /// @brief True once reports were read.
    bool isKnown() const { return this->known; }

private:
    struct Entry {
        NodeReport report;
        Instant changedAt {};
    };

    std::string self;
    Duration silence;
    std::map<std::string, Entry> entries;
    bool known = false;
};

} // namespace teaselshore
