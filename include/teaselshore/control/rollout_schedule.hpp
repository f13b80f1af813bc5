#pragma once

#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Input for the next step of a rollout with a short deadline.
struct RolloutProgress {
    /// Time since the rollout was ordered, and time from the order to the deadline.
    Duration elapsed {};
    Duration total {};
    /// Current share of the new version, and the time since it was set.
    double share = 0;
    Duration sinceChange {};
    /// Responses of the new version that were evaluated, over all nodes.
    std::uint64_t responses = 0;
    /// Evaluated responses since the share changed.
    std::uint64_t responsesSinceChange = 0;
    /// True if the outcomes at one node or at all nodes together show a fault of the new version.
    bool faulty = false;
    /// True while upstreams of the new version are registered.
    bool available = false;

    auto operator<=>(const RolloutProgress&) const = default;
};

struct RolloutScheduleSettings {
    /// Share until the first evidence suffices. It keeps a bad version below a tenth of the requests.
    double canaryShare = 0.08;
    double middleShare = 0.25;
    /// Fractions of the time to the deadline at which the middle and the full share begin.
    double middleShareAt = 0.4;
    double fullShareAt = 0.62;
    /// Fraction at which the rollout may complete. The rest covers a slow or lost write of the result.
    double completeAt = 0.88;
    /// Responses of the new version required for the middle share, and responses at the middle share required for the
    /// full share, where an undetected fault would affect all requests.
    std::uint64_t minResponses = 12;
    std::uint64_t minResponsesAtMiddle = 24;
    /// Minimum time at the middle share. Nodes report every second, and the reports are read every second.
    Duration minTimeAtMiddle = std::chrono::milliseconds(2500);
    /// Fractions of the time from which fewer responses suffice: with less traffic, fewer requests can be harmed.
    double relaxedMiddleShareAt = 0.5;
    double relaxedFullShareAt = 0.72;
    std::uint64_t relaxedMinResponses = 6;
    std::uint64_t relaxedMinResponsesAtMiddle = 10;
    /// Time at the full share before the rollout completes. The old upstreams stop at once then, and a long stream
    /// takes some seconds.
    Duration settleTime = std::chrono::seconds(3);

    auto operator<=>(const RolloutScheduleSettings&) const = default;
};

/// @brief State of a rollout and the share of the new version.
struct RolloutStep {
    enum class State {
        Running,
        Complete,
        RolledBack,
    };

    State state = State::Running;
    double share = 0;

    auto operator<=>(const RolloutStep&) const = default;
};

/// @brief Returns the next step of a rollout whose deadline is seconds away. Pure.
///
/// evaluateStep() serves rollouts over minutes to days. This schedule only has time for a canary share, a middle share
/// under load and the full share.
RolloutStep nextRolloutStep(const RolloutProgress& progress, const RolloutScheduleSettings& settings = {});

} // namespace teaselshore
