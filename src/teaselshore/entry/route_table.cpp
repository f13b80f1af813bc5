#include "teaselshore/entry/route_table.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    std::string toLowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(),
            [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; });
        return result;
    }

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        return toLowerCase(host.substr(0, host.find(':'))).append(" ").append(prefix);
    }

} // namespace

const EntryService* EntryConfiguration::findService(const ServiceName& name) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
        [&name](const EntryService& service) { return service.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

RouteTable::RouteTable(EntryConfiguration configuration)
    : storedConfiguration(std::move(configuration))
{
    for (const EntryRoute& route : this->storedConfiguration.routes)
        this->routes.emplace(routeKey(route.host, route.pathPrefix), &route);
    for (const EntryWorkspace& workspace : this->storedConfiguration.workspaces) {
        for (const std::string& key : workspace.keys)
            this->keys.emplace(key, &workspace);
    }
}

const EntryRoute* RouteTable::match(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so a matching prefix can only end at a slash of the path.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = this->routes.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != this->routes.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const EntryWorkspace* RouteTable::findWorkspaceByKey(const std::string& key) const
{
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? nullptr : found->second;
}

} // namespace teaselshore
