#include "teaselshore/routing/refusal_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Time after which a result counts half.
    constexpr Duration halfLife = std::chrono::seconds(2);
    /// Accepted requests assumed without any result, so that one refusal of a busy upstream weighs little.
    constexpr double assumedAccepted = 1;
    /// Number of results that count at most, so that new ones outweigh those of a fleet that refused for a long time.
    constexpr double maxResults = 10;

    /// Lower probabilities count as 0. On an idle fleet the others would otherwise get all requests of an upstream that
    /// has recovered.
    constexpr double minProbability = 0.05;

    double decayFactor(Duration age) { return std::exp2(-toSeconds(std::max(Duration(0), age)) / toSeconds(halfLife)); }

} // namespace

void RefusalEstimate::add(double accepted, double refused, Instant now)
{
    const double factor = decayFactor(now - this->updatedAt);
    const double allAccepted = factor * this->accepted + accepted;
    const double allRefused = factor * this->refused + refused;
    const double scale = std::min(1.0, maxResults / std::max(1.0, allAccepted + allRefused));
    this->accepted = static_cast<float>(scale * allAccepted);
    this->refused = static_cast<float>(scale * allRefused);
    this->updatedAt = now;
}

double RefusalEstimate::probability(Instant now) const
{
    const double factor = decayFactor(now - this->updatedAt);
    const double probability = factor * this->refused / (factor * (this->accepted + this->refused) + assumedAccepted);
    return probability < minProbability ? 0 : probability;
}

} // namespace teaselshore
