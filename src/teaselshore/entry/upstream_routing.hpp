#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_configuration.hpp"
#include "teaselshore/entry/registered_upstream.hpp"

namespace teaselshore {

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
/// Without a rollout the versions of a service share its traffic by their upstreams.
std::vector<VersionShare> versionShares(
    const std::vector<RegisteredUpstream>& upstreams, const std::vector<RolloutOrder>& rollouts);

} // namespace teaselshore
