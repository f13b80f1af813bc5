#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "queueing_fake.hpp"
#include "routing_test_support.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/reliability/backoff.hpp"
#include "teaselshore/reliability/crash_suspects.hpp"
#include "teaselshore/reliability/retry_budget.hpp"
#include "teaselshore/routing/admission_controller.hpp"

namespace teaselshore::test_support {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t zoneCount = 3;
constexpr std::uint32_t engineSlots = 8;
constexpr std::size_t prefixCount = 30;
constexpr std::uint32_t blockTokens = 64;
constexpr Duration attemptTimeout = seconds(2);

enum class JobState {
    Open,
    Completed,
    /// Rejected by admission, or out of retries.
    Refused,
    /// Permanently rejected as a poison request.
    Rejected,
};

struct Job {
    RoutingRequest routing;
    AdmissionRequest admission;
    Instant arrivedAt {};
    std::optional<Instant> firstTokenAt;
    JobState state = JobState::Open;
    Fingerprint identity = 0;
    bool poison = false;
    /// Tokens from earlier attempts; the next attempt resumes after them.
    double deliveredTokens = 0;
    Instant attemptFirstTokenAt {};
    Backoff backoff;
    std::shared_ptr<EngineJob> attempt;
    DispatchId dispatch;
    std::size_t engine = 0;
};

/// @brief Simulated node in front of fake engines that combines admission, routing, retries and crash suspects as the
/// daemon does.
class Simulation {
public:
    Simulation(std::size_t engineCount, ChoicePolicy policy, std::uint64_t seed = 11)
        : random(seed)
        , router(makeSettings(policy))
    {
        Configuration configuration = makeConfiguration(zoneCount, engineCount, engineSlots);
        configuration.workspaces = { { WorkspaceName("large"), 1 }, { WorkspaceName("small"), 1 } };
        this->router.onConfiguration(configuration, this->events.now());
        this->admission.onConfiguration(configuration, this->events.now());
        for (std::size_t i = 0; i < engineCount; i++)
            this->engines.emplace_back(this->events, engineSlots);
        this->tick();
    }

    ~Simulation()
    {
        // Breaks the reference cycle between an attempt and its job.
        for (const auto& job : this->jobs)
            job->attempt.reset();
    }
    Simulation(const Simulation&) = delete;
    Simulation& operator=(const Simulation&) = delete;

    /// @brief Schedules Poisson arrivals of a workspace until the end.
    void scheduleArrivals(const std::string& workspace, const ClassName& latencyClass, double perSecond, Instant end)
    {
        const Duration wait = fromSeconds(this->random.exponential(1 / perSecond));
        this->events.after(wait, [this, workspace, latencyClass, perSecond, end] {
            if (this->events.now() > end)
                return;
            this->arrive(workspace, latencyClass);
            this->scheduleArrivals(workspace, latencyClass, perSecond, end);
        });
    }

    std::shared_ptr<Job> arrive(const std::string& workspace, const ClassName& latencyClass, bool poison = false)
    {
        auto job = std::make_shared<Job>();
        const std::size_t prefix = this->random.below(prefixCount);
        job->routing = makeRequest(latencyClass);
        job->routing.promptTokens = 1600;
        job->routing.expectedOutputTokens = latencyClass == patient ? 200 : 60;
        job->routing.prefixBlocks = promptBlocks(std::to_string(prefix), 20);
        const RequestId id(std::to_string(this->jobs.size()));
        job->identity = poison ? 1 : fingerprint(id.value());
        job->poison = poison;
        job->arrivedAt = this->events.now();
        job->admission = { id, assistant, latencyClass, WorkspaceName(workspace),
            this->events.now() + (latencyClass == patient ? seconds(600) : seconds(3)), 1, latencyClass == patient };
        this->jobs.push_back(job);
        this->jobsById[id] = job;
        this->retryBudget.onRequest(this->events.now());
        const AdmissionResult result = this->admission.onRequest(job->admission, this->events.now());
        if (std::holds_alternative<Admitted>(result))
            this->attempt(job);
        if (std::holds_alternative<Rejected>(result))
            job->state = JobState::Refused;
        const Queued* queued = std::get_if<Queued>(&result);
        if (queued != nullptr && queued->preempt)
            this->preempt(this->jobsById.at(*queued->preempt));
        return job;
    }

    void crash(std::size_t engine, bool announced)
    {
        if (!this->engines[engine].alive)
            return;
        std::vector<std::shared_ptr<Job>> affectedJobs;
        UpstreamCrash crash { engineId(engine), zoneName(engine % zoneCount), this->engines.size() / zoneCount,
            announced, {} };
        for (const auto& job : this->jobs) {
            if (job->state != JobState::Open || !job->attempt || job->engine != engine)
                continue;
            affectedJobs.push_back(job);
            crash.running.push_back(job->identity);
        }
        this->crashes++;
        this->engines[engine].crash();
        this->router.onUpstreamDead(engineId(engine), this->events.now());
        this->suspects.onUpstreamCrashed(crash, this->events.now());
        for (const auto& job : affectedJobs) {
            this->router.onFinished(job->dispatch, AttemptOutcome::Failed, 0, this->events.now());
            job->attempt.reset();
            this->retry(job, announced);
        }
    }

    void loseZone(std::size_t zone, bool announced)
    {
        for (std::size_t engine = zone; engine < this->engines.size(); engine += zoneCount) {
            const Duration delay = milliseconds(this->random.below(300));
            this->events.after(delay, [this, engine, announced] { this->crash(engine, announced); });
        }
    }

    void setSlowdown(std::size_t zone, double slowdownFactor)
    {
        for (std::size_t engine = zone; engine < this->engines.size(); engine += zoneCount)
            this->engines[engine].slowdownFactor = slowdownFactor;
    }

    /// @brief Returns the fraction of the requests of a class arrived in [from, to) that met the first-token target.
    double shareWithinTarget(const ClassName& latencyClass, Instant from, Instant to) const
    {
        double all = 0;
        double within = 0;
        for (const auto& job : this->jobs) {
            if (job->routing.latencyClass != latencyClass || job->arrivedAt < from || job->arrivedAt >= to)
                continue;
            all++;
            if (job->firstTokenAt && *job->firstTokenAt - job->arrivedAt <= milliseconds(530))
                within++;
        }
        return all == 0 ? 1 : within / all;
    }

    /// @brief Returns the fraction of the requests arrived in [from, to) that completed, of a workspace or, if it is
    /// empty, of all.
    double shareCompleted(const std::string& workspace, Instant from, Instant to) const
    {
        double all = 0;
        double completed = 0;
        for (const auto& job : this->jobs) {
            if (!workspace.empty() && job->admission.workspace.value() != workspace)
                continue;
            if (job->arrivedAt < from || job->arrivedAt >= to)
                continue;
            all++;
            completed += job->state == JobState::Completed ? 1 : 0;
        }
        return all == 0 ? 1 : completed / all;
    }

    std::size_t count(JobState state) const
    {
        return std::count_if(
            this->jobs.begin(), this->jobs.end(), [&](const auto& job) { return job->state == state; });
    }

    EventQueue events;
    std::vector<std::shared_ptr<Job>> jobs;
    std::deque<FakeEngine> engines;
    std::map<std::size_t, int> dispatches;
    int retries = 0;
    int crashes = 0;
    int preemptions = 0;
    RandomSource random;
    Router router;
    AdmissionController admission;
    RetryBudget retryBudget;
    CrashSuspects suspects;

private:
    static RouterSettings makeSettings(ChoicePolicy policy)
    {
        RouterSettings settings;
        settings.zone = zoneName(0);
        settings.policy = policy;
        settings.tokensPerBlock = blockTokens;
        return settings;
    }

    void tick()
    {
        const Instant now = this->events.now();
        this->router.onTick(now);
        // Engines report their load in turn, as they do in responses and polls.
        if (!this->engines.empty()) {
            const std::size_t engine = this->reportCount++ % this->engines.size();
            const FakeEngine& fake = this->engines[engine];
            if (fake.alive) {
                this->router.onLoadReport(
                    { engineId(engine), static_cast<std::uint32_t>(fake.queued()), fake.running, milliseconds(20) },
                    now);
            }
        }
        this->apply(this->admission.onCapacity(assistant, this->router.capacity(assistant), now));
        this->apply(this->admission.onTick(now));
        this->events.after(milliseconds(20), [this] { this->tick(); });
    }

    void apply(const AdmissionChanges& changes)
    {
        for (const Rejected& rejected : changes.rejected)
            this->jobsById.at(rejected.request)->state = JobState::Refused;
        for (const Admitted& admitted : changes.admitted)
            this->attempt(this->jobsById.at(admitted.request));
    }

    void attempt(const std::shared_ptr<Job>& job)
    {
        const Instant now = this->events.now();
        switch (this->suspects.verdict(job->identity, now)) {
        case SuspectVerdict::Clear:
            job->routing.alone = false;
            break;
        case SuspectVerdict::RetryAlone:
            job->routing.alone = true;
            break;
        case SuspectVerdict::RetryRunning:
        case SuspectVerdict::Undecided:
            this->events.after(seconds(1), [this, job] { this->attempt(job); });
            return;
        case SuspectVerdict::Rejected:
            this->end(job, JobState::Rejected);
            return;
        }

        const auto decision = this->router.choose(job->routing, now);
        if (!decision) {
            if (now - job->arrivedAt > seconds(20))
                this->end(job, JobState::Refused);
            else
                this->events.after(job->backoff.next(this->random), [this, job] { this->attempt(job); });
            return;
        }
        if (job->routing.alone)
            this->suspects.onRetryStarted(job->identity, now);
        job->dispatch = this->router.onDispatched(job->routing, *decision, now);
        job->engine = std::stoul(decision->chosen.upstream.value().substr(7));
        this->dispatches[job->engine]++;
        job->attempt = std::make_shared<EngineJob>();
        this->submit(job, job->attempt);
    }

    void submit(const std::shared_ptr<Job>& job, const std::shared_ptr<EngineJob>& attempt)
    {
        attempt->prefillTokens = job->routing.promptTokens;
        attempt->cacheableTokens = static_cast<double>(job->routing.prefixBlocks.size() * blockTokens);
        attempt->prefix = job->routing.prefixBlocks.back();
        attempt->outputTokens = job->routing.expectedOutputTokens - job->deliveredTokens;
        job->attemptFirstTokenAt = Instant::max();
        attempt->onFirstToken = [this, job] {
            this->router.onFirstToken(job->dispatch, this->events.now());
            job->attemptFirstTokenAt = this->events.now();
            if (!job->firstTokenAt)
                job->firstTokenAt = this->events.now();
            if (job->poison)
                this->crash(job->engine, false);
        };
        attempt->onEnd = [this, job] {
            this->router.onFinished(
                job->dispatch, AttemptOutcome::Completed, job->routing.expectedOutputTokens, this->events.now());
            this->suspects.clear(job->identity, this->events.now());
            job->attempt.reset();
            this->end(job, JobState::Completed);
        };
        this->engines[job->engine].submit(attempt);
        this->events.after(attemptTimeout, [this, job, attempt] {
            if (job->attempt != attempt || job->firstTokenAt)
                return;
            this->engines[job->engine].cancel(attempt);
            this->router.onFinished(job->dispatch, AttemptOutcome::TimedOut, 0, this->events.now());
            this->suspects.onRetryReturned(job->identity, this->events.now());
            job->attempt.reset();
            this->retry(job, false);
        });
    }

    void retry(const std::shared_ptr<Job>& job, bool resumed)
    {
        job->routing.excluded = { engineId(job->engine) };
        // Resuming a stream after an announced reclaim does not count as a retry.
        if (!resumed && !this->retryBudget.tryRetry(this->events.now())) {
            this->end(job, JobState::Refused);
            return;
        }
        this->retries += resumed ? 0 : 1;
        this->events.after(job->backoff.next(this->random), [this, job] { this->attempt(job); });
    }

    void preempt(const std::shared_ptr<Job>& job)
    {
        if (!job->attempt)
            return;
        FakeEngine& engine = this->engines[job->engine];
        if (job->attemptFirstTokenAt != Instant::max()) {
            const double seconds = toSeconds(this->events.now() - job->attemptFirstTokenAt);
            job->deliveredTokens += seconds / (FakeEngine::secondsPerToken * engine.slowdownFactor);
        }
        this->preemptions++;
        engine.cancel(job->attempt);
        this->router.onFinished(job->dispatch, AttemptOutcome::Cancelled, 0, this->events.now());
        job->attempt.reset();
        this->apply(this->admission.onPreempted(job->admission.request, this->events.now()));
    }

    void end(const std::shared_ptr<Job>& job, JobState state)
    {
        job->state = state;
        this->apply(this->admission.onReleased(job->admission.request, this->events.now()));
    }

    std::map<RequestId, std::shared_ptr<Job>> jobsById;
    std::size_t reportCount = 0;
};

} // namespace teaselshore::test_support
