#include "teaselshore/control/lease.hpp"

#include <array>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/control/rollout_simulation.hpp"

namespace teaselshore {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceName service { "assistant" };

    // Guards against two nodes that act at the same time, and against a token that does not grow with the holder, under
    // pauses, lost answers, late writes, outages and wrong member lists.
    RC_GTEST_PROP(LeaseHolder, OnlyOneNodeHoldsIt, (std::uint64_t seed))
    {
        RandomSource random(seed);
        ObjectFake objects;
        ObjectCallIds ids;
        const std::array names { NodeId("a"), NodeId("b"), NodeId("c") };
        std::vector<LeaseHolder> holders;
        holders.reserve(names.size());
        for (const NodeId& name : names)
            holders.emplace_back(name, service);
        std::array<Instant, 3> pausedUntil {};
        std::vector<std::pair<std::size_t, ObjectCommand>> late;
        std::uint64_t highest = 0;
        for (Instant now {}; now < Instant(seconds(200)); now += milliseconds(250)) {
            objects.down = random.below(40) == 0;
            for (const auto& [index, command] : std::exchange(late, {}))
                holders[index].onResult(objects.call(command), now, ids);
            for (std::size_t i = 0; i < holders.size(); i++) {
                if (random.below(100) == 0)
                    pausedUntil[i] = now + seconds(random.below(30));
                if (random.below(50) == 0) {
                    std::set<NodeId> alive { names[i] };
                    for (const NodeId& name : names) {
                        if (random.below(3) != 0)
                            alive.insert(name);
                    }
                    holders[i].setMembers(std::move(alive));
                }
                if (now < pausedUntil[i])
                    continue;
                for (const ObjectCommand& command : holders[i].tick(now, ids)) {
                    if (random.below(5) == 0)
                        late.emplace_back(i, command);
                    else if (random.below(8) == 0)
                        objects.call(command);
                    else
                        holders[i].onResult(objects.call(command), now, ids);
                }
            }
            int holding = 0;
            for (const LeaseHolder& holder : holders) {
                const auto token = holder.fencingToken(now);
                holding += token ? 1 : 0;
                RC_ASSERT(!token || *token >= highest);
                highest = std::max(highest, token.value_or(0));
            }
            RC_ASSERT(holding <= 1);
        }
        RC_ASSERT(highest > 0);
    }

    // Guards against a service that stays without controller after the death of the holder.
    TEST(LeaseHolder, IsTakenOverAfterDeath)
    {
        ObjectFake objects;
        ObjectCallIds ids;
        LeaseHolder first(NodeId("a"), service);
        LeaseHolder second(NodeId("b"), service);
        first.setMembers({ NodeId("a") });
        const auto run = [&](LeaseHolder& holder, Instant now) {
            for (const ObjectCommand& command : holder.tick(now, ids))
                holder.onResult(objects.call(command), now, ids);
        };
        for (int second = 0; second < 5; second++)
            run(first, Instant(seconds(second)));
        EXPECT_EQ(first.fencingToken(Instant(seconds(5))), 1U);
        second.setMembers({ NodeId("b") });
        for (int time = 5; time < 30; time++)
            run(second, Instant(seconds(time)));
        EXPECT_FALSE(first.fencingToken(Instant(seconds(30))));
        EXPECT_EQ(second.fencingToken(Instant(seconds(30))), 2U);
    }

    // Guards against a planned stop after which the next controller has to wait for the end of the lease.
    TEST(LeaseHolder, IsGivenUpAtStop)
    {
        ObjectFake objects;
        ObjectCallIds ids;
        LeaseHolder holder(NodeId("a"), service);
        holder.setMembers({ NodeId("a") });
        const auto run = [&](int second) {
            for (const ObjectCommand& command : holder.tick(Instant(seconds(second)), ids))
                holder.onResult(objects.call(command), Instant(seconds(second)), ids);
        };
        run(0);
        run(1);
        ASSERT_TRUE(holder.fencingToken(Instant(seconds(1))));
        holder.stop();
        run(2);
        EXPECT_FALSE(holder.fencingToken(Instant(seconds(2))));
        const auto lease = Lease::decode(objects.objects.at("leases/assistant").first);
        ASSERT_TRUE(lease);
        EXPECT_TRUE(lease->holder.empty());
    }

} // namespace
} // namespace teaselshore
