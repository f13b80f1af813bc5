#include "teaselshore/reliability/crash_suspects.hpp"

#include <algorithm>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    /// Maximum time between the reports of several nodes that observe the same upstream failure.
    constexpr Duration sameFailureWindow = std::chrono::seconds(5);
    /// Time for which a cleared suspect or an excused upstream overrides older reports that arrive late.
    constexpr Duration tombstoneExpiry = std::chrono::minutes(1);

    Duration distance(Instant first, Instant second) { return first > second ? first - second : second - first; }

} // namespace

Fingerprint suspectFingerprint(const WorkspaceName& caller, const RouteName& route, std::string_view body)
{
    return fingerprint({ caller.value(), route.value(), body });
}

CrashSuspects::CrashSuspects(CrashSuspectsSettings settings)
    : settings(settings)
{
}

std::vector<SuspectReport> CrashSuspects::onUpstreamCrashed(const UpstreamCrash& crash, Instant now)
{
    if (crash.hadReclaimNotice || this->isExcused(crash.upstream, now))
        return this->appendReturnedRetries(this->onReclaimNotice(crash.upstream, now), crash.running, now);

    Instant at = now;
    if (crash.running.empty()) {
        // A refused connection reveals a failure that another node may have reported earlier.
        const auto known = this->findKnownFailure(crash.upstream, now);
        if (known && known->causedBySuspects)
            return {};
        at = known ? known->at : now;
    }

    const bool alone = crash.running.size() == 1;
    // A crash whose running requests are all suspects is no evidence for the loss of the zone.
    const bool causedBySuspects = !crash.running.empty()
        && std::all_of(crash.running.begin(), crash.running.end(),
            [&](Fingerprint request) { return this->isKnownSuspect(request); });
    Zone& zone = this->zones[crash.zone];
    zone.upstreams = crash.upstreamsInZone;
    if (!causedBySuspects)
        this->addFailure(zone, crash.upstream, at);

    if (this->isZoneLost(zone, at)) {
        this->addFailure(zone, crash.upstream, at);
        return this->appendReturnedRetries(this->excuseLostZone(crash.zone, at, now), crash.running, now);
    }

    std::vector<SuspectReport> reports;
    for (const Fingerprint request : crash.running) {
        this->addCrash(request, Crash { crash.upstream, crash.zone, now, alone }, now);
        reports.push_back({ SuspectReportKind::Crash, request, crash.upstream, crash.zone, Duration {}, alone });
    }
    return reports;
}

std::vector<SuspectReport> CrashSuspects::appendReturnedRetries(
    std::vector<SuspectReport> reports, const std::vector<Fingerprint>& requests, Instant now)
{
    for (const Fingerprint request : requests) {
        for (SuspectReport& report : this->onRetryReturned(request, now))
            reports.push_back(std::move(report));
    }
    return reports;
}

std::optional<CrashSuspects::KnownFailure> CrashSuspects::findKnownFailure(
    const UpstreamId& upstream, Instant now) const
{
    std::optional<KnownFailure> result;
    for (const auto& [request, suspect] : this->suspects) {
        for (const Crash& crash : suspect.crashes) {
            if (crash.upstream != upstream || distance(crash.at, now) > sameFailureWindow)
                continue;
            // The first crash of a request is no evidence against it; any later one is.
            const bool causedBySuspects = &crash != &suspect.crashes.front();
            result = KnownFailure { crash.at, causedBySuspects && (!result || result->causedBySuspects) };
        }
    }
    return result;
}

std::vector<SuspectReport> CrashSuspects::onReclaimNotice(const UpstreamId& upstream, Instant now)
{
    this->excuse(upstream, now);
    return { { SuspectReportKind::Excused, 0, upstream, AvailabilityZone {}, Duration {}, false } };
}

SuspectVerdict CrashSuspects::verdict(Fingerprint request, Instant now) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || found->second.crashes.empty())
        return SuspectVerdict::Clear;
    const Suspect& suspect = found->second;
    if (this->isRejected(suspect)) {
        const bool undecided = now - suspect.crashes.back().at < this->settings.zoneLossWindow;
        return undecided ? SuspectVerdict::Undecided : SuspectVerdict::Rejected;
    }
    return suspect.retryStarted ? SuspectVerdict::RetryRunning : SuspectVerdict::RetryAlone;
}

std::optional<Instant> CrashSuspects::lastCrash(Fingerprint request) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || found->second.crashes.empty())
        return std::nullopt;
    return found->second.crashes.back().at;
}

std::vector<SuspectReport> CrashSuspects::onRetryStarted(Fingerprint request, Instant now)
{
    TEASELSHORE_ASSERT(this->verdict(request, now) == SuspectVerdict::RetryAlone, "second retry of a crash suspect");
    this->findOrAddSuspect(request, now).retryStarted = now;
    return { { SuspectReportKind::RetryStarted, request, UpstreamId {}, AvailabilityZone {}, Duration {}, true } };
}

std::vector<SuspectReport> CrashSuspects::onRetryReturned(Fingerprint request, Instant now)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return {};
    found->second.retryStarted.reset();
    found->second.changedAt = now;
    return { { SuspectReportKind::RetryReturned, request, UpstreamId {}, AvailabilityZone {}, Duration {}, true } };
}

std::vector<SuspectReport> CrashSuspects::clear(Fingerprint request, Instant now)
{
    if (!this->isKnownSuspect(request))
        return {};
    this->applyCleared(request, now, now);
    return { { SuspectReportKind::Cleared, request, UpstreamId {}, AvailabilityZone {}, Duration {}, true } };
}

void CrashSuspects::onPeerReports(const std::vector<SuspectReport>& reports, Instant now)
{
    for (const SuspectReport& report : reports)
        this->applyReport(report, now);
}

std::vector<SuspectReport> CrashSuspects::reports(Instant now, Duration within) const
{
    std::vector<SuspectReport> result;
    for (const auto& [request, suspect] : this->suspects) {
        // The filter uses the last crash, since repeated reports update changedAt.
        if (!suspect.crashes.empty() && now - suspect.crashes.back().at > within)
            continue;
        if (suspect.retryStarted) {
            result.push_back({ SuspectReportKind::RetryStarted, request, UpstreamId {}, AvailabilityZone {},
                now - *suspect.retryStarted, true });
        }
        if (suspect.clearedAt) {
            result.push_back({ SuspectReportKind::Cleared, request, UpstreamId {}, AvailabilityZone {},
                now - *suspect.clearedAt, true });
        }
        for (const Crash& crash : suspect.crashes) {
            result.push_back(
                { SuspectReportKind::Crash, request, crash.upstream, crash.zone, now - crash.at, crash.alone });
        }
    }
    return result;
}

void CrashSuspects::onTick(Instant now)
{
    std::erase_if(this->excused, [&](const auto& entry) { return now - entry.second > tombstoneExpiry; });
    for (auto& [request, suspect] : this->suspects) {
        if (suspect.clearedAt && now - *suspect.clearedAt > tombstoneExpiry)
            suspect.clearedAt.reset();
    }
    std::erase_if(this->suspects, [&](const auto& entry) {
        const Suspect& suspect = entry.second;
        const Duration expiry
            = this->isRejected(suspect) ? this->settings.rejectedExpiry : this->settings.suspectExpiry;
        return suspect.isEmpty() || now - suspect.changedAt > expiry;
    });
}

bool CrashSuspects::isKnownSuspect(Fingerprint request) const
{
    const auto found = this->suspects.find(request);
    return found != this->suspects.end() && !found->second.crashes.empty();
}

bool CrashSuspects::isExcused(const UpstreamId& upstream, Instant at) const
{
    const auto found = this->excused.find(upstream);
    return found != this->excused.end() && distance(found->second, at) <= this->settings.zoneLossWindow;
}

bool CrashSuspects::isZoneLost(const Zone& zone, Instant at) const
{
    const auto recent = std::count_if(zone.failures.begin(), zone.failures.end(),
        [&](const UpstreamFailure& failure) { return distance(failure.at, at) <= this->settings.zoneLossWindow; });
    std::size_t needed = this->settings.zoneLossUpstreams;
    if (zone.upstreams > 0)
        needed = std::min(needed, std::max<std::size_t>(2, zone.upstreams));
    return static_cast<std::size_t>(recent) >= needed;
}

CrashSuspects::Suspect& CrashSuspects::findOrAddSuspect(Fingerprint request, Instant now)
{
    const auto found = this->suspects.find(request);
    if (found != this->suspects.end()) {
        found->second.changedAt = now;
        return found->second;
    }
    if (this->suspects.size() >= this->settings.maximumSuspects)
        this->evict();
    Suspect& suspect = this->suspects[request];
    suspect.changedAt = now;
    return suspect;
}

bool CrashSuspects::isSameFailure(const Suspect& suspect, const Crash& known, const Crash& crash)
{
    if (known.upstream != crash.upstream || known.alone != crash.alone)
        return false;
    // A lone retry that started after the known crash crashed a new process of the upstream. If that counted as the
    // same failure, the retry would stay marked as running, and each repetition would wait until its deadline.
    if (suspect.retryStarted && known.at < *suspect.retryStarted && *suspect.retryStarted <= crash.at)
        return false;
    return distance(known.at, crash.at) <= sameFailureWindow;
}

void CrashSuspects::addCrash(Fingerprint request, const Crash& crash, Instant now)
{
    Suspect& suspect = this->findOrAddSuspect(request, now);
    if (suspect.clearedAt && crash.at <= *suspect.clearedAt)
        return;
    for (const Crash& known : suspect.crashes) {
        if (isSameFailure(suspect, known, crash))
            return;
    }
    suspect.crashes.push_back(crash);
    std::sort(suspect.crashes.begin(), suspect.crashes.end(),
        [](const Crash& first, const Crash& second) { return first.at < second.at; });
}

void CrashSuspects::addFailure(Zone& zone, const UpstreamId& upstream, Instant at) const
{
    std::erase_if(zone.failures, [&](const UpstreamFailure& failure) {
        return failure.upstream == upstream || failure.at + 2 * this->settings.zoneLossWindow < at;
    });
    zone.failures.push_back({ upstream, at });
}

void CrashSuspects::excuse(const UpstreamId& upstream, Instant at)
{
    Instant& known = this->excused.try_emplace(upstream, at).first->second;
    known = std::max(known, at);
    for (auto& [request, suspect] : this->suspects) {
        const auto removed = std::erase_if(suspect.crashes, [&](const Crash& crash) {
            return crash.upstream == upstream && distance(crash.at, at) <= this->settings.zoneLossWindow;
        });
        // The lone retry gave no evidence, so it may run again.
        if (removed > 0)
            suspect.retryStarted.reset();
    }
    std::erase_if(this->suspects, [](const auto& entry) { return entry.second.isEmpty(); });
}

std::vector<SuspectReport> CrashSuspects::excuseLostZone(const AvailabilityZone& name, Instant at, Instant now)
{
    std::vector<SuspectReport> reports;
    for (const UpstreamFailure& failure : this->zones[name].failures) {
        if (distance(failure.at, at) > this->settings.zoneLossWindow)
            continue;
        this->excuse(failure.upstream, failure.at);
        reports.push_back({ SuspectReportKind::Excused, 0, failure.upstream, name, now - failure.at, false });
    }
    return reports;
}

void CrashSuspects::applyReport(const SuspectReport& report, Instant now)
{
    const Instant at = now - report.age;
    switch (report.kind) {
    case SuspectReportKind::Crash: {
        if (this->isExcused(report.upstream, at)) {
            // The lone retry gave no evidence, so it may run again.
            if (report.alone)
                this->onRetryReturned(report.request, now);
            return;
        }
        this->addCrash(report.request, Crash { report.upstream, report.zone, at, report.alone }, now);
        Zone& zone = this->zones[report.zone];
        if (report.alone)
            return;
        this->addFailure(zone, report.upstream, at);
        if (this->isZoneLost(zone, at))
            this->excuseLostZone(report.zone, at, now);
        return;
    }
    case SuspectReportKind::RetryStarted: {
        Suspect& suspect = this->findOrAddSuspect(report.request, now);
        if (!suspect.clearedAt || *suspect.clearedAt < at)
            suspect.retryStarted = at;
        return;
    }
    case SuspectReportKind::RetryReturned:
        this->findOrAddSuspect(report.request, now).retryStarted.reset();
        return;
    case SuspectReportKind::Cleared:
        this->applyCleared(report.request, at, now);
        return;
    case SuspectReportKind::Excused:
        this->excuse(report.upstream, at);
        return;
    }
}

void CrashSuspects::applyCleared(Fingerprint request, Instant at, Instant now)
{
    Suspect& suspect = this->findOrAddSuspect(request, now);
    suspect.clearedAt = std::max(suspect.clearedAt.value_or(at), at);
    std::erase_if(suspect.crashes, [&](const Crash& crash) { return crash.at <= at; });
    if (suspect.retryStarted && *suspect.retryStarted <= at)
        suspect.retryStarted.reset();
}

void CrashSuspects::evict()
{
    const auto victim
        = std::min_element(this->suspects.begin(), this->suspects.end(), [&](const auto& first, const auto& second) {
              const bool firstRejected = this->isRejected(first.second);
              const bool secondRejected = this->isRejected(second.second);
              if (firstRejected != secondRejected)
                  return secondRejected;
              return first.second.changedAt < second.second.changedAt;
          });
    this->suspects.erase(victim);
}

} // namespace teaselshore
