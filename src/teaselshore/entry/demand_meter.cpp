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

std::map<ServiceName, ServiceDemand> DemandMeter::take(Instant now)
{
    const double seconds = std::max(0.1, toSeconds(now - std::exchange(this->since, now)));
    std::map<ServiceName, ServiceDemand> demand;
    for (const auto& [service, entry] : std::exchange(this->counts, {})) {
        demand[service] = { static_cast<double>(entry.requests) / seconds,
            static_cast<double>(entry.promptTokens) / seconds, static_cast<double>(entry.refused) / seconds };
    }
    return demand;
}

} // namespace teaselshore
