#include <chrono>
#include <cstdlib>
#include <exception>
#include <optional>
#include <random>
#include <string>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "signal_task.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/configuration/entry_settings.hpp"
#include "teaselshore/configuration/text_file.hpp"
#include "teaselshore/daemon/entry_task.hpp"

namespace {

using namespace teaselshore;

/// Names the settings file if the command line does not.
constexpr const char* settingsVariable = "TEASELSHORE_NODE_FILE";

constexpr std::size_t maxSettingsBytes = 100'000;

std::optional<EntrySettings> readSettings(const std::string& path)
{
    std::string error;
    const std::optional<std::string> text = readTextFile(path, maxSettingsBytes, error);
    if (!text) {
        logLine(LogLevel::Error, "settings cannot be read", { { "path", path }, { "reason", error } });
        return std::nullopt;
    }
    std::vector<ConfigurationProblem> problems;
    auto settings = parseEntrySettings(*text, problems);
    if (!settings)
        logLine(LogLevel::Error, "settings are not valid", { { "problem", describeFirst(path, problems) } });
    return settings;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int runDaemon(const EntrySettings& settings, const std::string& path, std::uint64_t seed)
{
    setLogNode(settings.node);
    HttpError error;
    const auto task = EntryTask::create(settings, seed, &error);
    if (!task) {
        logLine(LogLevel::Error, "cannot listen", { { "reason", error.detail } });
        return EXIT_FAILURE;
    }
    // Ends before the task does.
    const SignalTask signals([&task] { task->requestStop(); },
        [&task, &path] {
            if (auto changed = readSettings(path))
                task->onSettingsChanged(std::move(*changed));
        });
    logLine(LogLevel::Info, "started",
        { { "callers", formatSocketAddress(settings.callers) }, { "admin", formatSocketAddress(settings.admin) },
            { "platform", formatSocketAddress(settings.platform) }, { "zone", settings.zone } });
    task->run();
    logLine(LogLevel::Info, "stopped");
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    // First of all: a signal that comes while the settings are read would end the process.
    blockSignals();
    try {
        TCLAP::CmdLine commandLine("Daemon of teaselshore for platforms where upstreams register themselves: takes "
                                   "requests of callers and routes them to upstreams. SIGTERM starts a graceful "
                                   "shutdown, SIGHUP reads the settings again.");
        const char* fromEnvironment = std::getenv(settingsVariable);
        const TCLAP::ValueArg<std::string> settingsPath("s", "settings",
            "settings file (YAML); see docs/OPERATIONS.md. Default: the value of TEASELSHORE_NODE_FILE",
            fromEnvironment == nullptr, fromEnvironment == nullptr ? "" : fromEnvironment, "path", commandLine);
        const TCLAP::ValueArg<std::uint64_t> seed(
            "", "seed", "seed of all random choices; random if not given", false, 0, "number", commandLine);
        commandLine.parse(argc, argv);

        setLogOutput(LogOutput::StandardOutput);
        const auto settings = readSettings(settingsPath.getValue());
        if (!settings)
            return EXIT_FAILURE;
        setLogLevel(settings->logLevel);
        return runDaemon(*settings, settingsPath.getValue(), seed.isSet() ? seed.getValue() : randomSeed());
    } catch (const TCLAP::ArgException& exception) {
        fmt::print(stderr, "teaselshore-entry: {}: {}\n", exception.argId(), exception.error());
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
