#include "teaselshore/emulators/prefix_cache.hpp"

#include <algorithm>

namespace teaselshore {

std::size_t PrefixCache::lookup(const std::vector<Fingerprint>& blocks)
{
    std::size_t count = 0;
    while (count < blocks.size() && this->positions.contains(blocks[count]))
        ++count;
    // From the back, so that the first block of a prefix is evicted last.
    for (std::size_t i = count; i > 0; --i)
        this->touch(blocks[i - 1]);
    return count;
}

PrefixCacheChange PrefixCache::insert(const std::vector<Fingerprint>& blocks)
{
    PrefixCacheChange change;
    const std::size_t fitting = std::min(blocks.size(), this->capacity);
    for (std::size_t i = fitting; i > 0; --i) {
        const Fingerprint block = blocks[i - 1];
        if (this->positions.contains(block)) {
            this->touch(block);
            continue;
        }
        this->order.push_front(block);
        this->positions[block] = this->order.begin();
        change.stored.push_back(block);
    }
    std::reverse(change.stored.begin(), change.stored.end());
    while (this->positions.size() > this->capacity) {
        change.evicted.push_back(this->order.back());
        this->positions.erase(this->order.back());
        this->order.pop_back();
    }
    return change;
}

void PrefixCache::touch(Fingerprint block)
{
    this->order.splice(this->order.begin(), this->order, this->positions.at(block));
}

} // namespace teaselshore
