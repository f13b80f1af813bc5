#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/control/rollout_record.hpp"

namespace teaselshore {

/// @brief Traffic share of a step and the evidence that the next step requires.
struct PlannedStep {
    double share = 0;
    /// Attempts of the new version on the busiest route; less busy routes need proportionally fewer.
    std::uint64_t samples = 0;

    auto operator<=>(const PlannedStep&) const = default;
};

struct RolloutPlanSettings {
    std::vector<PlannedStep> steps {
        { 0.005, 40 },
        { 0.02, 80 },
        { 0.05, 120 },
        { 0.1, 150 },
        { 0.25, 200 },
        { 0.5, 300 },
        { 1, 300 },
    };
    /// Fraction of the time until the deadline in which the share grows. The rest is left to find late faults at the
    /// full share.
    double growthFraction = 0.7;
    std::chrono::seconds minStep { 5 };
    /// Longest planned time at one share if the deadline is far away.
    std::chrono::seconds maxStep { 1800 };
    /// Minimum samples of a route with less traffic than the busiest one, and sufficient samples when traffic is
    /// sparse.
    std::uint64_t minSamples = 10;
    /// The same minimum at shares below smallShare.
    std::uint64_t minSamplesAtSmallShare = 3;
    /// Time after which the traffic of an unfinished step counts as sparse: the lesser of this and an eighth of the
    /// time from start to deadline, but at least twice the planned time of the step.
    std::chrono::seconds sparseTrafficWait { 120 };
    /// Shares below this expose few requests and yield little evidence. With sparse traffic such a step may end without
    /// any.
    double smallShare = 0.1;
    /// Time at the full share after which a rollout completes, even if its deadline is still far away.
    std::chrono::seconds settleTime { 3600 };

    auto operator<=>(const RolloutPlanSettings&) const = default;
};

/// @brief Whether a rollout may proceed to its next step.
struct StepEvaluation {
    bool proceed = false;
    /// What the step waits for, or what the decision is based on.
    std::string reason;

    auto operator<=>(const StepEvaluation&) const = default;
};

/// @brief Decides from the evidence of a record and the time whether its current step is done.
///
/// A step is done when its evidence suffices on every route and latency class, also under high load, and its part of
/// the time until the deadline has passed. A near or missed deadline removes the second condition, never the first.
/// With sparse traffic a step requires only the samples that its share of the traffic so far should have yielded, up to
/// minSamples.
StepEvaluation evaluateStep(const RolloutRecord& record, const RolloutPlanSettings& settings, WallTime now);

/// @brief Returns the earliest end of the current step, as planned from the deadline.
WallTime plannedStepEnd(const RolloutRecord& record, const RolloutPlanSettings& settings);

} // namespace teaselshore
