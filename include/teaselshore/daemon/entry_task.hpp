#pragma once

#include <cstdint>
#include <memory>

#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/http/http_error.hpp"

namespace teaselshore {

/// @brief Daemon on a platform where upstreams register themselves: one thread with all sockets and the EntryNode.
///
/// The platform's calls run on the same event loop as the callers' requests: a node makes a few of them a second, and
/// a second thread would cost a wake-up for each.
class EntryTask {
public:
    /// @brief Listens for callers, readiness checks and operators. Returns null and sets the error if it cannot.
    static std::unique_ptr<EntryTask> create(const EntrySettings& settings, std::uint64_t seed, HttpError* error);
    ~EntryTask();
    EntryTask(const EntryTask&) = delete;
    EntryTask& operator=(const EntryTask&) = delete;

    /// @brief Runs until the graceful shutdown is complete.
    void run();
    /// @brief Starts a graceful shutdown. Thread-safe.
    void requestStop();
    /// @brief Notes that the settings file changed. Thread-safe.
    void onSettingsChanged(EntrySettings settings);

private:
    struct Impl;
    explicit EntryTask(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
