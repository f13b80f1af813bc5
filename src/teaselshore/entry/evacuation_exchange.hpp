#pragma once

#include <string>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Learns of evacuated zones from the platform and from peers, and tells peers what is new.
///
/// A node that learns of a change tells some random peers, and these tell others, so that nodes that the platform turns
/// away learn of it within a few hops. Random peers may leave some out, so that a node whose watch is not answered asks
/// peers as well, and so does one that has not yet read the evacuations, or has just started. Methods return the zones
/// that changed. Not thread-safe.
class EvacuationExchange {
public:
    using Changes = EvacuatedZones::Changes;

    explicit EvacuationExchange(EntryState& state);

    /// @brief Returns whether this node knows the evacuations, or need not.
    bool isComplete() const { return !this->isEnabled() || this->state.evacuated.revision().has_value(); }
    Changes onListed(const EvacuationsListed& event, Instant now);
    Changes onStarted(const EvacuationStarted& event, Instant now);
    Changes onEnded(const EvacuationEnded& event, Instant now);
    void onWatchChanged(const EvacuationWatchChanged& event, Instant now);
    Changes onReport(const std::string& senderAddress, const EvacuationReport& report, Instant now);
    Changes onTick(Instant now);

private:
    bool isEnabled() const { return this->state.settings.host.evacuations; }
    /// @brief Tells random peers if anything changed.
    Changes spread(Changes changes, Instant now);
    EvacuationReport report(bool wantsAnswer, Instant now) const;
    /// @brief Returns whether this node knows something that the sender of a report does not.
    bool knowsMoreThan(const EvacuationReport& report) const;
    void askPeers(Instant now);
    void warnOfDelay(Instant now);

    EntryState& state;
    bool isAnswered = true;
    Instant nextRequest {};
    /// Until when a node asks peers though it knows what the platform holds; nothing before it knows peers.
    std::optional<Instant> askUntil;
    /// When this node has begun to wait for the evacuations with everything else known.
    std::optional<Instant> waitingSince;
};

} // namespace teaselshore
