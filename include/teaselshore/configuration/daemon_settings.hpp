#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/log.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/address.hpp"
#include "teaselshore/configuration/problem.hpp"

namespace teaselshore {

struct RetrySettings {
    /// Retries allowed per first attempt, over the recent past.
    double budgetRatio = 0.1;
    Duration backoffBase = std::chrono::milliseconds(25);
    Duration backoffCap = std::chrono::seconds(2);

    auto operator<=>(const RetrySettings&) const = default;
};

struct CircuitBreakerSection {
    /// Consecutive failures of an upstream that open its circuit.
    std::uint32_t failures = 5;
    /// Time until an open circuit lets a probe through.
    Duration openTime = std::chrono::seconds(2);

    auto operator<=>(const CircuitBreakerSection&) const = default;
};

struct TimeoutSettings {
    Duration connect = std::chrono::milliseconds(500);
    /// Longest time without a byte from an upstream.
    Duration idle = std::chrono::seconds(30);
    /// Time that open requests get to finish when the daemon stops.
    Duration drain = std::chrono::seconds(20);

    auto operator<=>(const TimeoutSettings&) const = default;
};

struct LimitSettings {
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    std::uint32_t maxOpenRequests = 10'000;
    /// Bytes of one stream that wait for a slow caller.
    std::size_t maxPendingStreamBytes = std::size_t { 256 } * 1024;

    auto operator<=>(const LimitSettings&) const = default;
};

struct MembershipSection {
    Duration probePeriod = std::chrono::seconds(1);
    Duration probeTimeout = std::chrono::milliseconds(300);
    /// Time between a suspicion and the declaration that the node is dead.
    Duration suspicionTime = std::chrono::seconds(4);

    auto operator<=>(const MembershipSection&) const = default;
};

struct JournalSettings {
    /// Nodes that own slots at the same time.
    std::uint32_t maxOwners = 32;
    /// Object API writes a second that all owners share.
    double writesPerSecond = 200;

    auto operator<=>(const JournalSettings&) const = default;
};

/// @brief Calls of this node to the platform's object API, as a token bucket.
struct PlatformBudgetSettings {
    double callsPerSecond = 20;
    std::uint32_t burst = 50;

    auto operator<=>(const PlatformBudgetSettings&) const = default;
};

/// @brief Checked settings of one daemon. Immutable once parsed; see parseDaemonSettings().
struct DaemonSettings {
    /// Name of the host's daemon; stays the same over restarts.
    std::string node;
    Region region;
    AvailabilityZone zone;
    /// Callers connect here.
    SocketAddress listen;
    /// Operators connect here.
    SocketAddress admin;
    /// Other daemons connect here.
    SocketAddress peer;
    /// The platform's APIs.
    SocketAddress platform;
    LogLevel logLevel = LogLevel::Info;
    RetrySettings retries;
    CircuitBreakerSection circuitBreaker;
    TimeoutSettings timeouts;
    LimitSettings limits;
    MembershipSection membership;
    JournalSettings journal;
    PlatformBudgetSettings platformBudget;

    auto operator<=>(const DaemonSettings&) const = default;
};

/// @brief Parses and checks the settings of a daemon (YAML).
///
/// Same rules as parseConfiguration(): all problems with their positions, any bytes allowed, nothing thrown.
/// describeFirst() formats the one line with which a daemon refuses to start.
std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, std::vector<ConfigurationProblem>& problems);

} // namespace teaselshore
