#include "teaselshore/emulators/generated_text.hpp"

#include <algorithm>
#include <array>

namespace teaselshore {

PromptKey promptKey(std::string_view model, std::string_view prompt) { return fingerprint({ model, prompt }); }

void appendGeneratedToken(std::string& text, PromptKey prompt, std::uint64_t index)
{
    static constexpr std::string_view consonants = "bcdfghklmnprstvz";
    static constexpr std::string_view vowels = "aeiouaeo";
    constexpr std::size_t syllables = 3;
    // The blank before each token makes joined tokens readable as words.
    std::array<char, 1 + 2 * syllables> token { ' ' };
    Fingerprint bits = combine(prompt, index);
    for (std::size_t i = 0; i < syllables; ++i) {
        token[1 + 2 * i] = consonants[bits % consonants.size()];
        bits /= consonants.size();
        token[2 + 2 * i] = vowels[bits % vowels.size()];
        bits /= vowels.size();
    }
    text.append(token.data(), token.size());
}

std::string generatedToken(PromptKey prompt, std::uint64_t index)
{
    std::string token;
    appendGeneratedToken(token, prompt, index);
    return token;
}

std::string generatedText(PromptKey prompt, std::uint64_t first, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i)
        appendGeneratedToken(text, prompt, first + i);
    return text;
}

std::uint64_t promptTokens(std::string_view prompt)
{
    return std::max<std::uint64_t>(1, (prompt.size() + bytesPerPromptToken - 1) / bytesPerPromptToken);
}

std::vector<Fingerprint> promptBlocks(std::string_view model, std::string_view prompt)
{
    constexpr std::size_t blockBytes = bytesPerPromptToken * tokensPerBlock;
    std::vector<Fingerprint> blocks;
    Fingerprint previous = fingerprint(model);
    for (std::size_t begin = 0; begin + blockBytes <= prompt.size(); begin += blockBytes) {
        previous = combine(previous, fingerprint(prompt.substr(begin, blockBytes)));
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace teaselshore
