#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"

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
    /// Consecutive per engine, starting with 1.
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    /// Chained hashes: each covers the prompt from its start to the end of the block.
    std::vector<Fingerprint> blocks;

    auto operator<=>(const CacheEvent&) const = default;
};

struct PrefixIndexSettings {
    /// Blocks that are remembered; rounded up to a power of two.
    std::size_t maximumBlocks = 65536;
    /// Weight of knowledge from before a gap in the events.
    double uncertainWeight = 0.5;

    auto operator<=>(const PrefixIndexSettings&) const = default;
};

/// @brief Engine that probably has a prefix in its cache.
struct PrefixHolder {
    /// Index of the engine, as given to the methods of the index.
    std::uint32_t engine = 0;
    /// Leading blocks of the prompt that it has.
    std::uint32_t blocks = 0;
    /// Probability that it still has them, in (0, 1].
    double certainty = 1;

    auto operator<=>(const PrefixHolder&) const = default;
};

/// @brief Bounded list of holders, without allocation.
struct PrefixHolders {
    static constexpr std::size_t maximum = 4;

    std::array<PrefixHolder, maximum> entries;
    std::size_t count = 0;

    std::span<const PrefixHolder> all() const& { return { this->entries.data(), this->count }; }
    /// Deleted, since the view of a temporary would dangle in a range-based loop.
    std::span<const PrefixHolder> all() const&& = delete;
};

/// @brief Tells which engines have which prompt blocks in their prefix cache.
///
/// The memory is fixed: a set-associative table that replaces the least recently used block of a set, with up to four
/// engines per block. A gap in the events of an engine lowers the certainty of what was known about it before; its end
/// forgets it, both in constant time. A lookup reads a number of entries logarithmic in the blocks of the prompt. Not
/// thread-safe.
class PrefixIndex {
public:
    explicit PrefixIndex(PrefixIndexSettings settings = {});

    /// @brief Applies an event of the engine with the given index.
    void onEvent(std::uint32_t engine, const CacheEvent& event);

    /// @brief Records that a prompt was sent to an engine, which will have its blocks soon.
    void onDispatched(std::uint32_t engine, std::span<const Fingerprint> blocks);

    /// @brief Forgets all about an engine that ended or was removed.
    void forget(std::uint32_t engine);

    /// @brief Returns the engines with the longest known prefixes of the prompt.
    PrefixHolders find(std::span<const Fingerprint> blocks) const;

    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t holdersPerBlock = 4;

    struct Holder {
        std::uint32_t engine = 0;
        /// Confidence epoch of the engine when this was learnt; 0 marks a free place.
        std::uint32_t epoch = 0;
    };
    struct Block {
        Fingerprint hash = 0;
        std::uint32_t usedAt = 0;
        std::array<Holder, holdersPerBlock> holders;
    };
    struct Engine {
        std::uint64_t lastSequence = 0;
        std::uint32_t epoch = 1;
        /// Knowledge from before this epoch is void.
        std::uint32_t validFrom = 1;
    };

    Engine& engineAt(std::uint32_t engine);
    const Block* findBlock(Fingerprint hash) const;
    Block& findOrCreateBlock(Fingerprint hash);
    void store(std::uint32_t engine, Fingerprint hash, std::uint32_t epoch);
    void remove(std::uint32_t engine, Fingerprint hash, bool late);
    double certainty(const Holder& holder) const;
    bool collect(const Block& block, std::uint32_t depth, PrefixHolders& found) const;

    PrefixIndexSettings settings;
    std::size_t setMask;
    std::vector<Block> table;
    std::vector<Engine> engines;
    std::uint32_t useCount = 0;
};

} // namespace teaselshore
