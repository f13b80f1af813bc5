#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore::test_support {

/// @brief Runs scheduled actions in time order on a simulated clock.
class EventQueue {
public:
    Instant now() const { return this->current; }

    void after(Duration delay, std::function<void()> action)
    {
        this->actions.emplace(this->current + delay, std::move(action));
    }

    void runUntil(Instant end)
    {
        while (!this->actions.empty() && this->actions.begin()->first <= end) {
            auto node = this->actions.extract(this->actions.begin());
            this->current = node.key();
            node.mapped()();
        }
        this->current = end;
    }

private:
    std::multimap<Instant, std::function<void()>> actions;
    Instant current {};
};

/// @brief One request at a fake engine. A cancelled job calls no further callbacks.
struct EngineJob {
    double prefillTokens = 0;
    double cacheableTokens = 0;
    Fingerprint prefix = 0;
    double outputTokens = 0;
    std::function<void()> onFirstToken;
    std::function<void()> onEnd;
    bool cancelled = false;
    bool started = false;
};

/// @brief Simulated engine with a number of slots, one prefill at a time, a queue and a small cache of prompt prefixes.
class FakeEngine {
public:
    static constexpr double prefillPerSecond = 8000;
    static constexpr double secondsPerToken = 0.02;
    static constexpr std::size_t maximumCachedPrefixes = 4;

    FakeEngine(EventQueue& events, std::uint32_t slots)
        : events(events)
        , slots(slots)
    {
    }

    void submit(const std::shared_ptr<EngineJob>& job)
    {
        this->waiting.push_back(job);
        this->startWaiting();
    }

    void cancel(const std::shared_ptr<EngineJob>& job)
    {
        job->cancelled = true;
        if (job->started)
            this->running--;
        else
            std::erase(this->waiting, job);
        this->startWaiting();
    }

    /// @brief Drops all requests without calling their callbacks.
    void crash()
    {
        this->alive = false;
        this->generation++;
        this->running = 0;
        this->waiting.clear();
        this->cache.clear();
        this->prefillFreeAt = {};
    }

    std::size_t queued() const { return this->waiting.size(); }
    /// @brief Returns the time until the prompts that run now have been read.
    Duration pendingPrefill() const { return std::max(Duration::zero(), this->prefillFreeAt - this->events.now()); }

    /// Factor applied to all processing times.
    double slowdownFactor = 1;
    bool alive = true;
    std::uint32_t running = 0;

private:
    void startWaiting()
    {
        while (this->alive && this->running < this->slots && !this->waiting.empty()) {
            const std::shared_ptr<EngineJob> job = this->waiting.front();
            this->waiting.pop_front();
            job->started = true;
            this->running++;
            this->run(job);
        }
    }

    void run(const std::shared_ptr<EngineJob>& job)
    {
        const bool hit = std::find(this->cache.begin(), this->cache.end(), job->prefix) != this->cache.end();
        std::erase(this->cache, job->prefix);
        this->cache.push_back(job->prefix);
        if (this->cache.size() > maximumCachedPrefixes)
            this->cache.pop_front();
        const double tokens = 50 + job->prefillTokens - (hit ? job->cacheableTokens : 0);
        const Duration prefill = fromSeconds(this->slowdownFactor * tokens / prefillPerSecond);
        this->prefillFreeAt = std::max(this->prefillFreeAt, this->events.now()) + prefill;
        const Duration untilFirst = this->prefillFreeAt - this->events.now();
        const Duration untilEnd = untilFirst + fromSeconds(this->slowdownFactor * secondsPerToken * job->outputTokens);
        const std::uint32_t started = this->generation;
        this->events.after(untilFirst, [this, job, started] {
            if (!job->cancelled && started == this->generation)
                job->onFirstToken();
        });
        this->events.after(untilEnd, [this, job, started] {
            if (job->cancelled || started != this->generation)
                return;
            this->running--;
            job->onEnd();
            this->startWaiting();
        });
    }

    EventQueue& events;
    std::uint32_t slots;
    std::uint32_t generation = 0;
    std::deque<std::shared_ptr<EngineJob>> waiting;
    std::deque<Fingerprint> cache;
    Instant prefillFreeAt {};
};

} // namespace teaselshore::test_support
