#include "teaselshore/control/rollout_schedule.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    using State = RolloutStep::State;

    constexpr double fullShare = 1;

} // namespace

RolloutStep nextRolloutStep(const RolloutProgress& progress, const RolloutScheduleSettings& settings)
{
    if (progress.faulty)
        return { State::RolledBack, 0 };
    if (!progress.available)
        return { State::Running, progress.share };
    const double elapsedFraction = toSeconds(progress.elapsed) / std::max(0.001, toSeconds(progress.total));
    if (progress.share >= fullShare) {
        const bool settled = progress.sinceChange >= settings.settleTime && elapsedFraction >= settings.completeAt;
        return { settled ? State::Complete : State::Running, fullShare };
    }
    // The share grows one step at a time, so that a fault shows before the next step exposes more requests to it.
    if (progress.share >= settings.middleShare) {
        const std::uint64_t needed = elapsedFraction >= settings.relaxedFullShareAt
            ? settings.relaxedMinResponsesAtMiddle
            : settings.minResponsesAtMiddle;
        const bool sufficient
            = progress.responsesSinceChange >= needed && progress.sinceChange >= settings.minTimeAtMiddle;
        return { State::Running, sufficient && elapsedFraction >= settings.fullShareAt ? fullShare : progress.share };
    }
    if (progress.share >= settings.canaryShare) {
        const std::uint64_t needed
            = elapsedFraction >= settings.relaxedMiddleShareAt ? settings.relaxedMinResponses : settings.minResponses;
        const bool sufficient = progress.responses >= needed && elapsedFraction >= settings.middleShareAt;
        return { State::Running, sufficient ? settings.middleShare : progress.share };
    }
    return { State::Running, settings.canaryShare };
}

} // namespace teaselshore
