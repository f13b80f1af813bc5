#include "teaselshore/journal/slot_owner.hpp"

#include <algorithm>

#include "slot_owner_impl.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr Duration longestTick = std::chrono::milliseconds(100);
    // Encoded size of checkpoint groups that may wait in front of new requests, in bytes.
    constexpr std::size_t checkpointFeed = 64'000;

} // namespace

SlotOwner::SlotOwner(const NodeId& self, SlotOwnerSettings settings, SlotOwnerMutations mutations)
    : impl(std::make_unique<Impl>(self, settings, mutations))
{
}

SlotOwner::~SlotOwner() = default;
SlotOwner::SlotOwner(SlotOwner&&) noexcept = default;
SlotOwner& SlotOwner::operator=(SlotOwner&&) noexcept = default;

std::vector<SlotCommand> SlotOwner::handle(const SlotEvent& event, Instant now)
{
    Impl& state = *this->impl;
    if (!state.started) {
        state.started = true;
        state.startedAt = now;
        state.now = now;
    }
    TEASELSHORE_ASSERT(now >= state.now, "time went backwards");
    // After half the retention of unused journals this journal's seal may be gone soon, so appends are not safe.
    const bool pausedTooLong = now - state.now > state.settings.sealRetention / 2;
    state.now = now;
    if (pausedTooLong)
        state.loseOwnership();
    std::visit([&](const auto& content) { state.handle(content); }, event);
    state.flush();
    return std::move(state.out);
}

Instant SlotOwner::nextTick() const
{
    const Impl& state = *this->impl;
    const Instant latest = state.now + longestTick;
    const std::optional<Instant> wake = state.writer.wakeAt(state.pacer);
    return wake ? std::clamp(*wake, state.now, latest) : latest;
}

const SlotMap& SlotOwner::slotMap() const { return this->impl->map; }

bool SlotOwner::serves(Slot slot) const { return this->impl->slots.at(slot).phase == SlotPhase::Held; }

bool SlotOwner::storeAvailable() const { return this->impl->storeUp(); }

const OwnerInstance& SlotOwner::instance() const { return this->impl->writer.instance(); }

SlotOwnerStatistics SlotOwner::statistics() const { return this->impl->statistics; }

SlotOwner::Impl::Impl(const NodeId& self, SlotOwnerSettings settings, SlotOwnerMutations mutations)
    : self(self)
    , settings(settings)
    , mutations(mutations)
    , pacer(settings.writesPerSecond / static_cast<double>(settings.maxOwners), settings.writeBurst)
    , writer(ownerInstance(self, 1), ownerInstance(self, 1).value())
    , ledger(settings.retention)
    , sweeper(self.value() + "/sweep", settings.sweepInterval, settings.sealRetention)
{
    this->alive.insert(self);
}

void SlotOwner::Impl::call(ObjectCommand command)
{
    const bool write = !std::holds_alternative<ObjectRead>(command) && !std::holds_alternative<ObjectList>(command);
    if (write)
        ++this->statistics.writes;
    this->out.push_back(std::move(command));
}

void SlotOwner::Impl::answer(CallerId caller, Answer content)
{
    // An earlier forward of this request may have run, so a refusal by a later owner proves nothing.
    if (this->mayHaveRun.erase(caller) > 0 && std::holds_alternative<AnswerNotRun>(content))
        content = AnswerUnknown { this->settings.retryAfter };
    this->out.push_back(AnswerCaller { caller, std::move(content) });
}

void SlotOwner::Impl::answerNotRun(CallerId caller, std::string reason)
{
    this->answer(caller, AnswerNotRun { this->settings.retryAfter, std::move(reason) });
}

AppendTicket SlotOwner::Impl::append(const RecordGroup& group) { return this->writer.append(encodeGroup(group)); }

void SlotOwner::Impl::appendLazily(const RecordGroup& group)
{
    this->writer.append(encodeGroup(group), this->now + this->settings.lazyAppend);
}

void SlotOwner::Impl::handle(const ObjectResult& event)
{
    if (event.outcome != ObjectOutcome::Unavailable && event.outcome != ObjectOutcome::Unknown)
        this->storeDown = false;
    if (this->writer.awaits(event.id)) {
        const std::optional<Instant> sentAt = this->writer.waitingSince();
        const AppendProgress progress = this->writer.onResult(event, this->now);
        if (progress == AppendProgress::Committed && sentAt)
            this->confirmedAt = *sentAt;
        return this->onAppendProgress(progress);
    }
    if (this->cleaner.awaits(event.id))
        return this->cleaner.onResult(event, this->writer, this->now);
    if (this->mapRead == event.id)
        return this->onMapRead(event);
    if (this->mapWrite == event.id)
        return this->onMapWritten(event);
    if (this->claim && this->claim->reader && this->claim->reader->awaits(event.id))
        return this->claim->reader->onResult(event, this->now);
    if (this->observer && this->observer->awaits(event.id))
        return this->observer->onResult(event, this->now);
    if (this->sweeper.awaits(event.id))
        return this->sweeper.onResult(
            event, [this](const OwnerInstance& instance) { return this->inUse(instance); }, this->now);
    for (auto& [instance, adoptedWriter] : this->adopted) {
        if (!adoptedWriter.awaits(event.id))
            continue;
        adoptedWriter.onResult(event, this->now);
        return;
    }
}

void SlotOwner::Impl::onAppendProgress(AppendProgress progress)
{
    switch (progress) {
    case AppendProgress::Open:
        return;
    case AppendProgress::Committed:
        return this->onCommitted();
    case AppendProgress::NotApplied:
    case AppendProgress::InDoubt:
        return this->enterOutage();
    case AppendProgress::Lost:
        return this->loseOwnership();
    }
}

void SlotOwner::Impl::onCommitted()
{
    ++this->statistics.appends;
    this->lastAppend = this->now;
    this->mapEditDue = true;
    // An action may queue further groups, which get later tickets.
    while (!this->actions.empty() && this->actions.begin()->first <= this->writer.committedThrough()) {
        const CommitAction action = std::move(this->actions.begin()->second);
        this->actions.erase(this->actions.begin());
        if (const auto* request = std::get_if<RequestCommitted>(&action))
            this->onRequestCommitted(request->request);
        else if (const auto* dispatching = std::get_if<DispatchCommitted>(&action))
            this->onDispatchCommitted(*dispatching);
        else
            this->cleaner.deleteBelow(std::get<CheckpointCommitted>(action).deleteBelow);
    }
}

void SlotOwner::Impl::enterOutage()
{
    this->storeDown = true;
    this->withdrawUncommitted();
}

void SlotOwner::Impl::loseOwnership()
{
    this->out.push_back(OwnershipLost { this->writer.instance() });
    ++this->statistics.ownershipsLost;
    for (const KeyId& key : this->ledger.keys()) {
        KeyEntry& entry = *this->ledger.find(key);
        // The lost journal can still hold an asynchronous request of a batch in doubt; the next owner then runs it.
        if (entry.state == KeyState::Pending && entry.request.respondAsync && !this->writer.lost())
            this->answerAll(entry.callers, AnswerUnknown { this->settings.retryAfter });
        else if (entry.state == KeyState::Pending
            || (entry.state == KeyState::DispatchPending && !entry.request.respondAsync))
            this->answerAll(entry.callers, AnswerNotRun { this->settings.retryAfter, "slot has a new owner" });
        else
            this->orphan(entry);
    }
    this->startInstance();
}

void SlotOwner::Impl::startInstance()
{
    ++this->generation;
    const OwnerInstance instance = ownerInstance(this->self, this->generation);
    this->writer = JournalWriter(instance, instance.value());
    this->ledger = KeyLedger(this->settings.retention);
    this->cleaner = {};
    this->slots = {};
    this->actions.clear();
    this->retries.clear();
    this->claim.reset();
    this->checkpointSlot.reset();
    this->lastCheckpoint = 1;
    this->checkpointSize = 0;
    this->nextMapRead = this->now;
    this->mapEditDue = true;
}

void SlotOwner::Impl::handle(const MemberAlive& event)
{
    this->membersChanged = this->alive.insert(event.node).second || this->membersChanged;
    this->absentSince.erase(event.node);
}

void SlotOwner::Impl::handle(const MemberDead& event)
{
    if (event.node == this->self)
        return;
    this->membersChanged = this->alive.erase(event.node) > 0 || this->membersChanged;
    this->absentSince.try_emplace(event.node, this->now);
    this->failForwards(event.node);
}

void SlotOwner::Impl::handle(const Tick&)
{
    this->ledger.expire(this->now);
    this->noteAbsentOwners();
    this->runDue();
    this->forwardsDue();
    this->observeOwners();
    this->startClaim();
    this->rebalance();
    this->heartbeat();
    this->sweep();
}

void SlotOwner::Impl::flush()
{
    const std::optional<Instant> waiting = this->writer.waitingSince();
    if (waiting && this->now - *waiting > this->settings.storeTimeout && this->storeUp())
        this->enterOutage();
    this->drainReleasing();
    this->advanceClaim();
    this->pollMap();
    this->writeMap();
    this->feedCheckpoint();
    this->flushWriters();
    this->advanceStop();
}

void SlotOwner::Impl::flushWriters()
{
    if (this->handedOver)
        return;
    // Each batch needs one deletion in the end, so a busy owner alternates between appends and deletions.
    if (!this->deletedLast)
        this->deleteOldBatch();
    if (auto command = this->writer.poll(this->now, this->ids, this->pacer)) {
        this->deletedLast = false;
        this->call(std::move(*command));
    }
    for (auto position = this->adopted.begin(); position != this->adopted.end();) {
        JournalWriter& handedWriter = position->second;
        if (auto command = handedWriter.poll(this->now, this->ids, this->pacer))
            this->call(std::move(*command));
        if (!handedWriter.drained() && !handedWriter.lost()) {
            ++position;
            continue;
        }
        this->mapEditDue = true;
        position = this->adopted.erase(position);
    }
    if (this->writer.drained())
        this->deleteOldBatch();
}

void SlotOwner::Impl::deleteOldBatch()
{
    auto command = this->cleaner.poll(this->writer, this->now, this->ids, this->pacer);
    if (!command)
        return;
    this->deletedLast = true;
    this->call(std::move(*command));
}

void SlotOwner::Impl::feedCheckpoint()
{
    const std::uint64_t written = this->writer.nextNumber() - this->lastCheckpoint;
    const std::uint64_t enough = std::max<std::uint64_t>(this->settings.checkpointEvery, 2 * this->checkpointSize);
    if (!this->checkpointSlot) {
        // A claim's records are in the journal but not in the ledger yet, so a checkpoint would miss them.
        if (written < enough || this->claim || this->handedOver)
            return;
        this->checkpointSlot = 0;
        this->checkpointFrom = this->writer.nextNumber();
    }
    while (this->writer.queuedBytes() < checkpointFeed) {
        const Slot slot = *this->checkpointSlot;
        if (slot == slotCount) {
            const AppendTicket ticket = this->append({ CheckpointComplete { this->checkpointFrom } });
            this->actions.emplace(ticket, CheckpointCommitted { this->checkpointFrom });
            this->lastCheckpoint = this->writer.nextNumber();
            this->checkpointSize = this->lastCheckpoint - this->checkpointFrom;
            this->checkpointSlot.reset();
            return;
        }
        if (this->slots[slot].phase != SlotPhase::Foreign) {
            for (const RecordGroup& group : this->ledger.snapshot(slot))
                this->append(group);
        }
        this->checkpointSlot = static_cast<Slot>(slot + 1);
    }
}

} // namespace teaselshore
