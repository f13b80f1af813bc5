#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "slot_owner_test_support.hpp"

namespace teaselshore {
namespace {

    using test::Simulation;
    using test::SimulationSettings;

    constexpr std::uint64_t seedCount = 200;

    // Guards against double execution, false not_run, lost patient requests, missing or second answers and slots
    // without an owner, under every fault of the simulation. Requires that each kind of fault did occur.
    TEST(SlotOwner, KeepsGuaranteesUnderFaults)
    {
        std::map<std::string, std::size_t> counts;
        std::size_t events = 0;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            Simulation simulation({ seed });
            simulation.run();
            for (const std::string& violation : simulation.violations())
                ADD_FAILURE() << violation;
            for (const auto& [kind, count] : simulation.occurrences())
                counts[kind] += count;
            events += simulation.events();
            if (HasFailure())
                break;
        }
        for (const auto& [kind, count] : counts)
            fmt::print("{}: {}\n", kind, count);
        fmt::print("events: {}\n", events);
        for (const char* kind : { "kill", "short pause", "pause past suspicion", "cut from store", "cut from peers",
                 "store refuses", "store hangs", "lost write answer", "delayed message", "duplicate key",
                 "upstream refused", "upstream request lost", "upstream answer lost", "forward lost", "planned stop",
                 "hand-over taken", "stop completed", "ownership lost", "outcome lookup", "answered not_run",
                 "answered unknown", "answered accepted", "answered finished" })
            EXPECT_GT(counts[kind], 0u) << kind;
        EXPECT_GE(events, 1'000'000u);
    }

} // namespace
} // namespace teaselshore
