#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "node_settings_from.hpp"
#include "signal_task.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/daemon/platform_task.hpp"
#include "teaselshore/daemon/serving_task.hpp"
#include "teaselshore/peers/peers_task.hpp"

namespace {

using namespace teaselshore;

constexpr std::string_view clusterName = "teaselshore";

std::optional<DaemonSettings> readSettings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        fmt::print(stderr, "teaselshored: {}: cannot be read\n", path);
        return std::nullopt;
    }
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::vector<ConfigurationProblem> problems;
    auto settings = parseDaemonSettings(text, problems);
    if (!settings)
        fmt::print(stderr, "teaselshored: {}\n", describeFirst(path, problems));
    return settings;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Returns nothing for messages that only nodes on a platform with shared quotas send.
std::optional<PeerContent> toPeerContent(PeerMessage message)
{
    return std::visit(
        [](auto& content) -> std::optional<PeerContent> {
            if constexpr (std::is_constructible_v<PeerContent, decltype(content)>)
                return PeerContent(std::move(content));
            return std::nullopt;
        },
        message);
}

PeerMessage toPeerMessage(const PeerContent& content)
{
    return std::visit([](const auto& group) { return PeerMessage(group); }, content);
}

PeersHandlers peersHandlers(ServingTask& serving)
{
    PeersHandlers handlers;
    handlers.onMessage = [&serving](Envelope envelope) {
        if (auto content = toPeerContent(std::move(envelope.message)))
            serving.deliver(PeerMessageReceived {
                std::move(envelope.sender), std::move(envelope.senderAddress), *std::move(content) });
        else
            logLine(LogLevel::Warning, "message for another daemon ignored", { { "sender", envelope.sender } });
    };
    handlers.onNotSent = [&serving](std::string address, PeerMessage message) {
        if (auto content = toPeerContent(std::move(message)))
            serving.deliver(PeerMessageNotSent { std::move(address), *std::move(content) });
    };
    return handlers;
}

int runDaemon(const DaemonSettings& settings, std::uint64_t seed)
{
    const auto start = std::chrono::system_clock::now().time_since_epoch();
    const NodeId id = makeNodeId(settings.node,
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(start).count()));
    setLogNode(id.value());

    HttpError error;
    const auto serving = ServingTask::create(settings, nodeSettingsFrom(settings, id, seed), &error);
    if (!serving) {
        logLine(LogLevel::Error, "cannot listen for callers or operators", { { "reason", error.detail } });
        return EXIT_FAILURE;
    }
    PeersSettings peersSettings;
    peersSettings.node = id;
    peersSettings.cluster = clusterName;
    peersSettings.address = formatSocketAddress(settings.peer);
    PeersError peersError {};
    const auto peers = PeersTask::start(peersSettings, peersHandlers(*serving), peersError);
    if (!peers) {
        logLine(LogLevel::Error, "cannot listen for peers", { { "address", peersSettings.address } });
        return EXIT_FAILURE;
    }
    const auto platform
        = PlatformTask::start(settings, [&serving](NodeEvent event) { serving->deliver(std::move(event)); });

    ServingOutlets outlets;
    outlets.sendToPeer = [&peers, &serving](const std::string& address, PeerContent content) {
        if (!peers->send(address, toPeerMessage(content)))
            serving->deliver(PeerMessageNotSent { address, std::move(content) });
    };
    outlets.forgetPeer = [&peers](const std::string& address) { peers->forget(address); };
    outlets.callObjectApi = [&platform](ObjectCommand call) { platform->call(std::move(call)); };
    outlets.watchConfiguration = [&platform](bool enabled) { platform->watchConfiguration(enabled); };
    outlets.readHostList = [&platform] { platform->readHostList(); };
    outlets.readNotices = [&platform] { platform->readNotices(); };
    serving->connect(std::move(outlets));

    // Ends before the task does.
    const SignalTask signals(
        [&serving] { serving->requestStop(); }, [] { logLine(LogLevel::Info, "settings apply at the next start"); });
    logLine(LogLevel::Info, "started",
        { { "listen", formatSocketAddress(settings.listen) }, { "admin", formatSocketAddress(settings.admin) },
            { "peer", peersSettings.address }, { "zone", settings.zone } });
    serving->run();
    logLine(LogLevel::Info, "stopped");
    platform->stop();
    peers->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    // First of all: a signal that comes while the settings are read would end the process.
    blockSignals();
    try {
        TCLAP::CmdLine commandLine("Daemon of teaselshore: takes requests of callers and routes them to upstreams. "
                                   "SIGTERM starts a graceful shutdown.");
        const TCLAP::ValueArg<std::string> settingsPath(
            "s", "settings", "settings file (YAML); see docs/operators-guide.md", true, "", "path", commandLine);
        const TCLAP::ValueArg<std::uint64_t> seed(
            "", "seed", "seed of all random choices; random if not given", false, 0, "number", commandLine);
        commandLine.parse(argc, argv);

        const auto settings = readSettings(settingsPath.getValue());
        if (!settings)
            return EXIT_FAILURE;
        setLogLevel(settings->logLevel);
        return runDaemon(*settings, seed.isSet() ? seed.getValue() : randomSeed());
    } catch (const TCLAP::ArgException& exception) {
        fmt::print(stderr, "teaselshored: {}: {}\n", exception.argId(), exception.error());
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
