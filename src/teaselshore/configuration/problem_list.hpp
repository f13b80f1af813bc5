#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/configuration/problem.hpp"

namespace teaselshore {

/// @brief Position in a text; both numbers are 1-based.
struct TextPosition {
    std::size_t line = 1;
    std::size_t column = 1;

    auto operator<=>(const TextPosition&) const = default;
};

/// @brief Collects the problems of one text, up to a limit, so that a hostile text cannot produce an endless report.
class ProblemList {
public:
    void add(TextPosition position, std::string path, std::string message);

    bool empty() const { return this->problems.empty(); }

    /// @brief Appends the problems to target in the order of their positions.
    void appendTo(std::vector<ConfigurationProblem>& target) const;

private:
    std::vector<ConfigurationProblem> problems;
    std::size_t dropped = 0;
};

/// @brief Returns the text in single quotes, shortened and with control characters replaced.
std::string quoted(std::string_view text);

/// @brief Returns a hint for an unknown word: "; did you mean 'x'?", the list of a few known words, or nothing.
std::string suggestion(std::string_view word, const std::vector<std::string>& known);

} // namespace teaselshore
