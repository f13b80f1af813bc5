#include "upstream_routing.hpp"

#include <algorithm>
#include <map>

namespace teaselshore {

namespace {

    /// Assumed one-way delay between availability zones. The router uses it only to order zones by distance.
    constexpr Duration zoneDelay = std::chrono::milliseconds(5);

    ClassConfiguration classOf(const EntryRoute& route)
    {
        ClassConfiguration result;
        result.name = ClassName(route.name.value());
        result.priority = route.priority;
        result.firstTokenTarget = route.latencyTarget;
        result.deadline = route.timeout;
        return result;
    }

    UpstreamConfiguration toUpstream(const RegisteredUpstream& upstream)
    {
        UpstreamConfiguration result;
        result.id = upstream.id();
        result.zone = upstream.zone;
        result.address = upstream.address;
        result.version = upstream.version;
        result.capacity = upstream.slots;
        result.reclaimable = upstream.reclaimable;
        return result;
    }

} // namespace

Configuration routingConfiguration(const EntryConfiguration& configuration,
    const std::vector<RegisteredUpstream>& upstreams, const EntrySettings& host)
{
    Configuration result;
    result.regions.push_back({ Region("region"), host.zones });
    result.defaultLink.delay = zoneDelay;
    for (const EntryRoute& route : configuration.routes)
        result.classes.push_back(classOf(route));
    for (const EntryService& service : configuration.services) {
        ServiceConfiguration entry;
        entry.name = service.name;
        entry.kind = service.isEngine ? ServiceKind::Engine : ServiceKind::Plain;
        for (const RegisteredUpstream& upstream : upstreams) {
            if (upstream.service == service.name && !upstream.draining)
                entry.upstreams.push_back(toUpstream(upstream));
        }
        result.services.push_back(std::move(entry));
    }
    return result;
}

std::unordered_map<UpstreamId, std::string> usableInstances(const std::vector<RegisteredUpstream>& upstreams)
{
    std::unordered_map<UpstreamId, std::string> instances;
    for (const RegisteredUpstream& upstream : upstreams) {
        if (!upstream.draining)
            instances.emplace(upstream.id(), upstream.instance);
    }
    return instances;
}

std::vector<VersionShare> versionShares(const std::vector<RegisteredUpstream>& upstreams,
    const std::vector<RolloutOrder>& rollouts, const std::set<ServiceVersion>& unknown)
{
    std::map<ServiceName, std::map<VersionName, std::uint32_t>> counts;
    for (const RegisteredUpstream& upstream : upstreams)
        counts[upstream.service][upstream.version] += upstream.draining ? 0 : 1;
    std::vector<VersionShare> shares;
    for (const auto& [service, versions] : counts) {
        const auto order = std::find_if(rollouts.begin(), rollouts.end(),
            [&service = service](const RolloutOrder& entry) { return entry.service == service; });
        for (const auto& [version, count] : versions) {
            double share = unknown.contains({ service, version }) ? 0 : count;
            if (order != rollouts.end()) {
                const bool isTarget = version == order->target;
                const double target = order->state == RolloutOrder::State::Complete ? 1
                    : order->state == RolloutOrder::State::RolledBack               ? 0
                                                                                    : order->share;
                share = isTarget ? target : 1 - target;
            }
            shares.push_back({ service, version, share });
        }
    }
    return shares;
}

} // namespace teaselshore
