#include "teaselshore/base/lenient_json.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "json_scanner.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    /// Copies of a JSON value are made recursively, so that its depth is bounded by the stack.
    constexpr std::size_t maxDepth = 32;
    /// Longest reason; those of the parser quote the text, which may be long.
    constexpr std::size_t maxReasonBytes = 200;
    /// Ends of the array that are tried, from the last one, if other members with brackets follow it.
    constexpr std::size_t maxArrayEnds = 16;
    constexpr std::string_view delimiters = " \t\r\n\"{}[],:";
    constexpr std::string_view replacementCharacter = "\xEF\xBF\xBD";

    bool isOpening(char letter) { return letter == '[' || letter == '{'; }
    bool isClosing(char letter) { return letter == ']' || letter == '}'; }

    std::size_t depthOf(std::string_view text)
    {
        std::size_t depth = 0;
        std::size_t deepest = 0;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '"')
                index = jsonStringEnd(text, index) - 1;
            else if (isOpening(text[index]))
                deepest = std::max(deepest, ++depth);
            else if (isClosing(text[index]) && depth > 0)
                --depth;
        }
        return deepest;
    }

    /// Returns the length of the UTF-8 sequence at the start of the text, or 0 if it is not valid.
    std::size_t sequenceLength(std::string_view text)
    {
        const auto byte = [&text](std::size_t index) { return static_cast<std::uint8_t>(text[index]); };
        const std::uint8_t first = byte(0);
        const std::size_t length = first < 0x80 ? 1
            : first >= 0xC2 && first <= 0xDF    ? 2
            : first >= 0xE0 && first <= 0xEF    ? 3
            : first >= 0xF0 && first <= 0xF4    ? 4
                                                : 0;
        if (length == 0 || length > text.size())
            return 0;
        for (std::size_t index = 1; index < length; ++index) {
            if ((byte(index) & 0xC0U) != 0x80)
                return 0;
        }
        // Overlong forms, surrogates and code points beyond the last one.
        const bool isInvalid = (first == 0xE0 && byte(1) < 0xA0) || (first == 0xED && byte(1) > 0x9F)
            || (first == 0xF0 && byte(1) < 0x90) || (first == 0xF4 && byte(1) > 0x8F);
        return isInvalid ? 0 : length;
    }

    std::string withoutInvalidBytes(std::string_view text)
    {
        std::string result;
        result.reserve(text.size());
        while (!text.empty()) {
            const std::size_t length = sequenceLength(text);
            result += length == 0 ? replacementCharacter : text.substr(0, length);
            text.remove_prefix(std::max<std::size_t>(length, 1));
        }
        return result;
    }

    /// Returns a string, number or word as it is if the parser accepts it, and null otherwise.
    std::string acceptedToken(std::string_view token)
    {
        std::string text = withoutInvalidBytes(token);
        return json::accept(text) ? text : "null";
    }

    std::string withoutRefusedValues(std::string_view text)
    {
        std::string result;
        result.reserve(text.size());
        std::size_t depth = 0;
        for (std::size_t position = 0; position < text.size();) {
            const char letter = text[position];
            const bool isString = letter == '"';
            const bool isToken = isString || delimiters.find(letter) == std::string_view::npos;
            const std::size_t end = isString ? jsonStringEnd(text, position)
                : isToken                    ? std::min(text.find_first_of(delimiters, position), text.size())
                                             : position + 1;
            const std::string_view part = text.substr(position, end - position);
            position = end;
            if (isClosing(letter) && depth > 0 && depth-- > maxDepth)
                continue;
            if (isOpening(letter) && ++depth == maxDepth + 1)
                result += "null";
            if (depth > maxDepth)
                continue;
            if (isToken)
                result += acceptedToken(part);
            else
                result += part;
        }
        return result;
    }

    std::string refusalReason(std::string_view text)
    {
        if (depthOf(text) > maxDepth)
            return "values are nested too deeply";
        try {
            [[maybe_unused]] const json accepted = json::parse(text);
        } catch (const json::exception& exception) {
            return withoutInvalidBytes(std::string_view(exception.what()).substr(0, maxReasonBytes));
        }
        return {};
    }

    std::optional<json> parse(std::string_view text)
    {
        json value = json::parse(text, nullptr, false);
        if (value.is_discarded())
            return std::nullopt;
        return value;
    }

    bool isAt(std::string_view text, std::size_t position, char letter)
    {
        return position < text.size() && text[position] == letter;
    }

    /// Member of an object, as text.
    struct MemberText {
        std::string_view key;
        /// All that follows if the value has no end.
        std::string_view value;
        /// Position after the value.
        std::size_t end = 0;
    };

    /// Finds the member that begins at the position; nothing if none does.
    std::optional<MemberText> findMember(std::string_view text, std::size_t position)
    {
        const std::size_t keyBegin = skipJsonSpace(text, position);
        if (!isAt(text, keyBegin, '"'))
            return std::nullopt;
        const std::size_t keyEnd = jsonStringEnd(text, keyBegin);
        const std::size_t colon = skipJsonSpace(text, keyEnd);
        if (!isAt(text, colon, ':'))
            return std::nullopt;
        const std::string_view key = text.substr(keyBegin, keyEnd - keyBegin);
        const std::size_t begin = skipJsonSpace(text, colon + 1);
        const std::optional<std::size_t> end = jsonValueEnd(text, begin);
        const std::size_t next = skipJsonSpace(text, end.value_or(text.size()));
        if (isAt(text, next, ',') || isAt(text, next, '}'))
            return MemberText { key, text.substr(begin, *end - begin), next };
        return MemberText { key, text.substr(begin), text.size() };
    }

    json readMembers(std::string_view object, std::size_t levels)
    {
        json members = json::object();
        std::size_t position = 0;
        while (isAt(object, position, position == 0 ? '{' : ',')) {
            const std::optional<MemberText> member = findMember(object, position + 1);
            if (!member)
                break;
            const json key = json::parse(member->key, nullptr, false);
            if (key.is_string())
                members[key.get<std::string>()] = readLenientJson(member->value, levels).value;
            position = member->end;
        }
        return members;
    }

    /// Document whose array is cut out.
    struct CutDocument {
        json frame;
        /// What stands between the brackets of the array.
        std::string_view elements;
    };

    std::optional<std::size_t> findArray(std::string_view text, std::string_view name)
    {
        const std::string key = '"' + std::string(name) + '"';
        for (std::size_t found = text.find(key); found != std::string_view::npos; found = text.find(key, found + 1)) {
            const std::size_t colon = skipJsonSpace(text, found + key.size());
            const std::size_t bracket = isAt(text, colon, ':') ? skipJsonSpace(text, colon + 1) : text.size();
            if (isAt(text, bracket, '['))
                return bracket;
        }
        return std::nullopt;
    }

    /// Looks for the end of the array from the end of the text, since an element may hold any bytes.
    std::optional<CutDocument> cutArray(std::string_view text, const JsonArrayLayout& layout)
    {
        const std::optional<std::size_t> begin = findArray(text, layout.array);
        if (!begin)
            return std::nullopt;
        std::size_t end = text.size();
        for (std::size_t tried = 0; tried < maxArrayEnds; ++tried) {
            end = end == 0 ? std::string_view::npos : text.rfind(']', end - 1);
            if (end == std::string_view::npos || end <= *begin)
                return std::nullopt;
            const std::string frameText = std::string(text.substr(0, *begin + 1)) + std::string(text.substr(end));
            json frame = json::parse(frameText, nullptr, false);
            if (frame.is_object() && (layout.companion.empty() || frame.contains(layout.companion)))
                return CutDocument { std::move(frame), text.substr(*begin + 1, end - *begin - 1) };
        }
        return std::nullopt;
    }

    /// Returns whether an object with one of the members begins at the position.
    bool beginsElement(std::string_view text, std::size_t position, const std::vector<std::string_view>& members)
    {
        if (!isAt(text, position, '{'))
            return false;
        const std::size_t key = skipJsonSpace(text, position + 1);
        return std::any_of(members.begin(), members.end(), [&](std::string_view member) {
            const std::string_view quoted = text.substr(key, member.size() + 2);
            return quoted.size() == member.size() + 2 && quoted.front() == '"' && quoted.back() == '"'
                && quoted.substr(1, member.size()) == member;
        });
    }

    /// Returns the position of the comma before the next element, or the size of the text.
    std::size_t findNextElement(
        std::string_view text, std::size_t position, const std::vector<std::string_view>& members)
    {
        for (std::size_t comma = text.find(',', position); comma != std::string_view::npos;
             comma = text.find(',', comma + 1)) {
            if (beginsElement(text, skipJsonSpace(text, comma + 1), members))
                return comma;
        }
        return text.size();
    }

    std::vector<std::string_view> splitElements(std::string_view text, const std::vector<std::string_view>& members)
    {
        std::vector<std::string_view> elements;
        std::size_t position = skipJsonSpace(text, 0);
        while (position < text.size()) {
            const std::optional<std::size_t> end
                = isAt(text, position, '{') ? jsonValueEnd(text, position) : std::nullopt;
            std::size_t next = skipJsonSpace(text, end.value_or(text.size()));
            if (!end || (next < text.size() && text[next] != ','))
                next = findNextElement(text, end.value_or(position), members);
            elements.push_back(text.substr(position, end.value_or(next) - position));
            position = next < text.size() ? skipJsonSpace(text, next + 1) : next;
        }
        return elements;
    }

} // namespace

LenientJson readLenientJson(std::string_view text, std::size_t levels)
{
    if (depthOf(text) <= maxDepth) {
        if (std::optional<json> whole = parse(text))
            return { std::move(*whole), false };
    }
    LenientJson result { nullptr, true };
    if (std::optional<json> mended = parse(withoutRefusedValues(text)))
        result.value = std::move(*mended);
    else if (levels > 0 && isAt(text, 0, '{'))
        result.value = readMembers(text, levels - 1);
    return result;
}

std::optional<JsonArrayDocument> readJsonArray(
    std::string_view text, const JsonArrayLayout& layout, std::string& reason)
{
    std::optional<CutDocument> document = cutArray(text, layout);
    if (!document) {
        reason = "no array \"" + std::string(layout.array) + '"';
        if (!layout.companion.empty())
            reason += " beside \"" + std::string(layout.companion) + '"';
        return std::nullopt;
    }
    JsonArrayDocument result { std::move(document->frame), {}, {} };
    for (const std::string_view element : splitElements(document->elements, layout.elementMembers)) {
        result.elements.push_back(readLenientJson(element, layout.levels));
        if (result.elements.back().isDamaged && result.firstProblem.empty())
            result.firstProblem = refusalReason(element);
    }
    return result;
}

} // namespace teaselshore
