#include <type_traits>

#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "node_replies.hpp"
#include "teaselshore/configuration/parse.hpp"
#include "teaselshore/ctl/admin_reply.hpp"
#include "teaselshore/ctl/configuration_object.hpp"

namespace teaselshore {

namespace {

    constexpr Duration pollPeriod = std::chrono::milliseconds(250);

    /// What a wait for the nodes found.
    struct WaitResult {
        /// One line for each node that does not have the version in force.
        std::vector<std::string> lagging;
        bool rejected = false;
    };

    ApplyStep runSession(const ApplyCommand& command, const std::string& text, CommandContext& context)
    {
        ConfigurationObject object(context.fetcher, command.platform);
        ApplySession session(text, command.base);
        ApplyStep step = session.start();
        for (;;) {
            if (const auto* read = std::get_if<ReadCurrent>(&step)) {
                if (read->delay > Duration::zero())
                    context.fetcher.pause(read->delay);
                step = session.onRead(object.read());
                continue;
            }
            if (const auto* write = std::get_if<WriteText>(&step)) {
                step = session.onWritten(object.write(text, write->expected));
                continue;
            }
            return step;
        }
    }

    WaitResult pollNodes(const ApplyCommand& command, std::uint64_t version, CommandContext& context)
    {
        WaitResult result;
        for (const auto& reply : askNodes(context, command.nodes, "GET", "/admin/status", parseNodeStatus)) {
            if (!reply.value) {
                result.lagging.push_back(fmt::format(
                    "node {}: {}", reply.address, reply.failure.empty() ? "replied with status 404" : reply.failure));
                continue;
            }
            const NodeStatus& status = *reply.value;
            if (status.configurationVersion >= version)
                continue;
            if (status.rejected && status.rejected->version == version) {
                result.rejected = true;
                result.lagging.push_back(
                    fmt::format("node {}: rejected version {}: {}", status.node, version, status.rejected->problem));
                continue;
            }
            result.lagging.push_back(
                fmt::format("node {}: version {} is in force", status.node, status.configurationVersion));
        }
        return result;
    }

    ExitCode waitForNodes(const ApplyCommand& command, std::uint64_t version, CommandContext& context)
    {
        const Instant deadline = context.fetcher.now() + command.waitTimeout;
        for (;;) {
            const WaitResult result = pollNodes(command, version, context);
            if (result.lagging.empty())
                return ExitCode::Ok;
            if (!result.rejected && context.fetcher.now() + pollPeriod < deadline) {
                context.fetcher.pause(pollPeriod);
                continue;
            }
            for (const std::string& line : result.lagging)
                fmt::print(context.error, "{}\n", line);
            return result.rejected ? ExitCode::ProblemsInText : ExitCode::WaitTimedOut;
        }
    }

    std::string noteOf(const std::string& text)
    {
        std::vector<ConfigurationProblem> ignored;
        const std::optional<Configuration> configuration = parseConfiguration(text, ignored);
        if (!configuration)
            return "unknown (its text has problems)";
        return configuration->revisionNote.empty() ? "none" : configuration->revisionNote;
    }

    ExitCode reportDone(
        const ApplyCommand& command, const ApplyDone& done, const Configuration& configuration, CommandContext& context)
    {
        const std::vector<ConfigurationChange> changes = changesFrom(done.previous, configuration);
        if (command.output == OutputFormat::Text) {
            if (done.written)
                fmt::print(context.out, "version {} written; {}\n", done.version, countText(changes));
            else
                fmt::print(context.out, "version {} already has this text; nothing written\n", done.version);
            printChanges(changes, context);
            context.out.flush();
        }
        const ExitCode waited = command.wait ? waitForNodes(command, done.version, context) : ExitCode::Ok;
        if (command.output == OutputFormat::Json)
            printJson(
                { { "result", done.written ? "written" : "unchanged" }, { "version", done.version },
                    { "changes", toJson(changes) }, { "inForceEverywhere", command.wait && waited == ExitCode::Ok } },
                context);
        else if (command.wait && waited == ExitCode::Ok)
            fmt::print(context.out, "in force on {} nodes\n", command.nodes.size());
        return waited;
    }

    ExitCode reportLost(const ApplyCommand& command, const ApplyLost& lost, CommandContext& context)
    {
        const std::string note = lost.winner.version == 0 ? "none" : noteOf(lost.winner.text);
        if (command.output == OutputFormat::Json)
            printJson({ { "result", "lost" }, { "version", lost.winner.version }, { "revisionNote", note },
                          { "mayHaveBeenInForce", lost.mayHaveBeenInForce } },
                context);
        if (lost.winner.version == 0)
            fmt::print(context.error, "no configuration is in force; nothing was changed\n");
        else if (lost.mayHaveBeenInForce)
            fmt::print(context.error,
                "version {} is in force (revision-note: {}); an earlier write of this text had no reply and may have "
                "been in force before it\n",
                lost.winner.version, note);
        else
            fmt::print(context.error, "version {} is in force (revision-note: {}); nothing was changed\n",
                lost.winner.version, note);
        return ExitCode::LostRace;
    }

    ExitCode reportFailed(const ApplyCommand& command, const ApplyFailed& failed, CommandContext& context)
    {
        if (command.output == OutputFormat::Json)
            printJson(
                { { "result", failed.mayTakeEffect ? "unknown" : "failed" }, { "detail", failed.detail } }, context);
        fmt::print(context.error, "object API {}: {}; {}\n", command.platform, failed.detail,
            failed.mayTakeEffect ? "the write may have taken effect, see diff" : "nothing was changed");
        return ExitCode::Unreachable;
    }

} // namespace

ExitCode runCommand(const ApplyCommand& command, CommandContext& context)
{
    ExitCode exitCode = ExitCode::Ok;
    const auto file = readConfigurationFile(command.file, command.output, context, exitCode);
    if (!file)
        return exitCode;
    const ApplyStep end = runSession(command, file->text, context);
    if (const auto* done = std::get_if<ApplyDone>(&end))
        return reportDone(command, *done, file->configuration, context);
    if (const auto* lost = std::get_if<ApplyLost>(&end))
        return reportLost(command, *lost, context);
    return reportFailed(command, std::get<ApplyFailed>(end), context);
}

} // namespace teaselshore
