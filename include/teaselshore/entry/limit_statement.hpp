#pragma once

#include <compare>
#include <optional>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief What a node tells other nodes about the limit of an upstream.
struct LimitStatement {
    UpstreamId upstream;
    /// Requests per second from all nodes together; nothing if the upstream names no limit any more.
    std::optional<double> perSecond;
    /// Time since the response that said so.
    Duration age {};

    auto operator<=>(const LimitStatement&) const = default;
};

} // namespace teaselshore
