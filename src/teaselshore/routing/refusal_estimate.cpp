#include "teaselshore/routing/refusal_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Time after which a result counts half.
    constexpr Duration halfLife = std::chrono::seconds(8);
    /// Accepted requests assumed without any result, so that one refusal of a busy upstream weighs little.
    constexpr double assumedAccepted = 1;

    double decayFactor(Duration age) { return std::exp2(-toSeconds(std::max(Duration(0), age)) / toSeconds(halfLife)); }

} // namespace

void RefusalEstimate::onAccepted(Instant now)
{
    this->decayTo(now);
    this->accepted += 1;
}

void RefusalEstimate::onRefused(Instant now)
{
    this->decayTo(now);
    this->refused += 1;
}

double RefusalEstimate::probability(Instant now) const
{
    const double factor = decayFactor(now - this->updatedAt);
    return factor * this->refused / (factor * (this->accepted + this->refused) + assumedAccepted);
}

void RefusalEstimate::decayTo(Instant now)
{
    const auto factor = static_cast<float>(decayFactor(now - this->updatedAt));
    this->accepted *= factor;
    this->refused *= factor;
    this->updatedAt = now;
}

} // namespace teaselshore
