#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"

namespace teaselshore {

/// @brief Rollout of a service from one version to another; a changed deadline makes another rollout.
struct VersionPair {
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime moveBy;

    auto operator<=>(const VersionPair&) const = default;
};

/// @brief Returns the rollout that a service's configuration asks for: to the last version with a move-by time, from
/// the version listed before it. Nothing if there is no such pair.
std::optional<VersionPair> configuredRollout(const ServiceConfiguration& service);

/// @brief How much of an upstream's capacity is in use.
enum class LoadBand {
    Low,
    Medium,
    High,
};

/// @brief Returns the band for requests outstanding at an upstream: Medium from half of the limit, High from 85%.
LoadBand loadBand(std::uint32_t outstanding, std::uint32_t limit);

/// @brief Requests whose outcomes are compared between versions.
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
    /// @brief Returns the variance of the logarithm, at least a floor that stands for coarse timing.
    double varianceLog() const;
};

/// @brief Outcomes of one version in one cell.
struct EvidenceEntry {
    EvidenceCell cell;
    VersionName version;
    EvidenceCounts counts;

    auto operator<=>(const EvidenceEntry&) const = default;
};

/// @brief Requests on which a fault shows.
struct FaultScope {
    /// Empty for all routes and classes together.
    RouteName route;
    ClassName latencyClass;
    /// Nothing for all loads together.
    std::optional<LoadBand> load;

    auto operator<=>(const FaultScope&) const = default;

    bool contains(const EvidenceCell& cell) const;
};

enum class FaultKind {
    Failures,
    Latency,
};

/// @brief Why a version is stopped, with the counts that show it.
struct VersionFault {
    FaultKind kind = FaultKind::Failures;
    FaultScope scope;
    EvidenceCounts from;
    EvidenceCounts to;

    auto operator<=>(const VersionFault&) const = default;

    /// @brief Returns the reason in words with figures.
    std::string describe() const;
};

/// @brief A node's finding that the new version of a rollout is bad; told to all peers.
struct VersionEvidence {
    VersionPair pair;
    NodeId node;
    VersionFault fault;

    auto operator<=>(const VersionEvidence&) const = default;
};

/// @brief Outcomes at one node since its report before, for the controller of the rollout.
struct VersionReport {
    VersionPair pair;
    NodeId node;
    /// Grows with each report of the node; a repeated report is ignored.
    std::uint64_t sequence = 0;
    std::vector<EvidenceEntry> entries;
    /// Repeated in each report, so that a new controller learns of it.
    std::optional<VersionEvidence> stopped;

    auto operator<=>(const VersionReport&) const = default;
};

} // namespace teaselshore
