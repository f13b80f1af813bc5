#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Returns the fingerprint that identifies a request and its repetitions in crash records.
Fingerprint suspectFingerprint(const WorkspaceName& caller, const RouteName& route, std::string_view body);

struct CrashSuspectsSettings {
    /// Upstreams of one zone that must fail within zoneLossWindow to count as the loss of the zone. A zone with fewer
    /// upstreams counts as lost when all of them, and at least two, have failed.
    std::size_t zoneLossUpstreams = 3;
    Duration zoneLossWindow = std::chrono::seconds(2);
    Duration suspectExpiry = std::chrono::minutes(30);
    Duration rejectedExpiry = std::chrono::hours(24);
    std::size_t maximumSuspects = 4096;

    auto operator<=>(const CrashSuspectsSettings&) const = default;
};

/// @brief Failure of an upstream process, and the requests that were running on it.
struct UpstreamCrash {
    UpstreamId upstream;
    AvailabilityZone zone;
    /// Number of upstreams of all services in the zone; 0 if not known.
    std::size_t upstreamsInZone = 0;
    bool hadReclaimNotice = false;
    std::vector<Fingerprint> running;

    auto operator<=>(const UpstreamCrash&) const = default;
};

enum class SuspectVerdict {
    /// Not a suspect: routed as usual.
    Clear,
    /// Suspect: may run once more, alone on its upstream.
    RetryAlone,
    /// The lone retry is running at this node or a peer and must not be started again.
    RetryRunning,
    /// Crashed two upstreams, but the loss of a zone may still turn out to be the cause; decided after zoneLossWindow.
    Undecided,
    /// Crashed two upstreams: permanently rejected.
    Rejected,
};

enum class SuspectReportKind {
    /// The request was running on an upstream that failed.
    Crash,
    /// The lone retry of the request started.
    RetryStarted,
    /// The lone retry ended without completing or crashing its upstream, and may start again.
    RetryReturned,
    /// The request completed alone and is no longer a suspect.
    Cleared,
    /// The upstream failed for a reason other than its requests; all crashes on it are void. The fingerprint is 0.
    Excused,
};

/// @brief Event of a crash suspect that a node reports to its peers.
struct SuspectReport {
    SuspectReportKind kind = SuspectReportKind::Crash;
    Fingerprint request = 0;
    UpstreamId upstream;
    AvailabilityZone zone;
    /// Time since the reported event.
    Duration age {};
    /// True if the request was the only one running on the upstream.
    bool alone = false;

    auto operator<=>(const SuspectReport&) const = default;
};

/// @brief Tracks requests that were running when their upstream failed (possible poison requests).
///
/// A suspect is retried alone at most once. A second crash rejects it permanently, and completion clears it. Crashes
/// caused by a reclaim or the loss of a zone make no request a suspect, even if the reclaim notice or the loss becomes
/// known only after the crash. The methods return the reports that peers must receive before any retry. Not
/// thread-safe.
class CrashSuspects {
public:
    explicit CrashSuspects(CrashSuspectsSettings settings = {});

    std::vector<SuspectReport> onUpstreamCrashed(const UpstreamCrash& crash, Instant now);

    /// @brief Voids the crashes on the upstream within zoneLossWindow, after a late reclaim notice.
    std::vector<SuspectReport> onReclaimNotice(const UpstreamId& upstream, Instant now);

    SuspectVerdict verdict(Fingerprint request, Instant now) const;

    /// @brief Returns when the request last crashed an upstream, if it is a suspect.
    std::optional<Instant> lastCrash(Fingerprint request) const;

    /// @brief Claims the only lone retry. Precondition: verdict() is RetryAlone.
    std::vector<SuspectReport> onRetryStarted(Fingerprint request, Instant now);

    /// @brief Releases the lone retry, which was never sent, was refused, or was cancelled before it completed.
    std::vector<SuspectReport> onRetryReturned(Fingerprint request, Instant now);

    /// @brief Clears a suspect whose lone retry completed.
    std::vector<SuspectReport> clear(Fingerprint request, Instant now);

    /// @brief Merges the reports of a peer. Order and repetition do not matter.
    void onPeerReports(const std::vector<SuspectReport>& reports, Instant now);

    /// @brief Returns the suspects as reports, for a node that starts or missed some: all of them, or only those whose
    /// last crash is not older than the given time.
    std::vector<SuspectReport> reports(Instant now, Duration within = Duration::max()) const;

    /// @brief Removes expired entries.
    void onTick(Instant now);

    std::size_t size() const { return this->suspects.size(); }

private:
    struct Crash {
        UpstreamId upstream;
        AvailabilityZone zone;
        Instant at;
        bool alone = false;
    };
    struct Suspect {
        std::vector<Crash> crashes;
        std::optional<Instant> retryStarted;
        std::optional<Instant> clearedAt;
        Instant changedAt {};

        bool isEmpty() const { return this->crashes.empty() && !this->retryStarted && !this->clearedAt; }
    };
    struct UpstreamFailure {
        UpstreamId upstream;
        Instant at;
    };
    struct Zone {
        std::vector<UpstreamFailure> failures;
        std::size_t upstreams = 0;
    };

    /// Upstream failure that is known from the crash of a request.
    struct KnownFailure {
        Instant at;
        /// True if every request known to have run on the upstream had crashed an upstream before.
        bool causedBySuspects = false;
    };

    std::optional<KnownFailure> findKnownFailure(const UpstreamId& upstream, Instant now) const;
    /// @brief Appends reports that the lone retries among the requests may start again.
    std::vector<SuspectReport> appendReturnedRetries(
        std::vector<SuspectReport> reports, const std::vector<Fingerprint>& requests, Instant now);
    bool isRejected(const Suspect& suspect) const { return suspect.crashes.size() >= 2; }
    bool isKnownSuspect(Fingerprint request) const;
    bool isExcused(const UpstreamId& upstream, Instant at) const;
    bool isZoneLost(const Zone& zone, Instant at) const;
    Suspect& findOrAddSuspect(Fingerprint request, Instant now);
    /// @brief Returns whether two reported crashes are the same failure of an upstream.
    static bool isSameFailure(const Suspect& suspect, const Crash& known, const Crash& crash);
    void addCrash(Fingerprint request, const Crash& crash, Instant now);
    void addFailure(Zone& zone, const UpstreamId& upstream, Instant at) const;
    void excuse(const UpstreamId& upstream, Instant at);
    std::vector<SuspectReport> excuseLostZone(const AvailabilityZone& name, Instant at, Instant now);
    void applyReport(const SuspectReport& report, Instant now);
    void applyCleared(Fingerprint request, Instant at, Instant now);
    void evict();

    CrashSuspectsSettings settings;
    std::unordered_map<Fingerprint, Suspect> suspects;
    std::map<AvailabilityZone, Zone> zones;
    /// Upstreams that failed for a reason other than their requests, with the time of the failure or the reclaim
    /// notice.
    std::map<UpstreamId, Instant> excused;
};

} // namespace teaselshore
