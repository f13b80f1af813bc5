#include "teaselshore/emulators/cache_events.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

CacheEventLog::CacheEventLog(CacheEventSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

void CacheEventLog::add(CacheEvent::Kind kind, std::vector<Fingerprint> blocks, Instant now)
{
    if (blocks.empty())
        return;
    const std::uint64_t number = ++this->last;
    if (this->random.uniform() < this->settings.loss)
        return;
    this->entries.push_back({ now, { number, kind, std::move(blocks) } });
    while (this->entries.size() > this->settings.retained)
        this->entries.pop_front();
}

std::vector<CacheEvent> CacheEventLog::eventsAfter(std::uint64_t after, std::size_t limit, Instant now) const
{
    auto position = std::upper_bound(this->entries.begin(), this->entries.end(), after,
        [](std::uint64_t number, const Entry& entry) { return number < entry.event.number; });
    std::vector<CacheEvent> result;
    for (; position != this->entries.end() && result.size() < limit; ++position) {
        if (position->at + this->settings.delay > now)
            break;
        result.push_back(position->event);
    }
    return result;
}

} // namespace teaselshore
