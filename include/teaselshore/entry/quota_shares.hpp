#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Inputs of one node's shares of the quotas.
struct QuotaShareInput {
    /// Host of the node.
    std::string self;
    /// Number of nodes that live, those included that could not report lately.
    std::size_t liveNodes = 1;
    /// Last reports of the live nodes.
    std::vector<NodeReport> reports;
    /// Usage window whose end began this round of reports.
    std::int64_t window = 0;
};

/// @brief Returns this node's share of each workspace's quota, in [0, 1]; of all quotas if it cannot be told apart.
///
/// A node whose report of the round is missing, as seen by the others, keeps the equal share that it falls back to by
/// itself, and the others share the rest: a part equally, a part by what their callers asked for. So the shares of all
/// nodes add up to 1 at most, also while some are cut off from the platform. Pure.
std::map<WorkspaceName, double> quotaShares(const QuotaShareInput& input, const std::vector<WorkspaceName>& workspaces);

} // namespace teaselshore
