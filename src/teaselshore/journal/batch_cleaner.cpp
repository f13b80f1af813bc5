#include "teaselshore/journal/batch_cleaner.hpp"

#include <algorithm>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr Duration retryDelay = std::chrono::milliseconds(200);

} // namespace

void BatchCleaner::deleteBelow(std::uint64_t number) { this->bound = std::max(this->bound, number); }

std::optional<ObjectCommand> BatchCleaner::poll(
    const JournalWriter& writer, Instant now, ObjectCallIds& ids, WritePacer& pacer)
{
    const auto oldest = writer.batches().begin();
    if (oldest == writer.batches().end() || oldest->first >= this->bound)
        return std::nullopt;
    if (this->call || now < this->retryAt || !pacer.allows(now))
        return std::nullopt;
    pacer.take(now);
    if (this->current != oldest->first)
        this->replaced.reset();
    this->current = oldest->first;
    this->call = ids.next();
    const ObjectVersion version = this->replaced.value_or(oldest->second);
    return ObjectDelete { *this->call, batchKey(writer.instance(), oldest->first), version };
}

void BatchCleaner::onResult(const ObjectResult& result, JournalWriter& writer, Instant now)
{
    TEASELSHORE_ASSERT(this->awaits(result.id), "result of a call that is not in flight");
    this->call.reset();
    if (result.outcome == ObjectOutcome::Ok || result.outcome == ObjectOutcome::NotFound) {
        writer.forgetBatch(this->current);
        return;
    }
    // A delayed create of the same batch can bring it back with another version after a deletion without an answer.
    if (result.outcome == ObjectOutcome::Conflict)
        this->replaced = result.version;
    this->retryAt = now + retryDelay;
}

} // namespace teaselshore
