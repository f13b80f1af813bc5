#include "yaml_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace teaselshore {

namespace {

    constexpr std::size_t maxNameBytes = 64;
    constexpr std::size_t maxTextBytes = 256;
    /// Longer keys are reported without the search for the nearest known key.
    constexpr std::size_t maxKeyBytes = 64;

    struct KindName {
        std::string operator()(const YamlNull& /*null*/) const { return "empty"; }
        std::string operator()(const YamlScalar& scalar) const { return quoted(scalar.text); }
        std::string operator()(const YamlSequence& /*sequence*/) const { return "a list"; }
        std::string operator()(const YamlMap& /*map*/) const { return "a map"; }
    };

    std::string kindOf(const YamlNode& node) { return std::visit(KindName {}, node.content); }

    bool isNameStart(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }
    bool isNameCharacter(char c) { return isNameStart(c) || c == '.' || c == '_' || c == '-'; }

    template <typename T> std::optional<T> parseWhole(const std::string& text)
    {
        T value {};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string rangeText(NumberRange range)
    {
        return fmt::format("between {:.15g} and {:.15g}", range.lowest, range.highest);
    }

} // namespace

YamlCursor::YamlCursor(const YamlNode& node, std::string path, ProblemList& problems)
    : source(&node)
    , location(std::move(path))
    , list(&problems)
{
}

void YamlCursor::report(std::string message) const
{
    this->list->add(this->source->position, this->location, std::move(message));
}

const YamlScalar* YamlCursor::scalar(std::string_view expected) const
{
    const auto* value = std::get_if<YamlScalar>(&this->source->content);
    if (value == nullptr)
        this->report(fmt::format("must be {}, is {}", expected, kindOf(*this->source)));
    return value;
}

std::optional<std::string> YamlCursor::text(std::size_t maxBytes) const
{
    const YamlScalar* value = this->scalar("text");
    if (value == nullptr)
        return std::nullopt;
    if (value->text.size() > maxBytes) {
        this->report(fmt::format("has {} bytes; at most {} are allowed", value->text.size(), maxBytes));
        return std::nullopt;
    }
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(value->text.begin(), value->text.end(), isControl)) {
        this->report("must be a single line without control characters");
        return std::nullopt;
    }
    return value->text;
}

std::optional<std::string> YamlCursor::name() const
{
    const YamlScalar* value = this->scalar("a name");
    if (value == nullptr)
        return std::nullopt;
    const std::string& text = value->text;
    const bool valid = !text.empty() && text.size() <= maxNameBytes && isNameStart(text.front())
        && std::all_of(text.begin(), text.end(), isNameCharacter);
    if (valid)
        return text;
    this->report(fmt::format("{} is not a name: 1 to {} letters, digits, '.', '_' or '-', the first a letter or digit",
        quoted(text), maxNameBytes));
    return std::nullopt;
}

std::optional<double> YamlCursor::number(NumberRange range) const
{
    const YamlScalar* value = this->scalar("a number");
    if (value == nullptr)
        return std::nullopt;
    const std::optional<double> number = value->quoted ? std::nullopt : parseWhole<double>(value->text);
    if (!number || !std::isfinite(*number)) {
        this->report(
            fmt::format("must be a number{}, is {}", value->quoted ? " without quotes" : "", quoted(value->text)));
        return std::nullopt;
    }
    if (*number >= range.lowest && *number <= range.highest)
        return number;
    this->report(fmt::format("must be {}, is {}", rangeText(range), quoted(value->text)));
    return std::nullopt;
}

std::optional<std::int64_t> YamlCursor::integer(NumberRange range) const
{
    const std::optional<double> number = this->number(range);
    if (!number)
        return std::nullopt;
    if (*number == std::floor(*number))
        return static_cast<std::int64_t>(*number);
    this->report(fmt::format("must be a whole number, is {}", kindOf(*this->source)));
    return std::nullopt;
}

std::optional<bool> YamlCursor::boolean() const
{
    const YamlScalar* value = this->scalar("true or false");
    if (value == nullptr)
        return std::nullopt;
    if (!value->quoted && value->text == "true")
        return true;
    if (!value->quoted && value->text == "false")
        return false;
    this->report(
        fmt::format("must be true or false{}, is {}", value->quoted ? " without quotes" : "", quoted(value->text)));
    return std::nullopt;
}

std::vector<YamlCursor> YamlCursor::items() const
{
    const auto* sequence = std::get_if<YamlSequence>(&this->source->content);
    if (sequence == nullptr) {
        this->report(fmt::format("must be a list, is {}", kindOf(*this->source)));
        return {};
    }
    std::vector<YamlCursor> cursors;
    cursors.reserve(sequence->items.size());
    for (const YamlNode& item : sequence->items)
        cursors.emplace_back(item, fmt::format("{}[{}]", this->location, cursors.size()), *this->list);
    return cursors;
}

YamlFields::YamlFields(const YamlCursor& map)
    : map(map)
{
    const auto* content = std::get_if<YamlMap>(&map.node().content);
    if (content == nullptr) {
        map.report(fmt::format("must be a map, is {}", kindOf(map.node())));
        return;
    }
    for (const YamlEntry& entry : content->entries) {
        const auto* key = std::get_if<YamlScalar>(&entry.key.content);
        if (key == nullptr) {
            map.problems().add(
                entry.key.position, map.path(), fmt::format("a key must be text, is {}", kindOf(entry.key)));
            continue;
        }
        const auto [other, added] = this->entries.try_emplace(key->text, &entry);
        if (!added)
            map.problems().add(entry.key.position, map.path(),
                fmt::format("duplicate key {}; first on line {}", quoted(key->text), other->second->key.position.line));
    }
}

std::optional<YamlCursor> YamlFields::find(std::string_view key, Presence presence)
{
    if (std::find(this->known.begin(), this->known.end(), key) == this->known.end())
        this->known.emplace_back(key);
    const auto entry = this->entries.find(key);
    if (entry != this->entries.end()) {
        const std::string& path = this->map.path();
        return YamlCursor(entry->second->value, path.empty() ? std::string(key) : fmt::format("{}.{}", path, key),
            this->map.problems());
    }
    // A value that is not a map has been reported as such.
    if (presence == Presence::Required && std::holds_alternative<YamlMap>(this->map.node().content))
        this->map.report(fmt::format("key {} is missing", quoted(key)));
    return std::nullopt;
}

std::vector<YamlCursor> YamlFields::items(std::string_view key, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    if (!field)
        return {};
    std::vector<YamlCursor> cursors = field->items();
    const auto* sequence = std::get_if<YamlSequence>(&field->node().content);
    if (presence == Presence::Required && sequence != nullptr && cursors.empty())
        field->report("must not be empty");
    return cursors;
}

void YamlFields::text(std::string_view key, std::string& target, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    std::optional<std::string> value = field ? field->text(maxTextBytes) : std::nullopt;
    if (value)
        target = std::move(*value);
}

void YamlFields::number(std::string_view key, double& target, NumberRange range, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    const std::optional<double> value = field ? field->number(range) : std::nullopt;
    if (value)
        target = *value;
}

void YamlFields::milliseconds(std::string_view key, Duration& target, NumberRange range, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    const std::optional<double> value = field ? field->number(range) : std::nullopt;
    if (value)
        target = Duration(std::llround(*value * 1000.0));
}

void YamlFields::boolean(std::string_view key, bool& target, Presence presence)
{
    const std::optional<YamlCursor> field = this->find(key, presence);
    const std::optional<bool> value = field ? field->boolean() : std::nullopt;
    if (value)
        target = *value;
}

void YamlFields::finish()
{
    for (const auto& [key, entry] : this->entries) {
        if (std::find(this->known.begin(), this->known.end(), key) != this->known.end())
            continue;
        const std::string hint = key.size() <= maxKeyBytes ? suggestion(key, this->known) : "";
        this->map.problems().add(
            entry->key.position, this->map.path(), fmt::format("unknown key {}{}", quoted(key), hint));
    }
}

} // namespace teaselshore
