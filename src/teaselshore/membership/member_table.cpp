#include "member_table.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

MemberTable::MemberTable(Member self)
    : selfId(self.id)
{
    TEASELSHORE_ASSERT(!self.id.empty() && !self.address.empty(), "the local node needs an id and an address");
    this->updateLiveTotals(self, true);
    this->records.emplace(this->selfId, Record { std::move(self), {}, {} });
}

MemberTable::StateChange MemberTable::merge(const Member& update, Source source, Instant now, Duration suspicionTimeout)
{
    TEASELSHORE_ASSERT(update.id != this->selfId, "updates about the local node are refuted, not merged");
    const auto found = this->records.find(update.id);
    if (found == this->records.end())
        return this->insert(update, now, suspicionTimeout);

    Record& record = found->second;
    const Member& known = record.member;
    if (known.state == MemberState::Left)
        return {};
    if (update.state == MemberState::Left)
        return this->setState(record, MemberState::Left, std::max(update.incarnation, known.incarnation), now, {});
    if (update.incarnation < known.incarnation)
        return {};

    if (known.address.empty()) {
        if (isLive(update) && update.address.empty())
            return {};
        record.member.zone = update.zone;
        record.member.region = update.region;
        record.member.address = update.address;
    }
    const bool newer = update.incarnation > known.incarnation;
    switch (update.state) {
    case MemberState::Alive:
        if (!newer)
            return {};
        return this->setState(record, MemberState::Alive, update.incarnation, now, {});
    case MemberState::Suspect:
        if (!newer && known.state != MemberState::Alive)
            return {};
        return this->setState(record, MemberState::Suspect, update.incarnation, now, suspicionTimeout);
    case MemberState::Dead:
        if (known.state == MemberState::Dead) {
            record.member.incarnation = update.incarnation;
            return {};
        }
        // A member that is alive here gets the suspicion timeout to refute. Otherwise the two sides of a healed
        // partition would declare each other's members dead once more.
        if (known.state == MemberState::Alive)
            return this->setState(record, MemberState::Suspect, update.incarnation, now, suspicionTimeout);
        if (source == Source::CompleteList)
            return {};
        return this->setState(record, MemberState::Dead, update.incarnation, now, {});
    case MemberState::Left:
        break;
    }
    return {};
}

MemberTable::StateChange MemberTable::suspect(const NodeId& id, Instant now, Duration suspicionTimeout)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.member.state != MemberState::Alive)
        return {};
    return this->setState(found->second, MemberState::Suspect, found->second.member.incarnation, now, suspicionTimeout);
}

MemberTable::StateChange MemberTable::confirmDead(const NodeId& id, Instant now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || !isLive(found->second.member))
        return {};
    return this->setState(found->second, MemberState::Dead, found->second.member.incarnation, now, {});
}

MemberTable::StateChange MemberTable::markAlive(const NodeId& id, Instant now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.member.state != MemberState::Dead)
        return {};
    StateChange change = this->setState(found->second, MemberState::Alive, found->second.member.incarnation, now, {});
    change.disseminate = false;
    return change;
}

void MemberTable::setSelf(std::uint64_t incarnation, MemberState state)
{
    Member& self = this->records.at(this->selfId).member;
    this->updateLiveTotals(self, false);
    self.incarnation = incarnation;
    self.state = state;
    this->updateLiveTotals(self, true);
}

void MemberTable::extendSuspicions(Instant now, Duration suspicionTimeout)
{
    for (auto& [id, record] : this->records) {
        if (record.member.state == MemberState::Suspect)
            record.deadline = now + suspicionTimeout;
    }
}

std::vector<NodeId> MemberTable::expiredSuspicions(Instant now) const
{
    std::vector<NodeId> ids;
    if (this->suspectCount == 0)
        return ids;
    for (const auto& [id, record] : this->records) {
        if (record.member.state == MemberState::Suspect && record.deadline <= now)
            ids.push_back(id);
    }
    return ids;
}

void MemberTable::removeExpired(Instant now, Duration deadRetention, Duration leftRetention)
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
    // Two processes share an address until the older one is declared dead. The newer one changed its state last.
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
    peers.reserve(this->liveMemberCount);
    for (const auto& [id, record] : this->records) {
        if (isLive(record.member) && id != this->selfId)
            peers.push_back(&record.member);
    }
    return peers;
}

MemberTable::StateChange MemberTable::setState(
    Record& record, MemberState state, std::uint64_t incarnation, Instant now, Duration suspicionTimeout)
{
    const MemberState previous = record.member.state;
    const Fingerprint before = this->liveDigest;
    this->updateLiveTotals(record.member, false);
    record.member.state = state;
    record.member.incarnation = incarnation;
    this->updateLiveTotals(record.member, true);

    if (this->liveDigest != before)
        this->lastDigestChange = now;
    record.deadline = now + suspicionTimeout;
    if (previous != state)
        record.changedAt = now;
    StateChange change { true, std::nullopt };
    // A member first reported as dead or left has no known address, so there is no event for it.
    if (previous != state && !record.member.address.empty())
        change.event = MemberChanged { record.member, previous };
    return change;
}

MemberTable::StateChange MemberTable::insert(const Member& update, Instant now, Duration suspicionTimeout)
{
    if (isLive(update) && update.address.empty())
        return {};
    this->records.emplace(update.id, Record { update, now, now + suspicionTimeout });
    if (!isLive(update))
        return {};
    this->updateLiveTotals(update, true);
    this->lastDigestChange = now;
    return { true, MemberChanged { update, std::nullopt } };
}

void MemberTable::updateLiveTotals(const Member& member, bool add)
{
    if (!isLive(member))
        return;
    const auto step = add ? std::size_t(1) : std::size_t(-1);
    this->liveMemberCount += step;
    if (member.state == MemberState::Suspect)
        this->suspectCount += step;
    this->liveDigest ^= combine(fingerprint(member.id.value()), member.incarnation);
}

} // namespace teaselshore
