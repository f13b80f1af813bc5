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
        estimate.add(0, 1, start);
        const double afterOne = estimate.probability(start);
        EXPECT_GT(afterOne, 0.2);
        estimate.add(20, 0, start);
        EXPECT_LT(estimate.probability(start), 0.1);

        RefusalEstimate refusing;
        refusing.add(0, 20, start);
        EXPECT_GT(refusing.probability(start), 0.9);
        EXPECT_LT(refusing.probability(start + 30s), 0.1);
    }

    // Guards against a long history of refusals that outweighs the results after the upstream has recovered.
    TEST(RefusalEstimate, RecoversAfterManyRefusals)
    {
        RefusalEstimate estimate;
        for (int count = 0; count < 10'000; ++count)
            estimate.add(0, 1, start);
        estimate.add(30, 0, start);
        EXPECT_LT(estimate.probability(start), 0.3);
    }

} // namespace
} // namespace teaselshore
