#include <algorithm>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "entry_test_support.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    /// A node with three upstreams and two peers that take requests.
    class RelayedRequestsTest : public testing::Test {
    protected:
        void SetUp() override
        {
            this->harness.start();
            this->harness.send(ClockRead { 1'000'000s });
            NodeReportsRead read;
            for (const char* host : { "host-b", "host-c" }) {
                NodeReport report;
                report.host = host;
                report.process = NodeId(std::string(host) + "-1");
                report.relayAddress = std::string(host) + ":1";
                report.number = 1;
                read.reports.push_back(report.encode());
            }
            this->harness.send(std::move(read));
        }

        /// @brief Lets all attempts fail to connect, and all checks, until the node knows that its links are lost.
        void loseLinks()
        {
            for (int round = 0; round < 20 && !this->harness.node.statistics().linksLost; ++round) {
                if (round % 2 == 0)
                    this->harness.request("status");
                this->failAttempts();
                this->harness.advance(100ms);
                this->endChecks(false);
            }
            ASSERT_TRUE(this->harness.node.statistics().linksLost);
        }

        void failAttempts()
        {
            for (auto sent = this->harness.first<ForwardRequest>(); sent; sent = this->harness.first<ForwardRequest>())
                this->harness.fail(sent->attempt.attempt, false);
        }

        void endChecks(bool isReached)
        {
            const auto checks = this->harness.all<CheckUpstream>();
            for (const CheckUpstream& check : checks)
                this->harness.send(UpstreamChecked { check.upstream,
                    isReached ? UpstreamChecked::State::Answered : UpstreamChecked::State::Unknown, isReached });
        }

        /// @brief Answers an attempt at a peer.
        void peerResponds(AttemptId attempt, int status, bool isOfUpstream, const char* arrived = "0")
        {
            UpstreamResponded event;
            event.response.attempt = attempt;
            event.response.status = status;
            event.response.headers = { { "retry-after", "0.30" }, { std::string(handedArrivedField), arrived } };
            event.response.body = "of the peer";
            event.facts.isStamped = isOfUpstream;
            this->harness.send(std::move(event));
        }

        /// @brief Sends a request of the route "order" as a peer hands it on.
        void arriveFromPeer(const HandedRequest& handed)
        {
            CallerRequestArrived arrived { this->harness.node.nextRequestId(), {}, handed };
            arrived.request.method = "POST";
            arrived.request.path = "/order/x";
            arrived.request.host = EntryHarness::hostName;
            arrived.request.key = "key-n";
            this->harness.send(std::move(arrived));
        }

        EntryHarness harness;
    };

    // Guards against requests that are refused, or held to their deadline, by a node without links to upstreams.
    TEST_F(RelayedRequestsTest, PeersGetTheRequestsOfANodeWithoutLinks)
    {
        this->loseLinks();
        const RequestId id = this->harness.request("order", 900ms);
        const auto relayed = this->harness.first<RelayRequest>();
        ASSERT_TRUE(relayed);
        EXPECT_TRUE(this->harness.all<ForwardRequest>().empty());
        EXPECT_TRUE(relayed->attempt.authority == "host-b:1" || relayed->attempt.authority == "host-c:1");
        EXPECT_EQ(relayed->attempt.path, "/order/x");
        EXPECT_EQ(relayed->context.key, "key-n");
        EXPECT_EQ(relayed->context.history, (HandedRequest { 0, 1 }));
        EXPECT_EQ(relayed->context.deadline, this->harness.now + 900ms);
        EXPECT_GE(relayed->attempt.idleTimeout, 900ms) << "the upstream of the peer may be silent";
        this->peerResponds(relayed->attempt.attempt, 200, true);
        const auto response = this->harness.first<Respond>();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->request, id);
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, "of the peer");
    }

    // Guards against requests that go round between nodes without links.
    TEST_F(RelayedRequestsTest, RequestOfAPeerIsNotHandedOn)
    {
        this->loseLinks();
        this->arriveFromPeer({ 0, 1 });
        EXPECT_TRUE(this->harness.all<RelayRequest>().empty());
        const auto response = this->harness.first<Respond>();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 503);
    }

    // Guards against requests with a valid key or route that get 401 or 404, or go to the service of before, since a
    // peer that was frozen decides by the configuration of before.
    TEST_F(RelayedRequestsTest, NodeThatIsBehindDecidesNothingForAPeer)
    {
        EntryConfiguration next = EntryHarness::configuration(2);
        for (const bool isBehind : { true, false }) {
            this->arriveFromPeer({ 0, 2 });
            const auto response = this->harness.first<Respond>();
            EXPECT_EQ(response.has_value(), isBehind);
            EXPECT_EQ(this->harness.all<ForwardRequest>().empty(), isBehind);
            if (response)
                EXPECT_EQ(response->status, 503) << "the peer may try another node";
            this->harness.send(EntryConfigurationRead { next });
        }
        // A node that is ahead is right, also about what is gone.
        next.version = 3;
        next.routes.erase(next.routes.begin());
        this->harness.send(EntryConfigurationRead { next });
        this->arriveFromPeer({ 0, 2 });
        EXPECT_EQ(this->harness.first<Respond>()->status, 404);
    }

    // Guards against a refusal by one peer, or one that is gone, that ends a request which another peer could serve.
    TEST_F(RelayedRequestsTest, SecondPeerIsTriedIfTheFirstDidNotTakeTheRequest)
    {
        this->loseLinks();
        for (const bool isReachable : { true, false }) {
            this->harness.request("order");
            const auto first = this->harness.first<RelayRequest>();
            ASSERT_TRUE(first);
            if (isReachable)
                this->peerResponds(first->attempt.attempt, 503, false);
            else
                this->harness.fail(first->attempt.attempt, false);
            const auto second = this->harness.first<RelayRequest>();
            ASSERT_TRUE(second);
            EXPECT_NE(first->attempt.authority, second->attempt.authority);
            this->peerResponds(second->attempt.attempt, 503, false);
            const auto response = this->harness.first<Respond>();
            ASSERT_TRUE(response);
            EXPECT_EQ(response->status, 503) << "neither has run it";
        }
    }

    // Guards against sends beyond the shared retry budget: each peer in turn sends the request as a new one.
    TEST_F(RelayedRequestsTest, NextPeerIsChargedOnceAnUpstreamMayHaveTheRequest)
    {
        constexpr int requests = 200;
        this->loseLinks();
        const auto handsToSecondPeer = [this](const char* arrived) {
            int second = 0;
            for (int number = 0; number < requests; ++number) {
                this->harness.request("status");
                const auto relayed = this->harness.first<RelayRequest>();
                EXPECT_TRUE(relayed);
                this->peerResponds(relayed->attempt.attempt, 503, false, arrived);
                if (const auto next = this->harness.first<RelayRequest>()) {
                    ++second;
                    this->peerResponds(next->attempt.attempt, 503, false, arrived);
                }
                const auto response = this->harness.first<Respond>();
                EXPECT_TRUE(response && response->status == 503);
                for (const auto& [name, value] : response->headers)
                    EXPECT_NE(name, handedArrivedField);
            }
            return second;
        };
        EXPECT_EQ(handsToSecondPeer("0"), requests) << "a peer that sent nothing costs nothing";
        // The whole floor of the fleet, since no other node is there in the test, and the ratio of the requests.
        EXPECT_LE(handsToSecondPeer("1"), 20 + requests / 5);
    }

    // Guards against a budget that grows at each node to which the same request is handed.
    TEST_F(RelayedRequestsTest, RequestIsCountedInOneRetryBudgetOnly)
    {
        constexpr int requests = 100;
        const std::pair<std::string, std::string> arrived { handedArrivedField, "1" };
        int sent = 0;
        int repeated = 0;
        for (int number = 0; number < requests; ++number) {
            this->harness.advance(50ms);
            this->arriveFromPeer({ 0, 1, true });
            const auto first = this->harness.first<ForwardRequest>();
            // No upstream may have room after so many refusals.
            if (!first)
                continue;
            ++sent;
            this->harness.respond(first->attempt.attempt, 503, true);
            if (const auto again = this->harness.first<ForwardRequest>()) {
                ++repeated;
                this->harness.respond(again->attempt.attempt, 200);
            } else if (const auto refusal = this->harness.first<Respond>()) {
                EXPECT_NE(std::find(refusal->headers.begin(), refusal->headers.end(), arrived), refusal->headers.end())
                    << "the peer must charge the next one";
            }
        }
        EXPECT_GT(sent, requests / 2);
        EXPECT_GT(repeated, 0);
        EXPECT_LE(repeated, 20);
    }

    // Guards against an unsafe request that runs twice since its peer was lost while it had the request.
    TEST_F(RelayedRequestsTest, LostPeerMayHaveRunTheRequest)
    {
        this->loseLinks();
        this->harness.request("order");
        this->harness.fail(this->harness.first<RelayRequest>()->attempt.attempt, true);
        EXPECT_TRUE(this->harness.all<RelayRequest>().empty());
        ASSERT_TRUE(this->harness.first<Respond>());
        EXPECT_EQ(this->harness.first<Respond>()->status, 502);
    }

    // Guards against a promise that a request did not run, passed on from a peer, though an earlier attempt may have.
    TEST_F(RelayedRequestsTest, RefusalOfAPeerIsNoPromiseForEarlierAttempts)
    {
        this->loseLinks();
        this->harness.request("status");
        this->harness.fail(this->harness.first<RelayRequest>()->attempt.attempt, true);
        const auto second = this->harness.first<RelayRequest>();
        ASSERT_TRUE(second);
        EXPECT_EQ(second->context.history.runs, 1u);
        this->peerResponds(second->attempt.attempt, 503, false);
        ASSERT_TRUE(this->harness.first<Respond>());
        EXPECT_EQ(this->harness.first<Respond>()->status, 502);
    }

    // Guards against work at a peer for a caller that has left.
    TEST_F(RelayedRequestsTest, CallerThatLeavesEndsTheAttemptAtThePeer)
    {
        this->loseLinks();
        const RequestId id = this->harness.request("order");
        const AttemptId attempt = this->harness.first<RelayRequest>()->attempt.attempt;
        this->harness.send(CallerGone { id });
        ASSERT_TRUE(this->harness.first<CancelAttempt>());
        EXPECT_EQ(this->harness.first<CancelAttempt>()->attempt, attempt);
    }

    // Guards against a node that leaves its upstreams alone after its links have returned.
    TEST_F(RelayedRequestsTest, UpstreamsGetRequestsAgainOnceOneIsReached)
    {
        this->loseLinks();
        for (int round = 0; round < 20 && this->harness.node.statistics().linksLost; ++round) {
            this->harness.advance(100ms);
            this->endChecks(true);
        }
        ASSERT_FALSE(this->harness.node.statistics().linksLost);
        this->harness.advance(2s);
        this->harness.request("order");
        EXPECT_TRUE(this->harness.first<ForwardRequest>());
    }

    // Guards against sound upstreams that a node reports as crashed, with the requests that they ran, because its own
    // links broke.
    TEST_F(RelayedRequestsTest, BrokenLinksAreNoCrashes)
    {
        for (int count = 0; count < 6; ++count) {
            this->harness.request("order");
            this->harness.fail(this->harness.first<ForwardRequest>()->attempt.attempt, true);
            const auto checks = this->harness.all<CheckUpstream>();
            for (const CheckUpstream& check : checks)
                this->harness.send(UpstreamChecked { check.upstream, UpstreamChecked::State::Ended, false });
        }
        for (int round = 0; round < 20; ++round) {
            this->harness.advance(100ms);
            const auto checks = this->harness.all<CheckUpstream>();
            for (const CheckUpstream& check : checks)
                this->harness.send(UpstreamChecked { check.upstream, UpstreamChecked::State::Ended, false });
        }
        EXPECT_TRUE(this->harness.node.statistics().linksLost);
        this->harness.advance(1s);
        this->endChecks(true);
        this->harness.advance(1s);
        this->endChecks(true);
        EXPECT_FALSE(this->harness.node.statistics().linksLost);
        EXPECT_EQ(this->harness.node.statistics().upstreamCrashes, 0u);
    }

    // Guards against a request that fails while its upstream is at work, since the links seem to be lost and nobody
    // else can take it: during a planned stop, and without a peer.
    TEST(RelayedRequests, SilentUpstreamKeepsTheRequestThatNobodyElseCanTake)
    {
        EntryHarness harness;
        harness.start();
        EntryConfiguration configuration = EntryHarness::configuration(2);
        for (EntryRoute& route : configuration.routes)
            route.timeout = 15s;
        harness.send(EntryConfigurationRead { configuration });
        for (const char* route : { "status", "query" }) {
            const RequestId id = harness.request(route, 15s);
            const auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent);
            for (int round = 0; round < 20; ++round) {
                // Attempts that cannot connect make the node check its links.
                if (round % 2 == 0)
                    harness.request("order", 15s);
                for (const ForwardRequest& other : harness.all<ForwardRequest>())
                    harness.fail(other.attempt.attempt, false);
                harness.advance(100ms);
                for (const Respond& response : harness.all<Respond>())
                    EXPECT_NE(response.request, id) << route;
                const auto checks = harness.all<CheckUpstream>();
                for (const CheckUpstream& check : checks) {
                    harness.send(UpstreamChecked { check.upstream, UpstreamChecked::State::Unknown, false });
                    for (const Respond& response : harness.all<Respond>())
                        EXPECT_NE(response.request, id) << route;
                }
            }
            ASSERT_TRUE(harness.node.statistics().linksLost);
            harness.respond(sent->attempt.attempt, 200);
            ASSERT_EQ(harness.all<Respond>().size(), 1u) << route;
            EXPECT_EQ(harness.first<Respond>()->request, id);
            EXPECT_EQ(harness.first<Respond>()->status, 200);
        }
    }

} // namespace
} // namespace teaselshore
