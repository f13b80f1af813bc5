#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_configuration.hpp"

namespace teaselshore {

/// @brief Why a QuotaLimiter did not let a request pass.
struct QuotaShortage {
    double missing = 0;
    /// Most that this node's share can hold.
    double capacity = 0;
    /// Time until this node's share will cover the request.
    Duration shareWait {};
    /// Time until the shares of all nodes together have grown by what is missing.
    Duration quotaWait {};

    auto operator<=>(const QuotaShortage&) const = default;
};

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
    void setShare(double share, Instant now);
    /// @brief Returns the amount that a request counts for.
    static double cost(const WorkspaceQuota& quota, std::optional<double> tokens);
    /// @brief Takes the amount, of which a part may be borrowed from peers; returns what is missing if it is too
    /// little. What was borrowed stays with the caller then.
    ///
    /// If it suffices, what was borrowed and is not used goes into the share.
    std::optional<QuotaShortage> take(
        const WorkspaceName& workspace, double amount, Instant now, std::optional<double> borrowed = std::nullopt);
    /// @brief Takes the amount for another run of a request, also if it is more than what is left.
    void charge(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Gives up a part of what is left of the share, for a peer. Returns the amount, at most the asked one.
    double lend(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Returns an amount that was taken for a request that did not run, or lent and not needed.
    void giveBack(const WorkspaceName& workspace, double amount);

private:
    struct Bucket {
        WorkspaceQuota quota;
        double level = 0;
        Instant updated {};
    };

    /// Enough for some requests before the other nodes are known, and safe with up to 100 nodes.
    static constexpr double initialShare = 0.01;

    /// @brief Returns by how much the quota may be exceeded within a window.
    double tolerated(const Bucket& bucket) const;
    double capacity(const Bucket& bucket) const;
    /// @brief Returns the amount per second that all nodes together get.
    double inflow(const Bucket& bucket) const;
    void refill(Bucket& bucket, Instant now) const;

    QuotaTolerance tolerance;
    double share = initialShare;
    std::map<WorkspaceName, Bucket> buckets;
};

} // namespace teaselshore
