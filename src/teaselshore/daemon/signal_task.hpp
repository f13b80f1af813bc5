#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace teaselshore {

/// @brief Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and those it starts, and ignores SIGPIPE in the
/// process. Precondition: the calling thread is the only one.
void blockSignals();

/// @brief Turns SIGTERM and SIGINT into a stop request, and SIGHUP into a request to read the settings again.
///
/// Signals that come before or after its life stay blocked. Precondition: blockSignals() was called.
class SignalTask {
public:
    /// @brief Starts to wait for signals. The functions run in the task's thread.
    SignalTask(std::function<void()> onStop, std::function<void()> onReload);
    /// @brief Waits for the function that runs. What the functions use may be released afterwards.
    ~SignalTask();
    SignalTask(const SignalTask&) = delete;
    SignalTask& operator=(const SignalTask&) = delete;

private:
    std::atomic<bool> ended { false };
    std::thread thread;
};

} // namespace teaselshore
