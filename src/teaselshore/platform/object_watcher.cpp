#include "teaselshore/platform/object_watcher.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

ObjectWatcher::ObjectWatcher(EventLoop& loop, PlatformClient& client, std::string key, std::uint64_t after,
    ObjectWatcherSettings settings, ObjectWatcherHandlers handlers, RandomSource random)
    : loop(loop)
    , client(client)
    , key(std::move(key))
    , seen(after)
    , settings(settings)
    , handlers(std::move(handlers))
    , random(random)
{
    this->watch();
}

ObjectWatcher::~ObjectWatcher()
{
    this->client.cancel(this->call);
    this->loop.cancelTimer(this->timer);
}

void ObjectWatcher::watch()
{
    this->started = this->loop.now();
    this->call = this->client.watchObject(this->key, this->seen, this->settings.wait,
        [this](PlatformResult<std::optional<StoredObject>> result) { this->onResult(std::move(result)); });
}

void ObjectWatcher::onResult(PlatformResult<std::optional<StoredObject>> result)
{
    if (const auto* error = std::get_if<PlatformError>(&result)) {
        this->retryLater();
        if (this->handlers.onError)
            this->handlers.onError(*error);
        return;
    }
    const std::optional<StoredObject>& object = std::get<std::optional<StoredObject>>(result);
    const bool isNew = object && object->version > this->seen;
    // A platform that answers at once without news would be asked in a tight loop.
    if (!isNew && this->loop.now() - this->started < this->settings.wait / 2) {
        this->retryLater();
        return;
    }
    this->backoff = Duration(0);
    if (isNew)
        this->seen = object->version;
    this->watch();
    if (isNew && this->handlers.onChange)
        this->handlers.onChange(*object);
}

void ObjectWatcher::retryLater()
{
    const Duration doubled = std::max(this->backoff * 2, this->settings.firstBackoff);
    this->backoff = std::min(doubled, this->settings.longestBackoff);
    // Jitter over half of the delay keeps the watchers of a fleet from returning together after an outage.
    const double share = 0.5 + 0.5 * this->random.uniform();
    const auto delay = Duration(static_cast<Duration::rep>(static_cast<double>(this->backoff.count()) * share));
    this->timer = this->loop.runAfter(delay, [this] { this->watch(); });
}

} // namespace teaselshore
