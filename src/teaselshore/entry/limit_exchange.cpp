#include "limit_exchange.hpp"

#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    std::string formatLimit(const std::optional<double>& perSecond)
    {
        return perSecond ? fmt::format("{}", *perSecond) : "none";
    }

} // namespace

LimitExchange::LimitExchange(EntryState& state)
    : state(state)
{
}

void LimitExchange::onResponse(const UpstreamId& upstream, const ResponseFacts& facts, Instant sentAt, Instant now)
{
    const StatedLimit* known = this->state.limits.find(upstream);
    const bool endsLimit = !facts.limit && known && known->perSecond && sentAt > known->statedAt && !facts.wrongInstance
        && (facts.isStamped || facts.notRun);
    if (!facts.limit && !endsLimit)
        return;
    if (this->apply(upstream, { facts.limit, now, "response" }, now))
        this->changed.insert(upstream);
}

void LimitExchange::onReport(const std::string& sender, const LimitReport& report, Instant now)
{
    for (const LimitStatement& statement : report.statements)
        this->apply(statement.upstream, { statement.perSecond, now - statement.age, sender }, now);
}

void LimitExchange::onNodeReports(const std::vector<NodeReport>& reports, Instant now)
{
    for (const NodeReport& report : reports) {
        for (const LimitStatement& statement : report.limits) {
            if (!this->state.limits.find(statement.upstream))
                this->apply(statement.upstream, { statement.perSecond, now - statement.age, report.host }, now);
        }
    }
}

void LimitExchange::onTick(Instant now)
{
    this->state.limits.onTick(now);
    if (this->changed.empty())
        return;
    LimitReport report;
    for (const UpstreamId& upstream : std::exchange(this->changed, {})) {
        if (const StatedLimit* stated = this->state.limits.find(upstream))
            report.statements.push_back({ upstream, stated->perSecond, now - stated->statedAt });
    }
    for (const std::string& address : this->state.peerAddresses)
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

void LimitExchange::tellLimits(const std::string& peerAddress, Instant now) const
{
    std::vector<LimitStatement> statements = this->statements(now);
    if (!statements.empty())
        this->state.commands.emplace_back(SendEntryMessage { peerAddress, LimitReport { std::move(statements) } });
}

std::vector<LimitStatement> LimitExchange::statements(Instant now) const
{
    std::vector<LimitStatement> result;
    for (const UpstreamId& upstream : this->state.limits.limitedUpstreams()) {
        const StatedLimit& stated = *this->state.limits.find(upstream);
        result.push_back({ upstream, stated.perSecond, now - stated.statedAt });
    }
    return result;
}

bool LimitExchange::apply(const UpstreamId& upstream, const StatedLimit& stated, Instant now)
{
    const StatedLimit* known = this->state.limits.find(upstream);
    const std::optional<double> previous = known ? known->perSecond : std::nullopt;
    if (!this->state.limits.onStated(upstream, stated, this->state.wallClockTime(now).value_or(Duration::zero())))
        return false;
    this->state.log(LogLevel::Info, "limit of an upstream changed",
        { { "upstream", upstream.value() }, { "perSecond", formatLimit(stated.perSecond) },
            { "previous", formatLimit(previous) }, { "source", stated.source },
            { "ageMs", fmt::format("{:.0f}", toMilliseconds(now - stated.statedAt)) } });
    return true;
}

} // namespace teaselshore
