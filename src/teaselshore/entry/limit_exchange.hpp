#pragma once

#include <set>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Learns the limits of upstreams from their responses and from other nodes, and tells peers what is new.
///
/// Only the node that learns a change from a response tells its peers, so that the messages do not grow with the load.
/// Not thread-safe.
class LimitExchange {
public:
    explicit LimitExchange(EntryState& state);

    /// @brief Applies what a response states about its upstream's limit. A response without a limit ends it only if its
    /// request was sent after the limit was stated: an earlier one may have been on its way.
    void onResponse(const UpstreamId& upstream, const ResponseFacts& facts, Instant sentAt, Instant now);
    void onReport(const std::string& sender, const LimitReport& report, Instant now);
    /// @brief Applies the limits in the reports of nodes, for upstreams that this node knows nothing of: a node that
    /// has just started has missed the messages of its peers.
    void onNodeReports(const std::vector<NodeReport>& reports, Instant now);
    /// @brief Tells the peers what has changed since the last call.
    void onTick(Instant now);
    /// @brief Sends the limits to a peer that may not have read the reports of all nodes.
    void tellLimits(const std::string& peerAddress, Instant now) const;
    /// @brief Returns the limits that this node knows.
    std::vector<LimitStatement> statements(Instant now) const;

private:
    /// @brief Returns whether the limit changed.
    bool apply(const UpstreamId& upstream, const StatedLimit& stated, Instant now);

    EntryState& state;
    /// Upstreams whose limit changed according to a response that this node received.
    std::set<UpstreamId> changed;
};

} // namespace teaselshore
