#include <gtest/gtest.h>

#include "entry_test_support.hpp"
#include "teaselshore/entry/upstream_directory.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { std::chrono::seconds(100) };

    std::vector<RegisteredUpstream> upstreams(std::initializer_list<int> numbers)
    {
        std::vector<RegisteredUpstream> result;
        for (const int number : numbers)
            result.push_back(EntryHarness::upstream(number));
        return result;
    }

    // Guards against losing all upstreams at the return of a platform whose entries lapsed during its outage.
    TEST(UpstreamDirectory, KeepsEntriesThatLapsedInAnOutage)
    {
        UpstreamDirectory directory;
        directory.onListed(upstreams({ 1, 2, 3 }), std::nullopt, start);
        EXPECT_FALSE(directory.onListed(upstreams({ 1 }), 0ms, start));
        EXPECT_EQ(directory.upstreams().size(), 3u);
        directory.onChanged(EntryHarness::upstream(2));
        EXPECT_TRUE(directory.onTick(start + 2s));
        EXPECT_EQ(directory.upstreams(), upstreams({ 1, 2 })) << "the third did not come back";
    }

    // Guards against work for an upstream that really left shortly after an outage: the grace ends with the time in
    // which upstreams return, and is not counted from the removal.
    TEST(UpstreamDirectory, GraceEndsSoonAfterTheReturnOfThePlatform)
    {
        UpstreamDirectory directory;
        directory.onListed(upstreams({ 1, 2 }), std::nullopt, start);
        EXPECT_FALSE(directory.onRemoved("i-1", 1700ms, start));
        EXPECT_TRUE(directory.onTick(start + 100ms));
        EXPECT_TRUE(directory.onRemoved("i-2", 2300ms, start));
        EXPECT_TRUE(directory.upstreams().empty());
    }

    // Guards against an upstream that stays in use after it left while the platform was reachable.
    TEST(UpstreamDirectory, DropsMissingEntriesAtOnceOtherwise)
    {
        UpstreamDirectory directory;
        directory.onListed(upstreams({ 1, 2 }), std::nullopt, start);
        EXPECT_TRUE(directory.onListed(upstreams({ 2 }), std::nullopt, start));
        EXPECT_EQ(directory.upstreams(), upstreams({ 2 }));
        EXPECT_TRUE(directory.onRemoved("i-2", std::nullopt, start));
        EXPECT_FALSE(directory.onRemoved("i-2", std::nullopt, start));
    }

    // Guards against a process that is taken for the one before at the same name.
    TEST(UpstreamDirectory, TellsProcessesOfOneNameApart)
    {
        RegisteredUpstream first = EntryHarness::upstream(1);
        RegisteredUpstream second = first;
        second.startedAt += 5000;
        EXPECT_NE(first.id(), second.id());
    }

} // namespace
} // namespace teaselshore
