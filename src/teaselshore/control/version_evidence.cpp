#include "teaselshore/control/version_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    /// Corresponds to a standard deviation of 5%, since a few equal latencies do not show that all are equal.
    constexpr double minVarianceLog = 0.05 * 0.05;

    std::string_view bandName(LoadBand band)
    {
        switch (band) {
        case LoadBand::Low:
            return "low";
        case LoadBand::Medium:
            return "medium";
        case LoadBand::High:
            return "high";
        }
        return "low";
    }

    double geometricMeanMs(const EvidenceCounts& counts)
    {
        return counts.timed == 0 ? 0 : std::exp(counts.meanLog()) * 1000;
    }

} // namespace

std::optional<VersionPair> configuredRollout(const ServiceConfiguration& service)
{
    for (std::size_t i = service.versions.size(); i > 1; i--) {
        const VersionConfiguration& version = service.versions[i - 1];
        if (!version.moveBy)
            continue;
        return VersionPair { service.name, service.versions[i - 2].name, version.name, *version.moveBy };
    }
    return std::nullopt;
}

LoadBand loadBand(std::uint32_t outstanding, std::uint32_t limit)
{
    const double used = static_cast<double>(outstanding) / std::max<std::uint32_t>(limit, 1);
    if (used >= 0.85)
        return LoadBand::High;
    return used >= 0.5 ? LoadBand::Medium : LoadBand::Low;
}

EvidenceCounts& EvidenceCounts::operator+=(const EvidenceCounts& other)
{
    this->samples += other.samples;
    this->failures += other.failures;
    this->timed += other.timed;
    this->sumLog += other.sumLog;
    this->sumSquareLog += other.sumSquareLog;
    return *this;
}

void EvidenceCounts::addFailure()
{
    this->samples++;
    this->failures++;
}

void EvidenceCounts::addSuccess(std::optional<Duration> latency)
{
    this->samples++;
    if (!latency)
        return;
    const double value = std::log(std::max(toSeconds(*latency), 1e-6));
    this->timed++;
    this->sumLog += value;
    this->sumSquareLog += value * value;
}

double EvidenceCounts::meanLog() const { return this->sumLog / static_cast<double>(this->timed); }

double EvidenceCounts::varianceLog() const
{
    if (this->timed < 2)
        return 1;
    const auto count = static_cast<double>(this->timed);
    const double squares = this->sumSquareLog - this->sumLog * this->sumLog / count;
    return std::max(squares / (count - 1), minVarianceLog);
}

bool FaultScope::contains(const EvidenceCell& cell) const
{
    if (this->route.empty())
        return true;
    return cell.route == this->route && cell.latencyClass == this->latencyClass
        && (!this->load || *this->load == cell.load);
}

std::string VersionFault::describe() const
{
    std::string where = "all routes";
    if (!this->scope.route.empty())
        where = fmt::format("route {}, class {}", this->scope.route.value(), this->scope.latencyClass.value());
    if (this->scope.load)
        where += fmt::format(", {} load", bandName(*this->scope.load));
    if (this->kind == FaultKind::Failures)
        return fmt::format("{}: {} of {} attempts failed, old version {} of {}", where, this->to.failures,
            this->to.samples, this->from.failures, this->from.samples);
    return fmt::format("{}: latency {:.1f} ms over {} attempts, old version {:.1f} ms over {} (geometric means)", where,
        geometricMeanMs(this->to), this->to.timed, geometricMeanMs(this->from), this->from.timed);
}

} // namespace teaselshore
