#include <algorithm>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "slot_owner_test_support.hpp"

namespace teaselshore {
namespace {

    using test::Simulation;

    constexpr std::size_t seedsPerCase = 2;
    constexpr std::uint64_t mutationSeeds = 30;
    // Objects that may be left after the quiet phase: three journals of some checkpoint lengths and recent seals.
    constexpr std::size_t objectBound = 150;

    struct Totals {
        std::size_t events = 0;
        std::size_t seeds = 0;
        std::size_t objects = 0;
        std::map<std::string, std::size_t> occurrences;
    };

    void simulate(std::uint64_t seed, Totals& totals)
    {
        Simulation simulation({ seed });
        simulation.run();
        for (const std::string& violation : simulation.violations())
            RC_FAIL(violation);
        for (const auto& [kind, count] : simulation.occurrences())
            totals.occurrences[kind] += count;
        totals.events += simulation.events();
        totals.objects = std::max(totals.objects, simulation.objects());
        ++totals.seeds;
    }

    // Guards against double execution, false not_run, lost asynchronous requests, missing or second answers, exceeded
    // write budgets and slots without an owner, under every fault of the simulation. Requires each kind of fault to
    // occur.
    TEST(SlotOwner, KeepsGuaranteesUnderFaults)
    {
        Totals totals;
        const bool holds = rc::check("guarantees under faults", [&] {
            const auto seeds = *rc::gen::noShrink(
                rc::gen::container<std::vector<std::uint64_t>>(seedsPerCase, rc::gen::arbitrary<std::uint64_t>()));
            for (const std::uint64_t seed : seeds)
                simulate(seed, totals);
        });
        ASSERT_TRUE(holds);
        for (const auto& [kind, count] : totals.occurrences)
            fmt::print("{}: {}\n", kind, count);
        fmt::print("seeds: {}, events: {}, most objects: {}\n", totals.seeds, totals.events, totals.objects);
        for (const char* kind : { "kill", "short pause", "pause past suspicion", "cut from store", "cut from peers",
                 "store refuses", "store hangs", "lost write answer", "delayed message", "duplicate key",
                 "upstream refused", "upstream request lost", "upstream answer lost", "forward lost", "planned stop",
                 "hand-over taken", "stop completed", "ownership lost", "outcome lookup", "answered not_run",
                 "answered unknown", "answered accepted", "answered finished", "slots claimed",
                 "slots moved to a joined member", "recovered accepted", "recovered dispatching" })
            EXPECT_GT(totals.occurrences[kind], 0u) << kind;
        EXPECT_GE(totals.seeds, 200u);
        EXPECT_GE(totals.events, 1'000'000u);
        EXPECT_LE(totals.objects, objectBound);
    }

    // Guards against refusing requests when no node, link or object API fails as a whole.
    TEST(SlotOwner, AnswersMostRequestsWithoutOutages)
    {
        Simulation simulation({ .seed = 5, .faults = false });
        simulation.run();
        EXPECT_TRUE(simulation.violations().empty());
        std::map<std::string, std::size_t> counts = simulation.occurrences();
        EXPECT_GT(counts["answered finished"] + counts["answered accepted"], 3 * counts["answered not_run"]);
        EXPECT_EQ(counts["ownership lost"], 0u);
    }

    // Returns true if one of the seeds shows a violation that contains the text.
    bool detects(const SlotOwnerMutations& mutations, const std::string& text)
    {
        for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
            Simulation simulation({ .seed = seed, .mutations = mutations });
            simulation.run();
            for (const std::string& violation : simulation.violations()) {
                if (violation.find(text) != std::string::npos)
                    return true;
            }
        }
        return false;
    }

    // Guards against a checker that cannot see an upstream call whose record was not durable.
    TEST(SlotOwnerMutation, DispatchBeforeCommitIsDetected)
    {
        EXPECT_TRUE(detects({ .dispatchBeforeCommit = true }, "ran"));
    }

    // Guards against a checker that cannot see two owners of a slot that both append.
    TEST(SlotOwnerMutation, MissingSealIsDetected) { EXPECT_TRUE(detects({ .skipSeal = true }, "key ran twice")); }

    // Guards against a checker that trusts a not_run answer to a request that may have run.
    TEST(SlotOwnerMutation, NotRunOnUnknownIsDetected)
    {
        EXPECT_TRUE(detects({ .notRunOnUnknown = true }, "not_run for a request that ran"));
    }

    // Guards against a checker that cannot see a recovered request being sent a second time.
    TEST(SlotOwnerMutation, RerunOfDispatchingIsDetected)
    {
        EXPECT_TRUE(detects({ .rerunDispatching = true }, "key ran twice"));
    }

    // Guards against a checker that does not miss an asynchronous request that was confirmed before it was durable.
    TEST(SlotOwnerMutation, AnswerBeforeCommitIsDetected)
    {
        EXPECT_TRUE(detects({ .answerBeforeCommit = true }, "accepted request did not finish"));
    }

} // namespace
} // namespace teaselshore
