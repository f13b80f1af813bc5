#include "teaselshore/routing/load_estimate.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Work of a request besides its prompt tokens, token equivalents.
    constexpr double fixedWork = 50;
    /// Age at which a deviation of the last report from the average counts half.
    constexpr double reportHalfLife = 2;
    /// Age at which the average itself counts a quarter; without reports, nothing is known in the end. With a slower
    /// decline, an upstream that was last reported as full got no work for minutes.
    constexpr double averageFade = 10;
    /// Age at which a measured speed counts half against that of the pool.
    constexpr double rateHalfLife = 10;
    constexpr double ownWeight = 0.2;
    constexpr double poolWeight = 0.02;
    constexpr double averageWeight = 0.1;
    constexpr double shortestElapsed = 1e-4;
    constexpr double longestPrediction = 3600;

    double fade(Duration age, double halfLife) { return halfLife / (halfLife + std::max(0.0, toSeconds(age))); }

    void learn(float& measured, float& pool, double sample)
    {
        measured = static_cast<float>(measured == 0 ? sample : measured + ownWeight * (sample - measured));
        pool += static_cast<float>(poolWeight * (sample - pool));
    }

} // namespace

double WorkSize::prefillWork() const
{
    return fixedWork + (this->promptTokens > this->cachedTokens ? this->promptTokens - this->cachedTokens : 0);
}

void LoadEstimate::onDispatched(const WorkSize& work)
{
    this->outstanding++;
    this->ownPrefillWork += work.prefillWork();
}

void LoadEstimate::onFirstToken(
    const WorkSize& work, double workAhead, Duration elapsed, const LoadShape& shape, LoadRates& pool, Instant now)
{
    this->ownPrefillWork = std::max(0.0, this->ownPrefillWork - work.prefillWork());
    const double done = work.prefillWork() + workAhead / shape.parallelism;
    learn(this->measured.prefillPerSecond, pool.prefillPerSecond, done / std::max(shortestElapsed, toSeconds(elapsed)));
    learn(this->measured.workPerRequest, pool.workPerRequest, work.prefillWork());
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
        learn(this->measured.secondsPerToken, pool.secondsPerToken,
            toSeconds(sinceFirstToken) / static_cast<double>(outputTokens - 1));
    }
    learn(this->measured.holdSeconds, pool.holdSeconds, toSeconds(total));
    this->measuredAt = now;
}

void LoadEstimate::onReport(const LoadReport& report, Instant now)
{
    const Instant at = now - report.lag;
    if (this->reportedAt != Instant::min() && at < this->reportedAt)
        return;
    const double total = static_cast<double>(report.queued) + report.running;
    this->othersLast = static_cast<float>(std::max(0.0, total - this->outstanding));
    this->queuedPart = total > 0 ? static_cast<float>(report.queued / total) : 0;
    if (this->reportedAt == Instant::min())
        this->othersAverage = this->othersLast;
    else
        this->othersAverage += static_cast<float>(averageWeight * (this->othersLast - this->othersAverage));
    this->reportedAt = at;
}

double LoadEstimate::othersOutstanding(Instant now) const
{
    if (this->reportedAt == Instant::min())
        return 0;
    const Duration age = now - this->reportedAt;
    const double recent = this->othersAverage + (this->othersLast - this->othersAverage) * fade(age, reportHalfLife);
    const double remaining = fade(age, averageFade);
    return recent * remaining * remaining;
}

double LoadEstimate::workAhead(Instant now) const
{
    return this->ownPrefillWork + this->othersOutstanding(now) * this->queuedPart * this->measured.workPerRequest;
}

double LoadEstimate::blend(double measuredRate, double poolRate, Instant now) const
{
    if (measuredRate == 0)
        return poolRate;
    return poolRate + (measuredRate - poolRate) * fade(now - this->measuredAt, rateHalfLife);
}

LoadPrediction LoadEstimate::predict(
    const WorkSize& work, const LoadShape& shape, const LoadRates& pool, Instant now) const
{
    const double others = this->othersOutstanding(now);
    const double total = this->outstanding + others;
    double ahead = this->ownPrefillWork + others * this->queuedPart * pool.workPerRequest;
    if (shape.parallelism > 1)
        ahead /= shape.parallelism;
    const double rate = this->blend(this->measured.prefillPerSecond, pool.prefillPerSecond, now);
    double seconds = (work.prefillWork() + ahead) / rate;
    // Where the first byte comes late in the request, the work ahead already contains the wait for a slot.
    if (shape.parallelism < shape.capacity && total >= shape.capacity) {
        const double hold = this->blend(this->measured.holdSeconds, pool.holdSeconds, now);
        seconds += hold * (total - shape.capacity + 1) / shape.capacity;
    }
    return { std::min(seconds, longestPrediction), total };
}

} // namespace teaselshore
