#pragma once

#include <memory>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/key_ledger.hpp"
#include "teaselshore/journal/slot_map.hpp"
#include "teaselshore/journal/slot_messages.hpp"

namespace teaselshore {

/// @brief Settings of a slot owner.
struct SlotOwnerSettings {
    /// Upper bound of the number of nodes that own slots.
    std::size_t maxOwners = 9;
    /// Writes per second that all owners together may make to the object API.
    double writesPerSecond = 300;
    /// Writes that one owner may make at once after a quiet time.
    double writeBurst = 4;
    RetentionSettings retention;
    /// Time for which a record that nobody waits for, such as a stored answer, may wait for others of its batch.
    Duration lazyAppend = std::chrono::milliseconds(20);
    /// Time for which a member must have been dead, and its journal unchanged, before its slots are claimed. Owners
    /// append at least twice in this time.
    Duration claimDelay = std::chrono::seconds(2);
    Duration mapReadInterval = std::chrono::seconds(1);
    /// Time without an answer of the object API after which new requests get not_run.
    Duration storeTimeout = std::chrono::milliseconds(500);
    /// Retry-After of not_run answers.
    Duration retryAfter = std::chrono::seconds(1);
    /// Time after which a forwarded request without an answer gets outcome_unknown.
    Duration forwardTimeout = std::chrono::seconds(10);
    /// Time between two tries of an accepted request or a forward.
    Duration retryInterval = std::chrono::milliseconds(500);
    /// Own batches after which a checkpoint is written and older batches are deleted.
    std::size_t checkpointEvery = 64;
    /// Encoded size above which a response body is not stored, in bytes.
    std::size_t storedBodyLimit = 500'000;
    /// Slots that one owner gives up at once when members join.
    std::size_t movesAtOnce = 64;
    /// Time between two searches for journals that no slot refers to.
    Duration sweepInterval = std::chrono::minutes(10);
    /// Time for which a journal that no slot refers to is kept. A process that was paused for half of it gives up.
    Duration sealRetention = std::chrono::hours(24);
};

/// @brief Deliberate faults, so that tests can show that their checker finds them.
struct SlotOwnerMutations {
    bool dispatchBeforeCommit = false;
    bool skipSeal = false;
    bool notRunOnUnknown = false;
    bool rerunDispatching = false;
    bool answerBeforeCommit = false;
};

/// @brief Figures for metrics and tests.
struct SlotOwnerStatistics {
    std::uint64_t appends = 0;
    std::uint64_t writes = 0;
    std::uint64_t claims = 0;
    std::uint64_t ownershipsLost = 0;
    std::uint64_t recoveredDispatching = 0;
    std::uint64_t recoveredAccepted = 0;
    std::uint64_t moves = 0;
};

/// @brief Owns a share of the slots: journals requests, joins duplicates, recovers the slots of dead owners.
///
/// Pure: (state, event, now) -> commands. Not thread-safe. Each ClientRequest and AnswerRead gets exactly one
/// AnswerCaller for its caller id.
class SlotOwner {
public:
    SlotOwner(const NodeId& self, SlotOwnerSettings settings, SlotOwnerMutations mutations = {});
    ~SlotOwner();
    SlotOwner(SlotOwner&&) noexcept;
    SlotOwner& operator=(SlotOwner&&) noexcept;
    SlotOwner(const SlotOwner&) = delete;
    SlotOwner& operator=(const SlotOwner&) = delete;

    /// @brief Handles one event. now must not decrease.
    std::vector<SlotCommand> handle(const SlotEvent& event, Instant now);

    /// @brief Returns when the next Tick is useful at the latest.
    Instant nextTick() const;

    /// @brief Returns the newest slot map that this node has read.
    const SlotMap& slotMap() const;

    /// @brief Returns true if this node serves the slot.
    bool serves(Slot slot) const;

    /// @brief Returns true if the object API answered lately, so that new requests are accepted.
    bool storeAvailable() const;

    /// @brief Returns the current instance of this node.
    const OwnerInstance& instance() const;

    SlotOwnerStatistics statistics() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
