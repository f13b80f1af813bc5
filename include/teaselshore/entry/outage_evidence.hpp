#pragma once

#include <optional>
#include <vector>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief When the platform can have been down for long, from what this node and its peers know.
///
/// A node whose calls are not answered cannot tell an outage of the platform from one of its own connections, and
/// notices the return late. But the platform was up whenever it answered any node, so only the times in between remain.
/// Not thread-safe.
class OutageEvidence {
public:
    /// @brief Outages shorter than the given time are ignored.
    explicit OutageEvidence(Duration shortestOutage);

    /// @brief The platform answers this node again, and did not for at most the given time.
    void onReturned(Duration longestOutage, Instant now);
    /// @brief The platform answered another node without an outage from the first to the second time.
    void onAnsweredPeer(Instant first, Instant last);

    /// @brief Returns the latest time at which the platform can have returned from an outage; nothing if there was
    /// none.
    std::optional<Instant> returnedAt() const { return this->returned; }

private:
    struct Interval {
        Instant begin {};
        Instant end {};

        auto operator<=>(const Interval&) const = default;
    };

    std::optional<Instant> endOfLatestOutage() const;

    Duration shortestOutage;
    /// The latest outage of this node that was long enough.
    std::optional<Interval> own;
    /// Times within it at which the platform answered peers.
    std::vector<Interval> answered;
    /// The return from the outages before that one.
    std::optional<Instant> earlier;
    std::optional<Instant> returned;
};

} // namespace teaselshore
