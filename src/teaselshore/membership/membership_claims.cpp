#include "membership_state.hpp"

namespace teaselshore {

namespace {

    /// Lists that differ about one in this many live members come from the two sides of a partition.
    constexpr std::size_t partitionFraction = 4;

    /// @brief Returns the claim as it travels: a state change of a known member needs no address.
    Member shortened(Member member)
    {
        if (member.state == MemberState::Alive)
            return member;
        member.zone = {};
        member.region = {};
        member.address.clear();
        return member;
    }

} // namespace

/// A process that was paused finds all its probes unanswered and all suspicions overdue. That says nothing about the
/// others: it starts over, and trusts itself less for a while.
void Membership::Impl::observeTime(Instant now)
{
    const bool paused = this->lastEvent && now - *this->lastEvent > this->settings.pauseGap;
    if (!this->lastEvent || now > *this->lastEvent)
        this->lastEvent = now;
    if (!paused)
        return;
    this->probes.clear();
    this->relays.clear();
    this->health = this->settings.maximumHealthScore;
    this->outdated = true;
    this->nextProbe = now;
    this->table.extendSuspicions(now, this->suspicionTimeout());
}

void Membership::Impl::raiseHealthScore()
{
    this->health = std::min(this->health + 1, this->settings.maximumHealthScore);
}

void Membership::Impl::apply(MemberTable::Merge merge, const NodeId& id, Commands& commands)
{
    if (merge.news)
        this->gossip.add(id);
    if (!merge.change)
        return;
    if (!merge.change->previous || !isLive(*merge.change->previous)) {
        const auto position = static_cast<std::ptrdiff_t>(this->random.below(this->order.size() + 1));
        this->order.insert(this->order.begin() + position, id);
    }
    commands.emplace_back(*std::move(merge.change));
}

void Membership::Impl::mergeClaim(const Member& claim, Source source, Instant now, Commands& commands)
{
    if (claim.id.empty())
        return;
    if (claim.id == this->self().id) {
        this->refute(claim);
        return;
    }
    this->apply(this->table.merge(claim, source, now, this->suspicionTimeout()), claim.id, commands);
}

void Membership::Impl::mergeClaims(const std::vector<Member>& claims, Instant now, Commands& commands)
{
    for (const Member& claim : claims)
        this->mergeClaim(claim, Source::Gossip, now, commands);
}

void Membership::Impl::mergeSender(const Member& sender, Instant now, Commands& commands)
{
    if (sender.id.empty() || sender.id == this->self().id)
        return;
    const bool known = this->table.find(sender.id) != nullptr;
    const Member* holder = known ? nullptr : this->table.findLiveAt(sender.address);
    const std::optional<NodeId> replaced = holder ? std::optional(holder->id) : std::nullopt;
    this->mergeClaim(sender, Source::Gossip, now, commands);
    // A new process that listens on the address of another one has replaced it.
    if (replaced && *replaced != this->self().id)
        this->apply(this->table.confirmDead(*replaced, now), *replaced, commands);
}

void Membership::Impl::refute(const Member& claim)
{
    const Member& self = this->self();
    if (claim.state == MemberState::Alive || claim.incarnation < self.incarnation)
        return;
    this->gossip.add(self.id);
    if (this->leaving())
        return;
    this->table.setSelf(claim.incarnation + 1, MemberState::Alive);
    this->raiseHealthScore();
}

bool Membership::Impl::needsRefutation(const Member& sender) const
{
    const MemberTable::Record* record = this->table.find(sender.id);
    if (!record || sender.state == MemberState::Left)
        return false;
    const Member& known = record->member;
    const bool doubted = known.state == MemberState::Suspect || known.state == MemberState::Dead;
    return doubted && known.incarnation >= sender.incarnation;
}

std::vector<Member> Membership::Impl::updatesFor(const NodeId& receiver, bool complete)
{
    std::vector<Member> updates;
    if (complete) {
        for (const auto& [id, record] : this->table.all())
            updates.push_back(isLive(record.member) ? record.member : shortened(record.member));
        return updates;
    }
    // The receiver hears of a suspicion against itself at once, so that it can refute it in time.
    const MemberTable::Record* record = this->table.find(receiver);
    if (record && record->member.state != MemberState::Alive)
        updates.push_back(shortened(record->member));

    const auto limit = static_cast<std::uint32_t>(std::ceil(this->settings.retransmitFactor * this->sizeFactor()));
    for (const NodeId& id : this->gossip.take(this->settings.updatesPerMessage, limit)) {
        const MemberTable::Record* told = this->table.find(id);
        if (told && id != receiver)
            updates.push_back(shortened(told->member));
    }
    return updates;
}

/// Lists of two sides of a healed partition call each other's members dead. If they differ in that about many members,
/// neither verdict is worth anything: what the peer has alive counts as alive, and later probes decide. Otherwise each
/// member would have to refute, and the gossip of a large cluster would take longer than the suspicion timeout.
void Membership::Impl::mergeList(const std::vector<Member>& claims, Instant now, Commands& commands)
{
    this->outdated = false;
    std::vector<NodeId> aliveThere;
    std::vector<const Member*> deadThere;
    for (const Member& claim : claims) {
        const MemberTable::Record* record = this->table.find(claim.id);
        if (!record || record->member.incarnation != claim.incarnation)
            continue;
        const MemberState here = record->member.state;
        if (here == MemberState::Dead && claim.state == MemberState::Alive)
            aliveThere.push_back(claim.id);
        if (here == MemberState::Alive && claim.state == MemberState::Dead)
            deadThere.push_back(&claim);
    }
    const std::size_t many = std::max<std::size_t>(2, this->table.liveCount() / partitionFraction);
    const bool trustsAlive = aliveThere.size() >= many;
    const bool ignoresDead = deadThere.size() >= many;
    for (const Member& claim : claims) {
        const bool ignored = ignoresDead && claim.state == MemberState::Dead && !this->isDead(claim.id);
        if (!ignored || claim.id == this->self().id)
            this->mergeClaim(claim, Source::CompleteList, now, commands);
    }
    if (!trustsAlive)
        return;
    for (const NodeId& id : aliveThere)
        this->apply(this->table.revive(id, now), id, commands);
}

bool Membership::Impl::isDead(const NodeId& id) const
{
    const MemberTable::Record* record = this->table.find(id);
    return record && record->member.state == MemberState::Dead;
}

} // namespace teaselshore
