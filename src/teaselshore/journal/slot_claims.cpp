#include <algorithm>
#include <limits>

#include "slot_owner_impl.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr Duration firstMapBackoff = std::chrono::milliseconds(20);
    // Nodes that own no slots read the map more rarely, because its size counts against their traffic limit.
    constexpr int otherNodesReadFactor = 5;
    constexpr Duration mapRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration longestMapBackoff = std::chrono::seconds(1);

} // namespace

bool SlotOwner::Impl::isDead(const OwnerInstance& instance) const
{
    const NodeId node = nodeOf(instance);
    if (node == this->self)
        return instance != this->writer.instance();
    const auto absent = this->absentSince.find(node);
    return absent != this->absentSince.end() && this->now - absent->second >= this->settings.claimDelay;
}

void SlotOwner::Impl::noteAbsentOwners()
{
    for (const OwnerInstance& owner : this->mapOwners) {
        const NodeId node = nodeOf(owner);
        if (!this->alive.contains(node))
            this->absentSince.try_emplace(node, this->now);
    }
}

void SlotOwner::Impl::pollMap()
{
    if (this->mapRead || this->mapWrite || this->now < this->nextMapRead)
        return;
    this->mapRead = this->ids.next();
    this->lastMapRead = this->now;
    this->call(ObjectRead { *this->mapRead, std::string(slotMapKey) });
}

void SlotOwner::Impl::hurryMapRead()
{
    this->nextMapRead = std::min(this->nextMapRead, this->lastMapRead + this->settings.mapReadInterval);
}

void SlotOwner::Impl::onMapRead(const ObjectResult& result)
{
    this->mapRead.reset();
    this->place();
    const bool candidate = std::binary_search(this->candidates.begin(), this->candidates.end(), this->self);
    this->nextMapRead = this->now + this->settings.mapReadInterval * (candidate ? 1 : otherNodesReadFactor);
    if (result.outcome == ObjectOutcome::NotFound && this->mapVersion == 0) {
        this->mapKnown = true;
        return;
    }
    if (result.outcome != ObjectOutcome::Ok) {
        this->nextMapRead = this->now + mapRetryDelay;
        return this->enterOutage();
    }
    if (result.version == this->mapVersion)
        return;
    const std::optional<SlotMap> read = SlotMap::decode(result.value);
    TEASELSHORE_ASSERT(read, "slot map is malformed");
    this->applyMap(*read, result.version);
}

void SlotOwner::Impl::onMapWritten(const ObjectResult& result)
{
    this->mapWrite.reset();
    if (result.outcome == ObjectOutcome::Ok) {
        this->mapBackoff = {};
        return this->applyMap(this->mapWritten, result.version);
    }
    // Conflict or lost answer: the stored map decides. Several owners write it, hence the spread of the back-off.
    this->nextMapRead = this->now;
    this->mapBackoff = std::clamp(this->mapBackoff * 2, firstMapBackoff, longestMapBackoff);
    const std::uint64_t spread = rendezvousWeight(std::to_string(this->now.time_since_epoch().count()), this->self);
    this->nextMapWrite = this->now + this->mapBackoff * static_cast<Duration::rep>(1 + spread % 8) / 8;
}

void SlotOwner::Impl::applyMap(const SlotMap& read, ObjectVersion version)
{
    if (this->mapKnown && version <= this->mapVersion)
        return;
    this->mapKnown = true;
    this->map = read;
    this->mapVersion = version;
    this->mapEditDue = true;
    this->mapOwners.clear();
    this->mapHasFreeSlots = false;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        const SlotAssignment& assignment = this->map.at(static_cast<Slot>(slot));
        if (assignment.owner.empty() || assignment.released)
            this->mapHasFreeSlots = true;
        if (!assignment.owner.empty())
            this->mapOwners.insert(assignment.owner);
    }
    this->applyClaim();
    bool lost = false;
    for (std::size_t index = 0; index < slotCount; ++index) {
        const Slot slot = static_cast<Slot>(index);
        const SlotAssignment& assignment = this->map.at(slot);
        SlotTenure& tenure = this->slots[slot];
        const bool mine = assignment.owner == this->writer.instance();
        if (tenure.phase == SlotPhase::Foreign) {
            TEASELSHORE_ASSERT(!mine, "slot map names this instance for a slot whose records it does not have");
            continue;
        }
        if (mine && assignment.epoch == tenure.epoch) {
            if (assignment.released)
                tenure.phase = SlotPhase::Released;
            continue;
        }
        if (tenure.phase == SlotPhase::Held || tenure.phase == SlotPhase::Releasing)
            lost = true;
        else
            this->dropSlot(slot);
    }
    // Another instance takes a slot that was not released only after it has sealed this journal.
    if (lost)
        this->loseOwnership();
}

void SlotOwner::Impl::applyClaim()
{
    if (!this->claim)
        return;
    auto& wanted = this->claim->slots;
    for (auto position = wanted.begin(); position != wanted.end();) {
        const auto [slot, epoch] = *position;
        const SlotAssignment& assignment = this->map.at(slot);
        if (assignment.owner == this->claim->source && assignment.epoch == epoch) {
            ++position;
            continue;
        }
        position = wanted.erase(position);
        if (assignment.owner != this->writer.instance() || assignment.epoch != epoch + 1)
            continue;
        TEASELSHORE_ASSERT(this->claim->ticket && *this->claim->ticket <= this->writer.committedThrough(),
            "slot taken before its records are durable");
        this->adopt(slot, *this->claim->recovered);
        this->slots[slot] = { SlotPhase::Held, epoch + 1, 0 };
        ++this->statistics.claims;
        if (this->stopping)
            this->startRelease(slot);
    }
    if (wanted.empty())
        this->claim.reset();
}

bool SlotOwner::Impl::stoppedForGood(const OwnerInstance& instance) const
{
    return nodeOf(instance) == this->self && instance != this->writer.instance();
}

bool SlotOwner::Impl::editMap(SlotMap& edited) const
{
    bool changed = false;
    std::set<OwnerInstance> stopped;
    for (const OwnerInstance& owner : this->mapOwners) {
        if (this->stoppedForGood(owner))
            stopped.insert(owner);
    }
    if (this->claim && this->claim->ticket && *this->claim->ticket <= this->writer.committedThrough()) {
        for (const auto& [slot, epoch] : this->claim->slots) {
            edited.assign(slot, { this->writer.instance(), epoch + 1, false });
            changed = true;
        }
    }
    for (std::size_t index = 0; index < slotCount; ++index) {
        const Slot slot = static_cast<Slot>(index);
        const SlotTenure& tenure = this->slots[slot];
        if (tenure.phase != SlotPhase::Drained && stopped.empty())
            continue;
        SlotAssignment assignment = edited.at(slot);
        if (assignment.owner.empty() || assignment.released)
            continue;
        const bool drained = tenure.phase == SlotPhase::Drained && tenure.barrier <= this->writer.committedThrough()
            && assignment.owner == this->writer.instance();
        if (!drained && !stopped.contains(assignment.owner))
            continue;
        assignment.released = true;
        edited.assign(slot, assignment);
        changed = true;
    }
    return changed;
}

void SlotOwner::Impl::writeMap()
{
    if (!this->mapKnown || this->mapRead || this->mapWrite || this->now < this->nextMapWrite)
        return;
    if (!this->storeUp() || this->handedOver || !this->pacer.allows(this->now))
        return;
    if (!this->mapEditDue)
        return;
    SlotMap edited = this->map;
    this->mapEditDue = this->editMap(edited);
    if (!this->mapEditDue)
        return;
    this->pacer.take(this->now);
    this->mapWritten = edited;
    this->mapWrite = this->ids.next();
    if (this->mapVersion == 0)
        this->call(ObjectCreate { *this->mapWrite, std::string(slotMapKey), edited.encode() });
    else
        this->call(ObjectUpdate { *this->mapWrite, std::string(slotMapKey), edited.encode(), this->mapVersion });
}

void SlotOwner::Impl::place()
{
    if (!this->membersChanged)
        return;
    this->membersChanged = false;
    std::vector<NodeId> chosen = ownerCandidates(this->alive, this->settings.maxOwners);
    if (chosen == this->candidates)
        return;
    this->candidates = std::move(chosen);
    this->slotPlacement = placeSlots(this->candidates);
}

bool SlotOwner::Impl::silent(const OwnerInstance& instance) const
{
    if (nodeOf(instance) == this->self)
        return true;
    const auto seen = this->observations.find(instance);
    return seen != this->observations.end() && this->now - seen->second.at >= this->settings.claimDelay;
}

bool SlotOwner::Impl::claimable(Slot slot) const
{
    const SlotAssignment& assignment = this->map.at(slot);
    if (assignment.owner.empty() || assignment.released)
        return true;
    return this->isDead(assignment.owner) && this->silent(assignment.owner);
}

void SlotOwner::Impl::observeOwners()
{
    if (this->observer) {
        for (ObjectCommand& command : this->observer->poll(this->now, this->ids, this->pacer))
            this->call(std::move(command));
        if (!this->observer->done())
            return;
        this->observations[this->observer->source()] = { this->observer->last(), this->now };
        this->observer.reset();
    }
    if (!this->storeUp())
        return;
    // An owner that membership cannot reach may still serve others, so its journal has to be silent too.
    for (const OwnerInstance& owner : this->mapOwners) {
        if (nodeOf(owner) == this->self || this->observations.contains(owner))
            continue;
        if (!this->absentSince.contains(nodeOf(owner)))
            continue;
        this->observer = std::make_unique<JournalReader>(owner, std::string(), ReadMode::Observe);
        return;
    }
    std::erase_if(this->observations, [&](const auto& seen) { return !this->mapOwners.contains(seen.first); });
}

bool SlotOwner::Impl::ownershipConfirmed() const
{
    // The journal of an owner is sealed only after claimDelay of silence. The answer of an append may have waited in
    // this process during a pause, so the time counts from its start.
    return this->now - this->confirmedAt < this->settings.claimDelay * 3 / 4;
}

void SlotOwner::Impl::heartbeat()
{
    if (this->stopping || !this->storeUp() || !this->writer.drained())
        return;
    if (this->now - this->lastAppend < this->settings.claimDelay / 2 || this->countPhase(SlotPhase::Held) == 0)
        return;
    this->append({});
}

void SlotOwner::Impl::startClaim()
{
    if (this->claim || this->stopping || !this->mapKnown || !this->storeUp() || this->checkpointSlot)
        return;
    if (this->now - this->startedAt < this->settings.claimDelay)
        return;
    const bool anyDead = std::any_of(this->mapOwners.begin(), this->mapOwners.end(),
        [&](const OwnerInstance& owner) { return this->isDead(owner) && this->silent(owner); });
    if (!anyDead && !this->mapHasFreeSlots)
        return;
    this->place();
    std::optional<Claim> next;
    for (std::size_t index = 0; index < slotCount; ++index) {
        const Slot slot = static_cast<Slot>(index);
        const SlotAssignment& assignment = this->map.at(slot);
        if (this->slotPlacement[slot] != this->self || !this->claimable(slot)
            || this->adopted.contains(assignment.owner))
            continue;
        if (!next)
            next = Claim { assignment.owner, {}, nullptr, nullptr, std::nullopt };
        if (next->source == assignment.owner)
            next->slots.emplace(slot, assignment.epoch);
    }
    if (!next)
        return;
    this->claim = std::move(next);
    const OwnerInstance& source = this->claim->source;
    if (source.empty()) {
        this->claim->recovered = std::make_unique<KeyLedger>(this->settings.retention);
        return this->queueTakeOver();
    }
    const bool allReleased = std::all_of(this->claim->slots.begin(), this->claim->slots.end(),
        [&](const auto& wanted) { return this->map.at(wanted.first).released; });
    const bool seal = !allReleased && !this->mutations.skipSeal;
    this->claim->reader = std::make_unique<JournalReader>(
        source, this->writer.instance().value(), seal ? ReadMode::SealAndRead : ReadMode::Read);
    const auto seen = this->observations.find(source);
    if (seal && seen != this->observations.end())
        this->claim->reader->expectLast(seen->second.lastBatch);
}

void SlotOwner::Impl::advanceClaim()
{
    if (!this->claim || !this->claim->reader)
        return;
    JournalReader& reader = *this->claim->reader;
    for (ObjectCommand& command : reader.poll(this->now, this->ids, this->pacer))
        this->call(std::move(command));
    if (!reader.done())
        return;
    if (reader.grew()) {
        this->observations[this->claim->source] = { reader.last(), this->now };
        this->claim.reset();
        return;
    }
    this->replayJournal(reader);
    this->claim->reader.reset();
    this->queueTakeOver();
}

void SlotOwner::Impl::replayJournal(const JournalReader& reader)
{
    const RetentionSettings unlimited { Duration::max(), std::numeric_limits<std::size_t>::max() };
    this->claim->recovered = std::make_unique<KeyLedger>(unlimited);
    std::vector<std::pair<std::uint64_t, JournalRecord>> records;
    std::uint64_t validFrom = 0;
    for (const auto& [number, batch] : reader.batches()) {
        for (const std::string& bytes : batch.groups) {
            std::optional<RecordGroup> group = decodeGroup(bytes);
            TEASELSHORE_ASSERT(group, "journal record is malformed");
            for (JournalRecord& record : *group) {
                if (const auto* const checkpoint = std::get_if<CheckpointComplete>(&record))
                    validFrom = std::max(validFrom, checkpoint->from);
                records.emplace_back(number, std::move(record));
            }
        }
    }
    for (auto& [number, record] : records) {
        if (number < validFrom)
            continue;
        // A later epoch than the slot map's belongs to a take-over that its owner did not complete.
        if (auto* const taken = std::get_if<SlotsTaken>(&record)) {
            std::erase_if(taken->epochs, [&](const auto& item) {
                const auto wanted = this->claim->slots.find(item.first);
                return wanted == this->claim->slots.end() || item.second > wanted->second;
            });
        }
        this->claim->recovered->replay(record, this->now);
    }
}

void SlotOwner::Impl::queueTakeOver()
{
    SlotsTaken taken;
    for (const auto& [slot, epoch] : this->claim->slots)
        taken.epochs.emplace_back(slot, epoch + 1);
    this->claim->ticket = this->append({ taken });
    for (const auto& [slot, epoch] : this->claim->slots) {
        for (const RecordGroup& group : this->claim->recovered->snapshot(slot))
            this->claim->ticket = this->append(group);
    }
}

std::size_t SlotOwner::Impl::countPhase(SlotPhase phase) const
{
    return static_cast<std::size_t>(std::count_if(
        this->slots.begin(), this->slots.end(), [&](const SlotTenure& tenure) { return tenure.phase == phase; }));
}

bool SlotOwner::Impl::inUse(const OwnerInstance& instance)
{
    const NodeId node = nodeOf(instance);
    if (!this->alive.contains(node))
        this->absentSince.try_emplace(node, this->now);
    if (instance == this->writer.instance() || this->adopted.contains(instance) || !this->isDead(instance))
        return true;
    return this->mapOwners.contains(instance);
}

void SlotOwner::Impl::sweep()
{
    if (this->stopping || !this->mapKnown || !this->storeUp() || !this->sweeper.due(this->now))
        return;
    this->place();
    if (rendezvousChoice("journal sweep", this->candidates) != this->self)
        return;
    for (ObjectCommand& command : this->sweeper.poll(this->now, this->ids, this->pacer))
        this->call(std::move(command));
}

} // namespace teaselshore
