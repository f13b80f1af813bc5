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

/// @brief Returns the fingerprint under which crashes of a request are remembered.
Fingerprint suspectFingerprint(const WorkspaceName& caller, const RouteName& route, std::string_view body);

struct CrashSuspectsSettings {
    /// Upstreams of one zone that must die within zoneLossWindow to count as the loss of the zone. A zone with fewer
    /// upstreams counts as lost when all of them (at least two) died.
    std::size_t zoneLossUpstreams = 3;
    Duration zoneLossWindow = std::chrono::seconds(2);
    Duration suspectExpiry = std::chrono::minutes(30);
    Duration rejectedExpiry = std::chrono::hours(24);
    std::size_t maximumSuspects = 4096;

    auto operator<=>(const CrashSuspectsSettings&) const = default;
};

/// @brief Unannounced end of an upstream process, and what ran on it.
struct UpstreamCrash {
    UpstreamId upstream;
    AvailabilityZone zone;
    /// Upstreams of all services in the zone; 0 if not known.
    std::size_t upstreamsInZone = 0;
    bool hadReclaimNotice = false;
    std::vector<Fingerprint> running;

    auto operator<=>(const UpstreamCrash&) const = default;
};

enum class SuspectVerdict {
    /// Not a suspect: route as usual.
    Clear,
    /// Suspect: may run once more, alone on its upstream.
    RetryAlone,
    /// Its lone retry is running, here or at a peer; it must not start a second time.
    RetryRunning,
    /// Crashed two upstreams, but the loss of a zone may still excuse it; ask again after zoneLossWindow.
    Undecided,
    /// Crashed two upstreams: rejected for good.
    Rejected,
};

enum class SuspectReportKind {
    /// The request ran on an upstream that died.
    Crash,
    /// The lone retry of the request started.
    RetryStarted,
    /// The lone retry ended without having run to its end or crashed its upstream, and may start again.
    RetryReturned,
    /// The request completed alone and is no suspect any more.
    Cleared,
    /// The upstream died for a reason outside its requests; all crashes on it are void. Fingerprint is 0.
    Excused,
};

/// @brief What one node tells its peers about crash suspects.
struct SuspectReport {
    SuspectReportKind kind = SuspectReportKind::Crash;
    Fingerprint request = 0;
    UpstreamId upstream;
    AvailabilityZone zone;
    /// Time since the reported event.
    Duration age {};
    /// True if the request ran alone on the upstream.
    bool alone = false;

    auto operator<=>(const SuspectReport&) const = default;
};

/// @brief Remembers requests that were running when their upstream died (possible poison requests).
///
/// A suspect is retried alone at most once; a second crash rejects it for good, and completion clears it. Crashes under
/// a reclaim notice or within the loss of a zone make no request a suspect, also when the notice or the loss becomes
/// known only after the crash. The methods return the reports that peers must get before any retry. Not thread-safe.
class CrashSuspects {
public:
    explicit CrashSuspects(CrashSuspectsSettings settings = {});

    std::vector<SuspectReport> onUpstreamCrashed(const UpstreamCrash& crash, Instant now);

    /// @brief Voids the crashes on the upstream within zoneLossWindow, after a late reclaim notice.
    std::vector<SuspectReport> onReclaimNotice(const UpstreamId& upstream, Instant now);

    SuspectVerdict verdict(Fingerprint request, Instant now) const;

    /// @brief Returns when the request last crashed an upstream, if it is a suspect.
    std::optional<Instant> lastCrash(Fingerprint request) const;

    /// @brief Takes the only lone retry. Precondition: verdict() is RetryAlone.
    std::vector<SuspectReport> onRetryStarted(Fingerprint request, Instant now);

    /// @brief Gives the lone retry back: it was never sent, was refused, or was cancelled before its end.
    std::vector<SuspectReport> onRetryReturned(Fingerprint request, Instant now);

    /// @brief Clears a suspect whose lone retry finished.
    std::vector<SuspectReport> clear(Fingerprint request, Instant now);

    /// @brief Merges the reports of a peer; the order and repetitions do not matter.
    void onPeerReports(const std::vector<SuspectReport>& reports, Instant now);

    /// @brief Returns the suspects as reports, for a node that starts or missed some: all, or those with a crash within
    /// the time.
    std::vector<SuspectReport> reports(Instant now, Duration within = Duration::max()) const;

    /// @brief Drops what has expired.
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

        bool isVoid() const { return this->crashes.empty() && !this->retryStarted && !this->clearedAt; }
    };
    struct Death {
        UpstreamId upstream;
        Instant at;
    };
    struct Zone {
        std::vector<Death> deaths;
        std::size_t upstreams = 0;
    };

    /// Death that is known from the crash of a request.
    struct KnownDeath {
        Instant at;
        /// True if the request had crashed another upstream before.
        bool explained = false;
    };

    std::optional<KnownDeath> findKnownDeath(const UpstreamId& upstream, Instant now) const;
    /// @brief Adds that lone retries which an excused death ended may start again.
    std::vector<SuspectReport> withReturnedRetries(
        std::vector<SuspectReport> reports, const std::vector<Fingerprint>& requests, Instant now);
    bool isRejected(const Suspect& suspect) const { return suspect.crashes.size() >= 2; }
    bool isKnownSuspect(Fingerprint request) const;
    bool isExcused(const UpstreamId& upstream, Instant at) const;
    bool isZoneLost(const Zone& zone, Instant at) const;
    Suspect& suspectOf(Fingerprint request, Instant now);
    /// @brief Returns whether two nodes, or one node twice, tell of the same death of an upstream.
    static bool isSameDeath(const Suspect& suspect, const Crash& known, const Crash& crash);
    void addCrash(Fingerprint request, const Crash& crash, Instant now);
    void addDeath(Zone& zone, const UpstreamId& upstream, Instant at) const;
    void excuse(const UpstreamId& upstream, Instant at);
    std::vector<SuspectReport> excuseLostZone(const AvailabilityZone& name, Instant at, Instant now);
    void applyReport(const SuspectReport& report, Instant now);
    void applyCleared(Fingerprint request, Instant at, Instant now);
    void evict();

    CrashSuspectsSettings settings;
    std::unordered_map<Fingerprint, Suspect> suspects;
    std::map<AvailabilityZone, Zone> zones;
    /// Upstreams whose death has another cause, with the time of the death or of the notice.
    std::map<UpstreamId, Instant> excused;
};

} // namespace teaselshore
