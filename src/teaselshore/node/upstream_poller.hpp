#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/node_command.hpp"

namespace teaselshore {

/// @brief Chooses the upstreams that are asked for their load.
///
/// Only upstreams that this node used lately are asked, a bounded number per tick, so that the cost does not grow with
/// the number of upstreams. Not thread-safe.
class UpstreamPoller {
public:
    UpstreamPoller(Duration period, std::size_t queriesPerTick);

    void onUsed(const UpstreamId& upstream, const std::string& authority, Instant now);

    /// @brief Reports whether an upstream answered. One that does not is asked until it answers again, since only a new
    /// load report ends its death in the router.
    void onQueried(const UpstreamId& upstream, bool answered);

    /// @brief Forgets upstreams whose use is long past and returns the due queries.
    std::vector<QueryLoad> onTick(Instant now);

private:
    struct Entry {
        std::string authority;
        Instant usedAt {};
        Instant nextQuery {};
        bool silent = false;
    };

    Duration period;
    std::size_t queriesPerTick;
    std::unordered_map<UpstreamId, Entry> entries;
};

} // namespace teaselshore
