#include <ctime>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"
#include "teaselshore/entry/live_nodes.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr int workspaceCount = 40;
    constexpr std::int64_t windowCount = 4;

    NodeReport reportOf(int number)
    {
        NodeReport report;
        report.host = "host-" + std::to_string(number);
        report.process = NodeId(report.host + "-1");
        report.peerAddress = "10.0.0.1:" + std::to_string(7000 + number);
        report.number = 1;
        report.completeWindow = windowCount;
        for (std::int64_t window = 1; window <= windowCount; ++window) {
            for (int workspace = 0; workspace < workspaceCount; ++workspace)
                report.usage[window][WorkspaceName("workspace-" + std::to_string(workspace))] = 400;
        }
        report.demand[ServiceName("app")] = { 5, 1000, 0 };
        return report;
    }

    /// Processor time of this thread.
    Duration processorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    // Load pattern: hundreds of nodes, each with the reports of all. Guards against periodic work that grows with the
    // fleet and holds up requests and events: a node without the lease copied all reports in each round.
    TEST(FleetOfHundreds, PeriodicWorkHoldsNoRequestUp)
    {
        constexpr int nodes = 300;
        constexpr int rounds = 100;
        // 5 ms of a host with 0.12 of a core.
        constexpr Duration longestRound = 600us;
        EntryHarness harness;
        harness.start();
        NodeReportsRead read;
        for (int number = 0; number < nodes; ++number)
            read.reports.push_back(reportOf(number).encode());
        harness.send(std::move(read));
        ASSERT_GE(harness.node.statistics().upstreams, 1u);
        const Duration before = processorTime();
        for (int round = 0; round < rounds; ++round)
            harness.advance(100ms);
        EXPECT_LT((processorTime() - before) / rounds, longestRound);
    }

    // Guards against reads without a pause while the size of a service's fleet at its start cannot be read.
    TEST(FleetOfFew, AnUnreadableSizeIsReadAgainAfterAPause)
    {
        EntryFleet fleet(3);
        fleet.platform.objects["fleet/app"] = { "{}", ++fleet.platform.lastVersion };
        fleet.advance(20s);
        EXPECT_EQ(fleet.leaseHolders().size(), 1u);
        const std::size_t before = fleet.objectCalls;
        fleet.advance(10s);
        EXPECT_LT(fleet.objectCalls - before, 60u);
    }

    // Guards against a size at the start that is taken anew from what is registered, by a holder that follows a restore
    // whose copy lacks it.
    TEST(FleetOfFew, TheSizeAtTheStartOutlivesItsHolder)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            EntryFleet fleet(5, seed);
            const SimulatedPlatform::Copy copy = fleet.platform.copy();
            fleet.advance(20s);
            const std::string size = fleet.platform.objects.at("fleet/app").value;
            UpstreamsListed listed;
            for (int number = 1; number <= 7; ++number)
                listed.upstreams.push_back(EntryHarness::upstream(number));
            for (const auto& [host, node] : fleet.nodes)
                fleet.handle(host, listed);
            fleet.platform.restore(copy);
            fleet.advance(std::chrono::milliseconds(2000 + RandomSource(seed).below(4000)));
            for (int number = 0; number < 5; ++number) {
                const std::string host = "host-" + std::to_string(number);
                fleet.add(host);
                fleet.handle(host, listed);
            }
            fleet.advance(20s);
            EXPECT_EQ(fleet.platform.objects.at("fleet/app").value, size) << seed;
        }
    }

    // Guards against details that are lost to a node that needs them later than it read the report.
    TEST(NodeReport, DetailsAreDecodedOnDemand)
    {
        const NodeReport report = reportOf(1);
        std::optional<NodeReport> head = NodeReport::decodeHead(report.encode());
        ASSERT_TRUE(head);
        EXPECT_EQ(head->host, report.host);
        EXPECT_EQ(head->peerAddress, report.peerAddress);
        EXPECT_EQ(head->completeWindow, report.completeWindow);
        EXPECT_TRUE(head->usage.empty());
        LiveNodes live("self", 10s);
        const Instant now { 100s };
        live.onReports({ *head }, now);
        ASSERT_EQ(live.reports(now).size(), 1u);
        EXPECT_TRUE(live.reports(now)[0].get().usage.empty());
        EXPECT_EQ(live.decodeDetails(now), 0u);
        EXPECT_EQ(live.reports(now)[0].get(), report);
        EXPECT_EQ(live.decodeDetails(now), 0u) << "decoded once";
        EXPECT_EQ(live.reports(now)[0].get(), report);
    }

    // Guards against malformed details that pass for a node without requests, unnoticed, or that end the process.
    TEST(NodeReport, MalformedDetailsAreCounted)
    {
        const std::string text = reportOf(1).encode();
        const std::size_t headEnd = text.find('\n');
        for (const std::string& details : { std::string(), std::string("3"), std::string("{}"),
                 std::string(R"({"usage":{"x":{}},"demand":{},"versions":[]})"),
                 std::string(R"({"usage":{"1":{"a":"b"}},"demand":{},"versions":[]})") }) {
            std::optional<NodeReport> head = NodeReport::decodeHead(text.substr(0, headEnd + 1) + details);
            ASSERT_TRUE(head) << details;
            LiveNodes live("self", 10s);
            const Instant now { 100s };
            live.onReports({ *head }, now);
            EXPECT_EQ(live.decodeDetails(now), 1u) << details;
            EXPECT_TRUE(live.reports(now)[0].get().usage.empty()) << details;
        }
    }

} // namespace
} // namespace teaselshore
