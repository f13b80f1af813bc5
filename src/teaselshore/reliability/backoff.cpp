#include "teaselshore/reliability/backoff.hpp"

#include <algorithm>

namespace teaselshore {

Backoff::Backoff(BackoffSettings settings)
    : settings(settings)
    , currentBound(std::min(settings.initial, settings.limit))
{
}

Duration Backoff::next(RandomSource& random)
{
    const double bound = toSeconds(this->currentBound);
    const double limit = toSeconds(this->settings.limit);
    this->currentBound = fromSeconds(std::min(limit, bound * this->settings.factor));
    return fromSeconds(bound * random.uniform());
}

void Backoff::reset() { this->currentBound = std::min(this->settings.initial, this->settings.limit); }

} // namespace teaselshore
