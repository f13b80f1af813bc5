#include <algorithm>
#include <tuple>

#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "node_replies.hpp"
#include "teaselshore/ctl/admin_reply.hpp"
#include "teaselshore/ctl/table.hpp"
#include "teaselshore/ctl/trace_tree.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::ordered_json;

    double milliseconds(std::int64_t micros) { return static_cast<double>(micros) / 1000; }

    /// A node that did not reply may know the id, so that its absence proves nothing.
    ExitCode reportNotFound(const std::string& what, bool incomplete, CommandContext& context)
    {
        fmt::print(context.error, "{} is not known to {}\n", what,
            incomplete ? "the nodes that replied" : "any node; nodes keep recent requests only");
        return incomplete ? ExitCode::Unreachable : ExitCode::NotFound;
    }

    ExitCode refuseId(const std::string& id, CommandContext& context)
    {
        fmt::print(context.error, "'{}' is not an id: letters, digits, '.', '_' and '-'\n", printable(id));
        return ExitCode::Usage;
    }

    std::string attributesText(const TraceSpan& span)
    {
        std::vector<std::string> parts;
        for (const auto& [key, value] : span.attributes)
            parts.push_back(fmt::format("{}={}", key, value));
        return fmt::format("{}", fmt::join(parts, " "));
    }

    void printTree(const std::vector<TraceLine>& lines, CommandContext& context)
    {
        std::int64_t start = lines.front().span.startMicros;
        for (const TraceLine& line : lines)
            start = std::min(start, line.span.startMicros);
        constexpr std::size_t maxIndent = 40;
        Table table({ "START", "LENGTH", "NODE", "SPAN", "ATTRIBUTES" });
        for (const TraceLine& line : lines)
            table.addRow({ fmt::format("{:.3f} ms", milliseconds(line.span.startMicros - start)),
                fmt::format("{:.3f} ms", milliseconds(line.span.durationMicros)), line.span.node,
                std::string(std::min(line.depth * 2, maxIndent), ' ') + line.span.name, attributesText(line.span) });
        table.print(context.out);
    }

    void printTreeJson(const std::string& traceId, const std::vector<TraceLine>& lines, CommandContext& context)
    {
        Json spans = Json::array();
        for (const TraceLine& line : lines)
            spans.push_back(
                { { "depth", line.depth }, { "spanId", line.span.spanId }, { "parentSpanId", line.span.parentSpanId },
                    { "node", line.span.node }, { "name", line.span.name }, { "startMicros", line.span.startMicros },
                    { "durationMicros", line.span.durationMicros }, { "attributes", line.span.attributes } });
        printJson({ { "traceId", traceId }, { "spans", std::move(spans) } }, context);
    }

    void printSteps(const std::vector<ExplainStep>& steps, CommandContext& context)
    {
        if (steps.empty())
            return;
        Table table({ "TIME", "NODE", "DECISION", "EXPLANATION" });
        for (const ExplainStep& step : steps)
            table.addRow({ fmt::format("{:.3f} ms", milliseconds(step.timeMicros - steps.front().timeMicros)),
                step.node, step.kind, step.text });
        table.print(context.out);
    }

    void printExplanation(const std::string& request, const std::vector<NodeReply<NodeExplanation>>& replies,
        const std::vector<ExplainStep>& steps, CommandContext& context)
    {
        Table table({ "NODE", "STATE", "WORKSPACE", "SERVICE", "ROUTE", "CLASS", "TRACE" });
        for (const NodeReply<NodeExplanation>& reply : replies) {
            if (!reply.value)
                continue;
            const NodeExplanation& value = *reply.value;
            table.addRow({ value.node, value.state, value.workspace, value.service, value.route, value.latencyClass,
                value.traceId });
        }
        fmt::print(context.out, "request {}\n", request);
        table.print(context.out);
        fmt::print(context.out, "\n");
        printSteps(steps, context);
    }

    std::optional<std::string> findAdminAddress(
        const DrainCommand& command, CommandContext& context, ExitCode& exitCode)
    {
        // An address needs no lookup; see parseCommandLine().
        if (command.nodes.empty())
            return command.node;
        const auto replies = askNodes(context, command.nodes, "GET", "/admin/status", parseNodeStatus);
        for (const NodeReply<NodeStatus>& reply : replies) {
            if (reply.value && reply.value->node == command.node)
                return reply.address;
        }
        const bool incomplete = printFailures(replies, context);
        exitCode = reportNotFound(fmt::format("node '{}'", printable(command.node)), incomplete, context);
        return std::nullopt;
    }

} // namespace

ExitCode runCommand(const TraceCommand& command, CommandContext& context)
{
    if (!isPathSegment(command.id))
        return refuseId(command.id, context);
    const auto replies = askNodes(context, command.nodes, "GET", "/admin/trace/" + command.id, parseNodeTrace);
    std::vector<TraceSpan> spans;
    std::string traceId = command.id;
    for (const NodeReply<NodeTrace>& reply : replies) {
        if (!reply.value)
            continue;
        spans.insert(spans.end(), reply.value->spans.begin(), reply.value->spans.end());
        if (!reply.value->traceId.empty())
            traceId = reply.value->traceId;
    }
    const bool incomplete = printFailures(replies, context);
    if (spans.empty())
        return reportNotFound(command.id, incomplete, context);

    const std::vector<TraceLine> lines = joinSpans(spans);
    if (command.output == OutputFormat::Json) {
        printTreeJson(traceId, lines, context);
    } else {
        fmt::print(context.out, "trace {}\n", printable(traceId));
        printTree(lines, context);
    }
    return incomplete ? ExitCode::Unreachable : ExitCode::Ok;
}

ExitCode runCommand(const ExplainCommand& command, CommandContext& context)
{
    if (!isPathSegment(command.request))
        return refuseId(command.request, context);
    const auto replies
        = askNodes(context, command.nodes, "GET", "/admin/explain/" + command.request, parseNodeExplanation);
    std::vector<ExplainStep> steps;
    bool found = false;
    Json nodes = Json::array();
    for (const NodeReply<NodeExplanation>& reply : replies) {
        if (!reply.value)
            continue;
        found = true;
        nodes.push_back(Json::parse(reply.body));
        steps.insert(steps.end(), reply.value->steps.begin(), reply.value->steps.end());
    }
    const bool incomplete = printFailures(replies, context);
    if (!found)
        return reportNotFound(command.request, incomplete, context);

    std::stable_sort(steps.begin(), steps.end(),
        [](const ExplainStep& first, const ExplainStep& second) { return first.timeMicros < second.timeMicros; });
    if (command.output == OutputFormat::Json)
        printJson({ { "request", command.request }, { "nodes", std::move(nodes) } }, context);
    else
        printExplanation(command.request, replies, steps, context);
    return incomplete ? ExitCode::Unreachable : ExitCode::Ok;
}

ExitCode runCommand(const DrainCommand& command, CommandContext& context)
{
    ExitCode exitCode = ExitCode::Ok;
    const std::optional<std::string> address = findAdminAddress(command, context, exitCode);
    if (!address)
        return exitCode;
    const auto replies = askNodes(context, { *address }, "POST", "/admin/drain", parseDrainReply);
    const NodeReply<DrainReply>& reply = replies.front();
    if (!reply.value) {
        fmt::print(
            context.error, "node {}: {}\n", *address, reply.failure.empty() ? "does not offer drain" : reply.failure);
        return ExitCode::Unreachable;
    }
    if (command.output == OutputFormat::Json)
        printJson(Json::parse(reply.body), context);
    else
        fmt::print(context.out, "{}: {}, {} open requests\n", printable(reply.value->node),
            printable(reply.value->state), reply.value->openRequests);
    return ExitCode::Ok;
}

} // namespace teaselshore
