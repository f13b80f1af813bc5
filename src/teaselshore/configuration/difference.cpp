#include "teaselshore/configuration/difference.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/configuration/wall_time.hpp"

namespace teaselshore {

namespace {

    using Fields = std::map<std::string, std::string>;
    using Elements = std::map<std::pair<ChangeSubject, std::string>, Fields>;

    std::string milliseconds(Duration length) { return fmt::format("{}", toMilliseconds(length)); }

    std::string milliseconds(const std::optional<Duration>& length) { return length ? milliseconds(*length) : "none"; }

    std::string orNone(const std::string& text) { return text.empty() ? "none" : text; }

    void addService(Elements& elements, const ServiceConfiguration& service)
    {
        std::vector<std::string> versions;
        for (const VersionConfiguration& version : service.versions) {
            versions.push_back(version.name.value());
            elements[{ ChangeSubject::Version, fmt::format("{}/{}", service.name, version.name) }]
                = { { "move-by", version.moveBy ? formatWallTime(*version.moveBy) : "none" } };
        }
        elements[{ ChangeSubject::Service, service.name.value() }] = {
            { "kind", service.kind == ServiceKind::Engine ? "engine" : "plain" },
            { "model", orNone(service.model) },
            { "checks-fencing", fmt::format("{}", service.checksFencing) },
            { "depends-on", orNone(fmt::format("{}", fmt::join(service.dependsOn, ", "))) },
            { "outcome-lookup", orNone(service.outcomeLookup) },
            { "versions", orNone(fmt::format("{}", fmt::join(versions, ", "))) },
        };
        for (const UpstreamConfiguration& upstream : service.upstreams)
            elements[{ ChangeSubject::Upstream, fmt::format("{}/{}", service.name, upstream.id) }] = {
                { "zone", upstream.zone.value() },
                { "address", upstream.address },
                { "version", orNone(upstream.version.value()) },
                { "host-class", orNone(upstream.hostClass.value()) },
                { "capacity", fmt::format("{}", upstream.capacity) },
                { "reclaimable", fmt::format("{}", upstream.reclaimable) },
            };
        for (const RouteConfiguration& route : service.routes)
            elements[{ ChangeSubject::Route, fmt::format("{}/{}", service.name, route.name) }] = {
                { "path", route.pathPrefix },
                { "method", route.method.empty() ? "any" : route.method },
                { "class", route.latencyClass.value() },
                { "idempotent", fmt::format("{}", route.idempotent) },
            };
    }

    Fields linkFields(const Link& link)
    {
        return { { "delay-ms", milliseconds(link.delay) }, { "cost-per-gb", fmt::format("{}", link.costPerGigabyte) } };
    }

    Elements elementsOf(const Configuration& configuration)
    {
        Elements elements;
        elements[{ ChangeSubject::General, "" }] = {
            { "revision-note", orNone(configuration.revisionNote) },
            { "commitment.hourly", fmt::format("{}", configuration.commitmentPerHour) },
        };
        for (const RegionConfiguration& region : configuration.regions)
            elements[{ ChangeSubject::Region, region.name.value() }]
                = { { "zones", fmt::format("{}", fmt::join(region.zones, ", ")) } };
        elements[{ ChangeSubject::Link, "default" }] = linkFields(configuration.defaultLink);
        for (const LinkConfiguration& link : configuration.links) {
            const auto [first, second] = std::minmax(link.first, link.second);
            elements[{ ChangeSubject::Link, fmt::format("{}/{}", first, second) }] = linkFields(link.link);
        }
        for (const HostClassConfiguration& hostClass : configuration.hostClasses)
            elements[{ ChangeSubject::HostClass, hostClass.name.value() }]
                = { { "accelerators", fmt::format("{}", hostClass.accelerators) } };
        for (const PriceConfiguration& price : configuration.prices)
            elements[{ ChangeSubject::Price, fmt::format("{}/{}", price.zone, price.hostClass) }] = {
                { "reclaimable", fmt::format("{}", price.reclaimablePerHour) },
                { "on-demand", fmt::format("{}", price.onDemandPerHour) },
                { "reclaim-risk-per-hour", fmt::format("{}", price.reclaimRiskPerHour) },
            };
        for (const ClassConfiguration& latencyClass : configuration.classes)
            elements[{ ChangeSubject::LatencyClass, latencyClass.name.value() }] = {
                { "priority", fmt::format("{}", latencyClass.priority) },
                { "first-token-ms", milliseconds(latencyClass.firstTokenTarget) },
                { "between-tokens-ms", milliseconds(latencyClass.betweenTokensTarget) },
                { "deadline-ms", milliseconds(latencyClass.deadline) },
            };
        for (const WorkspaceConfiguration& workspace : configuration.workspaces)
            elements[{ ChangeSubject::Workspace, workspace.name.value() }]
                = { { "share", fmt::format("{}", workspace.share) } };
        for (const ServiceConfiguration& service : configuration.services)
            addService(elements, service);
        return elements;
    }

    std::string summary(const Fields& fields)
    {
        std::vector<std::string> parts;
        for (const auto& [name, value] : fields) {
            if (value != "none")
                parts.push_back(fmt::format("{} {}", name, value));
        }
        return fmt::format("{}", fmt::join(parts, "; "));
    }

    void addFieldChanges(
        std::vector<ConfigurationChange>& changes, const Elements::value_type& before, const Fields& after)
    {
        const auto& [subject, element] = before.first;
        // Elements of one subject have the same fields.
        for (const auto& [name, value] : before.second) {
            const std::string& newValue = after.at(name);
            if (newValue != value)
                changes.push_back({ ChangeKind::Changed, subject, element, name, value, newValue });
        }
    }

} // namespace

std::vector<ConfigurationChange> difference(const Configuration& before, const Configuration& after)
{
    const Elements oldElements = elementsOf(before);
    const Elements newElements = elementsOf(after);
    std::map<std::pair<ChangeSubject, std::string>, std::vector<ConfigurationChange>> ordered;
    for (const auto& element : oldElements) {
        const auto& [subject, name] = element.first;
        const auto counterpart = newElements.find(element.first);
        if (counterpart == newElements.end())
            ordered[element.first].push_back({ ChangeKind::Removed, subject, name, "", summary(element.second), "" });
        else
            addFieldChanges(ordered[element.first], element, counterpart->second);
    }
    for (const auto& [key, fields] : newElements) {
        if (!oldElements.contains(key))
            ordered[key].push_back({ ChangeKind::Added, key.first, key.second, "", "", summary(fields) });
    }

    std::vector<ConfigurationChange> changes;
    for (auto& [key, ofElement] : ordered)
        changes.insert(
            changes.end(), std::make_move_iterator(ofElement.begin()), std::make_move_iterator(ofElement.end()));
    return changes;
}

std::string describe(ChangeSubject subject)
{
    switch (subject) {
    case ChangeSubject::General:
        return "configuration";
    case ChangeSubject::Region:
        return "region";
    case ChangeSubject::Link:
        return "link";
    case ChangeSubject::HostClass:
        return "host-class";
    case ChangeSubject::Price:
        return "price";
    case ChangeSubject::LatencyClass:
        return "class";
    case ChangeSubject::Workspace:
        return "workspace";
    case ChangeSubject::Service:
        return "service";
    case ChangeSubject::Version:
        return "version";
    case ChangeSubject::Upstream:
        return "upstream";
    case ChangeSubject::Route:
        return "route";
    }
    return "unknown";
}

std::string describe(const ConfigurationChange& change)
{
    std::string subject = change.element.empty() ? describe(change.subject)
                                                 : fmt::format("{} {}", describe(change.subject), change.element);
    switch (change.kind) {
    case ChangeKind::Added:
        return fmt::format("added {}: {}", subject, change.after);
    case ChangeKind::Removed:
        return fmt::format("removed {}: {}", subject, change.before);
    case ChangeKind::Changed:
        return fmt::format("changed {}: {} {} -> {}", subject, change.field, change.before, change.after);
    }
    return subject;
}

} // namespace teaselshore
