#include "teaselshore/entry/brittle_upstreams.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    /// Number of nodes that is assumed while it is unknown: that of the largest supported fleet.
    constexpr double unknownNodes = 300;
    /// Time without a statement after which a response without one ends the last one.
    constexpr Duration statementLifetime = std::chrono::seconds(1);
    /// Time for which a reported load says how much room there is. Afterwards some room is assumed, anew after each
    /// such time, so that an upstream that nobody uses gets requests again.
    constexpr Duration loadLifetime = std::chrono::seconds(1);
    /// Room of an upstream that has reported none lately, as a fraction of its slots.
    constexpr double assumedRoomFraction = 0.5;
    /// Longest time that a request is on its way to an upstream, and so not contained in the load that it reports.
    constexpr Duration reportDelay = std::chrono::milliseconds(20);
    /// Time after which shares are rounded anew.
    constexpr Duration roundingPeriod = std::chrono::milliseconds(25);
    /// Time for which a node may replace a completed request.
    constexpr Duration replacementLifetime = std::chrono::milliseconds(50);
    /// Same at an upstream that reports no load, where nodes may add fewer requests.
    constexpr Duration unreportedReplacementLifetime = std::chrono::milliseconds(250);
    /// Part of the room that nodes use until the next report. The remainder covers draws above the mean, replacements
    /// and what has changed since the report.
    constexpr double usedRoomFraction = 0.5;
    /// Part of the allowance that is added to the room, as long as there is any.
    constexpr double usedAllowanceFraction = 0.25;
    /// Time for which one refusal closes an upstream; its running requests make room meanwhile.
    constexpr Duration closedTime = std::chrono::milliseconds(100);
    /// Part of the allowance from which an upstream is closed for the rest of the period. The remainder covers requests
    /// that are on their way when the nodes learn of the refusals.
    constexpr double closingAllowanceFraction = 0.5;
    /// Number of refusals that are remembered of one upstream.
    constexpr std::size_t maxRefusals = 1000;
    /// Time after which an unused upstream is forgotten.
    constexpr Duration retention = std::chrono::seconds(10);

    void dropBefore(std::deque<Instant>& times, Instant limit)
    {
        while (!times.empty() && times.front() < limit)
            times.pop_front();
    }

    double uniform(Fingerprint hash)
    {
        constexpr int mantissaBits = 53;
        constexpr int hashBits = 64;
        return std::ldexp(static_cast<double>(hash >> (hashBits - mantissaBits)), -mantissaBits);
    }

} // namespace

BrittleUpstreams::BrittleUpstreams(std::string host)
    : host(std::move(host))
{
}

bool BrittleUpstreams::onStated(const ServiceName& service, std::optional<double> allowance, Instant statedAt)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        if (allowance)
            this->services.emplace(service, Statement { *allowance, statedAt });
        return allowance.has_value();
    }
    Statement& known = found->second;
    if (!allowance) {
        if (statedAt - known.at < statementLifetime)
            return false;
        this->services.erase(found);
        return true;
    }
    known.at = std::max(known.at, statedAt);
    return std::exchange(known.allowance, std::min(known.allowance, *allowance)) != known.allowance;
}

std::optional<double> BrittleUpstreams::allowance(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::nullopt : std::optional(found->second.allowance);
}

std::optional<Instant> BrittleUpstreams::statedAt(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::nullopt : std::optional(found->second.at);
}

std::vector<ServiceName> BrittleUpstreams::brittleServices() const
{
    std::vector<ServiceName> result;
    for (const auto& [service, statement] : this->services)
        result.push_back(service);
    return result;
}

void BrittleUpstreams::onSent(const RegisteredUpstream& upstream, Instant now)
{
    Entry& entry = this->use(upstream.id(), now);
    dropBefore(entry.replacements, now);
    if (!entry.replacements.empty()) {
        entry.replacements.pop_front();
        return;
    }
    dropBefore(entry.additions, now - loadLifetime - reportDelay);
    entry.additions.push_back(now);
}

void BrittleUpstreams::onCompleted(const RegisteredUpstream& upstream, Instant now)
{
    Entry& entry = this->use(upstream.id(), now);
    dropBefore(entry.replacements, now);
    // Of an upstream that reports no load, a completed request is the only sign that it has room.
    if (!entry.outstanding)
        entry.reportedAt = now;
    // A response may report the load with its own request or without it.
    const bool isFull = entry.outstanding && now - entry.reportedAt < loadLifetime
        && *entry.outstanding >= std::max(upstream.slots, 2U);
    if (!isFull && this->closedUntil(upstream, now) <= now)
        entry.replacements.push_back(now + (entry.outstanding ? replacementLifetime : unreportedReplacementLifetime));
}

void BrittleUpstreams::onLoad(const UpstreamId& upstream, std::uint32_t outstanding, Instant now)
{
    Entry& entry = this->use(upstream, now);
    entry.outstanding = outstanding;
    entry.reportedAt = now;
}

void BrittleUpstreams::onRefused(const UpstreamId& upstream, std::uint32_t count, Instant now)
{
    Entry& entry = this->use(upstream, now);
    dropBefore(entry.refusals, now - refusalPeriod);
    const std::size_t kept = std::min<std::size_t>(count, maxRefusals - std::min(maxRefusals, entry.refusals.size()));
    entry.refusals.insert(entry.refusals.end(), kept, now);
}

void BrittleUpstreams::onTick(Instant now)
{
    std::erase_if(this->entries, [now](const auto& item) { return now - item.second.usedAt >= retention; });
}

Instant BrittleUpstreams::closedUntil(const RegisteredUpstream& upstream, Instant now) const
{
    const std::optional<double> allowance = this->allowance(upstream.service);
    const Entry* entry = this->find(upstream.id());
    if (!allowance || !entry || entry->refusals.empty())
        return now;
    const Instant afterLast = entry->refusals.back() + closedTime;
    const auto bound = static_cast<std::size_t>(
        std::max(1.0, std::floor(std::min(*allowance * closingAllowanceFraction, 1.0 * maxRefusals))));
    if (entry->refusals.size() < bound)
        return afterLast;
    return std::max(afterLast, entry->refusals[entry->refusals.size() - bound] + refusalPeriod);
}

std::vector<UpstreamId> BrittleUpstreams::closedUpstreams(
    const std::vector<RegisteredUpstream>& upstreams, Instant now) const
{
    std::vector<UpstreamId> closed;
    const std::optional<double> allowance
        = upstreams.empty() ? std::nullopt : this->allowance(upstreams.front().service);
    if (!allowance)
        return closed;
    std::vector<Permission> permissions;
    double share = 0;
    std::size_t added = 0;
    for (const RegisteredUpstream& upstream : upstreams) {
        const Permission& permission = permissions.emplace_back(this->permission(upstream, *allowance, now));
        share += permission.isClosed ? 0 : permission.share;
        added += permission.added;
    }
    const std::int64_t period = now.time_since_epoch() / roundingPeriod;
    const bool mayAdd = added < this->round(share, upstreams.front().service.value(), period);
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const Permission& permission = permissions[index];
        const std::int64_t report = permission.reportedAt.time_since_epoch().count();
        std::size_t bound = this->round(permission.share, upstreams[index].instance, report);
        // While there is much room, a share of less than one request at each upstream may be used at any of them.
        if (permission.hasAmpleRoom)
            bound = std::max<std::size_t>(bound, 1);
        const bool isOpen = permission.mayReplace || (mayAdd && permission.added < bound);
        if (permission.isClosed || !isOpen)
            closed.push_back(upstreams[index].id());
    }
    return closed;
}

BrittleUpstreams::Permission BrittleUpstreams::permission(
    const RegisteredUpstream& upstream, double allowance, Instant now) const
{
    static const Entry unused;
    const Entry* found = this->find(upstream.id());
    const Entry& entry = found ? *found : unused;
    Permission result;
    result.isClosed = this->closedUntil(upstream, now) > now;
    result.mayReplace = !entry.replacements.empty() && entry.replacements.back() >= now;
    const double slots = std::max(upstream.slots, 1U);
    const bool isReported = entry.outstanding && now - entry.reportedAt < loadLifetime;
    const double room = isReported ? slots - *entry.outstanding : slots * assumedRoomFraction;
    result.hasAmpleRoom = room >= slots / 2;
    const Duration passed = (now - entry.reportedAt) / loadLifetime * loadLifetime;
    result.reportedAt = entry.reportedAt + passed;
    const auto unreported
        = std::lower_bound(entry.additions.begin(), entry.additions.end(), result.reportedAt - reportDelay);
    result.added = static_cast<std::size_t>(entry.additions.end() - unreported);
    if (room <= 0)
        return result;
    const double all = usedRoomFraction * room + usedAllowanceFraction * std::min(allowance, slots);
    result.share = all / (this->nodes == 0 ? unknownNodes : static_cast<double>(this->nodes));
    return result;
}

std::size_t BrittleUpstreams::round(double share, const std::string& subject, std::int64_t draw) const
{
    const Fingerprint hash = combine(fingerprint({ subject, this->host }), static_cast<Fingerprint>(draw));
    return static_cast<std::size_t>(std::floor(share + uniform(hash)));
}

BrittleUpstreams::Entry& BrittleUpstreams::use(const UpstreamId& upstream, Instant now)
{
    Entry& entry = this->entries[upstream];
    entry.usedAt = now;
    return entry;
}

const BrittleUpstreams::Entry* BrittleUpstreams::find(const UpstreamId& upstream) const
{
    const auto found = this->entries.find(upstream);
    return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace teaselshore
