#pragma once

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "gossip_queue.hpp"
#include "member_table.hpp"
#include "teaselshore/membership/membership.hpp"

namespace teaselshore {

/// @brief Implementation of Membership.
///
/// Event handlers are in membership.cpp, merging of updates in membership_updates.cpp, probes and gossip in
/// membership_probes.cpp.
struct Membership::Impl {
    using Commands = std::vector<MembershipCommand>;
    using Source = MemberTable::Source;

    /// @brief Probe sent by this node.
    struct Probe {
        /// Empty if the member at the address is not known.
        NodeId target;
        std::string address;
        Instant indirectProbesAt {};
        Instant timeoutAt {};
        bool indirectProbesSent = false;
        /// True if the probe carried the suspicion against the target, or its death, so that it can refute it.
        bool suspicionSent = false;
    };

    /// @brief Probe sent on behalf of another member.
    struct RelayedProbe {
        std::string requesterAddress;
        std::uint64_t requestSequence = 0;
        Instant expiresAt {};
    };

    Impl(Member self, MembershipSettings settings, RandomSource random)
        : settings(settings)
        , random(random)
        , table(std::move(self))
        // A random start keeps a delayed Ack to an earlier process at this address from matching a new probe.
        , nextSequence(this->random.below(std::uint64_t(1) << 32) + 1)
    {
        this->gossip.add(this->table.self().id);
    }

    const Member& self() const { return this->table.self(); }
    bool hasLeft() const { return this->self().state == MemberState::Left; }
    Duration scaledByHealth(Duration time) const { return time * (this->healthScore + 1); }

    double logClusterSize() const
    {
        return std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(1, this->table.liveCount()))));
    }

    Duration suspicionTimeout() const
    {
        const double seconds
            = toSeconds(this->settings.probePeriod) * this->settings.suspicionFactor * this->logClusterSize();
        return this->scaledByHealth(fromSeconds(seconds));
    }

    void detectPause(Instant now);
    void raiseHealthScore();
    void applyStateChange(MemberTable::StateChange change, const NodeId& id, Commands& commands);
    void mergeUpdate(const Member& update, Source source, Instant now, Commands& commands);
    void mergeUpdates(const std::vector<Member>& updates, Instant now, Commands& commands);
    void mergeCompleteList(const std::vector<Member>& updates, Instant now, Commands& commands);
    void mergeSender(const Member& sender, Instant now, Commands& commands);
    bool isDead(const NodeId& id) const;
    bool mayFetchList(Instant now) const;
    void fetchList(const Member& peer, Instant now, Commands& commands);
    void refute(const Member& update);
    std::vector<Member> updatesFor(const NodeId& receiver, bool complete);
    bool needsRefutation(const Member& sender) const;
    std::uint64_t sendProbe(
        const NodeId& target, const std::string& address, bool wantsMembers, Instant now, Commands& commands);
    void probeNext(Instant now, Commands& commands);
    void probeSeeds(Instant now, Commands& commands);
    void requestIndirectProbes(std::uint64_t sequence, Probe& probe, Commands& commands);
    void checkProbeTimeouts(Instant now, Commands& commands);
    void sendGossip(std::size_t receivers, Commands& commands);
    void compareDigest(const Member& peer, Fingerprint digest, Instant now, Commands& commands);
    std::vector<const Member*> selectRandomPeers(std::size_t count, const NodeId& except);
    std::vector<std::string> seedAddresses() const;

    MembershipSettings settings;
    RandomSource random;
    MemberTable table;
    GossipQueue gossip;
    std::uint64_t nextSequence;
    std::unordered_map<std::uint64_t, Probe> probes;
    std::unordered_map<std::uint64_t, RelayedProbe> relayedProbes;
    /// Members not yet probed in the current round, in reverse order.
    std::vector<NodeId> probeOrder;
    std::vector<ListedHost> listedHosts;
    std::uint32_t healthScore = 0;
    std::optional<Instant> lastEvent;
    Instant nextProbe {};
    Instant nextGossip {};
    Instant nextSeed {};
    std::optional<Instant> lastListFetch;
    /// Time of the first digest mismatch since the last match or list fetch.
    std::optional<Instant> digestDiffersSince;
    /// True from a pause until a complete list was fetched, because the local list may have missed changes.
    bool listOutdated = false;
};

} // namespace teaselshore
