#include "teaselshore/journal/journal_writer.hpp"

#include <algorithm>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr Duration firstBackoff = std::chrono::milliseconds(20);
    constexpr Duration longestBackoff = std::chrono::seconds(1);
    // CBOR framing of one group within a batch.
    constexpr std::size_t groupOverhead = 9;

} // namespace

bool fitsBatch(std::size_t encodedSize) { return encodedSize + groupOverhead + batchOverhead <= batchLimit; }

JournalWriter::JournalWriter(OwnerInstance instance, std::string writerId, std::uint64_t firstNumber)
    : journal(std::move(instance))
    , writer(std::move(writerId))
    , number(firstNumber)
{
}

JournalWriter::JournalWriter(const HandOver& handOver, std::string writerId)
    : JournalWriter(handOver.instance, std::move(writerId), handOver.nextNumber)
{
    if (handOver.openBatch) {
        const std::optional<Batch> batch = decodeBatch(*handOver.openBatch);
        TEASELSHORE_ASSERT(batch && batch->number == this->number, "handed-over batch is malformed");
        for (const std::string& bytes : batch->groups)
            this->open.push_back({ ++this->issued, bytes, {} });
        this->openBytes = *handOver.openBatch;
        this->openWriter = batch->writer;
        this->mayBeApplied = true;
        this->phase = Phase::RetryDue;
    }
    for (const std::string& bytes : handOver.groups)
        this->append(bytes);
}

AppendTicket JournalWriter::append(std::string group, Instant due)
{
    TEASELSHORE_ASSERT(fitsBatch(group.size()), "record group exceeds the batch limit");
    TEASELSHORE_ASSERT(!this->lost(), "append to a journal whose ownership is lost");
    this->queuedSize += group.size();
    this->earliestDue = this->queue.empty() ? due : std::min(this->earliestDue, due);
    this->queue.push_back({ ++this->issued, std::move(group), due });
    return this->issued;
}

bool JournalWriter::withdraw(AppendTicket ticket)
{
    const auto position = std::find_if(
        this->queue.begin(), this->queue.end(), [&](const QueuedGroup& group) { return group.ticket == ticket; });
    if (position == this->queue.end())
        return false;
    this->queuedSize -= position->bytes.size();
    this->queue.erase(position);
    if (this->queue.empty() && this->open.empty())
        this->committed = this->issued;
    return true;
}

std::optional<Instant> JournalWriter::queueDue() const
{
    if (this->queue.empty())
        return std::nullopt;
    return this->queuedSize > batchLimit / 2 ? Instant {} : this->earliestDue;
}

void JournalWriter::openBatch()
{
    Batch batch { this->writer, this->number, false, {} };
    std::size_t size = batchOverhead;
    while (!this->queue.empty()) {
        QueuedGroup& next = this->queue.front();
        size += next.bytes.size() + groupOverhead;
        if (size > batchLimit)
            break;
        batch.groups.push_back(next.bytes);
        this->queuedSize -= next.bytes.size();
        this->open.push_back(std::move(next));
        this->queue.pop_front();
    }
    // Groups that did not fit are overdue: they waited for a full batch.
    this->earliestDue = {};
    this->openBytes = encodeBatch(batch);
    this->openWriter = this->writer;
    this->mayBeApplied = false;
}

std::optional<ObjectCommand> JournalWriter::poll(Instant now, ObjectCallIds& ids, WritePacer& pacer)
{
    if (this->call || this->lost() || now < this->retryAt)
        return std::nullopt;
    if (this->phase == Phase::ReadBackDue) {
        this->phase = Phase::ReadingBack;
        this->call = ids.next();
        return ObjectRead { *this->call, batchKey(this->journal, this->number) };
    }
    if (this->phase == Phase::Idle && (this->queue.empty() || now < *this->queueDue()))
        return std::nullopt;
    if (!pacer.allows(now))
        return std::nullopt;
    if (this->phase == Phase::Idle) {
        this->openBatch();
        this->startedAt = now;
    }
    pacer.take(now);
    this->phase = Phase::Appending;
    this->call = ids.next();
    return ObjectCreate { *this->call, batchKey(this->journal, this->number), this->openBytes };
}

AppendProgress JournalWriter::onResult(const ObjectResult& result, Instant now)
{
    TEASELSHORE_ASSERT(this->awaits(result.id), "result of a call that is not in flight");
    this->call.reset();
    if (this->phase == Phase::Appending)
        return this->onAppendResult(result, now);
    return this->onReadBack(result, now);
}

AppendProgress JournalWriter::onAppendResult(const ObjectResult& result, Instant now)
{
    if (result.outcome == ObjectOutcome::Ok)
        return this->commit(result.version);
    if (result.outcome == ObjectOutcome::Unavailable) {
        if (this->mayBeApplied)
            return this->fail(Phase::RetryDue, now);
        for (auto group = this->open.rbegin(); group != this->open.rend(); ++group) {
            this->queuedSize += group->bytes.size();
            this->queue.push_front(std::move(*group));
        }
        this->open.clear();
        this->earliestDue = {};
        this->fail(Phase::Idle, now);
        return AppendProgress::NotApplied;
    }
    // A conflict may come from an earlier try of this batch, so only the stored batch tells who won the number.
    this->mayBeApplied = true;
    this->phase = Phase::ReadBackDue;
    return AppendProgress::Open;
}

AppendProgress JournalWriter::onReadBack(const ObjectResult& result, Instant now)
{
    if (result.outcome == ObjectOutcome::Ok) {
        const std::optional<Batch> stored = decodeBatch(result.value);
        if (stored && stored->writer == this->openWriter && stored->number == this->number)
            return this->commit(result.version);
        this->phase = Phase::Lost;
        return AppendProgress::Lost;
    }
    // The first try may still be applied later, so the repeated create has the same content.
    if (result.outcome == ObjectOutcome::NotFound) {
        this->fail(Phase::RetryDue, now);
        return AppendProgress::Open;
    }
    return this->fail(Phase::ReadBackDue, now);
}

AppendProgress JournalWriter::commit(ObjectVersion version)
{
    this->committed = this->open.back().ticket;
    if (this->queue.empty())
        this->committed = this->issued;
    this->open.clear();
    this->openBytes.clear();
    this->mayBeApplied = false;
    this->versions.emplace(this->number, version);
    ++this->number;
    this->phase = Phase::Idle;
    this->backoff = {};
    return AppendProgress::Committed;
}

AppendProgress JournalWriter::fail(Phase next, Instant now)
{
    this->phase = next;
    this->backoff = std::clamp(this->backoff * 2, firstBackoff, longestBackoff);
    this->retryAt = now + this->backoff;
    return AppendProgress::InDoubt;
}

std::optional<Instant> JournalWriter::waitingSince() const
{
    if (this->open.empty() || this->lost())
        return std::nullopt;
    return this->startedAt;
}

std::optional<Instant> JournalWriter::wakeAt(const WritePacer& pacer) const
{
    if (this->call || this->lost() || this->drained())
        return std::nullopt;
    const Instant possible = std::max(this->retryAt, pacer.nextAt());
    return this->phase == Phase::Idle ? std::max(possible, this->queueDue().value_or(possible)) : possible;
}

HandOver JournalWriter::handOver(const NodeId& from) const
{
    HandOver result { from, this->journal, this->number, std::nullopt, {} };
    if (!this->open.empty())
        result.openBatch = this->openBytes;
    for (const QueuedGroup& group : this->queue)
        result.groups.push_back(group.bytes);
    return result;
}

} // namespace teaselshore
