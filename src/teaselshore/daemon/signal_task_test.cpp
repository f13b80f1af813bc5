#include "signal_task.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>

#include <gtest/gtest.h>
#include <unistd.h>

namespace teaselshore {
namespace {

    /// Ends tasks while signals keep coming. Returns whether one of them made a call after its end.
    bool callsAfterTheEnd()
    {
        blockSignals();
        std::atomic<bool> isDone = false;
        std::thread sender([&isDone] {
            while (!isDone)
                kill(getpid(), SIGHUP);
        });
        bool isCalled = false;
        for (int round = 0; round < 100; ++round) {
            std::atomic<int> calls = 0;
            {
                const SignalTask task([] {}, [&calls] { ++calls; });
                while (calls == 0)
                    std::this_thread::yield();
            }
            const int callsBefore = calls;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            isCalled = isCalled || calls > callsBefore;
        }
        isDone = true;
        sender.join();
        return isCalled;
    }

    // Guards against signals at the end of a process that call a task that is gone, or end the process at once.
    TEST(SignalTask, CallsNothingAfterItsEnd)
    {
        EXPECT_EXIT(
            std::exit(callsAfterTheEnd() ? EXIT_FAILURE : EXIT_SUCCESS), testing::ExitedWithCode(EXIT_SUCCESS), "");
    }

} // namespace
} // namespace teaselshore
