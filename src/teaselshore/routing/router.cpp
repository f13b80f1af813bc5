#include "teaselshore/routing/router.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "upstream_chooser.hpp"
#include "upstream_table.hpp"

namespace teaselshore {

namespace {

    /// Weight of another node's result. An upstream may refuse only the nodes of one zone.
    constexpr double peerResultWeight = 0.5;

    struct Dispatch {
        std::uint32_t upstream = 0;
        std::uint32_t generation = 0;
        WorkSize work;
        double workAhead = 0;
        Duration networkDelay {};
        Instant sentAt {};
        std::optional<Instant> firstTokenAt;
        std::optional<CircuitPass> pass;
        bool alone = false;
    };

} // namespace

struct Router::Impl {
    explicit Impl(RouterSettings given)
        : settings(std::move(given))
        , table(settings)
        , prefixIndex(settings.prefixIndex)
        , chooser(settings, table, prefixIndex)
    {
    }

    /// @brief Returns the dispatch, or null if it has ended or its upstream process has been replaced.
    Dispatch* findDispatch(DispatchId id)
    {
        const auto found = this->dispatches.find(id.value);
        if (found == this->dispatches.end())
            return nullptr;
        const Dispatch& dispatch = found->second;
        const bool current = this->table.details[dispatch.upstream].generation == dispatch.generation;
        return current ? &found->second : nullptr;
    }

    template <typename Change> void changeUpstream(const UpstreamId& upstream, Instant now, Change change)
    {
        const std::optional<std::uint32_t> index = this->table.find(upstream);
        if (!index)
            return;
        change(this->table.details[*index], *index);
        this->table.updateEligibility(*index, now);
    }

    void recordOutcome(const Dispatch& dispatch, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now);

    RouterSettings settings;
    UpstreamTable table;
    PrefixIndex prefixIndex;
    UpstreamChooser chooser;
    std::unordered_map<std::uint64_t, Dispatch> dispatches;
    std::uint64_t lastDispatch = 0;
};

void Router::Impl::recordOutcome(
    const Dispatch& dispatch, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now)
{
    UpstreamDetails& detail = this->table.details[dispatch.upstream];
    Upstream& upstream = this->table.upstreams[dispatch.upstream];
    if (outcome == AttemptOutcome::Refused)
        upstream.refusals.add(0, 1, now);
    switch (outcome) {
    case AttemptOutcome::Completed:
        if (dispatch.pass)
            detail.breaker.onSuccess(*dispatch.pass, now);
        if (dispatch.firstTokenAt) {
            upstream.load.onCompleted(outputTokens, now - *dispatch.firstTokenAt, now - dispatch.sentAt,
                this->table.pools[upstream.pool].rates, now);
        }
        return;
    case AttemptOutcome::Refused:
    case AttemptOutcome::TimedOut:
        detail.limit.onOverload(now);
        [[fallthrough]];
    case AttemptOutcome::Failed:
        if (dispatch.pass)
            detail.breaker.onFailure(*dispatch.pass, now);
        return;
    case AttemptOutcome::Cancelled:
        if (dispatch.pass)
            detail.breaker.onAbandoned(*dispatch.pass, now);
        return;
    }
}

Router::Router(RouterSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings)))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::onConfiguration(const Configuration& configuration, Instant now)
{
    this->impl->table.configure(configuration, now);
    for (const std::uint32_t index : this->impl->table.replacedUpstreams)
        this->impl->prefixIndex.invalidate(index);
}

void Router::onLoadReport(const LoadReport& report, Instant now)
{
    this->impl->changeUpstream(report.upstream, now, [&](UpstreamDetails& detail, std::uint32_t index) {
        Upstream& entry = this->impl->table.upstreams[index];
        Pool& pool = this->impl->table.pools[entry.pool];
        entry.load.onReport(report, pool.rates, now);
        pool.recordReport(index);
        if (now - report.lag > detail.deadSince)
            detail.dead = false;
    });
}

void Router::onPeerLoadReport(const LoadReport& report, Instant now)
{
    this->impl->changeUpstream(report.upstream, now, [&](const UpstreamDetails&, std::uint32_t index) {
        Upstream& entry = this->impl->table.upstreams[index];
        Pool& pool = this->impl->table.pools[entry.pool];
        entry.load.onPeerReport(report, pool.rates, now);
        pool.recordReport(index);
        pool.peerReportedAt = now;
    });
}

void Router::onPeerWork(const UpstreamId& upstream, double work, Instant now)
{
    if (const std::optional<std::uint32_t> index = this->impl->table.find(upstream))
        this->impl->table.upstreams[*index].load.onPeerWork(work, now);
}

std::optional<Duration> Router::loadAge(const UpstreamId& upstream, Instant now) const
{
    const std::optional<std::uint32_t> index = this->impl->table.find(upstream);
    return index ? this->impl->table.upstreams[*index].load.reportAge(now) : std::nullopt;
}

std::uint32_t Router::outstandingWork(const UpstreamId& upstream) const
{
    const std::optional<std::uint32_t> index = this->impl->table.find(upstream);
    return index ? static_cast<std::uint32_t>(this->impl->table.upstreams[*index].load.ownWork()) : 0;
}

double Router::measuredRate(const UpstreamId& upstream, Instant now) const
{
    const std::optional<std::uint32_t> index = this->impl->table.find(upstream);
    if (!index)
        return 0;
    const Upstream& entry = this->impl->table.upstreams[*index];
    return entry.load.prefillRate(this->impl->table.pools[entry.pool].rates, now);
}

double Router::othersOutstanding(const UpstreamId& upstream, Instant now) const
{
    const std::optional<std::uint32_t> index = this->impl->table.find(upstream);
    return index ? this->impl->table.upstreams[*index].load.othersOutstanding(now) : 0;
}

void Router::onPeerResults(const UpstreamId& upstream, std::uint32_t accepted, std::uint32_t refused, Instant now)
{
    this->impl->changeUpstream(upstream, now, [&](const UpstreamDetails&, std::uint32_t index) {
        this->impl->table.upstreams[index].refusals.add(peerResultWeight * accepted, peerResultWeight * refused, now);
    });
}

void Router::onCacheEvent(const CacheEvent& event, Instant)
{
    if (const std::optional<std::uint32_t> index = this->impl->table.find(event.upstream))
        this->impl->prefixIndex.onEvent(*index, event);
}

void Router::onUpstreamLeaving(const UpstreamId& upstream, Instant now)
{
    this->impl->changeUpstream(
        upstream, now, [](UpstreamDetails& detail, std::uint32_t) { detail.hasReclaimNotice = true; });
}

void Router::onUpstreamDraining(const UpstreamId& upstream, Instant now)
{
    this->impl->changeUpstream(upstream, now, [](UpstreamDetails& detail, std::uint32_t) { detail.draining = true; });
}

void Router::onUpstreamDead(const UpstreamId& upstream, Instant now)
{
    this->impl->changeUpstream(upstream, now, [&](UpstreamDetails& detail, std::uint32_t index) {
        detail.dead = true;
        detail.deadSince = now;
        this->impl->prefixIndex.invalidate(index);
    });
}

void Router::onUpstreamRestored(const UpstreamId& upstream, Instant now)
{
    this->impl->changeUpstream(upstream, now, [](UpstreamDetails& detail, std::uint32_t) {
        detail.draining = false;
        detail.hasReclaimNotice = false;
        detail.departing = false;
        detail.dead = false;
    });
}

void Router::onHostList(const HostList& list, Instant now)
{
    std::unordered_set<std::uint32_t> listed;
    for (const HostListEntry& entry : list.entries) {
        const std::optional<std::uint32_t> index = this->impl->table.find(entry.upstream);
        if (!index)
            continue;
        listed.insert(*index);
        this->impl->table.details[*index].listed = true;
        this->impl->table.details[*index].departing = entry.departing;
    }
    for (std::uint32_t index = 0; index < this->impl->table.details.size(); index++) {
        UpstreamDetails& detail = this->impl->table.details[index];
        if (!detail.configured)
            continue;
        // A new host may be missing because the list is out of date; one that was listed before is gone.
        if (detail.listed && !listed.contains(index))
            detail.departing = true;
        this->impl->table.updateEligibility(index, now);
    }
}

void Router::setVersionShare(const ServiceName& service, const VersionName& version, double share)
{
    Pool& pool = this->impl->table.poolFor(service, version);
    pool.share = std::max(0.0, share);
    pool.shareSet = true;
    pool.stopped = false;
    this->impl->table.sortPools(service);
}

void Router::stopVersion(const ServiceName& service, const VersionName& version)
{
    this->impl->table.poolFor(service, version).stopped = true;
}

std::optional<RoutingDecision> Router::choose(const RoutingRequest& request, Instant now)
{
    return this->impl->chooser.choose(request, now);
}

RoutingFailure Router::lastFailure() const { return this->impl->chooser.lastFailure(); }

DispatchId Router::onDispatched(const RoutingRequest& request, const RoutingDecision& decision, Instant now)
{
    const DispatchId id { ++this->impl->lastDispatch };
    const std::optional<std::uint32_t> index = this->impl->table.find(decision.chosen.upstream);
    if (!index)
        return id;
    UpstreamTable& table = this->impl->table;
    Upstream& upstream = table.upstreams[*index];
    UpstreamDetails& detail = table.details[*index];

    Dispatch& dispatch = this->impl->dispatches[id.value];
    dispatch.upstream = *index;
    dispatch.generation = detail.generation;
    dispatch.work = { request.promptTokens, decision.chosen.cachedTokens, request.expectedOutputTokens };
    dispatch.workAhead = upstream.load.workAhead(now);
    dispatch.networkDelay = 2 * table.zones[upstream.zone].link.delay;
    dispatch.sentAt = now;
    dispatch.pass = detail.breaker.tryPass(now);
    dispatch.alone = request.alone;

    detail.reservedForIsolatedRetry = detail.reservedForIsolatedRetry || request.alone;
    upstream.load.onDispatched(dispatch.work, now);
    table.pools[upstream.pool].outstanding++;
    this->impl->prefixIndex.onDispatched(*index, request.prefixBlocks);
    table.updateEligibility(*index, now);
    return id;
}

void Router::onFirstToken(DispatchId id, Instant now)
{
    Dispatch* dispatch = this->impl->findDispatch(id);
    if (dispatch == nullptr || dispatch->firstTokenAt)
        return;
    dispatch->firstTokenAt = now;
    Upstream& upstream = this->impl->table.upstreams[dispatch->upstream];
    LoadRates& pool = this->impl->table.pools[upstream.pool].rates;
    const Duration elapsed = now - dispatch->sentAt - dispatch->networkDelay;
    upstream.refusals.add(1, 0, now);
    upstream.load.onFirstToken(dispatch->work, dispatch->workAhead, elapsed, upstream.capacity, pool, now);

    // Scales the latency to a request of mean size, so that requests of different length are comparable.
    const double scale = pool.workPerRequest / dispatch->work.prefillWork();
    const double total = upstream.load.ownOutstanding() + upstream.load.othersOutstanding(now);
    this->impl->table.details[dispatch->upstream].limit.onCompleted(
        fromSeconds(toSeconds(std::max(Duration(1), elapsed)) * scale), static_cast<std::uint32_t>(total), now);
    this->impl->table.updateEligibility(dispatch->upstream, now);
}

void Router::onFinished(DispatchId id, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now)
{
    Dispatch* found = this->impl->findDispatch(id);
    if (found == nullptr) {
        this->impl->dispatches.erase(id.value);
        return;
    }
    // A response without a body has no first token; its end counts as the first token.
    if (outcome == AttemptOutcome::Completed && !found->firstTokenAt)
        this->onFirstToken(id, now);

    const Dispatch dispatch = *found;
    this->impl->dispatches.erase(id.value);
    UpstreamTable& table = this->impl->table;
    Upstream& upstream = table.upstreams[dispatch.upstream];
    upstream.load.onFinished(dispatch.work, dispatch.firstTokenAt.has_value(), now);
    std::uint32_t& outstanding = table.pools[upstream.pool].outstanding;
    outstanding -= std::min(outstanding, 1U);
    if (dispatch.alone)
        table.details[dispatch.upstream].reservedForIsolatedRetry = false;
    this->impl->recordOutcome(dispatch, outcome, outputTokens, now);
    table.updateEligibility(dispatch.upstream, now);
}

void Router::onTick(Instant now) { this->impl->table.runDueRechecks(now); }

std::uint32_t Router::capacity(const ServiceName& service) const
{
    // Traffic is split by share, and a version takes over traffic only from versions with smaller shares. So for each
    // n, the n versions with the largest shares must together carry their fraction of the traffic.
    double share = 0;
    double capacity = 0;
    double usable = 0;
    double allShares = 0;
    const UpstreamTable& table = this->impl->table;
    for (const std::uint32_t number : table.poolsOf(service)) {
        const Pool& pool = table.pools[number];
        if (pool.isActive() && pool.inServiceCount > 0)
            allShares += pool.share;
    }
    bool first = true;
    for (const std::uint32_t number : table.poolsOf(service)) {
        const Pool& pool = table.pools[number];
        if (!pool.isActive() || pool.inServiceCount == 0)
            continue;
        share += pool.share;
        capacity += pool.capacity;
        const double carried = capacity * allShares / share;
        usable = first ? carried : std::min(usable, carried);
        first = false;
    }
    return first ? 0 : std::max(1U, static_cast<std::uint32_t>(usable));
}

double Router::prefillRate(const ServiceName& service) const
{
    const std::vector<std::uint32_t>& pools = this->impl->table.poolsOf(service);
    return pools.empty() ? LoadRates {}.prefillPerSecond : this->impl->table.pools[pools[0]].rates.prefillPerSecond;
}

Duration Router::meanHoldTime(const ServiceName& service) const
{
    const std::vector<std::uint32_t>& pools = this->impl->table.poolsOf(service);
    return fromSeconds(pools.empty() ? LoadRates {}.holdSeconds : this->impl->table.pools[pools[0]].rates.holdSeconds);
}

std::optional<UpstreamStatus> Router::status(const UpstreamId& upstream, Instant now) const
{
    const UpstreamTable& table = this->impl->table;
    const std::optional<std::uint32_t> index = table.find(upstream);
    if (!index)
        return std::nullopt;
    const Upstream& entry = table.upstreams[*index];
    const Pool& pool = table.pools[entry.pool];
    return UpstreamStatus { upstream, pool.service, pool.version, table.zones[entry.zone].name, table.stateOf(*index),
        table.details[*index].breaker.state(now), entry.load.ownOutstanding(), entry.limit };
}

std::vector<UpstreamStatus> Router::statuses(Instant now) const
{
    std::vector<UpstreamStatus> result;
    for (const UpstreamDetails& detail : this->impl->table.details) {
        if (detail.configured)
            result.push_back(*this->status(detail.id, now));
    }
    return result;
}

std::size_t Router::memoryBytes() const
{
    return this->impl->table.memoryBytes() + this->impl->prefixIndex.memoryBytes()
        + this->impl->dispatches.size() * (sizeof(Dispatch) + 32);
}

} // namespace teaselshore
