#include "teaselshore/emulators/tick_timer.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

TickTimer::TickTimer(EventLoop& loop, std::function<void()> task)
    : loop(loop)
    , task(std::move(task))
{
}

TickTimer::~TickTimer() { this->armAt(std::nullopt); }

void TickTimer::armAt(std::optional<Instant> time)
{
    if (this->armed == time)
        return;
    if (this->armed)
        this->loop.cancelTimer(this->timer);
    this->armed = time;
    if (!time)
        return;
    const Duration delay = std::max(*time - this->loop.now(), Duration::zero());
    this->timer = this->loop.runAfter(delay, [this] {
        this->armed.reset();
        this->task();
    });
}

} // namespace teaselshore
