#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/reliability/turn_schedule.hpp"

namespace teaselshore {

/// @brief Limit of an upstream's requests per second, as one of its responses stated it.
struct StatedLimit {
    /// Requests per second from all nodes together; nothing if the upstream names no limit any more.
    std::optional<double> perSecond;
    /// When the response arrived at the node that received it.
    Instant statedAt {};
    /// How this node knows it: "response", or the address of a peer, or "report" of a node.
    std::string source;

    auto operator<=>(const StatedLimit&) const = default;
};

/// @brief Limit of the requests to a cold upstream from all nodes together. It expires.
struct ColdLimit {
    ServiceName service;
    /// Name of the instance. The order of turns depends on it alone, so that nodes that have and have not yet learnt of
    /// a restart do not use the turns of two different orders.
    std::string instance;
    /// Requests per second that the upstream sustains while it is cold. Precondition: positive and finite.
    double perSecond = 1;
    /// When the limit expires.
    Instant until {};

    auto operator<=>(const ColdLimit&) const = default;
};

/// @brief Keeps the requests of the whole fleet within the limits that upstreams name, and within those of upstreams
/// that are cold.
///
/// The nodes of the fleet take turns to send a request to a limited upstream, in an order that differs between
/// upstreams. A turn that is not used within turnLifetime is lost, so that nodes that were idle cannot send at the same
/// time later. Wall-clock times are times since 1970. Not thread-safe.
///
/// A cold upstream crashes if it gets too many requests in one second. Its turns therefore come at coldTurnFraction of
/// its rate and last for coldTurnLifetime: even if each of two groups of nodes that disagree on the fleet uses all
/// turns of its own order, and uses them late, the nodes together send at most 2 x 0.5 x 1.4 = 1.4 times the rate in a
/// second, and one request each for the turn that is partly in it.
class UpstreamLimits {
public:
    /// @brief Time during which a turn can be used.
    static constexpr Duration turnLifetime = std::chrono::seconds(1);

    /// @brief Time during which a turn at a cold upstream can be used.
    static constexpr Duration coldTurnLifetime = std::chrono::milliseconds(400);
    /// @brief Turns at a cold upstream per request that it sustains.
    static constexpr double coldTurnFraction = 0.5;

    /// @brief Sets the hosts of all nodes and that of this one. Without hosts, or if this one is not among them, this
    /// node has no turns. After a change, turns at cold upstreams of before are lost, which others may have used in
    /// another order; the wall-clock time is needed for these only.
    void setFleet(std::vector<std::string> allHosts, const std::string& ownHost, Duration wallClock = {});

    /// @brief Applies a statement about an upstream unless a later one is known. Returns whether the limit changed.
    bool onStated(const UpstreamId& upstream, const StatedLimit& stated, Duration wallClock);
    /// @brief Limits an upstream that is cold, or changes its limit. Returns whether it had no such limit.
    bool setCold(const UpstreamId& upstream, const ColdLimit& limit, Duration wallClock);
    /// @brief Ends the limit of an upstream that is no longer cold. Returns whether it had one.
    bool endCold(const UpstreamId& upstream) { return this->coldEntries.erase(upstream) > 0; }
    /// @brief Ends the limits that have expired, and returns their upstreams.
    std::vector<UpstreamId> endExpiredCold(Instant now);
    /// @brief Uses the earliest unused turn, or the next one if there is none. Ignores upstreams without a limit.
    void onSent(const UpstreamId& upstream, Duration wallClock);
    /// @brief Forgets upstreams that nothing was heard of for a long time.
    void onTick(Instant now);

    /// @brief Returns what is known of the upstream's limit; null if nothing was ever stated.
    const StatedLimit* find(const UpstreamId& upstream) const;
    /// @brief Returns the limit of a cold upstream; null if it has none.
    const ColdLimit* findCold(const UpstreamId& upstream) const;
    /// @brief Returns whether any upstream has a limit.
    bool isAnyLimited() const { return this->limitedCount > 0 || this->isAnyCold(); }
    bool isAnyCold() const { return !this->coldEntries.empty(); }
    std::size_t coldCount() const { return this->coldEntries.size(); }
    /// @brief Returns the cold upstreams of a service to which this node may send no request now.
    std::vector<UpstreamId> closedColdUpstreams(const ServiceName& service, Duration wallClock) const;
    /// @brief Returns the upstreams that name a limit.
    std::vector<UpstreamId> limitedUpstreams() const;
    /// @brief Returns when this node may send the next request to the upstream; the given time or an earlier one if it
    /// may now, Duration::max() if it has no turns.
    Duration nextTurn(const UpstreamId& upstream, Duration wallClock) const;
    /// @brief Returns the time between two turns of the fleet; zero for an upstream without a limit.
    Duration turnPeriod(const UpstreamId& upstream) const;

private:
    struct Entry {
        StatedLimit stated;
        /// Turns up to this wall-clock time are used or lost.
        Duration usedUntil {};
        /// Position of this node in the order of turns; nothing if it has no turns.
        std::optional<std::size_t> position;
    };

    struct ColdEntry {
        ColdLimit limit;
        /// As in Entry.
        Duration usedUntil {};
        std::optional<std::size_t> position;
    };

    /// @brief Returns the position of this node in the order of turns that the key determines.
    std::optional<std::size_t> positionFor(const std::string& key) const;
    /// @brief Returns the turns per second at a cold upstream, which may name a limit too.
    double coldTurnRate(const UpstreamId& upstream, const ColdLimit& limit) const;
    Duration nextColdTurn(const UpstreamId& upstream, const ColdEntry& entry, Duration wallClock) const;

    /// Sorted. Empty if this node has no turns.
    std::vector<std::string> hosts;
    std::string self;
    std::map<UpstreamId, Entry> entries;
    std::map<UpstreamId, ColdEntry> coldEntries;
    std::size_t limitedCount = 0;
};

} // namespace teaselshore
