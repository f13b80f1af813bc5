#include <algorithm>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "routing_test_support.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/routing/admission_controller.hpp"

namespace teaselshore {
namespace {

    using namespace test_support;

    constexpr std::uint64_t seed = 7;
    constexpr std::size_t promptCount = 256;
    constexpr std::size_t blocksPerPrompt = 10;

    /// Router with generated requests and the dispatches that have not finished.
    struct RouterTraffic {
        explicit RouterTraffic(std::size_t engines, ChoicePolicy policy = PredictedLatency {})
            : engines(engines)
            , random(seed)
        {
            RouterSettings settings;
            settings.zone = zoneName(0);
            settings.policy = policy;
            router.emplace(settings);
            router->onConfiguration(makeConfiguration(engines < 100 ? 3 : 12, engines, 32), now);
            for (std::size_t i = 0; i < promptCount; i++) {
                RoutingRequest request = makeRequest(i % 4 == 0 ? patient : interactive);
                request.prefixBlocks = promptBlocks(
                    "workspace " + std::to_string(i % 5), blocksPerPrompt, "question " + std::to_string(i), 6);
                requests.push_back(std::move(request));
            }
        }

        const RoutingRequest& nextRequest() { return requests[random.below(promptCount)]; }

        /// Dispatches one request, finishes another once enough are outstanding, and reports the load of one engine.
        void step()
        {
            now += std::chrono::microseconds(500);
            const RoutingRequest& request = nextRequest();
            if (const auto decision = router->choose(request, now))
                openDispatches.push_back(router->onDispatched(request, *decision, now));
            if (openDispatches.size() > 4 * engines || openDispatches.size() > 2000) {
                const std::size_t ended = random.below(openDispatches.size());
                router->onFirstToken(openDispatches[ended], now);
                router->onFinished(openDispatches[ended], AttemptOutcome::Completed, 100, now);
                openDispatches[ended] = openDispatches.back();
                openDispatches.pop_back();
            }
            const auto load = static_cast<std::uint32_t>(random.below(16));
            router->onLoadReport(
                { engineId(random.below(engines)), load / 4, load, std::chrono::milliseconds(random.below(50)) }, now);
        }

        std::size_t engines;
        RandomSource random;
        Instant now {};
        std::optional<Router> router;
        std::vector<RoutingRequest> requests;
        std::vector<DispatchId> openDispatches;
    };

    /// A decision without the events of its request, on a warmed-up table.
    void decision(benchmark::State& state)
    {
        RouterTraffic traffic(static_cast<std::size_t>(state.range(0)));
        for (int i = 0; i < 20000; i++)
            traffic.step();
        for (auto _ : state)
            benchmark::DoNotOptimize(traffic.router->choose(traffic.nextRequest(), traffic.now));
    }
    BENCHMARK(decision)->Arg(20)->Arg(500)->Arg(5300);

    /// A decision of the baseline policy that scans all engines.
    void decisionLeastOutstanding(benchmark::State& state)
    {
        RouterTraffic traffic(static_cast<std::size_t>(state.range(0)), LeastOutstanding {});
        for (int i = 0; i < 20000; i++)
            traffic.step();
        for (auto _ : state)
            benchmark::DoNotOptimize(traffic.router->choose(traffic.nextRequest(), traffic.now));
    }
    BENCHMARK(decisionLeastOutstanding)->Arg(20)->Arg(500)->Arg(5300);

    /// A decision with all events of its request (dispatch, first token, end) and one load report.
    void decisionWithEvents(benchmark::State& state)
    {
        RouterTraffic traffic(static_cast<std::size_t>(state.range(0)));
        for (int i = 0; i < 20000; i++)
            traffic.step();
        for (auto _ : state)
            traffic.step();
        const std::size_t fixedBytes = Router({}).memoryBytes();
        state.counters["bytesPerUpstream"]
            = static_cast<double>(traffic.router->memoryBytes() - fixedBytes) / static_cast<double>(traffic.engines);
        state.counters["fixedBytes"] = static_cast<double>(fixedBytes);
    }
    BENCHMARK(decisionWithEvents)->Arg(20)->Arg(500)->Arg(5300);

    /// Application of a configuration in which one upstream changed.
    void configurationChange(benchmark::State& state)
    {
        RouterTraffic traffic(static_cast<std::size_t>(state.range(0)));
        Configuration configuration = makeConfiguration(12, traffic.engines, 32);
        std::uint32_t port = 0;
        for (auto _ : state) {
            configuration.services[0].upstreams[0].address = std::to_string(port++);
            traffic.router->onConfiguration(configuration, traffic.now);
        }
    }
    BENCHMARK(configurationChange)->Arg(20)->Arg(5300)->Unit(benchmark::kMicrosecond);

    /// Reclaim notices for all engines of one zone; time per zone.
    void zoneReclaim(benchmark::State& state)
    {
        RouterTraffic traffic(static_cast<std::size_t>(state.range(0)));
        for (auto _ : state) {
            for (std::size_t engine = 0; engine < traffic.engines; engine += 12)
                traffic.router->onUpstreamLeaving(engineId(engine), traffic.now);
            state.PauseTiming();
            for (std::size_t engine = 0; engine < traffic.engines; engine += 12)
                traffic.router->onUpstreamRestored(engineId(engine), traffic.now);
            state.ResumeTiming();
        }
    }
    BENCHMARK(zoneReclaim)->Arg(5300)->Unit(benchmark::kMicrosecond);

    void prefixIndexUpdate(benchmark::State& state)
    {
        PrefixIndex index;
        RandomSource random(seed);
        std::vector<std::vector<Fingerprint>> events;
        for (std::size_t i = 0; i < 4096; i++)
            events.push_back(promptBlocks(std::to_string(i), 4));
        std::vector<std::uint64_t> sequences(5300, 0);
        for (auto _ : state) {
            const auto engine = static_cast<std::uint32_t>(random.below(sequences.size()));
            const auto kind = random.below(3) == 0 ? CacheEventKind::Removed : CacheEventKind::Stored;
            index.onEvent(engine, { UpstreamId {}, ++sequences[engine], kind, events[random.below(events.size())] });
        }
        state.counters["bytes"] = static_cast<double>(index.memoryBytes());
    }
    BENCHMARK(prefixIndexUpdate);

    /// Admission and release of one request while others wait.
    void admission(benchmark::State& state)
    {
        AdmissionController controller;
        Configuration configuration = makeConfiguration(1, 1);
        for (int i = 0; i < 5; i++)
            configuration.workspaces.push_back({ WorkspaceName("workspace " + std::to_string(i)), 1.0 + i });
        controller.onConfiguration(configuration, Instant {});
        controller.onCapacity(assistant, 100, Instant {});
        std::vector<RequestId> running;
        std::uint64_t number = 0;
        const auto submit = [&] {
            const RequestId id(std::to_string(number++));
            const AdmissionResult result = controller.onRequest(
                { id, assistant, number % 4 == 0 ? patient : interactive, configuration.workspaces[number % 5].name,
                    Instant(std::chrono::hours(1)), 1, false },
                Instant {});
            if (std::holds_alternative<Admitted>(result))
                running.push_back(id);
        };
        for (std::int64_t i = 0; i < 100 + state.range(0); i++)
            submit();
        for (auto _ : state) {
            submit();
            const RequestId ended = running.front();
            running.erase(running.begin());
            for (const Admitted& admitted : controller.onReleased(ended, Instant {}).admitted)
                running.push_back(admitted.request);
        }
    }
    BENCHMARK(admission)->Arg(0)->Arg(100)->Arg(5000);

} // namespace
} // namespace teaselshore
