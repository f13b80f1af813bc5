#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform_replies.hpp"
#include "teaselshore/platform/object_api.hpp"

namespace teaselshore {
namespace {

    constexpr const char* oddEntries[] = { "7", "null", "{}", R"({"key":"\udc80","id":"\udc80","host":"\udc80"})",
        R"({"key":1,"id":1,"number":"1"})", R"({"key":"\)", R"({"key":[})" };

    std::string listOf(const std::string& member, const std::string& first, const std::string& second)
    {
        return fmt::format(R"({{"{}":[{},{}]}})", member, first, second);
    }

    // Guards against one entry that hides all objects of a platform, so that slots of dead owners are not recovered.
    TEST(PlatformReplies, OddObjectsHideNoOthers)
    {
        for (const std::string odd : oddEntries) {
            const auto objects
                = KeyedObjects().parseList({ 200, {}, listOf("objects", odd, R"({"key":"slots/1","version":4})") });
            ASSERT_TRUE(objects) << odd;
            EXPECT_EQ(*objects, (std::vector<ListedObject> { { "slots/1", 4 } })) << odd;
        }
    }

    // Guards against one entry that hides reclaim notices, hosts or prices.
    TEST(PlatformReplies, OddCloudEntriesHideNoOthers)
    {
        const std::string notice = R"({"number":3,"host":"host-1","zone":"a","remainingMs":5000})";
        const std::string host
            = R"({"id":"host-1","zone":"a","class":"small","kind":"reclaimable","state":"live","role":"engine"})";
        const std::string price = R"({"zone":"a","class":"small","reclaimable":0.2,"onDemand":1})";
        for (const std::string odd : oddEntries) {
            const auto notices = parseCloudNotices(listOf("notices", odd, notice));
            ASSERT_TRUE(notices) << odd;
            ASSERT_EQ(notices->size(), 1u) << odd;
            EXPECT_EQ(notices->front().host, "host-1");
            const auto hosts = parseCloudHosts(listOf("hosts", odd, host));
            ASSERT_TRUE(hosts) << odd;
            ASSERT_EQ(hosts->size(), 1u) << odd;
            EXPECT_EQ(hosts->front().state, CloudHostState::Live);
            const auto prices = parseCloudPrices(listOf("prices", odd, price));
            ASSERT_TRUE(prices) << odd;
            ASSERT_EQ(prices->size(), 1u) << odd;
            EXPECT_EQ(prices->front().onDemandPerHour, 1);
        }
        EXPECT_FALSE(parseCloudNotices("{"));
        EXPECT_FALSE(parseCloudHosts(R"({"hosts":7})"));
    }

} // namespace
} // namespace teaselshore
