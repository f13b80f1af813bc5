#include "entry_rollouts.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    /// Number of reports that a node repeats, since the holder of the lease may miss some.
    constexpr std::size_t keptReports = 8;
    constexpr Duration reportPeriod = std::chrono::seconds(1);
    constexpr Duration retryDelay = std::chrono::milliseconds(400);
    /// Period of reads of the orders while one is open or this node holds the lease; most of them may be stale.
    constexpr Duration readPeriod = std::chrono::seconds(1);
    /// Time after which an order missing from the reads is dropped. A stale read can lack an order that was read
    /// before, and orders are not deleted while they are open.
    constexpr Duration missingOrderTimeout = std::chrono::seconds(10);
    /// Maximum wait for the order of a new version, long enough for a call to a slow platform. Without an answer, the
    /// version is assumed to need no rollout.
    constexpr Duration orderTimeout = std::chrono::seconds(3);

    VersionGuardSettings guardSettings()
    {
        VersionGuardSettings settings;
        settings.reportEvery = reportPeriod;
        return settings;
    }

    /// Returns the geometric mean of the latencies in milliseconds.
    std::string formatMean(const EvidenceCounts& counts)
    {
        if (counts.timed == 0)
            return "none";
        return fmt::format("{:.1f} over {}", 1000 * std::exp(counts.meanLog()), counts.timed);
    }

    RolloutStep::State toStepState(RolloutOrder::State state)
    {
        switch (state) {
        case RolloutOrder::State::Ordered:
        case RolloutOrder::State::Running:
            return RolloutStep::State::Running;
        case RolloutOrder::State::Complete:
            return RolloutStep::State::Complete;
        case RolloutOrder::State::RolledBack:
            return RolloutStep::State::RolledBack;
        }
        return RolloutStep::State::Running;
    }

    bool isOpen(const RolloutOrder& order)
    {
        return order.state == RolloutOrder::State::Ordered || order.state == RolloutOrder::State::Running;
    }

    RolloutOrder::State toOrderState(RolloutStep::State state)
    {
        switch (state) {
        case RolloutStep::State::Running:
            return RolloutOrder::State::Running;
        case RolloutStep::State::Complete:
            return RolloutOrder::State::Complete;
        case RolloutStep::State::RolledBack:
            return RolloutOrder::State::RolledBack;
        }
        return RolloutOrder::State::Running;
    }

} // namespace

EntryRollouts::EntryRollouts(EntryState& state, ObjectCallIds& ids)
    : state(state)
    , ids(ids)
    , guard(state.settings.id, guardSettings())
{
}

bool EntryRollouts::onOrders(const RolloutsListed& listed, Instant now)
{
    for (const RolloutOrder& order : listed.orders) {
        const auto found = this->knownOrders.find(order.service);
        if (found != this->knownOrders.end() && found->second.order.objectVersion > order.objectVersion)
            continue;
        if (found != this->knownOrders.end()) {
            const RolloutOrder& known = found->second.order;
            // A different target is a new rollout, for which earlier stops and decisions do not apply.
            if (known.target != order.target) {
                this->stoppedServices.erase(order.service);
                this->decisions.erase(order.service);
            } else if (eraOf(known.objectVersion) < eraOf(order.objectVersion)) {
                this->repeatDecision(known, order);
            }
        }
        this->knownOrders.insert_or_assign(order.service, KnownOrder { order, now });
    }
    std::erase_if(
        this->knownOrders, [now](const auto& entry) { return now - entry.second.seenAt > missingOrderTimeout; });
    std::vector<RolloutOrder> current;
    for (const auto& [service, entry] : this->knownOrders)
        current.push_back(entry.order);
    const bool wasAwaitingOrder = listed.isFresh && !std::exchange(this->versionsAwaitingOrder, {}).empty();
    if (current == this->platformOrders && !wasAwaitingOrder)
        return false;
    this->platformOrders = std::move(current);
    this->updatePairs();
    return true;
}

void EntryRollouts::repeatDecision(const RolloutOrder& known, const RolloutOrder& restored)
{
    if (known.state != RolloutOrder::State::Ordered)
        this->onDecision({ known.service, known.target, known.state, known.share });
    const auto decision = this->decisions.find(known.service);
    if (decision == this->decisions.end() || decision->second.target != known.target || !isOpen(restored))
        return;
    this->state.log(LogLevel::Warning,
        "rollout order was restored from an older copy; its decision is repeated to peers",
        { { "service", known.service.value() }, { "version", known.target.value() },
            { "share", fmt::format("{:.2f}", decision->second.share) } });
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, decision->second });
}

void EntryRollouts::onPlatformRestored(Instant now)
{
    for (auto& [service, rollout] : this->activeRollouts)
        rollout.lastWritten.reset();
    if (!this->knownOrders.empty())
        this->requestOrders(false, now);
}

bool EntryRollouts::onDecision(const RolloutDecision& decision)
{
    const auto found = this->decisions.find(decision.service);
    if (found != this->decisions.end() && found->second.target == decision.target) {
        const RolloutDecision& before = found->second;
        const bool isFinal = before.state != RolloutOrder::State::Running;
        // Decisions can arrive out of order; shares only grow, and a final state does not change.
        if (isFinal || (decision.state == RolloutOrder::State::Running && decision.share <= before.share))
            return false;
    }
    this->decisions.insert_or_assign(decision.service, decision);
    this->updatePairs();
    return true;
}

void EntryRollouts::tellDecisions(const std::string& peerAddress) const
{
    for (const auto& [service, decision] : this->decisions)
        this->state.commands.emplace_back(SendEntryMessage { peerAddress, decision });
}

void EntryRollouts::onUpstreams(Instant now)
{
    std::map<ServiceName, std::map<VersionName, std::size_t>> counts;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams())
        ++counts[upstream.service][upstream.version];
    std::erase_if(this->versionsSeenSince, [&counts](const auto& entry) {
        const auto service = counts.find(entry.first.service);
        return service == counts.end() || !service->second.contains(entry.first.version);
    });
    bool appeared = false;
    for (const auto& [service, versions] : counts) {
        const auto mostCommon = std::max_element(
            versions.begin(), versions.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        for (const auto& [version, count] : versions) {
            const ServiceVersion key { service, version };
            const bool isNew = this->versionsSeenSince.try_emplace(key, now).second;
            if (!isNew || version == mostCommon->first)
                continue;
            appeared = true;
            this->versionsAwaitingOrder.insert(key);
        }
    }
    if (appeared)
        this->requestOrders(false, now);
    this->updatePairs();
}

void EntryRollouts::requestOrders(bool mayBeStale, Instant now)
{
    this->nextRead = now + readPeriod;
    this->state.commands.emplace_back(ReadRollouts { mayBeStale });
}

std::optional<VersionPair> EntryRollouts::versionPair(const RolloutOrder& order) const
{
    std::map<VersionName, std::size_t> counts;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams()) {
        if (upstream.service == order.service && upstream.version != order.target)
            ++counts[upstream.version];
    }
    const auto mostCommon = std::max_element(
        counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (mostCommon == counts.end())
        return std::nullopt;
    return VersionPair { order.service, mostCommon->first, order.target, WallTime() };
}

void EntryRollouts::updatePairs()
{
    std::vector<VersionPair> pairs;
    this->effectiveOrders = this->platformOrders;
    for (RolloutOrder& order : this->effectiveOrders) {
        const auto decision = this->decisions.find(order.service);
        if (isOpen(order) && decision != this->decisions.end() && decision->second.target == order.target) {
            order.state = decision->second.state;
            order.share = std::max(order.share, decision->second.share);
        }
        if (this->stoppedServices.contains(order.service))
            order.state = RolloutOrder::State::RolledBack;
        const auto pair = isOpen(order) ? this->versionPair(order) : std::nullopt;
        if (pair)
            pairs.push_back(*pair);
    }
    this->guard.setRollouts(pairs);
}

bool EntryRollouts::isActive() const
{
    return std::any_of(this->platformOrders.begin(), this->platformOrders.end(), isOpen);
}

bool EntryRollouts::isActive(const ServiceName& service) const
{
    return std::any_of(this->platformOrders.begin(), this->platformOrders.end(),
        [&service](const RolloutOrder& order) { return order.service == service && isOpen(order); });
}

void EntryRollouts::onAttempt(const EndedEntryAttempt& attempt, Instant now)
{
    if (!this->isActive(attempt.service))
        return;
    const auto status = this->state.router.status(attempt.upstream, now);
    if (!status)
        return;
    AttemptEvidence evidence;
    evidence.service = attempt.service;
    evidence.version = status->version;
    evidence.upstream = attempt.upstream;
    evidence.cell = { attempt.route, ClassName(attempt.route.value()), loadBand(status->outstanding, status->limit) };
    evidence.end = attempt.end;
    evidence.latency = attempt.latency;
    this->execute(this->guard.onAttempt(evidence, now));
}

void EntryRollouts::execute(std::vector<GuardCommand> commands)
{
    for (GuardCommand& command : commands) {
        if (auto* report = std::get_if<SendVersionReport>(&command)) {
            this->recentReports.push_back(std::move(report->report));
            if (this->recentReports.size() > keptReports)
                this->recentReports.pop_front();
            continue;
        }
        const VersionEvidence& evidence = std::get<StopVersion>(command).evidence;
        this->state.log(LogLevel::Warning, "version stopped based on evidence of this node",
            { { "service", evidence.pair.service.value() }, { "version", evidence.pair.to.value() },
                { "reason", evidence.fault.describe() } });
        this->stoppedServices.insert(evidence.pair.service);
        this->state.router.stopVersion(evidence.pair.service, evidence.pair.to);
        this->sharesChanged = true;
        for (RolloutOrder& order : this->effectiveOrders) {
            if (order.service == evidence.pair.service)
                order.state = RolloutOrder::State::RolledBack;
        }
    }
}

std::vector<VersionReport> EntryRollouts::reports() const
{
    return { this->recentReports.begin(), this->recentReports.end() };
}

bool EntryRollouts::onTick(const LiveReports& reports, RolloutRole role, Instant now)
{
    const auto timedOut = std::erase_if(this->versionsAwaitingOrder, [&](const ServiceVersion& version) {
        const auto since = this->versionsSeenSince.find(version);
        return since == this->versionsSeenSince.end() || now - since->second > orderTimeout;
    });
    this->sharesChanged = this->sharesChanged || timedOut > 0;
    if ((role == RolloutRole::Holder || this->isActive() || !this->versionsAwaitingOrder.empty())
        && now >= this->nextRead)
        this->requestOrders(this->versionsAwaitingOrder.empty(), now);
    if (!this->isActive()) {
        this->recentReports.clear();
        this->activeRollouts.clear();
        return std::exchange(this->sharesChanged, false);
    }
    this->execute(this->guard.onTick(now));
    if (role != RolloutRole::None) {
        for (const RolloutOrder& order : this->platformOrders) {
            if (isOpen(order))
                this->advance(order, reports, role, now);
        }
    }
    return std::exchange(this->sharesChanged, false);
}

void EntryRollouts::collectEvidence(ActiveRollout& rollout, const LiveReports& reports, Instant now) const
{
    for (const NodeReport& report : reports) {
        for (const VersionReport& version : report.versions) {
            std::uint64_t& last = rollout.lastSequence[version.node];
            if (version.pair.service != rollout.pair.service || version.pair.to != rollout.pair.to
                || version.sequence <= last)
                continue;
            last = version.sequence;
            for (const EvidenceEntry& entry : version.entries) {
                rollout.history.add(entry, now);
                (entry.version == rollout.pair.to ? rollout.newCounts : rollout.oldCounts) += entry.counts;
                if (entry.version == rollout.pair.to)
                    rollout.responses += entry.counts.samples;
            }
            if (version.stopped && !rollout.isFaulty) {
                rollout.isFaulty = true;
                rollout.reason = fmt::format("{} at {}", version.stopped->fault.describe(), report.host);
            }
        }
    }
    const std::optional<VersionFault> fault = rollout.history.findFault(now);
    if (fault && !rollout.isFaulty) {
        rollout.isFaulty = true;
        rollout.reason = fault->describe();
    }
}

void EntryRollouts::advance(const RolloutOrder& order, const LiveReports& reports, RolloutRole role, Instant now)
{
    auto found = this->activeRollouts.find(order.service);
    if (found != this->activeRollouts.end() && found->second.pair.to != order.target) {
        this->activeRollouts.erase(found);
        found = this->activeRollouts.end();
    }
    if (found == this->activeRollouts.end()) {
        const std::optional<VersionPair> pair = this->versionPair(order);
        if (!pair)
            return;
        // A node that has just begun to judge does not know when the rollout started; the share shows its progress.
        ActiveRollout fresh { *pair, now, order.share, now, RolloutStep::State::Running, EvidenceHistory(*pair) };
        found = this->activeRollouts.emplace(order.service, std::move(fresh)).first;
    }
    ActiveRollout& rollout = found->second;
    this->adoptDecision(rollout, now);
    this->collectEvidence(rollout, reports, now);
    if (role == RolloutRole::Standby && !rollout.isFaulty)
        return;
    const std::vector<RegisteredUpstream> upstreams = this->state.directory.upstreams();
    RolloutProgress progress;
    progress.elapsed = now - rollout.startedAt;
    progress.total = order.duration;
    progress.share = rollout.share;
    progress.sinceChange = now - rollout.changedAt;
    progress.responses = rollout.responses;
    progress.responsesSinceChange = rollout.responses - rollout.responsesAtChange;
    progress.faulty = rollout.isFaulty || this->stoppedServices.contains(order.service);
    progress.available = std::any_of(upstreams.begin(), upstreams.end(), [&order](const RegisteredUpstream& upstream) {
        return upstream.service == order.service && upstream.version == order.target && !upstream.draining;
    });
    // A final state does not change, even before it is written to the platform.
    const RolloutStep step = rollout.state == RolloutStep::State::Running
        ? nextRolloutStep(progress)
        : RolloutStep { rollout.state, rollout.share };
    if (step.share != rollout.share || step.state != rollout.state) {
        rollout.share = step.share;
        rollout.state = step.state;
        rollout.changedAt = now;
        rollout.responsesAtChange = rollout.responses;
        this->announce(order, step);
        this->state.log(LogLevel::Info, "rollout advanced",
            { { "service", order.service.value() }, { "version", order.target.value() },
                { "share", fmt::format("{:.2f}", step.share) },
                { "state",
                    step.state == RolloutStep::State::Running        ? "running"
                        : step.state == RolloutStep::State::Complete ? "complete"
                                                                     : "rolled back" },
                { "responses", std::to_string(rollout.responses) }, { "reason", rollout.reason },
                { "oldMs", formatMean(rollout.oldCounts) }, { "newMs", formatMean(rollout.newCounts) } });
    }
    if (role == RolloutRole::Holder && rollout.lastWritten != step && !rollout.pendingCall
        && now >= rollout.nextAttempt)
        this->write(order, rollout);
}

void EntryRollouts::adoptDecision(ActiveRollout& rollout, Instant now) const
{
    const auto decision = this->decisions.find(rollout.pair.service);
    if (decision == this->decisions.end() || decision->second.target != rollout.pair.to
        || rollout.state != RolloutStep::State::Running)
        return;
    rollout.state = toStepState(decision->second.state);
    const double share = rollout.state == RolloutStep::State::Running ? std::max(rollout.share, decision->second.share)
                                                                      : decision->second.share;
    if (share == rollout.share)
        return;
    rollout.share = share;
    rollout.changedAt = now;
    rollout.responsesAtChange = rollout.responses;
}

void EntryRollouts::announce(const RolloutOrder& order, const RolloutStep& step)
{
    const RolloutDecision decision { order.service, order.target, toOrderState(step.state), step.share };
    this->sharesChanged = this->onDecision(decision) || this->sharesChanged;
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, decision });
}

void EntryRollouts::write(const RolloutOrder& order, ActiveRollout& rollout)
{
    const std::uint64_t call = this->ids.next();
    rollout.pendingCall = call;
    rollout.lastWritten = RolloutStep { rollout.state, rollout.share };
    this->cloudCalls.emplace(call, order.service);
    RolloutOrder written = order;
    written.state = toOrderState(rollout.state);
    written.share = rollout.share;
    // The orders read last may not include this node's own writes yet.
    written.objectVersion = std::max(order.objectVersion, rollout.objectVersion);
    this->state.commands.emplace_back(WriteRolloutState { call, std::move(written) });
}

void EntryRollouts::onCloudResult(const CloudCallEnded& result, Instant now)
{
    const auto call = this->cloudCalls.extract(result.call);
    const auto found = this->activeRollouts.find(call.mapped());
    if (found == this->activeRollouts.end())
        return;
    ActiveRollout& rollout = found->second;
    rollout.pendingCall.reset();
    const bool isWritten = result.outcome == ObjectOutcome::Ok;
    this->state.log(isWritten ? LogLevel::Info : LogLevel::Warning,
        isWritten ? "state of rollout written" : "state of rollout not written",
        { { "service", rollout.pair.service.value() }, { "version", rollout.pair.to.value() },
            { "share", fmt::format("{:.2f}", rollout.share) },
            { "objectVersion", std::to_string(isWritten ? result.version : rollout.objectVersion) },
            { "isConflict", result.outcome == ObjectOutcome::Conflict ? "true" : "false" } });
    if (isWritten) {
        rollout.objectVersion = std::max(rollout.objectVersion, result.version);
        return;
    }
    // Retried with a fresh read of the order: the operator may have changed it, or the answer may have been lost.
    rollout.lastWritten.reset();
    rollout.nextAttempt = now + retryDelay;
    this->requestOrders(false, now);
}

} // namespace teaselshore
