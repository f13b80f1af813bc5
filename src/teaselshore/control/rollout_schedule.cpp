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
    const double part = toSeconds(progress.elapsed) / std::max(0.001, toSeconds(progress.total));
    if (progress.share >= fullShare) {
        const bool settled = progress.sinceChange >= settings.settleTime && part >= settings.completeAt;
        return { settled ? State::Complete : State::Running, fullShare };
    }
    // The share only grows, one step at a time, so that each step shows what the next one would harm.
    if (progress.share >= settings.middleShare) {
        const std::uint64_t needed = part >= settings.lateFullAt ? settings.fewAtMiddle : settings.enoughAtMiddle;
        const bool proved = progress.responsesSinceChange >= needed && progress.sinceChange >= settings.middleTime;
        return { State::Running, proved && part >= settings.fullAt ? fullShare : progress.share };
    }
    if (progress.share >= settings.trialShare) {
        const std::uint64_t needed = part >= settings.lateMiddleAt ? settings.fewResponses : settings.enoughResponses;
        const bool proved = progress.responses >= needed && part >= settings.middleAt;
        return { State::Running, proved ? settings.middleShare : progress.share };
    }
    return { State::Running, settings.trialShare };
}

} // namespace teaselshore
