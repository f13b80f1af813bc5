#include "upstream_chooser.hpp"

#include "teaselshore/base/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <variant>
#include <vector>

namespace teaselshore {

namespace {

    // Sample sizes. Three upstreams of the nearest zone are enough to come close to its least loaded one; the other
    // samples only provide alternatives when that zone is overloaded, expensive or lost.
    constexpr std::size_t nearestSampleSize = 3;
    constexpr std::size_t idleSampleSize = 2;
    constexpr std::size_t remoteSampleSize = 2;
    constexpr std::size_t cheapestSampleSize = 3;
    constexpr std::size_t readerSampleSize = 4;
    /// Part of the engines that take the long prompts, relative to the part of the reading time that these need. Their
    /// targets are looser, so their engines may be busier; with 0.7, more of the longest ones were late.
    constexpr double readersPerShare = 0.85;
    /// With fewer engines, one of them for long prompts is too large a part of the pool.
    constexpr std::size_t minimumPoolWithReaders = 4;
    constexpr double minimumHoldSeconds = 0.05;
    constexpr std::size_t isolatedSampleSize = 32;
    constexpr std::size_t fallbackSampleSize = 64;

    /// Draws for each member of a sample if the samples avoid excluded upstreams.
    constexpr std::size_t maximumDraws = 4;
    /// With fewer excluded upstreams most samples hold none. Redraws would then only crowd out a cold upstream that may
    /// be sent a request.
    constexpr std::size_t minimumExcludedForRedraws = 4;

    /// Leading blocks that form the affinity key; requests that share them prefer the same upstreams.
    constexpr std::size_t affinityKeyBlocks = 4;
    /// A preferred upstream may have at most this multiple of the mean load, plus one request.
    constexpr double boundedLoadFactor = 1.25;
    /// Later requests that are expected to save the prefill of the prefix on a preferred upstream. With 0.3, a third
    /// more tokens of shared prompt parts were computed again, without better response times.
    constexpr double expectedPrefixReuses = 2;
    /// Utilisation above which batch requests delay interactive requests.
    constexpr double interferenceThreshold = 0.6;
    constexpr double bytesPerPromptToken = 4;
    constexpr double bytesPerOutputToken = 200;
    constexpr double bytesPerGigabyte = 1e9;
    constexpr double secondsPerHour = 3600;
    /// Cost of a reclaim for a request that is not idempotent, since its outcome is then unknown.
    constexpr double unknownOutcomeHarmSeconds = 600;

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
    this->table.runDueRechecks(now);
    return this->chooseFor(request, now);
}

RoutingPreview UpstreamChooser::preview(const RoutingRequest& request, Instant now)
{
    // All that a decision changes beside its own scratch space. The decision number stays raised, since it marks the
    // upstreams that were considered.
    const RandomSource randomBefore = this->random;
    const RoutingFailure failureBefore = this->failure;
    std::vector<std::size_t> nextBefore;
    for (const Pool& pool : this->table.pools)
        nextBefore.push_back(pool.roundRobinNext);

    RoutingPreview preview;
    preview.decision = this->chooseFor(request, now);
    preview.failure = this->failure;

    this->random = randomBefore;
    this->failure = failureBefore;
    for (std::size_t i = 0; i < nextBefore.size(); i++)
        this->table.pools[i].roundRobinNext = nextBefore[i];
    return preview;
}

std::optional<RoutingDecision> UpstreamChooser::chooseFor(const RoutingRequest& request, Instant now)
{
    this->now = now;
    this->decisionNumber++;
    this->failure = RoutingFailure::None;
    const std::vector<std::uint32_t>& pools = this->table.poolsOf(request.service);
    if (pools.empty()) {
        this->failure = RoutingFailure::UnknownService;
        return std::nullopt;
    }
    const auto found = this->table.classes.find(request.latencyClass);
    this->latencyClass = found == this->table.classes.end() ? ClassTargets {} : found->second;
    this->weights = this->latencyClass.firstTokenTargetSeconds ? &this->settings.interactive : &this->settings.batch;
    this->gigabytes = (bytesPerPromptToken * request.promptTokens + bytesPerOutputToken * request.expectedOutputTokens)
        / bytesPerGigabyte;
    this->avoidsExcluded = request.avoidExcluded;
    const bool areManyExcluded = request.avoidExcluded && request.excluded.size() >= minimumExcludedForRedraws;
    this->drawsPerMember = areManyExcluded ? maximumDraws : 1;
    for (const UpstreamId& id : request.excluded) {
        if (const std::optional<std::uint32_t> index = this->table.find(id))
            this->table.upstreams[*index].lastDecision = this->decisionNumber;
    }
    return this->chooseFromPools(pools, request);
}

std::optional<RoutingDecision> UpstreamChooser::chooseFromPools(
    const std::vector<std::uint32_t>& pools, const RoutingRequest& request)
{
    if (request.version) {
        const std::optional<std::uint32_t> pool = this->pinnedPool(pools, *request.version);
        this->failure = !pool                              ? RoutingFailure::NoVersion
            : this->table.pools[*pool].inServiceCount == 0 ? RoutingFailure::NoUpstream
                                                           : RoutingFailure::NoCapacity;
        return pool ? this->chooseInPool(*pool, request) : std::nullopt;
    }

    const std::size_t drawn = this->drawByShare(pools);
    if (drawn == pools.size()) {
        this->failure = RoutingFailure::NoVersion;
        return std::nullopt;
    }
    if (auto decision = this->chooseInPool(pools[drawn], request))
        return decision;

    // The request falls back to a version with an equal or larger share. A version with a smaller share takes it only
    // if no upstream of the larger ones is in service; otherwise overload of an old version would push traffic onto a
    // new one beyond its share.
    const double share = this->table.pools[pools[drawn]].share;
    bool anyInService = false;
    for (const std::uint32_t pool : pools) {
        const Pool& candidate = this->table.pools[pool];
        if (!candidate.isActive())
            continue;
        if (candidate.share < share && anyInService)
            break;
        anyInService = anyInService || candidate.inServiceCount > 0;
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

std::size_t UpstreamChooser::drawByShare(const std::vector<std::uint32_t>& pools)
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

std::optional<RoutingDecision> UpstreamChooser::chooseInPool(std::uint32_t poolIndex, const RoutingRequest& request)
{
    if (this->table.pools[poolIndex].eligible.empty())
        return std::nullopt;
    this->candidateCount = 0;
    this->readerCount = 0;
    if (request.alone)
        this->addIsolatedCandidate(this->table.pools[poolIndex]);
    else
        this->applyPolicy(poolIndex, request);
    if (this->candidateCount == 0)
        return std::nullopt;
    this->measureArrivals();
    std::optional<RoutingDecision> decision = this->bestDecision(request);
    this->failure = RoutingFailure::None;
    return decision;
}

void UpstreamChooser::applyPolicy(std::uint32_t poolIndex, const RoutingRequest& request)
{
    Pool& pool = this->table.pools[poolIndex];
    const auto addIfFound = [&](std::optional<std::uint32_t> index) {
        if (index)
            this->addCandidate(poolIndex, { *index, 0, false });
    };
    std::visit(Overloaded {
                   [&](const PredictedLatency&) { this->gatherCandidates(poolIndex, request); },
                   [&](const RoundRobin&) { addIfFound(this->nextRoundRobin(pool)); },
                   [&](const LeastOutstanding&) { addIfFound(this->leastOutstanding(pool)); },
               },
        this->settings.policy);
}

void UpstreamChooser::gatherCandidates(std::uint32_t poolIndex, const RoutingRequest& request)
{
    const Pool& pool = this->table.pools[poolIndex];
    this->selectReaders(pool, request);
    if (!request.prefixBlocks.empty())
        this->addPrefixCandidates(poolIndex, request);
    if (!this->latencyClass.firstTokenTargetSeconds)
        this->addCheapestSample(poolIndex, cheapestSampleSize);
    this->addNearestSample(poolIndex, pool.byZone, nearestSampleSize);
    this->addNearestSample(poolIndex, pool.idleByZone, idleSampleSize);
    this->addSample(poolIndex, pool.eligible, remoteSampleSize);
    if (this->readerCount > 0) {
        const std::span<const std::uint32_t> ranked(pool.byReadingRank);
        this->addSample(poolIndex, this->isLong ? ranked.first(this->readerCount) : ranked.subspan(this->readerCount),
            readerSampleSize);
    }
    if (this->candidateCount > 0)
        return;

    // The samples contained only excluded upstreams.
    const std::size_t size = pool.eligible.size();
    const std::size_t start = this->random.below(size);
    for (std::size_t i = 0; i < std::min(size, fallbackSampleSize); i++)
        this->addCandidate(poolIndex, { pool.eligible[(start + i) % size], 0, false });
}

void UpstreamChooser::selectReaders(const Pool& pool, const RoutingRequest& request)
{
    const std::size_t size = pool.byReadingRank.size();
    this->readerCount = 0;
    const std::optional<double>& target = this->latencyClass.firstTokenTargetSeconds;
    if (size < minimumPoolWithReaders || request.promptTokens == 0 || this->weights->blocking == 0 || !target)
        return;
    const double readers = readersPerShare * pool.promptMix.longShare() * static_cast<double>(size);
    this->readerCount = static_cast<std::uint32_t>(std::ceil(readers));
    const WorkSize work { request.promptTokens, 0, 0 };
    this->isLong = pool.promptMix.isLong(work.prefillWork() / pool.rates.prefillPerSecond, *target);
}

void UpstreamChooser::measureArrivals()
{
    double outstanding = 0;
    for (std::size_t i = 0; i < this->candidateCount; i++) {
        const LoadEstimate& load = this->table.upstreams[this->candidates[i].index].load;
        outstanding += load.ownOutstanding() + load.othersOutstanding(this->now);
    }
    const Pool& pool = this->table.pools[this->table.upstreams[this->candidates[0].index].pool];
    const double holdSeconds = std::max<double>(minimumHoldSeconds, pool.rates.holdSeconds);
    this->arrivalsPerSecond = outstanding / static_cast<double>(this->candidateCount) / holdSeconds;
}

void UpstreamChooser::addPrefixCandidates(std::uint32_t poolIndex, const RoutingRequest& request)
{
    const Pool& pool = this->table.pools[poolIndex];
    const std::size_t key = std::min(request.prefixBlocks.size(), affinityKeyBlocks) - 1;
    const double meanLoad = static_cast<double>(pool.outstanding) / static_cast<double>(pool.eligible.size());
    std::optional<std::uint32_t> preferred;
    const RendezvousTable::Choices choices = pool.affinityTable.choose(request.prefixBlocks[key]);
    for (const std::uint32_t index : choices.all()) {
        const Upstream& upstream = this->table.upstreams[index];
        if (upstream.positions[static_cast<std::size_t>(UpstreamSetKind::All)] == noPosition)
            continue;
        if (upstream.load.ownOutstanding() > boundedLoadFactor * meanLoad + 1)
            continue;
        // Nothing but the excluded upstreams is marked yet.
        if (this->avoidsExcluded && upstream.lastDecision == this->decisionNumber)
            continue;
        preferred = index;
        break;
    }

    const PrefixHolders holders = this->prefixIndex.find(request.prefixBlocks);
    for (const PrefixHolder& holder : holders.all()) {
        const double tokens = holder.certainty * holder.blocks * this->settings.tokensPerBlock;
        const auto cached = static_cast<std::uint32_t>(std::min<double>(tokens, request.promptTokens));
        this->addCandidate(poolIndex, { holder.engine, cached, holder.engine == preferred });
    }
    if (preferred)
        this->addCandidate(poolIndex, { *preferred, 0, true });
}

void UpstreamChooser::addIsolatedCandidate(const Pool& pool)
{
    if (pool.idle.empty())
        return;
    const std::size_t size = pool.idle.size();
    const std::size_t start = this->random.below(size);
    std::optional<std::uint32_t> leastLoaded;
    double fewestOthers = 0;
    for (std::size_t i = 0; i < std::min(size, isolatedSampleSize); i++) {
        const std::uint32_t index = pool.idle[(start + i) % size];
        const Upstream& upstream = this->table.upstreams[index];
        if (upstream.lastDecision == this->decisionNumber)
            continue;
        const double others = upstream.load.othersOutstanding(this->now);
        if (leastLoaded && others >= fewestOthers)
            continue;
        leastLoaded = index;
        fewestOthers = others;
    }
    if (leastLoaded)
        this->addCandidate(this->table.upstreams[*leastLoaded].pool, { *leastLoaded, 0, false });
}

void UpstreamChooser::addCandidate(std::uint32_t poolIndex, Candidate candidate)
{
    if (candidate.index >= this->table.upstreams.size() || this->candidateCount == maximumCandidates)
        return;
    Upstream& upstream = this->table.upstreams[candidate.index];
    if (upstream.lastDecision == this->decisionNumber || upstream.pool != poolIndex)
        return;
    if (upstream.positions[static_cast<std::size_t>(UpstreamSetKind::All)] == noPosition)
        return;
    upstream.lastDecision = this->decisionNumber;
    this->candidates[this->candidateCount++] = candidate;
}

void UpstreamChooser::addSample(std::uint32_t poolIndex, std::span<const std::uint32_t> set, std::size_t count)
{
    if (set.empty())
        return;
    for (std::size_t i = 0; i < count; i++) {
        const std::size_t before = this->candidateCount;
        for (std::size_t draw = 0; draw < this->drawsPerMember && this->candidateCount == before; draw++)
            this->addCandidate(poolIndex, { set[this->random.below(set.size())], 0, false });
    }
}

void UpstreamChooser::addNearestSample(
    std::uint32_t poolIndex, const std::vector<UpstreamSet>& byZone, std::size_t count)
{
    for (const std::uint32_t zone : this->table.nearestZones) {
        if (byZone[zone].empty())
            continue;
        const std::size_t before = this->candidateCount;
        this->addSample(poolIndex, byZone[zone], count);
        if (this->drawsPerMember == 1 || this->candidateCount > before)
            return;
    }
}

void UpstreamChooser::addCheapestSample(std::uint32_t poolIndex, std::size_t count)
{
    const Pool& pool = this->table.pools[poolIndex];
    std::size_t sampleSize = count;
    for (const UpstreamSet& tier : pool.byPrice) {
        if (tier.empty())
            continue;
        this->addSample(poolIndex, tier, sampleSize);
        if (sampleSize == 1)
            return;
        sampleSize = 1;
    }
}

std::optional<std::uint32_t> UpstreamChooser::nextRoundRobin(Pool& pool)
{
    for (std::size_t i = 0; i < pool.eligible.size(); i++) {
        const std::uint32_t index = pool.eligible[pool.roundRobinNext++ % pool.eligible.size()];
        if (this->table.upstreams[index].lastDecision != this->decisionNumber)
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
        if (upstream.lastDecision == this->decisionNumber)
            continue;
        if (!least || upstream.load.ownOutstanding() < this->table.upstreams[*least].load.ownOutstanding())
            least = index;
    }
    return least;
}

double UpstreamChooser::blockingSeconds(const Upstream& upstream, const LoadPrediction& predicted) const
{
    if (this->readerCount == 0)
        return 0;
    const Pool& pool = this->table.pools[upstream.pool];
    const bool isReader = upstream.readingRank < this->readerCount;
    if (!this->isLong)
        return isReader ? pool.promptMix.longShare() * pool.promptMix.meanRemainingSeconds() : 0;
    if (isReader)
        return 0;
    // Requests that arrive while the prompt is read wait for half of that time on average.
    return this->arrivalsPerSecond * predicted.readingSeconds * predicted.readingSeconds / 2;
}

UpstreamChooser::ScoredCandidate UpstreamChooser::score(const Candidate& candidate, const RoutingRequest& request) const
{
    const Upstream& upstream = this->table.upstreams[candidate.index];
    const Pool& pool = this->table.pools[upstream.pool];
    const ZoneInfo& zone = this->table.zones[upstream.zone];
    const ScoreWeights& weights = *this->weights;
    const WorkSize work { request.promptTokens, candidate.cachedTokens, request.expectedOutputTokens };

    const LoadPrediction predicted = upstream.load.predict(work, upstream.capacity, pool.rates, this->now);
    ScoredCandidate scored { candidate, {}, 0, predicted.firstTokenSeconds + zone.roundTripSeconds };
    ScoreTerms& terms = scored.terms;
    terms.firstToken = weights.firstToken * predicted.firstTokenSeconds;
    terms.linkDelay = weights.linkDelay * zone.roundTripSeconds;
    const double target = this->latencyClass.firstTokenTargetSeconds.value_or(scored.firstTokenSeconds);
    terms.overTarget = weights.overTarget * std::max(0.0, scored.firstTokenSeconds - target);
    terms.linkCost = weights.linkCost * zone.link.costPerGigabyte * this->gigabytes;
    terms.price = weights.price * upstream.relativePrice;
    if (upstream.reclaimRiskPerHour > 0) {
        const double perToken = pool.rates.secondsPerToken;
        const double remaining = predicted.firstTokenSeconds + perToken * request.expectedOutputTokens;
        const double harm = request.idempotent ? remaining / 2 : unknownOutcomeHarmSeconds;
        terms.reclaimRisk = upstream.reclaimRiskPerHour * remaining / secondsPerHour * harm;
    }
    if (weights.interference > 0) {
        const double excess = predicted.outstanding / upstream.capacity.slots - interferenceThreshold;
        terms.interference = weights.interference * std::max(0.0, excess) / (1 - interferenceThreshold);
    }
    terms.blocking = weights.blocking * this->blockingSeconds(upstream, predicted);
    terms.refusal = weights.refusal * upstream.refusals.probability(this->now);
    if (candidate.preferred) {
        const double tokens = static_cast<double>(request.prefixBlocks.size()) * this->settings.tokensPerBlock;
        const double missing = std::max(0.0, tokens - candidate.cachedTokens);
        terms.affinity = -weights.firstToken * expectedPrefixReuses * missing / pool.rates.prefillPerSecond;
    }
    scored.sum = terms.sum();
    return scored;
}

std::size_t UpstreamChooser::scoreCandidates(
    const RoutingRequest& request, std::array<ScoredCandidate, maximumReportedCandidates>& kept) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->candidateCount; i++) {
        const ScoredCandidate scored = this->score(this->candidates[i], request);
        if (count == maximumReportedCandidates && scored.sum >= kept[count - 1].sum)
            continue;
        std::size_t place = count < maximumReportedCandidates ? count++ : count - 1;
        for (; place > 0 && kept[place - 1].sum > scored.sum; place--)
            kept[place] = kept[place - 1];
        kept[place] = scored;
    }
    return count;
}

std::optional<RoutingDecision> UpstreamChooser::bestDecision(const RoutingRequest& request)
{
    std::array<ScoredCandidate, maximumReportedCandidates> kept;
    std::size_t count = this->scoreCandidates(request, kept);
    // A request that would miss its own target to spare others goes where it is served first.
    if (this->readerCount > 0 && kept[0].firstTokenSeconds > this->latencyClass.firstTokenTargetSeconds.value_or(0)) {
        this->readerCount = 0;
        count = this->scoreCandidates(request, kept);
    }

    const std::uint32_t index = kept[0].candidate.index;
    const Upstream& upstream = this->table.upstreams[index];
    const Pool& pool = this->table.pools[upstream.pool];
    RoutingDecision decision { pool.service, pool.version, this->table.zones[upstream.zone].name,
        this->table.details[index].address, this->toScoredUpstream(kept[0]), {} };
    decision.runnersUp.reserve(count - 1);
    for (std::size_t i = 1; i < count; i++)
        decision.runnersUp.push_back(this->toScoredUpstream(kept[i]));
    return decision;
}

ScoredUpstream UpstreamChooser::toScoredUpstream(const ScoredCandidate& scored) const
{
    return { this->table.details[scored.candidate.index].id, scored.terms, fromSeconds(scored.firstTokenSeconds),
        scored.candidate.cachedTokens };
}

} // namespace teaselshore
