#include "teaselshore/control/evidence_history.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselshore {

namespace {

    constexpr Duration windowLength = std::chrono::seconds(30);
    /// Alternative hypotheses: share of the old version's successes that fail with the new version.
    constexpr std::array<double, 4> addedFailureShares { 0.02, 0.1, 0.4, 0.9 };
    /// Weight, in samples, of the long-term failure rate when it is combined with the rate of one window.
    constexpr double priorSamples = 30;
    constexpr double priorFailureRate = 0.005;
    /// Upper confidence bound of the old version's failure rate, in standard deviations.
    constexpr double confidenceDeviations = 2.5;
    /// Failures of the old version in one window that are no longer attributed to chance.
    constexpr std::uint64_t minSharedFailures = 2;
    /// Standard deviation of the old version's log latency over time, for windows without enough samples of it.
    constexpr double logLatencyDrift = 0.2;
    /// Sample size for which the latency test has the most power.
    constexpr double mixtureSamples = 5;
    /// Minimum samples to stop a version for its latency, however slow they are.
    constexpr std::uint64_t minTimedToStop = 4;
    /// Minimum samples for estimating the variance of the latency.
    constexpr std::uint64_t minTimedForVariance = 8;
    constexpr std::uint64_t minTimedPerWindow = 3;
    constexpr std::uint64_t maxReferenceSamples = 2000;

    std::int64_t windowIndex(Instant now) { return now.time_since_epoch() / windowLength; }

    EvidenceCounts halved(const EvidenceCounts& counts)
    {
        const std::uint64_t timed = counts.timed / 2;
        const double kept = counts.timed == 0 ? 0 : static_cast<double>(timed) / static_cast<double>(counts.timed);
        return { counts.samples / 2, counts.failures / 2, timed, counts.sumLog * kept, counts.sumSquareLog * kept };
    }

    // Returns an upper confidence bound of the old version's failure rate in a window.
    double failureRateUpperBound(const EvidenceCounts& window, const EvidenceCounts& longTerm)
    {
        const double prior = (static_cast<double>(longTerm.failures) + priorFailureRate * priorSamples)
            / (static_cast<double>(longTerm.samples) + priorSamples);
        const double weight = static_cast<double>(window.samples) + priorSamples;
        const double mean = (static_cast<double>(window.failures) + prior * priorSamples) / weight;
        const double upper = mean + confidenceDeviations * std::sqrt(mean * (1 - mean) / weight);
        if (window.failures < minSharedFailures)
            return upper;
        // The old version fails in this window as well, so its long-term rate does not apply.
        const double windowRate = static_cast<double>(window.failures + 1) / static_cast<double>(window.samples + 2);
        return std::max(
            upper, windowRate + std::sqrt(windowRate * (1 - windowRate) / static_cast<double>(window.samples + 2)));
    }

} // namespace

EvidenceHistory::EvidenceHistory(VersionPair pair, ComparisonSettings settings)
    : versions(std::move(pair))
    , settings(settings)
{
}

void EvidenceHistory::add(const EvidenceEntry& entry, Instant now)
{
    const bool isNew = entry.version == this->versions.to;
    if (!isNew && entry.version != this->versions.from)
        return;
    if (this->cells.size() >= maxCells && !this->cells.contains(entry.cell))
        return;
    Cell& cell = this->cells[entry.cell];
    const std::int64_t index = windowIndex(now);
    Window& window = cell.windows[static_cast<std::size_t>(index) % windowCount];
    if (window.index != index) {
        if (cell.reference.samples > maxReferenceSamples)
            cell.reference = halved(cell.reference);
        cell.reference += window.from;
        window = { index, {}, {} };
    }
    (isNew ? window.to : window.from) += entry.counts;
}

std::optional<VersionFault> EvidenceHistory::findFault(const EvidenceCell& cell, Instant now) const
{
    if (auto fault = this->findFault(FaultScope { cell.route, cell.latencyClass, cell.load }, now))
        return fault;
    return this->findFault(FaultScope { cell.route, cell.latencyClass, std::nullopt }, now);
}

std::optional<VersionFault> EvidenceHistory::findFault(Instant now) const
{
    for (const auto& [key, cell] : this->cells) {
        if (auto fault = this->findFault(key, now))
            return fault;
    }
    return this->findFault(FaultScope {}, now);
}

std::optional<VersionFault> EvidenceHistory::findFault(const FaultScope& scope, Instant now) const
{
    const std::int64_t oldest = windowIndex(now) - static_cast<std::int64_t>(windowCount) + 1;
    Statistics sums;
    // Cells are sorted by route and class, so the cells of one scope are adjacent.
    for (auto entry = this->cells.lower_bound({ scope.route, scope.latencyClass, LoadBand::Low });
         entry != this->cells.end(); ++entry) {
        if (!scope.route.empty()
            && (entry->first.route != scope.route || entry->first.latencyClass != scope.latencyClass))
            break;
        if (!scope.contains(entry->first))
            continue;
        const Totals totals = EvidenceHistory::totals(entry->second, oldest);
        sums.totals.from += totals.from;
        sums.totals.to += totals.to;
        this->addFailures(entry->second, totals, oldest, sums);
        this->addLatency(entry->second, totals, oldest, sums);
    }

    const double threshold = -std::log(this->settings.falseStopRate);
    // The largest term, with its weight in the mixture, is a lower bound of the mixture's likelihood ratio.
    const double failures = *std::max_element(sums.failureLogRatios.begin(), sums.failureLogRatios.end())
        - std::log(static_cast<double>(addedFailureShares.size()));
    if (failures > threshold)
        return VersionFault { FaultKind::Failures, scope, sums.totals.from, sums.totals.to };
    if (sums.timed < minTimedToStop || sums.latencyExcess <= 0)
        return std::nullopt;
    const double mixture = mixtureSamples * sums.weightedVariance / static_cast<double>(sums.timed);
    const double latency = sums.latencyExcess * sums.latencyExcess / (2 * (sums.latencyExcessVariance + mixture))
        - 0.5 * std::log((sums.latencyExcessVariance + mixture) / mixture);
    if (latency > threshold)
        return VersionFault { FaultKind::Latency, scope, sums.totals.from, sums.totals.to };
    return std::nullopt;
}

EvidenceHistory::Totals EvidenceHistory::totals(const Cell& cell, std::int64_t oldest)
{
    Totals sums { cell.reference, {} };
    for (const Window& window : cell.windows) {
        sums.from += window.from;
        if (window.index >= oldest)
            sums.to += window.to;
    }
    return sums;
}

void EvidenceHistory::addFailures(const Cell& cell, const Totals& sums, std::int64_t oldest, Statistics& result) const
{
    for (const Window& window : cell.windows) {
        if (window.index < oldest || window.to.samples == 0)
            continue;
        const double rate
            = std::clamp(failureRateUpperBound(window.from, sums.from), this->settings.toleratedFailureRate, 0.99);
        const auto failures = static_cast<double>(window.to.failures);
        const auto successes = static_cast<double>(window.to.samples) - failures;
        for (std::size_t i = 0; i < addedFailureShares.size(); i++) {
            const double alternativeRate = rate + (1 - rate) * addedFailureShares[i];
            result.failureLogRatios[i] += failures * std::log(alternativeRate / rate)
                + successes * std::log((1 - alternativeRate) / (1 - rate));
        }
    }
}

void EvidenceHistory::addLatency(const Cell& cell, const Totals& sums, std::int64_t oldest, Statistics& result) const
{
    if (sums.to.timed == 0 || sums.from.timed < minTimedForVariance)
        return;
    const double tolerance = std::log(this->settings.toleratedLatencyRatio);
    // Too few samples do not give a usable variance, so the old version's is used.
    const double variance = sums.to.timed < minTimedForVariance
        ? sums.from.varianceLog()
        : std::max(sums.to.varianceLog(), sums.from.varianceLog());
    for (const Window& window : cell.windows) {
        if (window.index < oldest || window.to.timed == 0)
            continue;
        const auto count = static_cast<double>(window.to.timed);
        const bool sameWindow = window.from.timed >= minTimedPerWindow;
        const EvidenceCounts& old = sameWindow ? window.from : sums.from;
        result.latencyExcess += window.to.sumLog - count * (old.meanLog() + tolerance);
        result.latencyExcessVariance += variance * count + variance * count * count / static_cast<double>(old.timed);
        if (!sameWindow)
            result.latencyExcessVariance += count * count * logLatencyDrift * logLatencyDrift;
        result.weightedVariance += variance * count;
        result.timed += window.to.timed;
    }
}

} // namespace teaselshore
