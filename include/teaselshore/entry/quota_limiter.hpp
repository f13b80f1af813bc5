#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_configuration.hpp"

namespace teaselshore {

/// @brief This node's part of the workspaces' quotas.
///
/// Each node keeps to a token bucket that is its share of the quota, so that the sum over all nodes holds without a
/// message per request. The shares of all nodes must not add up to more than 1. Not thread-safe.
class QuotaLimiter {
public:
    explicit QuotaLimiter(QuotaTolerance tolerance);

    /// @brief Takes over the quotas. A lowered quota applies to what is left in the bucket, too.
    void onWorkspaces(const std::vector<EntryWorkspace>& workspaces, Instant now);
    /// @brief Sets this node's part of all quotas, in (0, 1]. Until set, the node has a part of 0.01.
    void setShare(const WorkspaceName& workspace, double share, Instant now);
    /// @brief Returns the amount that a request counts for.
    static double cost(const WorkspaceQuota& quota, std::optional<double> tokens);
    /// @brief Takes the amount; returns the time until it will be available if it is not.
    std::optional<Duration> take(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Returns the amount per second that was asked for since the last call, by workspace.
    std::map<WorkspaceName, double> takeDemand(Instant now);
    /// @brief Returns an amount that was taken for a request that did not run.
    void giveBack(const WorkspaceName& workspace, double amount);

private:
    struct Bucket {
        WorkspaceQuota quota;
        double share = initialShare;
        double level = 0;
        Instant updated {};
        /// Amount asked for since demandSince.
        double asked = 0;
    };

    /// Enough for some requests before the other nodes are known, and safe with up to 100 nodes.
    static constexpr double initialShare = 0.01;

    double capacity(const Bucket& bucket) const;
    void refill(Bucket& bucket, Instant now) const;

    QuotaTolerance tolerance;
    std::map<WorkspaceName, Bucket> buckets;
    Instant demandSince {};
};

} // namespace teaselshore
