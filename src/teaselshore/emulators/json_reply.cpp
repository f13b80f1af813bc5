#include "teaselshore/emulators/json_reply.hpp"

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

HttpReply jsonReply(int status, const nlohmann::json& body)
{
    // Invalid UTF-8 from a caller must not make the reply fail.
    return { status, { { "content-type", "application/json" } }, toJsonText(body) };
}

HttpReply errorReply(int status, std::string_view code, std::string_view message, const RequestId& id)
{
    return jsonReply(
        status, { { "error", { { "code", code }, { "message", message }, { "requestId", id.value() } } } });
}

std::optional<nlohmann::json> parseObject(std::string_view text)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    return document;
}

std::string memberText(const nlohmann::json& document, const char* name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace teaselshore
