#pragma once

#include <functional>
#include <memory>

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/node/node_event.hpp"

namespace teaselshore {

/// @brief Thread with the event loop and client for the platform's APIs.
///
/// All methods are thread-safe. Results are emitted as events from the task's thread.
class PlatformTask {
public:
    static std::unique_ptr<PlatformTask> start(const DaemonSettings& settings, std::function<void(NodeEvent)> emit);

    /// @brief Calls stop().
    ~PlatformTask();
    PlatformTask(const PlatformTask&) = delete;
    PlatformTask& operator=(const PlatformTask&) = delete;

    /// @brief Makes a call of the object API; the result is an ObjectResult with the call's id.
    void call(ObjectCommand command);

    /// @brief Starts or ends the watch of the operator configuration.
    void watchConfiguration(bool enabled);

    void readHostList();
    void readNotices();

    /// @brief Ends the thread; calls without a result get none.
    void stop();

private:
    struct Impl;
    explicit PlatformTask(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
