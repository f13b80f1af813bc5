#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "teaselshore/entry/entry_configuration.hpp"

namespace teaselshore {

/// @brief Configuration with the indexes that each request needs. Immutable; thread-safe as any const value.
class RouteTable {
public:
    explicit RouteTable(EntryConfiguration configuration);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    const EntryConfiguration& configuration() const { return this->plan; }
    /// @brief Returns the route of the host with the longest prefix that begins the path; null if there is none.
    ///
    /// The host may carry a port, which is ignored, and the path a query.
    const EntryRoute* match(std::string_view host, std::string_view path) const;
    /// @brief Returns the workspace that holds the key; null if no workspace does.
    const EntryWorkspace* findKey(const std::string& key) const;

private:
    EntryConfiguration plan;
    /// By host and prefix, joined with a space, which neither contains.
    std::unordered_map<std::string, const EntryRoute*> routes;
    std::unordered_map<std::string, const EntryWorkspace*> keys;
};

} // namespace teaselshore
