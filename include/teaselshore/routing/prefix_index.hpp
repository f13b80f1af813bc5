#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/routing/prompt_blocks.hpp"

namespace teaselshore {

enum class CacheEventKind {
    Stored,
    Removed,
    /// The engine dropped its whole cache.
    Cleared,
};

/// @brief Change of the prefix cache of an engine. Events arrive late and with gaps.
struct CacheEvent {
    UpstreamId upstream;
    /// Consecutive per engine process, starting with 1.
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    /// Chained hashes: each covers the prompt from its start to the end of its block.
    std::vector<Fingerprint> blocks;

    auto operator<=>(const CacheEvent&) const = default;
};

struct PrefixIndexSettings {
    /// Capacity of the index in blocks; rounded up to a power of two.
    std::size_t maximumBlocks = 65536;
    /// Factor applied to the certainty of an entry for each later gap in the events of its engine.
    double gapCertaintyFactor = 0.5;

    auto operator<=>(const PrefixIndexSettings&) const = default;
};

/// @brief Engine that probably has a prefix of the prompt in its cache.
struct PrefixHolder {
    /// Index of the engine, as passed to PrefixIndex.
    std::uint32_t engine = 0;
    /// Number of leading blocks of the prompt in its cache.
    std::uint32_t blocks = 0;
    /// Probability that they are still cached, in (0, 1].
    double certainty = 1;

    auto operator<=>(const PrefixHolder&) const = default;
};

/// @brief Fixed-capacity list of holders.
struct PrefixHolders {
    static constexpr std::size_t maximum = 4;

    std::array<PrefixHolder, maximum> entries;
    std::size_t count = 0;

    std::span<const PrefixHolder> all() const& { return { this->entries.data(), this->count }; }
    /// Deleted, since the view of a temporary would dangle in a range-based loop.
    std::span<const PrefixHolder> all() const&& = delete;
};

/// @brief Tracks which engines have which prompt blocks in their prefix cache.
///
/// The table has a fixed size: it is set-associative, replaces the least recently used block of a set and stores up to
/// four engines per block. A gap in the events of an engine lowers the certainty of its older entries, and the end of
/// the engine invalidates them, both in constant time. A lookup reads a number of entries logarithmic in the blocks of
/// the prompt. Not thread-safe.
class PrefixIndex {
public:
    explicit PrefixIndex(PrefixIndexSettings settings = {});

    /// @brief Applies an event of the engine with the given index.
    void onEvent(std::uint32_t engine, const CacheEvent& event);

    /// @brief Records that a prompt was sent to an engine, which will cache its blocks soon.
    void onDispatched(std::uint32_t engine, const PromptBlocks& blocks);

    /// @brief Invalidates all entries of an engine that ended or was removed.
    void invalidate(std::uint32_t engine);

    /// @brief Returns the engines expected to have the longest prefixes of the prompt in their cache.
    PrefixHolders find(const PromptBlocks& blocks) const;

    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t holdersPerBlock = 4;

    struct Holder {
        std::uint32_t engine = 0;
        /// Epoch of the engine when the entry was stored; 0 marks a free entry.
        std::uint32_t epoch = 0;
    };
    struct Block {
        Fingerprint hash = 0;
        std::uint32_t usedAt = 0;
        std::array<Holder, holdersPerBlock> holders;
    };
    struct Engine {
        std::uint64_t lastSequence = 0;
        /// Incremented by gaps and invalidations; entries of earlier epochs are less certain.
        std::uint32_t epoch = 1;
        /// Entries of earlier epochs are invalid.
        std::uint32_t firstValidEpoch = 1;
    };

    Engine& engineAt(std::uint32_t engine);
    const Block* findBlock(Fingerprint hash) const;
    Block& findOrCreateBlock(Fingerprint hash);
    void store(std::uint32_t engine, Fingerprint hash, std::uint32_t epoch);
    void remove(std::uint32_t engine, Fingerprint hash, bool late);
    double certainty(const Holder& holder) const;
    bool mergeHolders(const Block& block, std::uint32_t depth, PrefixHolders& found) const;

    PrefixIndexSettings settings;
    std::size_t setMask;
    std::vector<Block> table;
    std::vector<Engine> engines;
    std::uint32_t useClock = 0;
};

} // namespace teaselshore
