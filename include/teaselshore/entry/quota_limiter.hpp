#pragma once

#include <map>
#include <optional>
#include <string>
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
    /// What the next requests of this node are expected to need beyond its own refill.
    double expectedDemand = 0;

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
    /// @brief Returns the sum of the maximum levels of all nodes' shares; nothing without a quota.
    std::optional<double> totalCapacity(const WorkspaceName& workspace) const;
    /// @brief Deducts what is left of the share for a request that waits for a loan, and returns it.
    ///
    /// Otherwise, requests that borrow at the same time would all count on the same remainder. Nothing is deducted for
    /// an amount larger than the shares of all nodes together, which needs a full share.
    double reserve(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Deducts an amount for a peer. Returns the lent amount, at most the asked one; see lendable().
    double lend(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Returns the amount that peers may have: what is left of the share without what this node is about to use.
    double lendable(const WorkspaceName& workspace, Instant now);
    /// @brief Adds unused quota that was borrowed to the share, up to what this node is about to use. Returns the rest,
    /// which must go back to the lender.
    double keepSurplus(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Returns the time until the quota of all nodes covers a rejected request, after those that were rejected
    /// before it.
    Duration waitAfterRejected(
        const WorkspaceName& workspace, const QuotaShortage& shortage, bool hasPeers, Instant now);
    /// @brief Records a rejection, behind which the next rejected requests wait.
    void onRejected(const WorkspaceName& workspace, double amount, Instant now);
    /// @brief Lends the part of the share that this node does not need itself to a peer, until now + time. Returns the
    /// part of the whole quota. A peer gets 0 while another one has it.
    double lendShare(const WorkspaceName& workspace, const std::string& borrower, Duration time, Instant now);
    /// @brief Adds a part of the quota that a peer has lent until the given time, and the amount that it has lent.
    void addShare(const WorkspaceName& workspace, const std::string& lender, double share, Instant until, double amount,
        Instant now);
    /// @brief Adds back an amount that was taken for a request that did not run, or lent and not needed.
    void refund(const WorkspaceName& workspace, double amount);

private:
    /// Part of the quota that a peer uses in place of this node, or the other way round.
    struct ShareLoan {
        std::string peer;
        double share = 0;
        Instant until {};
    };

    struct Bucket {
        WorkspaceQuota quota;
        double level = 0;
        Instant updatedAt {};
        /// Recent mean of the amount that this node admits per second, including borrowed quota.
        double admittedRate = 0;
        /// Cost of the rejected requests, less what would have been admitted since.
        double backlog = 0;
        /// Part of this node's share that a peer uses.
        ShareLoan lent;
        std::vector<ShareLoan> borrowed;
        /// Part of the quota that this node uses; kept up to date by refill().
        double share = 0;
    };

    /// Allows some requests before the other nodes are known. The shares of up to 100 nodes then add up to at most 1.
    static constexpr double initialShare = 0.01;

    /// @brief Returns by how much the quota may be exceeded within a window.
    double toleratedExcess(const Bucket& bucket) const;
    /// @brief Returns the capacity of the buckets of all nodes together.
    double totalCapacity(const Bucket& bucket) const;
    double capacity(const Bucket& bucket) const { return bucket.share * this->totalCapacity(bucket); }
    /// @brief Drops ended loans of shares and sets the part of the quota that this node uses.
    void updateShare(Bucket& bucket, Instant now) const;
    /// @brief Returns the refill rate of all nodes together, per second.
    double refillRate(const Bucket& bucket) const;
    void refill(Bucket& bucket, Instant now) const;
    /// @brief Returns what this node is about to use, at most its capacity.
    double expectedDemand(const Bucket& bucket) const;
    /// @brief Returns the refilled bucket; null without a quota.
    Bucket* findRefilled(const WorkspaceName& workspace, Instant now);
    double lendable(const Bucket& bucket) const;

    QuotaTolerance tolerance;
    double share = initialShare;
    std::map<WorkspaceName, Bucket> buckets;
};

} // namespace teaselshore
