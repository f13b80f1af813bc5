#include "teaselshore/entry/upstream_exclusions.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// A leaving upstream usually stops within seconds, sometimes later. After this time its process has ended and the
    /// entry can be removed.
    constexpr Duration leavingRetention = std::chrono::minutes(30);

} // namespace

bool UpstreamExclusions::onLeaving(const UpstreamId& upstream, Instant now)
{
    return this->leavingSince.try_emplace(upstream, now).second;
}

void UpstreamExclusions::onPauseRequested(const UpstreamId& upstream, Duration pause, Instant now)
{
    Instant& until = this->pausedUntil.try_emplace(upstream, now).first->second;
    until = std::max(until, now + pause);
}

void UpstreamExclusions::onTick(Instant now)
{
    std::erase_if(this->leavingSince, [now](const auto& entry) { return entry.second + leavingRetention <= now; });
    std::erase_if(this->pausedUntil, [now](const auto& entry) { return entry.second <= now; });
}

std::vector<UpstreamId> UpstreamExclusions::pausedUpstreams(Instant now) const
{
    std::vector<UpstreamId> result;
    for (const auto& [upstream, until] : this->pausedUntil) {
        if (until > now)
            result.push_back(upstream);
    }
    return result;
}

std::optional<Instant> UpstreamExclusions::pauseEnd(const UpstreamId& upstream, Instant now) const
{
    const auto found = this->pausedUntil.find(upstream);
    if (found == this->pausedUntil.end() || found->second <= now)
        return std::nullopt;
    return found->second;
}

} // namespace teaselshore
