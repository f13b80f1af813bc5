#include "request_text.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselshore {

namespace {

    constexpr std::array<std::string_view, 10> connectionFields { "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "transfer-encoding", "content-length", "upgrade", "expect", "http2-settings" };

    bool concernsConnection(std::string_view name)
    {
        return std::find(connectionFields.begin(), connectionFields.end(), name) != connectionFields.end();
    }

    /// Visible ASCII without the separators that end a token or a request target.
    bool isToken(std::string_view text, std::string_view forbidden)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [forbidden](char letter) {
            const auto byte = static_cast<unsigned char>(letter);
            return byte > 0x20 && byte != 0x7f && forbidden.find(letter) == std::string_view::npos;
        });
    }

    bool isFieldValue(std::string_view text)
    {
        return std::none_of(
            text.begin(), text.end(), [](char letter) { return letter == '\r' || letter == '\n' || letter == '\0'; });
    }

    void appendField(std::string& head, std::string_view name, std::string_view value)
    {
        head.append(name).append(": ").append(value).append("\r\n");
    }

} // namespace

bool isValidField(std::string_view name, std::string_view value) { return isToken(name, ":") && isFieldValue(value); }

std::optional<std::string> requestHead(const HttpRequest& request, const std::string& authority)
{
    if (!isToken(request.method, ":/") || !isToken(request.path, ""))
        return std::nullopt;

    std::string head;
    head.reserve(512);
    head.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\n");
    if (!request.headers.find("host"))
        appendField(head, "host", authority);
    for (const HttpHeader& field : request.headers.all()) {
        if (concernsConnection(field.name))
            continue;
        if (!isValidField(field.name, field.value))
            return std::nullopt;
        appendField(head, field.name, field.value);
    }
    const bool mayLackBody = request.method == "GET" || request.method == "HEAD" || request.method == "DELETE";
    if (!request.body.empty() || !mayLackBody)
        appendField(head, "content-length", std::to_string(request.body.size()));
    head.append("\r\n");
    return head;
}

} // namespace teaselshore
