#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "h2o.hpp"
#include "teaselshore/base/clock.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "work_meter.hpp"

namespace teaselshore {

/// @brief State behind EventLoop, shared with the server and the client of this module.
struct EventLoop::Impl {
    Impl();
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void run();
    /// @brief Notes when the poll begins, and what kept the loop from it.
    void beginRound();
    /// @brief Waits for sockets, at most until the next timer, and runs their callbacks.
    void poll();
    /// @brief Ends the wait of this poll where the first callback of a socket begins.
    void endWait(Instant now);
    void nameWork(std::string_view work);
    void wake();
    /// @brief Runs a task that releases what h2o may still use further up the call stack, in the next round or in the
    /// destructor.
    void releaseLater(std::function<void()> task);
    void runReleases();
    /// @brief Releases timers and posted tasks without running them.
    void dropTasks();
    /// @brief Runs the tasks posted before this call.
    void runPosted();
    TimerId addTimer(Duration delay, std::function<void()> task);
    void cancelTimer(TimerId timer);
    /// @brief Runs the timers that were due before the latest poll; returns whether any ran.
    ///
    /// A process may get no processor between two lines of code. A timer that gives up what has not arrived must not
    /// run before the loop has read what arrived until the timer was due.
    bool runDueTimers();
    /// @brief Notes by how much a timer is late.
    void noteDelay(Duration delay);
    /// @brief Returns the longest wait in milliseconds until the next timer.
    std::int32_t waitMilliseconds() const;

    h2o_evloop_t* loop = nullptr;
    /// Set once run() was entered. Until then, sockets must not read: h2o's buffers belong to the running thread.
    bool entered = false;
    /// Servers that were destroyed but whose connections h2o has not released yet.
    std::size_t lingeringServers = 0;

    std::map<std::pair<Instant, TimerId>, std::function<void()>> timers;
    std::unordered_map<TimerId, Instant> timerDue;
    TimerId lastTimer = 0;
    /// Time right before the latest poll.
    Instant polledAt = monotonicNow();
    /// The same, and when the wait of that poll ends, for other threads.
    std::atomic<Instant> waitBegin { polledAt };
    std::atomic<Instant> waitEnd { polledAt };
    /// The latest time in which the loop was late.
    std::atomic<Instant> lateBegin { Instant {} };
    std::atomic<Instant> lateEnd { Instant {} };
    WorkMeter meter;
    /// Whether the loop is in a poll and no callback has run yet.
    bool waiting = false;
    /// Longest work between the last two polls, and the processor time of the thread in between.
    LoopWork longestWork;
    Duration processorTime {};
    /// Processor time of the thread at the latest poll.
    Duration processorTimeAtPoll {};
    Duration longestTimerDelay {};
    Instant nextDelayLog {};
    std::vector<std::function<void()>> releases;

    std::atomic<bool> stopping { false };
    std::mutex postedMutex;
    std::vector<std::function<void()>> posted;
    int wakeDescriptor = -1;
    h2o_socket_t* wakeSocket = nullptr;
};

} // namespace teaselshore
