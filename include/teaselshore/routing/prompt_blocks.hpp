#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Part of a prompt. Parts with equal ids have equal text.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

/// @brief Chained hashes of a prompt's full blocks, which have equal length, from the first block on; see CacheEvent.
///
/// Callers state how long the parts of a prompt are, and may state anything. The hashes of such blocks are computed
/// when they are asked for, so that memory follows from the number of parts and not from their stated lengths.
/// Immutable, and so thread-safe.
class PromptBlocks {
public:
    /// @brief A prompt without blocks.
    PromptBlocks() = default;
    /// @brief Blocks whose hashes are known.
    PromptBlocks(std::vector<Fingerprint> hashes);
    /// @brief Blocks of a prompt that consists of parts. Precondition: a block has tokens.
    PromptBlocks(const std::vector<PromptPart>& parts, std::uint32_t tokensPerBlock);

    std::size_t size() const;
    bool empty() const { return this->size() == 0; }
    /// @brief Returns the hash that covers the prompt from its start to the end of a block. Precondition: the prompt
    /// has this block.
    Fingerprint operator[](std::size_t index) const;
    /// @brief Returns the hash of the last block. Precondition: there is one.
    Fingerprint back() const { return (*this)[this->size() - 1]; }

    auto operator<=>(const PromptBlocks&) const = default;

private:
    struct Part {
        /// Tokens of the prompt before the part and through its end.
        std::uint64_t begin = 0;
        std::uint64_t end = 0;
        /// Covers the ids of the parts through this one.
        Fingerprint throughPart = 0;

        auto operator<=>(const Part&) const = default;
    };
    struct Parts {
        std::vector<Part> parts;
        std::uint32_t tokensPerBlock = 1;

        auto operator<=>(const Parts&) const = default;
    };

    std::variant<std::vector<Fingerprint>, Parts> blocks;
};

} // namespace teaselshore
