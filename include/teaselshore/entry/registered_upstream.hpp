#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Upstream as it registered itself at the platform.
struct RegisteredUpstream {
    /// Name under which the upstream registered; it may be used again by a later process.
    std::string instance;
    /// Unix time of the start of the process, milliseconds; tells processes with the same instance name apart.
    std::int64_t startedAt = 0;
    ServiceName service;
    /// "address:port".
    std::string address;
    AvailabilityZone zone;
    VersionName version;
    /// Requests that it runs at the same time.
    std::uint32_t slots = 1;
    bool draining = false;
    bool reclaimable = false;
    /// Time until it is gone, if it said so.
    std::optional<Duration> leavesIn;

    auto operator<=>(const RegisteredUpstream&) const = default;

    /// @brief Identifies the process, not only its name.
    UpstreamId id() const { return UpstreamId(this->instance + "@" + std::to_string(this->startedAt)); }
};

/// @brief Order of an operator to move a service's traffic to a version.
struct RolloutOrder {
    ServiceName service;
    VersionName target;
    Duration duration {};
    /// Version of the object that holds the order.
    std::uint64_t objectVersion = 0;
    enum class State {
        Ordered,
        Running,
        Complete,
        RolledBack,
    };
    State state = State::Ordered;
    /// Part of the traffic that goes to the target.
    double share = 0;

    auto operator<=>(const RolloutOrder&) const = default;
};

} // namespace teaselshore
