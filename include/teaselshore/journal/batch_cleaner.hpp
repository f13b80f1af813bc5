#pragma once

#include <cstdint>
#include <optional>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/journal_writer.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/write_pacer.hpp"

namespace teaselshore {

/// @brief Deletes the batches of a writer that a durable checkpoint has replaced.
///
/// Batches go strictly in ascending order: a record must never outlive a later record about the same key.
/// Pure and not thread-safe.
class BatchCleaner {
public:
    /// @brief Lets all batches below this number go. Precondition: a durable checkpoint covers them.
    void deleteBelow(std::uint64_t number);

    std::optional<ObjectCommand> poll(const JournalWriter& writer, Instant now, ObjectCallIds& ids, WritePacer& pacer);

    bool awaits(ObjectCallId id) const { return this->call == id; }

    /// @brief Handles the result of a call. Precondition: awaits(result.id).
    void onResult(const ObjectResult& result, JournalWriter& writer, Instant now);

private:
    std::uint64_t bound = 0;
    std::uint64_t current = 0;
    /// Version of the current batch if it is not the one that the writer created.
    std::optional<ObjectVersion> replaced;
    std::optional<ObjectCallId> call;
    Instant retryAt {};
};

} // namespace teaselshore
