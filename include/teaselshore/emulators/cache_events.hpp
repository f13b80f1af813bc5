#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Published change of a prefix cache.
struct CacheEvent {
    enum class Kind {
        Stored,
        Evicted,
    };

    /// Increases by one per event; a missing number is a lost event.
    std::uint64_t number = 0;
    Kind kind = Kind::Stored;
    std::vector<Fingerprint> blocks;

    auto operator<=>(const CacheEvent&) const = default;
};

/// @brief Delay and loss of cache events.
struct CacheEventSettings {
    Duration delay = std::chrono::milliseconds(200);
    /// Share of events that are never published, in [0, 1].
    double loss = 0;
    /// Older events are dropped.
    std::size_t retained = 10000;

    auto operator<=>(const CacheEventSettings&) const = default;
};

/// @brief Log of cache events, published late and with gaps. Not thread-safe.
class CacheEventLog {
public:
    CacheEventLog(CacheEventSettings settings, std::uint64_t seed);

    void add(CacheEvent::Kind kind, std::vector<Fingerprint> blocks, Instant now);

    /// @brief Returns up to limit published events with numbers above after, in order.
    std::vector<CacheEvent> eventsAfter(std::uint64_t after, std::size_t limit, Instant now) const;

private:
    struct Entry {
        Instant at;
        CacheEvent event;
    };

    CacheEventSettings settings;
    RandomSource random;
    std::uint64_t last = 0;
    std::deque<Entry> entries;
};

} // namespace teaselshore
