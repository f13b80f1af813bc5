#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/configuration/problem.hpp"

namespace teaselshore {

/// @brief Largest accepted text, in bytes. The platform's object API stores values of up to 1 MB.
constexpr std::size_t maxConfigurationBytes = 1'000'000;

/// @brief Parses and checks an operator configuration (YAML).
///
/// Returns the configuration if the text has no problem. Otherwise returns nothing and appends every problem found, in
/// the order of their positions; a syntax error ends the search. Any bytes are allowed as input: text that is too long
/// or nested too deep, anchors, aliases, tags and control characters are problems. Thread-safe, throws nothing.
std::optional<Configuration> parseConfiguration(std::string_view text, std::vector<ConfigurationProblem>& problems);

} // namespace teaselshore
