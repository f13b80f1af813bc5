#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    /// Time within which one holder may not follow another and then act again; the default of EntrySettings.
    constexpr Duration leaseLength = 3s;

    /// @brief Returns what a cloud that checks no tokens could not have undone: a call with a lower token than an
    /// earlier one for the same task, or two holders in turn within the length of a lease. Empty if there is nothing.
    std::string findConflict(const std::vector<EntryFleet::CloudCall>& calls)
    {
        std::map<std::string, std::vector<EntryFleet::CloudCall>> tasks;
        for (const EntryFleet::CloudCall& call : calls) {
            std::vector<EntryFleet::CloudCall>& earlier = tasks[call.task];
            for (const EntryFleet::CloudCall& other : earlier) {
                if (other.token > call.token)
                    return call.task + ": " + call.host + " acted with token " + std::to_string(call.token) + " after "
                        + std::to_string(other.token) + " of " + other.host;
            }
            // From the latest on: another holder, and before it this one.
            bool seenOther = false;
            for (auto other = earlier.rbegin(); other != earlier.rend() && call.at - other->at < leaseLength; ++other) {
                if (other->host == call.host && seenOther)
                    return call.task + ": " + call.host + " acted before and after another holder";
                seenOther = seenOther || other->host != call.host;
            }
            earlier.push_back(call);
        }
        return {};
    }

    EntryFleet uncheckedFleet(std::size_t nodes, std::uint64_t seed)
    {
        EntryFleet fleet(nodes, seed);
        fleet.checksTokens = false;
        return fleet;
    }

    void restore(EntryFleet& fleet, const SimulatedPlatform::Copy& copy)
    {
        fleet.platform.restore(copy);
        for (const auto& [host, node] : fleet.nodes) {
            if (!fleet.frozen.contains(host))
                fleet.handle(host, PlatformRestored {});
        }
    }

    // Guards against a holder that was paused, at any moment of its lease, and acts when it wakes up although another
    // one has acted since, before a cloud that does not check tokens.
    TEST(UncheckedTokens, PausedHolderDoesNotActOnItsOldLease)
    {
        for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 81 } }) {
            const int pauses = nodes == 9 ? 24 : 3;
            EntryFleet fleet = uncheckedFleet(nodes, nodes);
            fleet.advance(12s);
            for (int pause = 0; pause < pauses; ++pause) {
                ASSERT_FALSE(fleet.leaseHolders().empty());
                const std::string holder = fleet.leaseHolders().at(0);
                fleet.frozen.insert(holder);
                fleet.advance(6s + pause * 100ms);
                fleet.frozen.erase(holder);
                fleet.advance(4s + pause * 70ms);
            }
            std::set<std::string> holders;
            for (const EntryFleet::CloudCall& call : fleet.cloudCalls)
                holders.insert(call.host);
            EXPECT_GE(holders.size(), 2u) << "another node took over";
            EXPECT_EQ(findConflict(fleet.cloudCalls), "") << nodes;
        }
    }

    // Guards against a lease that a late write renews for a holder that gave it up, or takes from one that acts.
    TEST(UncheckedTokens, LateWritesOfTheLeaseGiveItToNobodyElse)
    {
        for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 81 } }) {
            EntryFleet fleet = uncheckedFleet(nodes, nodes + 1);
            fleet.writesLate = true;
            fleet.advance(12s);
            fleet.lossPercent = 40;
            fleet.advance(nodes == 9 ? 120s : 25s);
            fleet.lossPercent = 0;
            fleet.advance(15s);
            EXPECT_FALSE(fleet.cloudCalls.empty());
            EXPECT_EQ(findConflict(fleet.cloudCalls), "") << nodes;
        }
    }

    // Guards against a token that is given out again, or a lease that two nodes hold, after the platform was restored
    // from an older copy.
    TEST(UncheckedTokens, RestoredPlatformGivesNoTokenAnew)
    {
        for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 81 } }) {
            EntryFleet fleet = uncheckedFleet(nodes, nodes + 2);
            fleet.advance(12s);
            for (const Duration age : { 2s, 7s }) {
                const SimulatedPlatform::Copy copy = fleet.platform.copy();
                const std::string holder = fleet.leaseHolders().at(0);
                fleet.frozen.insert(holder);
                fleet.advance(age);
                restore(fleet, copy);
                fleet.advance(6s);
                fleet.frozen.erase(holder);
                fleet.handle(holder, PlatformRestored {});
                fleet.advance(8s);
            }
            EXPECT_EQ(findConflict(fleet.cloudCalls), "") << nodes;
        }
    }

    // Guards against any mix of these, with cuts and restarts.
    RC_GTEST_PROP(UncheckedTokens, HoldersFollowEachOtherUnderFaults, ())
    {
        EntryFleet fleet = uncheckedFleet(9, *rc::gen::inRange<std::uint64_t>(1, 100'000));
        fleet.lossPercent = *rc::gen::inRange(0, 40);
        fleet.writesLate = *rc::gen::arbitrary<bool>();
        fleet.advance(10s);
        SimulatedPlatform::Copy copy = fleet.platform.copy();
        const int steps = *rc::gen::inRange(3, 15);
        for (int step = 0; step < steps; ++step) {
            const std::vector<std::string> holders = fleet.leaseHolders();
            const std::string host = holders.empty() || *rc::gen::inRange(0, 3) == 0
                ? "host-" + std::to_string(*rc::gen::inRange(0, 9))
                : holders.at(0);
            const int fault = *rc::gen::inRange(0, EntryFleet::faultCount + 2);
            if (fault < EntryFleet::faultCount)
                fleet.cause(fault, host);
            else if (fault == EntryFleet::faultCount)
                copy = fleet.platform.copy();
            else
                restore(fleet, copy);
            fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(100, 5000)));
        }
        fleet.cutFromPlatform.clear();
        fleet.frozen.clear();
        fleet.advance(6s);
        const std::string conflict = findConflict(fleet.cloudCalls);
        if (!conflict.empty())
            RC_FAIL(conflict);
    }

} // namespace
} // namespace teaselshore
