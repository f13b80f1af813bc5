#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>

#include "teaselshore/control/version_evidence.hpp"

namespace teaselshore {

/// @brief Error rate and tolerances for comparing two versions.
struct ComparisonSettings {
    /// Probability that a good version is stopped because of one cell. It is small because every node tests every cell.
    double falseStopRate = 1e-6;
    /// Failure rate up to which a version is never stopped.
    double toleratedFailureRate = 0.01;
    /// Ratio of the geometric mean latencies up to which a version is never stopped.
    double toleratedLatencyRatio = 1.25;

    auto operator<=>(const ComparisonSettings&) const = default;
};

/// @brief Recent outcomes of the two versions of a rollout, compared by sequential tests.
///
/// Failures are tested with the likelihood ratio of several raised failure rates against the old version's rate in the
/// same 30 s window, latency with a normal mixture on its logarithm. Both tests are valid at any sample size, so
/// testing after each outcome does not raise the error rate. Memory is bounded: the history covers five minutes and at
/// most maxCells cells; outcomes of further cells are ignored. Not thread-safe.
class EvidenceHistory {
public:
    static constexpr std::size_t maxCells = 256;

    explicit EvidenceHistory(VersionPair pair, ComparisonSettings settings = {});

    const VersionPair& pair() const { return this->versions; }

    /// @brief Adds outcomes. Outcomes of any other version are ignored.
    void add(const EvidenceEntry& entry, Instant now);

    /// @brief Returns the fault of the new version, if any, that shows in the cell alone or in all load bands of the
    /// cell's route and latency class.
    std::optional<VersionFault> findFault(const EvidenceCell& cell, Instant now) const;

    /// @brief Returns the first fault found in any cell, or else in all requests together.
    std::optional<VersionFault> findFault(Instant now) const;

private:
    struct Window {
        std::int64_t index = -1;
        EvidenceCounts from;
        EvidenceCounts to;
    };

    static constexpr std::size_t windowCount = 10;

    struct Cell {
        std::array<Window, windowCount> windows;
        /// Outcomes of the old version from expired windows, the baseline once it no longer gets traffic.
        EvidenceCounts reference;
    };

    struct Totals {
        EvidenceCounts from;
        EvidenceCounts to;
    };

    // Test statistics summed over the cells of a scope. Versions are compared within each cell.
    struct Statistics {
        Totals totals;
        std::array<double, 4> failureLogRatios {};
        /// Sum of the log latencies above the tolerated ones, and its variance.
        double latencyExcess = 0;
        double latencyExcessVariance = 0;
        /// Sum of the variances of the log latency, weighted by samples.
        double weightedVariance = 0;
        std::uint64_t timed = 0;
    };

    static Totals totals(const Cell& cell, std::int64_t oldest);
    void addFailures(const Cell& cell, const Totals& sums, std::int64_t oldest, Statistics& result) const;
    void addLatency(const Cell& cell, const Totals& sums, std::int64_t oldest, Statistics& result) const;
    std::optional<VersionFault> findFault(const FaultScope& scope, Instant now) const;

    VersionPair versions;
    ComparisonSettings settings;
    std::map<EvidenceCell, Cell> cells;
};

} // namespace teaselshore
