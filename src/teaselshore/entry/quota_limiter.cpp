#include "teaselshore/entry/quota_limiter.hpp"

#include <algorithm>
#include <cmath>
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
    /// Maximum fraction of the remaining share that is kept for requests of this node.
    constexpr double maxKeptFraction = 0.2;
    /// Maximum part of its share that a node lends with its refill. The rest serves it while it can't reach the
    /// borrower.
    constexpr double maxLentShare = 0.9;
    /// Multiple of its recent demand that a node keeps of its share.
    constexpr double ownDemandFactor = 2.5;
    /// Time over which the rate of admitted requests is averaged.
    constexpr Duration rateTime = std::chrono::seconds(1);
    /// Requests of this time count as the next ones: more would be withheld from peers longer than a loan takes.
    constexpr Duration demandTime = std::chrono::milliseconds(250);

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
        this->updateShare(bucket, now);
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
    for (auto& [workspace, bucket] : this->buckets) {
        this->updateShare(bucket, now);
        bucket.level = std::min(bucket.level, this->capacity(bucket));
    }
}

double QuotaLimiter::cost(const WorkspaceQuota& quota, std::optional<double> tokens)
{
    return quota.unit == QuotaUnit::Tokens ? tokens.value_or(quota.defaultTokens) : 1;
}

QuotaLimiter::Bucket* QuotaLimiter::findRefilled(const WorkspaceName& workspace, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return nullptr;
    this->refill(found->second, now);
    return &found->second;
}

std::optional<QuotaShortage> QuotaLimiter::take(
    const WorkspaceName& workspace, double amount, Instant now, std::optional<double> borrowed)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket)
        return std::nullopt;
    const double capacity = this->capacity(*bucket);
    const double ownAmount = amount - borrowed.value_or(0);
    // A request larger than the shares of all nodes together is admitted once this node's share is full; otherwise it
    // could never run.
    const double needed = amount > this->totalCapacity(*bucket) ? std::min(ownAmount, capacity) : ownAmount;
    if (bucket->level >= needed) {
        bucket->level = std::min(bucket->level - ownAmount, capacity);
        bucket->admittedRate += amount / toSeconds(rateTime);
        return std::nullopt;
    }
    const double missing = needed - bucket->level;
    return QuotaShortage { missing, capacity, fromSeconds(missing / (bucket->share * this->refillRate(*bucket))),
        fromSeconds(missing / this->refillRate(*bucket)), this->expectedDemand(*bucket) };
}

void QuotaLimiter::charge(const WorkspaceName& workspace, double amount, Instant now)
{
    if (Bucket* const bucket = this->findRefilled(workspace, now))
        bucket->level -= amount;
}

std::optional<double> QuotaLimiter::totalCapacity(const WorkspaceName& workspace) const
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return std::nullopt;
    return this->totalCapacity(found->second);
}

double QuotaLimiter::reserve(const WorkspaceName& workspace, double amount, Instant now)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket || bucket->level <= 0 || amount > this->totalCapacity(*bucket))
        return 0;
    return std::exchange(bucket->level, 0);
}

double QuotaLimiter::lend(const WorkspaceName& workspace, double amount, Instant now)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket)
        return 0;
    const double lent = std::clamp(amount, 0.0, this->lendable(*bucket));
    bucket->level -= lent;
    return lent;
}

double QuotaLimiter::lendable(const WorkspaceName& workspace, Instant now)
{
    const Bucket* const bucket = this->findRefilled(workspace, now);
    return bucket ? this->lendable(*bucket) : 0;
}

double QuotaLimiter::lendable(const Bucket& bucket) const
{
    const double kept = std::min(bucket.level * maxKeptFraction, this->expectedDemand(bucket));
    return std::max(0.0, bucket.level - kept);
}

double QuotaLimiter::keepSurplus(const WorkspaceName& workspace, double amount, Instant now)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket)
        return amount;
    const double kept = std::clamp(this->expectedDemand(*bucket) - bucket->level, 0.0, amount);
    bucket->level += kept;
    return amount - kept;
}

Duration QuotaLimiter::waitAfterRejected(
    const WorkspaceName& workspace, const QuotaShortage& shortage, bool hasPeers, Instant now)
{
    const Duration wait = hasPeers ? shortage.quotaWait : shortage.shareWait;
    const Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket || bucket->backlog <= 0)
        return wait;
    // The backlog is admitted at the rate at which this node has admitted requests, which includes what peers lend.
    const double rate = std::max(bucket->admittedRate, bucket->share * this->refillRate(*bucket));
    return std::max(wait, std::min(fromSeconds((bucket->backlog + shortage.missing) / rate), this->tolerance.window));
}

void QuotaLimiter::onRejected(const WorkspaceName& workspace, double amount, Instant now)
{
    if (Bucket* const bucket = this->findRefilled(workspace, now))
        bucket->backlog += amount;
}

double QuotaLimiter::expectedDemand(const Bucket& bucket) const
{
    return std::min(bucket.admittedRate * toSeconds(demandTime), this->capacity(bucket));
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

double QuotaLimiter::totalCapacity(const Bucket& bucket) const
{
    // Within any window, all nodes together admit at most their capacity plus the refill during the window.
    const double slack = this->tolerance.slack;
    const double extra = burstSlackFraction * slack + burstExcessFraction * (this->toleratedExcess(bucket) - slack);
    return bucket.quota.burst + extra;
}

double QuotaLimiter::lendShare(const WorkspaceName& workspace, const std::string& borrower, Duration time, Instant now)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket || (bucket->lent.share > 0 && bucket->lent.peer != borrower))
        return 0;
    const double needed = ownDemandFactor * bucket->admittedRate / this->refillRate(*bucket);
    const double spare = std::clamp(this->share - needed, 0.0, maxLentShare * this->share);
    // The peer may not get the answer, and would then use what it had until the end of the earlier loan.
    bucket->lent = { borrower, std::max(spare, bucket->lent.share), now + time };
    this->updateShare(*bucket, now);
    return bucket->lent.share;
}

void QuotaLimiter::addShare(
    const WorkspaceName& workspace, const std::string& lender, double share, Instant until, double amount, Instant now)
{
    Bucket* const bucket = this->findRefilled(workspace, now);
    if (!bucket)
        return;
    std::erase_if(bucket->borrowed, [&lender](const ShareLoan& loan) { return loan.peer == lender; });
    bucket->borrowed.push_back({ lender, share, until });
    this->updateShare(*bucket, now);
    bucket->level = std::min(bucket->level + amount, this->capacity(*bucket));
}

void QuotaLimiter::updateShare(Bucket& bucket, Instant now) const
{
    if (bucket.lent.until <= now)
        bucket.lent = {};
    std::erase_if(bucket.borrowed, [now](const ShareLoan& loan) { return loan.until <= now; });
    bucket.share = std::max(0.0, this->share - bucket.lent.share);
    for (const ShareLoan& loan : bucket.borrowed)
        bucket.share += loan.share;
}

double QuotaLimiter::refillRate(const Bucket& bucket) const
{
    return bucket.quota.perSecond + rateSlackFraction * this->tolerance.slack / toSeconds(this->tolerance.window);
}

void QuotaLimiter::refill(Bucket& bucket, Instant now) const
{
    const double elapsed = toSeconds(now - bucket.updatedAt);
    // A loan of a share that has ended since then counts for neither of its nodes during this time.
    const double shareBefore = bucket.share;
    this->updateShare(bucket, now);
    const double added = elapsed * this->refillRate(bucket) * std::min(shareBefore, bucket.share);
    bucket.level = std::min(bucket.level + added, this->capacity(bucket));
    bucket.backlog = std::max(0.0, bucket.backlog - std::max(added, elapsed * bucket.admittedRate));
    bucket.admittedRate *= std::exp(-elapsed / toSeconds(rateTime));
    bucket.updatedAt = now;
}

} // namespace teaselshore
