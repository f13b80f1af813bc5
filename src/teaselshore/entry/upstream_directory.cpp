#include "teaselshore/entry/upstream_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace teaselshore {

namespace {

    /// Time after the platform's return within which upstreams whose entries expired register again.
    constexpr Duration reregistrationTime = std::chrono::seconds(2);
    /// Time until this node has learnt of that: a pause between two reads and the answer.
    constexpr Duration learningTime = std::chrono::milliseconds(350);
    /// The platform removes an entry after three renewals are missing; the last one may have come up to one period
    /// before the outage.
    constexpr int missingRenewals = 2;
    /// Time after a restore until the entries of processes that had ended have expired again: upstreams renew theirs
    /// about every second, and the platform removes them after three missing renewals.
    constexpr Duration copyExpiry = std::chrono::seconds(5);
    /// Time for which removed processes are remembered; longer than the age of any copy that is restored.
    constexpr Duration removedRetention = std::chrono::minutes(2);

} // namespace

UpstreamDirectory::UpstreamDirectory(Duration renewalPeriod)
    : outages(missingRenewals * renewalPeriod)
{
}

bool UpstreamDirectory::onListed(const std::vector<RegisteredUpstream>& upstreams, Instant now)
{
    bool changed = !this->synced;
    this->synced = true;
    std::set<std::string> listed;
    for (const RegisteredUpstream& upstream : upstreams) {
        listed.insert(upstream.instance);
        changed = this->onChanged(upstream) || changed;
    }
    std::vector<std::string> missing;
    for (const auto& [instance, entry] : this->entries) {
        if (!listed.contains(instance))
            missing.push_back(instance);
    }
    for (const std::string& instance : missing)
        changed = this->onRemoved(instance, now) || changed;
    return changed;
}

bool UpstreamDirectory::onChanged(RegisteredUpstream upstream)
{
    const auto known = this->entries.find(upstream.instance);
    // A process that is leaving does not come back.
    if (known != this->entries.end() && known->second.upstream.id() == upstream.id())
        upstream.draining = upstream.draining || (known->second.upstream.draining && !known->second.mayHaveLeft);
    const auto removed = this->removed.find(upstream.id());
    const bool mayHaveLeft
        = removed != this->removed.end() && this->restoredAt && removed->second.at <= *this->restoredAt;
    const bool isLeaving = upstream.draining || (mayHaveLeft && removed->second.wasDraining);
    upstream.draining = isLeaving || mayHaveLeft;
    Entry& entry = this->entries[upstream.instance];
    entry.isMissing = false;
    entry.mayHaveLeft = mayHaveLeft && !isLeaving;
    if (entry.upstream == upstream)
        return false;
    entry.upstream = std::move(upstream);
    return true;
}

bool UpstreamDirectory::onRemoved(const std::string& instance, Instant now)
{
    const auto found = this->entries.find(instance);
    if (found == this->entries.end())
        return false;
    if (!this->isGracePeriodOver(now) && !found->second.upstream.draining) {
        found->second.isMissing = true;
        return false;
    }
    this->remove(found, now);
    return true;
}

bool UpstreamDirectory::onReplaced(const std::string& instance, Instant now)
{
    const auto found = this->entries.find(instance);
    if (found == this->entries.end())
        return false;
    this->remove(found, now);
    return true;
}

void UpstreamDirectory::onPlatformReturned(Duration longestOutage, Instant now)
{
    this->outages.onReturned(longestOutage, now);
}

bool UpstreamDirectory::keepsMissingEntries(Instant now) const { return !this->isGracePeriodOver(now); }

void UpstreamDirectory::onPlatformAnsweredPeer(Instant first, Instant last)
{
    this->outages.onAnsweredPeer(first, last);
}

void UpstreamDirectory::onPlatformRestored(Instant now) { this->restoredAt = now; }

bool UpstreamDirectory::isGracePeriodOver(Instant now) const
{
    const auto isOver = [now](const std::optional<Instant>& returned) {
        return !returned || now - *returned >= reregistrationTime + learningTime;
    };
    return isOver(this->outages.returnedAt()) && isOver(this->restoredAt);
}

void UpstreamDirectory::remove(std::map<std::string, Entry>::iterator entry, Instant now)
{
    const Entry& removedEntry = entry->second;
    this->removed.insert_or_assign(
        removedEntry.upstream.id(), Removed { now, removedEntry.upstream.draining && !removedEntry.mayHaveLeft });
    this->entries.erase(entry);
}

const RegisteredUpstream* UpstreamDirectory::find(const UpstreamId& upstream) const
{
    for (const auto& [instance, entry] : this->entries) {
        if (entry.upstream.id() == upstream)
            return &entry.upstream;
    }
    return nullptr;
}

const RegisteredUpstream* UpstreamDirectory::findInstance(const std::string& instance) const
{
    const auto found = this->entries.find(instance);
    return found == this->entries.end() ? nullptr : &found->second.upstream;
}

bool UpstreamDirectory::onTick(Instant now)
{
    std::erase_if(this->removed, [now](const auto& entry) { return now - entry.second.at > removedRetention; });
    const bool isCopyExpired = this->restoredAt && now - *this->restoredAt >= copyExpiry;
    if (isCopyExpired)
        this->restoredAt.reset();
    bool changed = false;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (isCopyExpired && std::exchange(current->second.mayHaveLeft, false)) {
            current->second.upstream.draining = false;
            changed = true;
        }
        if (!current->second.isMissing || !this->isGracePeriodOver(now))
            continue;
        this->remove(current, now);
        changed = true;
    }
    return changed;
}

std::vector<RegisteredUpstream> UpstreamDirectory::upstreams() const
{
    std::vector<RegisteredUpstream> result;
    result.reserve(this->entries.size());
    for (const auto& [instance, entry] : this->entries)
        result.push_back(entry.upstream);
    return result;
}

} // namespace teaselshore
