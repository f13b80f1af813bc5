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

/// @brief Rates that the platform's object API grants to all nodes together.
struct PlatformRates {
    double writesPerSecond = 400;
    double readsPerSecond = 2000;

    auto operator<=>(const PlatformRates&) const = default;
};

/// @brief Bound on the retries of all nodes together, per service.
struct SharedRetryBudget {
    /// Retries per request within the window.
    double ratio = 0.1;
    /// Retries within the window however few requests there are.
    double floor = 0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const SharedRetryBudget&) const = default;
};

/// @brief Tolerance of the quotas of workspaces, over all nodes.
struct QuotaTolerance {
    Duration window = std::chrono::seconds(8);
    /// Part of a quota by which it may be exceeded within the window.
    double excess = 0;
    /// Amount by which it may be exceeded besides, in the unit of the quota.
    double slack = 0;

    auto operator<=>(const QuotaTolerance&) const = default;
};

/// @brief Checked settings of a daemon on a platform where upstreams register themselves. Immutable once parsed.
struct EntrySettings {
    /// Name of the host; stays the same over restarts.
    std::string node;
    AvailabilityZone zone;
    /// All zones of the deployment.
    std::vector<AvailabilityZone> zones;
    /// Callers connect here.
    SocketAddress callers;
    /// The load balancer asks here whether the node takes requests.
    SocketAddress readiness;
    /// Other nodes connect here; without it, nodes do not lend each other quota.
    std::optional<SocketAddress> peers;
    /// Other nodes send requests here that they cannot send to upstreams; without it, this node takes none of them.
    std::optional<SocketAddress> relays;
    /// Operators and the metrics collector connect here.
    SocketAddress admin;
    SocketAddress platform;
    /// API for upstream orders and usage reports; they are left out without it.
    std::optional<SocketAddress> cloud;
    /// Whether operators evacuate zones of this deployment; otherwise nodes do not watch for it.
    bool evacuations = false;
    /// Whether requests are rejected by priority and workspace while a service of engines is short of capacity.
    bool admission = false;
    /// Whether long prompts gather on a part of the engines.
    bool gatherLongPrompts = false;
    LogLevel logLevel = LogLevel::Info;
    /// Memory that the process may take; unbounded if the settings do not name it.
    std::optional<std::size_t> memoryBytes;
    PlatformRates platformRates;
    SharedRetryBudget retries;
    QuotaTolerance quota;
    /// Time after a disruption of this node or of the platform by which the changes made meanwhile must be in effect.
    Duration recoveryTime = std::chrono::seconds(3);
    /// Time between two renewals of an upstream's entry at the platform, which removes it after three are missing.
    Duration upstreamRenewal = std::chrono::seconds(1);
    /// Time between the request to stop and the end of the process by force.
    Duration stopGrace = std::chrono::seconds(8);
    /// Time in which one node after the other may hold a lease.
    Duration leaseLength = std::chrono::seconds(3);
    /// Length of the windows of usage reports.
    Duration usageWindow = std::chrono::seconds(5);
    /// Time after the end of a window in which its report is due.
    Duration usageDue = std::chrono::seconds(10);

    auto operator<=>(const EntrySettings&) const = default;
};

/// @brief Parses and checks the settings (YAML). Same rules as parseDaemonSettings().
std::optional<EntrySettings> parseEntrySettings(std::string_view text, std::vector<ConfigurationProblem>& problems);

} // namespace teaselshore
