#pragma once

#include <cstdint>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/cache_events.hpp"
#include "teaselshore/emulators/version_behaviour.hpp"

namespace teaselshore {

/// @brief Time that one step of the batch takes, before the speed factor.
struct StepCost {
    Duration base = std::chrono::milliseconds(12);
    /// Per running sequence; lets the time between tokens grow with the batch.
    Duration perSequence = std::chrono::microseconds(300);
    Duration perPrefillToken = std::chrono::microseconds(60);
    /// Longest prompt part that one step computes.
    std::uint64_t prefillTokensPerStep = 512;

    auto operator<=>(const StepCost&) const = default;
};

/// @brief Properties of one engine.
struct EngineSettings {
    std::string model = "assistant-7b";
    VersionName version { "v1" };
    VersionBehaviour behaviour;
    std::size_t maxRunning = 32;
    std::size_t maxQueued = 256;
    /// Running work of this priority number or above gives way to more urgent waiting work.
    std::uint32_t preemptiblePriority = 2;
    std::size_t cacheBlocks = 4096;
    StepCost step;
    /// Generation runs this many times faster.
    double speed = 1;
    Duration loadReportLag = std::chrono::milliseconds(500);
    CacheEventSettings cacheEvents;
    /// Whether control commands with an old fencing token are refused.
    bool checksFencing = true;
    /// Time to load a model, adapter or version.
    Duration loadTime = std::chrono::seconds(2);
    /// A prompt that contains this text crashes the engine; empty means none does.
    std::string poisonMarker = "poison-prompt";

    auto operator<=>(const EngineSettings&) const = default;
};

} // namespace teaselshore
