#include "teaselshore/routing/load_estimate.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Prefill work of a request in addition to its prompt tokens, in token equivalents.
    constexpr double fixedRequestWork = 50;
    /// Age in seconds at which the deviation of the last report from the average has half its weight.
    constexpr double reportHalfLife = 2;
    /// Age in seconds at which the decay factor of the average is one half; the factor is applied twice, so the average
    /// then counts a quarter. With a slower decay, an upstream that was last reported as full got no work for minutes.
    constexpr double averageHalfLife = 10;
    /// Age in seconds at which a measured rate and the rate of the pool have equal weight.
    constexpr double rateHalfLife = 10;
    /// The age of a measurement at an engine counts a sixth, so that its rate has half its weight after 60 s. In a
    /// fleet of 69 nodes, a node hears from an engine every 6 s, and took one of a slow zone for an average one half of
    /// the time.
    constexpr int engineAgeDivisor = 6;
    constexpr double upstreamSampleWeight = 0.2;
    /// Weights of a sample of an engine that is slower and of one that is faster than the measured rate: a slow engine
    /// must be known after few requests, and one request that found it idle must not hide that it is slow. At plain
    /// services, a slower sample shows a moment of queueing, and remembering it left room unused.
    constexpr double slowerSampleWeight = 0.4;
    constexpr double fasterSampleWeight = 0.1;
    /// Age in seconds at which a reported slowness no longer counts; it changes about every 0.6 s.
    constexpr double slownessLifetime = 1;
    /// Bounds of a plausible slowness.
    constexpr float minimumSlowness = 0.2F;
    constexpr float maximumSlowness = 10;
    constexpr double poolSampleWeight = 0.02;
    constexpr double reportSampleWeight = 0.1;
    /// Ages in seconds at which what a peer has stated no longer counts.
    constexpr double peerReportLifetime = 2;
    constexpr double peerWorkLifetime = 1;
    /// Age in seconds at which a rate that a peer has measured and that of the pool have equal weight.
    constexpr double peerRateHalfLife = 10;
    /// Bound of the ratio between a plausible rate of a peer and that of the pool.
    constexpr double maximumPeerRateRatio = 4;
    constexpr double minimumElapsedSeconds = 1e-4;
    constexpr double maximumPredictionSeconds = 3600;

    double decay(Duration age, double halfLife) { return halfLife / (halfLife + std::max(0.0, toSeconds(age))); }

    /// Returns whether prompts are processed one by one.
    bool isEngine(const UpstreamCapacity& capacity) { return capacity.prefillParallelism < capacity.slots; }

    /// Returns the time at which a measurement of an engine has the age that counts.
    Instant engineBlendTime(Instant measuredAt, Instant now)
    {
        return measuredAt == Instant::min() ? now : measuredAt + (now - measuredAt) / engineAgeDivisor;
    }

    void updateAverages(float& measured, float& pool, double sample, double sampleWeight = upstreamSampleWeight)
    {
        measured = static_cast<float>(measured == 0 ? sample : measured + sampleWeight * (sample - measured));
        pool += static_cast<float>(poolSampleWeight * (sample - pool));
    }

} // namespace

double WorkSize::prefillWork() const
{
    return fixedRequestWork + (this->promptTokens > this->cachedTokens ? this->promptTokens - this->cachedTokens : 0);
}

void LoadEstimate::onDispatched(const WorkSize& work, Instant now)
{
    this->outstanding++;
    this->recordOwnChange(now);
    this->ownPrefillWork += work.prefillWork();
}

void LoadEstimate::onFirstToken(const WorkSize& work, double workAhead, Duration elapsed,
    const UpstreamCapacity& capacity, LoadRates& pool, Instant now)
{
    this->ownPrefillWork = std::max(0.0, this->ownPrefillWork - work.prefillWork());
    const double completedWork = work.prefillWork() + workAhead / capacity.prefillParallelism;
    const double rate = completedWork * this->slowness(pool, now) / std::max(minimumElapsedSeconds, toSeconds(elapsed));
    updateAverages(this->measured.prefillPerSecond, pool.prefillPerSecond, rate,
        !isEngine(capacity)                          ? upstreamSampleWeight
            : rate < this->measured.prefillPerSecond ? slowerSampleWeight
                                                     : fasterSampleWeight);
    updateAverages(this->measured.workPerRequest, pool.workPerRequest, work.prefillWork());
    this->measuredAt = now;
}

void LoadEstimate::recordOwnChange(Instant now)
{
    this->ownChanges[this->nextOwnChange] = { now, this->outstanding };
    this->nextOwnChange = (this->nextOwnChange + 1) % maximumOwnChanges;
}

std::uint32_t LoadEstimate::ownOutstandingAt(Instant at) const
{
    // From the youngest to the oldest. Before the oldest one that is kept, its number is the best guess.
    std::uint32_t result = this->outstanding;
    for (std::size_t i = 1; i <= maximumOwnChanges; i++) {
        const OwnChange& change = this->ownChanges[(this->nextOwnChange + maximumOwnChanges - i) % maximumOwnChanges];
        if (change.at == Instant::min())
            return 0;
        result = change.outstanding;
        if (change.at <= at)
            return result;
    }
    return result;
}

void LoadEstimate::onFinished(const WorkSize& work, bool firstTokenSeen, Instant now)
{
    if (this->outstanding > 0)
        this->outstanding--;
    this->recordOwnChange(now);
    if (!firstTokenSeen)
        this->ownPrefillWork -= work.prefillWork();
    if (this->outstanding == 0 || this->ownPrefillWork < 0)
        this->ownPrefillWork = 0;
}

void LoadEstimate::onCompleted(
    std::uint32_t outputTokens, Duration sinceFirstToken, Duration total, LoadRates& pool, Instant now)
{
    const double factor = this->slowness(pool, now);
    if (outputTokens > 1) {
        updateAverages(this->measured.secondsPerToken, pool.secondsPerToken,
            toSeconds(sinceFirstToken) / factor / static_cast<double>(outputTokens - 1));
    }
    updateAverages(this->measured.holdSeconds, pool.holdSeconds, toSeconds(total) / factor);
    this->measuredAt = now;
}

void LoadEstimate::onReport(const LoadReport& report, LoadRates& pool, Instant now)
{
    const Instant at = now - report.lag;
    if (this->reportedAt != Instant::min() && at < this->reportedAt)
        return;
    const double total = static_cast<double>(report.queued) + report.running;
    this->lastReportedOthers = static_cast<float>(std::max(0.0, total - this->outstanding));
    this->queuedFraction = total > 0 ? static_cast<float>(report.queued / total) : 0;
    if (this->reportedAt == Instant::min())
        this->averageOthers = this->lastReportedOthers;
    else
        this->averageOthers
            += static_cast<float>(reportSampleWeight * (this->lastReportedOthers - this->averageOthers));
    this->reportedAt = at;
    if (report.slots > 0)
        this->reportedSlots = report.slots;
    this->setSlowness(report.slowness, pool, at);
}

void LoadEstimate::setSlowness(float slowness, LoadRates& pool, Instant at)
{
    if (slowness <= 0 || (this->slownessReportedAt != Instant::min() && at < this->slownessReportedAt))
        return;
    this->reportedSlowness = std::clamp(slowness, minimumSlowness, maximumSlowness);
    this->slownessReportedAt = at;
    pool.slowness += static_cast<float>(poolSampleWeight * (this->reportedSlowness - pool.slowness));
}

void LoadEstimate::onPeerReport(const LoadReport& report, LoadRates& pool, Instant now)
{
    const Instant at = now - report.lag;
    if ((this->reportedAt != Instant::min() && at <= this->reportedAt)
        || (this->peerReportedAt != Instant::min() && at <= this->peerReportedAt))
        return;
    const double total = static_cast<double>(report.queued) + report.running;
    this->peerReportedOthers = static_cast<float>(std::max(0.0, total - this->ownOutstandingAt(at)));
    this->peerQueuedFraction = total > 0 ? static_cast<float>(report.queued / total) : 0;
    this->peerReportedAt = at;
    this->setSlowness(report.slowness, pool, at);
    if (report.prefillPerSecond > 0) {
        this->peerRate = report.prefillPerSecond;
        this->peerRateAt = at;
    }
}

void LoadEstimate::onPeerWork(double work, Instant now)
{
    this->peerWork = static_cast<float>(work);
    this->peerWorkAt = now;
}

double LoadEstimate::peerWeight(Instant now) const
{
    if (this->peerReportedAt == Instant::min()
        || (this->reportedAt != Instant::min() && this->peerReportedAt <= this->reportedAt))
        return 0;
    return std::clamp(1 - toSeconds(now - this->peerReportedAt) / peerReportLifetime, 0.0, 1.0);
}

bool LoadEstimate::isSharedReport(Instant now) const { return this->peerWeight(now) > 0; }

std::optional<Duration> LoadEstimate::reportAge(Instant now) const
{
    const Instant at = std::max(this->reportedAt, this->peerReportedAt);
    return at == Instant::min() ? std::nullopt : std::optional(std::max(Duration::zero(), now - at));
}

double LoadEstimate::slowness(const LoadRates& pool, Instant now) const
{
    if (this->slownessReportedAt == Instant::min())
        return pool.slowness;
    const double age = std::max(0.0, toSeconds(now - this->slownessReportedAt));
    return pool.slowness + (this->reportedSlowness - pool.slowness) * std::max(0.0, 1 - age / slownessLifetime);
}

double LoadEstimate::poolPrefillRate(const LoadRates& pool, Instant now) const
{
    if (this->peerRate == 0)
        return pool.prefillPerSecond;
    const double bounded = std::clamp<double>(
        this->peerRate, pool.prefillPerSecond / maximumPeerRateRatio, pool.prefillPerSecond * maximumPeerRateRatio);
    return pool.prefillPerSecond + (bounded - pool.prefillPerSecond) * decay(now - this->peerRateAt, peerRateHalfLife);
}

double LoadEstimate::prefillRate(const LoadRates& pool, Instant now) const
{
    if (this->measured.prefillPerSecond == 0 && this->peerRate == 0)
        return 0;
    return this->blendWithPool(
        this->measured.prefillPerSecond, this->poolPrefillRate(pool, now), engineBlendTime(this->measuredAt, now));
}

double LoadEstimate::othersOutstanding(Instant now) const
{
    const double reported = this->reportedOthersOutstanding(now);
    return reported + (this->peerReportedOthers - reported) * this->peerWeight(now);
}

double LoadEstimate::certainOthersOutstanding(Instant now) const
{
    return std::min(this->reportedOthersOutstanding(now), this->othersOutstanding(now));
}

double LoadEstimate::reportedOthersOutstanding(Instant now) const
{
    if (this->reportedAt == Instant::min())
        return 0;
    const Duration age = now - this->reportedAt;
    const double recent
        = this->averageOthers + (this->lastReportedOthers - this->averageOthers) * decay(age, reportHalfLife);
    const double remaining = decay(age, averageHalfLife);
    return recent * remaining * remaining;
}

double LoadEstimate::workAhead(Instant now) const
{
    return this->ownPrefillWork + this->othersQueuedWork(this->measured.workPerRequest, now);
}

double LoadEstimate::othersQueuedWork(double workPerRequest, Instant now) const
{
    const double queuedFraction
        = this->queuedFraction + (this->peerQueuedFraction - this->queuedFraction) * this->peerWeight(now);
    const double queued = this->othersOutstanding(now) * queuedFraction * workPerRequest;
    if (this->peerWorkAt == Instant::min())
        return queued;
    return std::max(queued, this->peerWork * std::max(0.0, 1 - toSeconds(now - this->peerWorkAt) / peerWorkLifetime));
}

double LoadEstimate::blendWithPool(double measuredRate, double poolRate, Instant now) const
{
    if (measuredRate == 0)
        return poolRate;
    return poolRate + (measuredRate - poolRate) * decay(now - this->measuredAt, rateHalfLife);
}

LoadPrediction LoadEstimate::predict(
    const WorkSize& work, const UpstreamCapacity& capacity, const LoadRates& pool, Instant now) const
{
    const double total = this->outstanding + this->othersOutstanding(now);
    double queuedWork = this->ownPrefillWork + this->othersQueuedWork(pool.workPerRequest, now);
    if (capacity.prefillParallelism > 1)
        queuedWork /= capacity.prefillParallelism;
    const Instant blendAt = isEngine(capacity) ? engineBlendTime(this->measuredAt, now) : now;
    const double rate = this->blendWithPool(this->measured.prefillPerSecond, this->poolPrefillRate(pool, now), blendAt);
    double seconds = (work.prefillWork() + queuedWork) / rate;
    // With full parallelism (a plain service), most of a request precedes its first byte, so the queued work already
    // contains the wait for a slot.
    const std::uint32_t slots = this->reportedSlots > 0 ? this->reportedSlots : capacity.slots;
    if (isEngine(capacity) && total >= slots) {
        const double hold = this->blendWithPool(this->measured.holdSeconds, pool.holdSeconds, blendAt);
        seconds += hold * (total - slots + 1) / slots;
    }
    return { std::min(seconds * this->slowness(pool, now), maximumPredictionSeconds), total };
}

} // namespace teaselshore
