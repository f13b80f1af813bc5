#include "gossip_queue.hpp"

#include <algorithm>

namespace teaselshore {

void GossipQueue::add(const NodeId& id)
{
    const auto entry
        = std::find_if(this->entries.begin(), this->entries.end(), [&](const Entry& known) { return known.id == id; });
    if (entry == this->entries.end()) {
        this->entries.push_back({ id, 0 });
        return;
    }
    entry->transmissions = 0;
}

std::vector<NodeId> GossipQueue::take(std::size_t count, std::uint32_t transmitLimit)
{
    const std::size_t taken = std::min(count, this->entries.size());
    const auto end = this->entries.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(this->entries.begin(), end, this->entries.end(),
        [](const Entry& first, const Entry& second) { return first.transmissions < second.transmissions; });

    std::vector<NodeId> ids;
    ids.reserve(taken);
    for (auto entry = this->entries.begin(); entry != end; ++entry) {
        entry->transmissions += 1;
        ids.push_back(entry->id);
    }
    std::erase_if(this->entries, [&](const Entry& entry) { return entry.transmissions >= transmitLimit; });
    return ids;
}

} // namespace teaselshore
