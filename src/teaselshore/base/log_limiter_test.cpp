#include <gtest/gtest.h>

#include "teaselshore/base/log_limiter.hpp"

namespace teaselshore {
namespace {

    // Load pattern: many decisions a second, as in an overload. Guards against a log whose volume grows with the load,
    // and against lines that are left out without a word.
    TEST(LogLimiter, BoundsTheLinesAndCountsTheRest)
    {
        LogLimiter limiter(50, 100);
        Instant now { std::chrono::seconds(10) };
        int written = 0;
        for (int line = 0; line < 10'000; ++line) {
            now += std::chrono::milliseconds(1);
            written += limiter.admit(now) ? 1 : 0;
        }
        EXPECT_LE(written, 10 * 50 + 100 + 1);
        EXPECT_GE(written, 10 * 50);
        EXPECT_EQ(limiter.takeLeftOut(), 10'000u - static_cast<unsigned>(written));
        EXPECT_EQ(limiter.takeLeftOut(), 0u);
    }

} // namespace
} // namespace teaselshore
