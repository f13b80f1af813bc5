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

    // Guards against a request that is still run after it crashed three upstreams, one after the other.
    TEST(CrashHistory, RejectsAfterThreeConsecutiveCrashes)
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

    // Guards against rejecting a frequent request because it was running on many upstreams when a zone was lost.
    TEST(CrashHistory, CrashesOfOverlappingRunsCountOnce)
    {
        CrashHistory history;
        for (int number = 0; number < 10; ++number) {
            const Duration jitter = std::chrono::milliseconds(number);
            history.add(crash("up-" + std::to_string(number) + "@1", 99s + jitter, 101s + jitter), 102s);
        }
        EXPECT_EQ(history.count(request), 1u);
    }

    // Guards against a harmless request that stays rejected although an equal one completes.
    TEST(CrashHistory, CompletedRunVoidsEarlierCrashes)
    {
        CrashHistory history;
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        const auto voided = history.clear(request);
        EXPECT_EQ(voided.size(), 3u);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Clear);
        EXPECT_TRUE(history.clear(request).empty());
        // A node that does not know of the completed run reports a crash again.
        history.add(crash("a@0", 100s, 101s), 111s);
        EXPECT_EQ(history.count(request), 0u);
        // Later crashes are counted from zero.
        history.add(crash("a@4", 112s, 113s), 113s);
        EXPECT_EQ(history.count(request), 1u);
    }

    /// Records a crash of one upstream under several keys. Each crash follows the one before.
    void addCrash(CrashHistory& history, int number, const std::vector<Fingerprint>& keys)
    {
        for (const Fingerprint key : keys) {
            history.add(
                { key, UpstreamId("a@" + std::to_string(number)), 100s + number * 2s, 101s + number * 2s, false },
                110s);
        }
    }

    // Guards against refusing requests that share only some keys with those that crashed upstreams: until one of the
    // shared keys is cleared or missing in a crash, each of them may be the cause.
    TEST(CrashHistory, RequestIsRejectedOnlyIfItHasAllPossibleCauses)
    {
        constexpr Fingerprint harmless = 1;
        constexpr Fingerprint cause = 2;
        CrashHistory history;
        for (int number = 0; number < 3; ++number)
            addCrash(history, number, { harmless, cause, 100U + static_cast<Fingerprint>(number) });
        EXPECT_EQ(history.verdict({ 200, harmless, cause }), CrashVerdict::Rejected);
        EXPECT_EQ(history.verdict({ 201, harmless }), CrashVerdict::Clear);
        EXPECT_EQ(history.verdict({ 202, cause }), CrashVerdict::Clear);

        CrashHistory cleared = history;
        cleared.clear(harmless);
        EXPECT_EQ(cleared.verdict({ 202, cause }), CrashVerdict::Rejected);

        addCrash(history, 3, { cause });
        EXPECT_EQ(history.verdict({ 202, cause }), CrashVerdict::Rejected);
        EXPECT_EQ(history.verdict({ 201, harmless }), CrashVerdict::Clear);
    }

    // Guards against memory that grows with the number of requests that crash upstreams, and against evicting a
    // rejected request in favour of others with fewer crashes.
    TEST(CrashHistory, EvictsRequestsWithFewestCrashesFirst)
    {
        CrashHistorySettings settings;
        settings.maximumKeys = 10;
        CrashHistory history(settings);
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        for (Fingerprint other = 100; other < 200; ++other)
            history.add({ other, UpstreamId("b@1"), 110s, 111s, false }, 112s);
        EXPECT_EQ(history.size(), 10u);
        EXPECT_EQ(history.verdict(request), CrashVerdict::Rejected);
    }

    // Guards against a verdict that never expires, and against nodes that renew it by reporting old crashes to each
    // other.
    TEST(CrashHistory, ForgetsExpiredCrashes)
    {
        CrashHistory history;
        for (int number = 0; number < 3; ++number)
            history.add(crash("a@" + std::to_string(number), 100s + number * 2s, 101s + number * 2s), 110s);
        EXPECT_EQ(history.remaining({ request }, 105s), 30min);
        const std::vector<RequestCrash> reported = history.suspects(16);
        EXPECT_EQ(reported.size(), 3u);
        history.expire(106s + 30min);
        EXPECT_TRUE(history.isEmpty());
        for (const RequestCrash& old : reported)
            EXPECT_FALSE(history.add(old, 106s + 30min));
        EXPECT_TRUE(history.isEmpty());
    }

    // Guards against nodes that reach different verdicts because reports arrive in a different order or twice.
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
