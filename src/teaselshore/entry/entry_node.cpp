#include "teaselshore/entry/entry_node.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "brittle_exchange.hpp"
#include "cold_exchange.hpp"
#include "configuration_relay.hpp"
#include "crash_detector.hpp"
#include "entry_duties.hpp"
#include "entry_requests.hpp"
#include "entry_state.hpp"
#include "evacuation_exchange.hpp"
#include "limit_exchange.hpp"
#include "platform_contacts.hpp"
#include "refusal_exchange.hpp"
#include "teaselshore/reliability/stop_schedule.hpp"
#include "upstream_routing.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t requestIdDigits = 20;
    /// Time between two rounds of periodic work.
    constexpr Duration housekeepingPeriod = std::chrono::milliseconds(100);
    /// A clock reading that differs from the expected time by more than this must be confirmed before it is used.
    constexpr Duration clockTolerance = std::chrono::milliseconds(300);
    /// Time that a changed clock must persist before it is used. Clock steps that are reverted last only some seconds.
    constexpr Duration clockConfirmationTime = std::chrono::seconds(20);

} // namespace

struct EntryNode::Impl {
    explicit Impl(EntryNodeSettings settings)
        : state(std::move(settings))
        , configurations(state)
        , contacts(state)
        , crashes(state)
        , refusals(state)
        , limits(state)
        , brittle(state)
        , evacuations(state)
        , cold(state)
        , duties(state, crashes, limits)
        , requests(state, duties.rollouts(), crashes, refusals, limits, brittle, evacuations, cold)
    {
    }

    void handle(CallerRequestArrived& event, Instant now) { this->requests.onArrived(std::move(event), now); }
    void handle(CallerGone& event, Instant now) { this->requests.onCallerGone(event.request, now); }
    void handle(UpstreamStreamStarted& event, Instant now) { this->requests.onStreamStarted(event, now); }
    void handle(UpstreamResponded& event, Instant now) { this->requests.onResponded(std::move(event), now); }
    void handle(AttemptFailed& event, Instant now) { this->requests.onFailed(event, now); }
    void handle(UpstreamChecked& event, Instant now);
    void handle(EntryConfigurationRead& event, Instant now);
    void handle(ConfigurationWatchChanged& event, Instant now) { this->configurations.onWatchChanged(event, now); }
    void handle(PlatformAnswered&, Instant now) { this->contacts.onAnswered(now); }
    void handle(PlatformReturned& event, Instant now) { this->contacts.onReturned(event, now); }
    void handle(PlatformRestored& event, Instant now);
    void handle(UpstreamsListed& event, Instant now);
    void handle(UpstreamChanged& event, Instant now);
    void handle(UpstreamRemoved& event, Instant now);
    void handle(UpstreamReplaced& event, Instant now);
    void handle(RolloutsListed& event, Instant now);
    void handle(EvacuationStarted& event, Instant now)
    {
        this->applyEvacuations(this->evacuations.onStarted(event, now), "platform", now);
    }
    void handle(EvacuationEnded& event, Instant now)
    {
        this->applyEvacuations(this->evacuations.onEnded(event, now), "platform", now);
    }
    void handle(EvacuationsListed& event, Instant now)
    {
        this->applyEvacuations(this->evacuations.onListed(event, now), "platform", now);
    }
    void handle(EvacuationWatchChanged& event, Instant now) { this->evacuations.onWatchChanged(event, now); }
    void handle(NodeReportsRead& event, Instant now);
    void handle(NodeReportWritten& event, Instant) { this->duties.onReportWritten(event); }
    void handle(EntryMessageReceived& event, Instant now);
    void receive(const std::string& senderAddress, const QuotaLoanRequest& request, Instant now);
    void receive(const std::string& senderAddress, const QuotaLoan& loan, Instant now)
    {
        this->requests.onQuotaLoan(senderAddress, loan, now);
    }
    void receive(const std::string&, const QuotaReturn& returned, Instant)
    {
        this->state.quotas.refund(returned.workspace, returned.amount);
    }
    void receive(const std::string&, const RelayedReport& relayed, Instant) { this->duties.onRelayed(relayed); }
    void receive(const std::string&, const CrashReport& report, Instant now)
    {
        this->crashes.onCrashes(report.crashes, now);
    }
    void receive(const std::string&, const RefusalReport& report, Instant now) { this->refusals.onReport(report, now); }
    void receive(const std::string& senderAddress, const LimitReport& report, Instant now)
    {
        this->limits.onReport(senderAddress, report, now);
    }
    void receive(const std::string& senderAddress, const BrittlenessReport& report, Instant now)
    {
        this->brittle.onReport(senderAddress, report, now);
    }
    void receive(const std::string& senderAddress, const EvacuationReport& report, Instant now)
    {
        this->applyEvacuations(this->evacuations.onReport(senderAddress, report, now), senderAddress, now);
    }
    void receive(const std::string& senderAddress, const ColdReport& report, Instant now)
    {
        this->cold.onReport(senderAddress, report, now);
    }
    void receive(const std::string& senderAddress, const NewerConfigurationRequest& request, Instant now)
    {
        this->configurations.onRequest(senderAddress, request);
        // The peer has just started, or doubts the platform, which may be back from an older copy.
        this->duties.rollouts().tellDecisions(senderAddress);
        this->crashes.tellCrashes(senderAddress);
        this->limits.tellLimits(senderAddress, now);
    }
    void receive(const std::string& senderAddress, const ConfigurationCopy& copy, Instant)
    {
        this->configurations.onCopy(senderAddress, copy);
    }
    void receive(const std::string& senderAddress, const PlatformContactRequest&, Instant now)
    {
        this->contacts.onRequest(senderAddress, now);
    }
    void receive(const std::string& senderAddress, const PlatformContact& contact, Instant now)
    {
        this->contacts.onContact(senderAddress, contact, now);
    }
    void receive(const std::string&, const RolloutDecision& decision, Instant now)
    {
        if (this->duties.rollouts().onDecision(decision))
            this->applyRouting(now);
    }
    void handle(CloudCallEnded& event, Instant now);
    void handle(ObjectResult& event, Instant now);
    void handle(ClockRead& event, Instant now);
    void handle(EntryStopRequested& event, Instant now);
    void handle(EntryTick& event, Instant now);

    void applyRouting(Instant now);
    /// @brief Logs the changes and applies them to the routing, before anything else is sent.
    void applyEvacuations(const EvacuatedZones::Changes& changes, const std::string& source, Instant now);
    void updateReadiness();
    /// @brief Acts on lost and returned links to the upstreams.
    void updateLinks(Instant now);
    void checkLinks(Instant now);
    void advanceShutdown(bool isTick, Instant now);

    EntryState state;
    ConfigurationRelay configurations;
    PlatformContacts contacts;
    CrashDetector crashes;
    RefusalExchange refusals;
    LimitExchange limits;
    BrittleExchange brittle;
    EvacuationExchange evacuations;
    ColdExchange cold;
    EntryDuties duties;
    EntryRequests requests;
    bool ready = false;
    bool knewEvacuations = false;
    /// Set during a planned stop.
    std::optional<StopSchedule> stop;
    bool acceptingStopped = false;
    bool stopped = false;
    Instant nextHousekeeping {};
    /// Clock offset that awaits confirmation, and when it was first seen.
    std::optional<std::pair<Duration, Instant>> pendingClockOffset;
};

EntryNode::EntryNode(EntryNodeSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings)))
{
}

EntryNode::~EntryNode() = default;

RequestId EntryNode::nextRequestId() { return RequestId("q-" + this->impl->state.random.hex(requestIdDigits)); }

EntryCommands EntryNode::handle(EntryEvent event, Instant now)
{
    const bool isTick = std::holds_alternative<EntryTick>(event);
    std::visit([&](auto& payload) { this->impl->handle(payload, now); }, event);
    if (this->impl->state.routingChanged)
        this->impl->applyRouting(now);
    this->impl->updateLinks(now);
    this->impl->updateReadiness();
    this->impl->advanceShutdown(isTick, now);
    return std::exchange(this->impl->state.commands, {});
}

Instant EntryNode::nextTick() const
{
    const Instant next = std::min(this->impl->nextHousekeeping, this->impl->requests.nextTick());
    const bool isStopping = this->impl->stop && !this->impl->stopped;
    return isStopping ? std::min(next, this->impl->stop->requestsEnd()) : next;
}

RequestForecast EntryNode::forecast(const CallerRequest& request, Instant now)
{
    return this->impl->requests.forecast(request, now);
}

EntryStatistics EntryNode::statistics() const
{
    EntryStatistics statistics = this->impl->state.statistics;
    statistics.openRequests = this->impl->requests.openCount();
    statistics.waitingRequests = this->impl->requests.waitingCount();
    statistics.upstreams = this->impl->state.instances.size();
    statistics.limitedUpstreams = this->impl->state.limits.limitedUpstreams().size();
    statistics.evacuatedZones = this->impl->state.evacuated.count();
    statistics.requestsInEvacuatedZones = this->impl->requests.countRunningInEvacuatedZones();
    statistics.coldUpstreams = this->impl->state.limits.coldCount();
    statistics.liveNodes = this->impl->state.liveNodes;
    statistics.configurationVersion = this->impl->state.table ? this->impl->state.table->configuration().version : 0;
    return statistics;
}

void EntryNode::Impl::handle(UpstreamChecked& event, Instant now)
{
    const bool isReached = event.isReached || event.state == UpstreamChecked::State::Answered;
    this->state.links.onChecked(event.upstream, isReached, now);
    this->cold.onChecked(event, now);
    this->crashes.onChecked(event, now);
}

void EntryNode::Impl::updateLinks(Instant now)
{
    const bool lost = this->state.links.areLost();
    if (lost == this->state.statistics.linksLost)
        return;
    this->state.statistics.linksLost = lost;
    const std::optional<Instant> reached = this->state.links.lastReached();
    this->state.log(lost ? LogLevel::Warning : LogLevel::Info,
        lost ? "links to all upstreams lost; peers get the requests" : "links to upstreams are back",
        { { "secondsSinceContact", reached ? fmt::format("{:.2f}", toSeconds(now - *reached)) : "" } });
    if (lost) {
        this->crashes.onLinksLost();
        this->requests.onLinksLost(now);
    }
}

void EntryNode::Impl::checkLinks(Instant now)
{
    if (!this->state.links.areChecksDue(this->state.instances.size(), now))
        return;
    std::vector<UpstreamId> upstreams;
    for (const auto& [upstream, instance] : this->state.instances) {
        if (!this->state.limits.findCold(upstream))
            upstreams.push_back(upstream);
    }
    // All nodes may check at the same time, so that cold upstreams are checked only if there are no others.
    if (upstreams.empty()) {
        for (const auto& [upstream, instance] : this->state.instances)
            upstreams.push_back(upstream);
    }
    for (const UpstreamId& upstream : this->state.links.takeChecks(std::move(upstreams), now)) {
        if (const RegisteredUpstream* registered = this->state.directory.find(upstream))
            this->state.checkUpstream(*registered, now);
    }
}

void EntryNode::Impl::handle(EntryConfigurationRead& event, Instant now)
{
    const std::uint64_t version = event.configuration.version;
    const std::uint64_t current = this->state.table ? this->state.table->configuration().version : 0;
    if (this->state.table && version <= current) {
        if (version < current)
            this->state.log(LogLevel::Warning, "older configuration ignored",
                { { "version", std::to_string(version) }, { "inEffect", std::to_string(current) } });
        return;
    }
    this->state.table = std::make_shared<const RouteTable>(std::move(event.configuration));
    this->configurations.onConfiguration(std::move(event.text));
    const EntryConfiguration& configuration = this->state.table->configuration();
    this->state.quotas.onWorkspaces(configuration.workspaces, now);
    this->state.commands.emplace_back(ApplyCallerLimits { configuration.limits });
    this->state.log(LogLevel::Info, "configuration in effect",
        { { "version", std::to_string(version) }, { "previous", std::to_string(current) },
            { "routes", std::to_string(configuration.routes.size()) } });
    this->cold.onConfiguration(now);
    this->applyRouting(now);
}

void EntryNode::Impl::handle(PlatformRestored&, Instant now)
{
    ++this->state.statistics.platformRestores;
    this->configurations.onPlatformRestored(now);
    this->state.directory.onPlatformRestored(now);
    this->state.evacuated.onPlatformRestored(now);
    this->duties.onPlatformRestored(now);
}

void EntryNode::Impl::handle(UpstreamsListed& event, Instant now)
{
    this->cold.onEntries(event.upstreams, now);
    if (this->state.directory.onListed(event.upstreams, now))
        this->applyRouting(now);
}

void EntryNode::Impl::handle(UpstreamChanged& event, Instant now)
{
    this->cold.onEntry(event.upstream, now);
    if (!this->state.directory.onChanged(event.upstream))
        return;
    this->state.log(LogLevel::Info, "upstream changed",
        { { "upstream", event.upstream.id().value() }, { "service", event.upstream.service.value() },
            { "zone", event.upstream.zone.value() }, { "version", event.upstream.version.value() },
            { "draining", event.upstream.draining ? "true" : "false" } });
    this->applyRouting(now);
}

void EntryNode::Impl::handle(UpstreamRemoved& event, Instant now)
{
    if (!this->state.directory.onRemoved(event.instance, now))
        return;
    this->state.log(LogLevel::Info, "upstream removed", { { "instance", event.instance } });
    this->applyRouting(now);
}

void EntryNode::Impl::handle(UpstreamReplaced& event, Instant now)
{
    if (!this->state.directory.onReplaced(event.instance, now))
        return;
    this->state.log(
        LogLevel::Info, "entry of an upstream describes none any longer", { { "instance", event.instance } });
    this->applyRouting(now);
}

void EntryNode::Impl::handle(RolloutsListed& event, Instant now)
{
    if (this->duties.rollouts().onOrders(event, now))
        this->applyRouting(now);
}

void EntryNode::Impl::handle(NodeReportsRead& event, Instant now) { this->duties.onReports(event.reports, now); }

void EntryNode::Impl::handle(EntryMessageReceived& event, Instant now)
{
    std::visit([&](const auto& message) { this->receive(event.senderAddress, message, now); }, event.message);
}

void EntryNode::Impl::receive(const std::string& senderAddress, const QuotaLoanRequest& request, Instant now)
{
    const double lent = this->state.quotas.lend(request.workspace, request.amount, now);
    this->state.commands.emplace_back(SendEntryMessage { senderAddress, QuotaLoan { request.loan, lent } });
}

void EntryNode::Impl::handle(CloudCallEnded& event, Instant now) { this->duties.onCloudResult(event, now); }

void EntryNode::Impl::handle(ObjectResult& event, Instant now) { this->duties.onObjectResult(event, now); }

void EntryNode::Impl::handle(ClockRead& event, Instant now)
{
    const Duration offset = event.sinceEpoch - now.time_since_epoch();
    const auto differs
        = [offset](Duration other) { return offset > other + clockTolerance || other > offset + clockTolerance; };
    if (!this->state.clockOffset || !differs(*this->state.clockOffset)) {
        this->state.clockOffset = offset;
        this->pendingClockOffset.reset();
        return;
    }
    if (!this->pendingClockOffset || differs(this->pendingClockOffset->first)) {
        this->pendingClockOffset = { offset, now };
        return;
    }
    if (now - this->pendingClockOffset->second < clockConfirmationTime)
        return;
    this->state.log(LogLevel::Warning, "host clock changed",
        { { "byMs", std::to_string((offset - *this->state.clockOffset).count() / 1000) } });
    this->state.clockOffset = offset;
    this->pendingClockOffset.reset();
}

void EntryNode::Impl::applyRouting(Instant now)
{
    this->state.routingChanged = false;
    if (!this->state.table)
        return;
    std::vector<RegisteredUpstream> upstreams = this->state.directory.upstreams();
    for (RegisteredUpstream& upstream : upstreams) {
        upstream.draining = upstream.draining || this->state.exclusions.isLeaving(upstream.id())
            || this->state.evacuated.contains(upstream.zone);
    }
    this->state.instances = usableInstances(upstreams);
    if (this->state.instances.empty() && this->state.evacuated.count() > 0)
        this->state.links.onNoUpstreams();
    this->state.router.onConfiguration(
        routingConfiguration(this->state.table->configuration(), upstreams, this->state.settings.host), now);
    EntryRollouts& rollouts = this->duties.rollouts();
    rollouts.onUpstreams(now);
    this->crashes.onUpstreams(now);
    this->cold.onUpstreams(now);
    for (const VersionShare& share : versionShares(upstreams, rollouts.orders(), rollouts.unknownVersions()))
        this->state.router.setVersionShare(share.service, share.version, share.share);
    this->requests.onCapacityChanged(now);
}

void EntryNode::Impl::applyEvacuations(const EvacuatedZones::Changes& changes, const std::string& source, Instant now)
{
    for (const ZoneEvacuation& change : changes) {
        this->state.log(LogLevel::Warning, change.isEvacuated ? "zone evacuated" : "evacuation of a zone has ended",
            { { "zone", change.zone.value() }, { "source", source }, { "revision", std::to_string(change.revision) },
                { "ageMs", fmt::format("{:.0f}", toMilliseconds(now - change.since)) },
                { "running", std::to_string(this->requests.countRunningIn(change.zone)) } });
    }
    const bool isComplete = this->evacuations.isComplete();
    if (!changes.empty() || isComplete != std::exchange(this->knewEvacuations, isComplete))
        this->applyRouting(now);
}

void EntryNode::Impl::updateReadiness()
{
    const bool canServe
        = this->state.table && this->state.directory.hasSynced() && this->evacuations.isComplete() && !this->stop;
    if (canServe == this->ready)
        return;
    this->ready = canServe;
    this->state.commands.emplace_back(SetReady { canServe });
    this->state.log(LogLevel::Info, canServe ? "ready for requests" : "not ready for requests", {});
}

void EntryNode::Impl::handle(EntryStopRequested& event, Instant now)
{
    if (this->stop)
        return;
    const Instant receivedAt = std::min(event.receivedAt.value_or(now), now);
    this->stop = StopSchedule(receivedAt, now, this->state.settings.host.stopGrace);
    this->duties.stop();
    this->requests.onStopRequested(*this->stop);
    this->state.commands.emplace_back(AnnounceClose {});
    this->state.log(LogLevel::Info, "stopping",
        { { "openRequests", std::to_string(this->requests.openCount()) },
            { "lateMs", fmt::format("{:.1f}", toMilliseconds(now - receivedAt)) } });
}

void EntryNode::Impl::advanceShutdown(bool isTick, Instant now)
{
    if (!this->stop || this->stopped || now < this->stop->connectionsEnd())
        return;
    if (!this->acceptingStopped) {
        this->acceptingStopped = true;
        this->state.commands.emplace_back(StopAccepting {});
        return;
    }
    // A tick comes after what has arrived was read; after a pause, other events leave answers unread behind them.
    const bool gracePeriodOver = isTick && now >= this->stop->requestsEnd();
    if (this->requests.openCount() > 0 && !gracePeriodOver)
        return;
    this->stopped = true;
    const std::size_t open = this->requests.openCount();
    this->requests.endAll(now);
    this->duties.writeLastReport(now);
    this->state.log(LogLevel::Info, "stopped", { { "openRequests", std::to_string(open) } });
    this->state.commands.emplace_back(StopProcess { this->stop->processEnd() });
}

void EntryNode::Impl::handle(EntryTick&, Instant now)
{
    this->requests.onTick(now);
    if (now < this->nextHousekeeping)
        return;
    this->nextHousekeeping = now + housekeepingPeriod;
    this->state.router.onTick(now);
    this->checkLinks(now);
    this->configurations.onTick(now);
    this->crashes.onTick(now);
    this->refusals.onTick(now);
    this->limits.onTick(now);
    this->brittle.onTick(now);
    this->cold.onTick(now);
    this->state.exclusions.onTick(now);
    this->applyEvacuations(this->evacuations.onTick(now), "platform", now);
    const bool sharesChanged = this->duties.onTick(now);
    if (this->state.directory.onTick(now) || sharesChanged)
        this->applyRouting(now);
}

} // namespace teaselshore
