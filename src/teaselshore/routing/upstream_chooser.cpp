#include "upstream_chooser.hpp"

#include <algorithm>
#include <variant>

namespace teaselshore {

namespace {

    // Sizes of the samples. Three of the own zone keep the gap to the least loaded one small; the others only have to
    // find a way out when the own zone is overloaded, dear or lost.
    constexpr std::size_t nearSample = 3;
    constexpr std::size_t idleSample = 2;
    constexpr std::size_t remoteSample = 2;
    constexpr std::size_t cheapSample = 3;
    constexpr std::size_t aloneSample = 32;
    constexpr std::size_t lastResortSample = 64;

    /// Blocks that form the key of the preferred upstreams: requests that share them go to the same upstreams.
    constexpr std::size_t preferenceBlocks = 4;
    /// A preferred upstream may have this multiple of the mean load, plus one request.
    constexpr double loadBound = 1.25;
    /// Later requests that are expected to save the prefill of the prefix on a preferred upstream. With 0.3, a third
    /// more tokens of shared prompt parts were read again, without a gain in response times.
    constexpr double affinityPart = 2;
    /// Utilisation from which batch work delays interactive work.
    constexpr double interferenceFrom = 0.6;
    constexpr double bytesPerPromptToken = 4;
    constexpr double bytesPerOutputToken = 200;
    constexpr double bytesPerGigabyte = 1e9;
    constexpr double secondsPerHour = 3600;
    /// Harm of a reclaim to a request whose outcome is then not known.
    constexpr double unknownOutcomeSeconds = 600;

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

UpstreamChooser::UpstreamChooser(const RouterSettings& settings, UpstreamTable& table, const PrefixIndex& prefixIndex)
    : settings(settings)
    , table(table)
    , prefixIndex(prefixIndex)
    , random(settings.seed)
{
}

std::optional<RoutingDecision> UpstreamChooser::choose(const RoutingRequest& request, Instant now)
{
    this->now = now;
    this->decision++;
    this->failure = RoutingFailure::None;
    this->table.refreshDue(now);
    const std::vector<std::uint32_t>& pools = this->table.poolsOf(request.service);
    if (pools.empty()) {
        this->failure = RoutingFailure::UnknownService;
        return std::nullopt;
    }
    const auto found = this->table.classes.find(request.latencyClass);
    this->latencyClass = found == this->table.classes.end() ? ClassView {} : found->second;
    this->weights = this->latencyClass.firstTokenTargetSeconds ? &this->settings.interactive : &this->settings.batch;
    this->gigabytes = (bytesPerPromptToken * request.promptTokens + bytesPerOutputToken * request.expectedOutputTokens)
        / bytesPerGigabyte;
    for (const UpstreamId& id : request.excluded) {
        if (const std::optional<std::uint32_t> index = this->table.find(id))
            this->table.upstreams[*index].decision = this->decision;
    }
    return this->chooseFrom(pools, request);
}

std::optional<RoutingDecision> UpstreamChooser::chooseFrom(
    const std::vector<std::uint32_t>& pools, const RoutingRequest& request)
{
    if (request.version) {
        const std::optional<std::uint32_t> pool = this->pinnedPool(pools, *request.version);
        this->failure = !pool                         ? RoutingFailure::NoVersion
            : this->table.pools[*pool].inService == 0 ? RoutingFailure::NoUpstream
                                                      : RoutingFailure::NoCapacity;
        return pool ? this->chooseInPool(*pool, request) : std::nullopt;
    }

    const std::size_t drawn = this->drawVersion(pools);
    if (drawn == pools.size()) {
        this->failure = RoutingFailure::NoVersion;
        return std::nullopt;
    }
    if (auto decision = this->chooseInPool(pools[drawn], request))
        return decision;

    // A version takes over from one with a smaller or equal share. The other way round, overload of the old version
    // would push traffic onto a new one beyond its share; this happens only when no upstream of the old is left.
    const double share = this->table.pools[pools[drawn]].share;
    bool anyInService = false;
    for (const std::uint32_t pool : pools) {
        const Pool& candidate = this->table.pools[pool];
        if (!candidate.isActive())
            continue;
        if (candidate.share < share && anyInService)
            break;
        anyInService = anyInService || candidate.inService > 0;
        if (pool == pools[drawn])
            continue;
        if (auto decision = this->chooseInPool(pool, request))
            return decision;
    }
    this->failure = anyInService ? RoutingFailure::NoCapacity : RoutingFailure::NoUpstream;
    return std::nullopt;
}

std::optional<std::uint32_t> UpstreamChooser::pinnedPool(
    const std::vector<std::uint32_t>& pools, const VersionName& version) const
{
    for (const std::uint32_t pool : pools) {
        const Pool& candidate = this->table.pools[pool];
        if (candidate.version == version && candidate.configured && !candidate.stopped)
            return pool;
    }
    return std::nullopt;
}

std::size_t UpstreamChooser::drawVersion(const std::vector<std::uint32_t>& pools)
{
    double sum = 0;
    std::size_t last = pools.size();
    for (std::size_t i = 0; i < pools.size(); i++) {
        if (!this->table.pools[pools[i]].isActive())
            continue;
        sum += this->table.pools[pools[i]].share;
        last = i;
    }
    double drawn = this->random.uniform() * sum;
    for (std::size_t i = 0; i < pools.size(); i++) {
        const Pool& pool = this->table.pools[pools[i]];
        if (!pool.isActive())
            continue;
        drawn -= pool.share;
        if (drawn < 0)
            return i;
    }
    return last;
}

std::optional<RoutingDecision> UpstreamChooser::chooseInPool(std::uint32_t pool, const RoutingRequest& request)
{
    if (this->table.pools[pool].eligible.empty())
        return std::nullopt;
    this->candidateCount = 0;
    if (request.alone)
        this->gatherAlone(this->table.pools[pool]);
    else
        this->applyPolicy(pool, request);
    if (this->candidateCount == 0)
        return std::nullopt;
    std::optional<RoutingDecision> decision = this->best(request);
    this->failure = RoutingFailure::None;
    return decision;
}

void UpstreamChooser::applyPolicy(std::uint32_t number, const RoutingRequest& request)
{
    Pool& pool = this->table.pools[number];
    const auto addIfAny = [&](std::optional<std::uint32_t> index) {
        if (index)
            this->add(number, { *index, 0, false });
    };
    std::visit(Overloaded {
                   [&](const PredictedLatency&) { this->gather(number, request); },
                   [&](const RoundRobin&) { addIfAny(this->nextInTurn(pool)); },
                   [&](const LeastOutstanding&) { addIfAny(this->leastOutstanding(pool)); },
               },
        this->settings.policy);
}

void UpstreamChooser::gather(std::uint32_t number, const RoutingRequest& request)
{
    const Pool& pool = this->table.pools[number];
    if (!request.prefixBlocks.empty())
        this->gatherPrefix(number, request);
    if (!this->latencyClass.firstTokenTargetSeconds)
        this->sampleCheapest(number, cheapSample);
    this->sampleNearest(number, pool.byZone, nearSample);
    this->sampleNearest(number, pool.idleByZone, idleSample);
    this->sample(number, pool.eligible, remoteSample);
    if (this->candidateCount > 0)
        return;

    // The samples hit only excluded upstreams.
    const std::size_t size = pool.eligible.size();
    const std::size_t start = this->random.below(size);
    for (std::size_t i = 0; i < std::min(size, lastResortSample); i++)
        this->add(number, { pool.eligible[(start + i) % size], 0, false });
}

void UpstreamChooser::gatherPrefix(std::uint32_t number, const RoutingRequest& request)
{
    const Pool& pool = this->table.pools[number];
    const std::size_t key = std::min(request.prefixBlocks.size(), preferenceBlocks) - 1;
    const double meanLoad = static_cast<double>(pool.outstanding) / static_cast<double>(pool.eligible.size());
    std::optional<std::uint32_t> preferred;
    const RendezvousTable::Choices choices = pool.preferred.choose(request.prefixBlocks[key]);
    for (const std::uint32_t index : choices.all()) {
        const Upstream& upstream = this->table.upstreams[index];
        if (upstream.positions[static_cast<std::size_t>(SetKind::All)] == noPosition)
            continue;
        if (upstream.load.ownOutstanding() > loadBound * meanLoad + 1)
            continue;
        preferred = index;
        break;
    }

    const PrefixHolders holders = this->prefixIndex.find(request.prefixBlocks);
    for (const PrefixHolder& holder : holders.all()) {
        const double tokens = holder.certainty * holder.blocks * this->settings.tokensPerBlock;
        const auto cached = static_cast<std::uint32_t>(std::min<double>(tokens, request.promptTokens));
        this->add(number, { holder.engine, cached, holder.engine == preferred });
    }
    if (preferred)
        this->add(number, { *preferred, 0, true });
}

void UpstreamChooser::gatherAlone(const Pool& pool)
{
    if (pool.idle.empty())
        return;
    const std::size_t size = pool.idle.size();
    const std::size_t start = this->random.below(size);
    std::optional<std::uint32_t> quietest;
    double fewest = 0;
    for (std::size_t i = 0; i < std::min(size, aloneSample); i++) {
        const std::uint32_t index = pool.idle[(start + i) % size];
        const Upstream& upstream = this->table.upstreams[index];
        if (upstream.decision == this->decision)
            continue;
        const double others = upstream.load.othersOutstanding(this->now);
        if (quietest && others >= fewest)
            continue;
        quietest = index;
        fewest = others;
    }
    if (quietest)
        this->add(this->table.upstreams[*quietest].pool, { *quietest, 0, false });
}

void UpstreamChooser::add(std::uint32_t pool, Candidate candidate)
{
    if (candidate.index >= this->table.upstreams.size() || this->candidateCount == maximumCandidates)
        return;
    Upstream& upstream = this->table.upstreams[candidate.index];
    if (upstream.decision == this->decision || upstream.pool != pool)
        return;
    if (upstream.positions[static_cast<std::size_t>(SetKind::All)] == noPosition)
        return;
    upstream.decision = this->decision;
    this->candidates[this->candidateCount++] = candidate;
}

void UpstreamChooser::sample(std::uint32_t pool, const UpstreamSet& set, std::size_t count)
{
    if (set.empty())
        return;
    for (std::size_t i = 0; i < count; i++)
        this->add(pool, { set[this->random.below(set.size())], 0, false });
}

void UpstreamChooser::sampleNearest(std::uint32_t pool, const std::vector<UpstreamSet>& byZone, std::size_t count)
{
    for (const std::uint32_t zone : this->table.nearestZones) {
        if (byZone[zone].empty())
            continue;
        this->sample(pool, byZone[zone], count);
        return;
    }
}

void UpstreamChooser::sampleCheapest(std::uint32_t number, std::size_t count)
{
    const Pool& pool = this->table.pools[number];
    std::size_t wanted = count;
    for (const UpstreamSet& tier : pool.byPrice) {
        if (tier.empty())
            continue;
        this->sample(number, tier, wanted);
        if (wanted == 1)
            return;
        wanted = 1;
    }
}

std::optional<std::uint32_t> UpstreamChooser::nextInTurn(Pool& pool)
{
    for (std::size_t i = 0; i < pool.eligible.size(); i++) {
        const std::uint32_t index = pool.eligible[pool.roundRobinNext++ % pool.eligible.size()];
        if (this->table.upstreams[index].decision != this->decision)
            return index;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> UpstreamChooser::leastOutstanding(const Pool& pool)
{
    std::optional<std::uint32_t> least;
    const std::size_t start = this->random.below(pool.eligible.size());
    for (std::size_t i = 0; i < pool.eligible.size(); i++) {
        const std::uint32_t index = pool.eligible[(start + i) % pool.eligible.size()];
        const Upstream& upstream = this->table.upstreams[index];
        if (upstream.decision == this->decision)
            continue;
        if (!least || upstream.load.ownOutstanding() < this->table.upstreams[*least].load.ownOutstanding())
            least = index;
    }
    return least;
}

UpstreamChooser::Scored UpstreamChooser::score(const Candidate& candidate, const RoutingRequest& request) const
{
    const Upstream& upstream = this->table.upstreams[candidate.index];
    const Pool& pool = this->table.pools[upstream.pool];
    const ZoneView& zone = this->table.zones[upstream.zone];
    const ScoreWeights& weights = *this->weights;
    const WorkSize work { request.promptTokens, candidate.cachedTokens, request.expectedOutputTokens };

    const LoadPrediction predicted = upstream.load.predict(work, upstream.shape, pool.rates, this->now);
    Scored scored { candidate, {}, 0, predicted.firstTokenSeconds + zone.delaySeconds };
    ScoreTerms& terms = scored.terms;
    terms.firstToken = weights.firstToken * predicted.firstTokenSeconds;
    terms.linkDelay = weights.linkDelay * zone.delaySeconds;
    const double target = this->latencyClass.firstTokenTargetSeconds.value_or(scored.firstTokenSeconds);
    terms.overTarget = weights.overTarget * std::max(0.0, scored.firstTokenSeconds - target);
    terms.linkCost = weights.linkCost * zone.link.costPerGigabyte * this->gigabytes;
    terms.price = weights.price * upstream.relativePrice;
    if (upstream.reclaimRiskPerHour > 0) {
        const double perToken = pool.rates.secondsPerToken;
        const double remaining = predicted.firstTokenSeconds + perToken * request.expectedOutputTokens;
        const double harm = request.idempotent ? remaining / 2 : unknownOutcomeSeconds;
        terms.reclaimRisk = upstream.reclaimRiskPerHour * remaining / secondsPerHour * harm;
    }
    if (weights.interference > 0) {
        const double excess = predicted.outstanding / upstream.shape.capacity - interferenceFrom;
        terms.interference = weights.interference * std::max(0.0, excess) / (1 - interferenceFrom);
    }
    if (candidate.preferred) {
        const double tokens = static_cast<double>(request.prefixBlocks.size()) * this->settings.tokensPerBlock;
        const double missing = std::max(0.0, tokens - candidate.cachedTokens);
        terms.affinity = -weights.firstToken * affinityPart * missing / pool.rates.prefillPerSecond;
    }
    scored.sum = terms.sum();
    return scored;
}

std::optional<RoutingDecision> UpstreamChooser::best(const RoutingRequest& request) const
{
    std::array<Scored, keptCandidates> kept;
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->candidateCount; i++) {
        const Scored scored = this->score(this->candidates[i], request);
        if (count == keptCandidates && scored.sum >= kept[count - 1].sum)
            continue;
        std::size_t place = count < keptCandidates ? count++ : count - 1;
        for (; place > 0 && kept[place - 1].sum > scored.sum; place--)
            kept[place] = kept[place - 1];
        kept[place] = scored;
    }

    const std::uint32_t index = kept[0].candidate.index;
    const Upstream& upstream = this->table.upstreams[index];
    const Pool& pool = this->table.pools[upstream.pool];
    RoutingDecision decision { pool.service, pool.version, this->table.zones[upstream.zone].name,
        this->table.details[index].address, this->describe(kept[0]), {} };
    decision.runnersUp.reserve(count - 1);
    for (std::size_t i = 1; i < count; i++)
        decision.runnersUp.push_back(this->describe(kept[i]));
    return decision;
}

ScoredUpstream UpstreamChooser::describe(const Scored& scored) const
{
    return { this->table.details[scored.candidate.index].id, scored.terms, fromSeconds(scored.firstTokenSeconds),
        scored.candidate.cachedTokens };
}

} // namespace teaselshore
