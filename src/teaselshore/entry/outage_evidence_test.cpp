#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/entry/outage_evidence.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { std::chrono::seconds(1000) };
    constexpr Duration shortestOutage = 2400ms;

    // Guards against an outage that is assumed since a single call failed.
    TEST(OutageEvidence, IgnoresShortOutages)
    {
        OutageEvidence evidence(shortestOutage);
        EXPECT_FALSE(evidence.returnedAt());
        evidence.onReturned(shortestOutage - 1ms, start);
        EXPECT_FALSE(evidence.returnedAt());
        evidence.onAnsweredPeer(start - 1min, start);
        EXPECT_FALSE(evidence.returnedAt());
        evidence.onReturned(shortestOutage, start);
        EXPECT_EQ(evidence.returnedAt(), start);
    }

    // Guards against an outage that is assumed though the platform answered a peer in the middle of it.
    TEST(OutageEvidence, AnswersToPeersLeaveTheTimesInBetween)
    {
        OutageEvidence evidence(shortestOutage);
        evidence.onReturned(6s, start);
        evidence.onAnsweredPeer(start - 2s, start);
        EXPECT_EQ(evidence.returnedAt(), start - 2s) << "4 s without an answer remain before it";
        evidence.onAnsweredPeer(start - 4s, start - 4s);
        EXPECT_FALSE(evidence.returnedAt()) << "none of the remaining times is long enough";
    }

    // Guards against the return of an earlier outage that is forgotten with that of a later one.
    TEST(OutageEvidence, KeepsTheReturnFromAnEarlierOutage)
    {
        OutageEvidence evidence(shortestOutage);
        evidence.onReturned(6s, start);
        evidence.onReturned(3s, start + 4s);
        EXPECT_EQ(evidence.returnedAt(), start + 4s);
        evidence.onAnsweredPeer(start + 1s, start + 4s);
        EXPECT_EQ(evidence.returnedAt(), start);
    }

    // Load pattern: the connections of all nodes go silent at once, and each node notices it when its own watch has
    // timed out. Guards against upstreams that are kept though they were removed on purpose, by all nodes.
    TEST(OutageEvidence, SilentConnectionsOfAllNodesAreNoOutage)
    {
        constexpr Duration watch = 2760ms;
        constexpr int nodes = 9;
        const auto lastAnswer = [](int node) { return start - node * 250ms; };
        for (int own = 0; own < nodes; ++own) {
            const Instant noticed = lastAnswer(own) + watch;
            OutageEvidence evidence(shortestOutage);
            evidence.onReturned(watch, noticed);
            for (const int peer : { (own + 2) % nodes, (own + 4) % nodes, (own + 7) % nodes }) {
                const Instant peerNoticed = lastAnswer(peer) + watch;
                if (peerNoticed > noticed) {
                    evidence.onAnsweredPeer(start - 1min, lastAnswer(peer));
                    continue;
                }
                evidence.onAnsweredPeer(peerNoticed, noticed);
                evidence.onAnsweredPeer(lastAnswer(peer), lastAnswer(peer));
            }
            EXPECT_FALSE(evidence.returnedAt()) << own;
        }
    }

    // Guards against an outage of the platform that peers explain away: whatever they truthfully say, the return is not
    // taken for earlier than it was.
    RC_GTEST_PROP(OutageEvidence, OutagesOfThePlatformStay, ())
    {
        const auto drawn = [](Duration from, Duration to) {
            return Duration(
                *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Duration::rep>(from.count(), to.count())));
        };
        const Instant begin = start;
        const Instant end = begin + drawn(shortestOutage, 20s);
        const Instant lastAnswer = begin - drawn(0ms, 4s);
        const Instant noticed = end + drawn(0ms, 2s);
        OutageEvidence evidence(shortestOutage);
        evidence.onReturned(noticed - lastAnswer, noticed);
        const int peers = *rc::gen::inRange(0, 6);
        for (int peer = 0; peer < peers; ++peer) {
            const Instant before = begin - drawn(0ms, 4s);
            const Instant first = end + drawn(0ms, 2s);
            // A peer that has not noticed the outage yet, or one that has, or both.
            if (*rc::gen::arbitrary<bool>())
                evidence.onAnsweredPeer(before - drawn(0ms, 100s), before);
            if (*rc::gen::arbitrary<bool>())
                evidence.onAnsweredPeer(first, first + drawn(0ms, 3s));
        }
        RC_ASSERT(evidence.returnedAt());
        RC_ASSERT(*evidence.returnedAt() >= end);
        RC_ASSERT(*evidence.returnedAt() <= noticed);
    }

} // namespace
} // namespace teaselshore
