#include "teaselshore/entry/upstream_holds.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Upstreams that leave serve for some seconds more, at times for many; by then the process has ended.
    constexpr Duration leavingExpiry = std::chrono::minutes(30);

} // namespace

bool UpstreamHolds::onLeaving(const UpstreamId& upstream, Instant now)
{
    return this->leaving.try_emplace(upstream, now).second;
}

void UpstreamHolds::onRefused(const UpstreamId& upstream, Duration pause, Instant now)
{
    Instant& until = this->pausedUntil.try_emplace(upstream, now).first->second;
    until = std::max(until, now + pause);
}

void UpstreamHolds::onTick(Instant now)
{
    std::erase_if(this->leaving, [now](const auto& entry) { return entry.second + leavingExpiry <= now; });
    std::erase_if(this->pausedUntil, [now](const auto& entry) { return entry.second <= now; });
}

std::vector<UpstreamId> UpstreamHolds::paused(Instant now) const
{
    std::vector<UpstreamId> result;
    for (const auto& [upstream, until] : this->pausedUntil) {
        if (until > now)
            result.push_back(upstream);
    }
    return result;
}

std::optional<Instant> UpstreamHolds::nextEnd(Instant now) const
{
    std::optional<Instant> next;
    for (const auto& [upstream, until] : this->pausedUntil) {
        if (until > now)
            next = std::min(next.value_or(until), until);
    }
    return next;
}

} // namespace teaselshore
