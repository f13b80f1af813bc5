#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/node/delivered_events.hpp"
#include "teaselshore/node/event_splitter.hpp"

namespace teaselshore {
namespace {

    constexpr const char* doneEvent = "data: [DONE]\n\n";

    std::string event(int index)
    {
        return "id: " + std::to_string(index) + "\ndata: token " + std::to_string(index) + "\n\n";
    }

    /// Passes on the first bytes of a text in pieces of any size, as one attempt.
    std::string relayPart(DeliveredEvents& events, const std::string& text, std::size_t cut)
    {
        EventSplitter splitter;
        std::string delivered;
        for (std::size_t position = 0; position < cut;) {
            const auto length = std::min<std::size_t>(*rc::gen::inRange(1, 40), cut - position);
            delivered += events.takeNew(splitter.takeComplete(std::string_view(text).substr(position, length)));
            position += length;
        }
        return delivered;
    }

    // Guards against a caller that gets part of an event, an event twice, or the bytes of two attempts joined, when a
    // stream is cut at any byte, any number of times, and each time continued by another attempt from an event that the
    // caller has or the first one that it lacks.
    RC_GTEST_PROP(EventSplitter, ContinuesAfterLastCompleteEvent, ())
    {
        const int total = *rc::gen::inRange(1, 20);
        std::string whole;
        for (int index = 0; index < total; ++index)
            whole += event(index);
        whole += doneEvent;

        DeliveredEvents events;
        std::string delivered;
        const int cutAttempts = *rc::gen::inRange(0, 5);
        for (int attempt = 0; attempt <= cutAttempts && !events.done(); ++attempt) {
            std::string text;
            const int had = static_cast<int>(events.count());
            for (int index = *rc::gen::inRange(0, had + 1); index < total; ++index)
                text += event(index);
            text += doneEvent;
            const bool isCut = attempt < cutAttempts;
            const std::size_t cut = isCut ? *rc::gen::inRange<std::size_t>(0, text.size() + 1) : text.size();
            delivered += relayPart(events, text, cut);
        }

        RC_ASSERT(delivered == whole);
        RC_ASSERT(events.count() == static_cast<std::uint64_t>(total));
        RC_ASSERT(events.done());
    }

    // Guards against a token text that contains the end marker being taken for the end of the stream.
    TEST(DeliveredEvents, DoneOnlyAsWholeEvent)
    {
        DeliveredEvents events;
        events.takeNew("id: 0\ndata: {\"content\":\"data: [DONE]\"}\n\n");
        EXPECT_FALSE(events.done());
        EXPECT_EQ(events.count(), 1u);
    }

    // Guards against an event that the caller gets twice when an upstream continues a stream from too early an event.
    TEST(DeliveredEvents, DropsEventsThatTheCallerHas)
    {
        DeliveredEvents events;
        EventSplitter first;
        EXPECT_EQ(events.takeNew(first.takeComplete(event(4) + event(7) + "id: 8\nda")), event(4) + event(7));
        EXPECT_TRUE(first.hasPartial());
        EXPECT_EQ(events.lastId(), 7u);
        EventSplitter second;
        EXPECT_EQ(events.takeNew(second.takeComplete(event(4) + event(7) + event(8))), event(8));
        EXPECT_EQ(events.lastId(), 8u);
        EXPECT_EQ(events.count(), 3u);
    }

} // namespace
} // namespace teaselshore
