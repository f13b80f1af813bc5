#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace teaselshore {

/// @brief Value of which some parts may have been unreadable.
struct LenientJson {
    nlohmann::json value;
    /// True if the text could not be read as it is.
    bool isDamaged = false;
};

/// @brief Where a document keeps its array of objects.
struct JsonArrayLayout {
    /// Member that holds the array.
    std::string_view array;
    /// Another member, which every such document has; empty if the array is the only one.
    std::string_view companion;
    /// Members of the array's elements. After an element that ends nowhere, the next one begins where an object with
    /// one of these begins.
    std::vector<std::string_view> elementMembers;
    /// Levels of objects in an element whose members are read one by one if the whole cannot be read.
    std::size_t levels = 1;
};

/// @brief Document with an array of objects, each of which was read by itself.
struct JsonArrayDocument {
    /// The document with an empty array.
    nlohmann::json frame;
    std::vector<LenientJson> elements;
    /// Why the first damaged element could not be read; empty if there is none.
    std::string firstProblem;
};

/// @brief Reads a value that another program wrote.
///
/// Values that the parser refuses are replaced: bytes that are not UTF-8 by the replacement character; other texts,
/// numbers out of range, words that JSON does not have, and values nested deeper than 32 levels by null. If the text
/// still cannot be read and is an object, its members are read one by one, down to the given number of levels; those
/// that cannot be read are null, and those behind a member without an end are missing. Otherwise the value is null.
/// Never throws. Thread-safe.
LenientJson readLenientJson(std::string_view text, std::size_t levels);

/// @brief Reads a document with an array of objects from several writers, so that no element hides the others.
///
/// Elements are told apart by brackets and quotes alone, before any of them is parsed. Nothing with the reason set if
/// the rest of the document cannot be read. Never throws. Thread-safe.
std::optional<JsonArrayDocument> readJsonArray(
    std::string_view text, const JsonArrayLayout& layout, std::string& reason);

} // namespace teaselshore
