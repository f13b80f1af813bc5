#include "crash_detector.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    /// Time in which a crash can be confirmed by the registration of a new process: it starts within some seconds, and
    /// the entry of the old one expires after three missed heartbeats.
    constexpr Duration confirmationWindow = std::chrono::seconds(10);
    /// Time between a refused check and the next one, in which a node that loses its links loses all of them.
    constexpr Duration settleTime = std::chrono::milliseconds(100);
    /// Upstreams that are checked at a time to learn whether this node reaches any.
    constexpr std::size_t othersToCheck = 2;
    /// Maximum number of keys recorded for one upstream. Some upstreams have several hundred slots.
    constexpr std::size_t maxKeysPerUpstream = 1024;

    std::string_view verdictName(CrashVerdict verdict)
    {
        switch (verdict) {
        case CrashVerdict::Clear:
            return "clear";
        case CrashVerdict::Suspect:
            return "suspect";
        case CrashVerdict::Rejected:
            return "rejected";
        }
        return "clear";
    }

} // namespace

CrashDetector::CrashDetector(EntryState& state)
    : state(state)
{
}

const RegisteredUpstream* CrashDetector::findRegistered(const UpstreamId& upstream) const
{
    return this->state.directory.find(upstream);
}

void CrashDetector::onConnectionBroken(
    const UpstreamId& upstream, const std::vector<Fingerprint>& keys, Instant startedAt, Instant now)
{
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    const RegisteredUpstream* registered = this->findRegistered(upstream);
    if (!wallClock || !registered || registered->draining || this->state.exclusions.isLeaving(upstream)
        || this->state.links.areLost())
        return;
    UnconfirmedCrash& unconfirmed = this->unconfirmedCrashes[upstream];
    unconfirmed.instance = registered->instance;
    for (const Fingerprint key : keys) {
        if (unconfirmed.attemptsByKey.size() >= maxKeysPerUpstream && !unconfirmed.attemptsByKey.contains(key))
            continue;
        const Duration start = *wallClock - (now - startedAt);
        BrokenAttempts& attempts
            = unconfirmed.attemptsByKey.try_emplace(key, BrokenAttempts { start, *wallClock }).first->second;
        attempts.startedAt = std::min(attempts.startedAt, start);
        attempts.brokenAt = *wallClock;
    }
    unconfirmed.until = now + confirmationWindow;
    if (!unconfirmed.isChecking)
        unconfirmed.isChecking = this->state.checkUpstream(*registered, now);
}

void CrashDetector::onChecked(const UpstreamChecked& result, Instant now)
{
    this->decideRefusedChecks(now);
    const auto found = this->unconfirmedCrashes.find(result.upstream);
    if (found == this->unconfirmedCrashes.end())
        return;
    found->second.isChecking = false;
    switch (result.state) {
    case UpstreamChecked::State::Ended:
        if (!result.isReached) {
            found->second.refusedAt = now;
            this->decideRefusedChecks(now);
            return;
        }
        this->confirmCrash(result.upstream, now);
        return;
    case UpstreamChecked::State::Answered:
        found->second.hasAnswered = true;
        return;
    case UpstreamChecked::State::Unknown:
        return;
    }
}

bool CrashDetector::isRefusedAlone(const UpstreamId& upstream, const UnconfirmedCrash& unconfirmed) const
{
    if (this->state.links.areLost() || !unconfirmed.refusedAt)
        return false;
    if (this->state.instances.size() <= 1)
        return true;
    const std::optional<Instant> since = unconfirmed.checkedAgainAt;
    return since && *unconfirmed.refusedAt >= *since && this->state.links.hasReachedAnotherSince(upstream, *since);
}

void CrashDetector::onLinksLost()
{
    if (!this->unconfirmedCrashes.empty())
        this->state.log(LogLevel::Info, "broken connections are put down to the lost links of this node",
            { { "upstreams", std::to_string(this->unconfirmedCrashes.size()) } });
    this->unconfirmedCrashes.clear();
}

void CrashDetector::checkOthers(const UpstreamId& upstream, Instant now)
{
    std::vector<const RegisteredUpstream*> others;
    for (const auto& [id, instance] : this->state.instances) {
        const RegisteredUpstream* registered = this->findRegistered(id);
        // All nodes may check at the same time, which would be too much for a cold upstream.
        const bool isUsable = !this->unconfirmedCrashes.contains(id) && !this->state.limits.findCold(id);
        if (id != upstream && registered && isUsable)
            others.push_back(registered);
    }
    for (std::size_t count = 0; count < othersToCheck && !others.empty(); ++count) {
        const auto chosen = others.begin() + static_cast<std::ptrdiff_t>(this->state.random.below(others.size()));
        this->state.checkUpstream(**chosen, now);
        others.erase(chosen);
    }
}

void CrashDetector::checkAgain(const UpstreamId& upstream, UnconfirmedCrash& unconfirmed, Instant now)
{
    const RegisteredUpstream* registered = this->findRegistered(upstream);
    if (!registered)
        return;
    unconfirmed.refusedAt.reset();
    unconfirmed.checkedAgainAt = now;
    unconfirmed.isChecking = this->state.checkUpstream(*registered, now);
    this->checkOthers(upstream, now);
}

void CrashDetector::decideRefusedChecks(Instant now)
{
    std::vector<UpstreamId> ended;
    for (auto& [upstream, unconfirmed] : this->unconfirmedCrashes) {
        if (this->isRefusedAlone(upstream, unconfirmed))
            ended.push_back(upstream);
        // The links to the others may be about to break, too.
        else if (unconfirmed.refusedAt && now - *unconfirmed.refusedAt >= settleTime)
            this->checkAgain(upstream, unconfirmed, now);
    }
    for (const UpstreamId& upstream : ended)
        this->confirmCrash(upstream, now);
}

void CrashDetector::onUpstreams(Instant now)
{
    std::vector<UpstreamId> ended;
    for (const auto& [upstream, unconfirmed] : this->unconfirmedCrashes) {
        if (this->findRegistered(upstream))
            continue;
        if (this->state.directory.findInstance(unconfirmed.instance) || !unconfirmed.hasAnswered)
            ended.push_back(upstream);
    }
    for (const UpstreamId& upstream : ended)
        this->confirmCrash(upstream, now);
}

void CrashDetector::confirmCrash(const UpstreamId& upstream, Instant now)
{
    const auto unconfirmed = this->unconfirmedCrashes.extract(upstream);
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    if (!wallClock)
        return;
    ++this->state.statistics.upstreamCrashes;
    std::size_t suspects = 0;
    for (const auto& [key, attempts] : unconfirmed.mapped().attemptsByKey) {
        const RequestCrash crash { key, upstream, attempts.startedAt, attempts.brokenAt, false };
        if (!this->history.add(crash, *wallClock))
            continue;
        this->unsent.push_back(crash);
        const CrashVerdict verdict = this->history.verdict(key);
        if (verdict == CrashVerdict::Clear)
            continue;
        ++suspects;
        this->state.log(LogLevel::Warning, "requests with this key may crash their upstreams",
            { { "key", fmt::format("{:016x}", key) }, { "verdict", std::string(verdictName(verdict)) },
                { "crashes", std::to_string(this->history.count(key)) }, { "upstream", upstream.value() } });
    }
    this->state.log(LogLevel::Warning, "upstream crashed while running requests",
        { { "upstream", upstream.value() }, { "keys", std::to_string(unconfirmed.mapped().attemptsByKey.size()) },
            { "suspects", std::to_string(suspects) } });
    if (suspects == 0)
        return;
    this->reportDue = true;
    this->sendCrashReport();
}

void CrashDetector::onRunWithoutCrash(const std::vector<Fingerprint>& keys)
{
    bool wasSuspect = false;
    for (const Fingerprint key : keys) {
        for (auto& [upstream, unconfirmed] : this->unconfirmedCrashes)
            unconfirmed.attemptsByKey.erase(key);
        const CrashVerdict before = this->history.verdict(key);
        const std::vector<RequestCrash> voided = this->history.clear(key);
        this->unsent.insert(this->unsent.end(), voided.begin(), voided.end());
        if (before == CrashVerdict::Clear)
            continue;
        wasSuspect = true;
        this->state.log(LogLevel::Info, "requests with this key are no longer suspected of crashing their upstreams",
            { { "key", fmt::format("{:016x}", key) }, { "verdict", std::string(verdictName(before)) } });
    }
    if (wasSuspect)
        this->sendCrashReport();
}

void CrashDetector::onCrashes(const std::vector<RequestCrash>& crashes, Instant now)
{
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    if (!wallClock)
        return;
    for (const RequestCrash& crash : crashes) {
        const CrashVerdict before = this->history.verdict(crash.key);
        if (!this->history.add(crash, *wallClock))
            continue;
        const CrashVerdict after = this->history.verdict(crash.key);
        if (after == before)
            continue;
        this->state.log(LogLevel::Info, "another node changed the crash verdict on a key",
            { { "key", fmt::format("{:016x}", crash.key) }, { "verdict", std::string(verdictName(after)) },
                { "crashes", std::to_string(this->history.count(crash.key)) } });
    }
}

void CrashDetector::onTick(Instant now)
{
    std::erase_if(this->unconfirmedCrashes, [now](const auto& entry) { return entry.second.until <= now; });
    this->decideRefusedChecks(now);
    if (const auto wallClock = this->state.wallClockTime(now))
        this->history.expire(*wallClock);
    this->sendCrashReport();
}

bool CrashDetector::mayRetryAfterBrokenConnection(const std::vector<Fingerprint>& keys) const
{
    // Adds one for the crash that may have broken the connection, which is not confirmed yet. Other requests share the
    // remaining keys, so that a single crash says little about these.
    const bool contentMayRun = this->history.count(keys.front()) + 1 < CrashHistorySettings().suspectAfter;
    return contentMayRun && this->history.verdict(keys) == CrashVerdict::Clear;
}

Duration CrashDetector::remainingRejection(const std::vector<Fingerprint>& keys, Instant now) const
{
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    return wallClock ? this->history.remaining(keys, *wallClock) : Duration(0);
}

void CrashDetector::tellCrashes(const std::string& peerAddress) const
{
    std::vector<RequestCrash> crashes = this->reportedCrashes();
    if (!crashes.empty())
        this->state.commands.emplace_back(SendEntryMessage { peerAddress, CrashReport { std::move(crashes) } });
}

void CrashDetector::sendCrashReport()
{
    if (this->unsent.empty())
        return;
    const CrashReport report { std::exchange(this->unsent, {}) };
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

} // namespace teaselshore
