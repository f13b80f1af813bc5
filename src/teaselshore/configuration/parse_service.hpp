#pragma once

#include <set>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"
#include "yaml_fields.hpp"

namespace teaselshore {

/// @brief Names that services may refer to.
struct DeclaredNames {
    std::set<AvailabilityZone> zones;
    std::set<HostClass> hostClasses;
    std::set<ClassName> classes;
};

/// @brief Reads the services and checks what holds within and between them.
std::vector<ServiceConfiguration> readServices(const std::vector<YamlCursor>& items, const DeclaredNames& names);

} // namespace teaselshore
