#include "membership_state.hpp"

namespace teaselshore {

namespace {

    /// Rounds of gossip in which a planned stop is told at once.
    constexpr std::size_t leaveRounds = 4;

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
    state.observeTime(now);
    state.checkProbes(now, commands);
    for (const NodeId& id : state.table.overdue(now))
        state.apply(state.table.confirmDead(id, now), id, commands);
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
    state.observeTime(now);
    const bool returned = state.isDead(ping.sender.id);
    state.mergeSender(ping.sender, now, commands);
    state.mergeClaims(ping.updates, now, commands);
    if (ping.sequence != 0) {
        const bool complete = ping.wantsMembers && !state.outdated;
        std::vector<Member> updates = state.updatesFor(ping.sender.id, complete);
        commands.emplace_back(SendAck { ping.sender.address,
            Ack { ping.sequence, state.self(), state.table.digest(), complete, std::move(updates) } });
    }
    if (returned && isLive(ping.sender) && state.mayFetchList(now))
        state.fetchList(ping.sender, now, commands);
    else
        state.compareDigest(ping.sender, ping.digest, now, commands);
    return commands;
}

std::vector<MembershipCommand> Membership::onPingRequest(const PingRequest& request, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.observeTime(now);
    state.mergeSender(request.sender, now, commands);
    state.mergeClaims(request.updates, now, commands);
    if (request.target == state.self().id) {
        commands.emplace_back(SendAck { request.sender.address,
            Ack { request.sequence, state.self(), state.table.digest(), false,
                state.updatesFor(request.sender.id, false) } });
        return commands;
    }
    const std::uint64_t sequence = state.nextSequence++;
    const Instant expiresAt = now + 2 * state.settings.probePeriod;
    state.relays.emplace(sequence, Impl::Relay { request.sender.address, request.sequence, expiresAt });
    commands.emplace_back(SendPing { request.targetAddress,
        Ping { sequence, state.self(), false, state.table.digest(), state.updatesFor(request.target, false) } });
    return commands;
}

std::vector<MembershipCommand> Membership::onAck(const Ack& ack, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.observeTime(now);
    const bool returned = state.isDead(ack.responder.id);
    state.mergeSender(ack.responder, now, commands);
    if (ack.complete)
        state.mergeList(ack.updates, now, commands);
    else
        state.mergeClaims(ack.updates, now, commands);

    if (const auto relay = state.relays.find(ack.sequence); relay != state.relays.end()) {
        commands.emplace_back(SendAck { relay->second.origin,
            Ack { relay->second.sequence, ack.responder, state.table.digest(), false, ack.updates } });
        state.relays.erase(relay);
        return commands;
    }
    const auto found = state.probes.find(ack.sequence);
    if (found == state.probes.end())
        return commands;
    const Impl::Probe probe = std::move(found->second);
    state.probes.erase(found);
    if (!probe.target.empty() && probe.target != ack.responder.id) {
        state.apply(state.table.confirmDead(probe.target, now), probe.target, commands);
    } else if (!probe.target.empty() && state.health > 0) {
        state.health -= 1;
    }
    // It answers, but counts as suspect or dead here: it has to hear of that to refute it. Telling it once per probe
    // bounds the messages to a peer that does not refute.
    if (!probe.toldDoubt && state.needsRefutation(ack.responder))
        state.sendProbe(ack.responder.id, ack.responder.address, false, now, commands);
    if (returned && isLive(ack.responder) && state.mayFetchList(now))
        state.fetchList(ack.responder, now, commands);
    else
        state.compareDigest(ack.responder, ack.digest, now, commands);
    return commands;
}

std::vector<MembershipCommand> Membership::onHostList(const std::vector<ListedHost>& hosts, Instant now)
{
    Impl& state = *this->impl;
    Impl::Commands commands;
    state.observeTime(now);
    state.hosts = hosts;
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
    state.observeTime(now);
    if (state.leaving())
        return commands;
    state.table.setSelf(state.self().incarnation, MemberState::Left);
    state.gossip.add(state.self().id);
    state.probes.clear();
    state.sendGossip(state.settings.gossipFanout * leaveRounds, commands);
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

std::uint32_t Membership::healthScore() const { return this->impl->health; }

} // namespace teaselshore
