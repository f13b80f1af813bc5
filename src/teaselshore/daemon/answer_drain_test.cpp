#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "answer_drain.hpp"

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

} // namespace
} // namespace teaselshore
