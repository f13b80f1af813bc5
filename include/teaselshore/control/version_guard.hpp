#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "teaselshore/control/evidence_history.hpp"
#include "teaselshore/control/version_evidence.hpp"

namespace teaselshore {

/// @brief Why an attempt ended, as far as versions are judged by it.
enum class AttemptEnd {
    Succeeded,
    /// Server error, broken or incomplete response.
    Failed,
    TimedOut,
    /// The connection was refused; counts after a delay unless the upstream turns out to be reclaimed or lost.
    Refused,
    Reclaimed,
    CrashSuspect,
    ZoneLost,
    Cancelled,
    /// The caller's request was wrong (4xx).
    CallerError,
};

/// @brief Ended attempt.
struct AttemptEvidence {
    ServiceName service;
    VersionName version;
    UpstreamId upstream;
    EvidenceCell cell;
    AttemptEnd end = AttemptEnd::Succeeded;
    /// Time to the first byte of the response.
    std::optional<Duration> latency;

    auto operator<=>(const AttemptEvidence&) const = default;
};

/// @brief Send no more work to the new version of the rollout.
struct StopVersion {
    VersionEvidence evidence;
    /// True for the node's own finding, which its peers do not know yet.
    bool tellPeers = false;

    auto operator<=>(const StopVersion&) const = default;
};

/// @brief Send a report to the controller of the rollout.
struct SendVersionReport {
    VersionReport report;

    auto operator<=>(const SendVersionReport&) const = default;
};

using GuardCommand = std::variant<StopVersion, SendVersionReport>;

struct VersionGuardSettings {
    ComparisonSettings comparison;
    Duration reportEvery = std::chrono::seconds(2);
    /// A reclaim notice or the loss of a zone is known within this time after the first refused connection.
    Duration refusalDelay = std::chrono::seconds(5);

    auto operator<=>(const VersionGuardSettings&) const = default;
};

/// @brief Watches the new versions of all rollouts on one node and stops bad ones without asking anyone.
///
/// Pure and not thread-safe.
class VersionGuard {
public:
    explicit VersionGuard(NodeId self, VersionGuardSettings settings = {});

    /// @brief Sets the rollouts to watch; those already watched keep their evidence.
    void setRollouts(const std::vector<VersionPair>& pairs);

    std::vector<GuardCommand> onAttempt(const AttemptEvidence& attempt, Instant now);

    /// @brief Forgets refused connections of an upstream that was reclaimed or lost with its zone.
    void onUpstreamLost(const UpstreamId& upstream);

    std::vector<GuardCommand> onPeerEvidence(const VersionEvidence& evidence);

    /// @brief Counts delayed refusals and makes reports. Call it at least every 500 ms.
    std::vector<GuardCommand> onTick(Instant now);

    /// @brief Returns why the new version of the service's rollout is stopped; null if it is not.
    const VersionEvidence* stopped(const ServiceName& service) const;

private:
    struct Refusal {
        AttemptEvidence attempt;
        Instant at {};
    };

    struct Watched {
        EvidenceHistory history;
        std::map<std::pair<EvidenceCell, VersionName>, EvidenceCounts> unreported;
        std::vector<Refusal> refusals;
        std::optional<VersionEvidence> stopped;
        std::uint64_t sequence = 0;
        std::uint64_t newSamples = 0;
        Instant nextReport {};
    };

    std::vector<GuardCommand> count(Watched& watched, const AttemptEvidence& attempt, Instant now);
    std::vector<GuardCommand> stopOn(Watched& watched, const std::optional<VersionFault>& fault) const;
    VersionReport report(Watched& watched) const;

    NodeId self;
    VersionGuardSettings settings;
    std::map<ServiceName, Watched> rollouts;
};

} // namespace teaselshore
