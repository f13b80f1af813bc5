#include <gtest/gtest.h>

#include "teaselshore/routing/refusal_estimate.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 100s };

    // Guards against avoiding an upstream for good, or for one refusal when it is full for a moment.
    TEST(RefusalEstimate, FollowsRecentResults)
    {
        RefusalEstimate estimate;
        EXPECT_EQ(estimate.probability(start), 0);
        estimate.onRefused(start);
        const double afterOne = estimate.probability(start);
        EXPECT_GT(afterOne, 0.2);
        for (int count = 0; count < 20; ++count)
            estimate.onAccepted(start);
        EXPECT_LT(estimate.probability(start), 0.1);

        RefusalEstimate refusing;
        for (int count = 0; count < 20; ++count)
            refusing.onRefused(start);
        EXPECT_GT(refusing.probability(start), 0.9);
        EXPECT_LT(refusing.probability(start + 2min), 0.1);
    }

} // namespace
} // namespace teaselshore
