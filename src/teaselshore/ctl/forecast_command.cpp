#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "node_replies.hpp"
#include "teaselshore/base/json_text.hpp"
#include "teaselshore/ctl/admin_reply.hpp"
#include "teaselshore/ctl/table.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr std::uint64_t statusUnauthorized = 401;
    constexpr std::uint64_t statusNotFound = 404;

    std::string requestText(const ForecastCommand& command)
    {
        Json request { { "method", command.method }, { "host", command.host }, { "path", command.path } };
        if (!command.key.empty())
            request["key"] = command.key;
        if (command.promptTokens) {
            request["promptTokens"] = *command.promptTokens;
            request["outputTokens"] = command.outputTokens;
        }
        Json parts = Json::array();
        for (const ForecastPart& part : command.parts)
            parts.push_back({ { "id", part.id }, { "tokens", part.tokens } });
        if (!parts.empty())
            request["parts"] = std::move(parts);
        return toJsonText(request);
    }

    std::string orDash(const std::optional<double>& milliseconds)
    {
        return milliseconds ? fmt::format("{:.0f} ms", *milliseconds) : "-";
    }

    void printNodes(const std::vector<NodeReply<NodeForecast>>& replies, CommandContext& context)
    {
        Table table({ "NODE", "OUTCOME", "STATUS", "RETRY AFTER", "LONGEST WAIT", "ROUTE", "WORKSPACE", "SERVICE",
            "ZONE", "VERSION", "REASON" });
        for (const NodeReply<NodeForecast>& reply : replies) {
            if (!reply.value)
                continue;
            const NodeForecast& value = *reply.value;
            table.addRow({ value.node, value.outcome, value.status == 0 ? "-" : std::to_string(value.status),
                orDash(value.retryAfterMs), orDash(value.longestWaitMs), value.route, value.workspace, value.service,
                value.zone, value.version, value.reason });
        }
        table.print(context.out);
    }

    /// Terms that are zero for all candidates of a node are left out.
    void printCandidates(const NodeForecast& forecast, CommandContext& context)
    {
        if (forecast.candidates.empty())
            return;
        std::vector<std::string> header { "UPSTREAM", "SCORE (s)", "FIRST EVENT", "CACHED TOKENS" };
        std::vector<std::size_t> shown;
        for (std::size_t i = 0; i < forecast.candidates.front().terms.size(); i++) {
            bool isZero = true;
            for (const ForecastCandidate& candidate : forecast.candidates)
                isZero = isZero && (i >= candidate.terms.size() || candidate.terms[i].second == 0);
            if (isZero)
                continue;
            shown.push_back(i);
            header.push_back(forecast.candidates.front().terms[i].first);
        }
        Table table(header);
        for (const ForecastCandidate& candidate : forecast.candidates) {
            std::vector<std::string> row { candidate.upstream, fmt::format("{:.4f}", candidate.score),
                fmt::format("{:.0f} ms", candidate.predictedFirstEventMs), std::to_string(candidate.cachedTokens) };
            for (const std::size_t i : shown)
                row.push_back(i < candidate.terms.size() ? fmt::format("{:.4f}", candidate.terms[i].second) : "-");
            table.addRow(std::move(row));
        }
        fmt::print(context.out, "\n{}, best first:\n", printable(forecast.node));
        table.print(context.out);
    }

    /// Returns whether all nodes that replied would answer with the status.
    bool allReject(const std::vector<NodeReply<NodeForecast>>& replies, std::uint64_t status)
    {
        bool any = false;
        for (const NodeReply<NodeForecast>& reply : replies) {
            if (!reply.value)
                continue;
            if (reply.value->status != status)
                return false;
            any = true;
        }
        return any;
    }

} // namespace

ExitCode runCommand(const ForecastCommand& command, CommandContext& context)
{
    auto replies = askNodes(context, command.nodes, "POST", "/admin/explain", parseNodeForecast, requestText(command));
    Json nodes = Json::array();
    for (NodeReply<NodeForecast>& reply : replies) {
        if (reply.value)
            nodes.push_back(Json::parse(reply.body));
        else if (reply.failure.empty())
            reply.failure = "is not a node of teaselshore-entry that explains requests";
        else if (const Json problem = Json::parse(reply.body, nullptr, false);
                 problem.is_object() && problem.contains("problem") && problem["problem"].is_string())
            reply.failure += ": " + printable(problem["problem"].get<std::string>());
    }
    const bool incomplete = printFailures(replies, context);
    const bool isRouteUnknown = allReject(replies, statusNotFound);
    const bool isKeyUnknown = allReject(replies, statusUnauthorized);
    if (command.output == OutputFormat::Json) {
        printJson({ { "nodes", std::move(nodes) } }, context);
    } else if (!nodes.empty()) {
        printNodes(replies, context);
        for (const NodeReply<NodeForecast>& reply : replies) {
            if (reply.value)
                printCandidates(*reply.value, context);
        }
    }
    if (isRouteUnknown)
        fmt::print(context.error, "no route matches host '{}' and path '{}'\n", printable(command.host),
            printable(command.path));
    if (isKeyUnknown)
        fmt::print(context.error, "the key is missing or unknown\n");
    if (incomplete)
        return ExitCode::Unreachable;
    return isRouteUnknown ? ExitCode::NotFound : isKeyUnknown ? ExitCode::KeyUnknown : ExitCode::Ok;
}

} // namespace teaselshore
