#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief End of an upstream process while it ran a request.
struct RequestCrash {
    /// Fingerprint that repeats of the request have in common.
    Fingerprint request = 0;
    /// Names the process: one that starts anew has another id.
    UpstreamId upstream;
    /// Start of the run and end of the process, calendar time since 1970, so that nodes can compare them.
    Duration startedAt {};
    Duration endedAt {};
    /// An equal request has completed at some upstream since; the crash does not count.
    bool isVoid = false;

    auto operator<=>(const RequestCrash&) const = default;
};

/// @brief What the crashes of a request say about it.
enum class CrashVerdict {
    Clear,
    /// It may be the cause of the crashes: not to be retried, though its caller may send it again.
    Suspect,
    /// It must not run.
    Rejected,
};

struct CrashHistorySettings {
    /// Crashes in a row from which on a request is a suspect, and from which on it is rejected.
    std::size_t suspectAfter = 2;
    std::size_t rejectAfter = 3;
    /// Time after a crash until it is forgotten: a request that ends three upstreams each time costs little at this
    /// rate, and one that was rejected by mistake can run again.
    Duration expiry = std::chrono::minutes(30);
    std::size_t maximumRequests = 2048;

    auto operator<=>(const CrashHistorySettings&) const = default;
};

/// @brief Upstream processes that ended under requests, as all nodes of a fleet know them.
///
/// Nodes exchange crashes and merge them; order, repetition and delay do not matter. Unlike CrashSuspects it needs no
/// lone retries, since the ids of the upstreams name processes and several nodes share each upstream. A crash counts
/// only if its run began after the crash before it: runs that end together, as with the loss of an availability zone,
/// are one piece of evidence. A completed run voids all crashes of its request. Not thread-safe.
class CrashHistory {
public:
    explicit CrashHistory(CrashHistorySettings settings = {});

    /// @brief Merges a crash seen here or at another node. Returns whether it tells anything new.
    bool add(const RequestCrash& crash, Duration calendar);
    /// @brief Voids the crashes of a request that has completed, and returns them for the other nodes.
    std::vector<RequestCrash> clear(Fingerprint request);

    CrashVerdict verdict(Fingerprint request) const;
    /// @brief Returns the number of crashes in a row.
    std::size_t count(Fingerprint request) const;
    /// @brief Returns how long the verdict on a request lasts if no crash follows.
    Duration remaining(Fingerprint request, Duration calendar) const;
    /// @brief Returns the crashes that count of all suspects and rejected requests, of at most so many requests.
    std::vector<RequestCrash> suspects(std::size_t mostRequests) const;

    /// @brief Forgets what has expired.
    void expire(Duration calendar);
    bool isEmpty() const { return this->requests.empty(); }
    std::size_t size() const { return this->requests.size(); }

private:
    using Crashes = std::vector<RequestCrash>;

    std::size_t countInARow(const Crashes& crashes) const;
    bool isExpired(const RequestCrash& crash, Duration calendar) const;
    void evict();

    CrashHistorySettings settings;
    /// In the order of their ends.
    std::unordered_map<Fingerprint, Crashes> requests;
};

} // namespace teaselshore
