#include "teaselshore/emulators/cloud_model.hpp"

#include <gtest/gtest.h>

#include "teaselshore/emulators/host_list.hpp"
#include "teaselshore/emulators/weight_store.hpp"

namespace teaselshore {
namespace {

    Instant at(int seconds) { return Instant(std::chrono::seconds(seconds)); }

    CloudSettings settings()
    {
        const HostClass small("small");
        return { { { AvailabilityZone("a"), small, 2, 6 }, { AvailabilityZone("b"), small, 1, 5 } } };
    }

    HostStart start(const char* zone, HostKind kind) { return { AvailabilityZone(zone), HostClass("small"), kind }; }

    // Guards against zone reclaims that spare hosts, take on-demand hosts, or give no notice.
    TEST(CloudModel, ZoneReclaimTakesReclaimableHostsOfTheZoneAfterNotice)
    {
        CloudModel cloud(settings(), 1);
        HostStartError error {};
        const auto first = cloud.onStart(start("a", HostKind::Reclaimable), at(0), &error);
        const auto second = cloud.onStart(start("a", HostKind::OnDemand), at(0), &error);
        const auto third = cloud.onStart(start("b", HostKind::Reclaimable), at(0), &error);
        cloud.onTick(at(2));
        EXPECT_EQ(cloud.onReclaimZone(AvailabilityZone("a"), std::chrono::seconds(5), at(10)), 1u);
        ASSERT_EQ(cloud.noticesAfter(0).size(), 1u);
        EXPECT_EQ(cloud.noticesAfter(0).front().host, first->id);
        EXPECT_EQ(cloud.hosts().front().state, HostState::Departing);
        cloud.onTick(at(14));
        EXPECT_EQ(cloud.hosts().size(), 3u);
        cloud.onTick(at(15));
        ASSERT_EQ(cloud.hosts().size(), 2u);
        EXPECT_EQ(cloud.hosts()[0].id, second->id);
        EXPECT_EQ(cloud.hosts()[1].id, third->id);
        EXPECT_TRUE(cloud.noticesAfter(1).empty());
    }

    // Guards against a second notice that gives a host more time than the first one promised.
    TEST(CloudModel, SecondNoticeNeverPostponesTheEnd)
    {
        CloudModel cloud(settings(), 1);
        cloud.onRegister({ HostId("entry-1"), AvailabilityZone("a") }, at(0));
        cloud.onReclaimHost(HostId("entry-1"), std::chrono::seconds(2), at(0));
        cloud.onReclaimHost(HostId("entry-1"), std::chrono::seconds(20), at(1));
        cloud.onTick(at(2));
        EXPECT_TRUE(cloud.hosts().empty());
    }

    // Guards against refused starts that cost money, and against spend that forgets hosts that are gone.
    TEST(CloudModel, BillsOnlyHostsThatRan)
    {
        CloudModel cloud(settings(), 1);
        HostStartError error {};
        cloud.onFaults({ .refuseStarts = 1, .refuseZone = AvailabilityZone("a") });
        EXPECT_FALSE(cloud.onStart(start("a", HostKind::Reclaimable), at(0), &error));
        EXPECT_EQ(error, HostStartError::Refused);
        const auto host = cloud.onStart(start("b", HostKind::OnDemand), at(0), &error);
        ASSERT_TRUE(host);
        EXPECT_FALSE(cloud.onStart(start("c", HostKind::OnDemand), at(0), &error));
        EXPECT_EQ(error, HostStartError::UnknownOffer);
        EXPECT_TRUE(cloud.onStop(host->id, at(3600)));
        EXPECT_DOUBLE_EQ(cloud.spend(at(7200)), 5.0);
    }

    // Guards against a host list without delay or with hosts that do not run yet: readers would never see a host that
    // is already gone, or would connect to one that is not there.
    TEST(HostList, ShowsChangesOnlyAfterTheLag)
    {
        CloudModel cloud(settings(), 1);
        HostList list(std::chrono::seconds(3));
        const auto feed = [&](Instant now) {
            for (HostChange& change : cloud.takeChanges())
                list.onChange(std::move(change), now);
        };
        cloud.onRegister({ HostId("entry-1"), AvailabilityZone("a") }, at(0));
        feed(at(0));
        EXPECT_TRUE(list.view(at(2)).empty());
        EXPECT_EQ(list.view(at(3)).size(), 1u);
        HostStartError error {};
        cloud.onStart(start("a", HostKind::Reclaimable), at(3), &error);
        feed(at(3));
        EXPECT_EQ(list.view(at(7)).size(), 1u);
        cloud.onStop(HostId("entry-1"), at(10));
        feed(at(10));
        EXPECT_EQ(list.view(at(12)).size(), 1u);
        EXPECT_TRUE(list.view(at(13)).empty());
    }

    // Guards against a weight store that serves any number of fetches at full bandwidth.
    TEST(WeightStore, SharesBandwidthAndLimitsFetches)
    {
        WeightStore store({ .fetchesPerSecond = 2, .bytesPerSecond = 1e9, .bytesPerModel = 1e9 });
        EXPECT_EQ(store.onFetch("m", at(0))->duration, std::chrono::seconds(1));
        EXPECT_EQ(store.onFetch("m", at(0))->duration, std::chrono::seconds(2));
        EXPECT_FALSE(store.onFetch("m", at(0)));
        EXPECT_TRUE(store.onFetch("m", at(1)));
    }

} // namespace
} // namespace teaselshore
