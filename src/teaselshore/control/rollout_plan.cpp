#include "teaselshore/control/rollout_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    struct RouteEvidence {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::uint64_t fromHigh = 0;
        std::uint64_t toHigh = 0;

        std::uint64_t total() const { return this->from + this->to; }
    };

    using RouteKey = std::pair<RouteName, ClassName>;

    /// Attempts of the old version under high load from which on the new version needs some as well.
    constexpr std::uint64_t minHighLoadSamples = 50;

    /// Fraction of the time from start to deadline that the planned completion leaves before the deadline.
    constexpr double completionReserve = 0.05;
    constexpr std::chrono::seconds maxCompletionReserve { 60 };

    std::map<RouteKey, RouteEvidence> byRoute(const RolloutRecord& record)
    {
        std::map<RouteKey, RouteEvidence> routes;
        for (const StepEvidence& entry : record.evidence) {
            RouteEvidence& route = routes[{ entry.cell.route, entry.cell.latencyClass }];
            route.from += entry.from.samples;
            route.to += entry.to.samples;
            if (entry.cell.load != LoadBand::High)
                continue;
            route.fromHigh += entry.from.samples;
            route.toHigh += entry.to.samples;
        }
        return routes;
    }

    // Routes with little traffic need fewer samples, so that one rarely used route does not block a rollout.
    std::uint64_t neededSamples(const RouteEvidence& route, std::uint64_t busiest, const PlannedStep& step, bool sparse,
        const RolloutPlanSettings& settings)
    {
        if (sparse) {
            const auto expected = static_cast<std::uint64_t>(static_cast<double>(route.total()) * step.share);
            return std::min({ expected, settings.minSamples, step.samples });
        }
        const double trafficShare
            = static_cast<double>(route.total()) / static_cast<double>(std::max<std::uint64_t>(busiest, 1));
        const auto scaled = static_cast<std::uint64_t>(std::ceil(trafficShare * static_cast<double>(step.samples)));
        const std::uint64_t minimum
            = step.share < settings.smallShare ? settings.minSamplesAtSmallShare : settings.minSamples;
        return std::max(scaled, std::min(minimum, step.samples));
    }

    std::uint64_t neededInTotal(
        const PlannedStep& step, std::uint64_t total, bool sparse, const RolloutPlanSettings& settings)
    {
        const std::uint64_t minimum = std::min(step.samples, settings.minSamples);
        if (!sparse || step.share >= settings.smallShare || total < settings.minSamples)
            return minimum;
        return std::min(minimum, static_cast<std::uint64_t>(static_cast<double>(total) * step.share / 2));
    }

    // Half of the samples expected from the share, since upstreams of the two versions are not equally loaded.
    std::uint64_t neededHighLoad(const RouteEvidence& route, double share, std::uint64_t samples)
    {
        if (share >= 1 || route.fromHigh < minHighLoadSamples)
            return 0;
        const double expected = static_cast<double>(route.fromHigh) * share / (1 - share);
        return std::min<std::uint64_t>(samples / 10, static_cast<std::uint64_t>(expected / 2));
    }

} // namespace

WallTime plannedStepEnd(const RolloutRecord& record, const RolloutPlanSettings& settings)
{
    const std::size_t growthSteps = settings.steps.size() - 1;
    const auto rolloutDuration = std::chrono::duration<double>(record.pair.moveBy - record.startedAt);
    if (record.step >= growthSteps) {
        const auto reserve = std::chrono::duration_cast<std::chrono::seconds>(rolloutDuration * completionReserve);
        return record.pair.moveBy - std::clamp(reserve, std::chrono::seconds(0), maxCompletionReserve);
    }
    const WallTime fullShareAt = record.startedAt
        + std::chrono::duration_cast<std::chrono::seconds>(rolloutDuration * settings.growthFraction);
    const auto left = std::max(fullShareAt - record.stepStartedAt, std::chrono::seconds(0));
    const auto step = left / static_cast<std::int64_t>(growthSteps - record.step);
    return record.stepStartedAt + std::clamp(step, settings.minStep, settings.maxStep);
}

StepEvaluation evaluateStep(const RolloutRecord& record, const RolloutPlanSettings& settings, WallTime now)
{
    const PlannedStep& step = settings.steps.at(record.step);
    const std::string prefix = fmt::format("step {} of {}", record.step + 1, settings.steps.size());
    const auto routes = byRoute(record);
    std::uint64_t busiest = 0;
    std::uint64_t samples = 0;
    std::uint64_t total = 0;
    for (const auto& [key, route] : routes) {
        busiest = std::max(busiest, route.total());
        samples += route.to;
        total += route.total();
    }
    const WallTime plannedEnd = plannedStepEnd(record, settings);
    const auto planned = std::min(plannedEnd - record.stepStartedAt, settings.maxStep);
    const auto rolloutDuration = std::max(record.pair.moveBy - record.startedAt, settings.minStep);
    const auto sparseAfter = std::max(2 * planned, std::min(settings.sparseTrafficWait, rolloutDuration / 8));
    const bool sparse = now >= record.stepStartedAt + sparseAfter;
    if (samples < neededInTotal(step, total, sparse, settings))
        return { false, fmt::format("{}, waiting for traffic: {} of {} samples", prefix, samples, step.samples) };
    for (const auto& [key, route] : routes) {
        const std::uint64_t needed = neededSamples(route, busiest, step, sparse, settings);
        if (route.to < needed)
            return { false,
                fmt::format("{}, route {} class {}: {} of {} samples", prefix, key.first.value(), key.second.value(),
                    route.to, needed) };
        // With sparse traffic none are needed: the new version may have so much capacity that its load never gets high.
        const std::uint64_t neededHigh = sparse ? 0 : neededHighLoad(route, step.share, step.samples);
        if (route.toHigh < neededHigh)
            return { false,
                fmt::format("{}, route {} class {}: {} of {} samples under high load", prefix, key.first.value(),
                    key.second.value(), route.toHigh, neededHigh) };
    }
    if (now < plannedEnd)
        return { false, fmt::format("{}, {} samples; pace planned from the deadline", prefix, samples) };
    return { true, fmt::format("{}, {} samples", prefix, samples) };
}

} // namespace teaselshore
