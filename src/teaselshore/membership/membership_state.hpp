#pragma once

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "gossip_queue.hpp"
#include "member_table.hpp"
#include "teaselshore/membership/membership.hpp"

namespace teaselshore {

/// @brief State of a Membership. Events are in membership.cpp, merging of claims in membership_claims.cpp, timers in
/// membership_probes.cpp.
struct Membership::Impl {
    using Commands = std::vector<MembershipCommand>;
    using Source = MemberTable::Source;

    /// @brief Probe sent by this node.
    struct Probe {
        /// Empty for a probe of an address whose member is not known.
        NodeId target;
        std::string address;
        Instant askOthersAt {};
        Instant failsAt {};
        bool askedOthers = false;
        /// True if the probe told the target that it counts as suspect or dead.
        bool toldDoubt = false;
    };

    /// @brief Probe sent on behalf of another member.
    struct Relay {
        std::string origin;
        std::uint64_t sequence = 0;
        Instant expiresAt {};
    };

    Impl(Member self, MembershipSettings settings, RandomSource random)
        : settings(settings)
        , random(random)
        , table(std::move(self))
        // An old Ack to an earlier process at the same address must not match a probe of this one.
        , nextSequence(this->random.below(std::uint64_t(1) << 32) + 1)
    {
        this->gossip.add(this->table.self().id);
    }

    const Member& self() const { return this->table.self(); }
    bool leaving() const { return this->self().state == MemberState::Left; }
    Duration scaled(Duration time) const { return time * (this->health + 1); }

    double sizeFactor() const
    {
        return std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(1, this->table.liveCount()))));
    }

    Duration suspicionTimeout() const
    {
        const double seconds
            = toSeconds(this->settings.probePeriod) * this->settings.suspicionFactor * this->sizeFactor();
        return this->scaled(fromSeconds(seconds));
    }

    void observeTime(Instant now);
    void raiseHealthScore();
    void apply(MemberTable::Merge merge, const NodeId& id, Commands& commands);
    void mergeClaim(const Member& claim, Source source, Instant now, Commands& commands);
    void mergeClaims(const std::vector<Member>& claims, Instant now, Commands& commands);
    void mergeList(const std::vector<Member>& claims, Instant now, Commands& commands);
    void mergeSender(const Member& sender, Instant now, Commands& commands);
    bool isDead(const NodeId& id) const;
    bool mayFetchList(Instant now) const;
    void fetchList(const Member& peer, Instant now, Commands& commands);
    void refute(const Member& claim);
    std::vector<Member> updatesFor(const NodeId& receiver, bool complete);
    bool needsRefutation(const Member& sender) const;
    std::uint64_t sendProbe(
        const NodeId& target, const std::string& address, bool wantsMembers, Instant now, Commands& commands);
    void probeNext(Instant now, Commands& commands);
    void probeSeeds(Instant now, Commands& commands);
    void askOthers(std::uint64_t sequence, Probe& probe, Commands& commands);
    void checkProbes(Instant now, Commands& commands);
    void sendGossip(std::size_t receivers, Commands& commands);
    void compareDigest(const Member& peer, Fingerprint digest, Instant now, Commands& commands);
    std::vector<const Member*> choosePeers(std::size_t count, const NodeId& except);
    std::vector<std::string> seedAddresses() const;

    MembershipSettings settings;
    RandomSource random;
    MemberTable table;
    GossipQueue gossip;
    std::uint64_t nextSequence;
    std::unordered_map<std::uint64_t, Probe> probes;
    std::unordered_map<std::uint64_t, Relay> relays;
    /// Members still to be probed in this round, last one first.
    std::vector<NodeId> order;
    std::vector<ListedHost> hosts;
    std::uint32_t health = 0;
    std::optional<Instant> lastEvent;
    Instant nextProbe {};
    Instant nextGossip {};
    Instant nextSeed {};
    std::optional<Instant> lastSync;
    /// Time since which every digest received differed from the own one.
    std::optional<Instant> differsSince;
    /// True from a pause until the list of a peer was fetched: the own list is old.
    bool outdated = false;
};

} // namespace teaselshore
