#pragma once

#include <cstddef>
#include <vector>

#include "teaselshore/ctl/admin_reply.hpp"

namespace teaselshore {

/// @brief Span and its depth in the tree; 0 for a root.
struct TraceLine {
    TraceSpan span;
    std::size_t depth = 0;

    auto operator<=>(const TraceLine&) const = default;
};

/// @brief Joins the spans of all nodes into one tree and returns it in depth-first order, siblings by start time.
///
/// A span whose parent is unknown (dropped from a node's ring, or on a node that did not answer) becomes a root.
/// Spans that two nodes report count once; a cycle of parents loses no span.
std::vector<TraceLine> joinSpans(const std::vector<TraceSpan>& spans);

} // namespace teaselshore
