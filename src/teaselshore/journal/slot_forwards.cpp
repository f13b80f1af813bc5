#include "slot_owner_impl.hpp"

namespace teaselshore {

std::optional<NodeId> SlotOwner::Impl::ownerNode(Slot slot) const
{
    const SlotAssignment& assignment = this->map.at(slot);
    if (assignment.owner.empty() || assignment.released)
        return std::nullopt;
    const NodeId node = nodeOf(assignment.owner);
    if (node == this->self || !this->alive.contains(node))
        return std::nullopt;
    return node;
}

void SlotOwner::Impl::route(const ClientRequest& event)
{
    const std::optional<NodeId> owner = this->ownerNode(this->slotOfKey(event.request.key));
    if (event.forwarded || !owner)
        return this->answerNotRun(event.caller, "owner of the slot is not reachable");
    Forward& forward = this->forwards[event.caller];
    forward.request = event.request;
    forward.upstream = event.upstream;
    forward.deadline = this->now + this->settings.forwardTimeout;
    this->sendForward(event.caller, forward);
}

void SlotOwner::Impl::routeRead(const AnswerRead& event)
{
    const std::optional<NodeId> owner = this->ownerNode(*slotOfRequest(event.request));
    if (event.forwarded || !owner)
        return this->answerNotRun(event.caller, "owner of the slot is not reachable");
    Forward& forward = this->forwards[event.caller];
    forward.read = event.request;
    forward.deadline = this->now + this->settings.forwardTimeout;
    this->sendForward(event.caller, forward);
}

void SlotOwner::Impl::sendForward(CallerId caller, Forward& forward)
{
    const Slot slot = forward.request ? this->slotOfKey(forward.request->key) : *slotOfRequest(forward.read);
    forward.owner = *this->ownerNode(slot);
    ++forward.attempt;
    forward.open.insert(forward.attempt);
    if (forward.request)
        this->out.push_back(
            ForwardToOwner { caller, forward.attempt, forward.owner, *forward.request, forward.upstream });
    else
        this->out.push_back(ForwardRead { caller, forward.attempt, forward.owner, forward.read });
}

void SlotOwner::Impl::handle(const ForwardAnswered& event)
{
    const auto position = this->forwards.find(event.caller);
    if (position == this->forwards.end())
        return;
    Forward& forward = position->second;
    if (!std::holds_alternative<AnswerNotRun>(event.answer)) {
        this->forwards.erase(position);
        return this->answer(event.caller, event.answer);
    }
    this->hurryMapRead();
    forward.open.erase(event.attempt);
    if (forward.open.empty()) {
        const Answer content = event.answer;
        this->forwards.erase(position);
        return this->answer(event.caller, content);
    }
    // An earlier attempt may have run, so only a retry with the same key can tell.
    if (event.attempt == forward.attempt)
        forward.retryAt = this->now + this->settings.retryInterval;
}

void SlotOwner::Impl::handle(const ForwardFailed& event)
{
    const auto position = this->forwards.find(event.caller);
    if (position == this->forwards.end())
        return;
    Forward& forward = position->second;
    this->hurryMapRead();
    if (!event.mayHaveBeenSent || !forward.request)
        forward.open.erase(event.attempt);
    if (forward.open.empty()) {
        this->forwards.erase(position);
        return this->answerNotRun(event.caller, "owner of the slot is not reachable");
    }
    if (event.attempt == forward.attempt)
        forward.retryAt = this->now + this->settings.retryInterval;
}

void SlotOwner::Impl::failForwards(const NodeId& node)
{
    for (auto& [caller, forward] : this->forwards) {
        if (forward.owner == node && !forward.retryAt)
            forward.retryAt = this->now;
    }
}

void SlotOwner::Impl::forwardsDue()
{
    std::vector<CallerId> due;
    for (const auto& [caller, forward] : this->forwards) {
        if (forward.deadline <= this->now || (forward.retryAt && *forward.retryAt <= this->now))
            due.push_back(caller);
    }
    for (const CallerId caller : due) {
        Forward& forward = this->forwards.at(caller);
        if (forward.deadline <= this->now)
            this->giveUpForward(caller);
        else
            this->retryForward(caller, forward);
    }
}

void SlotOwner::Impl::giveUpForward(CallerId caller)
{
    const bool read = !this->forwards.at(caller).request;
    this->forwards.erase(caller);
    if (read)
        return this->answerNotRun(caller, "owner of the slot is not reachable");
    this->answer(caller, AnswerUnknown { this->settings.retryAfter });
}

void SlotOwner::Impl::retryForward(CallerId caller, Forward& forward)
{
    forward.retryAt.reset();
    const Slot slot = forward.request ? this->slotOfKey(forward.request->key) : *slotOfRequest(forward.read);
    if (this->slots[slot].phase == SlotPhase::Foreign) {
        if (this->ownerNode(slot))
            return this->sendForward(caller, forward);
        forward.retryAt = this->now + this->settings.retryInterval;
        return;
    }
    const Forward local = std::move(forward);
    this->forwards.erase(caller);
    if (!local.request)
        return this->handle(AnswerRead { caller, local.read, true });
    this->mayHaveRun.insert(caller);
    this->handle(ClientRequest { caller, *local.request, local.upstream, true });
}

} // namespace teaselshore
