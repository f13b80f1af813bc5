#pragma once

#include <functional>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"

namespace teaselshore {

/// @brief What runUntilStopped() needs of a server.
struct ServingHooks {
    std::function<void()> stopAccepting;
    std::function<std::size_t()> openExchanges;
};

/// @brief Runs the loop until SIGTERM or SIGINT. Then stops accepting and waits up to grace for open exchanges.
void runUntilStopped(EventLoop& loop, const ServingHooks& hooks, Duration grace);

} // namespace teaselshore
