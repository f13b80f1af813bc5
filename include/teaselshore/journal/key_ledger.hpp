#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/journal_writer.hpp"
#include "teaselshore/journal/record.hpp"
#include "teaselshore/journal/slot_messages.hpp"

namespace teaselshore {

/// @brief Progress of one idempotency key at its owner.
enum class KeyState {
    /// Its first group is not durable yet.
    Pending,
    /// Durable, and not at an upstream.
    Accepted,
    /// Durable; its Dispatching record is not durable yet.
    DispatchPending,
    /// At an upstream.
    Running,
    /// Was at an upstream; the outcome lookup is running.
    LookingUp,
    Finished,
    /// Was at an upstream; the outcome could not be established.
    Unknown,
};

/// @brief What an owner knows about one key.
struct KeyEntry {
    JournalRequest request;
    KeyState state = KeyState::Pending;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    /// True once a Dispatching record may be durable and the request may have been sent under it.
    bool mayHaveBeenDispatched = false;
    /// True if the entry comes from another owner's journal with a Dispatching record.
    bool dispatchedByEarlierOwner = false;
    /// True if its callers were told that it does not run while its first group is in doubt.
    bool abandoned = false;
    /// Callers that wait for the answer.
    std::vector<CallerId> callers;
    std::optional<StoredAnswer> answer;
    AppendTicket ticket = 0;
    /// Earliest time of the next try of an accepted request.
    std::optional<Instant> retryAt;
    Instant settledAt {};
    std::uint64_t settleNumber = 0;
};

/// @brief Limits on settled keys (finished or unknown) that an owner remembers.
struct RetentionSettings {
    Duration time = std::chrono::hours(24);
    std::size_t count = 100'000;

    auto operator<=>(const RetentionSettings&) const = default;
};

/// @brief State per idempotency key of the slots of one owner instance. Not thread-safe.
class KeyLedger {
public:
    explicit KeyLedger(RetentionSettings settings);

    KeyEntry* find(const KeyId& key);
    KeyEntry* find(const RequestId& request);

    /// @brief Adds an entry. Precondition: the key has none.
    KeyEntry& add(KeyEntry entry);

    void erase(const KeyId& key);
    void eraseSlot(Slot slot);

    /// @brief Marks an entry as settled, so that it counts for retention.
    void settle(KeyEntry& entry, KeyState state, Instant now);

    /// @brief Takes an entry out of retention, because its outcome is looked up again.
    void reopen(KeyEntry& entry);

    /// @brief Forgets settled entries beyond the retention limits.
    void expire(Instant now);

    /// @brief Applies a durable record of a journal that is being read; the records must come in journal order.
    void replay(const JournalRecord& record, Instant now);

    /// @brief Returns groups that rebuild the durable entries of the slot through replay().
    std::vector<RecordGroup> snapshot(Slot slot) const;

    /// @brief Returns the keys of one slot.
    std::vector<KeyId> keysOf(Slot slot) const;

    /// @brief Returns all keys.
    std::vector<KeyId> keys() const;

    std::size_t size() const { return this->entries.size(); }

private:
    void apply(const Accepted& record, Instant now);
    void apply(const Dispatching& record, Instant now);
    void apply(const Finished& record, Instant now);
    void apply(const NotRun& record, Instant now);
    void apply(const OutcomeUnknown& record, Instant now);
    void apply(const SlotsTaken& record, Instant now);
    void apply(const CheckpointComplete&, Instant) { }
    /// @brief Returns the entry of this request; replaces an entry of the key that belongs to another request.
    KeyEntry& entryFor(const KeyId& key, const RequestId& request);
    RecordGroup openSnapshot(const KeyEntry& entry) const;

    struct Settled {
        Instant at;
        std::uint64_t number = 0;
        KeyId key;
    };

    std::map<KeyId, KeyEntry> entries;
    std::unordered_map<RequestId, KeyId> byRequest;
    std::unordered_map<Slot, std::set<KeyId>> bySlot;
    std::deque<Settled> settled;
    std::size_t settledCount = 0;
    std::uint64_t settleNumber = 0;
    RetentionSettings settings;
};

} // namespace teaselshore
