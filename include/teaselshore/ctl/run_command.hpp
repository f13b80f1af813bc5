#pragma once

#include <ostream>

#include "teaselshore/ctl/command_line.hpp"
#include "teaselshore/ctl/exit_code.hpp"
#include "teaselshore/ctl/http_fetcher.hpp"

namespace teaselshore {

/// @brief What a command uses; all must outlive it.
struct CommandContext {
    HttpFetcher& fetcher;
    /// Results: tables, or one JSON document.
    std::ostream& out;
    /// One line for each reason why the command failed or is incomplete.
    std::ostream& error;
};

ExitCode runCommand(const CheckCommand& command, CommandContext& context);
ExitCode runCommand(const DiffCommand& command, CommandContext& context);
ExitCode runCommand(const ApplyCommand& command, CommandContext& context);
ExitCode runCommand(const StatusCommand& command, CommandContext& context);
ExitCode runCommand(const NodesCommand& command, CommandContext& context);
ExitCode runCommand(const ExplainCommand& command, CommandContext& context);
ExitCode runCommand(const ForecastCommand& command, CommandContext& context);
ExitCode runCommand(const StoryCommand& command, CommandContext& context);
ExitCode runCommand(const TraceCommand& command, CommandContext& context);
ExitCode runCommand(const DrainCommand& command, CommandContext& context);

} // namespace teaselshore
