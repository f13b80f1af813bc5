#include "problem_list.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr std::size_t maxProblems = 200;
    constexpr std::size_t maxQuotedBytes = 60;
    constexpr std::size_t maxListedWords = 12;

    /// Words this far apart or further are not suggested for each other.
    std::size_t suggestionLimit(std::string_view word) { return std::max<std::size_t>(2, word.size() / 3) + 1; }

    std::size_t editDistance(std::string_view first, std::string_view second)
    {
        std::vector<std::size_t> row(second.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 0; i < first.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < second.size(); ++j) {
                const std::size_t replaced = diagonal + (first[i] == second[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

} // namespace

void ProblemList::add(TextPosition position, std::string path, std::string message)
{
    if (this->problems.size() >= maxProblems) {
        ++this->dropped;
        return;
    }
    this->problems.push_back({ position.line, position.column, std::move(path), std::move(message) });
}

void ProblemList::appendTo(std::vector<ConfigurationProblem>& target) const
{
    std::vector<ConfigurationProblem> sorted = this->problems;
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto& first, const auto& second) {
        return std::pair(first.line, first.column) < std::pair(second.line, second.column);
    });
    target.insert(target.end(), sorted.begin(), sorted.end());
    if (this->dropped > 0)
        target.push_back({ sorted.back().line, sorted.back().column, "",
            fmt::format("{} more problems are not listed", this->dropped) });
}

std::string quoted(std::string_view text)
{
    std::string result = "'";
    for (const char byte : text.substr(0, maxQuotedBytes))
        result.push_back(static_cast<unsigned char>(byte) < 0x20 || byte == 0x7f ? '?' : byte);
    // A multi-byte character must not be cut in the middle.
    while (text.size() > maxQuotedBytes && result.size() > 1 && (static_cast<unsigned char>(result.back()) & 0x80) != 0)
        result.pop_back();
    return result + (text.size() > maxQuotedBytes ? "...'" : "'");
}

std::string suggestion(std::string_view word, const std::vector<std::string>& known)
{
    std::size_t best = suggestionLimit(word);
    const std::string* nearest = nullptr;
    for (const std::string& candidate : known) {
        const std::size_t longer = std::max(word.size(), candidate.size());
        const std::size_t shorter = std::min(word.size(), candidate.size());
        if (longer - shorter >= best)
            continue;
        const std::size_t distance = editDistance(word, candidate);
        if (distance >= best)
            continue;
        best = distance;
        nearest = &candidate;
    }
    if (nearest != nullptr)
        return fmt::format("; did you mean {}?", quoted(*nearest));
    if (known.empty() || known.size() > maxListedWords)
        return "";
    return fmt::format("; known: {}", fmt::join(known, ", "));
}

} // namespace teaselshore
