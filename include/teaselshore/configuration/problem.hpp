#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teaselshore {

/// @brief One fault of a configuration or settings text and its position.
struct ConfigurationProblem {
    /// 1-based.
    std::size_t line = 1;
    /// 1-based, in bytes.
    std::size_t column = 1;
    /// Dotted path of the value, for example "services[0].routes[1].class"; empty for the text as a whole.
    std::string path;
    std::string message;

    auto operator<=>(const ConfigurationProblem&) const = default;
};

/// @brief Returns "line:column: path: message".
std::string describe(const ConfigurationProblem& problem);

/// @brief Returns one line for a file that cannot be used: its first problem and the number of the others.
///
/// Precondition: problems is not empty.
std::string describeFirst(std::string_view fileName, const std::vector<ConfigurationProblem>& problems);

} // namespace teaselshore
