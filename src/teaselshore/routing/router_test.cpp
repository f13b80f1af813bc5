#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing_test_support.hpp"
#include "teaselshore/base/random.hpp"

namespace teaselshore {
namespace {

    using namespace test_support;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    Router makeRouter(const Configuration& configuration, ChoicePolicy policy = PredictedLatency {})
    {
        RouterSettings settings;
        settings.zone = zoneName(0);
        settings.policy = policy;
        Router router(settings);
        router.onConfiguration(configuration, Instant {});
        return router;
    }

    /// Dispatches up to count requests until nothing is chosen; returns how often each upstream was chosen.
    std::map<std::string, int> dispatchMany(
        Router& router, int count, Instant now, const RoutingRequest& request = makeRequest())
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; i++) {
            const auto decision = router.choose(request, now);
            if (!decision)
                break;
            router.onDispatched(request, *decision, now);
            chosen[decision->chosen.upstream.value()]++;
        }
        return chosen;
    }

    // Guards against a preview that changes later decisions, or that differs from the decision, under each policy.
    TEST(Router, PreviewChangesNothing)
    {
        for (const ChoicePolicy& policy :
            { ChoicePolicy(PredictedLatency {}), ChoicePolicy(RoundRobin {}), ChoicePolicy(LeastOutstanding {}) }) {
            Router asked = makeRouter(makeConfiguration(3, 12, 2), policy);
            Router quiet = makeRouter(makeConfiguration(3, 12, 2), policy);
            for (int i = 0; i < 60; i++) {
                const Instant now = Instant(milliseconds(i));
                const RoutingRequest request = makeRequest(i % 2 == 0 ? interactive : patient);
                asked.preview(makeRequest(), now);
                const RoutingPreview preview = asked.preview(request, now);
                const auto decision = asked.choose(request, now);
                EXPECT_EQ(preview.decision, decision);
                EXPECT_EQ(preview.failure, asked.lastFailure());
                EXPECT_EQ(quiet.choose(request, now), decision);
                if (!decision)
                    continue;
                asked.onDispatched(request, *decision, now);
                quiet.onDispatched(request, *decision, now);
            }
        }
    }

    // Guards against work for an upstream that is leaving, dead, behind an open circuit breaker or at its limit, with
    // random sequences of events, and against choosing nothing while an upstream has room.
    RC_GTEST_PROP(Router, ChoosesOnlyUpstreamsInServiceWithRoom, (std::uint64_t seed))
    {
        constexpr std::size_t engines = 6;
        RandomSource random(seed);
        Router router = makeRouter(makeConfiguration(3, engines, 2));
        std::vector<DispatchId> open;
        Instant now {};
        for (int step = 0; step < 300; step++) {
            now += milliseconds(random.below(20));
            const UpstreamId id = engineId(random.below(engines));
            switch (random.below(12)) {
            case 0:
                router.onUpstreamLeaving(id, now);
                break;
            case 1:
                router.onUpstreamDead(id, now);
                break;
            case 2:
                router.onUpstreamRestored(id, now);
                break;
            case 3:
                router.onConfiguration(makeConfiguration(3, 4 + random.below(3), 2), now);
                break;
            case 4:
            case 5:
            case 6:
                if (open.empty())
                    break;
                router.onFinished(open.back(), static_cast<AttemptOutcome>(random.below(5)), 10, now);
                open.pop_back();
                break;
            default: {
                const RoutingRequest request = makeRequest(random.below(2) == 0 ? interactive : patient);
                const auto decision = router.choose(request, now);
                bool anyRoom = false;
                for (const UpstreamStatus& status : router.statuses(now)) {
                    const bool usable = status.state == UpstreamState::Available
                        && status.circuit == CircuitState::Closed && status.outstanding < status.limit;
                    anyRoom = anyRoom || usable;
                }
                if (!decision) {
                    RC_ASSERT(!anyRoom);
                    break;
                }
                const UpstreamStatus status = *router.status(decision->chosen.upstream, now);
                RC_ASSERT(status.state == UpstreamState::Available);
                RC_ASSERT(status.circuit != CircuitState::Open);
                RC_ASSERT(status.outstanding < status.limit);
                open.push_back(router.onDispatched(request, *decision, now));
            }
            }
        }
    }

    // Guards against a configuration change that resets the state of upstreams that stay, or that sends work to an
    // upstream with a reclaim notice again. A new address means a new process, whose state is reset.
    TEST(Router, KeepsStateAcrossConfigurations)
    {
        Configuration configuration = makeConfiguration(3, 6);
        Router router = makeRouter(configuration);
        dispatchMany(router, 12, Instant {});
        router.onUpstreamLeaving(engineId(0), Instant {});
        const auto before = router.statuses(Instant {});
        configuration.services[0].upstreams.erase(configuration.services[0].upstreams.begin() + 5);
        router.onConfiguration(configuration, Instant {});
        for (std::size_t engine = 0; engine < 5; engine++)
            EXPECT_EQ(router.status(engineId(engine), Instant {}), before[engine]);
        EXPECT_FALSE(router.status(engineId(5), Instant {}));
        configuration.services[0].upstreams[0].address = "127.0.0.1:99";
        router.onConfiguration(configuration, Instant {});
        EXPECT_EQ(router.status(engineId(0), Instant {})->state, UpstreamState::Available);
        EXPECT_EQ(router.status(engineId(0), Instant {})->outstanding, 0U);
    }

    // Guards against a host list older than a reclaim notice that makes the upstream available again, and against work
    // for a host that is no longer listed.
    TEST(Router, LateHostListDoesNotOverrideNotice)
    {
        Router router = makeRouter(makeConfiguration(1, 3));
        const HostList all { { { engineId(0) }, { engineId(1) }, { engineId(2) } }, seconds(5) };
        router.onHostList(all, Instant {});
        router.onUpstreamLeaving(engineId(0), Instant {});
        router.onHostList(all, Instant(seconds(1)));
        EXPECT_EQ(router.status(engineId(0), Instant {})->state, UpstreamState::Leaving);
        router.onHostList({ { { engineId(0) }, { engineId(1), true } }, seconds(5) }, Instant(seconds(2)));
        EXPECT_EQ(router.status(engineId(1), Instant {})->state, UpstreamState::Leaving);
        EXPECT_EQ(router.status(engineId(2), Instant {})->state, UpstreamState::Leaving);
    }

    // Guards against a new version that gets more than its share, even when the old version is full, and against any
    // work for a stopped version.
    TEST(Router, SplitsTrafficByVersionShare)
    {
        Configuration configuration = makeConfiguration(3, 60, 100);
        configuration.services[0].versions.push_back({ secondVersion, WallTime {} });
        for (std::size_t engine = 0; engine < 30; engine++)
            configuration.services[0].upstreams[engine].version = secondVersion;
        Router router = makeRouter(configuration);
        const auto countSecond = [&](int requests) {
            int count = 0;
            for (int i = 0; i < requests; i++) {
                const auto decision = router.choose(makeRequest(), Instant {});
                count += decision && decision->version == secondVersion ? 1 : 0;
            }
            return count;
        };
        EXPECT_EQ(countSecond(1000), 0);
        router.setVersionShare(assistant, secondVersion, 0.05);
        EXPECT_NEAR(countSecond(10000), 476, 100);
        RoutingRequest pinned = makeRequest();
        pinned.version = firstVersion;
        dispatchMany(router, 100000, Instant {}, pinned);
        EXPECT_LT(countSecond(10000), 700);
        router.stopVersion(assistant, secondVersion);
        EXPECT_EQ(countSecond(1000), 0);
        router.onConfiguration(configuration, Instant {});
        EXPECT_EQ(countSecond(1000), 0);
    }

    // Guards against a retry at an upstream that an earlier attempt used.
    TEST(Router, RespectsExclusions)
    {
        Router router = makeRouter(makeConfiguration(3, 4));
        RoutingRequest request = makeRequest();
        request.excluded = { engineId(0), engineId(1), engineId(3) };
        EXPECT_EQ(dispatchMany(router, 5, Instant {}, request).at("engine-2"), 5);
        request.excluded.push_back(engineId(2));
        EXPECT_FALSE(router.choose(request, Instant {}));
        EXPECT_EQ(router.lastFailure(), RoutingFailure::NoCapacity);
    }

    // Guards against a choice among one or two upstreams, or none with the prompt in memory, since the samples hold the
    // excluded ones: all of the nearest zone, which are idle.
    TEST(Router, FindsOthersWhenAWholeZoneIsExcluded)
    {
        constexpr std::size_t engines = 48;
        Router router = makeRouter(makeConfiguration(3, engines));
        RoutingRequest request = makeRequest();
        for (std::size_t engine = 0; engine < engines; engine += 3)
            request.excluded.push_back(engineId(engine));
        request.avoidExcluded = true;
        const std::map<std::string, int> chosen = dispatchMany(router, 160, Instant {}, request);
        int sum = 0;
        for (const auto& [engine, count] : chosen) {
            // The mean is 5.
            EXPECT_LE(count, 7) << engine;
            sum += count;
        }
        EXPECT_EQ(sum, 160);

        Router idle = makeRouter(makeConfiguration(3, engines));
        RoutingRequest withPrefix = makeRequest();
        withPrefix.prefixBlocks = promptBlocks("shared", 16);
        const auto preferred = idle.choose(withPrefix, Instant {});
        ASSERT_TRUE(preferred);
        withPrefix.excluded = { preferred->chosen.upstream };
        withPrefix.avoidExcluded = true;
        const auto next = idle.choose(withPrefix, Instant {});
        ASSERT_TRUE(next);
        for (int i = 0; i < 10; i++)
            EXPECT_EQ(idle.choose(withPrefix, Instant {})->chosen.upstream, next->chosen.upstream);
    }

    // Guards against a crash suspect that shares its upstream; its crash would then incriminate unrelated requests.
    TEST(Router, RunsIsolatedRetryAlone)
    {
        Router router = makeRouter(makeConfiguration(1, 3));
        RoutingRequest alone = makeRequest();
        alone.alone = true;
        const auto decision = router.choose(alone, Instant {});
        ASSERT_TRUE(decision);
        const DispatchId id = router.onDispatched(alone, *decision, Instant {});
        EXPECT_FALSE(dispatchMany(router, 100, Instant {}).contains(decision->chosen.upstream.value()));
        EXPECT_FALSE(router.choose(alone, Instant {}));
        router.onFinished(id, AttemptOutcome::Completed, 1, Instant(seconds(1)));
        EXPECT_EQ(router.choose(alone, Instant(seconds(1)))->chosen.upstream, decision->chosen.upstream);
    }

    // Guards against prompts that are recomputed although an engine has them cached, and against a popular prefix
    // that overloads its engine.
    TEST(Router, FollowsCachedPrefixWithinBoundedLoad)
    {
        Router router = makeRouter(makeConfiguration(3, 30));
        RoutingRequest request = makeRequest();
        request.promptTokens = 6400;
        request.prefixBlocks = promptBlocks("long", 100);
        const auto first = router.choose(request, Instant {});
        const DispatchId id = router.onDispatched(request, *first, Instant {});
        router.onFinished(id, AttemptOutcome::Completed, 10, Instant(seconds(1)));
        const auto second = router.choose(request, Instant(seconds(1)));
        EXPECT_EQ(second->chosen.upstream, first->chosen.upstream);
        EXPECT_GT(second->chosen.cachedTokens, 6000U);
        const auto chosen = dispatchMany(router, 60, Instant(seconds(1)), request);
        EXPECT_GT(chosen.size(), 3U);
    }

    // Guards against a circuit breaker that stays open because no request probes its upstream.
    TEST(Router, ProbesUpstreamsBehindOpenBreakers)
    {
        Router router = makeRouter(makeConfiguration(1, 2));
        for (int i = 0; i < 20; i++) {
            if (const auto decision = router.choose(makeRequest(), Instant {})) {
                const DispatchId id = router.onDispatched(makeRequest(), *decision, Instant {});
                router.onFinished(id, AttemptOutcome::Refused, 0, Instant {});
            }
        }
        EXPECT_EQ(router.lastFailure(), RoutingFailure::NoUpstream);
        EXPECT_EQ(router.capacity(assistant), 0U);
        router.onTick(Instant(seconds(1)));
        EXPECT_EQ(router.capacity(assistant), 2U);
        const auto probe = router.choose(makeRequest(), Instant(seconds(1)));
        ASSERT_TRUE(probe);
        const DispatchId id = router.onDispatched(makeRequest(), *probe, Instant(seconds(1)));
        router.onFinished(id, AttemptOutcome::Completed, 10, Instant(seconds(2)));
        EXPECT_EQ(router.status(probe->chosen.upstream, Instant(seconds(2)))->circuit, CircuitState::Closed);
    }

    // Guards against an upstream that an old load report shows as full and that never gets work again.
    TEST(Router, ReturnsToUpstreamAfterStaleFullReport)
    {
        Router router = makeRouter(makeConfiguration(1, 1));
        router.onLoadReport({ engineId(0), 50, 50, Duration {} }, Instant {});
        EXPECT_FALSE(router.choose(makeRequest(), Instant {}));
        Instant now {};
        for (int tick = 0; tick < 3000 && !router.choose(makeRequest(), now); tick++)
            router.onTick(now += milliseconds(100));
        EXPECT_TRUE(router.choose(makeRequest(), now));
    }

    // Guards against a late load report of a dead process that makes its upstream available again.
    TEST(Router, DeadUpstreamReturnsWithNewerReport)
    {
        Router router = makeRouter(makeConfiguration(1, 1));
        router.onUpstreamDead(engineId(0), Instant(seconds(10)));
        router.onLoadReport({ engineId(0), 0, 1, seconds(2) }, Instant(seconds(11)));
        EXPECT_FALSE(router.choose(makeRequest(), Instant(seconds(11))));
        router.onLoadReport({ engineId(0), 0, 0, milliseconds(5) }, Instant(seconds(12)));
        EXPECT_TRUE(router.choose(makeRequest(), Instant(seconds(12))));
    }

    // Guards against batch work on expensive upstreams while cheap ones are idle, and against interactive work in
    // remote zones while the local zone is idle.
    TEST(Router, PlacesByClass)
    {
        Router router = makeRouter(makeConfiguration(4, 40));
        for (const auto& [upstream, count] : dispatchMany(router, 40, Instant {}, makeRequest(patient)))
            EXPECT_EQ(std::stoi(upstream.substr(7)) % 2, 0) << upstream << " costs more";
        Router second = makeRouter(makeConfiguration(4, 40));
        for (const auto& [upstream, count] : dispatchMany(second, 10, Instant {}))
            EXPECT_EQ(std::stoi(upstream.substr(7)) % 4, 0) << upstream << " is in another zone";
    }

} // namespace
} // namespace teaselshore
