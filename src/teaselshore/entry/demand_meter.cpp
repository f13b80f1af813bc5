#include "teaselshore/entry/demand_meter.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

void DemandMeter::onSent(const ServiceName& service, std::uint32_t tokens)
{
    Counts& entry = this->counts[service];
    ++entry.requests;
    entry.promptTokens += tokens;
}

void DemandMeter::onRefused(const ServiceName& service, std::uint32_t tokens)
{
    Counts& entry = this->counts[service];
    ++entry.refused;
    entry.promptTokens += tokens;
}

std::map<ServiceName, ServiceDemand> DemandMeter::takeRates(Instant now)
{
    const Instant start = std::exchange(this->intervalStart, now);
    std::map<ServiceName, ServiceDemand> demand;
    // The start of the first interval is unknown; rates over the uptime of the host would be close to zero.
    if (start == Instant {}) {
        this->counts.clear();
        return demand;
    }
    const double seconds = std::max(0.1, toSeconds(now - start));
    for (const auto& [service, entry] : std::exchange(this->counts, {})) {
        demand[service] = { static_cast<double>(entry.requests) / seconds,
            static_cast<double>(entry.promptTokens) / seconds, static_cast<double>(entry.refused) / seconds };
    }
    return demand;
}

} // namespace teaselshore
