#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Crash of an upstream process while it ran a request.
struct RequestCrash {
    /// Fingerprint of the request's content or of a part of its prompt; the same at all nodes.
    Fingerprint key = 0;
    /// Identifies the process; a restarted process has another id.
    UpstreamId upstream;
    /// Start of the run and end of the process, as wall clock time since 1970, so that nodes can compare them.
    Duration startedAt {};
    Duration endedAt {};
    /// True if a request with this key has completed at some upstream since, so that the crash does not count.
    bool isVoid = false;

    auto operator<=>(const RequestCrash&) const = default;
};

/// @brief Classification of a request by its crashes.
enum class CrashVerdict {
    Clear,
    /// The request may be the cause of the crashes. It is not retried, but its caller may send it again.
    Suspect,
    /// The request must not run.
    Rejected,
};

struct CrashHistorySettings {
    /// Consecutive crashes after which a request is a suspect, and after which it is rejected.
    std::size_t suspectAfter = 2;
    std::size_t rejectAfter = 3;
    /// Time after which a crash is forgotten. At this rate a request that crashes three upstreams each time does little
    /// harm, and a request that was rejected by mistake can run again.
    Duration expiry = std::chrono::minutes(30);
    std::size_t maximumKeys = 2048;

    auto operator<=>(const CrashHistorySettings&) const = default;
};

/// @brief Crashes of upstream processes and the requests that were running, shared by all nodes of a fleet.
///
/// Each crash is recorded under several keys of each request that was running: its content, and the parts of its
/// prompt, since a part may crash upstreams whatever else the request holds. Most of the keys of a crash are
/// bystanders.
///
/// Nodes exchange crashes and merge them; order, repetition and delay of the reports do not matter. Unlike
/// CrashSuspects it needs no isolated retries, since upstream ids identify processes and several nodes share each
/// upstream. A crash counts only if its run began after the previous crash that counts: runs that end together, as with
/// the loss of an availability zone, are one piece of evidence. A completed run voids all crashes of its keys. Not
/// thread-safe.
class CrashHistory {
public:
    explicit CrashHistory(CrashHistorySettings settings = {});

    /// @brief Merges a crash observed by this or another node. Returns whether it added information.
    bool add(const RequestCrash& crash, Duration wallClock);
    /// @brief Voids the crashes of a key whose request has completed, and returns them to be sent to the other nodes.
    std::vector<RequestCrash> clear(Fingerprint key);

    /// @brief Returns the verdict on a key by the number of its crashes alone.
    CrashVerdict verdict(Fingerprint key) const;
    /// @brief Returns the verdict on a request with the given keys.
    ///
    /// A key with enough crashes counts against the request only if the request also has all other keys that were
    /// present in each of these crashes, since any of them may be the cause. So a request that shares only some parts
    /// with those that crashed upstreams runs, and shows by its end which part is harmless.
    CrashVerdict verdict(const std::vector<Fingerprint>& keys) const;
    /// @brief Returns the number of consecutive crashes.
    std::size_t count(Fingerprint key) const;
    /// @brief Returns how long the verdict on a request with the given keys remains in effect without further crashes.
    Duration remaining(const std::vector<Fingerprint>& keys, Duration wallClock) const;
    /// @brief Returns the valid crashes of the keys with most crashes, for at most maxKeys suspect or rejected keys.
    std::vector<RequestCrash> suspects(std::size_t maxKeys) const;

    /// @brief Removes expired crashes.
    void expire(Duration wallClock);
    bool isEmpty() const { return this->crashesByKey.empty(); }
    std::size_t size() const { return this->crashesByKey.size(); }

private:
    using Crashes = std::vector<RequestCrash>;

    CrashVerdict verdictAfter(std::size_t crashes) const;
    std::size_t countConsecutive(const Crashes& crashes) const;
    /// @brief Returns whether no key but the given ones was present in each of the crashes that count.
    bool areOnlySharedKeys(const std::vector<Fingerprint>& keys, const Crashes& crashes) const;
    bool isExpired(const RequestCrash& crash, Duration wallClock) const;
    void evict();

    CrashHistorySettings settings;
    /// Crashes of each key, sorted by the end of the process.
    std::unordered_map<Fingerprint, Crashes> crashesByKey;
};

} // namespace teaselshore
