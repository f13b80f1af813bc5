#include "signal_task.hpp"

#include <csignal>
#include <utility>

#include <pthread.h>

namespace teaselshore {

namespace {

    sigset_t handledSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

} // namespace

void blockSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer or caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

SignalTask::SignalTask(std::function<void()> onStop, std::function<void()> onReload)
{
    this->thread = std::thread([this, onStop = std::move(onStop), onReload = std::move(onReload)] {
        const sigset_t signals = handledSignals();
        while (!this->ended) {
            int signal = 0;
            if (sigwait(&signals, &signal) != 0 || this->ended)
                continue;
            if (signal == SIGHUP)
                onReload();
            else
                onStop();
        }
    });
}

SignalTask::~SignalTask()
{
    this->ended = true;
    // Ends the wait of the thread.
    pthread_kill(this->thread.native_handle(), SIGINT);
    this->thread.join();
}

} // namespace teaselshore
