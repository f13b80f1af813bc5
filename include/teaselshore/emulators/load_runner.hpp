#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselshore/emulators/caller_flow.hpp"
#include "teaselshore/emulators/load_plan.hpp"
#include "teaselshore/emulators/load_report.hpp"
#include "teaselshore/http/event_loop.hpp"

namespace teaselshore {

/// @brief Targets and limits of a run.
struct LoadRunSettings {
    /// "address:port" of the entries, used in rotation.
    std::vector<std::string> entries;
    /// "address:port" of the plain services to audit; empty for no audit.
    std::vector<std::string> services;
    LoadSettings load;
    FlowSettings flow;
    std::uint64_t seed = 1;
    /// Requests above this number of open ones are skipped and counted.
    std::size_t maxOpen = 20000;
    /// Longest wait for progress of an answer.
    Duration idleTimeout = std::chrono::seconds(15);
};

/// @brief Sends planned traffic over HTTP, checks the answers and audits the services at the end.
///
/// All methods belong to the event loop's thread.
class LoadRunner {
public:
    /// @brief Prepares a run; whenDone is called once, when all requests have ended and the audit is done.
    LoadRunner(EventLoop& loop, LoadRunSettings settings, std::function<void()> whenDone);
    ~LoadRunner();
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    void start();

    /// @brief Sends nothing more; open requests go on.
    void stopSending();

    /// @brief Ends all open requests as lost and goes on with the audit.
    void abandonOpen();

    const LoadReport& report() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
