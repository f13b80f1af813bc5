#pragma once

#include <string>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"

namespace teaselshore {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/// @brief Part of a configuration that a change concerns.
enum class ChangeSubject {
    General,
    Region,
    Link,
    HostClass,
    Price,
    LatencyClass,
    Workspace,
    Service,
    Version,
    Upstream,
    Route,
};

/// @brief One difference between two configurations.
struct ConfigurationChange {
    ChangeKind kind = ChangeKind::Changed;
    ChangeSubject subject = ChangeSubject::General;
    /// Names of the element from the outermost one on, separated by '/', for example "assistant/engine-1".
    std::string element;
    /// Key of the changed value; empty if the element as a whole was added or removed.
    std::string field;
    /// Value or summary of the element before; empty if it was added.
    std::string before;
    /// Value or summary of the element afterwards; empty if it was removed.
    std::string after;

    auto operator<=>(const ConfigurationChange&) const = default;
};

/// @brief Returns what changes from one configuration to another, ordered by subject, element and field.
///
/// Empty if and only if the two differ at most in the order of their elements. The order of the versions of a service
/// counts, because the first is the one to move from.
std::vector<ConfigurationChange> difference(const Configuration& before, const Configuration& after);

/// @brief Returns the key of the configuration text that holds the subject, for example "upstream".
std::string describe(ChangeSubject subject);

/// @brief Returns one line such as "changed upstream assistant/engine-1: capacity 32 -> 16".
std::string describe(const ConfigurationChange& change);

} // namespace teaselshore
