#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselshore/base/lenient_json.hpp"
#include "teaselshore/base/log.hpp"

namespace teaselshore {

/// @brief Reads a list of the platform whose entries others wrote; nothing if the list itself cannot be read.
///
/// An entry that cannot be read, or for which the conversion throws an exception of the JSON library, is left out, so
/// that it does not hide the others. Thread-safe.
template <typename Value>
std::optional<std::vector<Value>> readEntries(
    std::string_view body, const JsonArrayLayout& layout, Value (*convert)(const nlohmann::json&))
{
    std::string reason;
    const std::optional<JsonArrayDocument> document = readJsonArray(body, layout, reason);
    if (!document) {
        logLine(LogLevel::Warning, "reply of the platform cannot be read", { { "reason", reason } });
        return std::nullopt;
    }
    std::vector<Value> values;
    std::string problem = document->firstProblem;
    for (const LenientJson& element : document->elements) {
        try {
            values.push_back(convert(element.value));
        } catch (const nlohmann::json::exception& exception) {
            problem = problem.empty() ? exception.what() : problem;
        }
    }
    if (values.size() < document->elements.size())
        logLine(LogLevel::Warning, "entries of the platform cannot be read",
            { { "list", layout.array }, { "count", document->elements.size() - values.size() },
                { "reason", problem } });
    return values;
}

} // namespace teaselshore
