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
    /// Age in seconds at which a measured rate and the rate of the pool have equal weight. In a fleet of 69 nodes, a
    /// node hears from an upstream every 6 s; with 10 s, it took one of a slow zone for an average one half of the
    /// time.
    constexpr double rateHalfLife = 60;
    constexpr double upstreamSampleWeight = 0.2;
    /// Weights of a sample that is slower and of one that is faster than the measured rate: a slow upstream must be
    /// known after few requests, and one request that found it idle must not hide that it is slow.
    constexpr double slowerSampleWeight = 0.4;
    constexpr double fasterSampleWeight = 0.1;
    /// Age in seconds at which a reported slowness no longer counts; it changes about every 0.6 s.
    constexpr double slownessLifetime = 1;
    /// Bounds of a plausible slowness.
    constexpr float minimumSlowness = 0.2F;
    constexpr float maximumSlowness = 10;
    constexpr double poolSampleWeight = 0.02;
    constexpr double reportSampleWeight = 0.1;
    constexpr double minimumElapsedSeconds = 1e-4;
    constexpr double maximumPredictionSeconds = 3600;

    double decay(Duration age, double halfLife) { return halfLife / (halfLife + std::max(0.0, toSeconds(age))); }

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
    const double rate = completedWork * this->slowness(now) / std::max(minimumElapsedSeconds, toSeconds(elapsed));
    updateAverages(this->measured.prefillPerSecond, pool.prefillPerSecond, rate,
        rate < this->measured.prefillPerSecond ? slowerSampleWeight : fasterSampleWeight);
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
    const double factor = this->slowness(now);
    if (outputTokens > 1) {
        updateAverages(this->measured.secondsPerToken, pool.secondsPerToken,
            toSeconds(sinceFirstToken) / factor / static_cast<double>(outputTokens - 1));
    }
    updateAverages(this->measured.holdSeconds, pool.holdSeconds, toSeconds(total) / factor);
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
    if (report.slots > 0)
        this->reportedSlots = report.slots;
    if (report.slowness > 0) {
        this->reportedSlowness = std::clamp(report.slowness, minimumSlowness, maximumSlowness);
        this->slownessReportedAt = at;
    }
}

double LoadEstimate::slowness(Instant now) const
{
    if (this->slownessReportedAt == Instant::min())
        return 1;
    const double age = std::max(0.0, toSeconds(now - this->slownessReportedAt));
    return 1 + (this->reportedSlowness - 1) * std::max(0.0, 1 - age / slownessLifetime);
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

double LoadEstimate::workAhead(Instant now) const
{
    return this->ownPrefillWork + this->othersOutstanding(now) * this->queuedFraction * this->measured.workPerRequest;
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
    const double others = this->othersOutstanding(now);
    const double total = this->outstanding + others;
    double queuedWork = this->ownPrefillWork + others * this->queuedFraction * pool.workPerRequest;
    if (capacity.prefillParallelism > 1)
        queuedWork /= capacity.prefillParallelism;
    const double rate = this->blendWithPool(this->measured.prefillPerSecond, pool.prefillPerSecond, now);
    double seconds = (work.prefillWork() + queuedWork) / rate;
    // With full parallelism (a plain service), most of a request precedes its first byte, so the queued work already
    // contains the wait for a slot.
    const std::uint32_t slots = this->reportedSlots > 0 ? this->reportedSlots : capacity.slots;
    if (capacity.prefillParallelism < capacity.slots && total >= slots) {
        const double hold = this->blendWithPool(this->measured.holdSeconds, pool.holdSeconds, now);
        seconds += hold * (total - slots + 1) / slots;
    }
    return { std::min(seconds * this->slowness(now), maximumPredictionSeconds), total };
}

} // namespace teaselshore
