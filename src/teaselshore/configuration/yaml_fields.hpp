#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "yaml_document.hpp"

namespace teaselshore {

enum class Presence {
    Required,
    Optional,
};

/// @brief Closed range of accepted numbers.
struct NumberRange {
    double lowest = 0;
    double highest = 0;
};

/// @brief A value of the text, its path, and the list that takes its problems.
///
/// The reading methods report a problem and return nothing if the value has another type or is out of range.
/// The document and the list must outlive the cursor.
class YamlCursor {
public:
    YamlCursor(const YamlNode& node, std::string path, ProblemList& problems);

    void report(std::string message) const;

    /// @brief Reads one line of text without control characters.
    std::optional<std::string> text(std::size_t maxBytes) const;
    /// @brief Reads a name: 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit.
    std::optional<std::string> name() const;
    std::optional<double> number(NumberRange range) const;
    std::optional<std::int64_t> integer(NumberRange range) const;
    std::optional<bool> boolean() const;
    std::vector<YamlCursor> items() const;

    const YamlNode& node() const { return *this->source; }
    const std::string& path() const { return this->location; }
    ProblemList& problems() const { return *this->list; }
    TextPosition position() const { return this->source->position; }

private:
    const YamlScalar* scalar(std::string_view expected) const;

    const YamlNode* source;
    std::string location;
    ProblemList* list;
};

/// @brief Reads the fields of a map. A key that no method asked for is reported by finish().
class YamlFields {
public:
    /// Reports a value that is not a map and duplicate keys.
    explicit YamlFields(const YamlCursor& map);

    /// @brief Returns the field; reports it as missing if it is required.
    std::optional<YamlCursor> find(std::string_view key, Presence presence = Presence::Optional);

    /// @brief Returns the elements of a sequence field.
    std::vector<YamlCursor> items(std::string_view key, Presence presence = Presence::Optional);

    // The methods below leave the target as it is if the field is absent or has a problem.
    void text(std::string_view key, std::string& target, Presence presence = Presence::Optional);
    void number(std::string_view key, double& target, NumberRange range, Presence presence = Presence::Optional);
    void milliseconds(
        std::string_view key, Duration& target, NumberRange range, Presence presence = Presence::Optional);
    void boolean(std::string_view key, bool& target, Presence presence = Presence::Optional);

    template <typename T>
    void integer(std::string_view key, T& target, NumberRange range, Presence presence = Presence::Optional)
    {
        const std::optional<YamlCursor> field = this->find(key, presence);
        const std::optional<std::int64_t> value = field ? field->integer(range) : std::nullopt;
        if (value)
            target = static_cast<T>(*value);
    }

    template <typename Tag> void name(std::string_view key, Name<Tag>& target, Presence presence = Presence::Optional)
    {
        const std::optional<YamlCursor> field = this->find(key, presence);
        std::optional<std::string> value = field ? field->name() : std::nullopt;
        if (value)
            target = Name<Tag>(std::move(*value));
    }

    /// @brief Reads a name that must be among the known ones.
    template <typename Tag>
    void reference(std::string_view key, Name<Tag>& target, const std::set<Name<Tag>>& known, std::string_view what,
        Presence presence = Presence::Optional);

    /// @brief Reports the keys that were not asked for, with the nearest known key.
    void finish();

    const YamlCursor& cursor() const { return this->map; }

private:
    YamlCursor map;
    std::vector<std::string> known;
    std::map<std::string, const YamlEntry*, std::less<>> entries;
};

/// @brief Reads a name at the cursor that must be among the known ones.
template <typename Tag>
std::optional<Name<Tag>> readReference(
    const YamlCursor& cursor, const std::set<Name<Tag>>& known, std::string_view what)
{
    std::optional<std::string> value = cursor.name();
    if (!value)
        return std::nullopt;
    Name<Tag> name(std::move(*value));
    if (known.contains(name))
        return name;

    std::vector<std::string> words;
    for (const Name<Tag>& word : known) {
        // The empty name stands for a declaration whose name has a problem of its own.
        if (!word.empty())
            words.push_back(word.value());
    }
    cursor.report(fmt::format("unknown {} {}{}", what, quoted(name.value()), suggestion(name.value(), words)));
    return std::nullopt;
}

template <typename Tag>
void YamlFields::reference(
    std::string_view key, Name<Tag>& target, const std::set<Name<Tag>>& known, std::string_view what, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    if (!field)
        return;
    if (const auto name = readReference(*field, known, what))
        target = *name;
}

/// @brief Reports values that occur more than once in a text.
template <typename T> class UniqueValues {
public:
    explicit UniqueValues(std::string what)
        : what(std::move(what))
    {
    }

    /// @brief Adds a value; reports it at the cursor if it was added before.
    void add(const T& value, const YamlCursor& cursor, std::string_view shown)
    {
        const auto [entry, added] = this->positions.try_emplace(value, cursor.position());
        if (!added)
            cursor.report(
                fmt::format("duplicate {} {}; first on line {}", this->what, quoted(shown), entry->second.line));
    }

    template <typename Tag> void add(const Name<Tag>& name, const YamlCursor& cursor)
    {
        if (!name.empty())
            this->add(name, cursor, name.value());
    }

private:
    std::string what;
    std::map<T, TextPosition> positions;
};

} // namespace teaselshore
