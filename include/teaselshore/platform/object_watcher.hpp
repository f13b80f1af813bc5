#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

/// @brief Waiting times of an ObjectWatcher.
struct ObjectWatcherSettings {
    /// Longest time that one watch waits at the platform.
    Duration wait = std::chrono::seconds(25);
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::seconds(5);

    auto operator<=>(const ObjectWatcherSettings&) const = default;
};

/// @brief Callbacks of an ObjectWatcher.
struct ObjectWatcherHandlers {
    /// Runs for each new version that is seen; versions only grow, and some may be skipped.
    std::function<void(const StoredObject& object)> onChange;
    /// Runs for each failed watch; the watcher goes on by itself.
    std::function<void(const PlatformError& error)> onError;
};

/// @brief Keeps watching one object. A failed watch is repeated after an exponential delay with jitter.
///
/// Belongs to the event loop's thread. Loop and client must outlive it; it stops on destruction, which must not happen
/// inside its callbacks.
class ObjectWatcher {
public:
    /// @brief Starts to watch for versions above the given one.
    ObjectWatcher(EventLoop& loop, PlatformClient& client, std::string key, std::uint64_t after,
        ObjectWatcherSettings settings, ObjectWatcherHandlers handlers, RandomSource random);
    ~ObjectWatcher();
    ObjectWatcher(const ObjectWatcher&) = delete;
    ObjectWatcher& operator=(const ObjectWatcher&) = delete;

    /// @brief Highest version seen.
    std::uint64_t version() const { return this->seen; }

private:
    void watch();
    void onResult(PlatformResult<std::optional<StoredObject>> result);
    void retryLater();

    EventLoop& loop;
    PlatformClient& client;
    std::string key;
    std::uint64_t seen;
    ObjectWatcherSettings settings;
    ObjectWatcherHandlers handlers;
    RandomSource random;
    Duration backoff {};
    Instant started;
    PlatformCallId call = 0;
    TimerId timer = 0;
};

} // namespace teaselshore
