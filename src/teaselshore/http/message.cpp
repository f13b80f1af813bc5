#include "teaselshore/http/message.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    char lowerCase(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; }

    bool equalsIgnoringCase(std::string_view first, std::string_view second)
    {
        return std::equal(first.begin(), first.end(), second.begin(), second.end(),
            [](char a, char b) { return lowerCase(a) == lowerCase(b); });
    }

    std::string toLowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(), lowerCase);
        return result;
    }

} // namespace

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
{
    this->fields.reserve(fields.size());
    for (const HttpHeader& field : fields)
        this->add(field.name, field.value);
}

void HttpHeaders::add(std::string_view name, std::string value)
{
    this->fields.push_back({ toLowerCase(name), std::move(value) });
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader& field : this->fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

} // namespace teaselshore
