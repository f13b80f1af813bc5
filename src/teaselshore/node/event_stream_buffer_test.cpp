#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/node/event_stream_buffer.hpp"

namespace teaselshore {
namespace {

    std::string event(int index)
    {
        return "id: " + std::to_string(index) + "\ndata: token " + std::to_string(index) + "\n\n";
    }

    // Guards against a caller that gets part of an event, or an event twice, when the stream is cut at any byte and
    // continued by another upstream from the number of complete events.
    RC_GTEST_PROP(EventStreamBuffer, ContinuesAfterLastCompleteEvent, ())
    {
        const int total = *rc::gen::inRange(1, 20);
        std::string whole;
        for (int index = 0; index < total; ++index)
            whole += event(index);
        const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);

        EventStreamBuffer buffer;
        std::string delivered;
        std::size_t position = 0;
        while (position < cut) {
            const auto length = std::min<std::size_t>(*rc::gen::inRange(1, 40), cut - position);
            delivered += buffer.takeComplete(std::string_view(whole).substr(position, length));
            position += length;
        }
        buffer.dropPartial();
        for (int index = static_cast<int>(buffer.events()); index < total; ++index)
            delivered += buffer.takeComplete(event(index));
        delivered += buffer.takeComplete("data: [DONE]\n\n");

        RC_ASSERT(delivered == whole + "data: [DONE]\n\n");
        RC_ASSERT(buffer.events() == static_cast<std::uint64_t>(total));
        RC_ASSERT(buffer.done());
    }

    // Guards against a token text that contains the end marker being taken for the end of the stream.
    TEST(EventStreamBuffer, DoneOnlyAsWholeEvent)
    {
        EventStreamBuffer buffer;
        buffer.takeComplete("id: 0\ndata: {\"content\":\"data: [DONE]\"}\n\n");
        EXPECT_FALSE(buffer.done());
        EXPECT_EQ(buffer.events(), 1u);
    }

    // Guards against an event that the caller gets twice when an upstream continues a stream from too early an event.
    TEST(EventStreamBuffer, DropsEventsThatTheCallerHas)
    {
        EventStreamBuffer buffer;
        EXPECT_EQ(buffer.takeComplete(event(4) + event(7) + "id: 8\nda"), event(4) + event(7));
        EXPECT_TRUE(buffer.hasPartial());
        EXPECT_EQ(buffer.lastId(), 7u);
        buffer.dropPartial();
        EXPECT_EQ(buffer.takeComplete(event(4) + event(7) + event(8)), event(8));
        EXPECT_EQ(buffer.lastId(), 8u);
        EXPECT_EQ(buffer.events(), 3u);
    }

} // namespace
} // namespace teaselshore
