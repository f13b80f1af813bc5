#include <algorithm>

#include "slot_owner_impl.hpp"

namespace teaselshore {

namespace {

    // Share of the mean above which an owner gives up slots to less loaded members.
    constexpr double imbalanceBound = 1.25;

} // namespace

void SlotOwner::Impl::rebalance()
{
    if (this->claim || this->stopping || !this->mapKnown || !this->storeUp())
        return;
    const std::size_t held = this->countPhase(SlotPhase::Held);
    if (held == 0 || this->countPhase(SlotPhase::Releasing) > 0 || this->countPhase(SlotPhase::Drained) > 0)
        return;
    this->place();
    const bool candidate = std::binary_search(this->candidates.begin(), this->candidates.end(), this->self);
    const std::size_t mean = candidate ? slotCount / this->candidates.size() : 0;
    if (static_cast<double>(held) <= static_cast<double>(mean) * imbalanceBound)
        return;
    std::size_t excess = std::min(held - mean, this->settings.movesAtOnce);
    for (std::size_t index = 0; index < slotCount && excess > 0; ++index) {
        const Slot slot = static_cast<Slot>(index);
        if (this->slots[slot].phase != SlotPhase::Held || this->slotPlacement[slot] == this->self || this->busy(slot))
            continue;
        this->startRelease(slot);
        ++this->statistics.moves;
        --excess;
    }
}

bool SlotOwner::Impl::busy(Slot slot) const
{
    KeyLedger& entries = const_cast<KeyLedger&>(this->ledger);
    for (const KeyId& key : entries.keysOf(slot)) {
        const KeyEntry& entry = *entries.find(key);
        if (!entry.callers.empty() || entry.state == KeyState::Pending || entry.state == KeyState::DispatchPending
            || entry.state == KeyState::Running)
            return true;
    }
    return false;
}

void SlotOwner::Impl::startRelease(Slot slot)
{
    this->slots[slot].phase = SlotPhase::Releasing;
    this->releasing = true;
}

void SlotOwner::Impl::drainReleasing()
{
    if (!this->releasing)
        return;
    const bool late = this->stopping && this->now >= this->stopDeadline;
    this->releasing = false;
    for (std::size_t index = 0; index < slotCount; ++index) {
        SlotTenure& tenure = this->slots[index];
        if (tenure.phase != SlotPhase::Releasing)
            continue;
        if (!late && this->busy(static_cast<Slot>(index))) {
            this->releasing = true;
            continue;
        }
        tenure.phase = SlotPhase::Drained;
        tenure.barrier = this->writer.lastTicket();
        this->mapEditDue = true;
    }
}

void SlotOwner::Impl::dropSlot(Slot slot)
{
    for (const KeyId& key : this->ledger.keysOf(slot))
        this->orphan(*this->ledger.find(key));
    this->ledger.eraseSlot(slot);
    this->slots[slot] = {};
}

} // namespace teaselshore
