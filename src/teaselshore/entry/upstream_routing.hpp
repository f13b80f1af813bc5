#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_configuration.hpp"
#include "teaselshore/entry/registered_upstream.hpp"

namespace teaselshore {

/// @brief One version of a service.
struct ServiceVersion {
    ServiceName service;
    VersionName version;

    auto operator<=>(const ServiceVersion&) const = default;
};

/// @brief Weight of one version in a service's traffic, relative to the other versions.
struct VersionShare {
    ServiceName service;
    VersionName version;
    double share = 0;

    auto operator<=>(const VersionShare&) const = default;
};

/// @brief Returns the router's configuration: the operator's services with their upstreams that accept new requests.
Configuration routingConfiguration(const EntryConfiguration& configuration,
    const std::vector<RegisteredUpstream>& upstreams, const EntrySettings& host);

/// @brief Returns the instance names of the upstreams that accept new requests.
std::unordered_map<UpstreamId, std::string> usableInstances(const std::vector<RegisteredUpstream>& upstreams);

/// @brief Returns the share of each registered version.
///
/// Without a rollout, each version of a service is weighted by its number of upstreams. Unknown versions get no
/// traffic, since there may be a rollout order for them that this node has not read yet.
std::vector<VersionShare> versionShares(const std::vector<RegisteredUpstream>& upstreams,
    const std::vector<RolloutOrder>& rollouts, const std::set<ServiceVersion>& unknown);

} // namespace teaselshore
