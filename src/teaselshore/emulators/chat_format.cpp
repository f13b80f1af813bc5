#include "teaselshore/emulators/chat_format.hpp"

#include <fmt/format.h>

#include "teaselshore/base/json_text.hpp"
#include "teaselshore/emulators/json_reply.hpp"

namespace teaselshore {

namespace {

    constexpr std::uint64_t maxTokensLimit = 1000000;

    std::optional<std::string> joinMessages(const nlohmann::json& messages)
    {
        if (!messages.is_array() || messages.empty())
            return std::nullopt;
        std::string prompt;
        for (const nlohmann::json& message : messages) {
            if (!message.is_object())
                return std::nullopt;
            const auto role = message.find("role");
            const auto content = message.find("content");
            if (role == message.end() || !role->is_string() || content == message.end() || !content->is_string())
                return std::nullopt;
            prompt
                += fmt::format("{}: {}\n", role->get_ref<const std::string&>(), content->get_ref<const std::string&>());
        }
        return prompt;
    }

    nlohmann::json usageJson(const ChatUsage& usage)
    {
        return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
            { "total_tokens", usage.promptTokens + usage.completionTokens },
            { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens } } } };
    }

    std::string jsonString(std::string_view text) { return toJsonText(nlohmann::json(text)); }

} // namespace

std::optional<ChatRequest> parseChatRequest(std::string_view body, std::string* problem)
{
    const auto document = parseObject(body);
    if (!document) {
        *problem = "body is not a JSON object";
        return std::nullopt;
    }
    ChatRequest request;
    const auto prompt = joinMessages(document->value("messages", nlohmann::json()));
    if (!prompt) {
        *problem = "messages must be a non-empty array of objects with role and content";
        return std::nullopt;
    }
    request.prompt = *prompt;
    if (const auto model = document->find("model"); model != document->end()) {
        if (!model->is_string()) {
            *problem = "model must be a string";
            return std::nullopt;
        }
        request.model = model->get<std::string>();
    }
    if (const auto tokens = document->find("max_tokens"); tokens != document->end()) {
        if (!tokens->is_number_unsigned() || *tokens < 1 || *tokens > maxTokensLimit) {
            *problem = "max_tokens must be a number from 1 to 1000000";
            return std::nullopt;
        }
        request.maxTokens = tokens->get<std::uint64_t>();
    }
    if (const auto stream = document->find("stream"); stream != document->end()) {
        if (!stream->is_boolean()) {
            *problem = "stream must be true or false";
            return std::nullopt;
        }
        request.stream = stream->get<bool>();
    }
    return request;
}

ChatStreamFormat::ChatStreamFormat(const RequestId& id, std::string_view model)
    : start(
        fmt::format(R"(data: {{"id":{},"object":"chat.completion.chunk","model":{},"choices":[{{"index":0,"delta":)",
            jsonString(id.value()), jsonString(model)))
{
}

void ChatStreamFormat::appendToken(std::string& text, PromptKey prompt, std::uint64_t index) const
{
    text += "id: ";
    const fmt::format_int digits(index);
    text.append(digits.data(), digits.size());
    text += '\n';
    text += this->start;
    text += R"({"content":")";
    appendGeneratedToken(text, prompt, index);
    text += "\"},\"finish_reason\":null}]}\n\n";
}

void ChatStreamFormat::appendEnd(std::string& text, const ChatUsage& usage) const
{
    text += this->start;
    text += fmt::format("{{}},\"finish_reason\":\"length\"}}],\"usage\":{}}}\n\n", toJsonText(usageJson(usage)));
    text += "data: [DONE]\n\n";
}

std::string completionBody(
    const RequestId& id, std::string_view model, const std::string& content, const ChatUsage& usage)
{
    return jsonReply(200,
        { { "id", id.value() }, { "object", "chat.completion" }, { "model", model },
            { "choices",
                nlohmann::json::array({ { { "index", 0 }, { "finish_reason", "length" },
                    { "message", { { "role", "assistant" }, { "content", content } } } } }) },
            { "usage", usageJson(usage) } })
        .body;
}

} // namespace teaselshore
