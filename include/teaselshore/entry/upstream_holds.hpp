#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Upstreams that have told this node in a response that they want no requests: for a time, or for good.
///
/// The registry learns of an upstream that leaves later than its callers do, or never. Not thread-safe.
class UpstreamHolds {
public:
    /// @brief The upstream leaves. It gets nothing new, whatever the registry says. Returns whether that is news.
    bool onLeaving(const UpstreamId& upstream, Instant now);
    /// @brief The upstream has turned a request away and asked for a pause. The longer of two pauses counts.
    void onRefused(const UpstreamId& upstream, Duration pause, Instant now);
    /// @brief Forgets what is over.
    void onTick(Instant now);

    bool isLeaving(const UpstreamId& upstream) const { return this->leaving.contains(upstream); }
    /// @brief Returns the upstreams whose pause has not ended.
    std::vector<UpstreamId> paused(Instant now) const;
    /// @brief Returns when the first of the pauses ends; nothing if none is left.
    std::optional<Instant> nextEnd(Instant now) const;

private:
    std::map<UpstreamId, Instant> leaving;
    std::map<UpstreamId, Instant> pausedUntil;
};

} // namespace teaselshore
