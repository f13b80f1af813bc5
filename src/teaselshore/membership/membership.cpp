#include "membership_state.hpp"

namespace teaselshore {

namespace {

    /// Number of gossip rounds whose messages are sent at once when the local node leaves.
    constexpr std::size_t leaveGossipRounds = 4;

} // namespace

Membership::Membership(Member self, MembershipSettings settings, RandomSource random)
    : impl(std::make_unique<Impl>(std::move(self), settings, random))
{
}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

std::vector<MembershipCommand> Membership::onTick(Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    state.checkProbeTimeouts(now, commands);
    for (const NodeId& id : state.table.expiredSuspicions(now))
        state.applyStateChange(state.table.confirmDead(id, now), id, commands);
    state.probeNext(now, commands);
    state.probeSeeds(now, commands);
    if (!state.gossip.empty() && now >= state.nextGossip) {
        state.nextGossip = now + state.settings.gossipPeriod;
        state.sendGossip(state.settings.gossipFanout, commands);
    }
    return commands;
}

std::vector<MembershipCommand> Membership::onPing(const Ping& ping, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    const bool wasDead = state.isDead(ping.sender.id);
    state.mergeSender(ping.sender, now, commands);
    state.mergeUpdates(ping.updates, now, commands);
    if (ping.sequence != 0) {
        const bool complete = ping.wantsMembers && !state.listOutdated;
        std::vector<Member> updates = state.updatesFor(ping.sender.id, complete);
        commands.emplace_back(SendAck { ping.sender.address,
            Ack { ping.sequence, state.self(), state.table.digest(), complete, std::move(updates) } });
    }
    if (wasDead && isLive(ping.sender) && state.mayFetchList(now))
        state.fetchList(ping.sender, now, commands);
    else
        state.compareDigest(ping.sender, ping.digest, now, commands);
    return commands;
}

std::vector<MembershipCommand> Membership::onPingRequest(const PingRequest& request, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    state.mergeSender(request.sender, now, commands);
    state.mergeUpdates(request.updates, now, commands);
    if (request.target == state.self().id) {
        commands.emplace_back(SendAck { request.sender.address,
            Ack { request.sequence, state.self(), state.table.digest(), false,
                state.updatesFor(request.sender.id, false) } });
        return commands;
    }
    const std::uint64_t sequence = state.nextSequence++;
    const Instant expiresAt = now + 2 * state.settings.probePeriod;
    state.relayedProbes.emplace(sequence, Impl::RelayedProbe { request.sender.address, request.sequence, expiresAt });
    commands.emplace_back(SendPing { request.targetAddress,
        Ping { sequence, state.self(), false, state.table.digest(), state.updatesFor(request.target, false) } });
    return commands;
}

std::vector<MembershipCommand> Membership::onAck(const Ack& ack, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    const bool wasDead = state.isDead(ack.responder.id);
    state.mergeSender(ack.responder, now, commands);
    if (ack.complete)
        state.mergeCompleteList(ack.updates, now, commands);
    else
        state.mergeUpdates(ack.updates, now, commands);

    if (const auto relay = state.relayedProbes.find(ack.sequence); relay != state.relayedProbes.end()) {
        commands.emplace_back(SendAck { relay->second.requesterAddress,
            Ack { relay->second.requestSequence, ack.responder, state.table.digest(), false, ack.updates } });
        state.relayedProbes.erase(relay);
        return commands;
    }
    const auto found = state.probes.find(ack.sequence);
    if (found == state.probes.end())
        return commands;
    const Impl::Probe probe = std::move(found->second);
    state.probes.erase(found);
    if (!probe.target.empty() && probe.target != ack.responder.id) {
        state.applyStateChange(state.table.confirmDead(probe.target, now), probe.target, commands);
    } else if (!probe.target.empty() && state.healthScore > 0) {
        state.healthScore -= 1;
    }
    // The responder is suspect or dead here and must learn of that to refute it. A probe that already carried the
    // suspicion is not followed by another one, which bounds the messages to a peer that does not refute.
    if (!probe.suspicionSent && state.needsRefutation(ack.responder))
        state.sendProbe(ack.responder.id, ack.responder.address, false, now, commands);
    if (wasDead && isLive(ack.responder) && state.mayFetchList(now))
        state.fetchList(ack.responder, now, commands);
    else
        state.compareDigest(ack.responder, ack.digest, now, commands);
    return commands;
}

std::vector<MembershipCommand> Membership::onHostList(const std::vector<ListedHost>& hosts, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    state.listedHosts = hosts;
    if (state.table.liveCount() <= 1) {
        state.nextSeed = now;
        state.probeSeeds(now, commands);
    }
    return commands;
}

std::vector<MembershipCommand> Membership::onLeave(Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.detectPause(now);
    if (state.hasLeft())
        return commands;
    state.table.setSelf(state.self().incarnation, MemberState::Left);
    state.gossip.add(state.self().id);
    state.probes.clear();
    state.sendGossip(state.settings.gossipFanout * leaveGossipRounds, commands);
    return commands;
}

const Member& Membership::self() const { return this->impl->self(); }

const Member* Membership::find(const NodeId& id) const
{
    const MemberTable::Record* record = this->impl->table.find(id);
    return record ? &record->member : nullptr;
}

const Member* Membership::findLiveAt(const std::string& address) const { return this->impl->table.findLiveAt(address); }

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    for (const auto& [id, record] : this->impl->table.all())
        members.push_back(record.member);
    return members;
}

std::vector<Member> Membership::liveMembers() const
{
    std::vector<Member> members;
    for (const auto& [id, record] : this->impl->table.all()) {
        if (isLive(record.member))
            members.push_back(record.member);
    }
    return members;
}

Fingerprint Membership::digest() const { return this->impl->table.digest(); }

std::uint32_t Membership::healthScore() const { return this->impl->healthScore; }

} // namespace teaselshore
