#pragma once

#include <functional>
#include <memory>

namespace teaselshore {

/// @brief Calls a function when SIGTERM or SIGINT arrives.
///
/// Create it before any other thread starts, so that all threads inherit the signal mask. The handler runs in a thread
/// of its own, once.
class StopSignals {
public:
    explicit StopSignals(std::function<void()> handler);
    ~StopSignals();
    StopSignals(const StopSignals&) = delete;
    StopSignals& operator=(const StopSignals&) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
