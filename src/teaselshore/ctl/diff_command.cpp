#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "teaselshore/ctl/configuration_object.hpp"

namespace teaselshore {

ExitCode runCommand(const DiffCommand& command, CommandContext& context)
{
    ExitCode exitCode = ExitCode::Ok;
    const auto file = readConfigurationFile(command.file, command.output, context, exitCode);
    if (!file)
        return exitCode;

    const ReadResult result = ConfigurationObject(context.fetcher, command.platform).read();
    if (const auto* refused = std::get_if<CallRefused>(&result)) {
        fmt::print(context.error, "object API {}: {}\n", command.platform, refused->detail);
        return ExitCode::Unreachable;
    }
    std::optional<StoredConfiguration> stored;
    if (const auto* found = std::get_if<StoredConfiguration>(&result))
        stored = *found;

    const std::uint64_t version = stored ? stored->version : 0;
    const std::vector<ConfigurationChange> changes = changesFrom(stored, file->configuration);
    if (command.output == OutputFormat::Json) {
        printJson({ { "version", version }, { "changes", toJson(changes) } }, context);
        return ExitCode::Ok;
    }
    if (stored)
        fmt::print(context.out, "version {} is in force; {}\n", version, countText(changes));
    else
        fmt::print(context.out, "no configuration is in force; {}\n", countText(changes));
    printChanges(changes, context);
    return ExitCode::Ok;
}

} // namespace teaselshore
