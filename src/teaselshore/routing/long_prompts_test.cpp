#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iostream>
#include <memory>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "queueing_fake.hpp"
#include "routing_test_support.hpp"
#include "teaselshore/base/random.hpp"

namespace teaselshore {
namespace {

    using namespace test_support;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t nodeCount = 8;
    constexpr std::uint32_t blockTokens = 64;
    constexpr std::size_t prefixCount = 30;
    constexpr Duration warmUp = seconds(4);
    constexpr Duration loadEnd = seconds(14);
    constexpr Duration digestPeriod = milliseconds(250);

    struct Kind {
        ClassName name;
        Duration deadline {};
        std::uint32_t sharedTokens = 0;
        double meanOwnTokens = 0;
        double sigma = 0;
        std::uint32_t outputTokens = 0;
    };
    const std::array<Kind, 2> kinds { { { ClassName("short"), seconds(3), 568, 1800, 0.3, 20 },
        { ClassName("long"), seconds(15), 5382, 6610, 1.1, 40 } } };
    constexpr double largestOwnTokens = 54600;

    struct Load {
        const char* name;
        std::size_t engines = 24;
        /// Requests per second, by kind.
        std::array<double, 2> rates {};
        bool statesSizes = true;
        /// Time after which the rates of both kinds are exchanged for those of `otherRates` and back; zero if never.
        Duration changeEvery {};
        std::array<double, 2> otherRates {};
        std::array<Duration, 2> targets { milliseconds(400), milliseconds(1500) };
    };

    struct Variant {
        const char* name;
        double weight = 0;
        bool digest = false;
    };

    struct Sample {
        std::size_t kind = 0;
        double tokens = 0;
        /// Seconds; infinite if there was none before the deadline.
        double firstEvent = std::numeric_limits<double>::infinity();
    };

    /// @brief Several nodes that share engines; each knows its own requests, the load that responses report, and, with
    /// the digest, what the others sent.
    class Fleet {
    public:
        Fleet(const Load& load, const Variant& variant, std::uint64_t seed)
            : load(load)
            , variant(variant)
            , random(seed)
        {
            Configuration configuration = makeConfiguration(1, load.engines, 16);
            configuration.prices.clear();
            configuration.classes.clear();
            for (std::size_t kind = 0; kind < kinds.size(); kind++) {
                configuration.classes.push_back(
                    { kinds[kind].name, 0, load.targets[kind], std::nullopt, kinds[kind].deadline });
            }
            for (std::size_t node = 0; node < nodeCount; node++) {
                RouterSettings settings;
                settings.zone = zoneName(0);
                settings.seed = seed * nodeCount + node;
                settings.tokensPerBlock = blockTokens;
                settings.interactive.blocking = variant.weight;
                this->routers.emplace_back(std::move(settings));
                this->routers.back().onConfiguration(configuration, this->events.now());
            }
            this->outstandingTokens.assign(nodeCount, std::vector<double>(load.engines));
            for (std::size_t engine = 0; engine < load.engines; engine++) {
                this->engines.emplace_back(this->events, 16);
                this->engines.back().prefillPerSecond = 97000;
                this->engines.back().maximumCachedPrefixes = 16;
            }
            for (std::size_t kind = 0; kind < kinds.size(); kind++)
                this->scheduleArrival(kind);
            this->events.after(digestPeriod, [this] { this->exchange(); });
        }

        std::vector<std::shared_ptr<Sample>> run()
        {
            this->events.runUntil(Instant(loadEnd + seconds(16)));
            return std::move(this->samples);
        }

    private:
        double rateOf(std::size_t kind) const
        {
            const bool other = this->load.changeEvery > Duration::zero()
                && (this->events.now().time_since_epoch() / this->load.changeEvery) % 2 == 1;
            return other ? this->load.otherRates[kind] : this->load.rates[kind];
        }

        void scheduleArrival(std::size_t kind)
        {
            const double rate = this->rateOf(kind);
            const Duration wait = rate > 0 ? fromSeconds(this->random.exponential(1 / rate)) : milliseconds(100);
            this->events.after(wait, [this, kind, rate] {
                if (this->events.now() > Instant(loadEnd))
                    return;
                if (rate > 0)
                    this->arrive(kind);
                this->scheduleArrival(kind);
            });
        }

        void arrive(std::size_t number)
        {
            const Kind& kind = kinds[number];
            auto sample = std::make_shared<Sample>();
            sample->kind = number;
            const double normal = std::sqrt(-2 * std::log(1 - this->random.uniform()))
                * std::cos(2 * 3.14159265 * this->random.uniform());
            const double own = std::min(
                largestOwnTokens, kind.meanOwnTokens * std::exp(kind.sigma * normal - kind.sigma * kind.sigma / 2));
            sample->tokens = kind.sharedTokens + own;
            if (this->events.now() >= Instant(warmUp))
                this->samples.push_back(sample);
            RoutingRequest request;
            request.service = assistant;
            request.latencyClass = kind.name;
            const std::string prefix = fmt::format("{} {}", kind.name.value(), this->random.below(prefixCount));
            const std::size_t shared = kind.sharedTokens / blockTokens;
            if (this->load.statesSizes) {
                request.promptTokens = static_cast<std::uint32_t>(sample->tokens);
                request.expectedOutputTokens = kind.outputTokens;
                request.prefixBlocks = promptBlocks(
                    prefix, request.promptTokens / blockTokens, std::to_string(++this->arrivals), shared);
            }
            this->attempt(this->random.below(nodeCount), request, sample, fingerprint(prefix), this->events.now());
        }

        void attempt(std::size_t node, const RoutingRequest& request, const std::shared_ptr<Sample>& sample,
            Fingerprint prefix, Instant arrivedAt)
        {
            const Kind& kind = kinds[sample->kind];
            const Instant now = this->events.now();
            if (now - arrivedAt > kind.deadline)
                return;
            Router& router = this->routers[node];
            const auto decision = router.choose(request, now);
            if (!decision) {
                this->events.after(
                    milliseconds(20), [=, this] { this->attempt(node, request, sample, prefix, arrivedAt); });
                return;
            }
            const DispatchId dispatch = router.onDispatched(request, *decision, now);
            const std::size_t engine = std::stoul(decision->chosen.upstream.value().substr(7));
            const double sent = request.promptTokens - decision->chosen.cachedTokens;
            this->outstandingTokens[node][engine] += sent;
            auto job = std::make_shared<EngineJob>();
            job->prefillTokens = sample->tokens;
            job->cacheableTokens = kind.sharedTokens;
            job->prefix = prefix;
            job->outputTokens = kind.outputTokens;
            job->onFirstToken = [=, this] {
                const Instant at = this->events.now();
                sample->firstEvent = toSeconds(at - arrivedAt);
                this->outstandingTokens[node][engine] -= sent;
                this->report(node, engine);
                this->routers[node].onFirstToken(dispatch, at);
            };
            job->onEnd = [=, this] {
                this->routers[node].onFinished(
                    dispatch, AttemptOutcome::Completed, kinds[sample->kind].outputTokens, this->events.now());
            };
            this->engines[engine].submit(job);
        }

        void report(std::size_t node, std::size_t engine)
        {
            const FakeEngine& fake = this->engines[engine];
            this->routers[node].onLoadReport(
                { engineId(engine), static_cast<std::uint32_t>(fake.queued()), fake.running, {} }, this->events.now());
        }

        void exchange()
        {
            for (std::size_t engine = 0; this->variant.digest && engine < this->engines.size(); engine++) {
                double all = 0;
                for (const std::vector<double>& tokens : this->outstandingTokens)
                    all += tokens[engine];
                for (std::size_t node = 0; node < nodeCount; node++) {
                    this->routers[node].onOthersPrefill(
                        engineId(engine), all - this->outstandingTokens[node][engine], this->events.now());
                }
            }
            if (this->events.now() < Instant(loadEnd))
                this->events.after(digestPeriod, [this] { this->exchange(); });
        }

        const Load& load;
        const Variant& variant;
        RandomSource random;
        EventQueue events;
        std::deque<Router> routers;
        std::deque<FakeEngine> engines;
        std::vector<std::vector<double>> outstandingTokens;
        std::vector<std::shared_ptr<Sample>> samples;
        std::uint64_t arrivals = 0;
    };

    struct Result {
        std::size_t count = 0;
        double median = 0;
        double p99 = 0;
        double inTime = 0;
        std::array<double, 10> inTimeByTenth {};
    };

    Result summarise(std::vector<Sample> samples, Duration target)
    {
        Result result;
        result.count = samples.size();
        if (samples.empty())
            return result;
        std::sort(samples.begin(), samples.end(), [](const Sample& a, const Sample& b) { return a.tokens < b.tokens; });
        const auto inTimeWithin = [&](std::size_t from, std::size_t to) {
            std::size_t count = 0;
            for (std::size_t i = from; i < to; i++)
                count += samples[i].firstEvent <= toSeconds(target) ? 1 : 0;
            return static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(1, to - from));
        };
        const std::size_t size = samples.size();
        for (std::size_t tenth = 0; tenth < 10; tenth++)
            result.inTimeByTenth[tenth] = inTimeWithin(size * tenth / 10, size * (tenth + 1) / 10);
        result.inTime = inTimeWithin(0, size);
        std::sort(samples.begin(), samples.end(),
            [](const Sample& a, const Sample& b) { return a.firstEvent < b.firstEvent; });
        result.median = samples[samples.size() / 2].firstEvent;
        result.p99 = samples[samples.size() * 99 / 100].firstEvent;
        return result;
    }

    std::array<Result, 2> play(const Load& load, const Variant& variant)
    {
        std::array<std::vector<Sample>, 2> samples;
        for (const std::uint64_t seed : { 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32 }) {
            for (const auto& sample : Fleet(load, variant, seed).run())
                samples[sample->kind].push_back(*sample);
        }
        std::array<Result, 2> results;
        for (std::size_t kind = 0; kind < kinds.size(); kind++) {
            results[kind] = summarise(samples[kind], load.targets[kind]);
            std::cout << fmt::format("{:26} {:16} {:5} {:6} {:6.0f} {:6.0f} {:7.4f} ", load.name, variant.name,
                kinds[kind].name.value(), results[kind].count, 1000 * results[kind].median, 1000 * results[kind].p99,
                results[kind].inTime);
            for (const double share : results[kind].inTimeByTenth)
                std::cout << fmt::format(" {:.3f}", share);
            std::cout << "\n";
        }
        return results;
    }

    const std::array<Load, 11> loads { { { "moderate", 24, { 250, 40 } }, { "short ones, few long", 24, { 560, 12 } },
        { "long ones", 24, { 150, 110 } }, { "only long ones", 24, { 0, 120 } }, { "one engine", 1, { 18, 2.5 } },
        { "no sizes", 24, { 250, 40 }, false }, { "changing mix", 24, { 450, 10 }, true, seconds(2), { 100, 100 } },
        { "tight target for long ones", 24, { 250, 60 }, true, {}, {}, { seconds(1), milliseconds(800) } },
        { "nine engines", 9, { 94, 15 } }, { "little load", 24, { 60, 10 } },
        { "similar targets", 24, { 250, 60 }, true, {}, {}, { milliseconds(600), seconds(1) } } } };

    constexpr Variant today { "today" };
    constexpr Variant term { "term", 1 };
    constexpr Variant digest { "digest", 0, true };
    constexpr Variant both { "term and digest", 1, true };
    /// Difference of shares that is not counted as a change; 13 of the 13,149 long prompts of a load.
    constexpr double noise = 0.001;

    const Load& loadNamed(std::string_view name)
    {
        return *std::find_if(loads.begin(), loads.end(), [&](const Load& load) { return load.name == name; });
    }

    void expectLargestServed(const std::array<Result, 2>& results)
    {
        for (const Result& result : results)
            EXPECT_GE(result.inTimeByTenth[9], 0.8 * result.inTime);
    }

    // Guards against short prompts that wait behind long ones, long ones that pay for it by being late, and largest
    // ones that are starved, whether or not the prompts of other nodes are known.
    TEST(LongPrompts, ShortOnesGainAndLongOnesLoseNothing)
    {
        for (const char* name :
            { "moderate", "short ones, few long", "long ones", "changing mix", "similar targets" }) {
            for (const auto& [without, with] : { std::pair(today, term), std::pair(digest, both) }) {
                const auto before = play(loadNamed(name), without);
                const auto after = play(loadNamed(name), with);
                // Where long prompts are few and those of other nodes are known, hardly any short one waits for them.
                const bool canGain = !with.digest || before[1].count * 10 > before[0].count;
                EXPECT_LT(1 - after[0].inTime, (canGain ? 1 : 1.1) * (1 - before[0].inTime))
                    << name << " " << with.name;
                EXPECT_LE(after[0].p99, 1.05 * before[0].p99) << name << " " << with.name;
                EXPECT_GE(after[1].inTime, before[1].inTime - noise) << name << " " << with.name;
                expectLargestServed(after);
            }
        }
    }

    // Guards against changes for deployments that gain nothing: with one engine, without sizes, with long prompts only,
    // with a tighter target for the long ones, and with so little load that nothing waits.
    TEST(LongPrompts, NothingGetsWorseWhereNothingCanBeGained)
    {
        for (const char* name : { "one engine", "no sizes", "only long ones" }) {
            const auto before = play(loadNamed(name), today);
            const auto after = play(loadNamed(name), term);
            for (std::size_t kind = 0; kind < kinds.size(); kind++) {
                EXPECT_EQ(after[kind].inTime, before[kind].inTime) << name;
                EXPECT_EQ(after[kind].p99, before[kind].p99) << name;
            }
        }
        for (const char* name : { "tight target for long ones", "nine engines", "little load" }) {
            const auto before = play(loadNamed(name), today);
            const auto after = play(loadNamed(name), term);
            for (std::size_t kind = 0; kind < kinds.size(); kind++) {
                EXPECT_GE(after[kind].inTime, before[kind].inTime - noise) << name;
                EXPECT_LE(after[kind].median, 1.35 * before[kind].median) << name;
            }
            expectLargestServed(after);
        }
    }

    RoutingRequest sizedRequest(std::size_t kind, std::uint32_t tokens)
    {
        RoutingRequest request = makeRequest(kinds[kind].name);
        request.promptTokens = tokens;
        return request;
    }

    /// Returns a router with equal engines that has seen an even mix of short and long prompts, all of which ended.
    Router warmRouter(std::size_t engines)
    {
        Configuration configuration = makeConfiguration(1, engines, 16);
        configuration.prices.clear();
        configuration.classes = { { kinds[0].name, 0, milliseconds(400), std::nullopt, seconds(3) },
            { kinds[1].name, 0, milliseconds(1500), std::nullopt, seconds(15) } };
        RouterSettings settings;
        settings.zone = zoneName(0);
        Router router(std::move(settings));
        Instant now {};
        router.onConfiguration(configuration, now);
        for (int i = 0; i < 600; i++) {
            const RoutingRequest request = sizedRequest(i % 10 == 0 ? 1 : 0, i % 10 == 0 ? 18000 : 2000);
            const auto decision = router.choose(request, now);
            const DispatchId dispatch = router.onDispatched(request, *decision, now);
            now += fromSeconds(request.promptTokens / 97000.0);
            router.onFirstToken(dispatch, now);
            now += milliseconds(30);
            router.onFinished(dispatch, AttemptOutcome::Completed, 2, now);
        }
        return router;
    }

    // Guards against a long prompt that misses its own target behind others although an engine is idle.
    TEST(LongPrompts, LongPromptLeavesTheOthersWhenItWouldBeLate)
    {
        Router router = warmRouter(8);
        const Instant now = Instant(seconds(60));
        std::set<UpstreamId> used;
        for (int i = 0; i < 24; i++) {
            const RoutingRequest request = sizedRequest(1, 54600);
            const auto decision = router.choose(request, now);
            ASSERT_TRUE(decision);
            if (i < 8) {
                EXPECT_LE(decision->chosen.predictedFirstToken, milliseconds(1500));
            }
            used.insert(decision->chosen.upstream);
            router.onDispatched(request, *decision, now);
        }
        EXPECT_EQ(used.size(), 8U);
    }

    // Guards against statements about other nodes' prompts that are ignored, replaced by older ones or kept for ever.
    TEST(LongPrompts, PromptsOfOtherNodesCountWhileTheyAreRecent)
    {
        const UpstreamCapacity capacity { 16, 1 };
        const LoadRates pool { 100000, 0.02F, 1, 2000 };
        LoadEstimate estimate;
        const auto predicted = [&](Instant now) {
            return estimate.predict({ 2000, 0, 0 }, capacity, pool, now).firstTokenSeconds;
        };
        const Instant stated = Instant(seconds(10));
        const double alone = predicted(stated);
        estimate.onOthersPrefill(50000, stated);
        EXPECT_NEAR(predicted(stated), alone + 0.5, 0.01);
        estimate.onOthersPrefill(0, stated - milliseconds(1));
        EXPECT_NEAR(predicted(stated), alone + 0.5, 0.01);
        EXPECT_LT(predicted(stated + seconds(1)), alone + 0.3);
        EXPECT_EQ(predicted(stated + seconds(3)), alone);
    }

} // namespace
} // namespace teaselshore
