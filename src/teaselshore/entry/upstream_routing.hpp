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

/// @brief Part of a service's traffic that goes to one version, relative to the parts of the others.
struct VersionShare {
    ServiceName service;
    VersionName version;
    double share = 0;

    auto operator<=>(const VersionShare&) const = default;
};

/// @brief Returns the configuration for the router: the operator's services with the upstreams that take new work.
Configuration routingConfiguration(const EntryConfiguration& configuration,
    const std::vector<RegisteredUpstream>& upstreams, const EntrySettings& host);

/// @brief Returns the instance names of the upstreams that take new work.
std::unordered_map<UpstreamId, std::string> usableInstances(const std::vector<RegisteredUpstream>& upstreams);

/// @brief Returns the share of each registered version.
///
/// Without a rollout the versions of a service share its traffic by their upstreams, but for unknown versions, which
/// get none: a rollout to them may have been ordered that this node has not read yet.
std::vector<VersionShare> versionShares(const std::vector<RegisteredUpstream>& upstreams,
    const std::vector<RolloutOrder>& rollouts, const std::set<ServiceVersion>& unknown);

} // namespace teaselshore
