#include <cstdlib>

#include <tclap/CmdLine.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/engine_server.hpp"
#include "teaselshore/emulators/program_arguments.hpp"

namespace {

using namespace teaselshore;

int serve(ProgramArguments& program, const EngineSettings& settings)
{
    const auto loop = EventLoop::create();
    HttpError error;
    const auto server = EngineServer::listen(*loop, program.address(), settings, program.seed(), &error);
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
        TCLAP::CmdLine commandLine("Model engine emulator: continuous batching, priorities, prefix cache, resume and "
                                   "KV transfer. POST /faults sets the version behaviour or ends the process.");
        ProgramArguments program(commandLine, 9100);
        const EngineSettings defaults;
        const TCLAP::ValueArg<std::string> model(
            "", "model", "loaded model", false, defaults.model, "name", commandLine);
        const TCLAP::ValueArg<std::string> version("", "version-name", "version", false, "v1", "name", commandLine);
        const TCLAP::ValueArg<std::string> behaviour("", "behaviour",
            "good, fails, fails-after-requests:N, fails-after-seconds:S, slow:FACTOR, fails-above-load:N or "
            "fails-on-route:PREFIX",
            false, "good", "behaviour", commandLine);
        const TCLAP::ValueArg<double> speed(
            "", "speed", "factor by which generation runs faster", false, 1, "factor", commandLine);
        const TCLAP::ValueArg<std::size_t> running(
            "", "max-running", "sequences in the batch", false, defaults.maxRunning, "number", commandLine);
        const TCLAP::ValueArg<std::size_t> queued(
            "", "max-queued", "requests that wait", false, defaults.maxQueued, "number", commandLine);
        const TCLAP::ValueArg<std::uint32_t> preemptible("", "preemptible-priority",
            "lowest priority number that gives way to more urgent work", false, defaults.preemptiblePriority, "number",
            commandLine);
        const TCLAP::ValueArg<std::size_t> blocks("", "cache-blocks", "prefix cache memory in blocks of 16 tokens",
            false, defaults.cacheBlocks, "number", commandLine);
        const TCLAP::ValueArg<std::uint32_t> stepBase(
            "", "step-us", "time of a step without work", false, 12000, "us", commandLine);
        const TCLAP::ValueArg<std::uint32_t> stepSequence(
            "", "step-sequence-us", "time of a step per sequence", false, 300, "us", commandLine);
        const TCLAP::ValueArg<std::uint32_t> stepPrefill(
            "", "step-prefill-us", "time of a step per prompt token", false, 60, "us", commandLine);
        const TCLAP::ValueArg<std::uint32_t> reportLag(
            "", "load-lag-ms", "age of load reports", false, 500, "ms", commandLine);
        const TCLAP::ValueArg<std::uint32_t> eventDelay(
            "", "event-delay-ms", "delay of cache events", false, 200, "ms", commandLine);
        const TCLAP::ValueArg<double> eventLoss(
            "", "event-loss", "share of cache events that are lost", false, 0, "share", commandLine);
        const TCLAP::ValueArg<std::uint32_t> loadTime(
            "", "load-time-ms", "time to load a model, adapter or version", false, 2000, "ms", commandLine);
        const TCLAP::ValueArg<std::string> poison("", "poison-marker",
            "prompt text that crashes the engine; empty for none", false, defaults.poisonMarker, "text", commandLine);
        const TCLAP::SwitchArg ignoresFencing(
            "", "ignore-fencing", "obey control commands with old fencing tokens", commandLine);
        commandLine.parse(argc, argv);

        const auto parsed = parseVersionBehaviour(behaviour.getValue());
        if (!parsed || !(speed.getValue() > 0) || running.getValue() == 0) {
            logLine(LogLevel::Error, "unknown behaviour, or speed or batch size not above 0",
                { { "behaviour", behaviour.getValue() }, { "speed", speed.getValue() },
                    { "maxRunning", running.getValue() } });
            return EXIT_FAILURE;
        }
        if (!program.applyLogSettings())
            return EXIT_FAILURE;
        EngineSettings settings;
        settings.model = model.getValue();
        settings.version = VersionName(version.getValue());
        settings.behaviour = *parsed;
        settings.maxRunning = running.getValue();
        settings.maxQueued = queued.getValue();
        settings.preemptiblePriority = preemptible.getValue();
        settings.cacheBlocks = blocks.getValue();
        settings.step.base = Duration(stepBase.getValue());
        settings.step.perSequence = Duration(stepSequence.getValue());
        settings.step.perPrefillToken = Duration(stepPrefill.getValue());
        settings.speed = speed.getValue();
        settings.loadReportLag = std::chrono::milliseconds(reportLag.getValue());
        settings.cacheEvents.delay = std::chrono::milliseconds(eventDelay.getValue());
        settings.cacheEvents.loss = eventLoss.getValue();
        settings.loadTime = std::chrono::milliseconds(loadTime.getValue());
        settings.poisonMarker = poison.getValue();
        settings.checksFencing = !ignoresFencing.getValue();
        return serve(program, settings);
    } catch (const TCLAP::ArgException& exception) {
        logLine(LogLevel::Error, "invalid arguments",
            { { "argument", exception.argId() }, { "reason", exception.error() } });
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
