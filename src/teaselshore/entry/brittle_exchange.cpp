#include "brittle_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    /// Time after which nodes tell each other the load of an upstream although it has changed little.
    constexpr Duration loadReportPeriod = std::chrono::milliseconds(200);
    /// Peers are told at once of a load that has changed by one in this many slots.
    constexpr std::uint32_t changeDivisor = 8;
    /// Time between two messages with the statements in effect, for nodes that have just started.
    constexpr Duration statementPeriod = std::chrono::seconds(1);
    /// Random peers that get such a message.
    constexpr std::size_t statementReceivers = 8;
    /// Maximum number of refusals that a report of one upstream can plausibly contain.
    constexpr std::uint32_t maxRefusals = 1000;

    std::string formatAllowance(std::optional<double> allowance)
    {
        return allowance ? fmt::format("{}", *allowance) : "none";
    }

} // namespace

BrittleExchange::BrittleExchange(EntryState& state)
    : state(state)
    , upstreams(state.settings.host.node)
{
}

const RegisteredUpstream* BrittleExchange::find(const UpstreamId& upstream) const
{
    const auto instance = this->state.instances.find(upstream);
    return instance == this->state.instances.end() ? nullptr : this->state.directory.findInstance(instance->second);
}

void BrittleExchange::onSent(const UpstreamId& upstream, Instant now)
{
    if (const RegisteredUpstream* registered = this->find(upstream))
        this->upstreams.onSent(*registered, now);
}

void BrittleExchange::onResponse(const UpstreamId& upstream, const ResponseFacts& facts, Instant now)
{
    const RegisteredUpstream* registered = this->find(upstream);
    if (!registered || facts.wrongInstance || !(facts.isStamped || facts.notRun))
        return;
    BrittlenessReport report;
    const ServiceName service = registered->service;
    if (this->applyStatement(service, facts.refusalAllowance, "response", now))
        report.services.push_back({ service, facts.refusalAllowance, Duration::zero() });
    const std::optional<std::uint32_t> outstanding
        = facts.load ? std::optional(facts.load->running + facts.load->waiting) : std::nullopt;
    if (outstanding)
        this->upstreams.onLoad(upstream, *outstanding, now);
    if (facts.notRun)
        this->upstreams.onRefused(upstream, 1, now);
    const std::optional<double> allowance = this->upstreams.allowance(service);
    if (allowance && (facts.notRun || this->isNews(*registered, outstanding, now))) {
        // For peers that have just started.
        if (report.services.empty())
            report.services.push_back({ service, allowance, now - this->upstreams.statedAt(service).value_or(now) });
        report.upstreams.push_back({ upstream, facts.notRun ? 1U : 0U, outstanding });
        if (outstanding)
            this->told[upstream] = { *outstanding, now };
    }
    if (!report.services.empty() || !report.upstreams.empty())
        this->tellPeers(report);
}

void BrittleExchange::onCompleted(const UpstreamId& upstream, Instant now)
{
    if (const RegisteredUpstream* registered = this->find(upstream))
        this->upstreams.onCompleted(*registered, now);
}

void BrittleExchange::onReport(const std::string& sender, const BrittlenessReport& report, Instant now)
{
    for (const BrittlenessReport::Service& service : report.services)
        this->applyStatement(service.service, service.allowance, sender, now - service.age);
    for (const BrittlenessReport::Upstream& upstream : report.upstreams) {
        if (!this->find(upstream.upstream))
            continue;
        if (upstream.refused > 0)
            this->upstreams.onRefused(upstream.upstream, std::min(upstream.refused, maxRefusals), now);
        if (!upstream.outstanding)
            continue;
        this->upstreams.onLoad(upstream.upstream, *upstream.outstanding, now);
        this->told[upstream.upstream] = { *upstream.outstanding, now };
    }
}

void BrittleExchange::onWaiting(const ServiceName& service)
{
    if (this->upstreams.allowance(service))
        ++this->state.statistics.heldRequests;
}

void BrittleExchange::onTick(Instant now)
{
    this->upstreams.setNodes(this->state.liveNodes);
    this->upstreams.onTick(now);
    std::erase_if(this->told, [now](const auto& item) { return now - item.second.at >= loadReportPeriod; });
    if (this->state.statistics.brittleServices == 0 || now < this->nextStatements)
        return;
    this->nextStatements = now + statementPeriod;
    const BrittlenessReport report = this->statements(now);
    for (const std::string& address : this->state.borrower.samplePeers(statementReceivers))
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

std::vector<UpstreamId> BrittleExchange::closedUpstreams(const ServiceName& service, Instant now) const
{
    if (!this->upstreams.allowance(service))
        return {};
    std::vector<RegisteredUpstream> ofService = this->state.directory.upstreams();
    std::erase_if(ofService, [&](const RegisteredUpstream& upstream) {
        return upstream.service != service || !this->state.instances.contains(upstream.id());
    });
    return this->upstreams.closedUpstreams(ofService, now);
}

bool BrittleExchange::applyStatement(
    const ServiceName& service, std::optional<double> allowance, const std::string& source, Instant at)
{
    const std::optional<double> previous = this->upstreams.allowance(service);
    if (!this->upstreams.onStated(service, allowance, at))
        return false;
    this->state.statistics.brittleServices = this->upstreams.brittleServices().size();
    this->state.log(LogLevel::Info, "refusals that the upstreams of a service bear changed",
        { { "service", service.value() }, { "perSecond", formatAllowance(allowance) },
            { "previous", formatAllowance(previous) }, { "source", source } });
    return true;
}

bool BrittleExchange::isNews(
    const RegisteredUpstream& upstream, std::optional<std::uint32_t> outstanding, Instant now) const
{
    const auto found = this->told.find(upstream.id());
    if (!outstanding || found == this->told.end() || now - found->second.at >= loadReportPeriod)
        return outstanding.has_value();
    const std::uint32_t last = found->second.outstanding;
    const std::uint32_t change = std::max(last, *outstanding) - std::min(last, *outstanding);
    return change > upstream.slots / changeDivisor;
}

void BrittleExchange::tellPeers(const BrittlenessReport& report)
{
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

BrittlenessReport BrittleExchange::statements(Instant now) const
{
    BrittlenessReport report;
    for (const ServiceName& service : this->upstreams.brittleServices())
        report.services.push_back(
            { service, this->upstreams.allowance(service), now - this->upstreams.statedAt(service).value_or(now) });
    return report;
}

} // namespace teaselshore
