#include "teaselshore/entry/quota_limiter.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace teaselshore {

namespace {

    /// Part of the tolerated excess that is used; the rest covers late starts of requests at upstreams.
    constexpr double usedTolerance = 0.5;

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
        bucket.updated = now;
    }
    std::erase_if(this->buckets, [&limited](const auto& entry) { return !limited.contains(entry.first); });
}

void QuotaLimiter::setShare(const WorkspaceName& workspace, double share, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return;
    this->refill(found->second, now);
    found->second.share = share;
    found->second.level = std::min(found->second.level, this->capacity(found->second));
}

double QuotaLimiter::cost(const WorkspaceQuota& quota, std::optional<double> tokens)
{
    return quota.unit == QuotaUnit::Tokens ? tokens.value_or(quota.defaultTokens) : 1;
}

std::optional<Duration> QuotaLimiter::take(const WorkspaceName& workspace, double amount, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return std::nullopt;
    Bucket& bucket = found->second;
    this->refill(bucket, now);
    bucket.asked += amount;
    // A request larger than the bucket is let through once the bucket is full, since it could never run otherwise.
    const double needed = std::min(amount, this->capacity(bucket));
    if (bucket.level < needed)
        return fromSeconds((needed - bucket.level) / (bucket.share * bucket.quota.perSecond));
    bucket.level -= amount;
    return std::nullopt;
}

std::map<WorkspaceName, double> QuotaLimiter::takeDemand(Instant now)
{
    std::map<WorkspaceName, double> demand;
    const double seconds = std::max(0.1, toSeconds(now - this->demandSince));
    for (auto& [workspace, bucket] : this->buckets)
        demand[workspace] = std::exchange(bucket.asked, 0) / seconds;
    this->demandSince = now;
    return demand;
}

void QuotaLimiter::giveBack(const WorkspaceName& workspace, double amount)
{
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end())
        found->second.level = std::min(found->second.level + amount, this->capacity(found->second));
}

double QuotaLimiter::capacity(const Bucket& bucket) const
{
    // Over any window, all nodes together may let pass the bucket's capacity plus what flows in meanwhile.
    const double allowed = bucket.quota.perSecond * toSeconds(this->tolerance.window) + bucket.quota.burst;
    const double extra = usedTolerance * (allowed * this->tolerance.excess + this->tolerance.slack);
    return bucket.share * (bucket.quota.burst + extra);
}

void QuotaLimiter::refill(Bucket& bucket, Instant now) const
{
    const double inflow = toSeconds(now - bucket.updated) * bucket.quota.perSecond * bucket.share;
    bucket.level = std::min(bucket.level + inflow, this->capacity(bucket));
    bucket.updated = now;
}

} // namespace teaselshore
