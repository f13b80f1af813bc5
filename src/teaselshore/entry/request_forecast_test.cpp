#include <gtest/gtest.h>

#include "entry_test_support.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;
    using Outcome = RequestForecast::Outcome;

    CallerRequest caller(const std::string& route, const std::string& key = "key-n")
    {
        CallerRequest request;
        request.method = "POST";
        request.path = "/" + route + "/x";
        request.host = EntryHarness::hostName;
        request.key = key;
        return request;
    }

    // Guards against a question that changes where later requests go, or that is answered differently from the request.
    TEST(RequestForecast, MatchesTheRequestAndChangesNothing)
    {
        EntryHarness asked;
        EntryHarness quiet;
        asked.start(6);
        quiet.start(6);
        for (int i = 0; i < 30; ++i) {
            for (int repeat = 0; repeat < 3; ++repeat)
                asked.node.forecast(caller("status"), asked.now);
            asked.node.forecast(caller("nothing"), asked.now);
            const RequestForecast forecast = asked.node.forecast(caller("order"), asked.now);
            asked.request("order");
            quiet.request("order");
            const auto sent = asked.first<ForwardRequest>();
            ASSERT_EQ(sent.has_value(), forecast.outcome == Outcome::Routed);
            ASSERT_EQ(sent.has_value(), quiet.first<ForwardRequest>().has_value());
            if (!sent)
                continue;
            EXPECT_EQ(forecast.decision->chosen.upstream, sent->attempt.upstream);
            EXPECT_EQ(quiet.first<ForwardRequest>()->attempt.upstream, sent->attempt.upstream);
            if (i % 3 == 0) {
                asked.respond(sent->attempt.attempt, 200);
                quiet.respond(quiet.first<ForwardRequest>()->attempt.attempt, 200);
            }
        }
        const EntryStatistics after = asked.node.statistics();
        const EntryStatistics expected = quiet.node.statistics();
        EXPECT_EQ(after.requests, expected.requests);
        EXPECT_EQ(after.attempts, expected.attempts);
        EXPECT_EQ(after.outcomes, expected.outcomes);
        EXPECT_EQ(after.openRequests, expected.openRequests);
        EXPECT_EQ(after.waitingRequests, expected.waitingRequests);
        EXPECT_EQ(after.limitedRequests, expected.limitedRequests);
        EXPECT_EQ(asked.node.nextTick(), quiet.node.nextTick());
    }

    // Guards against a forecast without the reason for which the request would not be sent.
    TEST(RequestForecast, SaysWhyARequestIsNotSent)
    {
        EntryHarness harness;
        EXPECT_EQ(harness.node.forecast(caller("order"), harness.now).status, 503);
        harness.start(1, 1);
        EXPECT_EQ(harness.node.forecast(caller("nothing"), harness.now).status, 404);
        EXPECT_EQ(harness.node.forecast(caller("order", "key-of-nobody"), harness.now).status, 401);
        for (int i = 0; i < 10 && (i == 0 || harness.first<ForwardRequest>()); ++i)
            harness.request("order");
        const RequestForecast full = harness.node.forecast(caller("order"), harness.now);
        EXPECT_EQ(full.outcome, Outcome::Queued);
        EXPECT_EQ(full.status, 503);
        EXPECT_EQ(full.longestWait, 50ms);
        ASSERT_TRUE(full.retryAfter);
        EXPECT_GE(*full.retryAfter, 300ms);
        EXPECT_LE(*full.retryAfter, 900ms);
        EXPECT_EQ(full.reason, "no upstream has room");
    }

    // Guards against questions that use up the quota of the workspace.
    TEST(RequestForecast, ChargesNoQuota)
    {
        EntryHarness harness;
        EntryConfiguration configuration = EntryHarness::configuration();
        configuration.workspaces[0].quota = WorkspaceQuota { QuotaUnit::Requests, 10, 100, 1 };
        harness.start(3, 1000);
        harness.send(EntryConfigurationRead { [&] {
            configuration.version = 2;
            return configuration;
        }() });
        const auto runUntilRefused = [&](int questions) {
            int sent = 0;
            for (; sent < 1000; ++sent) {
                for (int i = 0; i < questions; ++i)
                    harness.node.forecast(caller("order"), harness.now);
                harness.request("order");
                if (!harness.first<ForwardRequest>())
                    break;
            }
            return sent;
        };
        const int asked = runUntilRefused(50);
        EXPECT_GT(asked, 0);
        const RequestForecast over = harness.node.forecast(caller("order"), harness.now);
        EXPECT_EQ(over.outcome, Outcome::Rejected);
        EXPECT_EQ(over.status, 429);
        EXPECT_TRUE(over.retryAfter);
        EntryHarness other;
        other.start(3, 1000);
        other.send(EntryConfigurationRead { configuration });
        int quiet = 0;
        for (other.request("order"); other.first<ForwardRequest>(); other.request("order"))
            ++quiet;
        EXPECT_EQ(asked, quiet);
    }

} // namespace
} // namespace teaselshore
