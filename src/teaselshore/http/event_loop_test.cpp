#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "teaselshore/base/clock.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_server.hpp"
#include "test_support.hpp"
#include "work_meter.hpp"

namespace teaselshore {
namespace {

    using testing::HasSubstr;

    // Guards against tasks of other threads that are lost, reordered or leave the loop asleep.
    TEST(EventLoop, RunsPostedTasksOfEachThreadInOrder)
    {
        constexpr int threadCount = 4;
        constexpr int tasksPerThread = 5000;
        const auto loop = EventLoop::create();
        std::vector<int> last(threadCount, 0);
        int total = 0;
        bool ordered = true;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&, thread] {
                for (int task = 1; task <= tasksPerThread; ++task) {
                    loop->post([&, thread, task] {
                        ordered = ordered && last[thread] == task - 1;
                        last[thread] = task;
                        if (++total == threadCount * tasksPerThread)
                            loop->stop();
                    });
                }
            });
        }
        loop->run();
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_TRUE(ordered);
        EXPECT_EQ(total, threadCount * tasksPerThread);
    }

    // Guards against a thread that takes what it is told for new, though the process has had no time to look since.
    TEST(EventLoop, TellsOtherThreadsSinceWhenItIsLate)
    {
        constexpr auto timerDelay = std::chrono::milliseconds(20);
        const auto loop = EventLoop::create();
        std::atomic<bool> isBusy = false;
        Instant busySince {};
        Instant lateSince {};
        std::thread observer([&] {
            while (!isBusy)
                std::this_thread::yield();
            std::this_thread::sleep_for(3 * timerDelay);
            lateSince = loop->lateSince();
            isBusy = false;
        });
        loop->runAfter(timerDelay, [&] { loop->stop(); });
        loop->post([&] {
            busySince = loop->now();
            isBusy = true;
            while (isBusy)
                std::this_thread::yield();
        });
        loop->run();
        observer.join();
        EXPECT_LE(lateSince, busySince);
        EXPECT_LE(loop->lateSince(), busySince) << "other threads may run only now";
        loop->runAfter(std::chrono::milliseconds(150), [&] { loop->stop(); });
        loop->run();
        EXPECT_GT(loop->lateSince(), busySince);
    }

    // Guards against timers of a process that got no processor, which give up what has arrived in time but was not
    // looked at.
    TEST(EventLoop, RunsTimersAfterWhatArrivedBeforeTheyWereDue)
    {
        const auto loop = EventLoop::create();
        std::vector<std::string> order;
        loop->runAfter(std::chrono::milliseconds(20), [&] {
            order.emplace_back("timer");
            loop->stop();
        });
        loop->post([&] { order.emplace_back("arrived"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        loop->run();
        EXPECT_EQ(order, (std::vector<std::string> { "arrived", "timer" }));
    }

    // Guards against timers that run out of order, early, or after their cancellation.
    TEST(EventLoop, RunsTimersInOrderAndNotWhenCancelled)
    {
        const auto loop = EventLoop::create();
        const Instant start = loop->now();
        std::vector<int> order;
        TimerId cancelled = 0;
        loop->runAfter(std::chrono::milliseconds(30), [&] {
            order.push_back(3);
            loop->stop();
        });
        cancelled = loop->runAfter(std::chrono::milliseconds(20), [&] { order.push_back(2); });
        loop->runAfter(std::chrono::milliseconds(10), [&] {
            order.push_back(1);
            loop->cancelTimer(cancelled);
        });
        loop->run();
        EXPECT_EQ(order, (std::vector<int> { 1, 3 }));
        EXPECT_GE(loop->now() - start, std::chrono::milliseconds(30));
    }

    // Guards against tasks that use what was released before the loop.
    TEST(EventLoop, RunsNoTaskWhileItIsDestroyed)
    {
        auto loop = EventLoop::create();
        HttpError error;
        // The loop releases its sockets in the destructor.
        auto server = HttpServer::listen(
            *loop, {}, [](const auto&) {}, &error);
        ASSERT_TRUE(server) << error.detail;
        loop->post([&loop] { loop->stop(); });
        loop->run();
        bool timerRan = false;
        bool postedRan = false;
        loop->runAfter(Duration(0), [&timerRan] { timerRan = true; });
        loop->post([&postedRan] { postedRan = true; });
        server.reset();
        loop.reset();
        EXPECT_FALSE(timerRan);
        EXPECT_FALSE(postedRan);
    }

    // Guards against tasks that are kept, with all they hold, once the loop is gone, or that are cancelled too late.
    TEST(EventLoop, ReleasesTasksThatDidNotRun)
    {
        auto loop = EventLoop::create();
        const auto held = std::make_shared<int>();
        TimerId other = 0;
        // As an owner that cancels its timer when the last task that holds it is released.
        const auto cancel = [&loop = *loop, &other](const int* value) {
            loop.cancelTimer(other);
            delete value;
        };
        loop->runAfter(Duration(0), [held, owner = std::shared_ptr<int>(new int(0), cancel)] {});
        other = loop->runAfter(std::chrono::seconds(1), [held] {});
        loop->post([held] {});
        loop.reset();
        EXPECT_EQ(held.use_count(), 1);
    }

    // Guards against timers that never run, since each round a task without a delay adds the next one.
    TEST(EventLoop, RunsTimersBesideTasksThatAddTasks)
    {
        const auto loop = EventLoop::create();
        const Instant start = loop->now();
        Duration ranAfter = Duration::max();
        std::function<void()> again = [&] {
            if (ranAfter < Duration::max() || loop->now() - start > std::chrono::milliseconds(300))
                loop->stop();
            else
                loop->runAfter(Duration(0), again);
        };
        loop->runAfter(std::chrono::milliseconds(20), [&] { ranAfter = loop->now() - start; });
        loop->runAfter(Duration(0), again);
        loop->run();
        EXPECT_LT(ranAfter, std::chrono::milliseconds(200));
    }

    /// Runs the loop until a timer ran that the start of the work made late, and returns what was logged.
    std::string logOfLateLoop(EventLoop& loop)
    {
        testing::internal::CaptureStderr();
        loop.runAfter(std::chrono::milliseconds(40), [&loop] { loop.stop(); });
        loop.run();
        return testing::internal::GetCapturedStderr();
    }

    void takeLong() { std::this_thread::sleep_for(std::chrono::milliseconds(200)); }

    // Guards against a log of late loops that names another task than the one that took long, or the wait for sockets.
    TEST(EventLoop, NamesTheLongestTaskOfALateRound)
    {
        const auto loop = EventLoop::create();
        loop->post([&loop] { loop->nameWork("short"); });
        loop->post([&loop] {
            loop->nameWork("begin");
            loop->nameWork("long");
            takeLong();
            loop->nameWork("end");
        });
        const std::string posted = logOfLateLoop(*loop);
        EXPECT_THAT(posted, HasSubstr(R"("longestTask":"posted task","work":"long","taskMs":)"));
        loop->runAfter(std::chrono::milliseconds(20), [&loop] { loop->nameWork("short"); });
        loop->runAfter(std::chrono::milliseconds(30), takeLong);
        const std::string timer = logOfLateLoop(*loop);
        EXPECT_THAT(timer, HasSubstr(R"("longestTask":"timer","work":"","taskMs":)"));
    }

    // Guards against callbacks of sockets that are taken for the wait before them.
    TEST(EventLoop, TellsCallbacksOfSocketsFromTheWait)
    {
        for (const bool named : { false, true }) {
            HttpFixture fixture([&fixture, named](const std::shared_ptr<ServerExchange>& exchange) {
                if (named)
                    fixture.loop->nameWork("answer");
                takeLong();
                exchange->reply({ 200, {}, "done" });
            });
            CallRecord record;
            fixture.start(fixture.call("GET", "/"), record);
            EXPECT_THAT(logOfLateLoop(*fixture.loop),
                HasSubstr(
                    std::string(R"("longestTask":"sockets","work":")") + (named ? "answer" : "request read") + '"'));
        }
    }

    // Guards against waits that count as work, and work after a short wait that does not.
    TEST(WorkMeter, CountsWhatIsBeyondTheGrantedWait)
    {
        using std::chrono::milliseconds;
        const Instant start = monotonicNow();
        WorkMeter meter;
        meter.begin("start", start);
        meter.endRound(start);
        meter.begin("wait", start, milliseconds(1000));
        meter.begin("sockets", start + milliseconds(10));
        EXPECT_EQ(meter.endRound(start + milliseconds(15)), (LoopWork { "sockets", "", milliseconds(5) }));
        meter.begin("wait", start + milliseconds(15), milliseconds(100));
        meter.begin("timer", start + milliseconds(145));
        EXPECT_EQ(meter.endRound(start + milliseconds(146)), (LoopWork { "wait", "", milliseconds(30) }));
        EXPECT_EQ(meter.endRound(start + milliseconds(146)), LoopWork {});
    }

} // namespace
} // namespace teaselshore
