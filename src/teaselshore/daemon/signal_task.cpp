#include "signal_task.hpp"

#include <csignal>
#include <ctime>
#include <utility>

namespace teaselshore {

namespace {

    constexpr long waitNanoseconds = 100'000'000;

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

SignalTask::SignalTask()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer or caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

SignalTask::~SignalTask()
{
    this->ended = true;
    if (this->thread.joinable())
        this->thread.join();
}

void SignalTask::start(std::function<void()> onStop)
{
    this->thread = std::thread([this, onStop = std::move(onStop)] {
        const sigset_t signals = stopSignals();
        const timespec timeout { 0, waitNanoseconds };
        while (!this->ended) {
            if (sigtimedwait(&signals, nullptr, &timeout) > 0)
                onStop();
        }
    });
}

} // namespace teaselshore
