#include <cstdlib>
#include <iostream>

#include <fmt/ostream.h>

#include "teaselshore/ctl/command_line.hpp"
#include "teaselshore/ctl/run_command.hpp"

namespace {

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace teaselshore;

    const CommandDefaults defaults { environment("TEASELSHORE_PLATFORM"), environment("TEASELSHORE_NODES") };
    const ParsedCommandLine parsed = parseCommandLine({ argv, argv + argc }, defaults);
    if (const auto* error = std::get_if<UsageError>(&parsed)) {
        fmt::print(std::cerr, "teaselshorectl: {}\n", error->message);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto* command = std::get_if<Command>(&parsed);
    if (command == nullptr)
        return static_cast<int>(ExitCode::Ok);

    const std::unique_ptr<HttpFetcher> fetcher = HttpFetcher::create();
    CommandContext context { *fetcher, std::cout, std::cerr };
    const ExitCode code = std::visit([&](const auto& chosen) { return runCommand(chosen, context); }, *command);
    return static_cast<int>(code);
}
