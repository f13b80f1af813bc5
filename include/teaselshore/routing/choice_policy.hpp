#pragma once

#include <compare>
#include <variant>

namespace teaselshore {

/// @brief Chooses the best score among a bounded set of candidates. The policy for production.
struct PredictedLatency {
    auto operator<=>(const PredictedLatency&) const = default;
};

/// @brief Baseline: chooses the upstreams in turn.
struct RoundRobin {
    auto operator<=>(const RoundRobin&) const = default;
};

/// @brief Baseline: chooses the upstream with the fewest outstanding requests of this node. Scans all upstreams.
struct LeastOutstanding {
    auto operator<=>(const LeastOutstanding&) const = default;
};

/// @brief How a Router chooses among the eligible upstreams of a version.
using ChoicePolicy = std::variant<PredictedLatency, RoundRobin, LeastOutstanding>;

} // namespace teaselshore
