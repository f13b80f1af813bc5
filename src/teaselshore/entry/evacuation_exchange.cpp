#include "evacuation_exchange.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    /// Peers that a node tells of a change. With four, a change reaches all but 2% of the nodes that cannot read it
    /// themselves; these ask.
    constexpr std::size_t toldPeers = 4;
    /// Peers that are asked in each round; several, since the platform may turn them away as well.
    constexpr std::size_t askedPeers = 2;
    /// Time between two rounds of requests while the platform does not answer; a small part of the time within which
    /// an evacuation must be in effect.
    constexpr Duration requestPeriod = std::chrono::milliseconds(250);
    /// Time after the start for which a node asks peers whether a restore of the platform has lost an evacuation.
    constexpr Duration doubtfulTime = std::chrono::seconds(5);
    /// Time without knowledge of the evacuations after which the operator is told why the node is not ready.
    constexpr Duration warningPeriod = std::chrono::seconds(5);

} // namespace

EvacuationExchange::EvacuationExchange(EntryState& state)
    : state(state)
{
}

EvacuationExchange::Changes EvacuationExchange::onListed(const EvacuationsListed& event, Instant now)
{
    // Peers need not be told what was so before this node started.
    const bool isFirst = !this->state.evacuated.revision();
    Changes evacuations;
    for (const EvacuationStarted& evacuation : event.evacuations)
        evacuations.push_back({ evacuation.zone, true, evacuation.revision, now });
    Changes changes = this->state.evacuated.onListed(evacuations, event.revision, now);
    if (isFirst)
        this->askPeers(now);
    return isFirst ? changes : this->spread(std::move(changes), now);
}

EvacuationExchange::Changes EvacuationExchange::onStarted(const EvacuationStarted& event, Instant now)
{
    return this->spread(this->state.evacuated.onRead({ event.zone, true, event.revision, now }), now);
}

EvacuationExchange::Changes EvacuationExchange::onEnded(const EvacuationEnded& event, Instant now)
{
    return this->spread(this->state.evacuated.onRead({ event.zone, false, event.revision, now }), now);
}

void EvacuationExchange::onWatchChanged(const EvacuationWatchChanged& event, Instant now)
{
    this->isAnswered = event.isAnswered;
    this->nextRequest = now;
    this->askPeers(now);
}

EvacuationExchange::Changes EvacuationExchange::onReport(
    const std::string& senderAddress, const EvacuationReport& report, Instant now)
{
    if (!this->isEnabled())
        return {};
    Changes evacuations;
    Changes later;
    Changes missing;
    for (const EvacuationReport::Zone& zone : report.zones) {
        const ZoneEvacuation change { zone.zone, zone.isEvacuated, zone.revision, now - zone.age };
        if (zone.isEvacuated && zone.missingFor)
            missing.push_back({ zone.zone, true, zone.revision, change.since, now + *zone.missingFor });
        else if (change.revision > report.revision.value_or(0))
            later.push_back(change);
        else if (change.isEvacuated)
            evacuations.push_back(change);
    }
    Changes changes;
    if (report.revision)
        changes = this->state.evacuated.onListed(evacuations, *report.revision, now);
    for (const ZoneEvacuation& change : later) {
        for (ZoneEvacuation& changed : this->state.evacuated.onReported(change))
            changes.push_back(std::move(changed));
    }
    for (const ZoneEvacuation& evacuation : missing) {
        for (ZoneEvacuation& changed : this->state.evacuated.onReportedMissing(evacuation, now))
            changes.push_back(std::move(changed));
    }
    if (report.wantsAnswer && this->knowsMoreThan(report))
        this->state.commands.emplace_back(SendEntryMessage { senderAddress, this->report(false, now) });
    return this->spread(std::move(changes), now);
}

EvacuationExchange::Changes EvacuationExchange::onTick(Instant now)
{
    if (!this->isEnabled())
        return {};
    this->askPeers(now);
    this->warnOfDelay(now);
    return this->spread(this->state.evacuated.onTick(now), now);
}

EvacuationExchange::Changes EvacuationExchange::spread(Changes changes, Instant now)
{
    if (changes.empty())
        return changes;
    for (const std::string& address : this->state.borrower.samplePeers(toldPeers))
        this->state.commands.emplace_back(SendEntryMessage { address, this->report(false, now) });
    return changes;
}

EvacuationReport EvacuationExchange::report(bool wantsAnswer, Instant now) const
{
    // What is doubtful is not complete at the present revision: a peer would take it for the operator's latest word.
    const bool isComplete = !this->state.evacuated.isDoubtful();
    EvacuationReport report { {}, isComplete ? this->state.evacuated.revision() : std::nullopt, wantsAnswer };
    for (const ZoneEvacuation& entry : this->state.evacuated.entries()) {
        const Duration age = std::max(now - entry.since, Duration::zero());
        EvacuationReport::Zone zone { entry.zone, entry.isEvacuated, entry.revision, age };
        if (entry.missingUntil)
            zone.missingFor = std::max(*entry.missingUntil - now, Duration::zero());
        report.zones.push_back(std::move(zone));
    }
    return report;
}

bool EvacuationExchange::knowsMoreThan(const EvacuationReport& report) const
{
    const std::uint64_t known = report.revision.value_or(0);
    if (this->state.evacuated.revision().value_or(0) > known)
        return true;
    for (const ZoneEvacuation& entry : this->state.evacuated.entries()) {
        const bool isReported
            = std::any_of(report.zones.begin(), report.zones.end(), [&entry](const EvacuationReport::Zone& zone) {
                  return zone.zone == entry.zone && zone.revision >= entry.revision;
              });
        if ((entry.revision > known || entry.missingUntil) && !isReported)
            return true;
    }
    return false;
}

void EvacuationExchange::askPeers(Instant now)
{
    if (!this->isEnabled() || !this->state.borrower.hasPeers())
        return;
    if (!this->askUntil)
        this->askUntil = now + doubtfulTime;
    const bool isKnown = this->isAnswered && this->isComplete() && now >= *this->askUntil;
    if (isKnown || now < this->nextRequest)
        return;
    this->nextRequest = now + requestPeriod;
    for (const std::string& address : this->state.borrower.samplePeers(askedPeers))
        this->state.commands.emplace_back(SendEntryMessage { address, this->report(true, now) });
}

void EvacuationExchange::warnOfDelay(Instant now)
{
    const bool isWaiting = !this->isComplete() && this->state.table && this->state.directory.hasSynced();
    if (!isWaiting) {
        this->waitingSince.reset();
        return;
    }
    if (!this->waitingSince)
        this->waitingSince = now;
    if (now - *this->waitingSince < warningPeriod)
        return;
    this->waitingSince = now;
    this->state.log(
        LogLevel::Warning, "not ready: neither the platform nor a peer has told which zones are evacuated", {});
}

} // namespace teaselshore
