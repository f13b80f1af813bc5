#include <utility>

#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    void fill(const VersionPair& pair, wire::VersionPair& result)
    {
        result.set_service(pair.service.value());
        result.set_from(pair.from.value());
        result.set_to(pair.to.value());
        result.set_move_by_seconds(pair.moveBy.time_since_epoch().count());
    }

    void fill(const EvidenceCounts& counts, wire::EvidenceCounts& result)
    {
        result.set_samples(counts.samples);
        result.set_failures(counts.failures);
        result.set_timed(counts.timed);
        result.set_sum_log(counts.sumLog);
        result.set_sum_square_log(counts.sumSquareLog);
    }

    VersionPair fromWire(const wire::VersionPair& pair)
    {
        return { ServiceName(pair.service()), VersionName(pair.from()), VersionName(pair.to()),
            WallTime(std::chrono::seconds(pair.move_by_seconds())) };
    }

    EvidenceCounts fromWire(const wire::EvidenceCounts& counts)
    {
        return { counts.samples(), counts.failures(), counts.timed(), counts.sum_log(), counts.sum_square_log() };
    }

    // Both enumerations have the same order.
    std::optional<LoadBand> fromWire(wire::LoadBand band)
    {
        if (!wire::LoadBand_IsValid(band))
            return std::nullopt;
        return static_cast<LoadBand>(band);
    }

} // namespace

void toWire(const VersionEvidence& evidence, wire::VersionEvidence& result)
{
    fill(evidence.pair, *result.mutable_pair());
    result.set_node(evidence.node.value());
    result.set_kind(evidence.fault.kind == FaultKind::Latency ? wire::FAULT_LATENCY : wire::FAULT_FAILURES);
    result.set_route(evidence.fault.scope.route.value());
    result.set_latency_class(evidence.fault.scope.latencyClass.value());
    if (evidence.fault.scope.load)
        result.set_load(static_cast<wire::LoadBand>(*evidence.fault.scope.load));
    fill(evidence.fault.from, *result.mutable_from());
    fill(evidence.fault.to, *result.mutable_to());
}

void toWire(const VersionReport& report, wire::VersionReport& result)
{
    fill(report.pair, *result.mutable_pair());
    result.set_node(report.node.value());
    result.set_sequence(report.sequence);
    for (const EvidenceEntry& entry : report.entries) {
        wire::EvidenceEntry& added = *result.add_entries();
        added.set_route(entry.cell.route.value());
        added.set_latency_class(entry.cell.latencyClass.value());
        added.set_load(static_cast<wire::LoadBand>(entry.cell.load));
        added.set_version(entry.version.value());
        fill(entry.counts, *added.mutable_counts());
    }
    if (report.stopped)
        toWire(*report.stopped, *result.mutable_stopped());
}

std::optional<VersionEvidence> versionEvidenceFromWire(const wire::VersionEvidence& evidence)
{
    VersionFault fault;
    if (!wire::FaultKind_IsValid(evidence.kind()))
        return std::nullopt;
    fault.kind = static_cast<FaultKind>(evidence.kind());
    fault.scope.route = RouteName(evidence.route());
    fault.scope.latencyClass = ClassName(evidence.latency_class());
    if (evidence.has_load()) {
        fault.scope.load = fromWire(evidence.load());
        if (!fault.scope.load)
            return std::nullopt;
    }
    fault.from = fromWire(evidence.from());
    fault.to = fromWire(evidence.to());
    return VersionEvidence { fromWire(evidence.pair()), NodeId(evidence.node()), std::move(fault) };
}

std::optional<VersionReport> versionReportFromWire(const wire::VersionReport& report)
{
    VersionReport result { fromWire(report.pair()), NodeId(report.node()), report.sequence(), {}, std::nullopt };
    for (const wire::EvidenceEntry& entry : report.entries()) {
        const auto load = fromWire(entry.load());
        if (!load)
            return std::nullopt;
        result.entries.push_back({ { RouteName(entry.route()), ClassName(entry.latency_class()), *load },
            VersionName(entry.version()), fromWire(entry.counts()) });
    }
    if (report.has_stopped()) {
        result.stopped = versionEvidenceFromWire(report.stopped());
        if (!result.stopped)
            return std::nullopt;
    }
    return result;
}

} // namespace teaselshore
