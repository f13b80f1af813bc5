#include "teaselshore/entry/quota_limiter.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace teaselshore {

namespace {

    /// Fractions of the tolerated slack that are granted: as burst, and spread over the window. Refusing what the
    /// tolerance allows has no benefit; the remainder covers late starts of requests at upstreams.
    constexpr double burstSlackFraction = 0.35;
    constexpr double rateSlackFraction = 0.4;
    /// Fraction of the tolerated excess in proportion to the quota that is granted as burst. With 0.75, a workspace
    /// with a large quota exceeded its limit by 0.5% under the heaviest load of a large deployment.
    constexpr double burstExcessFraction = 0.25;
    /// Fraction of the remaining share that may be lent; the rest is for small requests of this node.
    constexpr double lendableFraction = 0.8;

} // namespace

QuotaLimiter::QuotaLimiter(QuotaTolerance tolerance)
    : tolerance(tolerance)
{
}

void QuotaLimiter::onWorkspaces(const std::vector<EntryWorkspace>& workspaces, Instant now)
{
    std::set<WorkspaceName> limited;
    for (const EntryWorkspace& workspace : workspaces) {
        if (!workspace.quota)
            continue;
        limited.insert(workspace.name);
        const auto [entry, added] = this->buckets.try_emplace(workspace.name);
        Bucket& bucket = entry->second;
        if (!added)
            this->refill(bucket, now);
        bucket.quota = *workspace.quota;
        bucket.level = added ? this->capacity(bucket) : std::min(bucket.level, this->capacity(bucket));
        bucket.updatedAt = now;
    }
    std::erase_if(this->buckets, [&limited](const auto& entry) { return !limited.contains(entry.first); });
}

void QuotaLimiter::setShare(double share, Instant now)
{
    for (auto& [workspace, bucket] : this->buckets)
        this->refill(bucket, now);
    this->share = share;
    for (auto& [workspace, bucket] : this->buckets)
        bucket.level = std::min(bucket.level, this->capacity(bucket));
}

double QuotaLimiter::cost(const WorkspaceQuota& quota, std::optional<double> tokens)
{
    return quota.unit == QuotaUnit::Tokens ? tokens.value_or(quota.defaultTokens) : 1;
}

std::optional<QuotaShortage> QuotaLimiter::take(
    const WorkspaceName& workspace, double amount, Instant now, std::optional<double> borrowed)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return std::nullopt;
    Bucket& bucket = found->second;
    this->refill(bucket, now);
    const double capacity = this->capacity(bucket);
    const double ownAmount = amount - borrowed.value_or(0);
    // A request larger than the shares of all nodes together is admitted once this node's share is full; otherwise it
    // could never run.
    const double needed = amount > capacity / this->share ? std::min(ownAmount, capacity) : ownAmount;
    if (bucket.level >= needed) {
        bucket.level = std::min(bucket.level - ownAmount, capacity);
        return std::nullopt;
    }
    const double missing = needed - bucket.level;
    return QuotaShortage { missing, capacity, fromSeconds(missing / (this->share * this->refillRate(bucket))),
        fromSeconds(missing / this->refillRate(bucket)) };
}

void QuotaLimiter::charge(const WorkspaceName& workspace, double amount, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return;
    this->refill(found->second, now);
    found->second.level -= amount;
}

double QuotaLimiter::lend(const WorkspaceName& workspace, double amount, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return 0;
    Bucket& bucket = found->second;
    this->refill(bucket, now);
    const double lent = std::clamp(bucket.level * lendableFraction, 0.0, std::max(0.0, amount));
    bucket.level -= lent;
    return lent;
}

void QuotaLimiter::refund(const WorkspaceName& workspace, double amount)
{
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end())
        found->second.level = std::min(found->second.level + amount, this->capacity(found->second));
}

double QuotaLimiter::toleratedExcess(const Bucket& bucket) const
{
    const double allowed = bucket.quota.perSecond * toSeconds(this->tolerance.window) + bucket.quota.burst;
    return allowed * this->tolerance.excess + this->tolerance.slack;
}

double QuotaLimiter::capacity(const Bucket& bucket) const
{
    // Within any window, all nodes together admit at most their capacity plus the refill during the window.
    const double slack = this->tolerance.slack;
    const double extra = burstSlackFraction * slack + burstExcessFraction * (this->toleratedExcess(bucket) - slack);
    return this->share * (bucket.quota.burst + extra);
}

double QuotaLimiter::refillRate(const Bucket& bucket) const
{
    return bucket.quota.perSecond + rateSlackFraction * this->tolerance.slack / toSeconds(this->tolerance.window);
}

void QuotaLimiter::refill(Bucket& bucket, Instant now) const
{
    const double added = toSeconds(now - bucket.updatedAt) * this->refillRate(bucket) * this->share;
    bucket.level = std::min(bucket.level + added, this->capacity(bucket));
    bucket.updatedAt = now;
}

} // namespace teaselshore
