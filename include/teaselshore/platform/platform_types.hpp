#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Object read from the object API. The version grows with each write.
struct StoredObject {
    std::string value;
    std::uint64_t version = 0;

    auto operator<=>(const StoredObject&) const = default;
};

/// @brief Key and version of one listed object.
struct ListedObject {
    std::string key;
    std::uint64_t version = 0;

    auto operator<=>(const ListedObject&) const = default;
};

/// @brief Request for one new host.
struct CloudHostRequest {
    AvailabilityZone zone;
    HostClass hostClass;
    /// False for an on-demand host.
    bool reclaimable = true;
    /// What shall run on the host, for example "engine".
    std::string role;
    std::string address;

    auto operator<=>(const CloudHostRequest&) const = default;
};

enum class CloudHostState {
    Starting,
    Live,
    Departing,
};

/// @brief Host as the cloud API and the host list report it.
struct CloudHost {
    std::string id;
    AvailabilityZone zone;
    HostClass hostClass;
    bool reclaimable = true;
    CloudHostState state = CloudHostState::Starting;
    std::string role;
    /// "address:port" of the process on the host; empty if unknown.
    std::string address;

    auto operator<=>(const CloudHost&) const = default;
};

/// @brief Hourly price of one offer, in currency units.
struct CloudPrice {
    AvailabilityZone zone;
    HostClass hostClass;
    double reclaimablePerHour = 0;
    double onDemandPerHour = 0;

    auto operator<=>(const CloudPrice&) const = default;
};

/// @brief Announcement that a host goes away.
struct CloudNotice {
    /// Increases by one with each notice.
    std::uint64_t number = 0;
    std::string host;
    AvailabilityZone zone;
    /// Time left when the platform answered; negative after the reclaim.
    Duration remaining {};

    auto operator<=>(const CloudNotice&) const = default;
};

/// @brief How current the result of a read must be.
enum class ReadFreshness {
    Current,
    /// May be seconds old; costs the platform less.
    MayBeStale,
};

/// @brief Proof of the right to carry out a task that one node at a time may do.
struct FencedHolder {
    std::string holder;
    /// Grows with each new holder.
    std::uint64_t fencingToken = 0;

    auto operator<=>(const FencedHolder&) const = default;
};

/// @brief Requests of each workspace that began to run within one window of calendar time.
struct UsageReport {
    FencedHolder holder;
    /// Number of the window since 1970.
    std::int64_t window = 0;
    std::map<WorkspaceName, std::uint64_t> requests;

    auto operator<=>(const UsageReport&) const = default;
};

/// @brief Declares how many upstreams of one kind a service should have in one availability zone.
struct UpstreamOrder {
    FencedHolder holder;
    ServiceName service;
    AvailabilityZone zone;
    std::uint32_t count = 0;
    /// Reclaimable upstreams are counted apart from on-demand ones.
    bool reclaimable = false;

    auto operator<=>(const UpstreamOrder&) const = default;
};

} // namespace teaselshore
