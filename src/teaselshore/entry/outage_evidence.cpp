#include "teaselshore/entry/outage_evidence.hpp"

#include <algorithm>

namespace teaselshore {

OutageEvidence::OutageEvidence(Duration shortestOutage)
    : shortestOutage(shortestOutage)
{
}

void OutageEvidence::onReturned(Duration longestOutage, Instant now)
{
    if (longestOutage < this->shortestOutage)
        return;
    this->earlier = this->returned;
    this->own = Interval { now - longestOutage, now };
    this->answered.clear();
    this->returned = now;
}

void OutageEvidence::onAnsweredPeer(Instant first, Instant last)
{
    if (!this->own)
        return;
    this->answered.push_back({ first, last });
    std::sort(this->answered.begin(), this->answered.end());
    this->returned = std::max(this->earlier, this->endOfLatestOutage());
}

std::optional<Instant> OutageEvidence::endOfLatestOutage() const
{
    std::optional<Instant> latest;
    Instant upUntil = this->own->begin;
    const auto addGap = [&](Instant end) {
        if (end - upUntil >= this->shortestOutage)
            latest = end;
    };
    for (const Interval& interval : this->answered) {
        addGap(std::min(interval.begin, this->own->end));
        upUntil = std::max(upUntil, interval.end);
    }
    addGap(this->own->end);
    return latest;
}

} // namespace teaselshore
