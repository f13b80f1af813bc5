#include "teaselshore/ctl/apply_session.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/ctl/trace_tree.hpp"

namespace teaselshore {
namespace {

    // Guards against a lost answer that is reported as a failure although the text is in force.
    TEST(ApplySession, ReadsBackLostAnswer)
    {
        ApplySession session("new", std::nullopt);
        session.start();
        EXPECT_EQ(session.onRead(StoredConfiguration { 7, "old" }), ApplyStep(WriteText { 7 }));
        EXPECT_TRUE(std::holds_alternative<ReadCurrent>(session.onWritten(WriteUnknown { "closed" })));
        const ApplyStep end = session.onRead(StoredConfiguration { 8, "new" });
        EXPECT_EQ(end, ApplyStep(ApplyDone { 8, StoredConfiguration { 7, "old" }, true }));
    }

    // Guards against a first write that arrives after its repetition was sent: the conflict is with itself.
    TEST(ApplySession, TakesConflictWithOwnLateWriteForSuccess)
    {
        ApplySession session("new", std::nullopt);
        session.onRead(ObjectAbsent {});
        session.onWritten(WriteUnknown { "closed" });
        EXPECT_EQ(session.onRead(ObjectAbsent {}), ApplyStep(WriteText { std::nullopt }));
        EXPECT_TRUE(std::holds_alternative<ReadCurrent>(session.onWritten(WriteConflict {})));
        EXPECT_EQ(session.onRead(StoredConfiguration { 1, "new" }), ApplyStep(ApplyDone { 1, std::nullopt, true }));
    }

    // Guards against a change that overwrites a revision that its author has not seen.
    TEST(ApplySession, NeverWritesOverAnotherRevision)
    {
        ApplySession outdated("new", 6);
        EXPECT_EQ(outdated.onRead(StoredConfiguration { 7, "other" }),
            ApplyStep(ApplyLost { StoredConfiguration { 7, "other" }, false }));

        ApplySession raced("new", std::nullopt);
        raced.onRead(StoredConfiguration { 7, "old" });
        raced.onWritten(WriteConflict {});
        EXPECT_EQ(raced.onRead(StoredConfiguration { 8, "other" }),
            ApplyStep(ApplyLost { StoredConfiguration { 8, "other" }, false }));
    }

    // Guards against a report "nothing was changed" while a write may still take effect.
    TEST(ApplySession, SaysThatWriteMayTakeEffect)
    {
        ApplySession session("new", std::nullopt);
        session.onRead(StoredConfiguration { 7, "old" });
        ApplyStep step = session.onWritten(WriteUnknown { "closed" });
        for (int reads = 0; reads < 10 && std::holds_alternative<ReadCurrent>(step); ++reads)
            step = session.onRead(CallRefused { "refused" });
        EXPECT_EQ(step, ApplyStep(ApplyFailed { "refused", true }));
    }

    // Guards against wrong verdicts and endless loops under any order of lost answers, failed reads and other writers.
    RC_GTEST_PROP(ApplySession, VerdictMatchesObject, ())
    {
        std::uint64_t version = *rc::gen::inRange<std::uint64_t>(0, 3);
        std::string stored = version == 0 ? "" : "old";
        std::vector<std::uint64_t> ownVersions;
        bool othersWrote = false;
        ApplySession session("new", std::nullopt);
        ApplyStep step = session.start();
        int steps = 0;
        for (; steps < 50; ++steps) {
            const bool fails = *rc::gen::inRange(0, 3) == 0;
            if (*rc::gen::inRange(0, 6) == 0) {
                ++version;
                stored = "other";
                othersWrote = true;
            }
            if (std::holds_alternative<ReadCurrent>(step)) {
                if (fails)
                    step = session.onRead(CallRefused { "down" });
                else if (version == 0)
                    step = session.onRead(ObjectAbsent {});
                else
                    step = session.onRead(StoredConfiguration { version, stored });
                continue;
            }
            const auto* write = std::get_if<WriteText>(&step);
            if (write == nullptr)
                break;
            const bool applies = write->expected.value_or(0) == version && *rc::gen::inRange(0, 4) != 0;
            if (applies) {
                ownVersions.push_back(++version);
                stored = "new";
            }
            if (fails || (!applies && write->expected.value_or(0) == version))
                step = session.onWritten(WriteUnknown { "closed" });
            else if (applies)
                step = session.onWritten(WriteDone { version });
            else
                step = session.onWritten(WriteConflict {});
        }
        RC_ASSERT(steps < 50);
        RC_ASSERT(ownVersions.size() <= 1u);
        if (const auto* done = std::get_if<ApplyDone>(&step))
            RC_ASSERT(ownVersions == std::vector<std::uint64_t> { done->version });
        if (const auto* lost = std::get_if<ApplyLost>(&step)) {
            RC_ASSERT(othersWrote);
            RC_ASSERT(lost->mayHaveBeenInForce || ownVersions.empty());
        }
        if (const auto* failed = std::get_if<ApplyFailed>(&step))
            RC_ASSERT(failed->mayTakeEffect || ownVersions.empty());
    }

    // Guards against spans that are lost, listed twice, or never end because replies name each other as parents.
    TEST(TraceTree, KeepsEverySpanOnce)
    {
        const std::vector<TraceSpan> spans {
            { "c", "b", "node-2", "upstream", 30, 5, {} },
            { "b", "a", "node-2", "forward", 20, 20, {} },
            { "a", "", "node-1", "request", 10, 40, {} },
            { "b", "a", "node-2", "forward", 20, 20, {} },
            { "d", "gone", "node-3", "orphan", 15, 1, {} },
            { "x", "y", "node-4", "cycle", 50, 1, {} },
            { "y", "x", "node-4", "cycle", 51, 1, {} },
        };
        std::string shape;
        for (const TraceLine& line : joinSpans(spans))
            shape += line.span.spanId + std::to_string(line.depth);
        EXPECT_EQ(shape, "a0b1c2d0x0y1");
    }

} // namespace
} // namespace teaselshore
