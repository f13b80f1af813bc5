#include <map>
#include <tuple>

#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "node_replies.hpp"
#include "teaselshore/ctl/admin_reply.hpp"
#include "teaselshore/ctl/table.hpp"

namespace teaselshore {

namespace {

    using StatusReplies = std::vector<NodeReply<NodeStatus>>;

    std::string percent(double share) { return fmt::format("{:.1f}%", share * 100); }

    std::string seconds(std::uint64_t milliseconds)
    {
        return fmt::format("{:.1f} s", static_cast<double>(milliseconds) / 1000);
    }

    void printNodes(const StatusReplies& replies, CommandContext& context)
    {
        Table table({ "NODE", "ZONE", "STATE", "CONFIGURATION", "AGE", "OPEN", "QUEUED", "PLATFORM", "NOTE" });
        for (const NodeReply<NodeStatus>& reply : replies) {
            if (!reply.value) {
                table.addRow({ reply.address, "", "unreachable", "", "", "", "", "", "" });
                continue;
            }
            const NodeStatus& status = *reply.value;
            const bool configured = status.configurationVersion != 0;
            table.addRow({ status.node, status.zone, status.state,
                configured ? fmt::format("{}", status.configurationVersion) : "none",
                configured ? seconds(status.configurationAgeMs) : "", fmt::format("{}", status.openRequests),
                fmt::format("{}", status.queuedRequests), status.platformReachable ? "reachable" : "unreachable",
                status.revisionNote });
        }
        table.print(context.out);
        for (const NodeReply<NodeStatus>& reply : replies) {
            if (reply.value && reply.value->rejected)
                fmt::print(context.out, "{} rejected version {}: {}\n", printable(reply.value->node),
                    reply.value->rejected->version, printable(reply.value->rejected->problem));
        }
    }

    std::vector<std::string> serviceRow(const ServiceStatus& service)
    {
        const std::string upstreams = fmt::format("{}/{}", service.availableUpstreams, service.upstreams);
        if (!service.move)
            return { service.name, upstreams, "none", "", "", "", "" };
        const MoveStatus& move = *service.move;
        return { service.name, upstreams, move.state, fmt::format("{} -> {}", move.from, move.to), percent(move.share),
            move.moveBy, move.reason };
    }

    /// Nodes that see a service the same way share a row.
    void printServices(const StatusReplies& replies, CommandContext& context)
    {
        std::map<std::vector<std::string>, std::vector<std::string>> nodesByRow;
        for (const NodeReply<NodeStatus>& reply : replies) {
            if (!reply.value)
                continue;
            for (const ServiceStatus& service : reply.value->services)
                nodesByRow[serviceRow(service)].push_back(reply.value->node);
        }
        constexpr std::size_t maxListedNodes = 3;
        Table table({ "SERVICE", "UPSTREAMS", "MOVE", "VERSIONS", "SHARE", "MOVE BY", "REASON", "SEEN BY" });
        for (const auto& [row, nodes] : nodesByRow) {
            std::vector<std::string> cells = row;
            cells.push_back(nodes.size() > maxListedNodes ? fmt::format("{} nodes", nodes.size())
                                                          : fmt::format("{}", fmt::join(nodes, ", ")));
            table.addRow(std::move(cells));
        }
        fmt::print(context.out, "\n");
        table.print(context.out);
    }

    void printMembers(const std::vector<NodeReply<NodeMembers>>& replies, CommandContext& context)
    {
        struct View {
            MemberStatus member;
            std::map<std::string, std::size_t> states;
        };
        std::map<std::string, View> views;
        for (const NodeReply<NodeMembers>& reply : replies) {
            if (!reply.value)
                continue;
            for (const MemberStatus& member : reply.value->members) {
                View& view = views[member.node];
                if (member.configurationVersion >= view.member.configurationVersion)
                    view.member = member;
                ++view.states[member.state];
            }
        }
        Table table({ "NODE", "ZONE", "ADMIN", "CONFIGURATION", "SEEN AS" });
        for (const auto& [name, view] : views) {
            std::vector<std::string> seen;
            for (const auto& [state, count] : view.states)
                seen.push_back(fmt::format("{} by {}", state, count));
            table.addRow({ name, view.member.zone, view.member.adminAddress,
                fmt::format("{}", view.member.configurationVersion), fmt::format("{}", fmt::join(seen, ", ")) });
        }
        table.print(context.out);
    }

    /// JSON output passes the nodes' replies on, so that no field is lost.
    template <typename T> void printReplies(const std::vector<NodeReply<T>>& replies, CommandContext& context)
    {
        nlohmann::ordered_json nodes = nlohmann::ordered_json::array();
        for (const NodeReply<T>& reply : replies) {
            if (reply.value)
                nodes.push_back(
                    { { "address", reply.address }, { "reply", nlohmann::ordered_json::parse(reply.body) } });
            else
                nodes.push_back({ { "address", reply.address }, { "error", reply.failure } });
        }
        printJson({ { "nodes", std::move(nodes) } }, context);
    }

} // namespace

ExitCode runCommand(const StatusCommand& command, CommandContext& context)
{
    const StatusReplies replies = askNodes(context, command.nodes, "GET", "/admin/status", parseNodeStatus);
    if (command.output == OutputFormat::Json) {
        printReplies(replies, context);
    } else {
        printNodes(replies, context);
        printServices(replies, context);
    }
    return printFailures(replies, context) ? ExitCode::Unreachable : ExitCode::Ok;
}

ExitCode runCommand(const NodesCommand& command, CommandContext& context)
{
    const auto replies = askNodes(context, command.nodes, "GET", "/admin/nodes", parseNodeMembers);
    if (command.output == OutputFormat::Json)
        printReplies(replies, context);
    else
        printMembers(replies, context);
    return printFailures(replies, context) ? ExitCode::Unreachable : ExitCode::Ok;
}

} // namespace teaselshore
