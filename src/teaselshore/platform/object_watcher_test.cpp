#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_platform.hpp"
#include "teaselshore/platform/call_budget.hpp"
#include "teaselshore/platform/object_watcher.hpp"

namespace teaselshore {
namespace {

    class ObjectWatcherTest : public testing::Test {
    protected:
        ObjectWatcherTest()
            : loop(EventLoop::create())
            , platform(*this->loop)
        {
            PlatformClientSettings settings;
            settings.authority = this->platform.authority();
            settings.callTimeout = std::chrono::milliseconds(100);
            settings.budget = { 1000, 1000, 1000, 1000 };
            this->client = PlatformClient::create(*this->loop, settings);
        }

        std::unique_ptr<ObjectWatcher> start(Duration wait)
        {
            ObjectWatcherSettings settings;
            settings.wait = wait;
            settings.firstBackoff = std::chrono::milliseconds(10);
            settings.longestBackoff = std::chrono::milliseconds(40);
            return std::make_unique<ObjectWatcher>(*this->loop, *this->client, "key", 0, settings,
                ObjectWatcherHandlers { [this](const StoredObject& object) { this->values.push_back(object.value); },
                    [this](const PlatformError&) { ++this->errors; } },
                RandomSource(5));
        }

        void runFor(Duration time)
        {
            this->loop->runAfter(time, [this] { this->loop->stop(); });
            this->loop->run();
        }

        std::unique_ptr<EventLoop> loop;
        FakePlatform platform;
        std::unique_ptr<PlatformClient> client;
        std::vector<std::string> values;
        int errors = 0;
    };

    // Guards against a watcher that gives up or repeats a version after expired watches and an outage.
    TEST_F(ObjectWatcherTest, ReportsEachVersionOnceAcrossOutage)
    {
        const auto watcher = this->start(std::chrono::milliseconds(30));
        this->runFor(std::chrono::milliseconds(100));
        this->platform.put("key", "one");
        this->platform.put("other", "x");
        this->runFor(std::chrono::milliseconds(100));
        EXPECT_EQ(this->values, std::vector<std::string> { "one" });
        EXPECT_EQ(this->errors, 0);
        this->platform.fault = FakePlatform::Fault::LoseAnswer;
        this->runFor(std::chrono::milliseconds(200));
        EXPECT_GT(this->errors, 2);
        this->platform.put("key", "two");
        this->platform.put("key", "three");
        this->platform.fault = FakePlatform::Fault::None;
        this->runFor(std::chrono::milliseconds(150));
        EXPECT_EQ(this->values, (std::vector<std::string> { "one", "three" }));
        EXPECT_EQ(watcher->version(), 4u);
    }

    // Guards against a fleet that floods the platform while it fails or answers watches at once.
    TEST_F(ObjectWatcherTest, BacksOff)
    {
        const auto watcher = this->start(std::chrono::seconds(10));
        for (const FakePlatform::Fault fault : { FakePlatform::Fault::Unavailable, FakePlatform::Fault::Garbage }) {
            this->platform.fault = fault;
            this->platform.requests.clear();
            this->platform.put("key", "wake");
            this->runFor(std::chrono::milliseconds(400));
            // The delay is at least 20 ms once it has reached its limit of 40 ms.
            EXPECT_LE(this->platform.requests.size(), 30u);
            EXPECT_GE(this->platform.requests.size(), 2u);
        }
    }

    // Guards against callbacks into an owner that is gone.
    TEST_F(ObjectWatcherTest, StopsOnDestruction)
    {
        auto watcher = this->start(std::chrono::seconds(10));
        this->runFor(std::chrono::milliseconds(20));
        watcher.reset();
        this->platform.put("key", "late");
        this->runFor(std::chrono::milliseconds(50));
        EXPECT_TRUE(this->values.empty());
        EXPECT_EQ(this->client->waitingWatches(), 0u);
    }

    // Guards against a budget that lets more calls through than its rate and burst, or starves a patient caller.
    RC_GTEST_PROP(TokenBucket, NeverExceedsItsRate, (const std::vector<std::uint16_t>& pauses))
    {
        constexpr double rate = 50;
        constexpr double burst = 4;
        Instant now {};
        TokenBucket bucket(rate, burst, now);
        const Instant start = now;
        int taken = 0;
        for (const std::uint16_t pause : pauses) {
            now += Duration(pause);
            taken += bucket.take(now) ? 1 : 0;
            RC_ASSERT(taken <= burst + rate * toSeconds(now - start) + 0.001);
        }
        now += bucket.untilNext(now);
        RC_ASSERT(bucket.take(now));
    }

} // namespace
} // namespace teaselshore
