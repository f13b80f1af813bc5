#include "teaselshore/reliability/sliding_counter.hpp"

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

SlidingCounter::SlidingCounter(Duration window)
    : stepLength(window / stepCount)
{
    TEASELSHORE_ASSERT(this->stepLength.count() > 0, "the window is too short to be divided into steps");
}

std::int64_t SlidingCounter::stepNumber(Instant now) const { return now.time_since_epoch() / this->stepLength; }

void SlidingCounter::add(std::uint32_t first, std::uint32_t second, Instant now)
{
    const std::int64_t number = this->stepNumber(now);
    Step& step = this->steps[static_cast<std::uint64_t>(number) % stepCount];
    if (step.number != number)
        step = Step { number, 0, 0 };
    step.first += first;
    step.second += second;
}

std::uint32_t SlidingCounter::first(Instant now) const
{
    const std::int64_t number = this->stepNumber(now);
    std::uint32_t sum = 0;
    for (const Step& step : this->steps) {
        if (step.number > number - static_cast<std::int64_t>(stepCount) && step.number <= number)
            sum += step.first;
    }
    return sum;
}

std::uint32_t SlidingCounter::second(Instant now) const
{
    const std::int64_t number = this->stepNumber(now);
    std::uint32_t sum = 0;
    for (const Step& step : this->steps) {
        if (step.number > number - static_cast<std::int64_t>(stepCount) && step.number <= number)
            sum += step.second;
    }
    return sum;
}

void SlidingCounter::clear() { this->steps.fill(Step {}); }

} // namespace teaselshore
