#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "crashing_upstreams.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    /// A request may crash at most allowedCrashes upstreams. Once all nodes know of the last of these crashes, it may
    /// be sent at most allowedLateSends times.
    constexpr std::size_t allowedCrashes = 3;
    constexpr std::size_t allowedLateSends = 3;

    // Guards against a request that crashes each upstream that runs it and is repeated at any node: if a node forgot
    // the crashes at the end of each request, every repeat would crash further upstreams.
    TEST(CrashingRequests, RepeatsAtAnyNodeCrashAtMostThreeUpstreams)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            for (const char* route : { "order", "status", "query" }) {
                EntryFleet fleet(nodes);
                CrashingUpstreams upstreams(fleet, 12);
                upstreams.advance(12s);
                for (int repeat = 0; repeat < 30; ++repeat) {
                    upstreams.sendPoison(hostName(fleet.random.below(nodes)), route);
                    upstreams.advance(1s);
                }
                EXPECT_LE(upstreams.crashes.size(), allowedCrashes) << nodes << " " << route;
                EXPECT_LE(upstreams.lateSends(allowedCrashes), allowedLateSends) << nodes << " " << route;
            }
        }
    }

    // Guards against losing the record of crashes when nodes restart, even all at once, and against new nodes that do
    // not learn of them.
    TEST(CrashingRequests, RestartedAndNewNodesKnowEarlierCrashes)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.advance(12s);
        for (int repeat = 0; repeat < 4; ++repeat) {
            upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
            upstreams.advance(1s);
        }
        upstreams.advance(6s);
        for (std::size_t host = 0; host < 9; ++host)
            fleet.add(hostName(host));
        fleet.add(hostName(9));
        upstreams.list();
        upstreams.advance(1s);
        for (int repeat = 0; repeat < 20; ++repeat) {
            upstreams.sendPoison(hostName(fleet.random.below(10)), "status");
            upstreams.advance(500ms);
        }
        EXPECT_LE(upstreams.crashes.size(), allowedCrashes);
        EXPECT_LE(upstreams.lateSends(allowedCrashes), allowedLateSends);
    }

    // Guards against losing the record of crashes with a restore of the platform from an older copy, while the nodes
    // that know it are replaced one after the other.
    TEST(CrashingRequests, NodesThatStartAfterARestoreKnowEarlierCrashes)
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            EntryFleet fleet(9, seed);
            RandomSource random(seed);
            CrashingUpstreams upstreams(fleet, 12);
            upstreams.advance(12s);
            const SimulatedPlatform::Copy copy = fleet.platform.copy();
            for (int repeat = 0; repeat < 4; ++repeat) {
                upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
                upstreams.advance(1s);
            }
            fleet.platform.restore(copy);
            const std::uint64_t gap = 100 + random.below(2500);
            for (std::size_t host = 0; host < 9; ++host) {
                upstreams.advance(std::chrono::milliseconds(100 + random.below(gap)));
                fleet.add(hostName(host));
                upstreams.list();
            }
            upstreams.advance(1s);
            for (int repeat = 0; repeat < 20; ++repeat) {
                upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
                upstreams.advance(500ms);
            }
            EXPECT_LE(upstreams.crashes.size(), allowedCrashes) << "seed " << seed;
            EXPECT_LE(upstreams.lateSends(allowedCrashes), allowedLateSends) << "seed " << seed;
        }
    }

    // Guards against a node that keeps sending the request because no peer can reach it: it must learn of the crashes
    // from the reports at the platform.
    TEST(CrashingRequests, NodeWithoutPeersLearnsFromThePlatform)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.advance(12s);
        fleet.cutFromPeers.insert(hostName(4));
        for (int repeat = 0; repeat < 4; ++repeat) {
            upstreams.sendPoison(hostName(3), "status");
            upstreams.advance(1s);
        }
        ASSERT_EQ(upstreams.crashes.size(), allowedCrashes);
        // Two report periods.
        upstreams.advance(10s);
        for (int repeat = 0; repeat < 10; ++repeat)
            upstreams.sendPoison(hostName(4), "status");
        EXPECT_EQ(upstreams.crashes.size(), allowedCrashes);
    }

    // Guards against a wrong response to a request that is known to crash upstreams: one that is delayed, that says
    // that the request may have run, or that rejects it permanently with a status for a bad key or path.
    TEST(CrashingRequests, RefusesKnownCrasherAtOnceWithRetryAfter)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.advance(12s);
        for (int repeat = 0; repeat < 3; ++repeat) {
            upstreams.sendPoison(hostName(2), "order");
            upstreams.advance(1s);
        }
        const RequestId refused = upstreams.sendPoison(hostName(5), "order");
        ASSERT_TRUE(fleet.responses.contains(refused));
        const Respond& response = fleet.responses.at(refused);
        EXPECT_EQ(response.status, 503);
        const auto retryAfter = std::find_if(response.headers.begin(), response.headers.end(),
            [](const auto& field) { return field.first == "retry-after"; });
        ASSERT_NE(retryAfter, response.headers.end());
        EXPECT_GT(std::stod(retryAfter->second), 60);
        // A request that differs in body, path or caller is a different request.
        const RequestId other = fleet.request(hostName(5), std::nullopt, "order", "harmless");
        EXPECT_EQ(fleet.responses.at(other).status, 200);
    }

    // Load pattern: a frequent, identical request runs on all upstreams while another request crashes several of them.
    // Guards against rejecting the frequent request because it was running during the crashes.
    TEST(CrashingRequests, PopularRequestThatCompletesElsewhereIsNotRejected)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 6);
        upstreams.advance(12s);
        for (int round = 0; round < 20; ++round) {
            upstreams.longRunning = { "popular" };
            for (std::size_t host = 0; host < 9; ++host)
                fleet.request(hostName(host), std::nullopt, "status", "popular");
            upstreams.sendPoison(hostName(fleet.random.below(9)), "status");
            upstreams.longRunning.clear();
            upstreams.advance(300ms);
            const RequestId next = fleet.request(hostName(fleet.random.below(9)), std::nullopt, "status", "popular");
            ASSERT_EQ(fleet.responses.at(next).status, 200) << round;
        }
        EXPECT_LE(upstreams.crashes.size(), allowedCrashes);
    }

    // Guards against rejecting requests that crashed no upstream: their connections were reset, the response was
    // malformed, or the process ended after it had announced that.
    TEST(CrashingRequests, OtherFailuresRaiseNoSuspicion)
    {
        EntryFleet fleet(9);
        CrashingUpstreams upstreams(fleet, 12);
        upstreams.advance(12s);
        const auto isServed = [&](const std::string& body) {
            const RequestId id = fleet.request(hostName(7), std::nullopt, "status", body);
            return fleet.responses.contains(id) && fleet.responses.at(id).status == 200;
        };
        for (int round = 0; round < 5; ++round) {
            upstreams.longRunning = { "reset" };
            fleet.request(hostName(1), std::nullopt, "status", "reset");
            upstreams.resetConnections();
            upstreams.advance(500ms);
        }
        upstreams.longRunning.clear();
        EXPECT_TRUE(isServed("reset"));

        upstreams.malformed = { "garbled" };
        for (int round = 0; round < 5; ++round) {
            fleet.request(hostName(1), std::nullopt, "status", "garbled");
            upstreams.advance(500ms);
        }
        upstreams.malformed.clear();
        EXPECT_TRUE(isServed("garbled"));

        for (int round = 0; round < 5; ++round) {
            upstreams.longRunning = { "leaving" };
            fleet.request(hostName(1), std::nullopt, "order", "leaving");
            upstreams.announce([](RegisteredUpstream& entry) { entry.draining = true; });
            upstreams.endAll();
            upstreams.advance(3s);
        }
        upstreams.longRunning.clear();
        EXPECT_TRUE(isServed("leaving"));
    }

    // Load pattern: a zone is lost while many equal requests run there. Guards against rejecting them: upstreams that
    // end together count as a single crash. Also limits the number of messages between nodes.
    TEST(CrashingRequests, ZoneLossCountsAsOneCrash)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            EntryFleet fleet(nodes);
            CrashingUpstreams upstreams(fleet, 12);
            upstreams.advance(12s);
            upstreams.longRunning = { "popular" };
            for (std::size_t host = 0; host < nodes; ++host)
                fleet.request(hostName(host), std::nullopt, "order", "popular");
            upstreams.advance(100ms);
            const std::size_t before = fleet.messages;
            upstreams.loseZone(AvailabilityZone("zone-a"));
            upstreams.longRunning.clear();
            upstreams.advance(100ms);
            // At most one message from each node to each peer.
            EXPECT_LE(fleet.messages - before, nodes * (nodes - 1)) << nodes;
            upstreams.advance(3s);
            const RequestId next = fleet.request(hostName(0), std::nullopt, "order", "popular");
            ASSERT_TRUE(fleet.responses.contains(next));
            EXPECT_EQ(fleet.responses.at(next).status, 200) << nodes;
        }
    }

} // namespace
} // namespace teaselshore
