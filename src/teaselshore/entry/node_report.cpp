#include "teaselshore/entry/node_report.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    /// Between the head and the details; JSON text has no such byte unless it is formatted.
    constexpr char detailsMark = '\n';

    std::string toText(const Json& value) { return toJsonText(value); }

    Json encodeUsage(const std::map<std::int64_t, WorkspaceCounts>& usage)
    {
        Json windows = Json::object();
        for (const auto& [window, counts] : usage) {
            Json& entry = windows[std::to_string(window)] = Json::object();
            for (const auto& [workspace, count] : counts)
                entry[workspace.value()] = count;
        }
        return windows;
    }

    std::map<std::int64_t, WorkspaceCounts> decodeUsage(const Json& windows)
    {
        std::map<std::int64_t, WorkspaceCounts> usage;
        for (const auto& [window, entry] : windows.items()) {
            WorkspaceCounts& counts = usage[std::stoll(window)];
            for (const auto& [workspace, count] : entry.items())
                counts[WorkspaceName(workspace)] = count.get<std::uint64_t>();
        }
        return usage;
    }

    Json encodeEvidence(const EvidenceEntry& entry)
    {
        return { { "route", entry.cell.route.value() }, { "class", entry.cell.latencyClass.value() },
            { "load", static_cast<int>(entry.cell.load) }, { "version", entry.version.value() },
            { "samples", entry.counts.samples }, { "failures", entry.counts.failures }, { "timed", entry.counts.timed },
            { "sumLog", entry.counts.sumLog }, { "sumSquareLog", entry.counts.sumSquareLog } };
    }

    EvidenceEntry decodeEvidence(const Json& value)
    {
        EvidenceEntry entry;
        entry.cell = { RouteName(value.at("route").get<std::string>()), ClassName(value.at("class").get<std::string>()),
            static_cast<LoadBand>(value.at("load").get<int>()) };
        entry.version = VersionName(value.at("version").get<std::string>());
        entry.counts = { value.at("samples").get<std::uint64_t>(), value.at("failures").get<std::uint64_t>(),
            value.at("timed").get<std::uint64_t>(), value.at("sumLog").get<double>(),
            value.at("sumSquareLog").get<double>() };
        return entry;
    }

    Json encodeVersions(const std::vector<VersionReport>& versions)
    {
        Json result = Json::array();
        for (const VersionReport& report : versions) {
            Json entries = Json::array();
            for (const EvidenceEntry& entry : report.entries)
                entries.push_back(encodeEvidence(entry));
            result.push_back({ { "service", report.pair.service.value() }, { "from", report.pair.from.value() },
                { "to", report.pair.to.value() }, { "sequence", report.sequence }, { "entries", std::move(entries) },
                { "stopped", report.stopped.has_value() } });
        }
        return result;
    }

    std::vector<VersionReport> decodeVersions(const Json& versions, const NodeId& process)
    {
        std::vector<VersionReport> result;
        for (const Json& value : versions) {
            VersionReport report;
            report.pair = { ServiceName(value.at("service").get<std::string>()),
                VersionName(value.at("from").get<std::string>()), VersionName(value.at("to").get<std::string>()),
                WallTime() };
            report.node = process;
            report.sequence = value.at("sequence").get<std::uint64_t>();
            for (const Json& entry : value.at("entries"))
                report.entries.push_back(decodeEvidence(entry));
            if (value.at("stopped").get<bool>())
                report.stopped = VersionEvidence { report.pair, process, {} };
            result.push_back(std::move(report));
        }
        return result;
    }

    Json encodeCrashes(const std::vector<RequestCrash>& crashes)
    {
        Json result = Json::array();
        for (const RequestCrash& crash : crashes)
            result.push_back({ crash.key, crash.upstream.value(), crash.startedAt.count(), crash.endedAt.count() });
        return result;
    }

    std::vector<RequestCrash> decodeCrashes(const Json& crashes)
    {
        std::vector<RequestCrash> result;
        for (const Json& value : crashes) {
            result.push_back({ value.at(0).get<Fingerprint>(), UpstreamId(value.at(1).get<std::string>()),
                Duration(value.at(2).get<Duration::rep>()), Duration(value.at(3).get<Duration::rep>()), false });
        }
        return result;
    }

    Json encodeLimits(const std::vector<LimitStatement>& limits)
    {
        Json result = Json::array();
        for (const LimitStatement& limit : limits)
            result.push_back({ limit.upstream.value(), limit.perSecond.value_or(-1), limit.age.count() });
        return result;
    }

    /// Leaves out entries without a valid limit.
    std::vector<LimitStatement> decodeLimits(const Json& limits)
    {
        std::vector<LimitStatement> result;
        for (const Json& value : limits) {
            const auto perSecond = value.at(1).get<double>();
            const Duration age(value.at(2).get<Duration::rep>());
            if (perSecond >= 0 && age >= Duration::zero())
                result.push_back({ UpstreamId(value.at(0).get<std::string>()), perSecond, age });
        }
        return result;
    }

    Json encodeDemand(const std::map<ServiceName, ServiceDemand>& demand)
    {
        Json result = Json::object();
        for (const auto& [service, entry] : demand)
            result[service.value()] = { { "requests", entry.requestsPerSecond },
                { "promptTokens", entry.promptTokensPerSecond }, { "refused", entry.refusedPerSecond } };
        return result;
    }

    std::map<ServiceName, ServiceDemand> decodeDemand(const Json& services)
    {
        std::map<ServiceName, ServiceDemand> result;
        for (const auto& [service, entry] : services.items())
            result[ServiceName(service)] = { entry.at("requests").get<double>(), entry.at("promptTokens").get<double>(),
                entry.at("refused").get<double>() };
        return result;
    }

} // namespace

std::string NodeReport::encode() const
{
    const Json head { { "host", this->host }, { "process", this->process.value() }, { "peer", this->peerAddress },
        { "relay", this->relayAddress }, { "number", this->number }, { "completeWindow", this->completeWindow },
        { "crashes", encodeCrashes(this->crashes) }, { "limits", encodeLimits(this->limits) } };
    const Json details { { "usage", encodeUsage(this->usage) }, { "demand", encodeDemand(this->demand) },
        { "versions", encodeVersions(this->versions) } };
    return toText(head) + detailsMark + toText(details);
}

std::optional<NodeReport> NodeReport::decode(std::string_view text)
{
    std::optional<NodeReport> report = decodeHead(text);
    if (!report || !report->decodeDetails())
        return std::nullopt;
    return report;
}

std::optional<NodeReport> NodeReport::decodeHead(std::string_view text)
{
    const std::size_t headEnd = text.find(detailsMark);
    if (headEnd == std::string_view::npos)
        return std::nullopt;
    const Json value = Json::parse(text.substr(0, headEnd), nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        NodeReport report;
        report.host = value.at("host").get<std::string>();
        report.process = NodeId(value.at("process").get<std::string>());
        report.peerAddress = value.at("peer").get<std::string>();
        report.relayAddress = value.value("relay", std::string());
        report.number = value.at("number").get<std::uint64_t>();
        report.completeWindow = value.at("completeWindow").get<std::int64_t>();
        report.crashes = decodeCrashes(value.at("crashes"));
        report.limits = decodeLimits(value.at("limits"));
        report.encodedDetails = std::string(text.substr(headEnd + 1));
        return report;
    } catch (const std::exception&) {
        // A member has the wrong type or is missing.
        return std::nullopt;
    }
}

bool NodeReport::decodeDetails()
{
    if (!this->encodedDetails)
        return true;
    const Json value = Json::parse(*this->encodedDetails, nullptr, false);
    this->encodedDetails.reset();
    if (!value.is_object())
        return false;
    try {
        std::map<std::int64_t, WorkspaceCounts> windows = decodeUsage(value.at("usage"));
        std::map<ServiceName, ServiceDemand> services = decodeDemand(value.at("demand"));
        this->versions = decodeVersions(value.at("versions"), this->process);
        this->usage = std::move(windows);
        this->demand = std::move(services);
        return true;
    } catch (const std::exception&) {
        // A member has the wrong type or is missing, or a window is not a number.
        return false;
    }
}

} // namespace teaselshore
