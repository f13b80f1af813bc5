#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/routing/routing_decision.hpp"

namespace teaselshore {

/// @brief Routing decisions of the latest requests, for `explain`. Not thread-safe.
class DecisionLog {
public:
    /// @brief Adds a decision, and forgets the oldest request beyond the limit.
    void add(const RequestId& request, const RoutingDecision& decision);

    /// @brief Returns the decisions of a request in order; empty if none is remembered.
    std::vector<RoutingDecision> find(const RequestId& request) const;

private:
    static constexpr std::size_t maxRequests = 1024;

    std::unordered_map<RequestId, std::vector<RoutingDecision>> decisions;
    std::deque<RequestId> order;
};

} // namespace teaselshore
