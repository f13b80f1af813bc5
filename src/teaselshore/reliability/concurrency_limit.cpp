#include "teaselshore/reliability/concurrency_limit.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Weight of a sample in the smoothed latency. Single samples vary with cache hits and queueing: a limit that
    /// reacted to them fell to its minimum on an idle upstream.
    constexpr double sampleWeight = 0.1;
    /// Weight of a smoothed latency below the baseline when the baseline is updated.
    constexpr double lowerBaselineWeight = 0.05;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings settings)
    : settings(settings)
    , current(std::clamp(settings.initial, settings.minimum, settings.maximum))
{
}

void ConcurrencyLimit::onCompleted(Duration latency, std::uint32_t outstanding, Instant now)
{
    const auto sample = static_cast<double>(latency.count());
    this->smoothed = this->smoothed == 0 ? sample : this->smoothed + sampleWeight * (sample - this->smoothed);
    // Under high utilization the latency includes queueing, which must not become the new baseline.
    const bool mayRise = outstanding * 2 < this->limit() || this->current <= this->settings.latencyMinimum;
    this->updateBaseline(mayRise, now);
    const auto minimumOverloadLatency = static_cast<double>(this->settings.minimumOverloadLatency.count());
    if (this->smoothed > std::max(minimumOverloadLatency, this->baseline * this->settings.tolerance)) {
        this->decreaseLimit(this->settings.latencyMinimum, now);
        // Only latencies measured after this decrease may cause the next one.
        this->smoothed = this->baseline;
        return;
    }
    // A lightly used upstream gives no evidence that it could handle more.
    if (outstanding * 2 >= this->limit())
        this->current = std::min(this->settings.maximum, this->current + 1 / this->current);
}

void ConcurrencyLimit::onOverload(Instant now) { this->decreaseLimit(this->settings.minimum, now); }

std::uint32_t ConcurrencyLimit::limit() const { return std::max(1U, static_cast<std::uint32_t>(this->current)); }

void ConcurrencyLimit::setBounds(double minimum, double latencyMinimum, double maximum)
{
    this->settings.minimum = minimum;
    this->settings.latencyMinimum = latencyMinimum;
    this->settings.maximum = maximum;
    this->current = std::clamp(this->current, minimum, maximum);
}

void ConcurrencyLimit::decreaseLimit(double lowerBound, Instant now)
{
    if (this->decreasedAt != Instant::min() && now - this->decreasedAt < this->settings.decreaseInterval)
        return;
    this->decreasedAt = now;
    this->current = std::min(this->current, std::max(lowerBound, this->current * this->settings.decrease));
}

void ConcurrencyLimit::updateBaseline(bool mayRise, Instant now)
{
    if (this->baseline == 0) {
        this->baseline = this->smoothed;
    } else if (this->smoothed < this->baseline) {
        this->baseline += lowerBaselineWeight * (this->smoothed - this->baseline);
    } else if (mayRise) {
        const double rise = 1 + this->settings.baselineRise * toSeconds(now - this->baselineAt);
        this->baseline = std::min(this->smoothed, this->baseline * rise);
    }
    this->baselineAt = now;
}

} // namespace teaselshore
