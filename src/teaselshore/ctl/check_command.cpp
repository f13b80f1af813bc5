#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/configuration/parse.hpp"
#include "teaselshore/configuration/text_file.hpp"

namespace teaselshore {

namespace {

    ExitCode checkSettings(const CheckCommand& command, CommandContext& context)
    {
        std::string error;
        const std::optional<std::string> text = readTextFile(command.file, maxConfigurationBytes, error);
        if (!text) {
            fmt::print(context.error, "{}\n", error);
            return ExitCode::Usage;
        }
        std::vector<ConfigurationProblem> problems;
        const std::optional<DaemonSettings> settings = parseDaemonSettings(*text, problems);
        if (settings && command.output == OutputFormat::Text)
            fmt::print(context.out, "{}: valid: settings of {}\n", command.file, settings->node);
        else
            printProblems(command.file, problems, command.output, context);
        return settings ? ExitCode::Ok : ExitCode::ProblemsInText;
    }

    void printSummary(const std::string& path, const Configuration& configuration, CommandContext& context)
    {
        std::size_t upstreams = 0;
        std::size_t routes = 0;
        for (const ServiceConfiguration& service : configuration.services) {
            upstreams += service.upstreams.size();
            routes += service.routes.size();
        }
        fmt::print(context.out, "{}: valid: {} services, {} upstreams, {} routes, {} workspaces\n", path,
            configuration.services.size(), upstreams, routes, configuration.workspaces.size());
    }

} // namespace

ExitCode runCommand(const CheckCommand& command, CommandContext& context)
{
    if (command.settings)
        return checkSettings(command, context);
    ExitCode exitCode = ExitCode::Ok;
    const auto file = readConfigurationFile(command.file, command.output, context, exitCode);
    if (!file)
        return exitCode;
    if (command.output == OutputFormat::Json)
        printProblems(command.file, {}, command.output, context);
    else
        printSummary(command.file, file->configuration, context);
    return ExitCode::Ok;
}

} // namespace teaselshore
