#include <algorithm>

#include "slot_owner_impl.hpp"

namespace teaselshore {

namespace {

    // Share of the notice after which running requests no longer delay the release of their slots.
    constexpr int drainNumerator = 3;
    constexpr int drainDenominator = 4;
    constexpr Duration handOverInterval = std::chrono::milliseconds(200);

} // namespace

void SlotOwner::Impl::handle(const PlannedStop& event)
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->stopDeadline = this->now + event.notice * drainNumerator / drainDenominator;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        if (this->slots[slot].phase == SlotPhase::Held)
            this->startRelease(static_cast<Slot>(slot));
    }
}

bool SlotOwner::Impl::callersWait() const
{
    if (!this->orphans.empty() || !this->forwards.empty())
        return true;
    KeyLedger& entries = const_cast<KeyLedger&>(this->ledger);
    for (const KeyId& key : entries.keys()) {
        if (!entries.find(key)->callers.empty())
            return true;
    }
    return false;
}

void SlotOwner::Impl::advanceStop()
{
    if (!this->stopping || this->stopReported)
        return;
    const std::size_t running = this->countPhase(SlotPhase::Held) + this->countPhase(SlotPhase::Releasing);
    const std::size_t drained = this->countPhase(SlotPhase::Drained);
    const bool released = running + drained == 0 && this->writer.drained() && !this->mapWrite && this->adopted.empty();
    if ((released || this->handedOver) && !this->callersWait()) {
        this->stopReported = true;
        this->out.push_back(StopCompleted {});
        return;
    }
    if (!released && !this->handedOver && running == 0 && !this->storeUp())
        this->sendHandOver();
}

void SlotOwner::Impl::sendHandOver()
{
    if (this->now < this->nextHandOver)
        return;
    std::vector<NodeId> peers(this->alive.begin(), this->alive.end());
    std::erase(peers, this->self);
    if (peers.empty())
        return;
    this->nextHandOver = this->now + handOverInterval;
    // Another peer each time: the last one may be stopping too. The journal's next number decides between them.
    const NodeId& peer = peers[this->handOversSent % peers.size()];
    ++this->handOversSent;
    this->out.push_back(SendHandOver { peer, this->writer.handOver(this->self) });
}

void SlotOwner::Impl::handle(const HandOverAcknowledged& event)
{
    if (!this->stopping || event.instance != this->writer.instance())
        return;
    this->handedOver = true;
}

void SlotOwner::Impl::handle(const HandOverReceived& event)
{
    const HandOver& handOver = event.handOver;
    if (this->stopping)
        return;
    if (!this->adopted.contains(handOver.instance)) {
        const std::string writerId = this->writer.instance().value() + "/" + handOver.instance.value();
        this->adopted.emplace(handOver.instance, JournalWriter(handOver, writerId));
    }
    this->out.push_back(SendHandOverAck { handOver.from, handOver.instance });
}

} // namespace teaselshore
