#pragma once

#include <string>
#include <vector>

#include <fmt/format.h>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore::test_support {

inline const ServiceName assistant { "assistant" };
inline const ClassName interactive { "interactive" };
inline const ClassName patient { "patient" };
inline const VersionName firstVersion { "v1" };
inline const VersionName secondVersion { "v2" };

inline AvailabilityZone zoneName(std::size_t zone) { return AvailabilityZone(fmt::format("zone-{}", zone)); }

inline UpstreamId engineId(std::size_t engine) { return UpstreamId(fmt::format("engine-{}", engine)); }

/// @brief Returns a configuration with one engine service. Engine i is in zone i % zones; odd zones are more expensive.
inline Configuration makeConfiguration(std::size_t zones, std::size_t engines, std::uint32_t capacity = 8)
{
    Configuration configuration;
    configuration.defaultLink = { std::chrono::milliseconds(5), 0.01 };
    RegionConfiguration region { Region("region"), {} };
    for (std::size_t zone = 0; zone < zones; zone++) {
        region.zones.push_back(zoneName(zone));
        configuration.prices.push_back({ zoneName(zone), HostClass("gpu"), zone % 2 == 0 ? 2.0 : 3.0, 6, 0.05 });
    }
    configuration.regions.push_back(region);
    configuration.classes
        = { { interactive, 0, std::chrono::milliseconds(530), std::chrono::milliseconds(38), std::chrono::seconds(30) },
              { patient, 2, std::nullopt, std::nullopt, std::chrono::hours(1) } };
    ServiceConfiguration service;
    service.name = assistant;
    service.kind = ServiceKind::Engine;
    service.versions = { { firstVersion, std::nullopt } };
    for (std::size_t engine = 0; engine < engines; engine++) {
        service.upstreams.push_back({ engineId(engine), zoneName(engine % zones), fmt::format("127.0.0.1:{}", engine),
            firstVersion, HostClass("gpu"), capacity, true });
    }
    configuration.services.push_back(service);
    return configuration;
}

/// @brief Returns chained block hashes of a prompt; prompts with the same text share all blocks, or only the first
/// sharedBlocks if they have different suffixes.
inline std::vector<Fingerprint> promptBlocks(
    std::string_view text, std::size_t count, std::string_view suffix = "", std::size_t sharedBlocks = 0)
{
    std::vector<Fingerprint> blocks;
    Fingerprint chain = 0;
    for (std::size_t i = 0; i < count; i++) {
        const std::string_view source = suffix.empty() || i < sharedBlocks ? text : suffix;
        chain = combine(chain, fingerprint(source));
        blocks.push_back(chain);
    }
    return blocks;
}

inline RoutingRequest makeRequest(const ClassName& latencyClass = interactive)
{
    RoutingRequest request;
    request.service = assistant;
    request.latencyClass = latencyClass;
    request.promptTokens = 640;
    request.expectedOutputTokens = 100;
    return request;
}

} // namespace teaselshore::test_support
