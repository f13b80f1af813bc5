#include "teaselshore/emulators/engine_model.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace teaselshore {
namespace {

    constexpr Instant start {};

    EngineRequest request(const char* id, std::string prompt, std::uint64_t tokens, std::uint32_t priority = 0)
    {
        return { RequestId(id), 1, "/v1/chat/completions", "", std::move(prompt), tokens, priority };
    }

    EngineSettings smallEngine(std::size_t maxRunning)
    {
        EngineSettings settings;
        settings.maxRunning = maxRunning;
        settings.cacheEvents.delay = {};
        settings.loadReportLag = std::chrono::milliseconds(100);
        return settings;
    }

    /// Runs the engine until it has no work or the time is over.
    std::vector<EngineEvent> run(EngineModel& engine, Instant until = start + std::chrono::hours(1))
    {
        std::vector<EngineEvent> events;
        while (engine.nextTick() && *engine.nextTick() <= until) {
            for (EngineEvent& event : engine.onTick(*engine.nextTick()))
                events.push_back(std::move(event));
        }
        return events;
    }

    template <typename T> std::vector<T> only(const std::vector<EngineEvent>& events)
    {
        std::vector<T> result;
        for (const EngineEvent& event : events) {
            if (const T* match = std::get_if<T>(&event))
                result.push_back(*match);
        }
        return result;
    }

    // Guards against streams with gaps, repeated tokens or a wrong length under batching, preemption and resume.
    RC_GTEST_PROP(EngineModelProperty, EachStreamIsCompleteAndInOrder, (const std::vector<std::uint16_t>& requests))
    {
        EngineModel engine(smallEngine(3), 1, start);
        std::map<SequenceId, std::pair<std::uint64_t, std::uint64_t>> expected;
        std::vector<EngineEvent> events;
        Instant now = start;
        for (std::size_t i = 0; i < requests.size() && i < 100; ++i) {
            EngineRequest next = request(
                std::to_string(i).c_str(), "p" + std::to_string(requests[i] % 5), 1 + requests[i] % 7, requests[i] % 3);
            next.resumeFrom = (requests[i] / 7) % 4;
            expected[i] = { std::min(next.resumeFrom, next.maxTokens), next.maxTokens };
            RC_ASSERT(!engine.onRequest(i, next, now));
            now += std::chrono::milliseconds(requests[i] % 50);
            for (EngineEvent& event : engine.onTick(now))
                events.push_back(std::move(event));
        }
        for (EngineEvent& event : run(engine))
            events.push_back(std::move(event));
        for (const TokensGenerated& tokens : only<TokensGenerated>(events)) {
            RC_ASSERT(tokens.first == expected[tokens.sequence].first);
            expected[tokens.sequence].first += tokens.count;
        }
        for (const auto& [sequence, progress] : expected)
            RC_ASSERT(progress.first == progress.second);
        RC_ASSERT(only<SequenceFinished>(events).size() == expected.size());
    }

    // Guards against urgent work that waits behind batch work, and against batch work that is lost by preemption.
    TEST(EngineModel, UrgentWorkPreemptsBatchWork)
    {
        EngineModel engine(smallEngine(1), 1, start);
        engine.onRequest(1, request("patient", "long summary", 50, 2), start);
        engine.onTick(start + std::chrono::milliseconds(100));
        engine.onRequest(2, request("urgent", "short question", 5, 0), start + std::chrono::milliseconds(100));
        const auto finished = only<SequenceFinished>(run(engine));
        ASSERT_EQ(finished.size(), 2u);
        EXPECT_EQ(finished[0].sequence, 2u);
        EXPECT_EQ(finished[1].sequence, 1u);
        EXPECT_EQ(engine.statistics().preempted, 1u);
        EXPECT_GT(engine.statistics().recomputedTokens, 0u);
    }

    // Guards against decode and prefill times that do not depend on the batch and the cache: routing by load and by
    // prefix would then show no effect.
    TEST(EngineModel, TimeGrowsWithBatchAndShrinksWithCachedPrefix)
    {
        const auto timeOf = [](std::size_t parallel, bool warm) {
            EngineModel engine(smallEngine(64), 1, start);
            const std::string prompt(8000, 'x');
            if (warm) {
                engine.onRequest(1000, request("warm", prompt, 1), start);
                run(engine);
            }
            const Instant begin = start + std::chrono::minutes(1);
            for (std::size_t i = 0; i < parallel; ++i)
                engine.onRequest(i, request("r", prompt, 50), begin);
            Instant last = begin;
            while (engine.nextTick()) {
                last = *engine.nextTick();
                engine.onTick(last);
            }
            return last - begin;
        };
        EXPECT_LT(timeOf(1, true), timeOf(1, false));
        EXPECT_LT(timeOf(1, true), timeOf(30, true));
    }

    // Guards against resumes that cost nothing, and against KV imports that save nothing.
    TEST(EngineModel, KvImportSavesRecomputedTokens)
    {
        EngineModel source(smallEngine(4), 1, start);
        source.onRequest(1, request("r", std::string(640, 'x'), 100), start);
        while (source.load().generatedTokens < 40)
            source.onTick(*source.nextTick());
        const auto state = source.exportKv(RequestId("r"));
        ASSERT_TRUE(state);
        EXPECT_EQ(state->tokens, 40u);

        const auto recomputed = [&](bool withImport) {
            EngineModel target(smallEngine(4), 1, start);
            if (withImport)
                target.importKv(*state);
            EngineRequest resumed = request("r", std::string(640, 'x'), 100);
            resumed.resumeFrom = 42;
            target.onRequest(1, resumed, start);
            run(target);
            return target.statistics().recomputedTokens;
        };
        EXPECT_EQ(recomputed(false), 160u + 42u);
        EXPECT_EQ(recomputed(true), 2u);
    }

    // Guards against a crash fault that spares the engine or spreads to prompts without the marker.
    TEST(EngineModel, PoisonPromptAndCrashFaultEndTheProcess)
    {
        EngineModel engine(smallEngine(4), 1, start);
        engine.onRequest(1, request("good", "hello", 3), start);
        EXPECT_TRUE(only<EngineCrashed>(run(engine)).empty());
        engine.crashAfterTokens(2);
        engine.onRequest(2, request("mid", "hello", 5), start + std::chrono::minutes(1));
        const auto events = run(engine);
        ASSERT_EQ(only<EngineCrashed>(events).size(), 1u);
        EXPECT_EQ(std::get<TokensGenerated>(events[1]), (TokensGenerated { 2, 1, 1 }));
        engine.onRequest(3, request("bad", "a poison-prompt here", 3), start + std::chrono::minutes(2));
        EXPECT_FALSE(only<EngineCrashed>(run(engine)).empty());
    }

    // Guards against load reports and cache events that are current and complete, which no real engine offers.
    TEST(EngineModel, ReportsAreLateAndHaveGaps)
    {
        EngineSettings settings = smallEngine(4);
        settings.cacheEvents = { std::chrono::milliseconds(200), 0.5 };
        EngineModel engine(settings, 3, start);
        const Instant later = start + std::chrono::seconds(1);
        engine.onRequest(1, request("r", "hello", 1000), later);
        EXPECT_EQ(engine.loadReport(later).load.running, 0u);
        EXPECT_EQ(engine.loadReport(later + std::chrono::milliseconds(100)).load.running, 1u);

        for (std::uint64_t i = 2; i < 102; ++i)
            engine.onRequest(i, request("r", std::string(64, static_cast<char>('a' + i)), 1), later);
        run(engine);
        const Instant end = later + std::chrono::hours(1);
        const auto events = engine.cacheEventsAfter(0, 1000, end);
        EXPECT_GT(events.size(), 20u);
        EXPECT_LT(events.size(), 80u);
        EXPECT_GT(events.back().number, events.size());
        EXPECT_TRUE(engine.cacheEventsAfter(0, 1000, later + std::chrono::milliseconds(200)).empty());
    }

    // Guards against engines that obey an old fencing token although they claim to check it, or hide that they did.
    TEST(EngineControl, OldFencingTokenIsRefusedOnlyIfChecked)
    {
        for (const bool checks : { true, false }) {
            EngineControl control("m", VersionName("v1"), checks, std::chrono::seconds(1));
            EXPECT_EQ(control.onCommand({ 5, ControlAction::LoadVersion, "v2" }, start), ControlResult::Accepted);
            EXPECT_EQ(control.version().value(), "v1");
            control.onTick(start + std::chrono::seconds(1));
            EXPECT_EQ(control.version().value(), "v2");
            const ControlResult result = control.onCommand({ 4, ControlAction::SetRole, "draining" }, start);
            EXPECT_EQ(result, checks ? ControlResult::OldToken : ControlResult::Accepted);
            EXPECT_EQ(control.role(), checks ? EngineRole::Serving : EngineRole::Draining);
            EXPECT_EQ(control.applied().back().wasOld, !checks);
        }
    }

    // Guards against version faults that hit the wrong requests: a rollout test would then prove nothing.
    TEST(VersionBehaviour, FailsExactlyTheDescribedRequests)
    {
        const auto fails = [](const char* text, const VersionSituation& situation) {
            return failsRequest(parseVersionBehaviour(text).value(), situation);
        };
        EXPECT_FALSE(fails("good", {}));
        EXPECT_TRUE(fails("fails", {}));
        EXPECT_FALSE(fails("fails-after-requests:3", { .requests = 2 }));
        EXPECT_TRUE(fails("fails-after-requests:3", { .requests = 3 }));
        EXPECT_FALSE(fails("fails-after-seconds:2", { .age = std::chrono::seconds(1) }));
        EXPECT_TRUE(fails("fails-after-seconds:2", { .age = std::chrono::seconds(2) }));
        EXPECT_FALSE(fails("fails-above-load:4", { .load = 4 }));
        EXPECT_TRUE(fails("fails-above-load:4", { .load = 5 }));
        EXPECT_FALSE(fails("fails-on-route:/b", { .path = "/a" }));
        EXPECT_TRUE(fails("fails-on-route:/b", { .path = "/b/1" }));
        EXPECT_DOUBLE_EQ(slowdown(parseVersionBehaviour("slow:2.5").value()), 2.5);
        EXPECT_FALSE(parseVersionBehaviour("fails-after-requests:"));
        EXPECT_FALSE(parseVersionBehaviour("slow:-1"));
    }

    // Guards against a cache that grows past its memory or evicts the start of a prefix before its end.
    TEST(PrefixCache, EvictsLeastRecentlyUsedTailFirst)
    {
        PrefixCache cache(4);
        cache.insert({ 1, 2, 3 });
        const PrefixCacheChange change = cache.insert({ 7, 8 });
        EXPECT_EQ(change.evicted, std::vector<Fingerprint>({ 3 }));
        EXPECT_EQ(cache.size(), 4u);
        EXPECT_EQ(cache.lookup({ 1, 2, 3 }), 2u);
    }

} // namespace
} // namespace teaselshore
