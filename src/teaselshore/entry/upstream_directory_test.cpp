#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

    /// Entries expire in outages of twice this time.
    constexpr Duration renewalPeriod = 1200ms;
    constexpr Duration longOutage = 10s;

    // Guards against losing all upstreams when the platform returns after an outage in which its entries expired.
    TEST(UpstreamDirectory, KeepsEntriesThatExpiredDuringOutage)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2, 3 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_FALSE(directory.onListed(upstreams({ 1 }), start));
        EXPECT_EQ(directory.upstreams().size(), 3u);
        EXPECT_FALSE(directory.onTick(start + 2s));
        directory.onChanged(EntryHarness::upstream(2));
        EXPECT_TRUE(directory.onTick(start + 2400ms));
        EXPECT_EQ(directory.upstreams(), upstreams({ 1, 2 })) << "the third did not register again";
    }

    // Guards against requests to an upstream that left shortly after an outage: the grace period is counted from the
    // end of the outage, not from the removal of the entry.
    TEST(UpstreamDirectory, GracePeriodStartsAtEndOfOutage)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_FALSE(directory.onRemoved("i-1", start + 1700ms));
        EXPECT_TRUE(directory.onTick(start + 2400ms));
        EXPECT_TRUE(directory.onRemoved("i-2", start + 2400ms));
        EXPECT_TRUE(directory.upstreams().empty());
    }

    // Guards against requests to an upstream that left while a single call failed: no entry expires in so short a time.
    TEST(UpstreamDirectory, RemovesMissingEntriesAtOnceAfterAShortOutage)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2 }), start);
        directory.onPlatformReturned(2 * renewalPeriod - 1ms, start);
        EXPECT_TRUE(directory.onRemoved("i-1", start));
        // Nor does a short outage end the grace period of a long one.
        directory.onPlatformReturned(longOutage, start);
        directory.onPlatformReturned(300ms, start + 500ms);
        EXPECT_FALSE(directory.onRemoved("i-2", start + 600ms));
    }

    // Guards against an entry of another writer in place of an upstream's that keeps it in use.
    TEST(UpstreamDirectory, RemovesReplacedEntriesAtOnce)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_TRUE(directory.onReplaced("i-1", start));
        EXPECT_FALSE(directory.onReplaced("i-1", start));
    }

    // Guards against requests to an upstream that left while only this node was cut off: the platform answered a peer
    // all the while, so that no entry can have expired.
    TEST(UpstreamDirectory, RemovesMissingEntriesAtOnceIfPeersWereAnswered)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_FALSE(directory.onRemoved("i-1", start));
        directory.onPlatformAnsweredPeer(start - 1min, start - 900ms);
        EXPECT_TRUE(directory.onTick(start));
        EXPECT_TRUE(directory.onRemoved("i-2", start));
    }

    // Guards against a grace period that begins late since this node noticed the platform's return later than others.
    TEST(UpstreamDirectory, CountsFromTheEarliestReturnThatIsKnown)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_FALSE(directory.onRemoved("i-1", start));
        directory.onPlatformAnsweredPeer(start - 1s, start);
        directory.onPlatformAnsweredPeer(start - 500ms, start);
        EXPECT_FALSE(directory.onTick(start + 1300ms));
        EXPECT_TRUE(directory.onTick(start + 1400ms));
    }

    // Guards against upstreams that are dropped on the word of a peer that the outage has reached as well, and that has
    // not noticed it yet.
    TEST(UpstreamDirectory, PeersWhoseLastAnswerIsOldTellNothing)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1 }), start);
        directory.onPlatformReturned(longOutage, start);
        EXPECT_FALSE(directory.onRemoved("i-1", start));
        directory.onPlatformAnsweredPeer(start - 1min, start - 2 * renewalPeriod);
        EXPECT_FALSE(directory.onTick(start + 1s));
    }

    // Guards against requests to an upstream that left while the platform was reachable.
    TEST(UpstreamDirectory, RemovesMissingEntriesAtOnceWithoutOutage)
    {
        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2 }), start);
        EXPECT_TRUE(directory.onListed(upstreams({ 2 }), start));
        EXPECT_EQ(directory.upstreams(), upstreams({ 2 }));
        EXPECT_TRUE(directory.onRemoved("i-2", start));
        EXPECT_FALSE(directory.onRemoved("i-2", start));
    }

    /// What a node may learn late: the platform's return, by the time between two calls that look for it, and a change,
    /// by the pause between two reads.
    constexpr Duration longestNotice = 440ms;
    constexpr Duration longestPause = 300ms;
    /// Time after a disruption by which what happened meanwhile must be in effect, and time for which an upstream
    /// serves on after its entry was removed.
    constexpr Duration recoveryTime = 3s;
    constexpr Duration drainTime = 2s;

    // Guards both directions around an outage of any length, of the platform or of this node alone: an upstream that
    // was removed on purpose gets no request when the node must know of it, and one whose entry expired and that
    // registers again within two seconds of the platform's return is never dropped.
    RC_GTEST_PROP(UpstreamDirectory, TellsExpiredEntriesFromRemovedOnes, ())
    {
        const auto drawn = [](Duration from, Duration to) {
            return Duration(
                *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Duration::rep>(from.count(), to.count())));
        };
        const bool platformWasDown = *rc::gen::arbitrary<bool>();
        const Instant begin = start;
        const Instant returned = begin + drawn(10ms, 12s);
        const Instant lastAnswer = begin - drawn(0ms, 2s);
        const Instant noticed = returned + drawn(0ms, longestNotice);
        const Duration lastRenewal = drawn(0ms, renewalPeriod);
        const bool expires = platformWasDown && returned - begin + lastRenewal >= 3 * renewalPeriod;
        const Instant registered = returned + drawn(0ms, 2s);
        const Instant removed = begin + drawn(0ms, returned - begin + 4s);
        const Instant learnt = std::max(noticed, removed + drawn(0ms, longestPause));

        UpstreamDirectory directory(renewalPeriod);
        directory.onListed(upstreams({ 1, 2 }), lastAnswer);
        std::vector<std::pair<Instant, std::function<void(Instant)>>> events;
        events.emplace_back(noticed, [&](Instant now) {
            directory.onPlatformReturned(noticed - lastAnswer, now);
            if (!platformWasDown)
                directory.onPlatformAnsweredPeer(begin - 1min, now - 1s);
            if (expires)
                directory.onRemoved("i-1", now);
        });
        if (expires)
            events.emplace_back(std::max(noticed, registered + drawn(0ms, longestPause)),
                [&](Instant) { directory.onChanged(EntryHarness::upstream(1)); });
        events.emplace_back(learnt, [&](Instant now) { directory.onRemoved("i-2", now); });
        std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) { return a.first < b.first; });

        const Instant mustBeGone = std::max(removed + drainTime, returned + recoveryTime);
        auto next = events.begin();
        for (Instant now = begin; now <= mustBeGone + 3s; now += 10ms) {
            for (; next != events.end() && next->first <= now; ++next)
                next->second(now);
            directory.onTick(now);
            RC_ASSERT(directory.findInstance("i-1"));
            RC_ASSERT(now < mustBeGone || !directory.findInstance("i-2"));
        }
    }

    // Guards against mistaking a new process for its predecessor with the same instance name.
    TEST(UpstreamDirectory, DistinguishesProcessesWithSameInstanceName)
    {
        RegisteredUpstream first = EntryHarness::upstream(1);
        RegisteredUpstream second = first;
        second.startedAt += 5000;
        EXPECT_NE(first.id(), second.id());
    }

} // namespace
} // namespace teaselshore
