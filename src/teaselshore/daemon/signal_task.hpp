#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace teaselshore {

/// @brief Thread that waits for SIGTERM and SIGINT and calls a function for each.
///
/// Create it before any other thread, so that all threads inherit the blocked signals.
class SignalTask {
public:
    SignalTask();

    /// @brief Stops waiting and joins the thread.
    ~SignalTask();
    SignalTask(const SignalTask&) = delete;
    SignalTask& operator=(const SignalTask&) = delete;

    /// @brief Starts the thread. The function runs in it.
    void start(std::function<void()> onStop);

private:
    std::atomic<bool> ended { false };
    std::thread thread;
};

} // namespace teaselshore
