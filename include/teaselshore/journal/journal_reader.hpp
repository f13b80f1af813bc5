#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/record.hpp"
#include "teaselshore/journal/write_pacer.hpp"

namespace teaselshore {

/// @brief What a JournalReader does with the journal.
enum class ReadMode {
    /// Seals the journal, then reads it: its owner is dead or suspected.
    SealAndRead,
    /// Reads the journal of an owner that has stopped writing about the wanted slots.
    Read,
    /// Only seals the journal.
    Seal,
    /// Only finds the number of the last batch.
    Observe,
};

/// @brief Seals and reads the journal of another instance.
///
/// The seal is the batch after the last one. Once it exists, no append of the old owner can succeed, so the batches
/// that were listed before it are complete. Pure and not thread-safe.
class JournalReader {
public:
    JournalReader(OwnerInstance source, std::string writerId, ReadMode mode);

    /// @brief Gives up before the seal unless this is still the number of the last batch: otherwise the owner lives.
    void expectLast(std::uint64_t number) { this->expected = number; }

    /// @brief Returns the calls that can start now.
    std::vector<ObjectCommand> poll(Instant now, ObjectCallIds& ids, WritePacer& pacer);

    bool awaits(ObjectCallId id) const { return this->calls.contains(id); }

    /// @brief Handles the result of a call. Precondition: awaits(result.id).
    void onResult(const ObjectResult& result, Instant now);

    bool done() const { return this->phase == Phase::Done; }

    /// @brief Returns the batches by number. Precondition: done().
    const std::map<std::uint64_t, Batch>& batches() const { return this->found; }

    /// @brief Returns true if the journal grew, so that it was not sealed. Precondition: done().
    bool grew() const { return this->advanced; }

    /// @brief Returns the number of the last batch that was listed; 0 for an empty journal.
    std::uint64_t last() const { return this->listed.empty() ? 0 : this->listed.back(); }

    const OwnerInstance& source() const { return this->journal; }

private:
    enum class Phase {
        List,
        ReadLast,
        Seal,
        Read,
        Done,
    };

    void onList(const ObjectResult& result, Instant now);
    void onLast(const ObjectResult& result, Instant now);
    void onSeal(const ObjectResult& result, Instant now);
    void onBatch(std::uint64_t number, const ObjectResult& result, Instant now);
    void startReading();
    void finishIfRead();
    void retry(Phase next, Instant now);

    OwnerInstance journal;
    std::string writer;
    ReadMode mode;
    Phase phase = Phase::List;
    /// Calls in flight and the batch that each one reads; 0 for calls of other phases.
    std::map<ObjectCallId, std::uint64_t> calls;
    std::vector<std::uint64_t> listed;
    std::vector<std::uint64_t> unread;
    std::map<std::uint64_t, Batch> found;
    std::optional<std::uint64_t> expected;
    bool advanced = false;
    bool sealed = false;
    bool restart = false;
    Instant retryAt {};
    Duration backoff {};
};

} // namespace teaselshore
