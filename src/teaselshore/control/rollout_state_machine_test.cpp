#include "teaselshore/control/rollout_state_machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/control/rollout_simulation.hpp"

namespace teaselshore {
namespace {

    using std::chrono::seconds;

    const VersionPair pair { ServiceName("assistant"), VersionName("v1"), VersionName("v2"), WallTime(seconds(600)) };
    const EvidenceCell chat { RouteName("chat"), ClassName("interactive"), LoadBand::Low };

    RolloutTime at(int second) { return { Instant(seconds(second)), WallTime(seconds(second)) }; }

    const FaultScope scope { chat.route, chat.latencyClass, chat.load };

    EvidenceCounts successes(std::uint64_t count)
    {
        EvidenceCounts counts;
        for (std::uint64_t i = 0; i < count; i++)
            counts.addSuccess(std::chrono::milliseconds(80 + i % 20));
        return counts;
    }

    VersionReport goodReport(std::uint64_t sequence)
    {
        return { pair, NodeId("node-1"), sequence,
            { { chat, pair.from, successes(500) }, { chat, pair.to, successes(400) } }, std::nullopt };
    }

    // Controller with its own lease. A shared object API answers its calls unless the test holds them back.
    struct Controller {
        Controller(FakeObjectApi& objects, std::optional<std::uint64_t> token)
            : objects(objects)
            , token(token)
        {
            this->move.setPair(pair);
        }

        void tick(int second)
        {
            for (const ObjectCommand& command : this->move.tick(at(second), this->token, this->ids))
                this->move.onResult(this->objects.call(command), at(second).now);
        }

        void run(int from, int to)
        {
            for (int second = from; second < to; second++) {
                this->move.onReport(goodReport(static_cast<std::uint64_t>(second) + 1), at(second).now);
                this->tick(second);
            }
        }

        FakeObjectApi& objects;
        std::optional<std::uint64_t> token;
        RolloutStateMachine move { pair.service };
        ObjectCallIds ids { 1ULL << 62 };
    };

    // Guards against a new controller that restarts the rollout or loses the evidence of its step.
    TEST(RolloutStateMachine, ContinuesUnderNewController)
    {
        FakeObjectApi objects;
        Controller first(objects, 1);
        first.run(0, 200);
        ASSERT_TRUE(first.move.record());
        const RolloutRecord before = *first.move.record();
        ASSERT_GT(before.step, 1U);
        Controller second(objects, 2);
        second.tick(200);
        second.tick(201);
        ASSERT_TRUE(second.move.record());
        EXPECT_EQ(second.move.record()->step, before.step);
        EXPECT_EQ(second.move.record()->share, before.share);
        EXPECT_EQ(second.move.record()->startedAt, before.startedAt);
        EXPECT_EQ(second.move.record()->fencingToken, 2U);
        second.run(202, 600);
        EXPECT_EQ(second.move.record()->state, RolloutState::Complete);
    }

    // Guards against a paused controller that overwrites its successor's decision, for any order of their writes.
    RC_GTEST_PROP(RolloutStateMachine, OldControllerCannotOverwriteSuccessor, ())
    {
        FakeObjectApi objects;
        Controller old(objects, 1);
        const int change = *rc::gen::inRange(10, 300);
        old.run(0, change);
        Controller next(objects, 2);
        const int late = *rc::gen::inRange(0, 4);
        std::vector<ObjectCommand> held;
        for (int second = change; second < 600; second++) {
            old.move.onReport(goodReport(static_cast<std::uint64_t>(second) + 1), at(second).now);
            // The old controller's writes are delayed by some ticks.
            if (second < change + late) {
                for (ObjectCommand& command : old.move.tick(at(second), old.token, old.ids))
                    held.push_back(std::move(command));
            } else {
                for (const ObjectCommand& command : std::exchange(held, {}))
                    old.move.onResult(objects.call(command), at(second).now);
                old.tick(second);
            }
            next.move.onReport(goodReport(static_cast<std::uint64_t>(second) + 1), at(second).now);
            next.tick(second);
            if (second < change + 10)
                continue;
            const auto stored = RolloutRecord::decode(objects.objects.at(rolloutKey(pair.service)).first);
            RC_ASSERT(stored.has_value());
            RC_ASSERT(stored->fencingToken == 2U);
        }
        RC_ASSERT(next.move.record()->state == RolloutState::Complete);
    }

    // Guards against a share that grows during an outage, when no other controller could take over, and against a
    // rollback that waits for the end of the outage.
    TEST(RolloutStateMachine, OutageFreezesShareButNotRollback)
    {
        FakeObjectApi objects;
        Controller controller(objects, 1);
        controller.run(0, 150);
        const double share = controller.move.share().value();
        objects.down = true;
        controller.run(150, 400);
        EXPECT_EQ(controller.move.share(), share);
        VersionFault fault { FaultKind::Failures, scope, successes(10), {} };
        fault.to.addFailure();
        controller.move.onEvidence({ pair, NodeId("node-3"), fault });
        EXPECT_EQ(controller.move.share(), 0);
        objects.down = false;
        for (int second = 400; second < 410; second++)
            controller.tick(second);
        EXPECT_EQ(controller.move.record()->state, RolloutState::RolledBack);
        EXPECT_NE(controller.move.record()->reason.find("1 of 1 attempts failed"), std::string::npos);
    }

    // Guards against a bad version that is rolled out again without a change by the operator.
    TEST(RolloutStateMachine, RolledBackVersionIsTriedAgainOnlyAfterChange)
    {
        FakeObjectApi objects;
        Controller controller(objects, 1);
        controller.run(0, 30);
        controller.move.onEvidence({ pair, NodeId("node-3"), { FaultKind::Failures, scope, {}, {} } });
        controller.run(30, 60);
        ASSERT_EQ(controller.move.record()->state, RolloutState::RolledBack);
        Controller next(objects, 2);
        next.run(60, 300);
        EXPECT_EQ(next.move.share(), 0);
        VersionPair changed = pair;
        changed.moveBy += seconds(600);
        next.move.setPair(changed);
        for (int second = 300; second < 310; second++)
            next.tick(second);
        ASSERT_TRUE(next.move.record());
        EXPECT_EQ(next.move.record()->state, RolloutState::InProgress);
        EXPECT_GT(next.move.share().value(), 0);
    }

    // Guards against a second write after a lost response, which would change or repeat a step.
    TEST(RolloutStateMachine, ReadsBackWriteWithoutResponse)
    {
        FakeObjectApi objects;
        Controller controller(objects, 1);
        controller.tick(0);
        const auto commands = controller.move.tick(at(1), controller.token, controller.ids);
        ASSERT_EQ(commands.size(), 1U);
        objects.call(commands.front());
        controller.tick(2);
        EXPECT_FALSE(controller.move.record());
        controller.tick(4);
        ASSERT_TRUE(controller.move.record());
        EXPECT_EQ(controller.move.record()->startedAt, at(1).wall);
    }

    // Guards against a rollout that grows without evidence because its deadline is near or over.
    TEST(RolloutStateMachine, NeedsEvidenceEvenAfterDeadline)
    {
        FakeObjectApi objects;
        Controller controller(objects, 1);
        for (int second = 0; second < 2000; second++)
            controller.tick(second);
        EXPECT_EQ(controller.move.record()->step, 0U);
        EXPECT_NE(controller.move.record()->reason.find("waiting for traffic"), std::string::npos);
    }

    // Guards against a process that ends since a name or a reason holds bytes that are not UTF-8.
    TEST(RolloutRecord, EncodesAnyBytes)
    {
        const RolloutRecord record { pair, RolloutState::RolledBack, "route \xff\xfe failed", 3, 0.25,
            WallTime(seconds(5)), WallTime(seconds(6)), 7, {} };
        const auto decoded = RolloutRecord::decode(record.encode());
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->reason, "route \xEF\xBF\xBD\xEF\xBF\xBD failed");
        EXPECT_EQ(decoded->pair, record.pair);
    }

    // Guards against a record that changes when it is stored and read back.
    TEST(RolloutRecord, RoundTripsThroughEncoding)
    {
        RolloutRecord record { pair, RolloutState::RolledBack, "reason \"quoted\"", 3, 0.25, WallTime(seconds(5)),
            WallTime(seconds(6)), 7, { { chat, successes(3), successes(5) } } };
        EXPECT_EQ(RolloutRecord::decode(record.encode()), record);
        EXPECT_FALSE(RolloutRecord::decode("{\"state\":\"complete\"}"));
        EXPECT_FALSE(RolloutRecord::decode("[]"));
    }

} // namespace
} // namespace teaselshore
