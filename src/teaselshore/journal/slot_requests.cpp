#include "slot_owner_impl.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr int statusTooLarge = 413;

} // namespace

bool SlotOwner::Impl::mayAppend(const KeyId& key) const
{
    const SlotPhase phase = this->phaseOf(key);
    return !this->handedOver && (phase == SlotPhase::Held || phase == SlotPhase::Releasing);
}

void SlotOwner::Impl::handle(const ClientRequest& event)
{
    const KeyId& key = event.request.key;
    TEASELSHORE_ASSERT(
        slotOfRequest(event.request.id) == this->slotOfKey(key), "request id does not carry the slot of its key");
    TEASELSHORE_ASSERT(event.request.respondAsync || !event.request.idempotent, "request needs no journal");
    const SlotPhase phase = this->phaseOf(key);
    if (phase == SlotPhase::Foreign)
        return this->route(event);
    KeyEntry* const entry = this->ledger.find(key);
    if (phase == SlotPhase::Released || (!entry && (phase != SlotPhase::Held || this->handedOver)))
        return this->answerNotRun(event.caller, "slot is moving to another owner");
    if (entry)
        return this->join(*entry, event.caller);
    this->accept(event);
}

void SlotOwner::Impl::accept(const ClientRequest& event)
{
    const JournalRequest& request = event.request;
    if (!this->storeUp())
        return this->answerNotRun(event.caller, "object API is not available");
    if (!request.respondAsync && !event.upstream)
        return this->answerNotRun(event.caller, "no upstream is available");
    RecordGroup group { Accepted { request } };
    KeyEntry entry;
    entry.request = request;
    entry.callers.push_back(event.caller);
    if (!request.respondAsync) {
        entry.attempt = 1;
        entry.upstream = *event.upstream;
        group.emplace_back(Dispatching { request.id, request.key, request.service, entry.upstream, entry.attempt });
    }
    std::string bytes = encodeGroup(group);
    if (!fitsBatch(bytes.size()))
        return this->answer(event.caller, AnswerFinished { { statusTooLarge, {}, "request too large", true } });
    entry.ticket = this->writer.append(std::move(bytes));
    this->actions.emplace(entry.ticket, RequestCommitted { request.id });
    KeyEntry& added = this->ledger.add(std::move(entry));
    if (this->mutations.dispatchBeforeCommit && !request.respondAsync)
        this->dispatch(added);
    if (this->mutations.answerBeforeCommit && request.respondAsync)
        this->answerAll(added.callers, AnswerAccepted { request.id });
}

void SlotOwner::Impl::join(KeyEntry& entry, CallerId caller)
{
    if (entry.abandoned && !entry.request.respondAsync)
        return this->answerNotRun(caller, "object API is not available");
    if (entry.abandoned)
        return this->answer(caller, AnswerUnknown { this->settings.retryAfter });
    switch (entry.state) {
    case KeyState::Finished:
        return this->answer(caller, AnswerFinished { *entry.answer });
    case KeyState::Unknown:
        entry.callers.push_back(caller);
        this->ledger.reopen(entry);
        return this->lookUp(entry);
    case KeyState::Pending:
        entry.callers.push_back(caller);
        return;
    default:
        break;
    }
    if (entry.request.respondAsync)
        return this->answer(caller, AnswerAccepted { entry.request.id });
    entry.callers.push_back(caller);
}

void SlotOwner::Impl::onRequestCommitted(const RequestId& id)
{
    KeyEntry* const entry = this->ledger.find(id);
    if (!entry || entry->state != KeyState::Pending)
        return;
    if (entry->request.respondAsync) {
        entry->state = KeyState::Accepted;
        entry->abandoned = false;
        this->answerAll(entry->callers, AnswerAccepted { id });
        return this->run(*entry);
    }
    // Its callers were told that it does not run.
    if (entry->abandoned)
        return this->dropNotRun(*entry, "object API is not available");
    this->dispatch(*entry);
}

void SlotOwner::Impl::onDispatchCommitted(const DispatchCommitted& action)
{
    KeyEntry* const entry = this->ledger.find(action.request);
    if (!entry || entry->state != KeyState::DispatchPending || entry->attempt != action.attempt)
        return;
    if (entry->abandoned)
        return this->dropNotRun(*entry, "object API is not available");
    this->dispatch(*entry);
}

void SlotOwner::Impl::dispatch(KeyEntry& entry)
{
    const bool committed = entry.ticket <= this->writer.committedThrough();
    TEASELSHORE_ASSERT(committed || this->mutations.dispatchBeforeCommit, "dispatch without a committed record");
    TEASELSHORE_ASSERT(!entry.dispatchedByEarlierOwner || entry.request.idempotent || this->mutations.rerunDispatching,
        "request of an earlier owner dispatched again");
    TEASELSHORE_ASSERT(!entry.abandoned, "dispatch after not_run");
    entry.state = KeyState::Running;
    entry.mayHaveBeenDispatched = true;
    this->out.push_back(DispatchUpstream { entry.request, entry.upstream, entry.attempt });
}

void SlotOwner::Impl::run(KeyEntry& entry)
{
    entry.retryAt.reset();
    this->out.push_back(RunAccepted { entry.request });
}

void SlotOwner::Impl::retryLater(KeyEntry& entry)
{
    entry.state = KeyState::Accepted;
    entry.retryAt = this->now + this->settings.retryInterval;
    this->retries.emplace(*entry.retryAt, entry.request.id);
}

void SlotOwner::Impl::runDue()
{
    while (!this->retries.empty() && this->retries.begin()->first <= this->now) {
        const RequestId request = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        KeyEntry* const entry = this->ledger.find(request);
        if (!entry || entry->state != KeyState::Accepted || !entry->retryAt || *entry->retryAt > this->now)
            continue;
        if (this->phaseOf(entry->request.key) == SlotPhase::Held)
            this->run(*entry);
    }
}

void SlotOwner::Impl::handle(const UpstreamChosen& event)
{
    KeyEntry* const entry = this->ledger.find(event.request);
    if (!entry || entry->state != KeyState::Accepted || entry->retryAt)
        return;
    if (this->phaseOf(entry->request.key) != SlotPhase::Held || this->handedOver)
        return;
    if (entry->request.idempotent) {
        ++entry->attempt;
        entry->upstream = event.upstream;
        return this->dispatch(*entry);
    }
    if (!this->storeUp())
        return this->retryLater(*entry);
    this->recordDispatch(*entry, event.upstream);
}

void SlotOwner::Impl::recordDispatch(KeyEntry& entry, const UpstreamId& upstream)
{
    ++entry.attempt;
    entry.upstream = upstream;
    entry.state = KeyState::DispatchPending;
    const JournalRequest& request = entry.request;
    entry.ticket = this->append({ Dispatching { request.id, request.key, request.service, upstream, entry.attempt } });
    this->actions.emplace(entry.ticket, DispatchCommitted { entry.request.id, entry.attempt });
}

void SlotOwner::Impl::handle(const UpstreamFinished& event)
{
    const auto lost = this->orphans.find(event.request);
    if (lost != this->orphans.end()) {
        std::vector<CallerId> callers = std::move(lost->second.callers);
        this->orphans.erase(lost);
        this->answerAll(callers, AnswerFinished { event.answer });
    }
    KeyEntry* const entry = this->ledger.find(event.request);
    if (!entry || entry->state == KeyState::Finished || entry->attempt == 0)
        return;
    // A late answer of an earlier attempt is final for an idempotent request only.
    if (entry->attempt != event.attempt && !entry->request.idempotent)
        return;
    if (entry->state == KeyState::Pending || entry->state == KeyState::DispatchPending) {
        TEASELSHORE_ASSERT(this->mutations.dispatchBeforeCommit, "answer to a request that was not dispatched");
        return;
    }
    this->finish(*entry, event.answer);
}

void SlotOwner::Impl::finish(KeyEntry& entry, const StoredAnswer& content)
{
    this->answerAll(entry.callers, AnswerFinished { content });
    entry.answer = content;
    if (content.body.size() > this->settings.storedBodyLimit) {
        entry.answer->body.clear();
        entry.answer->bodyStored = false;
    }
    if (this->mayAppend(entry.request.key))
        this->appendLazily(
            { Finished { entry.request.id, entry.request.key, *entry.answer, entry.request.respondAsync } });
    this->ledger.settle(entry, KeyState::Finished, this->now);
}

void SlotOwner::Impl::handle(const UpstreamNotRun& event)
{
    const auto lost = this->orphans.find(event.request);
    if (lost != this->orphans.end() && lost->second.attempt == event.attempt) {
        std::vector<CallerId> callers = std::move(lost->second.callers);
        this->orphans.erase(lost);
        this->answerAll(callers, AnswerNotRun { this->settings.retryAfter, "upstream refused the request" });
    }
    KeyEntry* const entry = this->ledger.find(event.request);
    if (!entry || entry->state != KeyState::Running || entry->attempt != event.attempt)
        return;
    entry->mayHaveBeenDispatched = false;
    if (entry->request.idempotent)
        return this->retryLater(*entry);
    const bool appendable = this->mayAppend(entry->request.key);
    if (event.next && appendable && this->storeUp())
        return this->recordDispatch(*entry, *event.next);
    if (!entry->request.respondAsync)
        return this->dropNotRun(*entry, "upstream refused the request");
    // The accepted record is repeated because a checkpoint may have dropped the body of a dispatched request.
    if (appendable)
        this->append({ NotRun { entry->request.id, entry->request.key }, Accepted { entry->request } });
    this->retryLater(*entry);
}

void SlotOwner::Impl::dropNotRun(KeyEntry& entry, const std::string& reason)
{
    TEASELSHORE_ASSERT(!entry.mayHaveBeenDispatched, "not_run after a dispatch that may have reached the upstream");
    this->answerAll(entry.callers, AnswerNotRun { this->settings.retryAfter, reason });
    if (this->mayAppend(entry.request.key))
        this->appendLazily({ NotRun { entry.request.id, entry.request.key } });
    this->ledger.erase(entry.request.key);
}

void SlotOwner::Impl::handle(const UpstreamUnknown& event)
{
    const auto lost = this->orphans.find(event.request);
    if (lost != this->orphans.end() && lost->second.attempt == event.attempt) {
        std::vector<CallerId> callers = std::move(lost->second.callers);
        this->orphans.erase(lost);
        this->answerAll(callers, AnswerUnknown { this->settings.retryAfter });
    }
    KeyEntry* const entry = this->ledger.find(event.request);
    if (!entry || entry->state != KeyState::Running || entry->attempt != event.attempt)
        return;
    if (entry->request.idempotent)
        return this->retryLater(*entry);
    if (this->mutations.notRunOnUnknown) {
        entry->mayHaveBeenDispatched = false;
        return this->dropNotRun(*entry, "outcome is not known");
    }
    this->lookUp(*entry);
}

void SlotOwner::Impl::lookUp(KeyEntry& entry)
{
    entry.state = KeyState::LookingUp;
    const JournalRequest& request = entry.request;
    this->out.push_back(LookUpOutcome { request.id, request.key, request.service, entry.upstream, entry.attempt });
}

void SlotOwner::Impl::handle(const OutcomeLookedUp& event)
{
    const auto lost = this->orphans.find(event.request);
    if (lost != this->orphans.end()) {
        std::vector<CallerId> callers = std::move(lost->second.callers);
        this->orphans.erase(lost);
        if (event.answer)
            this->answerAll(callers, AnswerFinished { *event.answer });
        else
            this->answerAll(callers, AnswerUnknown { this->settings.retryAfter });
    }
    KeyEntry* const entry = this->ledger.find(event.request);
    if (!entry || entry->state != KeyState::LookingUp)
        return;
    if (event.answer)
        return this->finish(*entry, *event.answer);
    this->settleUnknown(*entry);
}

void SlotOwner::Impl::settleUnknown(KeyEntry& entry)
{
    this->answerAll(entry.callers, AnswerUnknown { this->settings.retryAfter });
    const JournalRequest& request = entry.request;
    if (this->mayAppend(request.key))
        this->appendLazily(
            { OutcomeUnknown { request.id, request.key, request.service, entry.upstream, entry.attempt } });
    this->ledger.settle(entry, KeyState::Unknown, this->now);
}

void SlotOwner::Impl::answerAll(std::vector<CallerId>& callers, const Answer& content)
{
    for (const CallerId caller : std::exchange(callers, {}))
        this->answer(caller, content);
}

void SlotOwner::Impl::withdrawUncommitted()
{
    const std::map<AppendTicket, CommitAction> waiting = this->actions;
    for (const auto& [ticket, action] : waiting) {
        const auto* const accepted = std::get_if<RequestCommitted>(&action);
        const auto* const dispatching = std::get_if<DispatchCommitted>(&action);
        if (!accepted && !dispatching)
            continue;
        KeyEntry* const entry = this->ledger.find(accepted ? accepted->request : dispatching->request);
        if (!entry || entry->ticket != ticket || entry->abandoned)
            continue;
        const bool removed = this->writer.withdraw(ticket);
        if (removed)
            this->actions.erase(ticket);
        if (dispatching && entry->request.respondAsync) {
            if (removed)
                this->retryLater(*entry);
            continue;
        }
        // An asynchronous request in doubt can still become durable and is then run by this or a later owner.
        if (entry->request.respondAsync && !removed)
            this->answerAll(entry->callers, AnswerUnknown { this->settings.retryAfter });
        else
            this->answerAll(entry->callers, AnswerNotRun { this->settings.retryAfter, "object API is not available" });
        if (!removed)
            entry->abandoned = true;
        else if (dispatching)
            this->dropNotRun(*entry, "object API is not available");
        else
            this->ledger.erase(entry->request.key);
    }
}

void SlotOwner::Impl::handle(const AnswerRead& event)
{
    const std::optional<Slot> slot = slotOfRequest(event.request);
    if (!slot)
        return this->answer(event.caller, AnswerNotFound {});
    if (this->slots[*slot].phase == SlotPhase::Foreign)
        return this->routeRead(event);
    if (this->slots[*slot].phase == SlotPhase::Released)
        return this->answerNotRun(event.caller, "slot is moving to another owner");
    this->readStored(event.caller, event.request);
}

void SlotOwner::Impl::readStored(CallerId caller, const RequestId& id)
{
    const KeyEntry* const entry = this->ledger.find(id);
    // After a pause another owner may have taken the slot and accepted the request.
    if (!entry && !this->ownershipConfirmed())
        return this->answerNotRun(caller, "ownership of the slot is not confirmed");
    if (!entry)
        return this->answer(caller, AnswerNotFound {});
    if (entry->state == KeyState::Finished)
        return this->answer(caller, AnswerFinished { *entry->answer });
    if (entry->state == KeyState::Unknown)
        return this->answer(caller, AnswerUnknown { this->settings.retryAfter });
    this->answer(caller, AnswerAccepted { id });
}

void SlotOwner::Impl::orphan(KeyEntry& entry)
{
    if (entry.callers.empty())
        return;
    Orphan& orphan = this->orphans[entry.request.id];
    orphan.callers.insert(orphan.callers.end(), entry.callers.begin(), entry.callers.end());
    orphan.attempt = entry.attempt;
    entry.callers.clear();
}

void SlotOwner::Impl::adopt(Slot slot, KeyLedger& recovered)
{
    this->dropSlot(slot);
    for (const KeyId& key : recovered.keysOf(slot)) {
        KeyEntry entry = *recovered.find(key);
        entry.settleNumber = 0;
        KeyEntry& added = this->ledger.add(std::move(entry));
        switch (added.state) {
        case KeyState::Accepted:
            ++this->statistics.recoveredAccepted;
            this->run(added);
            break;
        case KeyState::Running:
            ++this->statistics.recoveredDispatching;
            if (this->mutations.rerunDispatching)
                this->dispatch(added);
            else
                this->lookUp(added);
            break;
        default:
            this->ledger.settle(added, added.state, this->now);
        }
    }
}

} // namespace teaselshore
