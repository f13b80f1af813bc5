#include "cold_exchange.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr std::size_t maxUpstreams = 4096;
    /// Time for which the upstream of a removed entry is remembered.
    constexpr Duration missingRetention = std::chrono::minutes(10);
    /// Time after the last failed connection for which an upstream is limited without an answer. A node without turns
    /// would otherwise never try it again.
    constexpr Duration unreachableTime = std::chrono::minutes(2);
    /// Upstreams of a zone that must fail, with no answer from there, until all of them count as unreachable: more than
    /// half of them, within these bounds. With a third of the upstreams of a zone gone, six fail in a row in one of 700
    /// cases.
    constexpr std::size_t minDarkZoneFailures = 3;
    constexpr std::size_t maxDarkZoneFailures = 6;
    /// Difference between two statements that is due to the time that they take to arrive.
    constexpr Duration statementTolerance = std::chrono::seconds(1);

    std::string formatRemaining(Instant until, Instant now)
    {
        return fmt::format("{:.0f}", toMilliseconds(std::max(until - now, Duration::zero())));
    }

} // namespace

ColdExchange::ColdExchange(EntryState& state)
    : state(state)
{
}

const EntryService* ColdExchange::coldService(const ServiceName& name) const
{
    return this->coldServices.contains(name) ? this->state.table->configuration().findService(name) : nullptr;
}

void ColdExchange::onConfiguration(Instant now)
{
    this->coldServices.clear();
    for (const EntryService& service : this->state.table->configuration().services) {
        if (service.coldRate > 0 && service.coldTime > Duration::zero())
            this->coldServices.insert(service.name);
    }
    // Entries of before the configuration are kept, since it may tell that their upstreams are cold.
    if (this->isUsed()) {
        for (const RegisteredUpstream& known : this->state.directory.upstreams()) {
            if (!this->upstreams.contains(known.id()))
                this->onEntry(known, now);
        }
    }
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.basis == Basis::Start)
            this->applyStart(upstream, now);
        this->update(id, upstream, now);
    }
    std::erase_if(this->upstreams, [this](const auto& item) { return !this->coldService(item.second.service); });
}

void ColdExchange::onEntries(const std::vector<RegisteredUpstream>& entries, Instant now)
{
    for (const RegisteredUpstream& entry : entries)
        this->onEntry(entry, now);
}

void ColdExchange::onEntry(const RegisteredUpstream& entry, Instant now)
{
    if (this->state.table && !this->coldService(entry.service))
        return;
    const UpstreamId id = entry.id();
    if (this->upstreams.size() >= maxUpstreams && !this->upstreams.contains(id))
        return;
    const auto [found, isNew] = this->upstreams.try_emplace(id);
    Upstream& upstream = found->second;
    const bool isReturning = std::exchange(upstream.missingSince, std::nullopt).has_value();
    const std::uint64_t version = entry.coldFor.objectVersion;
    // A list repeats what was read before.
    const bool isRepeated = !isNew && version != 0 && version == upstream.objectVersion;
    upstream.service = entry.service;
    upstream.zone = entry.zone;
    upstream.instance = entry.instance;
    upstream.startedAt = entry.startedAt;
    upstream.objectVersion = version;
    if (!isRepeated && entry.coldFor.left) {
        this->applyStatement(id, upstream, *entry.coldFor.left, now, "entry", now);
        return;
    }
    if (isReturning)
        this->presume(upstream, "entry that was removed", now);
    else if (!isRepeated && upstream.basis == Basis::Start)
        this->applyStart(upstream, now);
    else if (!isRepeated && upstream.source == "entry") {
        // The entry stated a time before and does so no longer.
        upstream.basis = Basis::Start;
        this->applyStart(upstream, now);
    }
    this->update(id, upstream, now);
}

void ColdExchange::applyStart(Upstream& upstream, Instant now)
{
    const EntryService* service = this->coldService(upstream.service);
    if (!service)
        return;
    upstream.source = "start";
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    this->awaitsClock = this->awaitsClock || !wallClock;
    const Duration end = std::chrono::milliseconds(upstream.startedAt) + service->coldTime;
    upstream.coldUntil = now + (wallClock ? std::min(end - *wallClock, service->coldTime) : service->coldTime);
}

void ColdExchange::presume(Upstream& upstream, std::string source, Instant now)
{
    const EntryService* service = this->coldService(upstream.service);
    upstream.basis = Basis::Presumption;
    upstream.source = std::move(source);
    upstream.coldUntil = now + (service ? service->coldTime : Duration::zero());
    upstream.learnedAt = now;
    upstream.isCheckDue = true;
}

bool ColdExchange::applyStatement(
    const UpstreamId& id, Upstream& upstream, Duration left, Instant statedAt, const std::string& source, Instant now)
{
    const Instant until = now + left;
    const bool wasCold = this->state.limits.findCold(id) != nullptr;
    const bool isCold = left > Duration::zero();
    const Duration difference = until > upstream.coldUntil ? until - upstream.coldUntil : upstream.coldUntil - until;
    const bool isNews
        = wasCold != isCold || (isCold && (upstream.basis != Basis::Statement || difference > statementTolerance));
    upstream.basis = Basis::Statement;
    upstream.source = source;
    upstream.coldUntil = until;
    upstream.learnedAt = statedAt;
    upstream.isUnreachable = false;
    upstream.isCheckDue = false;
    this->update(id, upstream, now);
    return isNews;
}

void ColdExchange::update(const UpstreamId& id, const Upstream& upstream, Instant now)
{
    const EntryService* service = this->coldService(upstream.service);
    const bool isCold = upstream.coldUntil > now;
    std::vector<std::pair<std::string, std::string>> fields { { "upstream", id.value() },
        { "source", upstream.source } };
    if (!service || !isCold || upstream.missingSince) {
        if (this->state.limits.endCold(id) && !upstream.missingSince)
            this->state.log(LogLevel::Info, "upstream is warm", std::move(fields));
        return;
    }
    const ColdLimit limit { upstream.service, upstream.instance, service->coldRate, upstream.coldUntil };
    if (!this->state.limits.setCold(id, limit, this->state.wallClockTime(now).value_or(Duration::zero())))
        return;
    fields.emplace_back("remainingMs", formatRemaining(upstream.coldUntil, now));
    fields.emplace_back("perSecond", fmt::format("{}", service->coldRate));
    this->state.log(LogLevel::Info, "upstream is cold", std::move(fields));
}

void ColdExchange::onUpstreams(Instant now)
{
    for (auto& [id, upstream] : this->upstreams) {
        const RegisteredUpstream* entry = this->state.directory.findInstance(upstream.instance);
        if ((entry && entry->startedAt == upstream.startedAt) || upstream.missingSince)
            continue;
        upstream.missingSince = now;
        this->update(id, upstream, now);
    }
}

void ColdExchange::onUnreachable(const UpstreamId& id, Instant now)
{
    const auto found = this->upstreams.find(id);
    if (!this->isUsed() || found == this->upstreams.end())
        return;
    const Upstream& failed = found->second;
    this->markUnreachable(id, found->second, "broken connections", now);
    std::set<UpstreamId>& failedInZone = this->failedByZone[{ failed.service, failed.zone }];
    failedInZone.insert(id);
    if (failedInZone.size() < minDarkZoneFailures)
        return;
    const auto isInZone = [&failed](const Upstream& upstream) {
        return upstream.service == failed.service && upstream.zone == failed.zone && !upstream.missingSince;
    };
    const auto known = static_cast<std::size_t>(std::count_if(this->upstreams.begin(), this->upstreams.end(),
        [&isInZone](const auto& item) { return isInZone(item.second); }));
    if (failedInZone.size() < std::clamp(known / 2 + 1, minDarkZoneFailures, maxDarkZoneFailures))
        return;
    for (auto& [other, upstream] : this->upstreams) {
        if (isInZone(upstream) && !upstream.isUnreachable)
            this->markUnreachable(other, upstream, "broken connections in its zone", now);
    }
}

void ColdExchange::markUnreachable(const UpstreamId& id, Upstream& upstream, std::string source, Instant now)
{
    const bool isCheckDue = upstream.isCheckDue || !upstream.isUnreachable;
    this->presume(upstream, std::move(source), now);
    upstream.isUnreachable = true;
    // One check on each loss; an upstream that stays away is tried by requests.
    upstream.isCheckDue = isCheckDue;
    upstream.coldUntil += unreachableTime;
    this->update(id, upstream, now);
}

void ColdExchange::onResponse(const UpstreamId& id, const ResponseFacts& facts, Instant now)
{
    if (!this->isUsed() || facts.wrongInstance)
        return;
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return;
    Upstream& upstream = found->second;
    if (!this->failedByZone.empty())
        this->failedByZone.erase({ upstream.service, upstream.zone });
    if (facts.coldFor) {
        if (this->applyStatement(id, upstream, *facts.coldFor, now, "response", now))
            this->changed.insert(id);
        return;
    }
    if (!upstream.isUnreachable)
        return;
    upstream.isUnreachable = false;
    this->presume(upstream, "answer after broken connections", now);
    this->update(id, upstream, now);
}

void ColdExchange::onChecked(const UpstreamChecked& result, Instant now)
{
    if (result.state == UpstreamChecked::State::Answered) {
        ResponseFacts facts;
        facts.coldFor = result.coldFor;
        this->onResponse(result.upstream, facts, now);
    } else if (!result.isReached && result.state == UpstreamChecked::State::Ended) {
        this->onUnreachable(result.upstream, now);
    }
}

void ColdExchange::onReport(const std::string& sender, const ColdReport& report, Instant now)
{
    for (const ColdReport::Statement& statement : report.statements) {
        const auto found = this->upstreams.find(statement.upstream);
        const Instant statedAt = now - statement.age;
        if (found == this->upstreams.end() || statedAt <= found->second.learnedAt)
            continue;
        this->applyStatement(statement.upstream, found->second, statement.left, statedAt, sender, now);
    }
}

void ColdExchange::onTick(Instant now)
{
    if (!this->isUsed())
        return;
    if (this->awaitsClock && this->state.wallClockTime(now)) {
        this->awaitsClock = false;
        for (auto& [id, upstream] : this->upstreams) {
            if (upstream.basis != Basis::Start)
                continue;
            this->applyStart(upstream, now);
            this->update(id, upstream, now);
        }
    }
    for (const UpstreamId& id : this->state.limits.endExpiredCold(now))
        this->state.log(LogLevel::Info, "upstream is warm", { { "upstream", id.value() }, { "source", "expiry" } });
    std::erase_if(this->upstreams, [now](const auto& item) {
        return item.second.missingSince && now - *item.second.missingSince > missingRetention;
    });
    this->checkPresumed(now);
    this->sendReport(now);
}

void ColdExchange::checkPresumed(Instant now)
{
    for (auto& [id, upstream] : this->upstreams) {
        const bool isDue = upstream.isCheckDue && upstream.coldUntil > now;
        if (!isDue || !this->state.instances.contains(id) || this->state.nextTurn(id, now) > now)
            continue;
        const RegisteredUpstream* entry = this->state.directory.findInstance(upstream.instance);
        if (!entry || entry->id() != id)
            continue;
        upstream.isCheckDue = false;
        this->state.checkUpstream(*entry, now);
    }
}

void ColdExchange::sendReport(Instant now)
{
    if (this->changed.empty())
        return;
    ColdReport report;
    for (const UpstreamId& id : std::exchange(this->changed, {})) {
        const auto found = this->upstreams.find(id);
        if (found == this->upstreams.end() || found->second.basis != Basis::Statement)
            continue;
        const Upstream& upstream = found->second;
        const Duration left = std::max(upstream.coldUntil - now, Duration::zero());
        report.statements.push_back({ id, left, now - upstream.learnedAt });
    }
    if (report.statements.empty())
        return;
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

} // namespace teaselshore
