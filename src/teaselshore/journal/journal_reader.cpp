#include "teaselshore/journal/journal_reader.hpp"

#include <algorithm>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t readsInFlight = 8;
    constexpr Duration firstBackoff = std::chrono::milliseconds(20);
    constexpr Duration longestBackoff = std::chrono::seconds(1);

} // namespace

JournalReader::JournalReader(OwnerInstance source, std::string writerId, ReadMode mode)
    : journal(std::move(source))
    , writer(std::move(writerId))
    , mode(mode)
{
}

std::vector<ObjectCommand> JournalReader::poll(Instant now, ObjectCallIds& ids, WritePacer& pacer)
{
    if (now < this->retryAt || this->done())
        return {};
    std::vector<ObjectCommand> commands;
    if (this->phase == Phase::Read) {
        while (this->calls.size() < readsInFlight && !this->unread.empty()) {
            const std::uint64_t number = this->unread.back();
            this->unread.pop_back();
            const ObjectCallId id = ids.next();
            this->calls.emplace(id, number);
            commands.push_back(ObjectRead { id, batchKey(this->journal, number) });
        }
        return commands;
    }
    if (!this->calls.empty() || (this->phase == Phase::Seal && !pacer.allows(now)))
        return {};
    const ObjectCallId id = ids.next();
    this->calls.emplace(id, 0);
    if (this->phase == Phase::List) {
        commands.push_back(ObjectList { id, journalPrefix(this->journal) });
        return commands;
    }
    const std::uint64_t last = this->last();
    if (this->phase == Phase::ReadLast) {
        commands.push_back(ObjectRead { id, batchKey(this->journal, last) });
        return commands;
    }
    pacer.take(now);
    const Batch seal { this->writer, last + 1, true, {} };
    commands.push_back(ObjectCreate { id, batchKey(this->journal, last + 1), encodeBatch(seal) });
    return commands;
}

void JournalReader::onResult(const ObjectResult& result, Instant now)
{
    const auto call = this->calls.find(result.id);
    TEASELSHORE_ASSERT(call != this->calls.end(), "result of a call that is not in flight");
    const std::uint64_t number = call->second;
    this->calls.erase(call);
    switch (this->phase) {
    case Phase::List:
        return this->onList(result, now);
    case Phase::ReadLast:
        return this->onLast(result, now);
    case Phase::Seal:
        return this->onSeal(result, now);
    case Phase::Read:
        return this->onBatch(number, result, now);
    case Phase::Done:
        return;
    }
}

void JournalReader::onList(const ObjectResult& result, Instant now)
{
    if (result.outcome != ObjectOutcome::Ok)
        return this->retry(Phase::List, now);
    this->listed.clear();
    for (const ObjectEntry& entry : result.entries) {
        const std::optional<std::uint64_t> number = batchNumber(this->journal, entry.key);
        if (number)
            this->listed.push_back(*number);
    }
    std::sort(this->listed.begin(), this->listed.end());
    this->advanced = this->expected && *this->expected != this->last();
    if (this->mode == ReadMode::Observe || this->advanced) {
        this->phase = Phase::Done;
        return;
    }
    if (this->mode == ReadMode::Read)
        return this->startReading();
    this->phase = this->listed.empty() ? Phase::Seal : Phase::ReadLast;
}

void JournalReader::onLast(const ObjectResult& result, Instant now)
{
    if (result.outcome != ObjectOutcome::Ok)
        return this->retry(Phase::List, now);
    const std::optional<Batch> batch = decodeBatch(result.value);
    if (!batch || !batch->seal) {
        this->phase = Phase::Seal;
        return;
    }
    this->sealed = true;
    this->startReading();
}

void JournalReader::onSeal(const ObjectResult& result, Instant now)
{
    // Another writer may have taken the number, the answer may be lost, or a delayed create may have filled the place
    // of a deleted batch: only a seal in the last place counts.
    this->expected.reset();
    if (result.outcome != ObjectOutcome::Ok)
        return this->retry(Phase::List, now);
    this->phase = Phase::List;
}

void JournalReader::startReading()
{
    this->phase = Phase::Read;
    this->found.clear();
    this->restart = false;
    this->unread.assign(this->listed.rbegin(), this->listed.rend());
    if (this->mode == ReadMode::Seal)
        this->unread.clear();
    this->finishIfRead();
}

void JournalReader::onBatch(std::uint64_t number, const ObjectResult& result, Instant now)
{
    if (result.outcome == ObjectOutcome::Ok) {
        std::optional<Batch> batch = decodeBatch(result.value);
        TEASELSHORE_ASSERT(batch, "journal batch is malformed");
        this->found.emplace(number, std::move(*batch));
        this->backoff = {};
    } else if (result.outcome == ObjectOutcome::NotFound) {
        // A batch is deleted only after a checkpoint that covers it. Behind a seal that checkpoint was listed too.
        this->restart = this->restart || !this->sealed;
    } else {
        this->unread.push_back(number);
        this->retry(Phase::Read, now);
    }
    this->finishIfRead();
}

void JournalReader::finishIfRead()
{
    if (!this->calls.empty() || !this->unread.empty())
        return;
    this->phase = this->restart ? Phase::List : Phase::Done;
}

void JournalReader::retry(Phase next, Instant now)
{
    this->phase = next;
    this->backoff = std::clamp(this->backoff * 2, firstBackoff, longestBackoff);
    this->retryAt = now + this->backoff;
}

} // namespace teaselshore
