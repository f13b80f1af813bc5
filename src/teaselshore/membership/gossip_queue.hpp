#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief Members whose current state is still to be told, with the number of messages that already carried it.
class GossipQueue {
public:
    /// @brief Tells the member's state from the beginning again.
    void add(const NodeId& id);

    /// @brief Returns the up to count members that were told least often, and drops those told limit times.
    std::vector<NodeId> take(std::size_t count, std::uint32_t limit);

    bool empty() const { return this->entries.empty(); }

private:
    struct Entry {
        NodeId id;
        std::uint32_t sent = 0;
    };

    std::vector<Entry> entries;
};

} // namespace teaselshore
