#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include "teaselshore/configuration/difference.hpp"
#include "teaselshore/configuration/parse.hpp"

namespace teaselshore {
namespace {

    constexpr std::size_t zones = 12;

    /// Text with the given numbers of engines and services; the engines are spread evenly over the services.
    std::string configurationText(std::size_t engines, std::size_t services)
    {
        std::string text = "regions:\n  - name: r1\n    zones: [";
        for (std::size_t zone = 0; zone < zones; zone++)
            text += fmt::format("{}z{}", zone == 0 ? "" : ", ", zone);
        text += "]\nhost-classes:\n  - {name: gpu-small, accelerators: 8}\nclasses:\n"
                "  - {name: interactive, priority: 0, first-token-ms: 530, between-tokens-ms: 38, deadline-ms: 30000}\n"
                "workspaces:\n  - {name: households, share: 1}\nservices:\n";
        std::size_t engine = 0;
        for (std::size_t service = 0; service < services; service++) {
            text += fmt::format("  - name: s{0}\n    kind: engine\n    model: m{0}\n    versions:\n      - {{name: "
                                "v1}}\n    upstreams:\n",
                service);
            for (const std::size_t end = engines * (service + 1) / services; engine < end; engine++)
                text += fmt::format("      - {{id: engine-{}, zone: z{}, address: \"10.0.{}.{}:9001\", version: v1, "
                                    "host-class: gpu-small, capacity: 32, reclaimable: true}}\n",
                    engine, engine % zones, engine / 250, engine % 250);
            text += fmt::format(
                "    routes:\n      - {{name: chat, path: /s{}, method: POST, class: interactive, idempotent: true}}\n",
                service);
        }
        return text;
    }

    std::size_t allocatedBytes()
    {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    /// Arguments: engines, services.
    void parse(benchmark::State& state)
    {
        const std::string text
            = configurationText(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        std::vector<ConfigurationProblem> problems;
        const std::size_t before = allocatedBytes();
        const auto kept = parseConfiguration(text, problems);
        if (!kept) {
            state.SkipWithError("the text is not valid");
            return;
        }
        state.counters["keptBytes"] = static_cast<double>(allocatedBytes() - before);
        state.counters["textBytes"] = static_cast<double>(text.size());
        for (auto _ : state)
            benchmark::DoNotOptimize(parseConfiguration(text, problems));
    }
    BENCHMARK(parse)
        ->ArgNames({ "engines", "services" })
        ->Args({ 20, 1 })
        ->Args({ 500, 1 })
        ->Args({ 5300, 1 })
        ->Args({ 5300, 20 })
        ->Args({ 5300, 200 })
        ->Unit(benchmark::kMillisecond);

    /// Comparison of two configurations that differ in one upstream.
    void compare(benchmark::State& state)
    {
        const std::string text = configurationText(static_cast<std::size_t>(state.range(0)), 20);
        std::vector<ConfigurationProblem> problems;
        const auto before = parseConfiguration(text, problems);
        if (!before) {
            state.SkipWithError("the text is not valid");
            return;
        }
        Configuration after = *before;
        after.services[0].upstreams[0].capacity++;
        for (auto _ : state)
            benchmark::DoNotOptimize(difference(*before, after));
    }
    BENCHMARK(compare)->ArgName("engines")->Arg(20)->Arg(500)->Arg(5300)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace teaselshore
