#pragma once

#include <cstdint>
#include <memory>

#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_command.hpp"
#include "teaselshore/entry/entry_event.hpp"
#include "teaselshore/entry/entry_statistics.hpp"

namespace teaselshore {

/// @brief Settings of an EntryNode that are not the operators' business.
struct EntryNodeSettings {
    EntrySettings host;
    /// This process; must be new for each start.
    NodeId id;
    std::uint64_t seed = 1;
};

/// @brief All decisions of a daemon on a platform where upstreams register themselves: (state, event, now) -> commands.
///
/// Unlike Node it has no journal, no failure detector and no distribution of configuration: callers bring no keys under
/// which a response must be kept, and each node follows the platform's objects itself. Does no I/O, reads no clock and
/// starts no thread. Not thread-safe.
class EntryNode {
public:
    explicit EntryNode(EntryNodeSettings settings);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// @brief Returns a new id for a caller's request.
    RequestId nextRequestId();
    /// @brief Handles one event. now must not decrease.
    EntryCommands handle(EntryEvent event, Instant now);
    /// @brief Returns when the next EntryTick is due at the latest.
    Instant nextTick() const;

    EntryStatistics statistics() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
