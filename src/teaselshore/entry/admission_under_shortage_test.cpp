#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "entry_test_support.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/routing/overload_controller.hpp"
#include "waiting_requests.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    enum class Policy { Arrival, StrictPriority, Predicted, Controlled };

    struct RouteModel {
        const char* name;
        std::uint32_t priority;
        Duration target;
        Duration deadline;
        double worthInTime;
        double worthLate;
        double perSecond;
        Duration read;
        Duration hold;
        double cost;
    };

    /// Calm load is 0.68 of the capacity of 8 engines with 16 slots.
    const std::array<RouteModel, 2> routeModels { {
        { "short", 0, 400ms, 3s, 2.8, 0.11, 187, 40ms, 300ms, 1800 },
        { "long", 2, 1500ms, 15s, 2.9, 0.43, 39, 160ms, 800ms, 6610 },
    } };
    constexpr double calmLoad = 0.68;
    constexpr std::size_t nodeCount = 30;
    constexpr std::size_t engineCount = 8;
    constexpr std::size_t slots = 16;
    constexpr std::size_t engineQueue = 16;
    constexpr std::size_t workspaceCount = 12;

    struct Load {
        const char* name;
        /// Multiple of the calm load, of all workspaces or of the first one.
        double factor = 1;
        double firstWorkspace = 1;
        double slowdown = 1;
        Duration length = 4s;
        int immediateRetries = 0;
    };

    struct Result {
        double offered = 0, inTime = 0, late = 0, rejected = 0;
        double share() const { return this->offered > 0 ? this->inTime / this->offered : 1; }
        auto operator<=>(const Result&) const = default;
    };

    using Results = std::map<std::size_t, Result>;

    double lowestShare(const Results& results)
    {
        double lowest = 1;
        for (const auto& [key, result] : results)
            lowest = std::min(lowest, result.share());
        return lowest;
    }

    /// Requests that arrive from the begin of a load to two seconds after its end.
    struct Outcome {
        Result all;
        Results routes, workspaces, sizes;
        /// Rejections from three seconds after the end of the load on.
        int rejectedLater = 0;
        int shortages = 0;

        double worth() const
        {
            double sum = 0;
            for (const auto& [route, result] : this->routes)
                sum += result.inTime * routeModels[route].worthInTime + result.late * routeModels[route].worthLate;
            return sum;
        }
        auto operator<=>(const Outcome&) const = default;
    };

    /// Nodes before a pool of engines with slots and a bounded queue, and callers that come back after a rejection.
    class Model {
    public:
        Model(Policy policy, const Load& load, std::uint64_t seed, Outcome& outcome)
            : outcome(outcome)
            , policy(policy)
            , load(load)
            , arrivals(seed)
            , random(seed + 1000)
        {
            for (std::size_t i = 0; i < nodeCount; ++i)
                this->nodes.emplace_back(i + 1);
            for (std::size_t route = 0; route < routeModels.size(); ++route)
                this->arrive(route);
            while (!this->events.empty() && this->now < end + 15s) {
                auto event = this->events.extract(this->events.begin());
                this->now = event.key();
                event.mapped()();
            }
        }

    private:
        struct Job {
            std::size_t route = 0, workspace = 0, node = 0;
            double size = 1;
            Instant firstArrival, arrivedAt;
            int visits = 0;
            RequestId id;
            bool counted = false;
        };
        using JobPointer = std::shared_ptr<Job>;

        struct Engine {
            std::size_t running = 0;
            std::multimap<std::uint32_t, JobPointer> queue;
        };

        struct Node {
            explicit Node(std::uint64_t seed)
                : controller(seed)
            {
            }
            OverloadController controller;
            std::array<double, engineCount> seen {};
            std::array<double, engineCount> own {};
        };

        Outcome& outcome;
        Policy policy;
        Load load;
        /// Separate, so that all policies get the same requests.
        RandomSource arrivals;
        RandomSource random;
        const Instant begin { 20s };
        const Instant end = begin + load.length;

        void at(Instant time, std::function<void()> action) { this->events.emplace(time, std::move(action)); }
        bool isLoaded() const { return this->now >= this->begin && this->now < this->end; }

        void arrive(std::size_t route)
        {
            if (this->now >= this->end + 8s)
                return;
            const bool loaded = this->isLoaded();
            const double first = loaded ? this->load.firstWorkspace : 1;
            const double weights = workspaceCount + 2 + first * 3;
            const double rate
                = routeModels[route].perSecond * (loaded ? this->load.factor : 1) * weights / (workspaceCount + 5);
            this->at(
                this->now + fromSeconds(this->arrivals.exponential(1 / rate)), [this, route] { this->arrive(route); });
            auto job = std::make_shared<Job>();
            job->route = route;
            const double drawn = this->arrivals.uniform() * weights;
            job->workspace = drawn < 3 * first
                ? 0
                : 1 + static_cast<std::size_t>((drawn - 3 * first) / (workspaceCount + 2) * workspaceCount);
            job->size = std::clamp(this->arrivals.exponential(1), 0.2, 4.0);
            job->firstArrival = this->now;
            this->visit(job);
        }

        void visit(const JobPointer& job)
        {
            const RouteModel& model = routeModels[job->route];
            job->node = this->random.below(nodeCount);
            job->arrivedAt = this->now;
            job->id = RequestId(std::to_string(++this->lastId));
            ++job->visits;
            Node& node = this->nodes[job->node];
            const AdmissionOffer offer { job->id, ServiceName("engine"), RouteName(model.name),
                WorkspaceName(std::to_string(job->workspace)), model.priority, model.cost * job->size, model.target };
            if (this->policy == Policy::Controlled) {
                const bool admitted = node.controller.admits(offer, this->now);
                this->outcome.shortages += static_cast<int>(node.controller.takeChanges().size());
                if (!admitted)
                    return this->reject(job);
            }
            this->send(job);
        }

        std::size_t choose(const Node& node)
        {
            const std::size_t a = this->random.below(engineCount);
            const std::size_t b = this->random.below(engineCount);
            return node.seen[a] + node.own[a] <= node.seen[b] + node.own[b] ? a : b;
        }

        void send(const JobPointer& job)
        {
            const RouteModel& model = routeModels[job->route];
            Node& node = this->nodes[job->node];
            for (int attempt = 0; attempt < 2; ++attempt) {
                const std::size_t index = this->choose(node);
                Engine& engine = this->engines[index];
                const double waiting = std::max(0.0, node.seen[index] - slots) / slots * 0.4;
                if (this->policy == Policy::Predicted && fromSeconds(waiting) + model.read > model.target)
                    continue;
                node.seen[index] = static_cast<double>(engine.running + engine.queue.size());
                if (engine.queue.size() >= engineQueue)
                    continue;
                node.own[index] += 1;
                const std::uint32_t priority = this->policy == Policy::Arrival
                    ? 0
                    : node.controller.forwardedPriority(ServiceName("engine"), model.priority);
                engine.queue.emplace(priority, job);
                return this->startNext(index);
            }
            if (this->now + 15ms < job->arrivedAt + model.target / 8)
                return this->at(this->now + 15ms, [this, job] { this->send(job); });
            node.controller.onNoCapacity(job->id, this->now);
            this->reject(job);
        }

        void startNext(std::size_t index)
        {
            Engine& engine = this->engines[index];
            while (engine.running < slots && !engine.queue.empty()) {
                const JobPointer job = engine.queue.extract(engine.queue.begin()).mapped();
                const RouteModel& model = routeModels[job->route];
                Node& node = this->nodes[job->node];
                if (this->now > job->arrivedAt + model.deadline) {
                    node.own[index] -= 1;
                    node.controller.onEnded(job->id);
                    this->finish(job, &Result::late);
                    continue;
                }
                ++engine.running;
                const double factor = (this->isLoaded() ? this->load.slowdown : 1) * (0.5 + 0.5 * job->size);
                this->at(this->now + fromSeconds(toSeconds(model.read) * factor), [this, job, index, &node] {
                    node.seen[index]
                        = static_cast<double>(this->engines[index].running + this->engines[index].queue.size())
                        - node.own[index];
                    node.controller.onFirstEvent(job->id, this->now);
                    const bool inTime = this->now - job->firstArrival <= routeModels[job->route].target;
                    this->finish(job, inTime ? &Result::inTime : &Result::late);
                });
                this->at(this->now + fromSeconds(toSeconds(model.hold) * factor), [this, index, &node] {
                    node.own[index] -= 1;
                    --this->engines[index].running;
                    this->startNext(index);
                });
            }
        }

        void reject(const JobPointer& job)
        {
            const RouteModel& model = routeModels[job->route];
            if (this->now >= this->end + 3s)
                ++this->outcome.rejectedLater;
            const bool isImmediate = job->visits <= this->load.immediateRetries;
            if (!isImmediate && job->visits > this->load.immediateRetries + 1)
                return this->finish(job, &Result::rejected);
            const double draw = this->random.uniform();
            const auto told
                = this->nodes[job->node].controller.retryAfter(ServiceName("engine"), model.priority, draw, this->now);
            const Duration wait = isImmediate ? 20ms : told.value_or(300ms + fromSeconds(0.6 * draw));
            this->at(this->now + wait, [this, job] { this->visit(job); });
        }

        void finish(const JobPointer& job, double Result::*field)
        {
            if (job->firstArrival < this->begin || job->firstArrival >= this->end + 2s)
                return;
            const std::size_t size = job->size < 0.5 ? 0 : job->size < 1.5 ? 1 : 2;
            for (Result* result : { &this->outcome.all, &this->outcome.routes[job->route],
                     &this->outcome.workspaces[job->workspace], &this->outcome.sizes[size] }) {
                result->offered += 1;
                result->*field += 1;
            }
        }

        Instant now {};
        std::multimap<Instant, std::function<void()>> events;
        std::vector<Node> nodes;
        std::array<Engine, engineCount> engines;
        std::uint64_t lastId = 0;
    };

    /// Runs several seeds, and prints the sum.
    Outcome run(Policy policy, const char* policyName, const Load& load)
    {
        Outcome outcome;
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
            Model(policy, load, seed, outcome);
        for (const auto& [route, result] : outcome.routes)
            fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", load.name, policyName, routeModels[route].name,
                result.offered, result.inTime, result.late, result.rejected);
        fmt::print("{}, {}: worth {:.0f}, in time {:.3f}, lowest of a workspace {:.3f}, of a size {:.3f}, rejected "
                   "later {}, changes {}\n",
            load.name, policyName, outcome.worth(), outcome.all.share(), lowestShare(outcome.workspaces),
            lowestShare(outcome.sizes), outcome.rejectedLater, outcome.shortages);
        return outcome;
    }

    class AdmissionUnderShortage : public testing::TestWithParam<Load> { };

    // Guards against late requests that take capacity from those that could be in time, against starved routes,
    // workspaces and sizes, and against rejections after the shortage.
    TEST_P(AdmissionUnderShortage, ServesMoreWorthThanStrictPriorityAndArrivalOrder)
    {
        const Load& load = GetParam();
        const Outcome arrival = run(Policy::Arrival, "arrival", load);
        const Outcome strict = run(Policy::StrictPriority, "strict priority", load);
        run(Policy::Predicted, "predicted", load);
        const Outcome controlled = run(Policy::Controlled, "controlled", load);
        EXPECT_GT(controlled.worth(), arrival.worth());
        EXPECT_GT(controlled.worth(), strict.worth());
        const double floor = 0.4 * controlled.all.share();
        EXPECT_GE(lowestShare(controlled.routes), floor);
        EXPECT_GE(lowestShare(controlled.workspaces), floor);
        EXPECT_GE(lowestShare(controlled.sizes), floor);
        EXPECT_GE(controlled.routes.at(0).share(), controlled.routes.at(1).share());
        EXPECT_LE(controlled.rejectedLater, 0.001 * controlled.all.offered);
        if (load.firstWorkspace == 1)
            return;
        for (const auto& [workspace, result] : controlled.workspaces) {
            if (workspace == 0)
                continue;
            EXPECT_GT(
                result.share(), std::max(controlled.workspaces.at(0).share(), strict.workspaces.at(workspace).share()));
        }
    }

    INSTANTIATE_TEST_SUITE_P(Loads, AdmissionUnderShortage,
        testing::Values(Load { "2.5 times capacity", 2.5 / calmLoad }, Load { "one workspace x6.8", 1, 6.8 },
            Load { "immediate retries", 1.5 / calmLoad, 1, 1, 4s, 4 }, Load { "capacity halved", 1, 1, 2, 6s }));

    // Guards against any effect on a deployment whose responses are in time.
    TEST(OverloadController, LeavesCalmLoadUntouched)
    {
        const Load calm { "calm", 1, 1, 1, 20s };
        EXPECT_EQ(run(Policy::Controlled, "controlled", calm), run(Policy::StrictPriority, "strict priority", calm));
    }

    // Guards against rejecting requests for ever because responses are late for another reason than load.
    TEST(OverloadController, StopsRejectingIfThatDoesNotHelp)
    {
        OverloadController controller(1);
        int rejected = 0;
        const auto run = [&](Instant from, Instant to) {
            for (Instant now = from; now < to; now += 20ms) {
                const RequestId id(std::to_string(now.time_since_epoch().count()));
                const AdmissionOffer offer { id, ServiceName("engine"), RouteName("short"), {}, 0, 1800, 10ms };
                if (!controller.admits(offer, now)) {
                    ++rejected;
                    continue;
                }
                controller.onFirstEvent(id, now + 11ms);
            }
        };
        run(Instant { 1s }, Instant { 10s });
        EXPECT_GT(rejected, 0);
        EXPECT_TRUE(controller.takeChanges().back().isSuspended);
        rejected = 0;
        run(Instant { 10s }, Instant { 30s });
        EXPECT_EQ(rejected, 0);
    }

    /// Sends requests every 20 ms, which all engines leave unanswered, and returns the responses.
    std::vector<Respond> sendUnanswered(EntryHarness& harness, bool isEngine)
    {
        EntryConfiguration configuration = EntryHarness::configuration();
        configuration.services[0].isEngine = isEngine;
        harness.start(3, 200);
        configuration.version = 2;
        harness.send(EntryConfigurationRead { configuration });
        std::vector<Respond> rejected;
        for (int i = 0; i < 50; ++i) {
            harness.request("query");
            for (Respond& response : harness.all<Respond>())
                rejected.push_back(std::move(response));
            harness.advance(20ms);
        }
        return rejected;
    }

    // Guards against forwarding requests to engines that answer too late, against rejections without a time to come
    // back or a reason in the log, and against effects on plain services and on nodes without the setting.
    TEST(AdmissionUnderShortage, RejectsRequestsOfEnginesWithLateResponses)
    {
        EntryNodeSettings settings = EntryHarness::settings(1, "host-1");
        EntryHarness off(settings);
        EXPECT_TRUE(sendUnanswered(off, true).empty());
        settings.host.admission = true;
        EntryHarness plain(settings);
        EXPECT_TRUE(sendUnanswered(plain, false).empty());
        EntryHarness harness(settings);
        const std::vector<Respond> rejected = sendUnanswered(harness, true);
        ASSERT_FALSE(rejected.empty());
        EXPECT_EQ(rejected.front().status, 503);
        EXPECT_EQ(rejected.front().headers.back().first, "retry-after");
        const EntryStatistics statistics = harness.node.statistics();
        EXPECT_EQ(statistics.shortServices, 1u);
        const RouteAdmission& admission = statistics.admissions.at(RouteName("query"));
        EXPECT_EQ(admission.rejectedForShortage, rejected.size());
        EXPECT_EQ(admission.admitted, 50 - rejected.size());
    }

    // Guards against a request that holds up others which may use different upstreams, against serving less urgent or
    // later requests first, and against requests that wait although they cannot be in time any more.
    TEST(WaitingRequests, HoldsUpOnlyRequestsWithTheSameNeed)
    {
        WaitingRequests waiting;
        const Instant start { 1s };
        const auto add = [&](const char* id, const char* service, std::uint32_t priority, Duration arrival,
                             std::vector<UpstreamId> excluded, Duration until) {
            waiting.add(
                { RequestId(id), ServiceName(service), priority, start + arrival, start + until, std::move(excluded) });
        };
        const UpstreamId one("one");
        const UpstreamId two("two");
        add("later", "app", 1, 2ms, { one }, 50ms);
        add("first", "app", 0, 1ms, { one }, 60ms);
        add("free", "app", 1, 3ms, {}, 70ms);
        add("narrow", "app", 1, 4ms, { two, one }, 40ms);
        add("other", "search", 5, 0ms, { one }, 80ms);
        std::vector<std::string> tried;
        waiting.dispatch([&](const RequestId& id) {
            tried.push_back(id.value());
            return false;
        });
        EXPECT_EQ(tried, (std::vector<std::string> { "first", "free", "other" }));
        EXPECT_EQ(waiting.nextExpiry(), start + 40ms);
        EXPECT_EQ(waiting.expired(start + 50ms), (std::vector { RequestId("narrow"), RequestId("later") }));
        waiting.remove(RequestId("narrow"));
        EXPECT_EQ(waiting.nextExpiry(), start + 50ms);
        EXPECT_EQ(waiting.size(), 4u);
    }

} // namespace
} // namespace teaselshore
