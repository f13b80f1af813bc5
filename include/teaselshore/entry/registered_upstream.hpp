#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief What an entry states about the time for which its upstream is cold. Takes no part in comparisons: the time
/// runs out while the upstream stays the same.
struct ColdTimeStatement {
    /// Remaining time, zero if the upstream is warm; nothing if the entry does not state it.
    std::optional<Duration> left;
    /// Version of the object that holds the entry; 0 if unknown. A list repeats entries of the same version.
    std::uint64_t objectVersion = 0;

    std::strong_ordering operator<=>(const ColdTimeStatement&) const { return std::strong_ordering::equal; }
    bool operator==(const ColdTimeStatement&) const { return true; }
};

/// @brief Registration of an upstream at the platform.
struct RegisteredUpstream {
    /// Name under which the upstream registered. A later process may reuse it.
    std::string instance;
    /// Start of the process in Unix milliseconds; distinguishes processes with the same instance name.
    std::int64_t startedAt = 0;
    ServiceName service;
    /// "address:port".
    std::string address;
    AvailabilityZone zone;
    VersionName version;
    /// Number of requests that the upstream runs concurrently.
    std::uint32_t slots = 1;
    bool draining = false;
    bool reclaimable = false;
    /// Time until the upstream stops, if it has announced one.
    std::optional<Duration> leavesIn;
    ColdTimeStatement coldFor;

    auto operator<=>(const RegisteredUpstream&) const = default;

    /// @brief Returns an id of the process, which no other process with the same instance name has.
    UpstreamId id() const { return UpstreamId(this->instance + "@" + std::to_string(this->startedAt)); }
};

/// @brief Operator's order to move a service's traffic to a version.
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
    /// Fraction of the traffic that goes to the target.
    double share = 0;

    auto operator<=>(const RolloutOrder&) const = default;
};

} // namespace teaselshore
