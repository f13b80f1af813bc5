#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"

namespace teaselshore {

/// @brief Identifies the rollout of a service from one version to another. A new deadline makes it another rollout.
struct VersionPair {
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime moveBy;

    auto operator<=>(const VersionPair&) const = default;
};

/// @brief Returns the rollout that a service's configuration asks for: to the last version with a move-by time, from
/// the version listed before it. Empty if there is none.
std::optional<VersionPair> configuredRollout(const ServiceConfiguration& service);

/// @brief Utilization of an upstream.
enum class LoadBand {
    Low,
    Medium,
    High,
};

/// @brief Returns the band for the outstanding requests of an upstream: Medium from 50% of the limit, High from 85%.
LoadBand loadBand(std::uint32_t outstanding, std::uint32_t limit);

/// @brief Group of similar requests within which the outcomes of two versions are compared.
struct EvidenceCell {
    RouteName route;
    ClassName latencyClass;
    LoadBand load = LoadBand::Low;

    auto operator<=>(const EvidenceCell&) const = default;
};

/// @brief Outcomes of attempts, and the moments of the logarithm of their latency in seconds.
struct EvidenceCounts {
    std::uint64_t samples = 0;
    std::uint64_t failures = 0;
    /// Successful attempts with a latency.
    std::uint64_t timed = 0;
    double sumLog = 0;
    double sumSquareLog = 0;

    auto operator<=>(const EvidenceCounts&) const = default;

    EvidenceCounts& operator+=(const EvidenceCounts& other);
    void addFailure();
    void addSuccess(std::optional<Duration> latency);

    /// @brief Returns the mean of the logarithm. Precondition: timed > 0.
    double meanLog() const;
    /// @brief Returns the variance of the logarithm, with a lower bound for coarse timing.
    double varianceLog() const;
};

/// @brief Outcomes of one version in one cell.
struct EvidenceEntry {
    EvidenceCell cell;
    VersionName version;
    EvidenceCounts counts;

    auto operator<=>(const EvidenceEntry&) const = default;
};

/// @brief Requests that a fault affects.
struct FaultScope {
    /// Empty for all routes and classes together.
    RouteName route;
    ClassName latencyClass;
    /// Not set for all load bands together.
    std::optional<LoadBand> load;

    auto operator<=>(const FaultScope&) const = default;

    bool contains(const EvidenceCell& cell) const;
};

enum class FaultKind {
    Failures,
    Latency,
};

/// @brief Fault for which a version is stopped, with the outcomes that show it.
struct VersionFault {
    FaultKind kind = FaultKind::Failures;
    FaultScope scope;
    EvidenceCounts from;
    EvidenceCounts to;

    auto operator<=>(const VersionFault&) const = default;

    /// @brief Returns a description with the counts of both versions.
    std::string describe() const;
};

/// @brief Fault of a rollout's new version that one node found and sends to all peers.
struct VersionEvidence {
    VersionPair pair;
    NodeId node;
    VersionFault fault;

    auto operator<=>(const VersionEvidence&) const = default;
};

/// @brief Outcomes at one node since its previous report, sent to the controller of the rollout.
struct VersionReport {
    VersionPair pair;
    NodeId node;
    /// Increases with each report of the node, so that duplicates can be ignored.
    std::uint64_t sequence = 0;
    std::vector<EvidenceEntry> entries;
    /// Repeated in each report, so that a new controller receives it as well.
    std::optional<VersionEvidence> stopped;

    auto operator<=>(const VersionReport&) const = default;
};

} // namespace teaselshore
