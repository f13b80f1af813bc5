#include "teaselshore/configuration/configuration.hpp"

#include <algorithm>
#include <string_view>

namespace teaselshore {

namespace {

    /// A prefix ends at a path segment: "/orders" matches "/orders" and "/orders/7", but not "/orders-archive".
    bool matchesPrefix(std::string_view path, std::string_view prefix)
    {
        if (!path.starts_with(prefix))
            return false;
        return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
    }

    /// A longer prefix wins; of two routes with the same prefix, the one that names the method.
    bool isMoreSpecific(const RouteConfiguration& route, const RouteConfiguration& other)
    {
        if (route.pathPrefix.size() != other.pathPrefix.size())
            return route.pathPrefix.size() > other.pathPrefix.size();
        return !route.method.empty() && other.method.empty();
    }

} // namespace

const ServiceConfiguration* Configuration::findService(const ServiceName& name) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
        [&](const ServiceConfiguration& service) { return service.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

const ClassConfiguration* Configuration::findClass(const ClassName& name) const
{
    const auto found = std::find_if(this->classes.begin(), this->classes.end(),
        [&](const ClassConfiguration& latencyClass) { return latencyClass.name == name; });
    return found == this->classes.end() ? nullptr : &*found;
}

Link Configuration::linkBetween(const AvailabilityZone& first, const AvailabilityZone& second) const
{
    if (first == second)
        return {};
    for (const LinkConfiguration& link : this->links) {
        if ((link.first == first && link.second == second) || (link.first == second && link.second == first))
            return link.link;
    }
    return this->defaultLink;
}

std::optional<RouteMatch> matchRoute(
    const Configuration& configuration, const std::string& method, const std::string& path)
{
    const std::string_view pathOnly = std::string_view(path).substr(0, path.find('?'));
    std::optional<RouteMatch> best;
    for (const ServiceConfiguration& service : configuration.services) {
        for (const RouteConfiguration& route : service.routes) {
            if (!route.method.empty() && route.method != method)
                continue;
            if (!matchesPrefix(pathOnly, route.pathPrefix))
                continue;
            if (!best || isMoreSpecific(route, *best->route))
                best = RouteMatch { &service, &route };
        }
    }
    return best;
}

} // namespace teaselshore
