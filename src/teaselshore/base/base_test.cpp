#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <unordered_set>

#include <gtest/gtest.h>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {
namespace {

    // Guards against digests that ignore where one part ends and the next begins: two callers could share a key.
    TEST(Fingerprint, DependsOnPartBoundaries)
    {
        EXPECT_NE(fingerprint({ "ab", "c" }), fingerprint({ "a", "bc" }));
        EXPECT_NE(fingerprint({ "a" }), fingerprint({ "a", "" }));
        EXPECT_EQ(fingerprint({ "a", "b" }), fingerprint({ "a", "b" }));
    }

    // Guards against a random source that is not reproducible from its seed, which would make failures unrepeatable.
    TEST(RandomSource, RepeatsSequenceOfSameSeed)
    {
        RandomSource first(42);
        RandomSource second(42);
        EXPECT_EQ(first.hex(32), second.hex(32));
        EXPECT_EQ(first.below(1000), second.below(1000));
        EXPECT_NE(RandomSource(1).next(), RandomSource(2).next());
    }

    // Guards against times of messages that overflow, and are then long past instead of far ahead.
    TEST(Time, StatedTimesNeverOverflow)
    {
        using Seconds = std::chrono::duration<std::int64_t>;
        const Duration longest = longestTime;
        EXPECT_EQ(toStatedTime(Seconds(std::numeric_limits<std::int64_t>::max())), longest);
        EXPECT_EQ(toStatedTime(Seconds(std::numeric_limits<std::int64_t>::min())), -longest);
        EXPECT_EQ(toStatedTime(std::chrono::milliseconds(1500)), Duration(1'500'000));
        for (const double seconds : { 1e300, std::numeric_limits<double>::infinity() }) {
            EXPECT_EQ(fromSeconds(seconds), Duration(longestLength));
            EXPECT_EQ(fromSeconds(-seconds), -Duration(longestLength));
        }
        EXPECT_LT(longestLength, Duration::max() / 100);
        EXPECT_EQ(fromSeconds(std::numeric_limits<double>::quiet_NaN()), Duration::zero());
        EXPECT_EQ(fromSeconds(1.5), Duration(1'500'000));
    }

    // Guards against wall-clock times that are cut like times of messages: turns at an upstream would all be due.
    TEST(Time, SecondsMayBeTimesSince1970)
    {
        EXPECT_EQ(fromSeconds(1'780'000'000.25), Duration(1'780'000'000'250'000));
        EXPECT_EQ(fromSeconds(4'000'000'000.0), Duration(4'000'000'000'000'000)) << "the year 2096";
    }

    // Guards against names that compare or hash by identity instead of by text.
    TEST(Name, ComparesAndHashesByText)
    {
        std::unordered_set<UpstreamId> ids { UpstreamId("a"), UpstreamId("a"), UpstreamId("b") };
        EXPECT_EQ(ids.size(), 2u);
        EXPECT_LT(UpstreamId("a"), UpstreamId("b"));
    }

    // Guards against log text that breaks the one-object-per-line format.
    TEST(Log, EscapesNewlinesAndInvalidUtf8)
    {
        testing::internal::CaptureStderr();
        logLine(LogLevel::Error, "first\nsecond", { { "bytes", std::string("\xff\xfe") }, { "count", 3 } });
        const std::string text = testing::internal::GetCapturedStderr();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
        EXPECT_NE(text.find("\"count\":3"), std::string::npos);
    }

    // Guards against invariant checks that are compiled out or only logged.
    TEST(AssertDeathTest, AbortsOnViolatedInvariant)
    {
        EXPECT_DEATH(TEASELSHORE_ASSERT(1 + 1 == 3, "arithmetic"), "invariant violated");
    }

} // namespace
} // namespace teaselshore
