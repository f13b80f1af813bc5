#include <algorithm>

#include "entry_requests.hpp"

namespace teaselshore {

namespace {

    /// Bounds of the retry-after time of requests that only upstreams in evacuated zones could serve.
    constexpr Duration minEvacuationRetryAfter = std::chrono::seconds(1);
    constexpr Duration maxEvacuationRetryAfter = std::chrono::seconds(10);
    /// Part of that time over which callers are spread.
    constexpr double retrySpread = 0.5;

} // namespace

bool EntryRequests::isEvacuated(const ServiceName& service, Instant now) const
{
    if (this->state.evacuated.count() == 0)
        return false;
    bool found = false;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams()) {
        if (upstream.service != service || upstream.draining)
            continue;
        if (this->state.evacuated.contains(upstream.zone)) {
            found = true;
            continue;
        }
        const UpstreamId id = upstream.id();
        const std::optional<UpstreamStatus> status = this->state.router.status(id, now);
        if (this->state.instances.contains(id) && status && status->circuit != CircuitState::Open)
            return false;
    }
    return found;
}

void EntryRequests::endEvacuated(Instant now)
{
    if (this->state.evacuated.count() == 0)
        return;
    for (const RequestId& id : this->waiting.ids()) {
        Request* request = this->find(id);
        if (request && this->isEvacuated(request->service, now))
            this->endWithoutResponse(*request, evacuatedReason, now);
    }
}

Duration EntryRequests::evacuationRetryAfter(const ServiceName& service, Instant now)
{
    // Nobody says when an evacuation ends. One that has lasted for some time is likely to last as long again.
    Duration lasted = maxEvacuationRetryAfter;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams()) {
        const std::optional<Instant> since = this->state.evacuated.evacuatedSince(upstream.zone);
        if (since && upstream.service == service)
            lasted = std::min(lasted, now - *since);
    }
    const double seconds = toSeconds(std::max(lasted, minEvacuationRetryAfter));
    return fromSeconds(seconds * (1 + retrySpread * this->state.random.uniform()));
}

std::size_t EntryRequests::countRunningIn(const AvailabilityZone& zone) const
{
    return static_cast<std::size_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(), [this, &zone](const auto& item) {
            const RegisteredUpstream* upstream = this->state.directory.find(item.second.upstream);
            return upstream && upstream->zone == zone;
        }));
}

std::size_t EntryRequests::countRunningInEvacuatedZones() const
{
    std::size_t count = 0;
    for (const ZoneEvacuation& entry : this->state.evacuated.entries())
        count += entry.isEvacuated ? this->countRunningIn(entry.zone) : 0;
    return count;
}

} // namespace teaselshore
