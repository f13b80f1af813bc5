#include "crash_checks.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    constexpr Duration checkTimeout = std::chrono::milliseconds(1000);

    std::size_t countInZone(const Configuration& configuration, const AvailabilityZone& zone)
    {
        std::size_t count = 0;
        for (const ServiceConfiguration& service : configuration.services) {
            count += static_cast<std::size_t>(std::count_if(service.upstreams.begin(), service.upstreams.end(),
                [&](const UpstreamConfiguration& upstream) { return upstream.zone == zone; }));
        }
        return count;
    }

} // namespace

CrashChecks::CrashChecks(NodeState& state)
    : state(state)
{
}

void CrashChecks::onBroken(const UpstreamId& upstream, BrokenRequest request, Instant now)
{
    this->checkOf(upstream, now).requests.push_back(std::move(request));
}

void CrashChecks::onRefused(const UpstreamId& upstream, Instant now) { this->checkOf(upstream, now); }

CrashChecks::Check& CrashChecks::checkOf(const UpstreamId& upstream, Instant now)
{
    const auto [position, added] = this->checks.try_emplace(upstream);
    if (!added)
        return position->second;
    position->second.startedAt = now;
    position->second.number = ++this->lastNumber;
    if (const auto* found = this->state.findUpstream(upstream))
        this->state.commands.emplace_back(QueryLoad { upstream, found->address, false, this->lastNumber });
    return position->second;
}

std::vector<CrashCheckResult> CrashChecks::onLoadQueried(const LoadQueried& result, Instant now)
{
    const auto found = this->checks.find(result.upstream);
    if (found == this->checks.end() || found->second.number != result.check)
        return {};
    return { this->conclude(result.upstream, !result.report.has_value(), now) };
}

std::vector<CrashCheckResult> CrashChecks::onTick(Instant now)
{
    std::vector<UpstreamId> expired;
    for (const auto& [upstream, check] : this->checks) {
        if (now - check.startedAt >= checkTimeout)
            expired.push_back(upstream);
    }
    std::vector<CrashCheckResult> results;
    results.reserve(expired.size());
    for (const UpstreamId& upstream : expired)
        results.push_back(this->conclude(upstream, true, now));
    return results;
}

CrashCheckResult CrashChecks::conclude(const UpstreamId& upstream, bool crashed, Instant now)
{
    auto node = this->checks.extract(upstream);
    CrashCheckResult result { upstream, crashed, std::move(node.mapped().requests) };
    if (crashed)
        this->reportCrash(result, now);
    return result;
}

void CrashChecks::reportCrash(const CrashCheckResult& result, Instant now)
{
    const auto status = this->state.router.status(result.upstream, now);
    this->state.router.onUpstreamDead(result.upstream, now);
    if (!status || this->state.settings.mutations.skipCrashSuspects)
        return;

    UpstreamCrash crash;
    crash.upstream = result.upstream;
    crash.zone = status->zone;
    crash.upstreamsInZone = countInZone(*this->state.configuration, status->zone);
    crash.hadReclaimNotice = status->state == UpstreamState::Leaving;
    std::set<Fingerprint> running;
    for (const BrokenRequest& request : result.requests)
        running.insert(request.suspect);
    // Connections that have not broken yet belong to the same dead process.
    for (const AttemptId attempt : this->state.attempts.onUpstream(result.upstream))
        running.insert(this->state.attempts.find(attempt)->suspect);
    crash.running.assign(running.begin(), running.end());

    if (status->state != UpstreamState::Dead) {
        ++this->state.statistics.upstreamCrashes;
        this->state.log(LogLevel::Warning, "upstream process died",
            { { "upstream", result.upstream.value() }, { "requests", std::to_string(crash.running.size()) },
                { "announced", crash.hadReclaimNotice ? "yes" : "no" } });
    }
    this->state.broadcastSuspects(this->state.suspects.onUpstreamCrashed(crash, now));
}

} // namespace teaselshore
