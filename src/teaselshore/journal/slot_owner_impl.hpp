#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/journal/batch_cleaner.hpp"
#include "teaselshore/journal/journal_reader.hpp"
#include "teaselshore/journal/journal_sweeper.hpp"
#include "teaselshore/journal/journal_writer.hpp"
#include "teaselshore/journal/key_ledger.hpp"
#include "teaselshore/journal/owner_placement.hpp"
#include "teaselshore/journal/slot_owner.hpp"

namespace teaselshore {

/// @brief Relation of this node's current instance to one slot.
enum class SlotPhase {
    Foreign,
    /// Served: new requests are accepted.
    Held,
    /// Being given up: running requests finish, new ones are not accepted.
    Releasing,
    /// No further record about the slot is appended; waits until its last record is durable.
    Drained,
    /// The slot map says released; the next owner may take the slot.
    Released,
};

struct SlotTenure {
    SlotPhase phase = SlotPhase::Foreign;
    std::uint64_t epoch = 0;
    /// Last append that can concern the slot, once it is drained.
    AppendTicket barrier = 0;
};

/// @brief What to do once a group is durable.
struct RequestCommitted {
    RequestId request;
};
struct DispatchCommitted {
    RequestId request;
    std::uint32_t attempt = 0;
};
struct CheckpointCommitted {
    std::uint64_t deleteBelow = 0;
};
using CommitAction = std::variant<RequestCommitted, DispatchCommitted, CheckpointCommitted>;

/// @brief Last sign of life in the journal of an owner that membership reports as dead.
struct Observation {
    std::uint64_t lastBatch = 0;
    Instant at {};
};

/// @brief Take-over of slots from one instance.
struct Claim {
    OwnerInstance source;
    /// Epoch of each slot under its old owner.
    std::map<Slot, std::uint64_t> slots;
    std::unique_ptr<JournalReader> reader;
    std::unique_ptr<KeyLedger> recovered;
    /// Last append that carries the taken-over records; set once they are queued.
    std::optional<AppendTicket> ticket;
};

/// @brief Request whose owner is another node.
struct Forward {
    std::optional<JournalRequest> request;
    std::optional<UpstreamId> upstream;
    /// Set instead of the request if an answer is to be read.
    RequestId read;
    NodeId owner;
    std::uint32_t attempt = 0;
    /// Attempts that the owner may have received and that were not answered with not_run.
    std::set<std::uint32_t> open;
    std::optional<Instant> retryAt;
    Instant deadline {};
};

/// @brief Request that ran under an instance that no longer owns its slot; only its callers still wait.
struct Orphan {
    std::vector<CallerId> callers;
    std::uint32_t attempt = 0;
};

struct SlotOwner::Impl {
    Impl(const NodeId& self, SlotOwnerSettings settings, SlotOwnerMutations mutations);

    // slot_owner.cpp: events, calls to the object API.
    void handle(const ClientRequest& event);
    void handle(const AnswerRead& event);
    void handle(const ObjectResult& event);
    void handle(const UpstreamChosen& event);
    void handle(const UpstreamFinished& event);
    void handle(const UpstreamNotRun& event);
    void handle(const UpstreamUnknown& event);
    void handle(const OutcomeLookedUp& event);
    void handle(const ForwardAnswered& event);
    void handle(const ForwardFailed& event);
    void handle(const MemberAlive& event);
    void handle(const MemberDead& event);
    void handle(const Tick& event);
    void handle(const PlannedStop& event);
    void handle(const HandOverReceived& event);
    void handle(const HandOverAcknowledged& event);
    void flush();
    void flushWriters();
    void deleteOldBatch();
    void feedCheckpoint();
    void onAppendProgress(AppendProgress progress);
    void onCommitted();
    void enterOutage();
    void loseOwnership();
    void startInstance();
    void call(ObjectCommand command);
    void answer(CallerId caller, Answer content);
    void answerNotRun(CallerId caller, std::string reason);
    AppendTicket append(const RecordGroup& group);
    void appendLazily(const RecordGroup& group);
    bool storeUp() const { return !this->storeDown; }

    // slot_requests.cpp: requests of held slots.
    Slot slotOfKey(const KeyId& key) const { return slotOf(key.workspace, key.key); }
    SlotPhase phaseOf(const KeyId& key) const { return this->slots[this->slotOfKey(key)].phase; }
    bool mayAppend(const KeyId& key) const;
    void accept(const ClientRequest& event);
    void join(KeyEntry& entry, CallerId caller);
    void onRequestCommitted(const RequestId& id);
    void onDispatchCommitted(const DispatchCommitted& action);
    void dispatch(KeyEntry& entry);
    void run(KeyEntry& entry);
    void retryLater(KeyEntry& entry);
    void runDue();
    void recordDispatch(KeyEntry& entry, const UpstreamId& upstream);
    void lookUp(KeyEntry& entry);
    void finish(KeyEntry& entry, const StoredAnswer& content);
    void settleUnknown(KeyEntry& entry);
    void dropNotRun(KeyEntry& entry, const std::string& reason);
    void answerAll(std::vector<CallerId>& callers, const Answer& content);
    void withdrawUncommitted();
    void readStored(CallerId caller, const RequestId& id);
    void adopt(Slot slot, KeyLedger& recovered);
    void orphan(KeyEntry& entry);

    // slot_forwards.cpp: requests of other nodes' slots.
    void route(const ClientRequest& event);
    void routeRead(const AnswerRead& event);
    std::optional<NodeId> ownerNode(Slot slot) const;
    void sendForward(CallerId caller, Forward& forward);
    void retryForward(CallerId caller, Forward& forward);
    void forwardsDue();
    void failForwards(const NodeId& node);
    void giveUpForward(CallerId caller);

    // slot_claims.cpp: slot map, claims, moves.
    bool isDead(const OwnerInstance& instance) const;
    void noteAbsentOwners();
    void pollMap();
    void hurryMapRead();
    void onMapRead(const ObjectResult& result);
    void onMapWritten(const ObjectResult& result);
    void applyMap(const SlotMap& read, ObjectVersion version);
    void applyClaim();
    void writeMap();
    bool editMap(SlotMap& edited) const;
    void startClaim();
    bool silent(const OwnerInstance& instance) const;
    bool mayTake(Slot slot) const;
    void observeOwners();
    void heartbeat();

    /// @brief Returns whether the last append is so recent that no other node can have sealed this journal since.
    bool ownershipConfirmed() const;
    void replayJournal(const JournalReader& reader);
    bool claimable(Slot slot) const;
    void advanceClaim();
    void queueTakeOver();
    void rebalance();
    void drainReleasing();
    bool busy(Slot slot) const;
    bool stoppedForGood(const OwnerInstance& instance) const;
    bool inUse(const OwnerInstance& instance);
    void sweep();
    void startRelease(Slot slot);
    void dropSlot(Slot slot);
    void place();
    std::size_t countPhase(SlotPhase phase) const;

    // slot_stop.cpp: planned stop and hand-over.
    void advanceStop();
    void sendHandOver();
    bool callersWait() const;

    NodeId self;
    SlotOwnerSettings settings;
    SlotOwnerMutations mutations;
    SlotOwnerStatistics statistics;
    Instant now {};
    bool started = false;
    Instant startedAt {};
    std::vector<SlotCommand> out;

    ObjectCallIds ids;
    WritePacer pacer;
    bool storeDown = false;

    std::uint64_t generation = 1;
    JournalWriter writer;
    KeyLedger ledger;
    BatchCleaner cleaner;
    std::array<SlotTenure, slotCount> slots;
    std::map<AppendTicket, CommitAction> actions;
    std::multimap<Instant, RequestId> retries;
    std::map<RequestId, Orphan> orphans;

    std::optional<Slot> checkpointSlot;
    std::uint64_t checkpointFrom = 0;
    std::uint64_t lastCheckpoint = 1;
    std::uint64_t checkpointSize = 0;

    std::set<NodeId> alive;
    std::map<NodeId, Instant> absentSince;
    std::vector<NodeId> slotPlacement;
    std::vector<NodeId> candidates;
    bool membersChanged = true;

    SlotMap map;
    /// Instances in the slot map.
    std::set<OwnerInstance> mapOwners;
    /// True if the slot map has slots without an owner or released ones.
    bool mapHasFreeSlots = true;
    ObjectVersion mapVersion = 0;
    bool mapKnown = false;
    std::optional<ObjectCallId> mapRead;
    std::optional<ObjectCallId> mapWrite;
    SlotMap mapWritten;
    Instant nextMapRead {};
    Instant lastMapRead {};
    Instant nextMapWrite {};
    Duration mapBackoff {};
    std::optional<Claim> claim;
    std::map<OwnerInstance, Observation> observations;
    std::unique_ptr<JournalReader> observer;
    Instant lastAppend {};
    /// Start of the last append that was committed.
    Instant confirmedAt {};
    /// True if the last write of this owner was a deletion, so that the next append goes first.
    bool deletedLast = false;
    /// True if the slot map may have to change: slots to take, or to mark as released.
    bool mapEditDue = false;
    /// True if slots may be in phase Releasing.
    bool releasing = false;

    std::map<CallerId, Forward> forwards;
    /// Callers whose request an earlier forward may have run elsewhere.
    std::set<CallerId> mayHaveRun;

    bool stopping = false;
    bool handedOver = false;
    bool stopReported = false;
    Instant stopDeadline {};
    Instant nextHandOver {};
    std::size_t handOversSent = 0;
    std::map<OwnerInstance, JournalWriter> adopted;
    JournalSweeper sweeper;
};

} // namespace teaselshore
