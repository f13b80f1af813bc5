#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService {
    ServiceName service;
    double weight = 1;

    auto operator<=>(const WeightedService&) const = default;
};

/// @brief How the responses of a route are delivered to callers.
enum class ResponseKind {
    /// The response is sent once it is complete.
    Buffered,
    /// Events with increasing ids are relayed as they arrive.
    EventStream,
};

/// @brief Set of requests, selected by host and path prefix, and how they are served.
struct EntryRoute {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<WeightedService> targets;
    ResponseKind response = ResponseKind::Buffered;
    /// True if a request may run more than once. For a stream: it can resume at another upstream after its last event.
    bool retryable = false;
    /// Limit on the time from the arrival of a request to the end of its response.
    Duration timeout {};
    /// Target for the time to the response or, for a stream, to its first event.
    Duration latencyTarget {};
    /// Target for the longest gap between two events of a stream.
    std::optional<Duration> gapTarget;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Number of times that one request may run.
    std::uint32_t maxAttempts = 1;
    /// True if callers need no key.
    bool isPublic = false;

    auto operator<=>(const EntryRoute&) const = default;
};

/// @brief What a workspace's quota counts.
enum class QuotaUnit {
    Requests,
    /// Prompt tokens plus the maximum number of output tokens of a request.
    Tokens,
};

/// @brief Token bucket that all nodes enforce together.
struct WorkspaceQuota {
    QuotaUnit unit = QuotaUnit::Requests;
    double perSecond = 0;
    double burst = 0;
    /// Cost of a request that does not declare its tokens.
    double defaultTokens = 1;

    auto operator<=>(const WorkspaceQuota&) const = default;
};

/// @brief Customer with the keys that identify its callers, its priority and its quota.
struct EntryWorkspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    std::optional<WorkspaceQuota> quota;

    auto operator<=>(const EntryWorkspace&) const = default;
};

/// @brief Bounds for the number of a service's upstreams, and their prices.
struct ScaleLimits {
    /// Per availability zone, on-demand and reclaimable upstreams together.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    /// Time from an order until the upstream serves requests.
    Duration bootTime {};
    /// Price of a reclaimable upstream as a fraction of the on-demand price. If unset, there are no reclaimable
    /// upstreams.
    std::optional<double> reclaimablePrice;
    /// Relative price of an on-demand upstream by zone.
    std::map<AvailabilityZone, double> zonePrices;

    auto operator<=>(const ScaleLimits&) const = default;
};

/// @brief Service and the properties that its upstreams have in common.
struct EntryService {
    ServiceName name;
    std::string healthPath;
    /// Total number of connections that one upstream accepts.
    std::uint32_t maxConnections = 0;
    /// True for model engines, which cache prompts in memory.
    bool isEngine = false;
    /// Tokens that fit into the KV cache of one engine; 0 for plain services.
    std::uint64_t kvCacheTokens = 0;
    std::optional<ScaleLimits> scale;
    /// Time after its start for which an upstream is cold; zero if upstreams are never cold.
    Duration coldTime {};
    /// Requests per second from all nodes together that a cold upstream sustains; 0 for no such limit.
    double coldRate = 0;

    auto operator<=>(const EntryService&) const = default;
};

/// @brief Limits on what callers may send.
struct CallerLimits {
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// Time in which a request must arrive completely.
    Duration headerTimeout {};
    /// Time that a connection may stay open without a request.
    Duration idleTimeout {};

    auto operator<=>(const CallerLimits&) const = default;
};

/// @brief Operator configuration of a deployment whose upstreams register themselves.
struct EntryConfiguration {
    std::uint64_t version = 0;
    std::vector<EntryRoute> routes;
    std::vector<EntryService> services;
    /// Empty if callers need no keys.
    std::vector<EntryWorkspace> workspaces;
    CallerLimits limits;

    auto operator<=>(const EntryConfiguration&) const = default;

    const EntryService* findService(const ServiceName& name) const;
};

} // namespace teaselshore
