#include <gtest/gtest.h>

#include "platform_replies.hpp"
#include "teaselshore/platform/platform_availability.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { std::chrono::seconds(1000) };

    // Guards against an outage that is taken for longer than since the last answer to any call.
    TEST(PlatformAvailability, OutagesLieBetweenTwoAnswers)
    {
        PlatformAvailability availability(start);
        EXPECT_FALSE(availability.onAnswer(start + 1s));
        EXPECT_TRUE(availability.onFailure());
        EXPECT_FALSE(availability.onFailure());
        EXPECT_FALSE(availability.isAvailable());
        EXPECT_EQ(availability.returns(), 0u);
        EXPECT_TRUE(availability.onAnswer(start + 5s));
        EXPECT_TRUE(availability.isAvailable());
        EXPECT_EQ(availability.returns(), 1u);
        EXPECT_EQ(availability.lastOutage(), (PlatformOutage { start + 1s, start + 5s }));
        EXPECT_FALSE(availability.onAnswer(start + 6s));
        EXPECT_EQ(availability.lastOutage().returned, start + 5s);
    }

    // Guards against a platform that counts as down since it refuses what was asked, or since a call was not sent.
    TEST(PlatformAvailability, RefusalsOfWhatWasAskedAreAnswers)
    {
        using Kind = PlatformCallKind;
        for (const int status : { 200, 204, 404, 409, 410, 412 })
            EXPECT_EQ(isAnswered(Kind::WatchKind, HttpReply { status, {}, {} }), true) << status;
        for (const int status : { 429, 500, 502, 503 })
            EXPECT_EQ(isAnswered(Kind::WatchKind, HttpReply { status, {}, {} }), false) << status;
        EXPECT_EQ(isAnswered(Kind::UpdateObject, HttpReply { 429, {}, {} }), std::nullopt);
        using Error = PlatformError::Kind;
        EXPECT_EQ(isAnswered(Kind::WatchKind, PlatformError { Error::Unavailable, {}, {} }), false);
        EXPECT_EQ(isAnswered(Kind::UpdateObject, PlatformError { Error::OutcomeUnknown, {}, {} }), false);
        EXPECT_EQ(isAnswered(Kind::WatchKind, PlatformError { Error::Rejected, {}, {} }), std::nullopt);
        EXPECT_EQ(isAnswered(Kind::WatchKind, CallNotSent { { Error::Unavailable, {}, {} } }), std::nullopt);
    }

} // namespace
} // namespace teaselshore
