#include "teaselshore/reliability/retry_budget.hpp"

#include <algorithm>

namespace teaselshore {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings(settings)
    , counter(settings.window)
{
}

void RetryBudget::onRequest(Instant now) { this->counter.add(1, 0, now); }

bool RetryBudget::tryRetry(Instant now)
{
    if (this->remaining(now) < 1)
        return false;
    this->counter.add(0, 1, now);
    return true;
}

double RetryBudget::remaining(Instant now) const
{
    const double allowed = this->settings.ratio * this->counter.first(now) + this->settings.floor;
    return std::max(0.0, allowed - this->counter.second(now));
}

} // namespace teaselshore
