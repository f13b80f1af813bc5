#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Identifies a pending timer of one EventLoop.
using TimerId = std::uint64_t;

/// @brief h2o event loop. Servers and clients created on it run in the thread that calls run().
///
/// Only post(), stop() and lateSince() may be called from other threads; all else belongs to the loop's thread (or to
/// the creating thread before run()). Tasks run inside run() only; the destructor releases those that are left.
class EventLoop {
public:
    static std::unique_ptr<EventLoop> create();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// @brief Runs until stop() is called.
    void run();

    /// @brief Makes run() return. Thread-safe.
    void stop();

    /// @brief Runs the task in the loop's thread, in the order of the calls. Thread-safe.
    void post(std::function<void()> task);

    /// @brief Runs the task once after the delay (resolution 1 ms), and after what had arrived on sockets by then was
    /// read.
    TimerId runAfter(Duration delay, std::function<void()> task);

    /// @brief Cancels a timer; does nothing if it already ran.
    void cancelTimer(TimerId timer);

    /// @brief Returns the current monotonic time.
    Instant now() const;

    /// @brief Returns since when the loop may have been busy, or the process without a processor: now unless the loop
    /// is late, or was right before. Thread-safe.
    Instant lateSince() const;

    /// @brief Names what the running task goes on with, for the log line of a late loop. The text must outlive the
    /// loop; takes one clock read.
    void nameWork(std::string_view work);

    /// @brief Returns the longest time by which a timer ran late so far, since the loop was busy or the process had no
    /// processor.
    Duration longestTimerDelay() const;

    struct Impl;
    Impl& implementation() { return *this->impl; }

private:
    explicit EventLoop(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
