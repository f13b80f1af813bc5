#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/record.hpp"
#include "teaselshore/journal/slot_messages.hpp"
#include "teaselshore/journal/write_pacer.hpp"

namespace teaselshore {

/// @brief Position of a group in the order in which groups become durable.
using AppendTicket = std::uint64_t;

/// @brief What a result of the object API meant for the open batch.
enum class AppendProgress {
    /// Nothing is decided yet.
    Open,
    /// All groups up to JournalWriter::committedThrough() are durable.
    Committed,
    /// The batch was certainly not applied; its groups wait in the queue again.
    NotApplied,
    /// The object API does not answer and the batch may have been applied.
    InDoubt,
    /// Another writer created the batch number: this writer can never append again.
    Lost,
};

/// @brief Appends groups of records to one journal: one append in flight, the next batch gathers meanwhile.
///
/// Pure: emits object API commands and consumes their results. Not thread-safe.
class JournalWriter {
public:
    /// @brief Starts at the given number. The writer id must be unique among all writers of this journal.
    JournalWriter(OwnerInstance instance, std::string writerId, std::uint64_t firstNumber = 1);

    /// @brief Continues a journal that was handed over.
    JournalWriter(const HandOver& handOver, std::string writerId);

    /// @brief Queues a group as encoded by encodeGroup(). Preconditions: fitsBatch(size of the group), not lost.
    ///
    /// A group that nobody waits for may name a later due time; until then it is written only along with others.
    AppendTicket append(std::string group, Instant due = {});

    /// @brief Removes a queued group; false if it is in a batch that may have been applied, or is durable.
    bool withdraw(AppendTicket ticket);

    /// @brief Starts the next append, or repeats one whose outcome is open, when pacer and back-off allow it.
    std::optional<ObjectCommand> poll(Instant now, ObjectCallIds& ids, WritePacer& pacer);

    /// @brief Returns true if the result belongs to a call of this writer.
    bool awaits(ObjectCallId id) const { return this->call == id; }

    /// @brief Handles the result of a call. Precondition: awaits(result.id).
    AppendProgress onResult(const ObjectResult& result, Instant now);

    AppendTicket committedThrough() const { return this->committed; }
    AppendTicket lastTicket() const { return this->issued; }
    bool drained() const { return this->committed == this->issued; }
    bool lost() const { return this->phase == Phase::Lost; }
    bool inDoubt() const { return this->mayBeApplied; }

    /// @brief Number of the next batch that is not known to be durable.
    std::uint64_t nextNumber() const { return this->number; }

    /// @brief Versions of the durable batches of this writer, by number.
    const std::map<std::uint64_t, ObjectVersion>& batches() const { return this->versions; }

    /// @brief Forgets a batch that was deleted.
    void forgetBatch(std::uint64_t batch) { this->versions.erase(batch); }

    /// @brief Time since when the append in flight has had no answer.
    std::optional<Instant> waitingSince() const;

    /// @brief Returns when poll() can next start a call; nothing if it waits for a result or has nothing to do.
    std::optional<Instant> wakeAt(const WritePacer& pacer) const;

    /// @brief Size of the groups that are not in a batch yet, in bytes.
    std::size_t queuedBytes() const { return this->queuedSize; }

    const OwnerInstance& instance() const { return this->journal; }

    /// @brief Returns position and open groups for a peer.
    HandOver handOver(const NodeId& from) const;

private:
    enum class Phase {
        Idle,
        Appending,
        ReadBackDue,
        ReadingBack,
        RetryDue,
        Lost,
    };

    struct QueuedGroup {
        AppendTicket ticket = 0;
        std::string bytes;
        Instant due {};
    };

    std::optional<Instant> queueDue() const;
    void openBatch();
    AppendProgress onAppendResult(const ObjectResult& result, Instant now);
    AppendProgress onReadBack(const ObjectResult& result, Instant now);
    AppendProgress commit(ObjectVersion version);
    AppendProgress fail(Phase next, Instant now);

    OwnerInstance journal;
    std::string writer;
    std::uint64_t number;
    Phase phase = Phase::Idle;
    std::optional<ObjectCallId> call;
    std::deque<QueuedGroup> queue;
    std::size_t queuedSize = 0;
    /// Earliest due time of the queued groups; meaningless while there are none.
    Instant earliestDue {};
    /// Groups of the open batch; they keep their content while the batch may have been applied.
    std::vector<QueuedGroup> open;
    std::string openBytes;
    std::string openWriter;
    bool mayBeApplied = false;
    AppendTicket issued = 0;
    AppendTicket committed = 0;
    std::map<std::uint64_t, ObjectVersion> versions;
    Instant startedAt {};
    Instant retryAt {};
    Duration backoff {};
};

/// @brief Returns true if a group of this encoded size fits into one batch.
bool fitsBatch(std::size_t encodedSize);

} // namespace teaselshore
