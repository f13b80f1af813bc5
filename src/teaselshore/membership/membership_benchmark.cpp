#include <algorithm>
#include <chrono>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "cluster_simulation.hpp"
#include "teaselshore/protocol/codec.hpp"

// Control-plane cost of one node at several cluster sizes. Time is simulated, bytes are those of the encoded messages,
// and CPU time is measured. Traffic counts sent messages; a node receives as many on average.

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr double secondsPerDay = 86400;
    constexpr double changesPerDay = 29000;
    /// Failures per day and node, and restarts or replacements: 120 and 840 per day in a cluster of 450 nodes.
    constexpr double failuresPerDayAndNode = 120.0 / 450;
    constexpr double restartsPerDayAndNode = 840.0 / 450;
    constexpr std::size_t textBytes = 500'000;
    /// IP and TCP headers and ZeroMQ frame of a message, and the TCP acknowledgement of it.
    constexpr double packetOverhead = 52 + 2 + 52;

    /// @brief Generates an operator configuration with one line per upstream and changes like those made by operators.
    class SyntheticConfiguration {
    public:
        explicit SyntheticConfiguration(std::uint64_t seed)
            : random(seed)
        {
            this->lines.emplace_back("services:\n");
            std::size_t size = 0;
            while (size < textBytes) {
                this->lines.push_back(this->upstreamLine());
                size += this->lines.back().size();
            }
        }

        /// @brief Replaces one line, or with a probability of 1 in 20 each, inserts or removes ten lines.
        std::string next()
        {
            const std::size_t position = 1 + this->random.below(this->lines.size() - 20);
            const auto line = this->lines.begin() + static_cast<std::ptrdiff_t>(position);
            const std::uint64_t kind = this->random.below(20);
            if (kind == 0)
                this->lines.erase(line, line + 10);
            else if (kind == 1)
                std::generate_n(std::inserter(this->lines, line), 10, [this] { return this->upstreamLine(); });
            else
                *line = this->upstreamLine();
            std::string text;
            for (const std::string& part : this->lines)
                text += part;
            return text;
        }

    private:
        std::string upstreamLine()
        {
            return fmt::format("      - {{id: engine-{}, zone: zone-{}, address: \"10.{}.{}.{}:9001\", version: v{}, "
                               "host-class: gpu-small, capacity: {}}}\n",
                this->number++, this->random.below(12), this->random.below(256), this->random.below(256),
                this->random.below(256), this->random.below(3), this->random.below(64));
        }

        RandomSource random;
        std::uint64_t number = 0;
        std::vector<std::string> lines;
    };

    /// @brief Encodes and decodes each message and accumulates the CPU time of both.
    struct CodecTimer {
        std::chrono::nanoseconds cpuTime {};

        std::size_t measure(const Member& sender, const SimulatedMessage& message)
        {
            const std::chrono::nanoseconds start = threadCpuTime();
            const PeerMessage content = std::visit([](const auto& group) { return PeerMessage(group); }, message);
            const std::string bytes = encode({ sender.id, sender.address, "teaselshore", content });
            ProtocolError error {};
            benchmark::DoNotOptimize(decode(bytes, error));
            this->cpuTime += threadCpuTime() - start;
            return bytes.size();
        }
    };

    std::size_t allocatedBytes()
    {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    /// @brief Sum of the traffic of all nodes since the last resetTraffic().
    struct Totals {
        SimulatedTraffic membership;
        SimulatedTraffic configuration;
    };

    Totals totals(const ClusterSimulation& cluster)
    {
        Totals sum;
        const auto add = [](SimulatedTraffic& total, const SimulatedTraffic& traffic) {
            total.messages += traffic.messages;
            total.bytes += traffic.bytes;
            total.cpuTime += traffic.cpuTime;
        };
        for (const SimulatedNode& node : cluster.nodes) {
            add(sum.membership, node.membershipTraffic);
            add(sum.configuration, node.configurationTraffic);
        }
        return sum;
    }

    void resetTraffic(ClusterSimulation& cluster)
    {
        for (SimulatedNode& node : cluster.nodes) {
            node.membershipTraffic = {};
            node.configurationTraffic = {};
        }
    }

    void report(benchmark::State& state, const std::string& name, const SimulatedTraffic& traffic, double nodeSeconds)
    {
        const double bytes = static_cast<double>(traffic.bytes);
        const double messages = static_cast<double>(traffic.messages);
        state.counters[name + "_B/s"] = bytes / nodeSeconds;
        state.counters[name + "_wire_B/s"] = (bytes + messages * packetOverhead) / nodeSeconds;
        state.counters[name + "_msg/s"] = messages / nodeSeconds;
        state.counters[name + "_cpu_%"] = static_cast<double>(traffic.cpuTime.count()) / 1e7 / nodeSeconds;
    }

    /// @brief Runs the cluster for a time, with node failures, restarts and configuration changes at their daily rates.
    void simulateChurn(ClusterSimulation& cluster, SyntheticConfiguration* text, RandomSource& random, Duration time)
    {
        const double size = static_cast<double>(cluster.nodes.size());
        const double failures = failuresPerDayAndNode * size / secondsPerDay;
        const double restarts = restartsPerDayAndNode * size / secondsPerDay;
        const double changes = text ? changesPerDay / secondsPerDay : 0;
        const double all = failures + restarts + changes;
        const Instant end = cluster.now + time;
        while (true) {
            const Duration wait = fromSeconds(random.exponential(1 / all));
            if (cluster.now + wait >= end)
                break;
            cluster.run(wait);
            const double kind = random.uniform() * all;
            const std::size_t node = random.below(cluster.nodes.size());
            if (kind < changes) {
                cluster.publish(text->next());
            } else if (kind < changes + restarts) {
                cluster.leave(node);
                cluster.start(node);
            } else {
                cluster.crash(node);
                cluster.run(std::min<Duration>(20s, end - cluster.now));
                cluster.start(node);
            }
        }
        cluster.run(end - cluster.now);
    }

    void startCluster(ClusterSimulation& cluster, std::size_t size)
    {
        cluster.delay = 10ms;
        cluster.addMany(size);
        cluster.listFirstNodes(size);
        cluster.run(60s);
    }

    void steadyState(benchmark::State& state)
    {
        const auto size = static_cast<std::size_t>(state.range(0));
        const bool withChanges = state.range(1) != 0;
        for (auto iteration : state) {
            const std::size_t before = allocatedBytes();
            ClusterSimulation cluster(1);
            CodecTimer codec;
            SyntheticConfiguration text(2);
            RandomSource random(3);
            startCluster(cluster, size);
            if (withChanges) {
                cluster.publish(text.next());
                cluster.run(30s);
            }
            cluster.wireSize
                = [&](const Member& sender, const SimulatedMessage& message) { return codec.measure(sender, message); };
            resetTraffic(cluster);
            const Duration time = 5min;
            simulateChurn(cluster, withChanges ? &text : nullptr, random, time);

            const double nodeSeconds = static_cast<double>(size) * toSeconds(time);
            const Totals sum = totals(cluster);
            report(state, "member", sum.membership, nodeSeconds);
            report(state, "config", sum.configuration, nodeSeconds);
            state.counters["codec_cpu_%"] = static_cast<double>(codec.cpuTime.count()) / 1e7 / nodeSeconds;
            state.counters["memory_KB"]
                = static_cast<double>(allocatedBytes() - before) / 1000 / static_cast<double>(size);
            state.counters["versions"] = static_cast<double>(cluster.objectVersion);
        }
    }
    BENCHMARK(steadyState)
        ->ArgNames({ "nodes", "changes" })
        ->ArgsProduct({ { 9, 100, 450 }, { 0, 1 } })
        ->Iterations(1)
        ->Unit(benchmark::kSecond);

    void changeReachesAll(benchmark::State& state)
    {
        const auto size = static_cast<std::size_t>(state.range(0));
        for (auto iteration : state) {
            ClusterSimulation cluster(4);
            SyntheticConfiguration text(5);
            startCluster(cluster, size);
            cluster.publish(text.next());
            cluster.run(30s);
            std::vector<double> milliseconds;
            for (int change = 0; change < 30; ++change) {
                cluster.publish(text.next());
                const auto reached = [&] { return cluster.allHaveVersion(cluster.objectVersion); };
                milliseconds.push_back(toMilliseconds(cluster.runUntil(reached, 60s)));
                cluster.run(1s);
            }
            std::sort(milliseconds.begin(), milliseconds.end());
            state.counters["median_ms"] = milliseconds[milliseconds.size() / 2];
            state.counters["max_ms"] = milliseconds.back();
        }
    }
    BENCHMARK(changeReachesAll)->ArgName("nodes")->Arg(9)->Arg(100)->Arg(450)->Iterations(1)->Unit(benchmark::kSecond);

    void crashIsKnownToAll(benchmark::State& state)
    {
        const auto size = static_cast<std::size_t>(state.range(0));
        for (auto iteration : state) {
            ClusterSimulation cluster(6);
            startCluster(cluster, size);
            std::vector<double> seconds;
            for (std::size_t crash = 0; crash < 10; ++crash) {
                cluster.crash(crash % size);
                seconds.push_back(toSeconds(cluster.runUntil([&] { return cluster.hasConverged(); }, 2min)));
                cluster.start(crash % size);
                cluster.run(60s);
            }
            std::sort(seconds.begin(), seconds.end());
            state.counters["median_s"] = seconds[seconds.size() / 2];
            state.counters["max_s"] = seconds.back();
        }
    }
    BENCHMARK(crashIsKnownToAll)->ArgName("nodes")->Arg(9)->Arg(100)->Arg(450)->Iterations(1)->Unit(benchmark::kSecond);

    void zoneLossIsKnownToAll(benchmark::State& state)
    {
        const auto size = static_cast<std::size_t>(state.range(0));
        for (auto iteration : state) {
            ClusterSimulation cluster(7);
            CodecTimer codec;
            startCluster(cluster, size);
            cluster.wireSize
                = [&](const Member& sender, const SimulatedMessage& message) { return codec.measure(sender, message); };
            for (std::size_t index = 0; index < size; index += 3)
                cluster.crash(index);
            resetTraffic(cluster);
            const Duration took = cluster.runUntil([&] { return cluster.hasConverged(); }, 5min);
            state.counters["all_know_s"] = toSeconds(took);
            const std::size_t left = size - (size + 2) / 3;
            const double nodeSeconds = static_cast<double>(left) * toSeconds(took);
            report(state, "member", totals(cluster).membership, nodeSeconds);
        }
    }
    BENCHMARK(zoneLossIsKnownToAll)
        ->ArgName("nodes")
        ->Arg(9)
        ->Arg(100)
        ->Arg(450)
        ->Iterations(1)
        ->Unit(benchmark::kSecond);

    void partitionHeals(benchmark::State& state)
    {
        const auto size = static_cast<std::size_t>(state.range(0));
        const auto smaller = size / static_cast<std::size_t>(state.range(1));
        for (auto iteration : state) {
            ClusterSimulation cluster(8);
            CodecTimer codec;
            startCluster(cluster, size);
            cluster.connected = [=](std::size_t from, std::size_t to) { return (from < smaller) == (to < smaller); };
            cluster.run(15min);
            cluster.connected = [](std::size_t, std::size_t) { return true; };
            cluster.wireSize
                = [&](const Member& sender, const SimulatedMessage& message) { return codec.measure(sender, message); };
            resetTraffic(cluster);
            const Duration took = cluster.runUntil([&] { return cluster.hasConverged(); }, 5min);
            state.counters["all_know_s"] = toSeconds(took);
            report(state, "member", totals(cluster).membership, static_cast<double>(size) * toSeconds(took));
        }
    }
    BENCHMARK(partitionHeals)
        ->ArgNames({ "nodes", "fraction" })
        ->ArgsProduct({ { 9, 100, 450 }, { 3, 9 } })
        ->Iterations(1)
        ->Unit(benchmark::kSecond);

} // namespace
} // namespace teaselshore
