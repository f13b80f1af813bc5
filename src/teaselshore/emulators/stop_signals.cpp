#include "teaselshore/emulators/stop_signals.hpp"

#include <atomic>
#include <csignal>
#include <ctime>
#include <thread>
#include <utility>

namespace teaselshore {

struct StopSignals::Impl {
    std::atomic<bool> ended { false };
    std::thread thread;
};

namespace {

    sigset_t stopSet()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

    void waitForSignal(const std::atomic<bool>& ended, const std::function<void()>& handler)
    {
        // The timeout lets the thread notice that its owner ends without a signal.
        constexpr timespec timeout { 0, 100'000'000 };
        const sigset_t signals = stopSet();
        while (!ended.load()) {
            if (sigtimedwait(&signals, nullptr, &timeout) < 0)
                continue;
            handler();
            return;
        }
    }

} // namespace

StopSignals::StopSignals(std::function<void()> handler)
    : impl(std::make_unique<Impl>())
{
    const sigset_t signals = stopSet();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    this->impl->thread
        = std::thread([ended = &this->impl->ended, handler = std::move(handler)] { waitForSignal(*ended, handler); });
}

StopSignals::~StopSignals()
{
    this->impl->ended = true;
    this->impl->thread.join();
}

} // namespace teaselshore
