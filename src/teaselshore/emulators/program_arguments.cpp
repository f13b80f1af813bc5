#include "teaselshore/emulators/program_arguments.hpp"

#include "teaselshore/base/log.hpp"

namespace teaselshore {

ProgramArguments::ProgramArguments(TCLAP::CmdLine& commandLine, std::uint16_t defaultPort)
    : addressArgument("", "address", "IPv4 address to listen on", false, "127.0.0.1", "address", commandLine)
    , portArgument("p", "port", "port to listen on; 0 selects a free port", false, defaultPort, "port", commandLine)
    , seedArgument("", "seed", "seed of all random decisions", false, 1, "number", commandLine)
    , graceArgument("", "stop-grace-ms", "longest wait for open requests on SIGTERM", false, 1000, "ms", commandLine)
    , logLevelArgument("", "log-level", "debug, info, warning or error", false, "info", "level", commandLine)
    , nameArgument("", "name", "name in log lines", false, "", "name", commandLine)
{
}

bool ProgramArguments::applyLogSettings()
{
    const auto level = parseLogLevel(this->logLevelArgument.getValue());
    if (!level) {
        logLine(LogLevel::Error, "unknown log level", { { "level", this->logLevelArgument.getValue() } });
        return false;
    }
    setLogLevel(*level);
    setLogNode(this->nameArgument.getValue());
    return true;
}

HttpServerSettings ProgramArguments::address()
{
    HttpServerSettings settings;
    settings.address = this->addressArgument.getValue();
    settings.port = this->portArgument.getValue();
    return settings;
}

void logListening(const HttpServerSettings& settings, std::uint16_t port)
{
    logLine(LogLevel::Info, "listening", { { "address", settings.address }, { "port", port } });
}

void logListenFailed(const HttpServerSettings& settings, const HttpError& error)
{
    logLine(LogLevel::Error, "cannot listen",
        { { "address", settings.address }, { "port", settings.port }, { "reason", error.detail } });
}

} // namespace teaselshore
