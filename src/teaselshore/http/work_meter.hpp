#pragma once

#include <algorithm>
#include <compare>
#include <string_view>
#include <utility>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief A stretch of work in an event loop without a look at the sockets.
struct LoopWork {
    /// What called it: a timer, a posted task, sockets.
    std::string_view task;
    /// What it did; empty if the task has not said so.
    std::string_view work;
    Duration length {};

    auto operator<=>(const LoopWork&) const = default;
};

/// @brief Finds the longest stretch of work of each round of an event loop.
///
/// Each stretch ends where the next one begins, so that one clock read per stretch is enough. Names must outlive the
/// meter.
class WorkMeter {
public:
    /// @brief Begins a task; only what it takes beyond the granted time counts as work.
    void begin(std::string_view task, Instant now, Duration granted = {})
    {
        this->finish(now);
        this->current = { task, {}, {} };
        this->since = now + granted;
    }

    /// @brief Names what the task goes on with.
    void name(std::string_view work, Instant now)
    {
        this->begin(this->current.task, now);
        this->current.work = work;
    }

    /// @brief Ends the round and returns the longest stretch since the end of the one before.
    LoopWork endRound(Instant now)
    {
        this->finish(now);
        this->since = std::max(this->since, now);
        return std::exchange(this->longest, {});
    }

private:
    void finish(Instant now)
    {
        this->current.length = now - this->since;
        if (this->current.length > this->longest.length)
            this->longest = this->current;
    }

    LoopWork current;
    LoopWork longest;
    Instant since {};
};

} // namespace teaselshore
