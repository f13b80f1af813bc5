#pragma once

#include <map>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Shares with peers how upstreams took requests, while some refuse them.
///
/// In a large fleet each node sends an upstream a request every few seconds, so it would learn too late on its own
/// which ones refuse. Only results of upstreams that have refused a request lately are sent, to a limited number of
/// random peers. Not thread-safe.
class RefusalExchange {
public:
    explicit RefusalExchange(EntryState& state);

    void onAccepted(const UpstreamId& upstream, Instant now);
    void onRefused(const UpstreamId& upstream, Instant now);
    void onReport(const RefusalReport& report, Instant now);
    /// @brief Sends the results since the last report if one is due.
    void onTick(Instant now);

private:
    struct Results {
        std::uint32_t accepted = 0;
        std::uint32_t refused = 0;
        /// When the last refusal became known, of this or another node.
        Instant refusedAt {};
    };

    EntryState& state;
    /// Results since the last report, of upstreams that have refused a request lately.
    std::map<UpstreamId, Results> recent;
    Instant nextReport {};
};

} // namespace teaselshore
