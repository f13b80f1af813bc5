#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/name.hpp"
#include "teaselshore/emulators/generated_text.hpp"

namespace teaselshore {

/// @brief Parsed body of a chat completion request.
struct ChatRequest {
    std::string model;
    /// All messages, one line "role: content" each.
    std::string prompt;
    std::uint64_t maxTokens = 16;
    bool stream = false;

    auto operator<=>(const ChatRequest&) const = default;
};

/// @brief Parses the body of a chat completion request. Returns nothing and sets problem if it is malformed.
std::optional<ChatRequest> parseChatRequest(std::string_view body, std::string* problem);

/// @brief Counts at the end of an answer.
struct ChatUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;

    auto operator<=>(const ChatUsage&) const = default;
};

/// @brief Writes the events of one streamed answer. The constant parts of an event are prepared once.
class ChatStreamFormat {
public:
    ChatStreamFormat(const RequestId& id, std::string_view model);

    /// @brief Appends the event of one token, with "id: <index>".
    void appendToken(std::string& text, PromptKey prompt, std::uint64_t index) const;

    /// @brief Appends the last event with the finish reason and usage, and the end mark.
    void appendEnd(std::string& text, const ChatUsage& usage) const;

private:
    std::string start;
};

/// @brief Returns the body of a complete answer.
std::string completionBody(
    const RequestId& id, std::string_view model, const std::string& content, const ChatUsage& usage);

} // namespace teaselshore
