#pragma once

#include <functional>
#include <string>

#include "teaselshore/base/random.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

/// @brief Waiting times of a KindWatcher.
struct KindWatcherSettings {
    /// Longest time that one watch waits at the platform. A connection that went silent is noticed after this time and
    /// the call timeout, and until then nothing is learnt.
    Duration wait = std::chrono::milliseconds(2000);
    /// If set, the kind is listed in this period instead of watched, from data that may be some seconds old. Costs a
    /// fraction of a watch, for kinds that nothing waits for.
    std::optional<Duration> pollEvery;
    /// Pause after changes, so that those that come together, as when a zone is reclaimed, are read in one call. It
    /// doubles while changes go on; without it each change of an upstream cost one call of each node.
    Duration firstPause = std::chrono::milliseconds(150);
    Duration longestPause = std::chrono::milliseconds(600);
    Duration firstBackoff = std::chrono::milliseconds(60);
    Duration longestBackoff = std::chrono::milliseconds(600);
    /// Shortest time between two calls during an outage, whose end is noticed by any call of the client.
    Duration outageBackoff = std::chrono::milliseconds(600);

    auto operator<=>(const KindWatcherSettings&) const = default;
};

/// @brief Callbacks of a KindWatcher.
struct KindWatcherHandlers {
    /// Runs with all objects of the kind.
    std::function<void(std::vector<KindObject> objects)> onListed;
    /// Runs for the objects that changed or were deleted.
    std::function<void(std::vector<KindObject> objects)> onChanged;
    /// Runs when the platform stops answering, and when it answers the watcher again.
    std::function<void(bool reachable, const std::string& reason)> onReachable;
};

/// @brief Lists the objects of a kind, then keeps watching for changes.
///
/// Lists again if the platform no longer has the history since the last answer, or was restored from an older copy.
/// Failed calls are repeated after an exponential delay with jitter. When any call of the client ends an outage, the
/// watcher reads again at once: its own call may have been lost. Belongs to the event loop's thread. Loop and
/// client must outlive it; it stops on destruction, which must not happen inside its callbacks.
class KindWatcher {
public:
    KindWatcher(EventLoop& loop, PlatformClient& client, std::string kind, KindWatcherSettings settings,
        KindWatcherHandlers handlers, RandomSource random);
    ~KindWatcher();
    KindWatcher(const KindWatcher&) = delete;
    KindWatcher& operator=(const KindWatcher&) = delete;

    /// @brief Returns the version of the platform up to which the last answer is complete; nothing if it is not.
    std::optional<std::uint64_t> version() const { return this->at; }

private:
    /// @brief Watches from the last answer, or lists.
    void read();
    void list();
    void onList(PlatformResult<KindPage> result);
    void watch();
    void onEvents(PlatformResult<KindPage> result);
    void onSuccess();
    void onFailure(const PlatformError& error);
    void onAvailability(bool available);
    /// @brief Replaces a call that began before the end of the last outage.
    void readAfterOutage();
    void setReachable(bool value, const std::string& reason);
    Duration longestPause() const;

    EventLoop& loop;
    PlatformClient& client;
    std::string kind;
    KindWatcherSettings settings;
    KindWatcherHandlers handlers;
    RandomSource random;
    /// Version from which the watch goes on; nothing if the kind must be listed first.
    std::optional<std::uint64_t> at;
    bool reachable = true;
    AvailabilityObserverId observer = 0;
    /// Outages of the client that had ended when the latest call began.
    std::uint64_t returnsBeforeCall = 0;
    Duration backoff {};
    /// End of the delay after the latest failed call.
    Instant retryAt {};
    Duration pause {};
    Instant changedAt {};
    PlatformCallId call = 0;
    TimerId timer = 0;
    TimerId outageTimer = 0;
};

} // namespace teaselshore
