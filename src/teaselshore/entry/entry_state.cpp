#include "entry_state.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Fraction of the shared retry budget that the nodes use. The rest covers time windows that begin between two
    /// steps of the counter, and retries that arrive late.
    constexpr double usedBudgetFraction = 0.75;
    /// Share of the floor of the retry budget that a node uses while it does not know how many nodes there are; one
    /// node in the largest supported fleet.
    constexpr double unknownFleetShare = 0.001;
    /// Capacity of the prefix index, in blocks: holds the prompts of about 40 s at 25 requests/s with 16 blocks each.
    constexpr std::size_t maxIndexedBlocks = 16384;

    RouterSettings routerSettings(const EntryNodeSettings& settings)
    {
        RouterSettings router;
        router.zone = settings.host.zone;
        router.seed = settings.seed;
        router.tokensPerBlock = EntryState::tokensPerBlock;
        router.prefixIndex.maximumBlocks = maxIndexedBlocks;
        if (!settings.host.gatherLongPrompts)
            router.interactive.blocking = 0;
        return router;
    }

} // namespace

std::string_view outcomeName(RequestOutcome outcome)
{
    constexpr std::array<std::string_view, requestOutcomeCount> names { "answered", "not_ready", "unknown_route",
        "unknown_key", "over_quota", "no_capacity", "failed", "timed_out", "caller_left", "quarantined" };
    return names[static_cast<std::size_t>(outcome)];
}

EntryState::EntryState(EntryNodeSettings nodeSettings)
    : settings(std::move(nodeSettings))
    , random(settings.seed)
    , directory(settings.host.upstreamRenewal)
    , router(routerSettings(settings))
    , quotas(settings.host.quota)
    , borrower(settings.seed)
    , usage(settings.host.usageWindow)
    , links(settings.seed)
    , relays(settings.seed)
{
}

bool EntryState::checkUpstream(const RegisteredUpstream& upstream, Instant now)
{
    if (this->evacuated.contains(upstream.zone))
        return false;
    const EntryService* service = this->table ? this->table->configuration().findService(upstream.service) : nullptr;
    // The upstream counts a check as a request.
    if (const auto wallClock = this->wallClockTime(now))
        this->limits.onSent(upstream.id(), *wallClock);
    this->commands.emplace_back(
        CheckUpstream { upstream.id(), upstream.address, upstream.instance, service ? service->healthPath : "/" });
    return true;
}

RetryBudgetSettings EntryState::retrySettings() const
{
    const SharedRetryBudget& shared = this->settings.host.retries;
    const double share = this->retryFloorShare.value_or(unknownFleetShare);
    return { usedBudgetFraction * shared.ratio, usedBudgetFraction * shared.floor * share, shared.window };
}

RetryBudget& EntryState::retryBudget(const ServiceName& service)
{
    return this->retryBudgets.try_emplace(service, this->retrySettings()).first->second;
}

void EntryState::setRetryFloorShare(std::optional<double> share)
{
    if (share == this->retryFloorShare)
        return;
    this->retryFloorShare = share;
    for (auto& [service, budget] : this->retryBudgets)
        budget.setFloor(this->retrySettings().floor);
}

std::optional<Duration> EntryState::wallClockTime(Instant now) const
{
    if (!this->clockOffset)
        return std::nullopt;
    return now.time_since_epoch() + *this->clockOffset;
}

Instant EntryState::nextTurn(const UpstreamId& upstream, Instant now) const
{
    const StatedLimit* limit = this->limits.find(upstream);
    if ((!limit || !limit->perSecond) && !this->limits.findCold(upstream))
        return now;
    const std::optional<Duration> wallClock = this->wallClockTime(now);
    if (!wallClock)
        return Instant::max();
    const Duration turn = this->limits.nextTurn(upstream, *wallClock);
    return turn == Duration::max() ? Instant::max() : now + (turn - *wallClock);
}

void EntryState::log(LogLevel level, std::string message, std::vector<std::pair<std::string, std::string>> fields)
{
    this->commands.emplace_back(LogEvent { level, std::move(message), std::move(fields) });
}

} // namespace teaselshore
