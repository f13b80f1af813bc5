#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace teaselshore {

/// @brief Turns SIGTERM and SIGINT into a stop request, and SIGHUP into a request to read the settings again.
///
/// Create it before any other thread: the signals are blocked in the creating thread and those it starts.
class SignalTask {
public:
    SignalTask();
    ~SignalTask();
    SignalTask(const SignalTask&) = delete;
    SignalTask& operator=(const SignalTask&) = delete;

    /// @brief Starts to wait for signals. The functions run in the task's thread.
    void start(std::function<void()> onStop, std::function<void()> onReload);

private:
    std::atomic<bool> ended { false };
    std::thread thread;
};

} // namespace teaselshore
