#include "teaselshore/reliability/duration_estimate.hpp"

#include <cmath>
#include <utility>

namespace teaselshore {

namespace {

    constexpr double sampleWeight = 0.125;
    constexpr double deviationFactor = 4;

} // namespace

void DurationEstimate::add(Duration sample)
{
    const double seconds = toSeconds(sample);
    if (!std::exchange(this->hasSamples, true)) {
        this->mean = seconds;
        this->deviation = seconds / 2;
        return;
    }
    this->deviation += sampleWeight * (std::abs(seconds - this->mean) - this->deviation);
    this->mean += sampleWeight * (seconds - this->mean);
}

Duration DurationEstimate::upperBound() const { return fromSeconds(this->mean + deviationFactor * this->deviation); }

} // namespace teaselshore
