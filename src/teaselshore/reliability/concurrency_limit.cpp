#include "teaselshore/reliability/concurrency_limit.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Weight of a lower sample in the baseline; a strict minimum would take one lucky request as the norm.
    constexpr double baselineFall = 0.2;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings settings)
    : settings(settings)
    , current(std::clamp(settings.initial, settings.minimum, settings.maximum))
{
}

void ConcurrencyLimit::onCompleted(Duration latency, std::uint32_t outstanding, Instant now)
{
    const auto sample = static_cast<double>(latency.count());
    // Under full use the latency contains queueing, which must not become the new baseline.
    const bool mayRise = outstanding * 2 < this->limit() || this->current <= this->settings.minimum;
    this->updateBaseline(sample, mayRise, now);
    if (latency >= this->settings.harmless && sample > this->baseline * this->settings.tolerance) {
        this->decreaseLimit(now);
        return;
    }
    // An upstream that is little used gives no evidence that it could do more.
    if (outstanding * 2 >= this->limit())
        this->current = std::min(this->settings.maximum, this->current + 1 / this->current);
}

void ConcurrencyLimit::onOverload(Instant now) { this->decreaseLimit(now); }

std::uint32_t ConcurrencyLimit::limit() const { return std::max(1U, static_cast<std::uint32_t>(this->current)); }

void ConcurrencyLimit::setBounds(double minimum, double maximum)
{
    this->settings.minimum = minimum;
    this->settings.maximum = maximum;
    this->current = std::clamp(this->current, minimum, maximum);
}

void ConcurrencyLimit::decreaseLimit(Instant now)
{
    if (this->decreasedAt != Instant::min() && now - this->decreasedAt < this->settings.decreaseInterval)
        return;
    this->decreasedAt = now;
    this->current = std::max(this->settings.minimum, this->current * this->settings.decrease);
}

void ConcurrencyLimit::updateBaseline(double latency, bool mayRise, Instant now)
{
    if (this->baseline == 0) {
        this->baseline = latency;
    } else {
        const double elapsed = toSeconds(now - this->baselineAt);
        const double raised = this->baseline * (mayRise ? 1 + this->settings.baselineRise * elapsed : 1);
        this->baseline = latency < raised ? raised + baselineFall * (latency - raised) : raised;
    }
    this->baselineAt = now;
}

} // namespace teaselshore
