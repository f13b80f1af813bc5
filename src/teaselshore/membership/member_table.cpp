#include "member_table.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

MemberTable::MemberTable(Member self)
    : selfId(self.id)
{
    TEASELSHORE_ASSERT(!self.id.empty() && !self.address.empty(), "the own member needs an id and an address");
    this->count(self, true);
    this->records.emplace(this->selfId, Record { std::move(self), {}, {} });
}

MemberTable::Merge MemberTable::merge(const Member& claim, Source source, Instant now, Duration suspicionTimeout)
{
    TEASELSHORE_ASSERT(claim.id != this->selfId, "claims about the own node are refuted, not merged");
    const auto found = this->records.find(claim.id);
    if (found == this->records.end())
        return this->insert(claim, now, suspicionTimeout);

    Record& record = found->second;
    const Member& known = record.member;
    if (known.state == MemberState::Left)
        return {};
    if (claim.state == MemberState::Left)
        return this->change(record, MemberState::Left, std::max(claim.incarnation, known.incarnation), now, {});
    if (claim.incarnation < known.incarnation)
        return {};

    if (known.address.empty()) {
        if (isLive(claim) && claim.address.empty())
            return {};
        record.member.zone = claim.zone;
        record.member.region = claim.region;
        record.member.address = claim.address;
    }
    const bool newer = claim.incarnation > known.incarnation;
    switch (claim.state) {
    case MemberState::Alive:
        if (!newer)
            return {};
        return this->change(record, MemberState::Alive, claim.incarnation, now, {});
    case MemberState::Suspect:
        if (!newer && known.state != MemberState::Alive)
            return {};
        return this->change(record, MemberState::Suspect, claim.incarnation, now, suspicionTimeout);
    case MemberState::Dead:
        if (known.state == MemberState::Dead) {
            record.member.incarnation = claim.incarnation;
            return {};
        }
        // A member that is alive here gets the time to refute. After a partition the two sides otherwise declare each
        // other's members dead once more.
        if (known.state == MemberState::Alive)
            return this->change(record, MemberState::Suspect, claim.incarnation, now, suspicionTimeout);
        if (source == Source::CompleteList)
            return {};
        return this->change(record, MemberState::Dead, claim.incarnation, now, {});
    case MemberState::Left:
        break;
    }
    return {};
}

MemberTable::Merge MemberTable::suspect(const NodeId& id, Instant now, Duration suspicionTimeout)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.member.state != MemberState::Alive)
        return {};
    return this->change(found->second, MemberState::Suspect, found->second.member.incarnation, now, suspicionTimeout);
}

MemberTable::Merge MemberTable::confirmDead(const NodeId& id, Instant now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || !isLive(found->second.member))
        return {};
    return this->change(found->second, MemberState::Dead, found->second.member.incarnation, now, {});
}

MemberTable::Merge MemberTable::revive(const NodeId& id, Instant now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.member.state != MemberState::Dead)
        return {};
    Merge merge = this->change(found->second, MemberState::Alive, found->second.member.incarnation, now, {});
    merge.news = false;
    return merge;
}

void MemberTable::setSelf(std::uint64_t incarnation, MemberState state)
{
    Member& self = this->records.at(this->selfId).member;
    this->count(self, false);
    self.incarnation = incarnation;
    self.state = state;
    this->count(self, true);
}

void MemberTable::extendSuspicions(Instant now, Duration suspicionTimeout)
{
    for (auto& [id, record] : this->records) {
        if (record.member.state == MemberState::Suspect)
            record.deadline = now + suspicionTimeout;
    }
}

std::vector<NodeId> MemberTable::overdue(Instant now) const
{
    std::vector<NodeId> ids;
    if (this->suspects == 0)
        return ids;
    for (const auto& [id, record] : this->records) {
        if (record.member.state == MemberState::Suspect && record.deadline <= now)
            ids.push_back(id);
    }
    return ids;
}

void MemberTable::forgetOld(Instant now, Duration deadRetention, Duration leftRetention)
{
    std::erase_if(this->records, [&](const auto& entry) {
        const Record& record = entry.second;
        if (isLive(record.member) || entry.first == this->selfId)
            return false;
        const Duration retention = record.member.state == MemberState::Dead ? deadRetention : leftRetention;
        return now - record.changedAt > retention;
    });
}

const MemberTable::Record* MemberTable::find(const NodeId& id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

const Member* MemberTable::findLiveAt(const std::string& address) const
{
    // Two instances share an address until the older one is found dead; the one that changed last is the newer one.
    const Record* best = nullptr;
    for (const auto& [id, record] : this->records) {
        if (!isLive(record.member) || record.member.address != address)
            continue;
        if (!best || record.changedAt > best->changedAt)
            best = &record;
    }
    return best ? &best->member : nullptr;
}

std::vector<const Member*> MemberTable::livePeers() const
{
    std::vector<const Member*> peers;
    peers.reserve(this->live);
    for (const auto& [id, record] : this->records) {
        if (isLive(record.member) && id != this->selfId)
            peers.push_back(&record.member);
    }
    return peers;
}

MemberTable::Merge MemberTable::change(
    Record& record, MemberState state, std::uint64_t incarnation, Instant now, Duration suspicionTimeout)
{
    const MemberState previous = record.member.state;
    const Fingerprint before = this->liveDigest;
    this->count(record.member, false);
    record.member.state = state;
    record.member.incarnation = incarnation;
    this->count(record.member, true);

    if (this->liveDigest != before)
        this->digestChange = now;
    record.deadline = now + suspicionTimeout;
    if (previous != state)
        record.changedAt = now;
    Merge merge { true, std::nullopt };
    // Nothing is known about how to reach a member that was first heard of as dead.
    if (previous != state && !record.member.address.empty())
        merge.change = MemberChanged { record.member, previous };
    return merge;
}

MemberTable::Merge MemberTable::insert(const Member& claim, Instant now, Duration suspicionTimeout)
{
    if (isLive(claim) && claim.address.empty())
        return {};
    this->records.emplace(claim.id, Record { claim, now, now + suspicionTimeout });
    if (!isLive(claim))
        return {};
    this->count(claim, true);
    this->digestChange = now;
    return { true, MemberChanged { claim, std::nullopt } };
}

void MemberTable::count(const Member& member, bool add)
{
    if (!isLive(member))
        return;
    const auto step = add ? std::size_t(1) : std::size_t(-1);
    this->live += step;
    if (member.state == MemberState::Suspect)
        this->suspects += step;
    this->liveDigest ^= combine(fingerprint(member.id.value()), member.incarnation);
}

} // namespace teaselshore
