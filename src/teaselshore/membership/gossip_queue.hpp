#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief Queue of members whose current state is to be sent as gossip, with the number of messages that carried it.
class GossipQueue {
public:
    /// @brief Queues the state of a member, or resets its transmission count if it is queued already.
    void add(const NodeId& id);

    /// @brief Returns up to count members with the fewest transmissions and removes those that reach transmitLimit.
    std::vector<NodeId> take(std::size_t count, std::uint32_t transmitLimit);

    bool empty() const { return this->entries.empty(); }

private:
    struct Entry {
        NodeId id;
        std::uint32_t transmissions = 0;
    };

    std::vector<Entry> entries;
};

} // namespace teaselshore
