#include "teaselshore/entry/evacuated_zones.hpp"

#include <algorithm>
#include <set>

namespace teaselshore {

namespace {

    /// Time after a restore of the platform for which an evacuation that is missing there remains in effect: the
    /// operator writes again what was lost within some seconds.
    constexpr Duration lostObjectTime = std::chrono::seconds(10);
    /// Time for which the end of an evacuation is remembered, for peers that have not learnt of it.
    constexpr Duration endedRetention = std::chrono::minutes(10);

} // namespace

bool EvacuatedZones::mayHaveBeenLost(Instant now) const
{
    return this->restoredAt && now - *this->restoredAt < lostObjectTime;
}

void EvacuatedZones::set(const ZoneEvacuation& change, Changes& changes)
{
    Entry& entry = this->zones.try_emplace(change.zone, Entry { false, 0, change.since, std::nullopt }).first->second;
    entry.revision = change.revision;
    entry.missingUntil = change.missingUntil;
    if (entry.isEvacuated == change.isEvacuated)
        return;
    entry.isEvacuated = change.isEvacuated;
    entry.since = change.since;
    this->evacuatedCount += change.isEvacuated ? 1 : -1;
    changes.push_back(change);
}

EvacuatedZones::Changes EvacuatedZones::onListed(const Changes& evacuations, std::uint64_t revision, Instant now)
{
    if (this->completeRevision && revision < *this->completeRevision)
        return {};
    this->completeRevision = revision;
    Changes changes;
    std::set<AvailabilityZone> listed;
    for (const ZoneEvacuation& evacuation : evacuations) {
        listed.insert(evacuation.zone);
        const auto known = this->zones.find(evacuation.zone);
        // A peer has reported a change that is later than the list.
        if (known != this->zones.end() && known->second.revision > revision)
            continue;
        this->set(evacuation, changes);
    }
    for (auto& [zone, entry] : this->zones) {
        if (!entry.isEvacuated || entry.revision > revision || listed.contains(zone))
            continue;
        if (this->mayHaveBeenLost(now))
            entry.missingUntil = *this->restoredAt + lostObjectTime;
        else if (!entry.missingUntil || now >= *entry.missingUntil)
            this->set({ zone, false, revision, now }, changes);
    }
    return changes;
}

EvacuatedZones::Changes EvacuatedZones::onRead(const ZoneEvacuation& change)
{
    this->completeRevision = std::max(this->completeRevision.value_or(0), change.revision);
    Changes changes;
    const auto known = this->zones.find(change.zone);
    if (known == this->zones.end() || known->second.revision <= change.revision)
        this->set(change, changes);
    return changes;
}

EvacuatedZones::Changes EvacuatedZones::onReported(const ZoneEvacuation& change)
{
    Changes changes;
    const auto known = this->zones.find(change.zone);
    const bool isKnown = known != this->zones.end() && known->second.revision >= change.revision;
    if (!isKnown && change.revision > this->completeRevision.value_or(0))
        this->set(change, changes);
    return changes;
}

EvacuatedZones::Changes EvacuatedZones::onReportedMissing(const ZoneEvacuation& evacuation, Instant now)
{
    Changes changes;
    const auto known = this->zones.find(evacuation.zone);
    if (known != this->zones.end() && known->second.revision >= evacuation.revision)
        return changes;
    ZoneEvacuation limited = evacuation;
    limited.missingUntil = std::min(*evacuation.missingUntil, now + lostObjectTime);
    if (*limited.missingUntil > now)
        this->set(limited, changes);
    return changes;
}

EvacuatedZones::Changes EvacuatedZones::onTick(Instant now)
{
    Changes changes;
    for (auto& [zone, entry] : this->zones) {
        if (entry.missingUntil && now >= *entry.missingUntil)
            this->set({ zone, false, this->completeRevision.value_or(entry.revision), now }, changes);
    }
    std::erase_if(this->zones,
        [now](const auto& item) { return !item.second.isEvacuated && now - item.second.since >= endedRetention; });
    return changes;
}

bool EvacuatedZones::contains(const AvailabilityZone& zone) const
{
    if (this->evacuatedCount == 0)
        return false;
    const auto found = this->zones.find(zone);
    return found != this->zones.end() && found->second.isEvacuated;
}

bool EvacuatedZones::isDoubtful() const
{
    return std::any_of(
        this->zones.begin(), this->zones.end(), [](const auto& item) { return item.second.missingUntil.has_value(); });
}

bool EvacuatedZones::containedSince(const AvailabilityZone& zone, Instant since) const
{
    const auto found = this->zones.find(zone);
    return found != this->zones.end() && (found->second.isEvacuated || found->second.since >= since);
}

EvacuatedZones::Changes EvacuatedZones::entries() const
{
    Changes result;
    for (const auto& [zone, entry] : this->zones)
        result.push_back({ zone, entry.isEvacuated, entry.revision, entry.since, entry.missingUntil });
    return result;
}

std::optional<Instant> EvacuatedZones::evacuatedSince(const AvailabilityZone& zone) const
{
    return this->contains(zone) ? std::optional(this->zones.at(zone).since) : std::nullopt;
}

} // namespace teaselshore
