#include "upstream_poller.hpp"

namespace teaselshore {

namespace {

    constexpr Duration forgetAfter = std::chrono::seconds(30);

} // namespace

UpstreamPoller::UpstreamPoller(Duration period, std::size_t queriesPerTick)
    : period(period)
    , queriesPerTick(queriesPerTick)
{
}

void UpstreamPoller::onUsed(const UpstreamId& upstream, const std::string& authority, Instant now)
{
    Entry& entry = this->entries[upstream];
    if (entry.authority != authority)
        entry = { authority, now, now };
    entry.usedAt = now;
}

void UpstreamPoller::onQueried(const UpstreamId& upstream, bool answered)
{
    const auto found = this->entries.find(upstream);
    if (found != this->entries.end())
        found->second.silent = !answered;
}

std::vector<QueryLoad> UpstreamPoller::onTick(Instant now)
{
    std::vector<QueryLoad> queries;
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        Entry& entry = position->second;
        if (now - entry.usedAt > forgetAfter && !entry.silent) {
            position = this->entries.erase(position);
            continue;
        }
        if (entry.nextQuery <= now && queries.size() < this->queriesPerTick) {
            entry.nextQuery = now + this->period;
            queries.push_back({ position->first, entry.authority, true });
        }
        ++position;
    }
    return queries;
}

} // namespace teaselshore
