#include "teaselshore/entry/upstream_limits.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    /// Requests per second that a limit of less is taken for: a response shows whether the limit still stands.
    constexpr double lowestRate = 0.1;
    /// Time after which a limit that no response confirmed is forgotten; the upstream has ended, or has no callers.
    constexpr Duration retention = std::chrono::minutes(10);
    constexpr std::size_t maxEntries = 4096;

} // namespace

void UpstreamLimits::setFleet(std::vector<std::string> allHosts, const std::string& ownHost, Duration wallClock)
{
    std::sort(allHosts.begin(), allHosts.end());
    const bool isMember = std::binary_search(allHosts.begin(), allHosts.end(), ownHost);
    if (!isMember)
        allHosts.clear();
    const bool isChanged = std::exchange(this->hosts, std::move(allHosts)) != this->hosts;
    this->self = ownHost;
    for (auto& [upstream, entry] : this->entries)
        entry.position = this->positionFor(upstream.value());
    for (auto& [upstream, entry] : this->coldEntries) {
        entry.position = this->positionFor(entry.limit.instance);
        if (isChanged)
            entry.usedUntil = std::max(entry.usedUntil, wallClock);
    }
}

bool UpstreamLimits::onStated(const UpstreamId& upstream, const StatedLimit& stated, Duration wallClock)
{
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end()) {
        if (!stated.perSecond || this->entries.size() >= maxEntries)
            return false;
        // Turns of before are lost, since other nodes may have sent requests meanwhile.
        this->entries.emplace(upstream, Entry { stated, wallClock, this->positionFor(upstream.value()) });
        ++this->limitedCount;
        return true;
    }
    Entry& entry = found->second;
    if (stated.statedAt <= entry.stated.statedAt)
        return false;
    const std::optional<double> previous = std::exchange(entry.stated, stated).perSecond;
    if (previous == stated.perSecond)
        return false;
    this->limitedCount += stated.perSecond ? 1 : 0;
    this->limitedCount -= previous ? 1 : 0;
    entry.usedUntil = std::max(entry.usedUntil, previous ? Duration::zero() : wallClock);
    return true;
}

bool UpstreamLimits::setCold(const UpstreamId& upstream, const ColdLimit& limit, Duration wallClock)
{
    const auto found = this->coldEntries.find(upstream);
    if (found != this->coldEntries.end()) {
        found->second.limit = limit;
        return false;
    }
    // Turns of before are lost, since other nodes may have sent requests meanwhile.
    this->coldEntries.emplace(upstream, ColdEntry { limit, wallClock, this->positionFor(limit.instance) });
    return true;
}

std::vector<UpstreamId> UpstreamLimits::endExpiredCold(Instant now)
{
    std::vector<UpstreamId> expired;
    for (const auto& [upstream, entry] : this->coldEntries) {
        if (entry.limit.until <= now)
            expired.push_back(upstream);
    }
    for (const UpstreamId& upstream : expired)
        this->coldEntries.erase(upstream);
    return expired;
}

void UpstreamLimits::onSent(const UpstreamId& upstream, Duration wallClock)
{
    if (const auto cold = this->coldEntries.find(upstream); cold != this->coldEntries.end()) {
        const Duration turn = this->nextColdTurn(upstream, cold->second, wallClock);
        if (turn != Duration::max())
            cold->second.usedUntil = turn;
        return;
    }
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end() || !found->second.stated.perSecond)
        return;
    const Duration turn = this->nextTurn(upstream, wallClock);
    if (turn != Duration::max())
        found->second.usedUntil = turn;
}

void UpstreamLimits::onTick(Instant now)
{
    std::erase_if(this->entries, [this, now](const auto& item) {
        const StatedLimit& stated = item.second.stated;
        if (now - stated.statedAt < retention)
            return false;
        this->limitedCount -= stated.perSecond ? 1 : 0;
        return true;
    });
}

const StatedLimit* UpstreamLimits::find(const UpstreamId& upstream) const
{
    const auto found = this->entries.find(upstream);
    return found == this->entries.end() ? nullptr : &found->second.stated;
}

const ColdLimit* UpstreamLimits::findCold(const UpstreamId& upstream) const
{
    const auto found = this->coldEntries.find(upstream);
    return found == this->coldEntries.end() ? nullptr : &found->second.limit;
}

std::vector<UpstreamId> UpstreamLimits::closedColdUpstreams(const ServiceName& service, Duration wallClock) const
{
    std::vector<UpstreamId> closed;
    for (const auto& [upstream, entry] : this->coldEntries) {
        if (entry.limit.service == service && this->nextColdTurn(upstream, entry, wallClock) > wallClock)
            closed.push_back(upstream);
    }
    return closed;
}

std::vector<UpstreamId> UpstreamLimits::limitedUpstreams() const
{
    std::vector<UpstreamId> result;
    for (const auto& [upstream, entry] : this->entries) {
        if (entry.stated.perSecond)
            result.push_back(upstream);
    }
    return result;
}

double UpstreamLimits::coldTurnRate(const UpstreamId& upstream, const ColdLimit& limit) const
{
    const double rate = coldTurnFraction * limit.perSecond;
    const StatedLimit* stated = this->find(upstream);
    return std::max(stated && stated->perSecond ? std::min(rate, *stated->perSecond) : rate, lowestRate);
}

Duration UpstreamLimits::nextColdTurn(const UpstreamId& upstream, const ColdEntry& entry, Duration wallClock) const
{
    if (!entry.position)
        return Duration::max();
    const TurnSchedule turns(this->coldTurnRate(upstream, entry.limit), *entry.position, this->hosts.size());
    return turns.nextTurn(std::max(wallClock - coldTurnLifetime, entry.usedUntil + Duration(1)));
}

Duration UpstreamLimits::nextTurn(const UpstreamId& upstream, Duration wallClock) const
{
    if (const auto cold = this->coldEntries.find(upstream); cold != this->coldEntries.end())
        return this->nextColdTurn(upstream, cold->second, wallClock);
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end() || !found->second.stated.perSecond)
        return wallClock;
    const Entry& entry = found->second;
    if (!entry.position)
        return Duration::max();
    const TurnSchedule turns(std::max(*entry.stated.perSecond, lowestRate), *entry.position, this->hosts.size());
    return turns.nextTurn(std::max(wallClock - turnLifetime, entry.usedUntil + Duration(1)));
}

Duration UpstreamLimits::turnPeriod(const UpstreamId& upstream) const
{
    if (const ColdLimit* cold = this->findCold(upstream))
        return fromSeconds(1 / this->coldTurnRate(upstream, *cold));
    const StatedLimit* stated = this->find(upstream);
    return stated && stated->perSecond ? fromSeconds(1 / std::max(*stated->perSecond, lowestRate)) : Duration::zero();
}

std::optional<std::size_t> UpstreamLimits::positionFor(const std::string& key) const
{
    if (this->hosts.empty())
        return std::nullopt;
    // The order differs between upstreams, so that the same node is not always the first one.
    const Fingerprint own = fingerprint({ key, this->self });
    const auto before = std::count_if(this->hosts.begin(), this->hosts.end(), [&](const std::string& host) {
        return fingerprint({ key, host }) < own;
    });
    return static_cast<std::size_t>(before);
}

} // namespace teaselshore
