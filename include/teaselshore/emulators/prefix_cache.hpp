#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Blocks that one insertion added and pushed out.
struct PrefixCacheChange {
    std::vector<Fingerprint> stored;
    std::vector<Fingerprint> evicted;

    auto operator<=>(const PrefixCacheChange&) const = default;
};

/// @brief Prompt prefix cache of limited size: least recently used blocks are evicted. Not thread-safe.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityBlocks)
        : capacity(capacityBlocks)
    {
    }

    /// @brief Returns the number of leading blocks that are cached and marks them as used.
    std::size_t lookup(const std::vector<Fingerprint>& blocks);

    /// @brief Stores the blocks, as far as they fit.
    PrefixCacheChange insert(const std::vector<Fingerprint>& blocks);

    std::size_t size() const { return this->positions.size(); }

private:
    void touch(Fingerprint block);

    std::size_t capacity;
    /// Most recently used first.
    std::list<Fingerprint> order;
    std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator> positions;
};

} // namespace teaselshore
