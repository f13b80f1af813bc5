#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Identifies the text that a model generates for a prompt.
using PromptKey = Fingerprint;

/// @brief Bytes of prompt text per prompt token.
constexpr std::size_t bytesPerPromptToken = 4;
/// @brief Prompt tokens per block of the prefix cache.
constexpr std::size_t tokensPerBlock = 16;

/// @brief Returns the key of the text that the model generates for the prompt.
PromptKey promptKey(std::string_view model, std::string_view prompt);

/// @brief Returns token index (from 0) of the generated text. A pure function, so that any answer can be verified.
std::string generatedToken(PromptKey prompt, std::uint64_t index);

/// @brief Appends the same token to text. Tokens contain no character that JSON escapes.
void appendGeneratedToken(std::string& text, PromptKey prompt, std::uint64_t index);

/// @brief Returns tokens [first, first + count) joined.
std::string generatedText(PromptKey prompt, std::uint64_t first, std::uint64_t count);

/// @brief Returns the number of tokens of a prompt, at least 1.
std::uint64_t promptTokens(std::string_view prompt);

/// @brief Returns one hash per full block of the prompt. Each hash covers all text up to the end of its block.
///
/// The first is combine(fingerprint(model), fingerprint(block)), each next is combine(previous, fingerprint(block)).
std::vector<Fingerprint> promptBlocks(std::string_view model, std::string_view prompt);

} // namespace teaselshore
