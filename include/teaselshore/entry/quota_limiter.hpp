#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_configuration.hpp"

namespace teaselshore {

/// @brief Amount that a QuotaLimiter lacked for a request, and the time until it is available.
struct QuotaShortage {
    double missing = 0;
    /// Maximum level of this node's share.
    double capacity = 0;
    /// Time until this node's share will cover the request.
    Duration shareWait {};
    /// Time until the shares of all nodes together have grown by the missing amount.
    Duration quotaWait {};

    auto operator<=>(const QuotaShortage&) const = default;
};

/// @brief Enforces this node's share of the workspaces' quotas.
///
/// Each node has a token bucket sized by its share of the quota, so that the quota holds over all nodes without a
/// message per request. The shares of all nodes must not add up to more than 1. Not thread-safe.
class QuotaLimiter {
public:
    explicit QuotaLimiter(QuotaTolerance tolerance);

    /// @brief Applies the configured quotas. A lowered quota also caps the present level of the bucket.
    void onWorkspaces(const std::vector<EntryWorkspace>& workspaces, Instant now);
    /// @brief Sets this node's share of all quotas, in (0, 1]. Until set, the share is 0.01.
    void setShare(double share, Instant now);
    /// @brief Returns the amount that a request counts for.
    static double cost(const WorkspaceQuota& quota, std::optional<double> tokens);
    /// @brief Deducts the amount, less what was borrowed from peers; returns the shortage if the share is too small.
    ///
    /// On success, borrowed quota beyond the amount is added to the share. On a shortage the caller keeps it.
    std::optional<QuotaShortage> take(
        const WorkspaceName& workspace, double amount, Instant now, std::optional<double> borrowed = std::nullopt);
    /// @brief Deducts the amount for another run of a request even if the level becomes negative.
    void charge(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Deducts a fraction of the remaining share for a peer. Returns the lent amount, at most the asked one.
    double lend(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Adds back an amount that was taken for a request that did not run, or lent and not needed.
    void refund(const WorkspaceName& workspace, double amount);

private:
    struct Bucket {
        WorkspaceQuota quota;
        double level = 0;
        Instant updatedAt {};
    };

    /// Allows some requests before the other nodes are known. The shares of up to 100 nodes then add up to at most 1.
    static constexpr double initialShare = 0.01;

    /// @brief Returns by how much the quota may be exceeded within a window.
    double toleratedExcess(const Bucket& bucket) const;
    double capacity(const Bucket& bucket) const;
    /// @brief Returns the refill rate of all nodes together, per second.
    double refillRate(const Bucket& bucket) const;
    void refill(Bucket& bucket, Instant now) const;

    QuotaTolerance tolerance;
    double share = initialShare;
    std::map<WorkspaceName, Bucket> buckets;
};

} // namespace teaselshore
