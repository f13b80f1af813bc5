#pragma once

#include <functional>
#include <optional>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"

namespace teaselshore {

/// @brief Timer that follows the next event time of a model. Belongs to the event loop's thread.
class TickTimer {
public:
    TickTimer(EventLoop& loop, std::function<void()> task);
    ~TickTimer();
    TickTimer(const TickTimer&) = delete;
    TickTimer& operator=(const TickTimer&) = delete;

    /// @brief Runs the task at the given time, in place of any earlier order; nothing cancels it.
    void armAt(std::optional<Instant> time);

private:
    EventLoop& loop;
    std::function<void()> task;
    std::optional<Instant> armed;
    TimerId timer = 0;
};

} // namespace teaselshore
