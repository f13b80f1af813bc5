#include "upstream_table.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    constexpr std::size_t maximumRechecksPerCall = 16;
    /// Delay after which an upstream that other nodes fill is checked again, once its load report has decayed.
    constexpr Duration othersRecheckDelay = std::chrono::milliseconds(500);

    const std::vector<std::uint32_t> noPools;

} // namespace

UpstreamTable::UpstreamTable(const RouterSettings& settings)
    : settings(settings)
{
}

std::optional<std::uint32_t> UpstreamTable::find(const UpstreamId& id) const
{
    const auto found = this->indices.find(id);
    if (found == this->indices.end())
        return std::nullopt;
    return found->second;
}

const std::vector<std::uint32_t>& UpstreamTable::poolsOf(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? noPools : found->second;
}

Pool& UpstreamTable::poolFor(const ServiceName& service, const VersionName& version)
{
    std::vector<std::uint32_t>& pools = this->services[service];
    for (const std::uint32_t pool : pools) {
        if (this->pools[pool].version == version)
            return this->pools[pool];
    }
    if (this->freePools.empty()) {
        this->freePools.push_back(static_cast<std::uint32_t>(this->pools.size()));
        this->pools.emplace_back();
    }
    pools.push_back(this->freePools.back());
    this->freePools.pop_back();
    Pool& pool = this->pools[pools.back()];
    pool = Pool {};
    pool.service = service;
    pool.version = version;
    pool.byZone.assign(this->zones.size(), {});
    pool.idleByZone.assign(this->zones.size(), {});
    return pool;
}

void UpstreamTable::sortPools(const ServiceName& service)
{
    std::vector<std::uint32_t>& pools = this->services[service];
    std::stable_sort(pools.begin(), pools.end(), [&](std::uint32_t first, std::uint32_t second) {
        return this->pools[first].share > this->pools[second].share;
    });
}

UpstreamState UpstreamTable::stateOf(std::uint32_t index) const
{
    const UpstreamDetails& detail = this->details[index];
    if (detail.dead)
        return UpstreamState::Dead;
    if (detail.hasReclaimNotice || detail.departing)
        return UpstreamState::Leaving;
    return detail.draining ? UpstreamState::Draining : UpstreamState::Available;
}

void UpstreamTable::updateEligibility(std::uint32_t index, Instant now)
{
    UpstreamDetails& detail = this->details[index];
    if (!detail.configured)
        return;
    Upstream& entry = this->upstreams[index];
    Pool& pool = this->pools[entry.pool];
    const bool available = this->stateOf(index) == UpstreamState::Available;
    const bool admits = detail.breaker.admits(now);
    const std::uint32_t own = entry.load.ownOutstanding();
    const double others = entry.load.certainOthersOutstanding(now);
    entry.limit = detail.limit.limit();

    // The estimate of the other nodes' requests is fractional; less than half a request does not occupy a slot.
    const bool hasRoom = own + others + 0.5 < entry.limit;
    const bool eligible = available && admits && hasRoom && !detail.reservedForIsolatedRetry;
    this->setMembership(UpstreamSetKind::All, index, eligible);
    this->setMembership(UpstreamSetKind::Zone, index, eligible);
    this->setMembership(UpstreamSetKind::Price, index, eligible);
    this->setMembership(UpstreamSetKind::Idle, index, eligible && own == 0);
    this->setMembership(UpstreamSetKind::IdleZone, index, eligible && own == 0);

    // An upstream with a half-open breaker counts as one slot. Otherwise a service whose breakers are all open would
    // admit no request that could serve as a probe.
    const bool closed = detail.breaker.state(now) == CircuitState::Closed;
    const bool inService = available && (closed || admits);
    const auto room = closed ? static_cast<std::uint32_t>(std::max(0.0, std::round(entry.limit - others))) : 1U;
    const std::uint32_t capacityContribution = inService ? std::max(own, room) : 0;
    pool.capacity += capacityContribution - detail.capacityContribution;
    detail.capacityContribution = capacityContribution;
    pool.inServiceCount += static_cast<std::uint32_t>(inService) - static_cast<std::uint32_t>(detail.inService);
    detail.inService = inService;

    if (!available)
        return;
    if (const std::optional<Instant> at = detail.breaker.admitsFrom(now))
        this->scheduleRecheck(index, *at);
    else if (!hasRoom && own < entry.limit)
        this->scheduleRecheck(index, now + othersRecheckDelay);
}

void UpstreamTable::scheduleRecheck(std::uint32_t index, Instant at)
{
    Instant& pending = this->details[index].recheckAt;
    if (pending <= at)
        return;
    pending = at;
    this->pendingRechecks.emplace(at, index);
}

void UpstreamTable::runDueRechecks(Instant now)
{
    for (std::size_t i = 0; i < maximumRechecksPerCall; i++) {
        if (this->pendingRechecks.empty() || this->pendingRechecks.top().first > now)
            return;
        const auto [at, index] = this->pendingRechecks.top();
        this->pendingRechecks.pop();
        if (this->details[index].recheckAt != at)
            continue;
        this->details[index].recheckAt = Instant::max();
        this->updateEligibility(index, now);
    }
}

UpstreamSet& UpstreamTable::setOf(UpstreamSetKind kind, std::uint32_t index)
{
    const Upstream& entry = this->upstreams[index];
    Pool& pool = this->pools[entry.pool];
    switch (kind) {
    case UpstreamSetKind::All:
        return pool.eligible;
    case UpstreamSetKind::Zone:
        return pool.byZone[entry.zone];
    case UpstreamSetKind::Price:
        return pool.byPrice[entry.priceTier];
    case UpstreamSetKind::Idle:
        return pool.idle;
    case UpstreamSetKind::IdleZone:
        return pool.idleByZone[entry.zone];
    }
    return pool.eligible;
}

void UpstreamTable::setMembership(UpstreamSetKind kind, std::uint32_t index, bool member)
{
    std::uint32_t& position = this->upstreams[index].positions[static_cast<std::size_t>(kind)];
    if (member == (position != noPosition))
        return;
    UpstreamSet& set = this->setOf(kind, index);
    if (member) {
        position = static_cast<std::uint32_t>(set.size());
        set.push_back(index);
        return;
    }
    const std::uint32_t last = set.back();
    set[position] = last;
    this->upstreams[last].positions[static_cast<std::size_t>(kind)] = position;
    set.pop_back();
    position = noPosition;
}

std::size_t UpstreamTable::memoryBytes() const
{
    std::size_t bytes
        = this->upstreams.capacity() * sizeof(Upstream) + this->details.capacity() * sizeof(UpstreamDetails);
    // Sets, the rendezvous entry, the id index, and the address string.
    bytes += this->details.size() * (upstreamSetKindCount * 2 * sizeof(std::uint32_t) + 32 + 64 + 32);
    return bytes + this->pools.size() * sizeof(Pool);
}

} // namespace teaselshore
