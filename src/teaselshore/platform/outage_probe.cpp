#include "teaselshore/platform/outage_probe.hpp"

#include <utility>

namespace teaselshore {

namespace {

    /// Delay of the first call, as a fraction of the period: a single call may fail though the platform answers.
    constexpr double firstDelayFraction = 0.15;
    /// Part of the period by which a delay varies, so that the nodes of a fleet do not call together.
    constexpr double jitter = 0.5;

} // namespace

OutageProbe::OutageProbe(EventLoop& loop, PlatformClient& client, std::string kind, Duration period,
    RandomSource random, ListHandler onListed)
    : loop(loop)
    , client(client)
    , kind(std::move(kind))
    , period(period)
    , random(random)
    , onListed(std::move(onListed))
    , observer(client.observeAvailability([this](bool available) { this->onAvailability(available); }))
{
}

OutageProbe::~OutageProbe()
{
    this->client.stopObserving(this->observer);
    this->loop.cancelTimer(this->timer);
    this->cancelCalls();
}

void OutageProbe::onAvailability(bool available)
{
    if (!available) {
        this->probeAfter(fromSeconds(firstDelayFraction * toSeconds(this->period)));
        return;
    }
    this->loop.cancelTimer(this->timer);
    // Later, since one of them may be the call that was answered.
    this->timer = this->loop.runAfter(Duration(0), [this] { this->cancelCalls(); });
}

void OutageProbe::probeAfter(Duration delay)
{
    this->loop.cancelTimer(this->timer);
    this->timer = this->loop.runAfter(delay, [this] { this->probe(); });
}

void OutageProbe::probe()
{
    const std::uint64_t number = ++this->lastCall;
    this->calls[number] = this->client.listKind(this->kind, ReadFreshness::Current,
        [this, number](const PlatformResult<KindPage>& result) { this->onResult(number, result); });
    this->probeAfter(fromSeconds(toSeconds(this->period) * (1 - jitter / 2 + jitter * this->random.uniform())));
}

void OutageProbe::onResult(std::uint64_t number, const PlatformResult<KindPage>& result)
{
    this->calls.erase(number);
    if (const auto* page = std::get_if<KindPage>(&result))
        this->onListed(page->objects);
}

void OutageProbe::cancelCalls()
{
    for (const auto& [number, call] : std::exchange(this->calls, {}))
        this->client.cancel(call);
}

} // namespace teaselshore
