#pragma once

#include <cstdint>
#include <memory>

#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/entry/entry_command.hpp"
#include "teaselshore/entry/entry_event.hpp"
#include "teaselshore/entry/entry_statistics.hpp"
#include "teaselshore/entry/request_forecast.hpp"

namespace teaselshore {

/// @brief The host's settings and the values that each process start sets.
struct EntryNodeSettings {
    EntrySettings host;
    /// Id of this process; must be unique for each start.
    NodeId id;
    std::uint64_t seed = 1;
};

/// @brief Decision logic of the daemon on a platform where upstreams register themselves: maps (state, event, now) to
/// commands.
///
/// Unlike Node it has no journal, no failure detector and no distribution of configuration: callers send no keys under
/// which a response must be stored, and each node reads the platform's objects itself. Performs no I/O, reads no clock
/// and starts no threads. Not thread-safe.
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
    /// @brief Returns what would happen to a caller's request that arrived now. Sends, charges and counts nothing, and
    /// changes no later decision. now must not decrease.
    RequestForecast forecast(const CallerRequest& request, Instant now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
