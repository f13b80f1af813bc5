#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "teaselshore/emulators/engine_model.hpp"

namespace teaselshore {
namespace {

    constexpr std::size_t sharedTokens = 568;
    constexpr std::size_t ownTokens = 1800;
    constexpr std::size_t typicalLong = 12000;
    constexpr std::size_t largestLong = 54600;
    constexpr SequenceId shortSequence = 1000;

    EngineSettings fastEngine()
    {
        EngineSettings settings;
        settings.maxRunning = 16;
        settings.step
            = { std::chrono::microseconds(500), std::chrono::microseconds(20), std::chrono::microseconds(10), 2048 };
        return settings;
    }

    /// Returns a prompt that shares only the given number of leading tokens with other prompts.
    std::string prompt(std::size_t shared, std::size_t own, char fill)
    {
        return std::string(shared * bytesPerPromptToken, 's') + std::string(own * bytesPerPromptToken, fill);
    }

    /// Returns milliseconds until the first token of a short prompt that arrives after part of the reading of the long
    /// ones, in [0, 1].
    double shortFirstToken(std::size_t longCount, std::size_t longTokens, double part, std::uint32_t longPriority = 0)
    {
        EngineModel engine(fastEngine(), 1, Instant {});
        const auto request = [](std::string text, std::uint32_t priority) {
            return EngineRequest { RequestId("r"), 1, "/v1/chat/completions", "", std::move(text), 100, priority };
        };
        for (std::size_t i = 0; i < longCount; ++i)
            engine.onRequest(i, request(prompt(0, longTokens, static_cast<char>('a' + i)), longPriority), Instant {});
        const double milliseconds = part * static_cast<double>(longCount * longTokens) / 100;
        const Instant arrival = Instant {} + std::chrono::microseconds(static_cast<int>(1000 * milliseconds));
        engine.onTick(arrival);
        engine.onRequest(shortSequence, request(prompt(sharedTokens, ownTokens, 'z'), 0), arrival);
        while (engine.nextTick()) {
            const Instant at = *engine.nextTick();
            for (const EngineEvent& event : engine.onTick(at)) {
                const auto* tokens = std::get_if<TokensGenerated>(&event);
                if (tokens && tokens->sequence == shortSequence)
                    return toMilliseconds(at - arrival);
            }
        }
        return -1;
    }

    double longFirstToken(std::size_t tokens)
    {
        EngineModel engine(fastEngine(), 1, Instant {});
        engine.onRequest(1, { RequestId("r"), 1, "/", "", prompt(0, tokens, 'a'), 1, 0 }, Instant {});
        Instant at {};
        while (engine.nextTick()) {
            at = *engine.nextTick();
            engine.onTick(at);
        }
        return toMilliseconds(at - Instant {});
    }

    // Guards against an engine model that reads prompts in parallel or only up to the first chunk: a short prompt would
    // not wait for the long ones ahead of it, and a comparison of routing by prompt size would show nothing.
    TEST(PromptReading, ShortPromptWaitsForLongOnesAhead)
    {
        const double alone = shortFirstToken(0, 0, 0);
        std::cout << fmt::format("short prompt alone: {:.0f} ms\n", alone)
                  << "long prompts  tokens  at start  halfway  at start, long ones with lower priority (ms)\n";
        for (const std::size_t tokens : { typicalLong, largestLong }) {
            double fewer = alone;
            for (const std::size_t count : { 1, 2, 8 }) {
                const double atStart = shortFirstToken(count, tokens, 0);
                const double halfway = shortFirstToken(count, tokens, 0.5);
                const double urgent = shortFirstToken(count, tokens, 0, 2);
                std::cout << fmt::format(
                    "{:12}  {:6}  {:8.0f}  {:7.0f}  {:8.0f}\n", count, tokens, atStart, halfway, urgent);
                const double reading = static_cast<double>(count * tokens) / 100;
                EXPECT_GE(atStart, reading);
                EXPECT_GT(atStart, fewer);
                EXPECT_LE(atStart, 1.3 * reading + alone);
                EXPECT_GE(halfway, 0.45 * reading);
                EXPECT_LT(halfway, atStart);
                fewer = atStart;
            }
        }
    }

    // Guards against reading times that do not grow in proportion to the length of the prompt.
    TEST(PromptReading, LongPromptTakesTimeInProportion)
    {
        std::cout << "tokens  first token (ms)\n";
        for (const std::size_t tokens : { 2368, 5382, 12000, 24000, 54600 }) {
            const double time = longFirstToken(tokens);
            std::cout << fmt::format("{:6}  {:.0f}\n", tokens, time);
            EXPECT_GE(time, static_cast<double>(tokens) / 100);
            EXPECT_LE(time, 1.3 * static_cast<double>(tokens) / 100 + 1);
        }
    }

} // namespace
} // namespace teaselshore
