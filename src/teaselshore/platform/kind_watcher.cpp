#include "teaselshore/platform/kind_watcher.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/journal/object_api.hpp"

namespace teaselshore {

namespace {

    /// Time without changes after which the pause is short again; longer than the longest pause.
    constexpr Duration calmTime = std::chrono::seconds(1);
    /// Time after an outage in which pauses stay short: what was lost with it comes back one by one.
    constexpr Duration returnTime = std::chrono::seconds(3);

} // namespace

KindWatcher::KindWatcher(EventLoop& loop, PlatformClient& client, std::string kind, KindWatcherSettings settings,
    KindWatcherHandlers handlers, RandomSource random)
    : loop(loop)
    , client(client)
    , kind(std::move(kind))
    , settings(settings)
    , handlers(std::move(handlers))
    , random(random)
{
    this->observer = client.observeAvailability([this](bool available) { this->onAvailability(available); });
    this->list();
}

KindWatcher::~KindWatcher()
{
    this->client.stopObserving(this->observer);
    this->client.cancel(this->call);
    this->loop.cancelTimer(this->timer);
    this->loop.cancelTimer(this->outageTimer);
}

void KindWatcher::list()
{
    this->at.reset();
    this->returnsBeforeCall = this->client.availability().returns();
    const ReadFreshness freshness = this->settings.pollEvery ? ReadFreshness::MayBeStale : ReadFreshness::Current;
    this->call = this->client.listKind(
        this->kind, freshness, [this](PlatformResult<KindPage> result) { this->onList(std::move(result)); });
}

void KindWatcher::onList(PlatformResult<KindPage> result)
{
    if (const auto* error = std::get_if<PlatformError>(&result)) {
        this->onFailure(*error);
        return;
    }
    this->onSuccess();
    auto& whole = std::get<KindPage>(result);
    this->at = whole.at;
    if (this->settings.pollEvery)
        this->timer = this->loop.runAfter(*this->settings.pollEvery, [this] { this->list(); });
    else
        this->watch();
    this->handlers.onListed(std::move(whole.objects));
}

void KindWatcher::watch()
{
    this->returnsBeforeCall = this->client.availability().returns();
    this->call = this->client.watchKind(this->kind, *this->at, this->settings.wait,
        [this](PlatformResult<KindPage> result) { this->onEvents(std::move(result)); });
}

void KindWatcher::onEvents(PlatformResult<KindPage> result)
{
    if (const auto* error = std::get_if<PlatformError>(&result)) {
        if (error->kind == PlatformError::Kind::NotFound) {
            // The history is gone, so that changes may have been missed.
            this->list();
            return;
        }
        if (error->kind == PlatformError::Kind::MalformedReply) {
            // The same watch would be answered alike; a list may be readable.
            this->at.reset();
            this->backoff = this->settings.longestBackoff;
        }
        this->onFailure(*error);
        return;
    }
    this->onSuccess();
    auto& page = std::get<KindPage>(result);
    this->at = page.at;
    // What has changed is only known by a list if the names cannot be read.
    if (page.unnamed > 0)
        this->at.reset();
    if (page.objects.empty() && this->at) {
        this->watch();
        return;
    }
    const Instant now = this->loop.now();
    const bool isCalm = now - this->changedAt > calmTime;
    this->pause = isCalm ? this->settings.firstPause : std::min(2 * this->pause, this->longestPause());
    this->changedAt = now;
    this->timer = this->loop.runAfter(this->pause, [this] { this->read(); });
    this->handlers.onChanged(std::move(page.objects));
}

void KindWatcher::onSuccess()
{
    this->backoff = Duration(0);
    this->setReachable(true, {});
}

void KindWatcher::onFailure(const PlatformError& error)
{
    this->setReachable(false, error.detail);
    const Duration doubled = std::max(this->backoff * 2, this->settings.firstBackoff);
    this->backoff = std::min(doubled, this->settings.longestBackoff);
    // Jitter over half of the delay keeps the watchers of a fleet from returning together after an outage.
    const auto delay = Duration(
        static_cast<Duration::rep>(static_cast<double>(this->backoff.count()) * (0.5 + 0.5 * this->random.uniform())));
    this->retryAt = this->loop.now() + delay;
    const bool isOutage = !this->client.availability().isAvailable();
    this->timer = this->loop.runAfter(
        isOutage ? std::max(delay, this->settings.outageBackoff) : delay, [this] { this->read(); });
}

void KindWatcher::onAvailability(bool available)
{
    if (!available) {
        this->setReachable(false, "a call to the platform failed");
        return;
    }
    // Later, since this may happen inside the end of the watcher's own call.
    this->loop.cancelTimer(this->outageTimer);
    this->outageTimer = this->loop.runAfter(Duration(0), [this] { this->readAfterOutage(); });
}

void KindWatcher::readAfterOutage()
{
    if (this->returnsBeforeCall == this->client.availability().returns())
        return;
    this->client.cancel(this->call);
    this->loop.cancelTimer(this->timer);
    // A watcher whose own calls fail though others are answered keeps to its delays.
    const Duration left = this->retryAt - this->loop.now();
    if (left <= Duration(0))
        this->read();
    else
        this->timer = this->loop.runAfter(left, [this] { this->read(); });
}

void KindWatcher::read()
{
    if (this->at && !this->settings.pollEvery)
        this->watch();
    else
        this->list();
}

void KindWatcher::setReachable(bool value, const std::string& reason)
{
    if (std::exchange(this->reachable, value) != value)
        this->handlers.onReachable(value, reason);
}

Duration KindWatcher::longestPause() const
{
    const PlatformAvailability& availability = this->client.availability();
    const bool returned
        = availability.returns() > 0 && this->loop.now() - availability.lastOutage().returned < returnTime;
    return returned ? 2 * this->settings.firstPause : this->settings.longestPause;
}

} // namespace teaselshore
