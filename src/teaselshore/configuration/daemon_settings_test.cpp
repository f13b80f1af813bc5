#include "teaselshore/configuration/daemon_settings.hpp"

#include <gtest/gtest.h>

#include "test_texts.hpp"

namespace teaselshore {
namespace {

    // Guards against sections whose keys are checked but not stored.
    TEST(DaemonSettings, StoresEverySection)
    {
        std::vector<ConfigurationProblem> problems;
        const auto settings = parseDaemonSettings(validSettings, problems);
        ASSERT_TRUE(settings) << describeFirst("valid", problems);
        EXPECT_EQ(settings->peer, (SocketAddress { "127.0.0.1", 20201 }));
        EXPECT_EQ(settings->logLevel, LogLevel::Debug);
        EXPECT_EQ(settings->retries, (RetrySettings { 0.2, Duration(10'000), Duration(100'000) }));
        EXPECT_EQ(settings->circuitBreaker, (CircuitBreakerSection { 3, Duration(500'000) }));
        EXPECT_EQ(
            settings->timeouts, (TimeoutSettings { Duration(100'000), Duration(1'000'000), Duration(5'000'000) }));
        EXPECT_EQ(settings->limits, (LimitSettings { 65536, 100, 4096 }));
        EXPECT_EQ(
            settings->membership, (MembershipSection { Duration(200'000), Duration(50'000), Duration(1'000'000) }));
        EXPECT_EQ(settings->journal, (JournalSettings { 3, 50 }));
        EXPECT_EQ(settings->platformBudget, (PlatformBudgetSettings { 10, 20 }));
    }

    // Guards against a daemon that starts with contradictory settings, or whose refusal takes more than one line.
    TEST(DaemonSettings, RefusesContradictionsInOneLine)
    {
        const std::string text = "node: node-1\nregion: jm-south\nzone: portmore-a\n"
                                 "listen: {port: 20001}\nadmin: {port: 20001}\npeer: {port: 70000}\n"
                                 "platform: platform:20000\n"
                                 "membership: {probe-period-ms: 100}\n"
                                 "retries: {backoff-base-ms: 500, backoff-cap-ms: 100, budget-ration: 0.1}\n";
        std::vector<ConfigurationProblem> problems;
        EXPECT_FALSE(parseDaemonSettings(text, problems));
        ASSERT_EQ(problems.size(), 6u);
        EXPECT_EQ(describeFirst("node-1.yaml", problems),
            "node-1.yaml:5:8: admin: duplicate address '127.0.0.1:20001'; first on line 4 (and 5 more)");
        EXPECT_EQ(problems[5].message, "unknown key 'budget-ration'; did you mean 'budget-ratio'?");
    }

} // namespace
} // namespace teaselshore
