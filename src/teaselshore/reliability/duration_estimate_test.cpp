#include "teaselshore/reliability/duration_estimate.hpp"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace teaselshore {
namespace {

    // Guards against estimates that many operations exceed, or that are far longer than nearly all of them.
    TEST(DurationEstimate, BoundsNearlyAllTimesThatVary)
    {
        constexpr int operations = 20'000;
        for (const double spread : { 0.05, 0.2, 0.5 }) {
            std::mt19937_64 random(7);
            std::lognormal_distribution<double> seconds(0, spread);
            DurationEstimate estimate;
            double boundSum = 0;
            int exceeding = 0;
            for (int number = 0; number < operations; ++number) {
                const Duration time = fromSeconds(seconds(random));
                if (number >= 100) {
                    exceeding += time > estimate.upperBound() ? 1 : 0;
                    boundSum += toSeconds(estimate.upperBound());
                }
                estimate.add(time);
            }
            EXPECT_LT(exceeding, operations / 20) << spread;
            EXPECT_LT(boundSum / operations, std::exp(4 * spread)) << "beyond four standard deviations, " << spread;
        }
    }

    // Guards against decisions by the time of a few untypical operations.
    TEST(DurationEstimate, FollowsAChange)
    {
        DurationEstimate estimate;
        EXPECT_EQ(estimate.upperBound(), Duration::zero());
        for (int number = 0; number < 50; ++number)
            estimate.add(std::chrono::seconds(10));
        for (int number = 0; number < 50; ++number)
            estimate.add(std::chrono::seconds(1));
        EXPECT_GE(estimate.upperBound(), std::chrono::seconds(1));
        EXPECT_LT(estimate.upperBound(), std::chrono::seconds(2));
    }

} // namespace
} // namespace teaselshore
