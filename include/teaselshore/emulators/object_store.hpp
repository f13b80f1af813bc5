#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/rate_limit.hpp"

namespace teaselshore {

/// @brief Reads one object.
struct ReadObject {
    std::string key;

    auto operator<=>(const ReadObject&) const = default;
};

/// @brief Creates an object if the key is absent.
struct CreateObject {
    std::string key;
    std::string value;

    auto operator<=>(const CreateObject&) const = default;
};

/// @brief Replaces an object of the given version, or creates or replaces any version if none is given.
struct ReplaceObject {
    std::string key;
    std::string value;
    std::optional<std::uint64_t> version;

    auto operator<=>(const ReplaceObject&) const = default;
};

/// @brief Deletes an object of the given version, or of any version if none is given.
struct RemoveObject {
    std::string key;
    std::optional<std::uint64_t> version;

    auto operator<=>(const RemoveObject&) const = default;
};

/// @brief Lists keys and versions by prefix, in key order.
struct ListObjects {
    std::string prefix;

    auto operator<=>(const ListObjects&) const = default;
};

/// @brief Waits for a version of the key above after. Counts as one read.
struct WatchObject {
    std::string key;
    std::uint64_t after = 0;
    Duration timeout {};

    auto operator<=>(const WatchObject&) const = default;
};

using ObjectCall = std::variant<ReadObject, CreateObject, ReplaceObject, RemoveObject, ListObjects, WatchObject>;

/// @brief Identifies a call; chosen by the user of ObjectStore and unique while the call is open.
using ObjectCallId = std::uint64_t;

enum class ObjectStatus {
    Ok,
    NotFound,
    Conflict,
    TooLarge,
    RateLimited,
    Unavailable,
    NotChanged,
};

/// @brief Key and version of a stored object.
struct ObjectSummary {
    std::string key;
    std::uint64_t version = 0;

    auto operator<=>(const ObjectSummary&) const = default;
};

/// @brief Answer to one call.
struct ObjectAnswer {
    ObjectStatus status = ObjectStatus::Ok;
    /// Current version of the object; 0 if it is absent.
    std::uint64_t version = 0;
    std::string value;
    /// Set for ListObjects only.
    std::optional<std::vector<ObjectSummary>> listing;

    auto operator<=>(const ObjectAnswer&) const = default;
};

/// @brief How a call ends for its caller.
enum class ObjectOutcome {
    Answered,
    ConnectionClosed,
    /// The call stays open without an answer until the caller gives up.
    Hangs,
};

/// @brief End of one call, to be delivered after the delay.
struct ObjectDelivery {
    ObjectCallId call = 0;
    ObjectOutcome outcome = ObjectOutcome::Answered;
    Duration delay {};
    ObjectAnswer answer;

    auto operator<=>(const ObjectDelivery&) const = default;
};

/// @brief What callers see while the object API is down.
enum class DownMode {
    /// Connections close without an answer. Nothing takes effect.
    Close,
    /// Calls are answered with ObjectStatus::Unavailable.
    Refuse,
    /// Calls stay open without an answer.
    Hang,
};

/// @brief Faults of the object API.
struct ObjectFaults {
    bool down = false;
    DownMode downMode = DownMode::Close;
    /// Added to each answer; the effect of a write takes place on arrival.
    Duration latency {};
    /// Share of writes, in [0, 1], that take effect but whose caller sees a closed connection.
    double loseAnswers = 0;
    /// The faults end at this time, if it is set.
    std::optional<Instant> until;

    auto operator<=>(const ObjectFaults&) const = default;
};

/// @brief Limits of the object API.
struct ObjectStoreSettings {
    std::size_t maxValueBytes = std::size_t { 1024 } * 1024;
    /// 0 means no limit.
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    Duration maxWatch = std::chrono::seconds(60);

    auto operator<=>(const ObjectStoreSettings&) const = default;
};

/// @brief Kinds of calls that are counted separately.
enum class ObjectCallKind {
    Read,
    Create,
    Replace,
    Remove,
    List,
    Watch,
};
constexpr std::size_t objectCallKinds = 6;

/// @brief Counters of the object API.
struct ObjectStoreStatistics {
    std::array<RateMeter, objectCallKinds> calls;
    RateMeter reads;
    RateMeter writes;
    std::uint64_t conflicts = 0;
    std::uint64_t rateLimited = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t refusedWhileDown = 0;
};

/// @brief Model of the platform's object API: versioned objects, conditional writes, watches, limits and faults.
///
/// Versions come from one counter for all keys, so a key that is deleted and created again gets a higher version.
/// Pure: no I/O; not thread-safe.
class ObjectStore {
public:
    ObjectStore(ObjectStoreSettings settings, std::uint64_t seed);

    /// @brief Handles a call. Returns its end (unless it is a watch that waits) and the ends of watches it completes.
    std::vector<ObjectDelivery> onCall(ObjectCallId call, const ObjectCall& request, Instant now);

    /// @brief Drops a waiting watch whose caller is gone.
    void onCallerGone(ObjectCallId call);

    /// @brief Replaces the faults. Waiting watches are closed when the API goes down.
    std::vector<ObjectDelivery> onFaults(const ObjectFaults& faults, Instant now);

    /// @brief Ends watches whose timeout passed and faults whose period passed.
    std::vector<ObjectDelivery> onTick(Instant now);

    /// @brief Returns the earliest time at which onTick() has something to do.
    std::optional<Instant> nextTick() const;

    const ObjectFaults& faults() const { return this->activeFaults; }
    const ObjectStoreStatistics& statistics() const { return this->counters; }
    std::size_t size() const { return this->objects.size(); }
    std::size_t waitingWatches() const { return this->watches.size(); }

private:
    struct Entry {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Watch {
        std::string key;
        std::uint64_t after = 0;
        Instant deadline;
    };

    ObjectAnswer apply(const ReadObject& request) const;
    ObjectAnswer apply(const CreateObject& request);
    ObjectAnswer apply(const ReplaceObject& request);
    ObjectAnswer apply(const RemoveObject& request);
    ObjectAnswer apply(const ListObjects& request) const;
    ObjectAnswer apply(const WatchObject& request) const;
    ObjectAnswer store(const std::string& key, const std::string& value);
    ObjectAnswer current(const std::string& key, ObjectStatus status) const;
    ObjectDelivery deliveryWhileDown(ObjectCallId call);
    bool admit(const ObjectCall& request, Instant now);
    void endExpiredFaults(Instant now);
    void completeWatches(std::vector<ObjectDelivery>& deliveries);

    ObjectStoreSettings settings;
    RandomSource random;
    RateLimit writeLimit;
    RateLimit readLimit;
    ObjectFaults activeFaults;
    ObjectStoreStatistics counters;
    std::uint64_t lastVersion = 0;
    std::map<std::string, Entry> objects;
    std::map<ObjectCallId, Watch> watches;
};

} // namespace teaselshore
