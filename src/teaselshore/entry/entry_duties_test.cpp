#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry_fleet.hpp"
#include "teaselshore/entry/demand_meter.hpp"
#include "teaselshore/entry/live_nodes.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    std::uint64_t totalRequests(const std::set<WorkspaceCounts>& reports)
    {
        return reports.empty() ? 0 : reports.begin()->at(WorkspaceName("north"));
    }

    /// Expects exactly one report for each window, and returns the sum of the reported requests.
    std::uint64_t expectReportedOnce(const EntryFleet& fleet)
    {
        std::uint64_t reported = 0;
        for (const auto& [window, reports] : fleet.platform.usage) {
            EXPECT_EQ(reports.size(), 1u) << window;
            reported += totalRequests(reports);
        }
        return reported;
    }

    // Guards against a usage window that is reported late, twice with different counts, or without some nodes' counts.
    TEST(EntryDuties, ReportsEachWindowOnceWithTheCountsOfAllNodes)
    {
        EntryFleet fleet(5);
        fleet.advance(7s);
        std::uint64_t sent = 0;
        for (int round = 0; round < 200; ++round) {
            fleet.request("host-" + std::to_string(round % 5));
            ++sent;
            fleet.advance(100ms);
        }
        fleet.advance(12s);
        EXPECT_EQ(expectReportedOnce(fleet), sent);
        EXPECT_EQ(fleet.leaseHolders().size(), 1u);
    }

    // Guards against losing the usage of a process that restarts within a window.
    TEST(EntryDuties, RestoresReportedCountsAfterARestart)
    {
        EntryFleet fleet(3);
        fleet.advance(7s);
        for (int round = 0; round < 30; ++round)
            fleet.request("host-1");
        fleet.advance(6s);
        const std::size_t windowsBefore = fleet.platform.usage.size();
        fleet.add("host-1");
        fleet.advance(12s);
        std::uint64_t reported = 0;
        for (const auto& [window, reports] : fleet.platform.usage)
            reported += totalRequests(reports);
        EXPECT_EQ(reported, 30u);
        EXPECT_GT(fleet.platform.usage.size(), windowsBefore);
    }

    // Guards against losing the usage of a process since its last report when it is stopped as planned.
    TEST(EntryDuties, StoppedProcessesReportWhatTheyHaveServed)
    {
        for (const Duration start : { 5s, 6s, 7s, 8s, 9s }) {
            EntryFleet fleet(3);
            fleet.advance(start);
            for (int round = 0; round < 30; ++round)
                fleet.request("host-1");
            fleet.handle("host-1", EntryStopRequested {});
            fleet.advance(3s);
            fleet.add("host-1");
            fleet.advance(15s);
            std::uint64_t reported = 0;
            for (const auto& [window, reports] : fleet.platform.usage)
                reported += totalRequests(reports);
            EXPECT_EQ(reported, 30u) << toSeconds(start);
        }
    }

    // Guards against refusing requests within the quota with 429 after a restart of all nodes: the shares of the quotas
    // must be restored with the first reports that are read.
    TEST(EntryDuties, QuotasAreRestoredAfterARestartOfAllNodes)
    {
        EntryFleet fleet(4);
        fleet.quota = WorkspaceQuota { QuotaUnit::Requests, 40, 40, 1 };
        for (int index = 0; index < 4; ++index)
            fleet.add("host-" + std::to_string(index));
        fleet.advance(20s);
        for (int index = 0; index < 4; ++index)
            fleet.add("host-" + std::to_string(index));
        fleet.advance(2s);
        fleet.refusedCount = 0;
        for (int round = 0; round < 50; ++round) {
            // 32 requests a second, spread evenly, of the 40 allowed.
            for (int index = 0; index < 4 && round % 5 != 0; ++index)
                fleet.request("host-" + std::to_string(index));
            fleet.advance(100ms);
        }
        EXPECT_EQ(fleet.refusedCount, 0);
    }

    // Load pattern: one workspace sends ten times its quota while a third of the nodes is cut off from the platform and
    // reconnects. Guards against shares that add up to more than the quota because nodes notice it at different times.
    TEST(EntryDuties, QuotaHoldsWhileNodesAreCutOffAndReturn)
    {
        for (const Duration cutAt : { 2s, 4s, 5s, 6s }) {
            for (const Duration cutFor : { 4s, 9s, 12s, 14s, 21s }) {
                EntryFleet fleet(0);
                fleet.quota = WorkspaceQuota { QuotaUnit::Requests, 60, 60, 1 };
                fleet.tolerance = { 8s, 0.1, 0 };
                for (int index = 0; index < 9; ++index)
                    fleet.add("host-" + std::to_string(index));
                fleet.advance(20s);
                const Instant start = fleet.now;
                while (fleet.now < start + 45s) {
                    const Duration passed = fleet.now - start;
                    const bool isCut = passed >= cutAt && passed < cutAt + cutFor;
                    fleet.cutFromPlatform
                        = isCut ? std::set<std::string> { "host-1", "host-4", "host-7" } : std::set<std::string> {};
                    for (int request = 0; request < 63; ++request)
                        fleet.request("host-" + std::to_string(request % 9));
                    fleet.advance(100ms);
                }
                const double allowed = (60 * 8 + 60) * 1.1;
                EXPECT_LE(static_cast<double>(fleet.maxSentWithin(8s)), allowed)
                    << cutAt.count() << " " << cutFor.count();
            }
        }
    }

    // Load pattern: one workspace sends several times its quota at 30 nodes while ten of them are cut off from the
    // platform and from the other nodes, but not from callers, for shorter or longer than the share timeout. Guards
    // against isolated nodes that count only themselves, so that the shares add up to twice the quota.
    TEST(EntryDuties, QuotaHoldsWhileManyNodesAreIsolated)
    {
        for (const Duration cutFor : { 14s, 25s, 70s }) {
            EntryFleet fleet(0);
            fleet.quota = WorkspaceQuota { QuotaUnit::Requests, 150, 150, 1 };
            fleet.tolerance = { 8s, 0.1, 0 };
            for (int index = 0; index < 30; ++index)
                fleet.add("host-" + std::to_string(index));
            fleet.advance(20s);
            const Instant start = fleet.now;
            for (int index = 0; index < 10; ++index)
                fleet.isolated.insert("host-" + std::to_string(3 * index));
            while (fleet.now < start + cutFor + 15s) {
                if (fleet.now >= start + cutFor)
                    fleet.isolated.clear();
                for (int request = 0; request < 60; ++request)
                    fleet.request("host-" + std::to_string(request % 30));
                fleet.advance(100ms);
            }
            const double allowed = (150 * 8 + 150) * 1.1;
            EXPECT_LE(static_cast<double>(fleet.maxSentWithin(8s)), allowed) << cutFor.count();
        }
    }

    // Load pattern: one workspace sends several times its quota while the platform is restored from a copy of before
    // half of the nodes started, and all are replaced one after the other. Guards against nodes that take the copy's
    // nodes for the whole fleet.
    TEST(EntryDuties, QuotaHoldsWhileNodesAreReplacedAfterARestore)
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            EntryFleet fleet(0, seed);
            RandomSource random(seed);
            fleet.quota = WorkspaceQuota { QuotaUnit::Requests, 60, 60, 1 };
            fleet.tolerance = { 8s, 0.1, 0 };
            for (int index = 0; index < 5; ++index)
                fleet.add("host-" + std::to_string(index));
            fleet.advance(20s);
            const SimulatedPlatform::Copy copy = fleet.platform.copy();
            for (int index = 5; index < 10; ++index)
                fleet.add("host-" + std::to_string(index));
            fleet.advance(20s);
            const auto load = [&fleet](Duration time) {
                for (const Instant end = fleet.now + time; fleet.now < end; fleet.advance(100ms)) {
                    for (int request = 0; request < 60; ++request)
                        fleet.request("host-" + std::to_string(request % 10));
                }
            };
            load(std::chrono::milliseconds(8000 + random.below(5000)));
            fleet.platform.restore(copy);
            const std::uint64_t gap = 200 + random.below(2000);
            for (int index = 0; index < 10; ++index) {
                load(std::chrono::milliseconds(random.below(gap)));
                fleet.add("host-" + std::to_string(index));
            }
            load(12s);
            const double allowed = (60 * 8 + 60) * 1.1;
            EXPECT_LE(static_cast<double>(fleet.maxSentWithin(8s)), allowed) << "seed " << seed << " gap " << gap;
        }
    }

    // Load pattern: one workspace sends several times its quota to 20 nodes while 30 more join. Guards against new
    // nodes that use their full shares before the others know them and reduce their own.
    TEST(EntryDuties, QuotaHoldsWhileManyNodesJoin)
    {
        for (const Duration joinAt : { 1s, 2s, 3s, 4s, 5s }) {
            EntryFleet fleet(0);
            fleet.quota = WorkspaceQuota { QuotaUnit::Tokens, 30'000, 30'000, 1 };
            fleet.tolerance = { 8s, 0.1, 0 };
            for (int index = 0; index < 20; ++index)
                fleet.add("host-" + std::to_string(index));
            fleet.advance(20s + joinAt);
            for (int index = 20; index < 50; ++index)
                fleet.add("host-" + std::to_string(index));
            for (int round = 0; round < 200; ++round) {
                for (int request = 0; request < 100; ++request)
                    fleet.request("host-" + std::to_string(request % 50), PromptSize { 80, 20 });
                fleet.advance(100ms);
            }
            const double allowed = (30'000 * 8 + 30'000) * 1.1 / 100;
            EXPECT_LE(static_cast<double>(fleet.maxSentWithin(8s)), allowed) << joinAt.count();
        }
    }

    // Load pattern: a workspace at 0.8 of its quota during a long outage of the platform. Guards against nodes that
    // give up their shares although no other node can take them over.
    TEST(EntryDuties, QuotasOutlastAnOutageOfThePlatform)
    {
        EntryFleet fleet(0);
        fleet.quota = WorkspaceQuota { QuotaUnit::Requests, 40, 40, 1 };
        for (int index = 0; index < 4; ++index)
            fleet.add("host-" + std::to_string(index));
        fleet.advance(20s);
        fleet.cutFromPlatform = { "host-0", "host-1", "host-2", "host-3" };
        for (int round = 0; round < 400; ++round) {
            for (int index = 0; index < 4 && round % 5 != 0; ++index)
                fleet.request("host-" + std::to_string(index));
            fleet.advance(100ms);
        }
        EXPECT_EQ(fleet.refusedCount, 0);
    }

    // Guards against usage that is missing from the reported windows because the platform rejected the reports of some
    // nodes; up to a third of the requests were missing.
    TEST(EntryDuties, PeersRelayTheReportsOfNodesCutFromThePlatform)
    {
        EntryFleet fleet(9);
        fleet.advance(12s);
        const std::string holder = fleet.leaseHolders().at(0);
        for (int index = 0; index < 9 && fleet.cutFromPlatform.size() < 3; ++index) {
            const std::string host = "host-" + std::to_string(index);
            if (host != holder)
                fleet.cutFromPlatform.insert(host);
        }
        std::uint64_t sent = 0;
        for (int round = 0; round < 100; ++round) {
            fleet.request("host-" + std::to_string(round % 9));
            ++sent;
            fleet.advance(100ms);
        }
        fleet.advance(12s);
        EXPECT_EQ(expectReportedOnce(fleet), sent);
    }

    // Load pattern: large prompts at nodes whose share of the quota is smaller than one prompt. Guards against refusals
    // while the workspace is well within its quota, also if one of the nodes does not answer.
    TEST(EntryDuties, NodesLendQuotaToEachOther)
    {
        EntryFleet fleet(0);
        fleet.quota = WorkspaceQuota { QuotaUnit::Tokens, 9000, 9000, 200 };
        for (int index = 0; index < 9; ++index)
            fleet.add("host-" + std::to_string(index));
        fleet.advance(10s);
        fleet.frozen.insert("host-4");
        for (int round = 0; round < 20; ++round) {
            // 4,000 tokens a second, of the 9,000 allowed; the share of a node holds 1,000.
            fleet.request("host-" + std::to_string(round % 4), PromptSize { 3000, 1000 });
            fleet.advance(1s);
        }
        EXPECT_EQ(fleet.refusedCount, 0);
    }

    // Guards against fleet tasks that stop when the holder of the lease is cut off from the platform, and against a
    // holder that continues with its old fencing token.
    TEST(EntryDuties, AnotherNodeTakesOverFromACutOffHolder)
    {
        EntryFleet fleet(5);
        fleet.advance(15s);
        ASSERT_EQ(fleet.leaseHolders().size(), 1u);
        const std::string first = fleet.leaseHolders().front();
        fleet.cutFromPlatform.insert(first);
        fleet.advance(15s);
        ASSERT_EQ(fleet.leaseHolders().size(), 1u);
        EXPECT_NE(fleet.leaseHolders().front(), first);
        fleet.cutFromPlatform.clear();
        fleet.advance(10s);
        EXPECT_EQ(fleet.leaseHolders().size(), 1u);
        EXPECT_NE(fleet.leaseHolders().front(), first) << "the first holder must not get the lease back";
    }

    // Guards against two holders with the same fencing token and against differing usage reports of a window, while
    // answers are lost and nodes are cut off, frozen and restarted at random.
    RC_GTEST_PROP(EntryDuties, OneHolderForEachTokenUnderFaults, ())
    {
        EntryFleet fleet(4, *rc::gen::inRange<std::uint64_t>(1, 100'000));
        fleet.lossPercent = *rc::gen::inRange(0, 40);
        const int steps = *rc::gen::inRange(5, 25);
        for (int step = 0; step < steps; ++step) {
            const std::string host = "host-" + std::to_string(*rc::gen::inRange(0, 4));
            const int fault = *rc::gen::inRange(0, EntryFleet::faultCount + 1);
            if (fault < EntryFleet::faultCount)
                fleet.cause(fault, host);
            else
                fleet.request(host);
            fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(100, 3000)));
        }
        fleet.lossPercent = 0;
        fleet.cutFromPlatform.clear();
        fleet.frozen.clear();
        fleet.advance(20s);
        for (const auto& [token, hosts] : fleet.platform.holders)
            RC_ASSERT(hosts.size() == 1u);
        for (const auto& [window, reports] : fleet.platform.usage)
            RC_ASSERT(reports.size() == 1u);
        RC_ASSERT(fleet.leaseHolders().size() == 1u);
    }

    // Load pattern: a fleet that was started with on-demand upstreams only. Guards against orders that release
    // on-demand upstreams before reclaimable ones are in service.
    TEST(EntryDuties, OrdersReclaimableUpstreamsBeforeReleasingOnDemandOnes)
    {
        EntryFleet fleet(3);
        fleet.advance(15s);
        ASSERT_FALSE(fleet.platform.orders.empty());
        for (const UpstreamOrder& order : fleet.platform.orders) {
            const bool releasesOnDemand = !order.reclaimable && order.zone == AvailabilityZone("zone-a");
            EXPECT_FALSE(releasesOnDemand) << "no reclaimable upstream is registered yet";
        }
    }

    // Load pattern: the holder of the lease is lost while upstreams come and go. Guards against a new holder that
    // orders nothing until the number of upstreams is stable, by which time all of them can be gone.
    TEST(EntryDuties, NewHolderOrdersWhileUpstreamsComeAndGo)
    {
        EntryFleet fleet(3);
        fleet.advance(15s);
        const std::string first = fleet.leaseHolders().at(0);
        fleet.frozen.insert(first);
        const std::size_t before = fleet.platform.orders.size();
        std::optional<Instant> leaseTakenAt;
        for (int round = 0; round < 100 && fleet.platform.orders.size() == before; ++round) {
            // Varies between one and four upstreams, by one every half second.
            UpstreamsListed listed;
            for (int number = 1; number <= 1 + std::abs(round / 5 % 6 - 3); ++number)
                listed.upstreams.push_back(EntryHarness::upstream(number));
            for (const auto& [host, node] : fleet.nodes) {
                if (host != first)
                    fleet.handle(host, listed);
            }
            fleet.advance(100ms);
            const bool isTaken = fleet.leaseHolders().size() > 1 || fleet.leaseHolders().at(0) != first;
            if (isTaken && !leaseTakenAt)
                leaseTakenAt = fleet.now;
        }
        ASSERT_TRUE(leaseTakenAt);
        ASSERT_GT(fleet.platform.orders.size(), before);
        EXPECT_LE(fleet.now - *leaseTakenAt, 1s);
    }

    // Guards against a first report that shows almost no demand: after a restart of all nodes, no on-demand upstreams
    // were ordered to replace reclaimed ones.
    TEST(DemandMeter, IgnoresTheFirstIntervalOfAProcess)
    {
        DemandMeter meter;
        Instant now { 1000s };
        const ServiceName app("app");
        meter.onSent(app, 500);
        EXPECT_TRUE(meter.takeRates(now).empty());
        now += 5s;
        meter.onSent(app, 1500);
        meter.onRefused(app, 500);
        const auto demand = meter.takeRates(now);
        ASSERT_TRUE(demand.contains(app));
        EXPECT_EQ(demand.at(app).promptTokensPerSecond, 400);
        EXPECT_EQ(demand.at(app).refusedPerSecond, 0.2);
    }

    // Load pattern: the reclaimable upstreams of a zone are reclaimed without replacement while the demand varies
    // slightly. Guards against on-demand upstreams that are ordered and then cancelled while they boot.
    TEST(EntryDuties, KeepsOrderedUpstreamsWhileTheyBoot)
    {
        EntryFleet fleet(1);
        fleet.advance(12s);
        const auto list = [&fleet](bool draining) {
            UpstreamsListed listed;
            for (int number = 1; number <= 8; ++number) {
                RegisteredUpstream upstream = EntryHarness::upstream(number);
                upstream.reclaimable = number > 4;
                upstream.draining = upstream.reclaimable && draining;
                listed.upstreams.push_back(upstream);
            }
            fleet.handle("host-0", listed);
        };
        list(true);
        fleet.advance(1s);
        std::map<AvailabilityZone, std::uint32_t> highest;
        for (const UpstreamOrder& order : fleet.platform.orders) {
            if (!order.reclaimable)
                highest[order.zone] = std::max(highest[order.zone], order.count);
        }
        ASSERT_FALSE(highest.empty());
        const std::size_t before = fleet.platform.orders.size();
        // The measured demand is far below the capacity of the fleet.
        for (int round = 0; round < 20; ++round) {
            fleet.request("host-0", PromptSize { 100, 10 });
            fleet.advance(200ms);
        }
        for (std::size_t index = before; index < fleet.platform.orders.size(); ++index) {
            const UpstreamOrder& order = fleet.platform.orders[index];
            EXPECT_TRUE(order.reclaimable || order.count >= highest[order.zone]) << order.zone.value();
        }
    }

    // Guards against fields that are lost in encoding, and against malformed texts that end the process.
    RC_GTEST_PROP(NodeReport, SurvivesEncoding, ())
    {
        NodeReport report;
        report.host = *rc::gen::arbitrary<std::string>();
        report.process = NodeId("p-1");
        report.number = *rc::gen::arbitrary<std::uint32_t>();
        report.completeWindow = *rc::gen::arbitrary<std::int32_t>();
        report.usage[*rc::gen::arbitrary<std::int32_t>()][WorkspaceName("w")] = *rc::gen::arbitrary<std::uint32_t>();
        report.peerAddress = "10.0.0.1:" + std::to_string(*rc::gen::inRange(1, 65536));
        report.relayAddress = "10.0.0.1:" + std::to_string(*rc::gen::inRange(1, 65536));
        VersionReport version;
        version.pair = { ServiceName("s"), VersionName("v1"), VersionName("v2"), WallTime() };
        version.node = report.process;
        version.sequence = 3;
        version.entries.push_back(
            { { RouteName("r"), ClassName("c"), LoadBand::High }, VersionName("v2"), { 5, 2, 3, 1.5, 2.5 } });
        report.versions.push_back(version);
        report.crashes.push_back({ *rc::gen::arbitrary<std::uint64_t>(), UpstreamId("i-1@7"), 5s, 6s, false });
        const std::string text = report.encode();
        const auto decoded = NodeReport::decode(text);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->encode() == text);
        RC_ASSERT(decoded->usage == report.usage);
        RC_ASSERT(decoded->peerAddress == report.peerAddress);
        RC_ASSERT(decoded->relayAddress == report.relayAddress);
        RC_ASSERT(decoded->versions == report.versions);
        RC_ASSERT(decoded->crashes == report.crashes);
        const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
        RC_ASSERT(!NodeReport::decode(text.substr(0, cut)));
        RC_ASSERT(!NodeReport::decode("{\"host\": 3}"));
    }

    // Guards against counting nodes whose reports no longer change, and against missing a node that reports again.
    TEST(LiveNodes, LiveWhileTheirReportsChange)
    {
        LiveNodes nodes("self", 10s);
        NodeReport report;
        report.host = "other";
        report.process = NodeId("other-1");
        report.number = 1;
        Instant now { 100s };
        nodes.onReports({ report }, now);
        EXPECT_EQ(nodes.hosts(now), (std::vector<std::string> { "other", "self" }));
        now += 9s;
        nodes.onReports({ report }, now);
        now += 2s;
        EXPECT_EQ(nodes.hosts(now), (std::vector<std::string> { "self" }));
        EXPECT_EQ(nodes.hostsReportedWithin(10s, now).size(), 1u);
        EXPECT_EQ(nodes.hostsReportedWithin(12s, now).size(), 2u);
        report.number = 2;
        nodes.onReports({ report }, now);
        EXPECT_EQ(nodes.hosts(now).size(), 2u);
    }

} // namespace
} // namespace teaselshore
