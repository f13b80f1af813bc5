#include "refusal_exchange.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    constexpr Duration reportPeriod = std::chrono::milliseconds(500);
    /// Time after a refusal for which the results of an upstream are sent. Nodes that it accepts send theirs too, so
    /// that peers learn the rate of refusals and not only that there are some.
    constexpr Duration interestTime = std::chrono::seconds(3);
    /// Peers that get a report; a sample is enough for an estimate.
    constexpr std::size_t maxReceivers = 32;
    constexpr std::size_t maxUpstreams = 128;
    /// Maximum number of results of one upstream that a report can plausibly contain.
    constexpr std::uint32_t maxResults = 1000;

} // namespace

RefusalExchange::RefusalExchange(EntryState& state)
    : state(state)
{
}

void RefusalExchange::onAccepted(const UpstreamId& upstream, Instant)
{
    const auto found = this->recent.find(upstream);
    if (found != this->recent.end())
        ++found->second.accepted;
}

void RefusalExchange::onRefused(const UpstreamId& upstream, Instant now)
{
    if (this->recent.size() >= maxUpstreams && !this->recent.contains(upstream))
        return;
    Results& results = this->recent[upstream];
    ++results.refused;
    results.refusedAt = now;
}

void RefusalExchange::onReport(const RefusalReport& report, Instant now)
{
    for (const RefusalReport::Results& results : report.results) {
        const std::uint32_t refused = std::min(results.refused, maxResults);
        this->state.router.onPeerResults(results.upstream, std::min(results.accepted, maxResults), refused, now);
        if (refused == 0 || (this->recent.size() >= maxUpstreams && !this->recent.contains(results.upstream)))
            continue;
        this->recent[results.upstream].refusedAt = now;
    }
}

void RefusalExchange::onTick(Instant now)
{
    if (this->recent.empty() || now < this->nextReport)
        return;
    this->nextReport = now + reportPeriod;
    RefusalReport report;
    for (auto& [upstream, results] : this->recent) {
        if (results.accepted > 0 || results.refused > 0)
            report.results.push_back({ upstream, results.accepted, results.refused });
        results.accepted = 0;
        results.refused = 0;
    }
    std::erase_if(this->recent, [now](const auto& entry) { return now - entry.second.refusedAt >= interestTime; });
    if (report.results.empty())
        return;
    for (const std::string& address : this->state.borrower.samplePeers(maxReceivers))
        this->state.commands.emplace_back(SendEntryMessage { address, report });
}

} // namespace teaselshore
