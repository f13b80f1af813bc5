#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "problem_list.hpp"

namespace teaselshore {

struct YamlNode;
struct YamlEntry;

struct YamlNull { };

struct YamlScalar {
    std::string text;
    /// True if the text stands in quotes or is a block scalar, so that it is never a number or a boolean.
    bool quoted = false;
};

struct YamlSequence {
    std::vector<YamlNode> items;
};

struct YamlMap {
    std::vector<YamlEntry> entries;
};

/// @brief Value of a YAML text with its position.
struct YamlNode {
    TextPosition position;
    std::variant<YamlNull, YamlScalar, YamlSequence, YamlMap> content;
};

/// @brief Key and value of a map; duplicate keys are kept.
struct YamlEntry {
    YamlNode key;
    YamlNode value;
};

/// @brief Reads the single document of a text, within limits on size, depth and number of values.
///
/// Anchors, aliases and tags are refused: they have no use here, and aliases can blow up a small text.
std::optional<YamlNode> parseYaml(std::string_view text, std::size_t maxBytes, ProblemList& problems);

} // namespace teaselshore
