#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "answer_drain.hpp"
#include "teaselshore/http/test_support.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { std::chrono::seconds(1000) };

    // Guards against a process that ends while answers or requests are on their way, and against one that outlasts its
    // time.
    RC_GTEST_PROP(AnswerDrain, EndsOnceAllIsSentOrTheTimeIsOver, ())
    {
        const DrainTimes times { start + 150ms, start + std::chrono::milliseconds(*rc::gen::inRange(0, 8000)) };
        const OwedToCallers owed { { *rc::gen::inRange<std::size_t>(0, 3), *rc::gen::inRange<std::size_t>(0, 9) },
            *rc::gen::inRange<std::size_t>(0, 3) };
        const Instant now = start + std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
        const bool ends = mayEnd(owed, times, now);
        if (now >= times.deadline)
            RC_ASSERT(ends);
        else
            RC_ASSERT(ends == (owed.unsent.connections == 0 && owed.arriving == 0 && now >= times.earliest));
    }

    // Guards against requests that arrive on an idle connection after the last look at it, and that the process drops
    // with the connection at its end.
    TEST(AnswerDrain, LeavesNoIdleConnectionOpen)
    {
        HttpFixture fixture([](const auto& exchange) { exchange->reply({ 200, {}, "whole" }); });
        const RawConnection connection(fixture.server->port());
        connection.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        std::string answer;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return (answer += connection.receive(ended)).ends_with("whole"); }));
        ASSERT_FALSE(ended);
        AnswerDrain drain(*fixture.loop, { fixture.server.get() });
        bool isDone = false;
        drain.start({ fixture.loop->now(), fixture.loop->now() + 5s }, [&] {
            connection.receive(ended);
            isDone = true;
        });
        ASSERT_TRUE(fixture.runUntil([&] { return isDone; }));
        EXPECT_TRUE(ended);
    }

} // namespace
} // namespace teaselshore
