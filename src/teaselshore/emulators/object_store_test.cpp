#include "teaselshore/emulators/object_store.hpp"

#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace teaselshore {
namespace {

    Instant at(int milliseconds) { return Instant(std::chrono::milliseconds(milliseconds)); }

    ObjectAnswer ask(ObjectStore& store, const ObjectCall& call, Instant now)
    {
        const std::vector<ObjectDelivery> deliveries = store.onCall(1, call, now);
        EXPECT_FALSE(deliveries.empty());
        return deliveries.empty() ? ObjectAnswer {} : deliveries.front().answer;
    }

    // Guards against a store on which two writers can both win: at most once rests on conditional writes.
    RC_GTEST_PROP(ObjectStoreProperty, OneWriterWinsPerVersion, (const std::vector<std::uint8_t>& steps))
    {
        ObjectStore store({ .writesPerSecond = 0, .readsPerSecond = 0 }, 1);
        std::map<std::string, std::pair<std::string, std::uint64_t>> expected;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const std::string key(1, static_cast<char>('a' + steps[i] % 3));
            const std::string value = std::to_string(i);
            const std::uint64_t version = expected.contains(key) ? expected[key].second : 0;
            const bool usesCurrent = (steps[i] / 3) % 2 == 0;
            const std::uint64_t given = usesCurrent ? version : version + 1;
            switch ((steps[i] / 6) % 3) {
            case 0: {
                const ObjectAnswer answer = ask(store, CreateObject { key, value }, at(0));
                RC_ASSERT((answer.status == ObjectStatus::Ok) == (version == 0));
                if (version == 0)
                    expected[key] = { value, answer.version };
                break;
            }
            case 1: {
                const ObjectAnswer answer = ask(store, ReplaceObject { key, value, given }, at(0));
                RC_ASSERT((answer.status == ObjectStatus::Ok) == usesCurrent);
                if (usesCurrent)
                    expected[key] = { value, answer.version };
                else
                    RC_ASSERT(answer.version == version);
                break;
            }
            default: {
                const ObjectAnswer answer = ask(store, RemoveObject { key, given }, at(0));
                RC_ASSERT((answer.status == ObjectStatus::Ok) == (version != 0 && usesCurrent));
                if (answer.status == ObjectStatus::Ok)
                    expected.erase(key);
            }
            }
            if (expected.contains(key) && expected[key].first == value) {
                RC_ASSERT(expected[key].second > highest);
                highest = expected[key].second;
            }
            const ObjectAnswer read = ask(store, ReadObject { key }, at(0));
            RC_ASSERT((read.status == ObjectStatus::Ok) == expected.contains(key));
            RC_ASSERT(read.value == (expected.contains(key) ? expected[key].first : std::string()));
        }
    }

    // Guards against lost answers that also lose the write, which would not exercise the read-back after a lost answer.
    TEST(ObjectStore, LostAnswerTakesEffect)
    {
        ObjectStore store({}, 1);
        store.onFaults({ .loseAnswers = 1 }, at(0));
        const auto deliveries = store.onCall(1, CreateObject { "a", "x" }, at(0));
        EXPECT_EQ(deliveries.front().outcome, ObjectOutcome::ConnectionClosed);
        EXPECT_EQ(ask(store, ReadObject { "a" }, at(0)).value, "x");
    }

    // Guards against outages that let writes through, keep watches alive, or do not end.
    TEST(ObjectStore, OutageStopsWritesAndWatchesUntilItsEnd)
    {
        ObjectStore store({}, 1);
        EXPECT_TRUE(store.onCall(7, WatchObject { "a", 0, std::chrono::seconds(30) }, at(0)).empty());
        const auto closed = store.onFaults({ .down = true, .until = at(100) }, at(0));
        ASSERT_EQ(closed.size(), 1u);
        EXPECT_EQ(closed.front().call, 7u);
        EXPECT_EQ(store.onCall(8, CreateObject { "a", "x" }, at(50)).front().outcome, ObjectOutcome::ConnectionClosed);
        EXPECT_EQ(ask(store, ReadObject { "a" }, at(100)).status, ObjectStatus::NotFound);
    }

    // Guards against a platform without limits, on which callers above their write budget go unnoticed.
    TEST(ObjectStore, RefusesCallsAboveTheRate)
    {
        ObjectStore store({ .writesPerSecond = 100, .readsPerSecond = 1000 }, 1);
        int accepted = 0;
        for (int i = 0; i < 1000; ++i)
            accepted += ask(store, ReplaceObject { "a", "x", {} }, at(i)).status == ObjectStatus::Ok ? 1 : 0;
        EXPECT_GE(accepted, 100);
        EXPECT_LE(accepted, 111);
        EXPECT_EQ(store.statistics().writes.peakPerSecond(), 1000u);
    }

    // Guards against watches that miss a change, fire on another key, or never end.
    TEST(ObjectStore, WatchEndsOnNewVersionOrTimeout)
    {
        ObjectStore store({}, 1);
        const std::uint64_t version = ask(store, CreateObject { "a", "x" }, at(0)).version;
        EXPECT_TRUE(store.onCall(2, WatchObject { "a", version, std::chrono::seconds(1) }, at(0)).empty());
        EXPECT_TRUE(store.onCall(3, WatchObject { "b", 0, std::chrono::seconds(1) }, at(0)).empty());
        const auto deliveries = store.onCall(4, ReplaceObject { "a", "y", version }, at(1));
        ASSERT_EQ(deliveries.size(), 2u);
        EXPECT_EQ(deliveries[1].call, 2u);
        EXPECT_EQ(deliveries[1].answer.value, "y");
        EXPECT_EQ(*store.nextTick(), at(1000));
        EXPECT_EQ(store.onTick(at(1000)).front().answer.status, ObjectStatus::NotChanged);
        EXPECT_EQ(store.waitingWatches(), 0u);
    }

    // Guards against values above the limit, which the platform would refuse in production only.
    TEST(ObjectStore, RefusesLargeValues)
    {
        ObjectStore store({}, 1);
        const std::string large(1024 * 1024 + 1, 'x');
        EXPECT_EQ(ask(store, CreateObject { "a", large }, at(0)).status, ObjectStatus::TooLarge);
    }

} // namespace
} // namespace teaselshore
