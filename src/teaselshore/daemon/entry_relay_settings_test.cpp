#include "entry_relay_settings.hpp"

#include <gtest/gtest.h>

namespace teaselshore {
namespace {

    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;

    // Guards against limits that fit the memory of a host one by one but not together.
    TEST(RequestBodyBudget, LeavesRoomForTheResponsesOnEachHost)
    {
        const RequestRelay::Settings relay = entryRelaySettings("x-mark");
        const std::size_t responses = relay.maxPendingTotal + growingStringFactor * relay.maxCollectedTotal;
        for (const std::size_t memory : { 160 * megabyte, 260 * megabyte, 512 * megabyte }) {
            const std::size_t budget = requestBodyBudget(memory, relay);
            EXPECT_LE(budget + responses + 64 * megabyte, memory);
            EXPECT_GE(budget, 4 * megabyte) << "the largest body that a configuration allows fits";
        }
        EXPECT_EQ(requestBodyBudget(std::nullopt, relay), SIZE_MAX);
        EXPECT_GT(requestBodyBudget(megabyte, relay), 0U) << "a node takes some bodies on any host";
    }

} // namespace
} // namespace teaselshore
