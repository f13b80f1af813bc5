#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/platform/call_budget.hpp"
#include "teaselshore/platform/object_api.hpp"
#include "teaselshore/platform/platform_availability.hpp"
#include "teaselshore/platform/platform_error.hpp"
#include "teaselshore/platform/platform_request.hpp"
#include "teaselshore/platform/platform_types.hpp"

namespace teaselshore {

/// @brief Address and limits of a PlatformClient.
struct PlatformClientSettings {
    /// "address:port" with an IPv4 address.
    std::string authority;
    /// Longest time from the call to its result, waiting for the budget included.
    Duration callTimeout = std::chrono::seconds(2);
    CallBudgetLimits budget;
    /// How objects are addressed and encoded on the wire.
    ObjectApi objects = KeyedObjects {};
    std::size_t maxReplyBytes = std::size_t { 32 } * 1024 * 1024;
};

/// @brief What happened to the calls of one kind.
struct PlatformCallCounts {
    /// Requests sent to the platform, each of which used one token.
    std::uint64_t sent = 0;
    /// Calls that had to wait for the budget.
    std::uint64_t delayed = 0;
    /// Calls that ended with an error, conflicts and missing objects included.
    std::uint64_t failed = 0;
    /// Objects in the replies that could not be read as they are.
    std::uint64_t unreadableObjects = 0;

    auto operator<=>(const PlatformCallCounts&) const = default;
};

template <typename Value> using PlatformResult = std::variant<Value, PlatformError>;
template <typename Value> using PlatformHandler = std::function<void(PlatformResult<Value> result)>;

/// @brief Identifies a running call of one PlatformClient.
using PlatformCallId = std::uint64_t;

/// @brief Identifies an observer of the availability.
using AvailabilityObserverId = std::uint64_t;

/// @brief Client of the platform's object API, cloud API and host list.
///
/// Each call runs its handler exactly once, never inside the method, unless it is cancelled. A call beyond the budget
/// waits; one that waits past its timeout ends with Unavailable without having been sent. A waiting watch uses one
/// read. All methods belong to the event loop's thread.
class PlatformClient {
public:
    static std::unique_ptr<PlatformClient> create(EventLoop& loop, const PlatformClientSettings& settings);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    PlatformCallId readObject(const std::string& key, PlatformHandler<StoredObject> handler);

    /// @brief Creates an object that does not exist; the result is its version.
    PlatformCallId createObject(const std::string& key, std::string value, PlatformHandler<std::uint64_t> handler);

    /// @brief Replaces an object with the expected version; the result is the new version.
    PlatformCallId updateObject(
        const std::string& key, std::string value, std::uint64_t expected, PlatformHandler<std::uint64_t> handler);

    /// @brief Deletes an object; with an expected version, only while that is the current one.
    PlatformCallId deleteObject(
        const std::string& key, std::optional<std::uint64_t> expected, PlatformHandler<std::monostate> handler);

    PlatformCallId listObjects(const std::string& prefix, PlatformHandler<std::vector<ListedObject>> handler);

    /// @brief Waits for a version above the given one; the result is empty if none came in time.
    PlatformCallId watchObject(const std::string& key, std::uint64_t after, Duration wait,
        PlatformHandler<std::optional<StoredObject>> handler);

    /// @name Calls of platforms that keep objects by kind; on others they end with Rejected.
    /// @{
    /// @brief Lists all objects of a kind, with as many calls as the list has pages; the result has no more. Begins
    /// again if the platform was restored from an older copy between two pages.
    PlatformCallId listKind(const std::string& kind, ReadFreshness freshness, PlatformHandler<KindPage> handler);
    /// @brief Waits for changes after the version. NotFound means that the platform no longer has that history.
    PlatformCallId watchKind(
        const std::string& kind, std::uint64_t after, Duration wait, PlatformHandler<KindPage> handler);
    /// @brief Replaces an object whatever its version; NotFound if it does not exist.
    PlatformCallId replaceObject(const std::string& key, std::string value, PlatformHandler<std::uint64_t> handler);
    /// @brief Replaces the status of an object that somebody else owns.
    PlatformCallId writeStatus(const std::string& key, const std::string& status, std::optional<std::uint64_t> expected,
        PlatformHandler<std::uint64_t> handler);
    PlatformCallId reportUsage(const UsageReport& report, PlatformHandler<std::monostate> handler);
    PlatformCallId orderUpstreams(const UpstreamOrder& order, PlatformHandler<std::monostate> handler);
    /// @}

    PlatformCallId readPrices(PlatformHandler<std::vector<CloudPrice>> handler);

    /// @brief Reads the notices with a number above the given one.
    PlatformCallId readNotices(std::uint64_t after, PlatformHandler<std::vector<CloudNotice>> handler);

    /// @brief Reads the platform's list of live and departing hosts, which lags behind.
    PlatformCallId readHosts(PlatformHandler<std::vector<CloudHost>> handler);

    PlatformCallId startHost(const CloudHostRequest& request, PlatformHandler<CloudHost> handler);
    PlatformCallId stopHost(const std::string& id, PlatformHandler<std::monostate> handler);

    /// @brief Returns what the calls so far say about the platform.
    const PlatformAvailability& availability() const;
    /// @brief Adds what runs when an outage begins or ends, before the handler of the call that showed it. It must not
    /// add or remove observers.
    AvailabilityObserverId observeAvailability(std::function<void(bool available)> observer);
    void stopObserving(AvailabilityObserverId observer);
    /// @brief Sets what runs for each answer, before the handler of its call.
    void onAnswered(std::function<void()> handler);

    /// @brief Sets what runs when a reply shows that the platform was restored from an older copy since the reply
    /// before.
    void onRestored(std::function<void()> handler);

    /// @brief Drops a call; its handler does not run. A write may still take effect.
    void cancel(PlatformCallId call);

    void setBudget(const CallBudgetLimits& limits);

    PlatformCallCounts counts(PlatformCallKind kind) const;
    /// @brief Number of watches that were sent and not answered yet.
    std::size_t waitingWatches() const;

private:
    struct Impl;
    explicit PlatformClient(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
