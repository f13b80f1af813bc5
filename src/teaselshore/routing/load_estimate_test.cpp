#include <gtest/gtest.h>

#include "teaselshore/routing/load_estimate.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    const UpstreamId upstream { "engine-0" };
    constexpr UpstreamCapacity engine { 16, 1 };
    constexpr WorkSize work { 950, 0, 100 };

    LoadReport report(std::uint32_t queued, std::uint32_t running, float slowness = 0, Duration lag = 0ms)
    {
        return { upstream, queued, running, lag, engine.slots, slowness };
    }

    double predicted(const LoadEstimate& load, const LoadRates& pool, Instant now)
    {
        return load.predict(work, engine, pool, now).firstTokenSeconds;
    }

    /// Records a request that runs alone and takes the given time for a thousand token equivalents.
    void run(LoadEstimate& load, LoadRates& pool, Duration elapsed, Instant now)
    {
        load.onDispatched(work, now);
        load.onFirstToken(work, 0, elapsed, engine, pool, now);
        load.onFinished(work, true, now);
    }

    // Guards against a slowness that is not used, that is used after it has changed, or that is implausible.
    TEST(LoadEstimate, SlownessCountsWhileItIsYoung)
    {
        LoadRates pool;
        const Instant now { 100s };
        LoadEstimate load;
        const double usual = predicted(load, pool, now);
        load.onReport(report(0, 0, 2.5F), pool, now);
        EXPECT_NEAR(predicted(load, pool, now) / usual, 2.5, 0.01);
        EXPECT_NEAR(predicted(load, pool, now + 500ms) / usual, (2.5 + pool.slowness) / 2, 0.01);
        EXPECT_NEAR(predicted(load, pool, now + 1s) / usual, pool.slowness, 0.01);
        EXPECT_NEAR(pool.slowness, 1, 0.05);
        load.onReport(report(0, 0, 5, 2s), pool, now);
        EXPECT_NEAR(predicted(load, pool, now) / usual, 2.5, 0.01) << "an older report";
        load.onReport(report(0, 0), pool, now + 10ms);
        EXPECT_NEAR(predicted(load, pool, now + 10ms) / usual, 2.485, 0.01) << "a report that does not state it";
        load.onReport(report(0, 0, 1e9F), pool, now + 20ms);
        EXPECT_LE(predicted(load, pool, now + 20ms) / usual, 10.01);
        load.onReport(report(0, 0, 1e-9F), pool, now + 30ms);
        EXPECT_GE(predicted(load, pool, now + 30ms) / usual, 0.19);
    }

    // Guards against an upstream that is taken for a slow one for a minute since it was slow for a moment, and said so.
    TEST(LoadEstimate, StatedSlownessDoesNotLowerTheRate)
    {
        LoadRates pool;
        const Instant now { 100s };
        LoadEstimate load;
        run(load, pool, 100ms, now);
        const double usual = predicted(load, pool, now);
        load.onReport(report(0, 0, 2.5F), pool, now + 1s);
        run(load, pool, 250ms, now + 1s);
        EXPECT_NEAR(predicted(load, pool, now + 2s) / usual, 1, 0.05);
    }

    // Guards against an upstream of a slow zone that passes for an average one between two requests of this node.
    TEST(LoadEstimate, SlowUpstreamIsKnownSoonAndRemembered)
    {
        LoadRates pool;
        pool.prefillPerSecond = 1000 / 0.07F;
        Instant now { 100s };
        LoadEstimate slow;
        run(slow, pool, 70ms, now);
        const double usual = predicted(slow, pool, now);
        for (int sample = 0; sample < 3; ++sample)
            run(slow, pool, 170ms, now += 6s);
        EXPECT_GT(predicted(slow, pool, now) / usual, 1.6);
        EXPECT_GT(predicted(slow, pool, now + 12s) / usual, 1.5);
        run(slow, pool, 70ms, now);
        EXPECT_GT(predicted(slow, pool, now) / usual, 1.4) << "one fast request";
        EXPECT_LT(predicted(slow, pool, now + 600s) / usual, 1.3) << "never tried again";
    }

    // Guards against a prediction with the registered slots where the upstream states others.
    TEST(LoadEstimate, StatedSlotsReplaceTheRegisteredOnes)
    {
        LoadRates pool;
        const Instant now { 100s };
        LoadEstimate load;
        load.onReport({ upstream, 0, 12, 0ms, 16 }, pool, now);
        const double withRoom = predicted(load, pool, now);
        load.onReport({ upstream, 0, 12, 0ms, 8 }, pool, now + 1ms);
        EXPECT_GT(predicted(load, pool, now + 1ms), withRoom + 0.5);
    }

} // namespace
} // namespace teaselshore
