#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/load_runner.hpp"
#include "teaselshore/emulators/stop_signals.hpp"

namespace {

using namespace teaselshore;

/// Longest wait for open requests after SIGTERM.
constexpr Duration stopGrace = std::chrono::seconds(5);

/// A few large workspaces and several small ones.
const std::vector<std::string> defaultWorkspaces { "households=5", "guesthouses=3", "depot=1", "desk=0.5",
    "council=0.5" };

std::optional<WorkspaceWeight> parseWorkspace(const std::string& text)
{
    const std::size_t equals = text.find('=');
    if (equals == 0 || equals == std::string::npos)
        return std::nullopt;
    const double weight = std::atof(text.c_str() + equals + 1);
    if (!(weight > 0))
        return std::nullopt;
    return WorkspaceWeight { WorkspaceName(text.substr(0, equals)), weight };
}

bool readWorkspaces(const std::vector<std::string>& arguments, std::vector<WorkspaceWeight>& workspaces)
{
    for (const std::string& argument : arguments.empty() ? defaultWorkspaces : arguments) {
        const auto workspace = parseWorkspace(argument);
        if (!workspace) {
            logLine(LogLevel::Error, "malformed workspace", { { "workspace", argument } });
            return false;
        }
        workspaces.push_back(*workspace);
    }
    return true;
}

int run(const LoadRunSettings& settings, bool asJson)
{
    const auto loop = EventLoop::create();
    LoadRunner runner(*loop, settings, [&] { loop->stop(); });
    const StopSignals signals([&] {
        loop->post([&] {
            logLine(LogLevel::Info, "stopping");
            runner.stopSending();
            loop->runAfter(stopGrace, [&] { runner.abandonOpen(); });
        });
    });
    loop->post([&] { runner.start(); });
    loop->run();
    const std::string text = asJson ? runner.report().json().dump(2) + "\n" : runner.report().table();
    fmt::print("{}", text);
    return runner.report().isClean() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine commandLine("Open-loop load generator that checks every answer. Exit code 0 only if no answer "
                                   "was wrong, cut, doubled or lost.");
        TCLAP::MultiArg<std::string> entries(
            "e", "entry", "entry to send to; may be repeated, used in rotation", true, "address:port", commandLine);
        TCLAP::MultiArg<std::string> services(
            "s", "service", "plain service to audit at the end; may be repeated", false, "address:port", commandLine);
        TCLAP::ValueArg<double> seconds("d", "duration-s", "length of the run", false, 10, "s", commandLine);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the plan", false, 1, "number", commandLine);
        TCLAP::ValueArg<std::string> runId(
            "", "run-id", "part of all keys; random if empty", false, "", "text", commandLine);
        TCLAP::ValueArg<double> questions(
            "", "questions", "streamed questions per second", false, 5, "rate", commandLine);
        TCLAP::ValueArg<double> plans("", "plans", "patient plans per second", false, 0.5, "rate", commandLine);
        TCLAP::ValueArg<double> orders("", "orders", "orders per second", false, 2, "rate", commandLine);
        TCLAP::ValueArg<double> statuses("", "statuses", "status lookups per second", false, 5, "rate", commandLine);
        TCLAP::ValueArg<double> poisons(
            "", "poisons", "questions per second that crash their engine", false, 0, "rate", commandLine);
        TCLAP::ValueArg<double> duplicates(
            "", "duplicates", "share of orders sent twice", false, 0.1, "share", commandLine);
        TCLAP::MultiArg<std::string> workspaces(
            "w", "workspace", "workspace and its weight; may be repeated", false, "name=weight", commandLine);
        TCLAP::ValueArg<std::string> model("", "model", "model to ask", false, "assistant-7b", "name", commandLine);
        TCLAP::ValueArg<std::string> orderPath(
            "", "order-path", "path of orders; status lookups append a key", false, "/orders", "path", commandLine);
        TCLAP::ValueArg<std::uint64_t> questionTokens(
            "", "question-tokens", "mean length of an answer to a question", false, 40, "tokens", commandLine);
        TCLAP::ValueArg<std::uint64_t> planTokens(
            "", "plan-tokens", "mean length of a plan", false, 200, "tokens", commandLine);
        TCLAP::ValueArg<double> questionDeadline(
            "", "question-deadline-s", "time after which a question is given up", false, 30, "s", commandLine);
        TCLAP::ValueArg<double> planDeadline(
            "", "plan-deadline-s", "time after which a plan is given up", false, 300, "s", commandLine);
        TCLAP::ValueArg<double> orderDeadline(
            "", "order-deadline-s", "time after which an order or lookup is given up", false, 60, "s", commandLine);
        TCLAP::ValueArg<double> idle(
            "", "idle-timeout-s", "longest wait for progress of an answer", false, 15, "s", commandLine);
        TCLAP::ValueArg<std::size_t> maxOpen(
            "", "max-open", "requests open at the same time", false, 20000, "number", commandLine);
        TCLAP::ValueArg<std::string> output("o", "output", "table or json", false, "table", "format", commandLine);
        TCLAP::ValueArg<std::string> logLevel(
            "", "log-level", "debug, info, warning or error", false, "info", "level", commandLine);
        commandLine.parse(argc, argv);

        const auto level = parseLogLevel(logLevel.getValue());
        const bool asJson = output.getValue() == "json";
        if (!level || (!asJson && output.getValue() != "table")) {
            logLine(LogLevel::Error, "unknown log level or output format",
                { { "level", logLevel.getValue() }, { "output", output.getValue() } });
            return EXIT_FAILURE;
        }
        setLogLevel(*level);

        LoadRunSettings settings;
        settings.entries = entries.getValue();
        settings.services = services.getValue();
        settings.seed = seed.getValue();
        settings.maxOpen = maxOpen.getValue();
        settings.idleTimeout = fromSeconds(idle.getValue());
        settings.flow.entries = settings.entries.size();
        LoadSettings& load = settings.load;
        load.mix
            = { questions.getValue(), plans.getValue(), orders.getValue(), statuses.getValue(), poisons.getValue() };
        load.length = fromSeconds(seconds.getValue());
        load.duplicateShare = duplicates.getValue();
        load.entries = settings.entries.size();
        load.runId = runId.getValue().empty() ? RandomSource(std::random_device {}()).hex(8) : runId.getValue();
        load.model = model.getValue();
        load.orderPath = orderPath.getValue();
        load.questionTokens = questionTokens.getValue();
        load.planTokens = planTokens.getValue();
        load.questionDeadline = fromSeconds(questionDeadline.getValue());
        load.planDeadline = fromSeconds(planDeadline.getValue());
        load.orderDeadline = fromSeconds(orderDeadline.getValue());
        if (!readWorkspaces(workspaces.getValue(), load.workspaces))
            return EXIT_FAILURE;
        logLine(LogLevel::Info, "sending", { { "runId", load.runId }, { "seed", settings.seed } });
        return run(settings, asJson);
    } catch (const TCLAP::ArgException& exception) {
        logLine(LogLevel::Error, "invalid arguments",
            { { "argument", exception.argId() }, { "reason", exception.error() } });
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
