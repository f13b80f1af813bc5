#include <cstdlib>

#include <tclap/CmdLine.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/program_arguments.hpp"
#include "teaselshore/emulators/service_server.hpp"

namespace {

using namespace teaselshore;

int serve(ProgramArguments& program, const ServiceSettings& settings, const std::string& executionLog)
{
    const auto loop = EventLoop::create();
    HttpError error;
    const auto server = ServiceServer::listen(*loop, program.address(), settings, program.seed(), executionLog, &error);
    if (!server) {
        logListenFailed(program.address(), error);
        return EXIT_FAILURE;
    }
    logListening(program.address(), server->port());
    runUntilStopped(*loop, server->hooks(), program.grace());
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine commandLine(
            "Plain service emulator. Runs each request it takes, counts the runs per idempotency "
            "key, and never deduplicates. GET /executions shows the counts; POST /faults sets "
            "faults at run time.");
        ProgramArguments program(commandLine, 9200);
        const TCLAP::ValueArg<std::string> version("", "version-name", "version", false, "v1", "name", commandLine);
        const TCLAP::ValueArg<std::string> behaviour("", "behaviour",
            "good, fails, fails-after-requests:N, fails-after-seconds:S, slow:FACTOR, fails-above-load:N or "
            "fails-on-route:PREFIX",
            false, "good", "behaviour", commandLine);
        const TCLAP::ValueArg<double> work("", "work-ms", "mean work time", false, 20, "ms", commandLine);
        const TCLAP::ValueArg<std::size_t> running(
            "", "max-running", "requests that run at the same time", false, 64, "number", commandLine);
        const TCLAP::ValueArg<std::size_t> queued(
            "", "max-queued", "requests that wait", false, 1024, "number", commandLine);
        const TCLAP::ValueArg<double> refuse(
            "", "refuse", "share of requests refused with X-Not-Run", false, 0, "share", commandLine);
        const TCLAP::ValueArg<double> lose(
            "", "lose-answers", "share of requests that run without an answer", false, 0, "share", commandLine);
        const TCLAP::ValueArg<double> late("", "late", "share of late answers", false, 0, "share", commandLine);
        const TCLAP::ValueArg<std::uint32_t> lateDelay(
            "", "late-ms", "delay of late answers", false, 5000, "ms", commandLine);
        const TCLAP::ValueArg<std::string> executionLog(
            "", "execution-log", "file that keeps the counts over restarts", false, "", "path", commandLine);
        commandLine.parse(argc, argv);

        const auto parsed = parseVersionBehaviour(behaviour.getValue());
        if (!parsed) {
            logLine(LogLevel::Error, "unknown behaviour", { { "behaviour", behaviour.getValue() } });
            return EXIT_FAILURE;
        }
        if (!program.applyLogSettings())
            return EXIT_FAILURE;
        ServiceSettings settings;
        settings.version = VersionName(version.getValue());
        settings.behaviour = *parsed;
        settings.meanWork = fromSeconds(work.getValue() / 1000);
        settings.maxRunning = running.getValue();
        settings.maxQueued = queued.getValue();
        settings.faults
            = { refuse.getValue(), lose.getValue(), late.getValue(), std::chrono::milliseconds(lateDelay.getValue()) };
        return serve(program, settings, executionLog.getValue());
    } catch (const TCLAP::ArgException& exception) {
        logLine(LogLevel::Error, "invalid arguments",
            { { "argument", exception.argId() }, { "reason", exception.error() } });
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
