#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Works as it should.
struct GoodVersion {
    auto operator<=>(const GoodVersion&) const = default;
};

/// @brief Fails every request.
struct FailsAlways {
    auto operator<=>(const FailsAlways&) const = default;
};

/// @brief Fails every request after the first requests.
struct FailsAfterRequests {
    std::uint64_t requests = 0;

    auto operator<=>(const FailsAfterRequests&) const = default;
};

/// @brief Fails every request once this time has passed.
struct FailsAfterTime {
    Duration time {};

    auto operator<=>(const FailsAfterTime&) const = default;
};

/// @brief Takes factor times as long.
struct SlowVersion {
    double factor = 1;

    auto operator<=>(const SlowVersion&) const = default;
};

/// @brief Fails requests that arrive while more than load requests run or wait.
struct FailsAboveLoad {
    std::uint64_t load = 0;

    auto operator<=>(const FailsAboveLoad&) const = default;
};

/// @brief Fails requests whose path starts with the prefix.
struct FailsOnRoute {
    std::string prefix;

    auto operator<=>(const FailsOnRoute&) const = default;
};

/// @brief Behaviour of an upstream version.
using VersionBehaviour = std::variant<GoodVersion, FailsAlways, FailsAfterRequests, FailsAfterTime, SlowVersion,
    FailsAboveLoad, FailsOnRoute>;

/// @brief What a decision about one request depends on.
struct VersionSituation {
    /// Requests since the behaviour was set, without this one.
    std::uint64_t requests = 0;
    /// Time since the behaviour was set.
    Duration age {};
    /// Requests that run or wait.
    std::uint64_t load = 0;
    std::string path;

    auto operator<=>(const VersionSituation&) const = default;
};

/// @brief Returns whether the version fails this request.
bool failsRequest(const VersionBehaviour& behaviour, const VersionSituation& situation);

/// @brief Returns by how much the version stretches its work.
double slowdown(const VersionBehaviour& behaviour);

/// @brief Parses "good", "fails", "fails-after-requests:N", "fails-after-seconds:S", "slow:FACTOR",
/// "fails-above-load:N" or "fails-on-route:PREFIX"; nothing for any other text.
std::optional<VersionBehaviour> parseVersionBehaviour(std::string_view text);

} // namespace teaselshore
