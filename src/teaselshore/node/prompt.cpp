#include "teaselshore/node/prompt.hpp"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t bytesPerToken = 4;
    constexpr std::size_t blockBytes = 16 * bytesPerToken;
    /// Longest output that a caller may ask for, tokens.
    constexpr std::uint64_t maxOutputTokens = 1'000'000;

    bool fail(PromptError& error, std::string message)
    {
        error.message = std::move(message);
        return false;
    }

    bool appendMessage(const Json& message, std::string& text, PromptError& error)
    {
        if (!message.is_object())
            return fail(error, "each message must be an object");
        const auto role = message.find("role");
        const auto content = message.find("content");
        if (role == message.end() || !role->is_string() || content == message.end() || !content->is_string())
            return fail(error, "each message needs a text \"role\" and a text \"content\"");
        text += role->get_ref<const std::string&>();
        text += ": ";
        text += content->get_ref<const std::string&>();
        text.push_back('\n');
        return true;
    }

    bool readLimit(const Json& body, Prompt& prompt, PromptError& error)
    {
        const auto found = body.find("max_tokens");
        if (found == body.end())
            return true;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0
            || found->get<std::uint64_t>() > maxOutputTokens)
            return fail(error, "\"max_tokens\" must be a whole number between 1 and 1000000");
        prompt.maxTokens = found->get<std::uint32_t>();
        return true;
    }

    bool readStream(const Json& body, Prompt& prompt, PromptError& error)
    {
        const auto found = body.find("stream");
        if (found == body.end())
            return true;
        if (!found->is_boolean())
            return fail(error, "\"stream\" must be true or false");
        prompt.stream = found->get<bool>();
        return true;
    }

} // namespace

bool readPrompt(std::string_view text, Prompt& prompt, PromptError& error)
{
    const Json body = Json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return fail(error, "the body is not a JSON object");
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return fail(error, "\"messages\" must be a non-empty list");
    for (const Json& message : *messages) {
        if (!appendMessage(message, prompt.text, error))
            return false;
    }
    const auto model = body.find("model");
    if (model != body.end()) {
        if (!model->is_string())
            return fail(error, "\"model\" must be a text");
        prompt.model = model->get<std::string>();
    }
    return readLimit(body, prompt, error) && readStream(body, prompt, error);
}

std::uint32_t estimatePromptTokens(std::string_view text)
{
    const std::size_t tokens = std::max<std::size_t>(1, (text.size() + bytesPerToken - 1) / bytesPerToken);
    return static_cast<std::uint32_t>(std::min<std::size_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<Fingerprint> promptPrefixBlocks(std::string_view model, std::string_view text)
{
    std::vector<Fingerprint> blocks;
    blocks.reserve(text.size() / blockBytes);
    Fingerprint previous = fingerprint(model);
    for (std::size_t begin = 0; begin + blockBytes <= text.size(); begin += blockBytes) {
        previous = combine(previous, fingerprint(text.substr(begin, blockBytes)));
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace teaselshore
