#include "membership_state.hpp"

#include <cmath>
#include <set>
#include <string_view>
#include <unordered_set>

namespace teaselshore {

namespace {

    /// Number of seed addresses probed at once by a node that knows no other member.
    constexpr std::size_t joinSeeds = 3;
    /// Number of sync delays after which a differing list is fetched although the local digest keeps changing.
    constexpr int forcedSyncDelays = 12;

} // namespace

std::uint64_t Membership::Impl::sendProbe(
    const NodeId& target, const std::string& address, bool wantsMembers, Instant now, Commands& commands)
{
    const std::uint64_t sequence = this->nextSequence++;
    const Instant indirectProbesAt = now + this->scaledByHealth(this->settings.directTimeout);
    const Instant timeoutAt = now + this->scaledByHealth(this->settings.probePeriod);
    const MemberTable::Record* record = this->table.find(target);
    const bool suspicionSent = record && record->member.state != MemberState::Alive;
    this->probes.emplace(sequence, Probe { target, address, indirectProbesAt, timeoutAt, false, suspicionSent });
    commands.emplace_back(SendPing { address,
        Ping { sequence, this->self(), wantsMembers, this->table.digest(), this->updatesFor(target, false) } });
    return sequence;
}

void Membership::Impl::probeNext(Instant now, Commands& commands)
{
    if (now < this->nextProbe || this->hasLeft())
        return;
    this->nextProbe = now + this->settings.probePeriod;
    const std::size_t rounds = 2;
    for (std::size_t round = 0; round < rounds; ++round) {
        while (!this->probeOrder.empty()) {
            const NodeId id = this->probeOrder.back();
            this->probeOrder.pop_back();
            const MemberTable::Record* record = this->table.find(id);
            if (!record || !isLive(record->member))
                continue;
            this->sendProbe(id, record->member.address, false, now, commands);
            return;
        }
        for (const Member* peer : this->table.livePeers())
            this->probeOrder.push_back(peer->id);
        for (std::size_t index = this->probeOrder.size(); index > 1; --index)
            std::swap(this->probeOrder[index - 1], this->probeOrder[this->random.below(index)]);
    }
}

std::vector<std::string> Membership::Impl::seedAddresses() const
{
    std::unordered_set<std::string_view> live;
    for (const auto& [id, record] : this->table.all()) {
        if (isLive(record.member) || id == this->self().id)
            live.insert(record.member.address);
    }
    std::set<std::string> seeds;
    // Leaving hosts are probed only by a node that knows no other member.
    for (const ListedHost& host : this->listedHosts) {
        if (live.contains(host.address) || (host.leaving && this->table.liveCount() > 1))
            continue;
        seeds.insert(host.address);
    }
    // Dead members may be on the other side of a partition while the host list is unavailable.
    for (const auto& [id, record] : this->table.all()) {
        const Member& member = record.member;
        if (member.state == MemberState::Dead && !member.address.empty() && !live.contains(member.address))
            seeds.insert(member.address);
    }
    return { seeds.begin(), seeds.end() };
}

void Membership::Impl::probeSeeds(Instant now, Commands& commands)
{
    if (now < this->nextSeed || this->hasLeft())
        return;
    const bool alone = this->table.liveCount() <= 1;
    this->nextSeed = now + (alone ? this->settings.probePeriod : this->settings.seedPeriod);
    this->table.removeExpired(now, this->settings.deadRetention, this->settings.leftRetention);

    std::vector<std::string> seeds = this->seedAddresses();
    for (std::size_t sent = 0; sent < (alone ? joinSeeds : 1) && !seeds.empty(); ++sent) {
        const auto index = this->random.below(seeds.size());
        this->sendProbe({}, seeds[index], alone, now, commands);
        seeds[index] = std::move(seeds.back());
        seeds.pop_back();
    }
}

std::vector<const Member*> Membership::Impl::selectRandomPeers(std::size_t count, const NodeId& except)
{
    std::vector<const Member*> peers = this->table.livePeers();
    std::erase_if(peers, [&](const Member* peer) { return peer->id == except; });
    const std::size_t chosen = std::min(count, peers.size());
    for (std::size_t index = 0; index < chosen; ++index)
        std::swap(peers[index], peers[index + this->random.below(peers.size() - index)]);
    peers.resize(chosen);
    return peers;
}

void Membership::Impl::requestIndirectProbes(std::uint64_t sequence, Probe& probe, Commands& commands)
{
    probe.indirectProbesSent = true;
    if (probe.target.empty())
        return;
    for (const Member* peer : this->selectRandomPeers(this->settings.indirectProbes, probe.target)) {
        commands.emplace_back(SendPingRequest { peer->address,
            PingRequest { sequence, this->self(), probe.target, probe.address, this->updatesFor(peer->id, false) } });
    }
}

void Membership::Impl::checkProbeTimeouts(Instant now, Commands& commands)
{
    std::vector<std::uint64_t> sequences;
    for (const auto& [sequence, probe] : this->probes) {
        if (now >= (probe.indirectProbesSent ? probe.timeoutAt : probe.indirectProbesAt))
            sequences.push_back(sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    for (const std::uint64_t sequence : sequences) {
        Probe& probe = this->probes.at(sequence);
        if (!probe.indirectProbesSent) {
            this->requestIndirectProbes(sequence, probe, commands);
            continue;
        }
        const NodeId target = probe.target;
        this->probes.erase(sequence);
        const MemberTable::Record* record = this->table.find(target);
        if (!record || record->member.state != MemberState::Alive)
            continue;
        this->raiseHealthScore();
        this->applyStateChange(this->table.suspect(target, now, this->suspicionTimeout()), target, commands);
    }
    std::erase_if(this->relayedProbes, [&](const auto& entry) { return entry.second.expiresAt <= now; });
}

void Membership::Impl::sendGossip(std::size_t receivers, Commands& commands)
{
    for (const Member* peer : this->selectRandomPeers(receivers, {})) {
        if (this->gossip.empty())
            return;
        commands.emplace_back(SendPing {
            peer->address, Ping { 0, this->self(), false, this->table.digest(), this->updatesFor(peer->id, false) } });
    }
}

bool Membership::Impl::mayFetchList(Instant now) const
{
    const bool fetchedRecently = this->lastListFetch && now - *this->lastListFetch < 2 * this->settings.syncDelay;
    return !this->hasLeft() && !fetchedRecently;
}

void Membership::Impl::compareDigest(const Member& peer, Fingerprint digest, Instant now, Commands& commands)
{
    if (digest == this->table.digest()) {
        this->digestDiffersSince.reset();
        return;
    }
    if (!this->digestDiffersSince)
        this->digestDiffersSince = now;
    const Duration delay = this->settings.syncDelay;
    const bool digestStable = now - this->table.digestChangedAt() >= delay;
    const bool forced = now - *this->digestDiffersSince >= forcedSyncDelays * delay;
    if (!isLive(peer) || !this->mayFetchList(now) || !(digestStable || forced || this->listOutdated))
        return;
    this->fetchList(peer, now, commands);
}

void Membership::Impl::fetchList(const Member& peer, Instant now, Commands& commands)
{
    this->lastListFetch = now;
    this->digestDiffersSince.reset();
    this->sendProbe({}, peer.address, true, now, commands);
}

} // namespace teaselshore
