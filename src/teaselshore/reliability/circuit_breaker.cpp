#include "teaselshore/reliability/circuit_breaker.hpp"

#include <algorithm>

namespace teaselshore {

CircuitBreaker::CircuitBreaker(CircuitBreakerSettings settings)
    : settings(settings)
    , counter(settings.window)
{
}

CircuitState CircuitBreaker::state(Instant now) const
{
    if (this->closed)
        return CircuitState::Closed;
    return now < this->openUntil ? CircuitState::Open : CircuitState::HalfOpen;
}

bool CircuitBreaker::admits(Instant now) const
{
    if (this->closed)
        return true;
    if (now < this->openUntil)
        return false;
    return !this->probeSince || now - *this->probeSince >= this->settings.probeTimeout;
}

std::optional<CircuitPass> CircuitBreaker::tryPass(Instant now)
{
    if (!this->admits(now))
        return std::nullopt;
    if (!this->closed) {
        this->probeSince = now;
        this->generation++;
    }
    return CircuitPass { this->generation };
}

void CircuitBreaker::onSuccess(CircuitPass pass, Instant now)
{
    if (pass.generation != this->generation)
        return;
    if (this->closed) {
        this->counter.add(1, 0, now);
        return;
    }
    this->closed = true;
    this->generation++;
    this->probeSince.reset();
    this->counter.clear();
}

void CircuitBreaker::onFailure(CircuitPass pass, Instant now)
{
    if (pass.generation != this->generation)
        return;
    if (!this->closed) {
        this->open(std::min(this->openLength * 2, this->settings.maximumOpenTime), now);
        return;
    }
    this->counter.add(0, 1, now);
    const double failures = this->counter.second(now);
    const double volume = this->counter.first(now) + failures;
    if (volume >= this->settings.minimumVolume && failures >= this->settings.errorRatio * volume)
        this->open(this->settings.openTime, now);
}

void CircuitBreaker::onAbandoned(CircuitPass pass, Instant)
{
    if (pass.generation == this->generation)
        this->probeSince.reset();
}

std::optional<Instant> CircuitBreaker::admitsFrom(Instant now) const
{
    if (this->admits(now))
        return std::nullopt;
    if (now < this->openUntil)
        return this->openUntil;
    return *this->probeSince + this->settings.probeTimeout;
}

void CircuitBreaker::open(Duration length, Instant now)
{
    this->closed = false;
    this->generation++;
    this->openLength = length;
    this->openUntil = now + length;
    this->probeSince.reset();
    this->counter.clear();
}

} // namespace teaselshore
