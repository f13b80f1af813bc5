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
    /// Age in seconds at which stated prompt tokens of other nodes have half their weight, and the age from which they
    /// count no longer; an engine reads a typical long prompt in 0.1 s.
    constexpr double othersPrefillHalfLife = 1;
    constexpr Duration othersPrefillLifetime = std::chrono::seconds(2);
    /// Age in seconds at which a measured rate and the rate of the pool have equal weight.
    constexpr double rateHalfLife = 10;
    constexpr double upstreamSampleWeight = 0.2;
    constexpr double poolSampleWeight = 0.02;
    constexpr double reportSampleWeight = 0.1;
    constexpr double minimumElapsedSeconds = 1e-4;
    constexpr double maximumPredictionSeconds = 3600;

    double decay(Duration age, double halfLife) { return halfLife / (halfLife + std::max(0.0, toSeconds(age))); }

    void updateAverages(float& measured, float& pool, double sample)
    {
        measured = static_cast<float>(measured == 0 ? sample : measured + upstreamSampleWeight * (sample - measured));
        pool += static_cast<float>(poolSampleWeight * (sample - pool));
    }

} // namespace

double WorkSize::prefillWork() const
{
    return fixedRequestWork + (this->promptTokens > this->cachedTokens ? this->promptTokens - this->cachedTokens : 0);
}

void LoadEstimate::onDispatched(const WorkSize& work)
{
    this->outstanding++;
    this->ownPrefillWork += work.prefillWork();
}

void LoadEstimate::onFirstToken(const WorkSize& work, double workAhead, Duration elapsed,
    const UpstreamCapacity& capacity, LoadRates& pool, Instant now)
{
    this->ownPrefillWork = std::max(0.0, this->ownPrefillWork - work.prefillWork());
    const double completedWork = work.prefillWork() + workAhead / capacity.prefillParallelism;
    updateAverages(this->measured.prefillPerSecond, pool.prefillPerSecond,
        completedWork / std::max(minimumElapsedSeconds, toSeconds(elapsed)));
    updateAverages(this->measured.workPerRequest, pool.workPerRequest, work.prefillWork());
    this->measuredAt = now;
}

void LoadEstimate::onFinished(const WorkSize& work, bool firstTokenSeen)
{
    if (this->outstanding > 0)
        this->outstanding--;
    if (!firstTokenSeen)
        this->ownPrefillWork -= work.prefillWork();
    if (this->outstanding == 0 || this->ownPrefillWork < 0)
        this->ownPrefillWork = 0;
}

void LoadEstimate::onCompleted(
    std::uint32_t outputTokens, Duration sinceFirstToken, Duration total, LoadRates& pool, Instant now)
{
    if (outputTokens > 1) {
        updateAverages(this->measured.secondsPerToken, pool.secondsPerToken,
            toSeconds(sinceFirstToken) / static_cast<double>(outputTokens - 1));
    }
    updateAverages(this->measured.holdSeconds, pool.holdSeconds, toSeconds(total));
    this->measuredAt = now;
}

void LoadEstimate::onReport(const LoadReport& report, Instant now)
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
}

double LoadEstimate::othersOutstanding(Instant now) const
{
    if (this->reportedAt == Instant::min())
        return 0;
    const Duration age = now - this->reportedAt;
    const double recent
        = this->averageOthers + (this->lastReportedOthers - this->averageOthers) * decay(age, reportHalfLife);
    const double remaining = decay(age, averageHalfLife);
    return recent * remaining * remaining;
}

void LoadEstimate::onOthersPrefill(double tokens, Instant at)
{
    if (at < this->othersPrefillAt)
        return;
    this->othersPrefill = static_cast<float>(std::max(0.0, tokens));
    this->othersPrefillAt = at;
}

double LoadEstimate::othersPrefillWork(double workPerRequest, Instant now) const
{
    const double queued = this->othersOutstanding(now) * this->queuedFraction * workPerRequest;
    if (this->othersPrefillAt == Instant::min() || now - this->othersPrefillAt > othersPrefillLifetime)
        return queued;
    return std::max(queued, this->othersPrefill * decay(now - this->othersPrefillAt, othersPrefillHalfLife));
}

double LoadEstimate::workAhead(Instant now) const
{
    return this->ownPrefillWork + this->othersPrefillWork(this->measured.workPerRequest, now);
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
    double queuedWork = this->ownPrefillWork + this->othersPrefillWork(pool.workPerRequest, now);
    if (capacity.prefillParallelism > 1)
        queuedWork /= capacity.prefillParallelism;
    const double rate = this->blendWithPool(this->measured.prefillPerSecond, pool.prefillPerSecond, now);
    double seconds = (work.prefillWork() + queuedWork) / rate;
    // With full parallelism (a plain service), most of a request precedes its first byte, so the queued work already
    // contains the wait for a slot.
    if (capacity.prefillParallelism < capacity.slots && total >= capacity.slots) {
        const double hold = this->blendWithPool(this->measured.holdSeconds, pool.holdSeconds, now);
        seconds += hold * (total - capacity.slots + 1) / capacity.slots;
    }
    return { std::min(seconds, maximumPredictionSeconds), total, queuedWork / rate, work.prefillWork() / rate };
}

} // namespace teaselshore
