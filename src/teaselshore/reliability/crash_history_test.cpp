#include "teaselshore/reliability/crash_history.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Fingerprint request = 7;

    RequestCrash crash(const std::string& upstream, Duration startedAt, Duration endedAt, bool isVoid = false)
    {
        return { request, UpstreamId(upstream), startedAt, endedAt, isVoid };
    }

    // Guards against a request that goes on running after it ended three upstreams, one after the other.
    TEST(CrashHistory, RejectsAfterThreeCrashesInARow)
    {
        CrashHistory history;
        EXPECT_EQ(history.verdict(request), CrashVerdict::Clear);
        history.add(crash("a@1", 100s, 101s), 101s);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Clear);
        history.add(crash("b@1", 102s, 103s), 103s);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Suspect);
        history.add(crash("a@2", 104s, 105s), 105s);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Rejected);
        EXPECT_EQ(history.verdict(request + 1), CrashVerdict::Clear);
    }

    // Guards against a popular request that is rejected since it ran on many upstreams when a zone was lost.
    TEST(CrashHistory, CrashesOfRunsThatOverlapCountOnce)
    {
        CrashHistory history;
        for (int number = 0; number < 10; ++number) {
            const Duration jitter = std::chrono::milliseconds(number);
            history.add(crash("up-" + std::to_string(number) + "@1", 99s + jitter, 101s + jitter), 102s);
        }
        EXPECT_EQ(history.count(request), 1u);
    }

    // Guards against a harmless request that stays rejected though an equal one completes.
    TEST(CrashHistory, CompletedRunVoidsEarlierCrashes)
    {
        CrashHistory history;
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        const auto voided = history.clear(request);
        EXPECT_EQ(voided.size(), 3u);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Clear);
        EXPECT_TRUE(history.clear(request).empty());
        // A node that has not heard of it yet reports them once more.
        history.add(crash("a@0", 100s, 101s), 111s);
        EXPECT_EQ(history.count(request), 0u);
        // Later crashes count from the start.
        history.add(crash("a@4", 112s, 113s), 113s);
        EXPECT_EQ(history.count(request), 1u);
    }

    // Guards against memory that grows with the number of requests that break, and against a rejected request that is
    // forgotten for the sake of others.
    TEST(CrashHistory, DropsTheLeastSuspiciousFirst)
    {
        CrashHistorySettings settings;
        settings.maximumRequests = 10;
        CrashHistory history(settings);
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        for (Fingerprint other = 100; other < 200; ++other)
            history.add({ other, UpstreamId("b@1"), 110s, 111s, false }, 112s);
        EXPECT_EQ(history.size(), 10u);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Rejected);
    }

    // Guards against a verdict that lasts for good, and against nodes that keep it alive by telling each other.
    TEST(CrashHistory, ForgetsAfterAWhile)
    {
        CrashHistory history;
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        EXPECT_EQ(history.remaining(request, 105s), 30min);
        const std::vector<RequestCrash> reported = history.suspects(16);
        EXPECT_EQ(reported.size(), 3u);
        history.expire(106s + 30min);
        EXPECT_TRUE(history.isEmpty());
        for (const RequestCrash& old : reported)
            EXPECT_FALSE(history.add(old, 106s + 30min));
        EXPECT_TRUE(history.isEmpty());
    }

    // Guards against nodes that come to different verdicts since reports reach them in another order, or twice.
    RC_GTEST_PROP(CrashHistory, OrderAndRepetitionDoNotMatter, ())
    {
        const auto draw = [] {
            const int start = *rc::gen::inRange(0, 20);
            return crash("up-" + std::to_string(*rc::gen::inRange(0, 5)), std::chrono::seconds(start),
                std::chrono::seconds(start + *rc::gen::inRange(0, 5)), *rc::gen::inRange(0, 4) == 0);
        };
        std::vector<RequestCrash> crashes(8);
        std::generate(crashes.begin(), crashes.end(), draw);
        CrashHistory first;
        for (const RequestCrash& entry : crashes)
            first.add(entry, 30s);
        CrashHistory second;
        const auto shuffled = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 8));
        for (const int index : shuffled)
            second.add(crashes[static_cast<std::size_t>(index)], 30s);
        for (auto entry = crashes.rbegin(); entry != crashes.rend(); ++entry)
            second.add(*entry, 30s);
        RC_ASSERT(first.count(request) == second.count(request));
        RC_ASSERT(first.suspects(4) == second.suspects(4));
    }

} // namespace
} // namespace teaselshore
