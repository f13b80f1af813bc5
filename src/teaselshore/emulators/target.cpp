#include "teaselshore/emulators/target.hpp"

#include <charconv>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    std::string decode(std::string_view text)
    {
        std::string result;
        result.reserve(text.size());
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            const char* digits = text.data() + i + 1;
            if (text[i] == '%' && i + 2 < text.size()
                && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
                result.push_back(static_cast<char>(value));
                i += 2;
                continue;
            }
            result.push_back(text[i]);
        }
        return result;
    }

    bool isUnreserved(char character)
    {
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || std::string_view("-._~/").find(character) != std::string_view::npos;
    }

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::string> RequestTarget::after(std::string_view prefix) const
{
    if (!this->path.starts_with(prefix))
        return std::nullopt;
    return this->path.substr(prefix.size());
}

std::optional<std::uint64_t> RequestTarget::number(const std::string& name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::nullopt : parseNumber(found->second);
}

RequestTarget parseTarget(std::string_view text)
{
    RequestTarget target;
    const std::size_t question = text.find('?');
    target.path = decode(text.substr(0, question));
    std::string_view rest = question == std::string_view::npos ? std::string_view() : text.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view field = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const std::size_t equals = field.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view() : field.substr(equals + 1);
        target.query[decode(field.substr(0, equals))] = decode(value);
    }
    return target;
}

std::string encodePath(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (isUnreserved(character))
            result.push_back(character);
        else
            result += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return result;
}

} // namespace teaselshore
