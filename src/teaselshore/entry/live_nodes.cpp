#include "teaselshore/entry/live_nodes.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

LiveNodes::LiveNodes(std::string self, Duration silenceTimeout)
    : self(std::move(self))
    , silenceTimeout(silenceTimeout)
{
}

void LiveNodes::onReports(std::vector<NodeReport> reports, Instant now)
{
    this->reportsRead = true;
    for (NodeReport& report : reports) {
        NodeEntry& entry = this->entries[report.host];
        if (entry.report.process == report.process && report.number <= entry.report.number)
            continue;
        entry.report = std::move(report);
        entry.changedAt = now;
    }
}

std::vector<std::string> LiveNodes::hosts(Instant now) const
{
    return this->hostsReportedWithin(this->silenceTimeout, now);
}

std::vector<std::string> LiveNodes::hostsReportedWithin(Duration time, Instant now) const
{
    std::vector<std::string> result;
    for (const auto& [host, entry] : this->entries) {
        if (host != this->self && now - entry.changedAt < time)
            result.push_back(host);
    }
    result.push_back(this->self);
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t LiveNodes::decodeDetails(Instant now)
{
    std::size_t malformed = 0;
    for (auto& [host, entry] : this->entries) {
        if (now - entry.changedAt < this->silenceTimeout && !entry.report.decodeDetails())
            ++malformed;
    }
    return malformed;
}

LiveReports LiveNodes::reports(Instant now) const
{
    LiveReports result;
    for (const auto& [host, entry] : this->entries) {
        if (now - entry.changedAt < this->silenceTimeout)
            result.emplace_back(entry.report);
    }
    return result;
}

std::size_t LiveNodes::rank(std::string_view task, Instant now) const
{
    const Fingerprint own = fingerprint({ task, this->self });
    std::size_t rank = 0;
    for (const std::string& host : this->hosts(now)) {
        if (fingerprint({ task, host }) > own)
            ++rank;
    }
    return rank;
}

} // namespace teaselshore
