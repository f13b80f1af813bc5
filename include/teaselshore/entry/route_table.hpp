#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "teaselshore/entry/entry_configuration.hpp"

namespace teaselshore {

/// @brief Configuration with indexes for looking up routes and keys. Immutable, therefore thread-safe.
class RouteTable {
public:
    explicit RouteTable(EntryConfiguration configuration);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    const EntryConfiguration& configuration() const { return this->storedConfiguration; }
    /// @brief Returns the route of the host with the longest prefix of the path; null if no route matches.
    ///
    /// A port in the host and a query in the path are ignored.
    const EntryRoute* match(std::string_view host, std::string_view path) const;
    /// @brief Returns the workspace that holds the key; null if no workspace does.
    const EntryWorkspace* findWorkspaceByKey(const std::string& key) const;

private:
    EntryConfiguration storedConfiguration;
    /// Key: host and path prefix, joined by a space, which neither of them contains.
    std::unordered_map<std::string, const EntryRoute*> routes;
    std::unordered_map<std::string, const EntryWorkspace*> keys;
};

} // namespace teaselshore
