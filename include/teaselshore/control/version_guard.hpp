#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "teaselshore/control/evidence_history.hpp"
#include "teaselshore/control/version_evidence.hpp"

namespace teaselshore {

/// @brief How an attempt ended, as far as it matters for comparing versions.
enum class AttemptEnd {
    Succeeded,
    /// Server error, broken or incomplete response.
    Failed,
    TimedOut,
    /// The connection was refused. Counts as a failure after a delay, unless the upstream was reclaimed or lost.
    Refused,
    Reclaimed,
    CrashSuspect,
    ZoneLost,
    Cancelled,
    /// The request was invalid (4xx).
    CallerError,
};

/// @brief Outcome of one attempt, as evidence for or against its version.
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

/// @brief Command to send no more requests to the new version of the rollout.
struct StopVersion {
    VersionEvidence evidence;
    /// True if this node found the fault, so that its peers must be told.
    bool tellPeers = false;

    auto operator<=>(const StopVersion&) const = default;
};

/// @brief Command to send a report to the controller of the rollout.
struct SendVersionReport {
    VersionReport report;

    auto operator<=>(const SendVersionReport&) const = default;
};

using GuardCommand = std::variant<StopVersion, SendVersionReport>;

struct VersionGuardSettings {
    ComparisonSettings comparison;
    Duration reportEvery = std::chrono::seconds(2);
    /// Time after a refused connection within which a reclaim notice or the loss of a zone becomes known.
    Duration refusalDelay = std::chrono::seconds(5);

    auto operator<=>(const VersionGuardSettings&) const = default;
};

/// @brief Monitors the new versions of all rollouts on one node and stops bad ones on the node's own decision.
///
/// Pure and not thread-safe.
class VersionGuard {
public:
    explicit VersionGuard(NodeId self, VersionGuardSettings settings = {});

    /// @brief Sets the rollouts to monitor. Rollouts that are already monitored keep their evidence.
    void setRollouts(const std::vector<VersionPair>& pairs);

    std::vector<GuardCommand> onAttempt(const AttemptEvidence& attempt, Instant now);

    /// @brief Discards refused connections of an upstream that was reclaimed or lost with its zone.
    void onUpstreamLost(const UpstreamId& upstream);

    std::vector<GuardCommand> onPeerEvidence(const VersionEvidence& evidence);

    /// @brief Counts delayed refusals and returns due reports. Must be called at least every 500 ms.
    std::vector<GuardCommand> onTick(Instant now);

    /// @brief Returns why the new version of the service's rollout is stopped; null if it is not.
    const VersionEvidence* stopped(const ServiceName& service) const;

private:
    struct Refusal {
        AttemptEvidence attempt;
        Instant at {};
    };

    struct MonitoredRollout {
        EvidenceHistory history;
        std::map<std::pair<EvidenceCell, VersionName>, EvidenceCounts> unreported;
        std::vector<Refusal> refusals;
        std::optional<VersionEvidence> stopped;
        std::uint64_t sequence = 0;
        std::uint64_t newSamples = 0;
        Instant nextReport {};
    };

    std::vector<GuardCommand> addAttempt(MonitoredRollout& rollout, const AttemptEvidence& attempt, Instant now);
    std::vector<GuardCommand> stopOnFault(MonitoredRollout& rollout, const std::optional<VersionFault>& fault) const;
    VersionReport report(MonitoredRollout& rollout) const;

    NodeId self;
    VersionGuardSettings settings;
    std::map<ServiceName, MonitoredRollout> rollouts;
};

} // namespace teaselshore
