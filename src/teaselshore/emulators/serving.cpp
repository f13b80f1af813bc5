#include "teaselshore/emulators/serving.hpp"

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/stop_signals.hpp"

namespace teaselshore {

namespace {

    constexpr Duration checkInterval = std::chrono::milliseconds(10);

    void stopWhenIdle(EventLoop& loop, const ServingHooks& hooks, Instant deadline)
    {
        if (hooks.openExchanges() == 0 || loop.now() >= deadline) {
            loop.stop();
            return;
        }
        loop.runAfter(checkInterval, [&loop, hooks, deadline] { stopWhenIdle(loop, hooks, deadline); });
    }

} // namespace

void runUntilStopped(EventLoop& loop, const ServingHooks& hooks, Duration grace)
{
    const StopSignals signals([&] {
        loop.post([&] {
            logLine(LogLevel::Info, "stopping", { { "openExchanges", hooks.openExchanges() } });
            hooks.stopAccepting();
            stopWhenIdle(loop, hooks, loop.now() + grace);
        });
    });
    loop.run();
}

} // namespace teaselshore
