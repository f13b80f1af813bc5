#include "teaselshore/control/version_guard.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teaselshore {

namespace {

    constexpr std::size_t maxRefusals = 256;

    /// After this many samples, only some successes trigger a comparison, since one more hardly changes its result.
    constexpr std::uint64_t alwaysComparedSamples = 64;
    constexpr std::uint64_t samplesPerComparison = 8;

    bool isEvidence(AttemptEnd end)
    {
        return end == AttemptEnd::Succeeded || end == AttemptEnd::Failed || end == AttemptEnd::TimedOut
            || end == AttemptEnd::Refused;
    }

} // namespace

VersionGuard::VersionGuard(NodeId self, VersionGuardSettings settings)
    : self(std::move(self))
    , settings(settings)
{
}

void VersionGuard::setRollouts(const std::vector<VersionPair>& pairs)
{
    std::map<ServiceName, MonitoredRollout> kept;
    for (const VersionPair& pair : pairs) {
        const auto found = this->rollouts.find(pair.service);
        if (found != this->rollouts.end() && found->second.history.pair() == pair)
            kept.insert(this->rollouts.extract(found));
        else
            kept.insert_or_assign(pair.service,
                MonitoredRollout { EvidenceHistory(pair, this->settings.comparison), {}, {}, {}, 0, 0, {} });
    }
    this->rollouts = std::move(kept);
}

std::vector<GuardCommand> VersionGuard::onAttempt(const AttemptEvidence& attempt, Instant now)
{
    const auto found = this->rollouts.find(attempt.service);
    if (found == this->rollouts.end() || !isEvidence(attempt.end))
        return {};
    if (attempt.end != AttemptEnd::Refused)
        return this->addAttempt(found->second, attempt, now);
    if (found->second.refusals.size() < maxRefusals)
        found->second.refusals.push_back({ attempt, now });
    return {};
}

void VersionGuard::onUpstreamLost(const UpstreamId& upstream)
{
    for (auto& [service, rollout] : this->rollouts)
        std::erase_if(rollout.refusals, [&](const Refusal& refusal) { return refusal.attempt.upstream == upstream; });
}

std::vector<GuardCommand> VersionGuard::onPeerEvidence(const VersionEvidence& evidence)
{
    const auto found = this->rollouts.find(evidence.pair.service);
    if (found == this->rollouts.end() || found->second.history.pair() != evidence.pair || found->second.stopped)
        return {};
    found->second.stopped = evidence;
    return { StopVersion { evidence, false } };
}

std::vector<GuardCommand> VersionGuard::onTick(Instant now)
{
    std::vector<GuardCommand> commands;
    for (auto& [service, rollout] : this->rollouts) {
        const auto due = std::partition(rollout.refusals.begin(), rollout.refusals.end(),
            [&](const Refusal& refusal) { return now - refusal.at < this->settings.refusalDelay; });
        const std::vector<Refusal> dueRefusals(due, rollout.refusals.end());
        rollout.refusals.erase(due, rollout.refusals.end());
        for (const Refusal& refusal : dueRefusals) {
            auto more = this->addAttempt(rollout, refusal.attempt, now);
            std::move(more.begin(), more.end(), std::back_inserter(commands));
        }
        if (now < rollout.nextReport)
            continue;
        if (!rollout.stopped) {
            auto more = this->stopOnFault(rollout, rollout.history.findFault(now));
            std::move(more.begin(), more.end(), std::back_inserter(commands));
        }
        rollout.nextReport = now + this->settings.reportEvery;
        if (!rollout.unreported.empty() || rollout.stopped)
            commands.emplace_back(SendVersionReport { this->report(rollout) });
    }
    return commands;
}

const VersionEvidence* VersionGuard::stopped(const ServiceName& service) const
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() || !found->second.stopped ? nullptr : &*found->second.stopped;
}

std::vector<GuardCommand> VersionGuard::addAttempt(
    MonitoredRollout& rollout, const AttemptEvidence& attempt, Instant now)
{
    EvidenceCounts counts;
    if (attempt.end == AttemptEnd::Succeeded)
        counts.addSuccess(attempt.latency);
    else
        counts.addFailure();
    const std::pair key(attempt.cell, attempt.version);
    if (rollout.unreported.size() < 2 * EvidenceHistory::maxCells || rollout.unreported.contains(key))
        rollout.unreported[key] += counts;
    rollout.history.add({ attempt.cell, attempt.version, counts }, now);
    if (rollout.stopped || attempt.version != rollout.history.pair().to)
        return {};
    rollout.newSamples++;
    const bool comparisonDue
        = rollout.newSamples <= alwaysComparedSamples || rollout.newSamples % samplesPerComparison == 0;
    if (attempt.end == AttemptEnd::Succeeded && !comparisonDue)
        return {};
    return this->stopOnFault(rollout, rollout.history.findFault(attempt.cell, now));
}

std::vector<GuardCommand> VersionGuard::stopOnFault(
    MonitoredRollout& rollout, const std::optional<VersionFault>& fault) const
{
    if (!fault)
        return {};
    rollout.stopped = VersionEvidence { rollout.history.pair(), this->self, *fault };
    return { StopVersion { *rollout.stopped, true } };
}

VersionReport VersionGuard::report(MonitoredRollout& rollout) const
{
    VersionReport report { rollout.history.pair(), this->self, ++rollout.sequence, {}, rollout.stopped };
    for (const auto& [key, counts] : rollout.unreported)
        report.entries.push_back({ key.first, key.second, counts });
    rollout.unreported.clear();
    return report;
}

} // namespace teaselshore
