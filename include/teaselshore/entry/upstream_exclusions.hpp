#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Upstreams that asked this node in a response to send them no requests, temporarily or permanently.
///
/// An upstream that is leaving may tell its callers before it updates its registration, or never update it. Not
/// thread-safe.
class UpstreamExclusions {
public:
    /// @brief Excludes an upstream that is leaving, whatever its registration says. Returns false if it
    /// already was excluded.
    bool onLeaving(const UpstreamId& upstream, Instant now);
    /// @brief Excludes an upstream that refused a request and asked for a pause. Of several pauses the latest end
    /// counts.
    void onPauseRequested(const UpstreamId& upstream, Duration pause, Instant now);
    /// @brief Removes expired exclusions.
    void onTick(Instant now);

    bool isLeaving(const UpstreamId& upstream) const { return this->leavingSince.contains(upstream); }
    /// @brief Returns the upstreams whose pause has not ended.
    std::vector<UpstreamId> pausedUpstreams(Instant now) const;
    /// @brief Returns the end of the upstream's pause; nothing if it is not paused.
    std::optional<Instant> pauseEnd(const UpstreamId& upstream, Instant now) const;

private:
    std::map<UpstreamId, Instant> leavingSince;
    std::map<UpstreamId, Instant> pausedUntil;
};

} // namespace teaselshore
