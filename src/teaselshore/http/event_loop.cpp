#include "teaselshore/http/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <string_view>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "event_loop_impl.hpp"
#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    constexpr std::int32_t longestWaitMilliseconds = 1000;
    /// Delay of a timer that is logged, at most once in this time.
    constexpr Duration loggedDelay = std::chrono::milliseconds(100);
    /// Delay of a poll with which the loop is not late.
    constexpr Duration lateTolerance = std::chrono::milliseconds(10);
    /// Time that other threads may need, once the process has a processor again, until they run.
    constexpr Duration otherThreadTime = std::chrono::milliseconds(100);
    /// Rounds that the destructor grants h2o to release closed sockets.
    constexpr int drainRounds = 100;

    constexpr std::string_view startWork = "start";
    constexpr std::string_view waitWork = "wait";
    constexpr std::string_view socketWork = "sockets";
    constexpr std::string_view postedWork = "posted task";
    constexpr std::string_view timerWork = "timer";
    constexpr std::string_view releaseWork = "release";

    Duration threadProcessorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    void onWake(h2o_socket_t* socket, const char*)
    {
        auto* impl = static_cast<EventLoop::Impl*>(socket->data);
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t ignored = read(impl->wakeDescriptor, &count, sizeof(count));
        impl->runPosted();
    }

} // namespace

EventLoop::Impl::Impl()
    : loop(h2o_evloop_create())
    , wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    TEASELSHORE_ASSERT(this->wakeDescriptor >= 0, "eventfd failed");
    this->meter.begin(startWork, monotonicNow());
    // An eventfd instead of h2o's multithread queue: that queue reads into buffers of the creating thread.
    this->wakeSocket = h2o_evloop_socket_create(this->loop, this->wakeDescriptor, H2O_SOCKET_FLAG_DONT_READ);
    this->wakeSocket->data = this;
    h2o_socket_read_start(this->wakeSocket, onWake);
}

EventLoop::Impl::~Impl()
{
    // Their owners are gone, and so may be the pointer to this loop that they use.
    this->dropTasks();
    for (int round = 0; round<drainRounds&& this->lingeringServers> 0; ++round) {
        h2o_evloop_run(this->loop, 1);
        this->runReleases();
    }
    h2o_socket_close(this->wakeSocket);
    h2o_evloop_run(this->loop, 0);
    // h2o aborts if a loop is destroyed while timeouts of a server are registered; such a loop is leaked instead.
    if (this->lingeringServers == 0)
        h2o_evloop_destroy(this->loop);
}

void EventLoop::Impl::run()
{
    this->entered = true;
    this->processorTimeAtPoll = threadProcessorTime();
    while (!this->stopping.load(std::memory_order_acquire)) {
        this->runReleases();
        this->beginRound();
        this->poll();
        this->runDueTimers();
    }
    // What arrived during the last timers is read too, and may be answered at once.
    h2o_evloop_run(this->loop, 0);
    this->stopping.store(false, std::memory_order_release);
}

void EventLoop::Impl::beginRound()
{
    this->polledAt = monotonicNow();
    if (this->polledAt > this->waitEnd.load() + lateTolerance) {
        this->lateBegin = this->waitBegin.load();
        this->lateEnd = this->polledAt;
    }
    this->longestWork = this->meter.endRound(this->polledAt);
    const Duration used = threadProcessorTime();
    this->processorTime = used - std::exchange(this->processorTimeAtPoll, used);
}

void EventLoop::Impl::poll()
{
    const std::int32_t wait = this->waitMilliseconds();
    this->waitBegin = this->polledAt;
    this->waitEnd = this->polledAt + std::chrono::milliseconds(wait);
    this->meter.begin(waitWork, this->polledAt, std::chrono::milliseconds(wait));
    this->waiting = true;
    h2o_evloop_run(this->loop, wait);
    this->endWait(monotonicNow());
}

void EventLoop::Impl::endWait(Instant now)
{
    if (!std::exchange(this->waiting, false))
        return;
    this->meter.begin(socketWork, now);
}

void EventLoop::Impl::nameWork(std::string_view work)
{
    const Instant now = monotonicNow();
    this->endWait(now);
    this->meter.name(work, now);
}

void EventLoop::Impl::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t ignored = write(this->wakeDescriptor, &one, sizeof(one));
}

void EventLoop::Impl::releaseLater(std::function<void()> task) { this->releases.push_back(std::move(task)); }

void EventLoop::Impl::runReleases()
{
    std::vector<std::function<void()>> tasks;
    tasks.swap(this->releases);
    if (tasks.empty())
        return;
    this->meter.begin(releaseWork, monotonicNow());
    // A connection, which its task holds, must be gone before the task that releases its server.
    for (std::function<void()>& task : tasks)
        std::exchange(task, nullptr)();
}

void EventLoop::Impl::dropTasks()
{
    // Moved first, because the release of a task may cancel timers.
    const auto droppedTimers = std::exchange(this->timers, {});
    this->timerDue.clear();
    std::vector<std::function<void()>> droppedTasks;
    const std::lock_guard<std::mutex> lock(this->postedMutex);
    droppedTasks.swap(this->posted);
}

void EventLoop::Impl::runPosted()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard<std::mutex> lock(this->postedMutex);
        tasks.swap(this->posted);
    }
    Instant now = monotonicNow();
    this->endWait(now);
    for (const std::function<void()>& task : tasks) {
        this->meter.begin(postedWork, now);
        task();
        now = monotonicNow();
    }
    this->meter.begin(socketWork, now);
}

TimerId EventLoop::Impl::addTimer(Duration delay, std::function<void()> task)
{
    const TimerId timer = ++this->lastTimer;
    // Without a delay it waits for no further poll, but for the timers that are due already.
    const Instant due = delay > Duration(0) ? monotonicNow() + delay : this->polledAt;
    this->timers.emplace(std::pair(due, timer), std::move(task));
    this->timerDue.emplace(timer, due);
    return timer;
}

void EventLoop::Impl::cancelTimer(TimerId timer)
{
    const auto found = this->timerDue.find(timer);
    if (found == this->timerDue.end())
        return;
    this->timers.erase(std::pair(found->second, timer));
    this->timerDue.erase(found);
}

bool EventLoop::Impl::runDueTimers()
{
    const TimerId last = this->lastTimer;
    bool ran = false;
    while (!this->timers.empty()) {
        const auto [due, timer] = this->timers.begin()->first;
        // A timer that a task of this round adds without a delay belongs to the next one.
        if (due > this->polledAt || timer > last)
            break;
        this->noteDelay(this->polledAt - due);
        auto node = this->timers.extract(this->timers.begin());
        this->timerDue.erase(node.key().second);
        this->meter.begin(timerWork, monotonicNow());
        node.mapped()();
        ran = true;
    }
    // h2o runs the callbacks of completed writes before each poll. It registers a socket whose write completed in a
    // timer for writing otherwise, and aborts when more than 256 sockets are ready and that one is reported a round
    // later.
    if (ran) {
        this->meter.begin(socketWork, monotonicNow());
        h2o_timeout__do_post_callback(this->loop);
    }
    return ran;
}

void EventLoop::Impl::noteDelay(Duration delay)
{
    this->longestTimerDelay = std::max(this->longestTimerDelay, delay);
    if (delay < loggedDelay)
        return;
    // The oldest timer comes first, and the others of this round are no news.
    if (const Instant now = monotonicNow(); now >= this->nextDelayLog) {
        this->nextDelayLog = now + loggedDelay;
        logLine(LogLevel::Warning, "event loop is late",
            { { "ms", toMilliseconds(delay) }, { "longestTask", this->longestWork.task },
                { "work", this->longestWork.work }, { "taskMs", toMilliseconds(this->longestWork.length) },
                { "processorMs", toMilliseconds(this->processorTime) } });
    }
}

std::int32_t EventLoop::Impl::waitMilliseconds() const
{
    if (!this->releases.empty())
        return 0;
    if (this->timers.empty())
        return longestWaitMilliseconds;
    const Duration remaining = this->timers.begin()->first.first - this->polledAt;
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(rounded, 0, longestWaitMilliseconds));
}

std::unique_ptr<EventLoop> EventLoop::create()
{
    // A write to a closed connection must fail with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    return std::unique_ptr<EventLoop>(new EventLoop(std::make_unique<Impl>()));
}

EventLoop::EventLoop(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run() { this->impl->run(); }

void EventLoop::stop()
{
    this->impl->stopping.store(true, std::memory_order_release);
    this->impl->wake();
}

void EventLoop::post(std::function<void()> task)
{
    bool first = false;
    {
        const std::lock_guard<std::mutex> lock(this->impl->postedMutex);
        first = this->impl->posted.empty();
        this->impl->posted.push_back(std::move(task));
    }
    if (first)
        this->impl->wake();
}

TimerId EventLoop::runAfter(Duration delay, std::function<void()> task)
{
    return this->impl->addTimer(delay, std::move(task));
}

void EventLoop::cancelTimer(TimerId timer) { this->impl->cancelTimer(timer); }

Instant EventLoop::now() const { return monotonicNow(); }

Instant EventLoop::lateSince() const
{
    const Instant now = monotonicNow();
    if (now > this->impl->waitEnd.load() + lateTolerance)
        return this->impl->waitBegin;
    return now < this->impl->lateEnd.load() + otherThreadTime ? this->impl->lateBegin.load() : now;
}

void EventLoop::nameWork(std::string_view work) { this->impl->nameWork(work); }

Duration EventLoop::longestTimerDelay() const { return this->impl->longestTimerDelay; }

} // namespace teaselshore
