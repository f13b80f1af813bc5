#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Parts of a chat completion body that decisions depend on.
struct Prompt {
    std::string model;
    /// All messages, one line "role: content" each, as the engines see them.
    std::string text;
    std::uint32_t maxTokens = 0;
    bool stream = false;

    auto operator<=>(const Prompt&) const = default;
};

/// @brief Why a body is not a chat completion request.
struct PromptError {
    std::string message;
};

/// @brief Reads a chat completion body (JSON). maxTokens is 0 if the body sets no limit.
///
/// Returns nothing and sets the error if the body is not valid. Throws nothing.
bool readPrompt(std::string_view body, Prompt& prompt, PromptError& error);

/// @brief Number of tokens of a prompt, estimated from its length.
std::uint32_t estimatePromptTokens(std::string_view text);

/// @brief Chained hashes of the prompt's full blocks, as engines publish them in cache events.
std::vector<Fingerprint> promptPrefixBlocks(std::string_view model, std::string_view text);

} // namespace teaselshore
