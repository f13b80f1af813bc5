#include "membership_state.hpp"

namespace teaselshore {

namespace {

    /// A list that contradicts the local one about at least one in this many live members is from the other side of a
    /// partition.
    constexpr std::size_t partitionFraction = 4;

    /// @brief Clears zone, region and address unless the member is alive: other state changes need only the id.
    Member compactUpdate(Member member)
    {
        if (member.state == MemberState::Alive)
            return member;
        member.zone = {};
        member.region = {};
        member.address.clear();
        return member;
    }

} // namespace

/// After a pause of this process, probes and suspicions have timed out without meaning that other members failed. The
/// probes are dropped, the suspicion timeouts restarted, and the health score is set to its maximum, which lengthens
/// later timeouts for a while.
void Membership::Impl::detectPause(Instant now)
{
    const bool paused = this->lastEvent && now - *this->lastEvent > this->settings.pauseGap;
    if (!this->lastEvent || now > *this->lastEvent)
        this->lastEvent = now;
    if (!paused)
        return;
    this->probes.clear();
    this->relayedProbes.clear();
    this->healthScore = this->settings.maximumHealthScore;
    this->listOutdated = true;
    this->nextProbe = now;
    this->table.extendSuspicions(now, this->suspicionTimeout());
}

void Membership::Impl::raiseHealthScore()
{
    this->healthScore = std::min(this->healthScore + 1, this->settings.maximumHealthScore);
}

void Membership::Impl::applyStateChange(MemberTable::StateChange change, const NodeId& id, Commands& commands)
{
    if (change.disseminate)
        this->gossip.add(id);
    if (!change.event)
        return;
    if (!change.event->previous || !isLive(*change.event->previous)) {
        const auto position = static_cast<std::ptrdiff_t>(this->random.below(this->probeOrder.size() + 1));
        this->probeOrder.insert(this->probeOrder.begin() + position, id);
    }
    commands.emplace_back(*std::move(change.event));
}

void Membership::Impl::mergeUpdate(const Member& update, Source source, Instant now, Commands& commands)
{
    if (update.id.empty())
        return;
    if (update.id == this->self().id) {
        this->refute(update);
        return;
    }
    this->applyStateChange(this->table.merge(update, source, now, this->suspicionTimeout()), update.id, commands);
}

void Membership::Impl::mergeUpdates(const std::vector<Member>& updates, Instant now, Commands& commands)
{
    for (const Member& update : updates)
        this->mergeUpdate(update, Source::Gossip, now, commands);
}

void Membership::Impl::mergeSender(const Member& sender, Instant now, Commands& commands)
{
    if (sender.id.empty() || sender.id == this->self().id)
        return;
    const bool known = this->table.find(sender.id) != nullptr;
    const Member* previous = known ? nullptr : this->table.findLiveAt(sender.address);
    const std::optional<NodeId> replacedId = previous ? std::optional(previous->id) : std::nullopt;
    this->mergeUpdate(sender, Source::Gossip, now, commands);
    // A new process that listens on the address of another one has replaced it.
    if (replacedId && *replacedId != this->self().id)
        this->applyStateChange(this->table.confirmDead(*replacedId, now), *replacedId, commands);
}

void Membership::Impl::refute(const Member& update)
{
    const Member& self = this->self();
    if (update.state == MemberState::Alive || update.incarnation < self.incarnation)
        return;
    this->gossip.add(self.id);
    if (this->hasLeft())
        return;
    this->table.setSelf(update.incarnation + 1, MemberState::Alive);
    this->raiseHealthScore();
}

bool Membership::Impl::needsRefutation(const Member& sender) const
{
    const MemberTable::Record* record = this->table.find(sender.id);
    if (!record || sender.state == MemberState::Left)
        return false;
    const Member& known = record->member;
    const bool suspectedOrDead = known.state == MemberState::Suspect || known.state == MemberState::Dead;
    return suspectedOrDead && known.incarnation >= sender.incarnation;
}

std::vector<Member> Membership::Impl::updatesFor(const NodeId& receiver, bool complete)
{
    std::vector<Member> updates;
    if (complete) {
        for (const auto& [id, record] : this->table.all())
            updates.push_back(isLive(record.member) ? record.member : compactUpdate(record.member));
        return updates;
    }
    // A suspicion against the receiver is always included, so that it can refute it in time.
    const MemberTable::Record* record = this->table.find(receiver);
    if (record && record->member.state != MemberState::Alive)
        updates.push_back(compactUpdate(record->member));

    const auto transmitLimit
        = static_cast<std::uint32_t>(std::ceil(this->settings.retransmitFactor * this->logClusterSize()));
    for (const NodeId& id : this->gossip.take(this->settings.updatesPerMessage, transmitLimit)) {
        const MemberTable::Record* queued = this->table.find(id);
        if (queued && id != receiver)
            updates.push_back(compactUpdate(queued->member));
    }
    return updates;
}

/// After a partition heals, each side's list has the members of the other side as dead. If the lists contradict each
/// other about many members, neither is trusted: members alive in the peer's list are marked alive here, its dead
/// members are ignored, and later probes decide. Otherwise each member would have to refute, and in a large cluster
/// that gossip would take longer than the suspicion timeout.
void Membership::Impl::mergeCompleteList(const std::vector<Member>& updates, Instant now, Commands& commands)
{
    this->listOutdated = false;
    std::vector<NodeId> aliveAtPeer;
    std::vector<const Member*> deadAtPeer;
    for (const Member& update : updates) {
        const MemberTable::Record* record = this->table.find(update.id);
        if (!record || record->member.incarnation != update.incarnation)
            continue;
        const MemberState localState = record->member.state;
        if (localState == MemberState::Dead && update.state == MemberState::Alive)
            aliveAtPeer.push_back(update.id);
        if (localState == MemberState::Alive && update.state == MemberState::Dead)
            deadAtPeer.push_back(&update);
    }
    const std::size_t partitionThreshold = std::max<std::size_t>(2, this->table.liveCount() / partitionFraction);
    const bool acceptsAlive = aliveAtPeer.size() >= partitionThreshold;
    const bool ignoresDead = deadAtPeer.size() >= partitionThreshold;
    for (const Member& update : updates) {
        const bool ignored = ignoresDead && update.state == MemberState::Dead && !this->isDead(update.id);
        if (!ignored || update.id == this->self().id)
            this->mergeUpdate(update, Source::CompleteList, now, commands);
    }
    if (!acceptsAlive)
        return;
    for (const NodeId& id : aliveAtPeer)
        this->applyStateChange(this->table.markAlive(id, now), id, commands);
}

bool Membership::Impl::isDead(const NodeId& id) const
{
    const MemberTable::Record* record = this->table.find(id);
    return record && record->member.state == MemberState::Dead;
}

} // namespace teaselshore
