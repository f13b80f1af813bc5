#include "upstream_table.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Versions of a service that keep their share and stopped flag while they are not configured.
    constexpr std::size_t maximumRememberedVersions = 8;
    /// A smoothed latency above this multiple of the baseline counts as overload.
    constexpr double latencyTolerance = 3;
    /// Fraction of the longest first-token target up to which a latency is never treated as overload.
    constexpr double acceptableTargetFraction = 0.5;
    constexpr Fingerprint readingRankSeed = 1;
    constexpr Duration defaultAcceptableLatency = std::chrono::milliseconds(20);

    double pricePerHour(const Configuration& configuration, const UpstreamConfiguration& upstream)
    {
        for (const PriceConfiguration& price : configuration.prices) {
            if (price.zone == upstream.zone && price.hostClass == upstream.hostClass)
                return upstream.reclaimable ? price.reclaimablePerHour : price.onDemandPerHour;
        }
        return 0;
    }

    double reclaimRisk(const Configuration& configuration, const UpstreamConfiguration& upstream)
    {
        if (!upstream.reclaimable)
            return 0;
        for (const PriceConfiguration& price : configuration.prices) {
            if (price.zone == upstream.zone && price.hostClass == upstream.hostClass)
                return price.reclaimRiskPerHour;
        }
        return 0;
    }

    Link linkOf(const Configuration& configuration, const AvailabilityZone& first, const AvailabilityZone& second)
    {
        if (first == second)
            return {};
        for (const LinkConfiguration& link : configuration.links) {
            if ((link.first == first && link.second == second) || (link.first == second && link.second == first))
                return link.link;
        }
        return configuration.defaultLink;
    }

} // namespace

void UpstreamTable::configure(const Configuration& configuration, Instant now)
{
    this->replacedUpstreams.clear();
    this->classes.clear();
    this->acceptableLatency = defaultAcceptableLatency;
    for (const ClassConfiguration& latencyClass : configuration.classes) {
        this->classes[latencyClass.name] = {};
        if (!latencyClass.firstTokenTarget)
            continue;
        const double target = toSeconds(*latencyClass.firstTokenTarget);
        this->classes[latencyClass.name] = { target };
        this->acceptableLatency = std::max(this->acceptableLatency, fromSeconds(acceptableTargetFraction * target));
    }
    this->configureZones(configuration);

    for (Pool& pool : this->pools) {
        pool.configured = false;
        pool.eligible.clear();
        pool.idle.clear();
        pool.byZone.assign(this->zones.size(), {});
        pool.idleByZone.assign(this->zones.size(), {});
        pool.byPrice.clear();
        pool.affinityTable.clear();
        pool.byReadingRank.clear();
        pool.promptMix.resetTargets();
        pool.capacity = 0;
        pool.inServiceCount = 0;
        pool.outstanding = 0;
    }
    for (std::uint32_t index = 0; index < this->details.size(); index++) {
        this->details[index].configured = false;
        this->details[index].capacityContribution = 0;
        this->details[index].inService = false;
        this->upstreams[index].positions.fill(noPosition);
    }

    this->prices.assign(this->details.size(), 0);
    for (const ServiceConfiguration& service : configuration.services)
        this->configureService(configuration, service);
    this->recycleUnusedPools();
    this->assignPriceTiers();
    this->assignReadingRanks();

    for (std::uint32_t index = 0; index < this->details.size(); index++) {
        if (this->details[index].configured) {
            this->pools[this->upstreams[index].pool].outstanding += this->upstreams[index].load.ownOutstanding();
            this->updateEligibility(index, now);
            continue;
        }
        if (this->details[index].id.empty())
            continue;
        this->indices.erase(this->details[index].id);
        this->resetProcess(index, 1);
        this->details[index].id = UpstreamId {};
        this->freeIndices.push_back(index);
    }
}

void UpstreamTable::configureZones(const Configuration& configuration)
{
    this->zones.clear();
    for (const RegionConfiguration& region : configuration.regions) {
        for (const AvailabilityZone& zone : region.zones)
            this->zones.push_back({ zone, linkOf(configuration, this->settings.zone, zone) });
    }
    // Last entry, for upstreams whose zone is not listed.
    this->zones.push_back({ AvailabilityZone {}, configuration.defaultLink });
    for (ZoneInfo& zone : this->zones)
        zone.roundTripSeconds = 2 * toSeconds(zone.link.delay);

    this->nearestZones.clear();
    for (std::uint32_t number = 0; number < this->zones.size(); number++)
        this->nearestZones.push_back(number);
    std::stable_sort(
        this->nearestZones.begin(), this->nearestZones.end(), [&](std::uint32_t first, std::uint32_t second) {
            return this->zones[first].link.delay < this->zones[second].link.delay;
        });
}

void UpstreamTable::configureService(const Configuration& configuration, const ServiceConfiguration& service)
{
    const auto configurePool = [&](const VersionName& version, bool moving) {
        Pool& pool = this->poolFor(service.name, version);
        pool.configured = true;
        pool.kind = service.kind;
        if (!pool.shareSet)
            pool.share = moving ? 0 : 1;
        return static_cast<std::uint32_t>(&pool - this->pools.data());
    };
    for (const VersionConfiguration& version : service.versions)
        configurePool(version.name, version.moveBy.has_value());
    for (const UpstreamConfiguration& upstream : service.upstreams) {
        const auto declared = std::find_if(service.versions.begin(), service.versions.end(),
            [&](const VersionConfiguration& version) { return version.name == upstream.version; });
        const bool moving = declared != service.versions.end() && declared->moveBy.has_value();
        this->configureUpstream(upstream, configurePool(upstream.version, moving), configuration);
    }
    this->sortPools(service.name);
}

void UpstreamTable::configureUpstream(
    const UpstreamConfiguration& upstream, std::uint32_t pool, const Configuration& configuration)
{
    const auto known = this->indices.find(upstream.id);
    std::uint32_t index = 0;
    if (known != this->indices.end()) {
        index = known->second;
        if (this->details[index].configured)
            return;
        if (this->details[index].address != upstream.address)
            this->resetProcess(index, upstream.capacity);
    } else {
        if (this->freeIndices.empty()) {
            index = static_cast<std::uint32_t>(this->upstreams.size());
            this->upstreams.emplace_back();
            this->details.emplace_back();
            this->prices.push_back(0);
        } else {
            index = this->freeIndices.back();
            this->freeIndices.pop_back();
        }
        this->indices[upstream.id] = index;
        this->resetProcess(index, upstream.capacity);
    }

    UpstreamDetails& detail = this->details[index];
    detail.id = upstream.id;
    detail.address = upstream.address;
    detail.nameHash = fingerprint(upstream.id.value());
    detail.configured = true;
    const double capacity = std::max(1U, upstream.capacity);

    Upstream& entry = this->upstreams[index];
    const bool plain = this->pools[pool].kind == ServiceKind::Plain;
    // High latency alone does not lower the limit of a plain service below the declared capacity, or that of an engine
    // below 1.5 times the capacity. A lower limit reduced the throughput of a full service by a fifth. Engines without
    // room beyond their slots get whatever request comes next instead of requests whose prefix they have cached, which
    // keeps them overloaded.
    const double floor = plain ? capacity : capacity * 1.5;
    detail.limit.setBounds(std::max(1.0, capacity / 4), floor, capacity * 2);
    entry.pool = pool;
    entry.zone = this->zoneIndex(upstream.zone);
    entry.capacity = { std::max(1U, upstream.capacity), plain ? std::max(1U, upstream.capacity) : 1 };
    entry.reclaimRiskPerHour = static_cast<float>(reclaimRisk(configuration, upstream));
    this->prices[index] = pricePerHour(configuration, upstream) / capacity;
    this->pools[pool].affinityTable.add(index, detail.nameHash);
}

void UpstreamTable::assignPriceTiers()
{
    std::vector<std::vector<double>> tiers(this->pools.size());
    for (std::uint32_t index = 0; index < this->details.size(); index++) {
        if (this->details[index].configured)
            tiers[this->upstreams[index].pool].push_back(this->prices[index]);
    }
    for (std::size_t pool = 0; pool < this->pools.size(); pool++) {
        std::sort(tiers[pool].begin(), tiers[pool].end());
        tiers[pool].erase(std::unique(tiers[pool].begin(), tiers[pool].end()), tiers[pool].end());
        this->pools[pool].byPrice.assign(tiers[pool].size(), {});
    }
    for (std::uint32_t index = 0; index < this->details.size(); index++) {
        if (!this->details[index].configured)
            continue;
        Upstream& entry = this->upstreams[index];
        const std::vector<double>& prices = tiers[entry.pool];
        const auto tier = std::lower_bound(prices.begin(), prices.end(), this->prices[index]);
        entry.priceTier = static_cast<std::uint32_t>(tier - prices.begin());
        const double span = prices.back() - prices.front();
        entry.relativePrice = span > 0 ? static_cast<float>((this->prices[index] - prices.front()) / span) : 0;
    }
}

void UpstreamTable::assignReadingRanks()
{
    for (std::uint32_t index = 0; index < this->details.size(); index++) {
        Pool& pool = this->pools[this->upstreams[index].pool];
        if (this->details[index].configured && pool.kind == ServiceKind::Engine)
            pool.byReadingRank.push_back(index);
    }
    for (Pool& pool : this->pools) {
        // Another order than that of the affinity table, which uses the name hash itself.
        std::sort(pool.byReadingRank.begin(), pool.byReadingRank.end(), [&](std::uint32_t first, std::uint32_t second) {
            return combine(readingRankSeed, this->details[first].nameHash)
                < combine(readingRankSeed, this->details[second].nameHash);
        });
        // Takes the zones in turn, so that each has its part of the first ranks: the n-th upstream of a zone precedes
        // the next of every other one.
        std::vector<std::uint32_t> countByZone(this->zones.size());
        std::vector<std::pair<std::uint32_t, std::uint32_t>> byTurn;
        for (const std::uint32_t index : pool.byReadingRank)
            byTurn.emplace_back(countByZone[this->upstreams[index].zone]++, index);
        std::stable_sort(byTurn.begin(), byTurn.end(),
            [](const auto& first, const auto& second) { return first.first < second.first; });
        for (std::uint32_t rank = 0; rank < byTurn.size(); rank++) {
            pool.byReadingRank[rank] = byTurn[rank].second;
            this->upstreams[byTurn[rank].second].readingRank = rank;
        }
    }
}

void UpstreamTable::resetProcess(std::uint32_t index, std::uint32_t capacity)
{
    UpstreamDetails fresh;
    UpstreamDetails& detail = this->details[index];
    fresh.id = detail.id;
    fresh.generation = detail.generation + 1;
    // A pending recheck stays in the queue; keeping its time avoids a second one.
    fresh.recheckAt = detail.recheckAt;
    fresh.breaker = CircuitBreaker(this->settings.circuitBreaker);
    fresh.limit = ConcurrencyLimit({ .initial = static_cast<double>(std::max(1U, capacity)),
        .minimum = 1,
        .maximum = std::max(1.0, 2.0 * capacity),
        .tolerance = latencyTolerance,
        .minimumOverloadLatency = this->acceptableLatency });
    detail = std::move(fresh);
    this->upstreams[index].load = LoadEstimate {};
    this->upstreams[index].refusals = RefusalEstimate {};
    this->replacedUpstreams.push_back(index);
}

void UpstreamTable::recycleUnusedPools()
{
    for (auto& [service, pools] : this->services) {
        const auto isUnused = [&](std::uint32_t pool) { return !this->pools[pool].configured; };
        auto unused = static_cast<std::size_t>(std::count_if(pools.begin(), pools.end(), isUnused));
        std::erase_if(pools, [&](std::uint32_t pool) {
            if (unused <= maximumRememberedVersions || !isUnused(pool))
                return false;
            unused--;
            this->freePools.push_back(pool);
            return true;
        });
    }
}

std::uint32_t UpstreamTable::zoneIndex(const AvailabilityZone& zone) const
{
    for (std::uint32_t number = 0; number + 1 < this->zones.size(); number++) {
        if (this->zones[number].name == zone)
            return number;
    }
    return static_cast<std::uint32_t>(this->zones.size() - 1);
}

} // namespace teaselshore
