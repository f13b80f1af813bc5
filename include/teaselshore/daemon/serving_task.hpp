#pragma once

#include <functional>
#include <memory>
#include <string>

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/node/node_command.hpp"
#include "teaselshore/node/node_event.hpp"
#include "teaselshore/node/node_settings.hpp"

namespace teaselshore {

/// @brief Ways out of the serving task to the other tasks. They are called in its thread and must not block.
struct ServingOutlets {
    std::function<void(const std::string& address, PeerContent content)> sendToPeer;
    std::function<void(const std::string& address)> forgetPeer;
    std::function<void(ObjectCommand call)> callObjectApi;
    std::function<void(bool enabled)> watchConfiguration;
    std::function<void()> readHostList;
    std::function<void()> readNotices;
};

/// @brief Event loop with the HTTP servers for callers and operators, the calls to upstreams and the node's decisions.
///
/// Owns all of their state. Only deliver() and requestStop() may be called from other threads.
class ServingTask {
public:
    /// @brief Starts to listen. Returns nothing and sets error if an address cannot be used.
    static std::unique_ptr<ServingTask> create(
        const DaemonSettings& settings, NodeSettings nodeSettings, HttpError* error);
    ~ServingTask();
    ServingTask(const ServingTask&) = delete;
    ServingTask& operator=(const ServingTask&) = delete;

    /// @brief Sets the outlets. Precondition: run() was not called yet.
    void connect(ServingOutlets outlets);

    /// @brief Runs until the node has stopped.
    void run();

    /// @brief Hands an event to the node. Thread-safe.
    void deliver(NodeEvent event);

    /// @brief Starts a graceful shutdown. Thread-safe, but not safe in a signal handler.
    void requestStop();

private:
    struct Impl;
    explicit ServingTask(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
