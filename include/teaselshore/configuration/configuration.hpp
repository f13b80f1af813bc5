#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Point in calendar time (UTC), as written in the operator configuration.
using WallTime = std::chrono::sys_seconds;

/// @brief Region and its availability zones.
struct RegionConfiguration {
    Region name;
    std::vector<AvailabilityZone> zones;

    auto operator<=>(const RegionConfiguration&) const = default;
};

/// @brief One-way delay and transfer cost between two availability zones.
struct Link {
    Duration delay {};
    /// Currency units per gigabyte.
    double costPerGigabyte = 0;

    auto operator<=>(const Link&) const = default;
};

/// @brief Link between a named pair of availability zones; the order of the pair does not matter.
struct LinkConfiguration {
    AvailabilityZone first;
    AvailabilityZone second;
    Link link;

    auto operator<=>(const LinkConfiguration&) const = default;
};

/// @brief Machine class that the cloud offers.
struct HostClassConfiguration {
    HostClass name;
    std::uint32_t accelerators = 0;

    auto operator<=>(const HostClassConfiguration&) const = default;
};

/// @brief Hourly prices of one host class in one availability zone.
struct PriceConfiguration {
    AvailabilityZone zone;
    HostClass hostClass;
    double reclaimablePerHour = 0;
    double onDemandPerHour = 0;
    /// Probability that a reclaimable host is reclaimed within an hour, in [0, 1].
    double reclaimRiskPerHour = 0;

    auto operator<=>(const PriceConfiguration&) const = default;
};

/// @brief Latency class of requests.
struct ClassConfiguration {
    ClassName name;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> betweenTokensTarget;
    Duration deadline = std::chrono::seconds(30);

    auto operator<=>(const ClassConfiguration&) const = default;
};

/// @brief Customer of the operator and its weight in fair sharing.
struct WorkspaceConfiguration {
    WorkspaceName name;
    double share = 1;

    auto operator<=>(const WorkspaceConfiguration&) const = default;
};

enum class ServiceKind {
    Engine,
    Plain,
};

/// @brief Version of a service and, for a new one, the time by which all traffic must have moved to it.
struct VersionConfiguration {
    VersionName name;
    std::optional<WallTime> moveBy;

    auto operator<=>(const VersionConfiguration&) const = default;
};

/// @brief One back end process of a service.
struct UpstreamConfiguration {
    UpstreamId id;
    AvailabilityZone zone;
    /// "address:port" with an IPv4 address.
    std::string address;
    VersionName version;
    HostClass hostClass;
    /// Number of requests that it runs at the same time without queueing.
    std::uint32_t capacity = 1;
    bool reclaimable = false;

    auto operator<=>(const UpstreamConfiguration&) const = default;
};

/// @brief Set of requests of a service, selected by path prefix and method.
struct RouteConfiguration {
    RouteName name;
    std::string pathPrefix;
    /// Empty matches every method.
    std::string method;
    ClassName latencyClass;
    bool idempotent = false;

    auto operator<=>(const RouteConfiguration&) const = default;
};

/// @brief Service with its versions, upstreams and routes.
struct ServiceConfiguration {
    ServiceName name;
    ServiceKind kind = ServiceKind::Plain;
    std::string model;
    /// True if its upstreams refuse control commands with an old fencing token.
    bool checksFencing = false;
    std::vector<ServiceName> dependsOn;
    /// Path prefix under which an upstream tells how often an idempotency key ran; empty if it cannot tell.
    std::string outcomeLookup;
    std::vector<VersionConfiguration> versions;
    std::vector<UpstreamConfiguration> upstreams;
    std::vector<RouteConfiguration> routes;

    auto operator<=>(const ServiceConfiguration&) const = default;
};

/// @brief Checked operator configuration. Immutable once parsed; see parseConfiguration().
struct Configuration {
    std::string revisionNote;
    std::vector<RegionConfiguration> regions;
    Link defaultLink;
    std::vector<LinkConfiguration> links;
    std::vector<HostClassConfiguration> hostClasses;
    std::vector<PriceConfiguration> prices;
    /// Minimum spend owed to the provider, currency units per hour.
    double commitmentPerHour = 0;
    std::vector<ClassConfiguration> classes;
    std::vector<WorkspaceConfiguration> workspaces;
    std::vector<ServiceConfiguration> services;

    auto operator<=>(const Configuration&) const = default;

    const ServiceConfiguration* findService(const ServiceName& name) const;
    const ClassConfiguration* findClass(const ClassName& name) const;

    /// @brief Returns the link between two zones; zero delay and cost within one zone.
    Link linkBetween(const AvailabilityZone& first, const AvailabilityZone& second) const;
};

/// @brief Service and route that match a request.
struct RouteMatch {
    const ServiceConfiguration* service = nullptr;
    const RouteConfiguration* route = nullptr;
};

/// @brief Returns the route with the longest matching path prefix whose method matches; nothing if there is none.
///
/// The pointers stay valid as long as the configuration.
std::optional<RouteMatch> matchRoute(
    const Configuration& configuration, const std::string& method, const std::string& path);

} // namespace teaselshore
