#include "teaselshore/entry/node_report.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

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

    Json encodeVersions(const std::map<ServiceName, std::map<VersionName, VersionTally>>& services)
    {
        Json result = Json::object();
        for (const auto& [service, versions] : services) {
            for (const auto& [version, tally] : versions) {
                result[service.value()][version.value()] = { { "responses", tally.responses },
                    { "failures", tally.failures }, { "ms", tally.totalMilliseconds } };
            }
        }
        return result;
    }

    std::map<ServiceName, std::map<VersionName, VersionTally>> decodeVersions(const Json& services)
    {
        std::map<ServiceName, std::map<VersionName, VersionTally>> result;
        for (const auto& [service, versions] : services.items()) {
            for (const auto& [version, tally] : versions.items())
                result[ServiceName(service)][VersionName(version)] = { tally.at("responses").get<std::uint64_t>(),
                    tally.at("failures").get<std::uint64_t>(), tally.at("ms").get<double>() };
        }
        return result;
    }

    Json encodeDemand(const std::map<ServiceName, ServiceDemand>& demand)
    {
        Json result = Json::object();
        for (const auto& [service, entry] : demand)
            result[service.value()]
                = { { "requests", entry.requestsPerSecond }, { "promptTokens", entry.promptTokensPerSecond },
                      { "running", entry.running }, { "refused", entry.refusedPerSecond } };
        return result;
    }

    std::map<ServiceName, ServiceDemand> decodeDemand(const Json& services)
    {
        std::map<ServiceName, ServiceDemand> result;
        for (const auto& [service, entry] : services.items())
            result[ServiceName(service)] = { entry.at("requests").get<double>(), entry.at("promptTokens").get<double>(),
                entry.at("running").get<double>(), entry.at("refused").get<double>() };
        return result;
    }

} // namespace

std::string NodeReport::encode() const
{
    Json quota = Json::object();
    for (const auto& [workspace, amount] : this->quotaDemand)
        quota[workspace.value()] = amount;
    const Json value { { "host", this->host }, { "process", this->process.value() }, { "number", this->number },
        { "completeWindow", this->completeWindow }, { "usage", encodeUsage(this->usage) },
        { "quotaDemand", std::move(quota) }, { "demand", encodeDemand(this->demand) },
        { "versions", encodeVersions(this->versions) } };
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<NodeReport> NodeReport::decode(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        NodeReport report;
        report.host = value.at("host").get<std::string>();
        report.process = NodeId(value.at("process").get<std::string>());
        report.number = value.at("number").get<std::uint64_t>();
        report.completeWindow = value.at("completeWindow").get<std::int64_t>();
        report.usage = decodeUsage(value.at("usage"));
        for (const auto& [workspace, amount] : value.at("quotaDemand").items())
            report.quotaDemand[WorkspaceName(workspace)] = amount.get<double>();
        report.demand = decodeDemand(value.at("demand"));
        report.versions = decodeVersions(value.at("versions"));
        return report;
    } catch (const std::exception&) {
        // A wrong type, a missing member or a window that is no number: the object is no report.
        return std::nullopt;
    }
}

} // namespace teaselshore
