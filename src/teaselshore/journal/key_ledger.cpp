#include "teaselshore/journal/key_ledger.hpp"

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    bool isSettled(KeyState state) { return state == KeyState::Finished || state == KeyState::Unknown; }

    // Request without the parts that only its next dispatch would need.
    JournalRequest withoutPayload(const JournalRequest& request)
    {
        JournalRequest result = request;
        result.headers.clear();
        result.body.clear();
        return result;
    }

} // namespace

KeyLedger::KeyLedger(RetentionSettings settings)
    : settings(settings)
{
}

KeyEntry* KeyLedger::find(const KeyId& key)
{
    const auto position = this->entries.find(key);
    return position == this->entries.end() ? nullptr : &position->second;
}

KeyEntry* KeyLedger::find(const RequestId& request)
{
    const auto position = this->byRequest.find(request);
    return position == this->byRequest.end() ? nullptr : this->find(position->second);
}

KeyEntry& KeyLedger::add(KeyEntry entry)
{
    const KeyId key = entry.request.key;
    const auto [position, added] = this->entries.emplace(key, std::move(entry));
    TEASELSHORE_ASSERT(added, "idempotency key already has an entry");
    this->byRequest[position->second.request.id] = key;
    this->bySlot[slotOf(key.workspace, key.key)].insert(key);
    return position->second;
}

void KeyLedger::erase(const KeyId& key)
{
    const auto position = this->entries.find(key);
    if (position == this->entries.end())
        return;
    if (position->second.settleNumber != 0)
        --this->settledCount;
    this->byRequest.erase(position->second.request.id);
    this->bySlot[slotOf(key.workspace, key.key)].erase(key);
    this->entries.erase(position);
}

void KeyLedger::eraseSlot(Slot slot)
{
    for (const KeyId& key : this->keysOf(slot))
        this->erase(key);
}

void KeyLedger::settle(KeyEntry& entry, KeyState state, Instant now)
{
    TEASELSHORE_ASSERT(isSettled(state), "state is not final");
    this->reopen(entry);
    entry.state = state;
    entry.settledAt = now;
    entry.settleNumber = ++this->settleNumber;
    entry.request = withoutPayload(entry.request);
    ++this->settledCount;
    this->settled.push_back({ now, entry.settleNumber, entry.request.key });
}

void KeyLedger::reopen(KeyEntry& entry)
{
    if (entry.settleNumber == 0)
        return;
    entry.settleNumber = 0;
    --this->settledCount;
}

void KeyLedger::expire(Instant now)
{
    while (!this->settled.empty()) {
        const Settled& oldest = this->settled.front();
        const KeyEntry* const entry = this->find(oldest.key);
        const bool current = entry && entry->settleNumber == oldest.number;
        const bool excess = this->settledCount > this->settings.count || now - oldest.at > this->settings.time;
        if (current && !excess)
            return;
        if (current)
            this->erase(KeyId(oldest.key));
        this->settled.pop_front();
    }
}

void KeyLedger::replay(const JournalRecord& record, Instant now)
{
    std::visit([&](const auto& content) { this->apply(content, now); }, record);
}

void KeyLedger::apply(const SlotsTaken& record, Instant)
{
    for (const auto& [slot, epoch] : record.epochs)
        this->eraseSlot(slot);
}

void KeyLedger::apply(const Accepted& record, Instant)
{
    // A checkpoint repeats earlier records; an entry never goes back to an earlier state.
    if (this->find(record.request.key))
        return;
    KeyEntry entry;
    entry.request = record.request;
    entry.state = KeyState::Accepted;
    this->add(std::move(entry));
}

void KeyLedger::apply(const Dispatching& record, Instant)
{
    KeyEntry& entry = this->entryFor(record.key, record.request);
    if (isSettled(entry.state) || record.attempt < entry.attempt)
        return;
    entry.request.service = record.service;
    entry.state = KeyState::Running;
    entry.attempt = record.attempt;
    entry.upstream = record.upstream;
    entry.mayHaveBeenDispatched = true;
    entry.dispatchedByEarlierOwner = true;
}

KeyEntry& KeyLedger::entryFor(const KeyId& key, const RequestId& request)
{
    KeyEntry* const known = this->find(key);
    if (known && known->request.id == request)
        return *known;
    this->erase(key);
    KeyEntry entry;
    entry.request.id = request;
    entry.request.key = key;
    return this->add(std::move(entry));
}

void KeyLedger::apply(const Finished& record, Instant now)
{
    KeyEntry& entry = this->entryFor(record.key, record.request);
    entry.request.respondAsync = record.respondAsync;
    entry.answer = record.answer;
    this->settle(entry, KeyState::Finished, now);
}

void KeyLedger::apply(const OutcomeUnknown& record, Instant now)
{
    KeyEntry& entry = this->entryFor(record.key, record.request);
    if (entry.state == KeyState::Finished)
        return;
    entry.request.service = record.service;
    entry.upstream = record.upstream;
    entry.attempt = record.attempt;
    entry.mayHaveBeenDispatched = true;
    entry.dispatchedByEarlierOwner = true;
    this->settle(entry, KeyState::Unknown, now);
}

void KeyLedger::apply(const NotRun& record, Instant)
{
    KeyEntry* const entry = this->find(record.key);
    if (!entry || entry->request.id != record.request || isSettled(entry->state))
        return;
    this->erase(record.key);
}

RecordGroup KeyLedger::openSnapshot(const KeyEntry& entry) const
{
    const JournalRequest& request = entry.request;
    const bool accepted = entry.state == KeyState::Accepted || entry.state == KeyState::DispatchPending;
    // A request whose caller waits is never run by a later owner, because the caller may be told not_run meanwhile.
    if (request.idempotent || (accepted && request.respondAsync))
        return { Accepted { request } };
    return { Accepted { withoutPayload(request) },
        Dispatching { request.id, request.key, request.service, entry.upstream, entry.attempt } };
}

std::vector<RecordGroup> KeyLedger::snapshot(Slot slot) const
{
    std::vector<RecordGroup> groups;
    for (const KeyId& key : this->keysOf(slot)) {
        const KeyEntry& entry = this->entries.at(key);
        const JournalRequest& request = entry.request;
        switch (entry.state) {
        case KeyState::Pending:
            // Its own group stands in the queue or the open batch.
            break;
        case KeyState::Accepted:
        case KeyState::DispatchPending:
        case KeyState::Running:
        case KeyState::LookingUp:
            groups.push_back(this->openSnapshot(entry));
            break;
        case KeyState::Finished:
            groups.push_back({ Finished { request.id, key, *entry.answer, request.respondAsync } });
            break;
        case KeyState::Unknown:
            groups.push_back({ OutcomeUnknown { request.id, key, request.service, entry.upstream, entry.attempt } });
            break;
        }
    }
    return groups;
}

std::vector<KeyId> KeyLedger::keysOf(Slot slot) const
{
    const auto position = this->bySlot.find(slot);
    if (position == this->bySlot.end())
        return {};
    return { position->second.begin(), position->second.end() };
}

std::vector<KeyId> KeyLedger::keys() const
{
    std::vector<KeyId> result;
    for (const auto& [key, entry] : this->entries)
        result.push_back(key);
    return result;
}

} // namespace teaselshore
