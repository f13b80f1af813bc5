#include <cstdlib>
#include <optional>
#include <sstream>

#include <tclap/CmdLine.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/platform_server.hpp"
#include "teaselshore/emulators/program_arguments.hpp"

namespace {

using namespace teaselshore;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> fields;
    std::istringstream stream(text);
    for (std::string field; std::getline(stream, field, ',');)
        fields.push_back(field);
    return fields;
}

std::optional<HostPrice> parsePrice(const std::string& text)
{
    const std::vector<std::string> fields = split(text);
    if (fields.size() != 4)
        return std::nullopt;
    const HostPrice price { AvailabilityZone(fields[0]), HostClass(fields[1]), std::atof(fields[2].c_str()),
        std::atof(fields[3].c_str()) };
    if (price.zone.empty() || price.hostClass.empty() || price.reclaimablePerHour <= 0 || price.onDemandPerHour <= 0)
        return std::nullopt;
    return price;
}

std::optional<Host> parseHostArgument(const std::string& text)
{
    const std::vector<std::string> fields = split(text);
    if (fields.size() != 6 || (fields[3] != "reclaimable" && fields[3] != "on-demand"))
        return std::nullopt;
    const HostKind kind = fields[3] == "on-demand" ? HostKind::OnDemand : HostKind::Reclaimable;
    return Host { HostId(fields[0]), AvailabilityZone(fields[1]), HostClass(fields[2]), kind, HostState::Live,
        fields[4], fields[5] };
}

/// Prices used when none are given, for the zones of the example configuration.
std::vector<HostPrice> defaultPrices()
{
    const HostClass small("gpu-small");
    return { { AvailabilityZone("portmore-a"), small, 2.1, 6.0 },
        { AvailabilityZone("spanish-town-b"), small, 2.3, 6.2 },
        { AvailabilityZone("old-harbour-c"), small, 1.9, 5.9 } };
}

bool readPrices(const std::vector<std::string>& arguments, std::vector<HostPrice>& prices)
{
    for (const std::string& argument : arguments) {
        const auto price = parsePrice(argument);
        if (!price) {
            logLine(LogLevel::Error, "malformed price", { { "price", argument } });
            return false;
        }
        prices.push_back(*price);
    }
    if (prices.empty())
        prices = defaultPrices();
    return true;
}

bool readHosts(const std::vector<std::string>& arguments, std::vector<Host>& hosts)
{
    for (const std::string& argument : arguments) {
        const auto host = parseHostArgument(argument);
        if (!host) {
            logLine(LogLevel::Error, "malformed host", { { "host", argument } });
            return false;
        }
        hosts.push_back(*host);
    }
    return true;
}

int serve(ProgramArguments& program, const PlatformSettings& settings)
{
    const auto loop = EventLoop::create();
    HttpError error;
    const auto server = PlatformServer::listen(*loop, program.address(), settings, program.seed(), &error);
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
            "Platform emulator: object API, cloud API, host list and weight store. POST /faults "
            "sets faults, POST /cloud/reclaim announces reclaims, GET /stats shows call counts.");
        ProgramArguments program(commandLine, 9000);
        const TCLAP::ValueArg<double> writes(
            "", "writes-per-second", "write limit of the object API; 0 for none", false, 400, "number", commandLine);
        const TCLAP::ValueArg<double> reads(
            "", "reads-per-second", "read limit of the object API; 0 for none", false, 2000, "number", commandLine);
        const TCLAP::MultiArg<std::string> prices(
            "", "price", "offer of the cloud; may be repeated", false, "zone,class,reclaimable,on-demand", commandLine);
        const TCLAP::MultiArg<std::string> hosts("", "host", "host that runs from the start; may be repeated", false,
            "id,zone,class,kind,role,address", commandLine);
        const TCLAP::ValueArg<std::uint32_t> startDelay(
            "", "start-delay-ms", "time until a started host is live", false, 2000, "ms", commandLine);
        const TCLAP::ValueArg<std::uint32_t> lag(
            "", "host-list-lag-ms", "delay of the host list", false, 2000, "ms", commandLine);
        const TCLAP::ValueArg<double> fetches(
            "", "fetches-per-second", "fetch limit of the weight store; 0 for none", false, 5, "number", commandLine);
        commandLine.parse(argc, argv);

        if (!program.applyLogSettings())
            return EXIT_FAILURE;
        PlatformSettings settings;
        settings.objects.writesPerSecond = writes.getValue();
        settings.objects.readsPerSecond = reads.getValue();
        settings.cloud.startDelay = std::chrono::milliseconds(startDelay.getValue());
        settings.hostListLag = std::chrono::milliseconds(lag.getValue());
        settings.weights.fetchesPerSecond = fetches.getValue();
        if (!readPrices(prices.getValue(), settings.cloud.prices) || !readHosts(hosts.getValue(), settings.hosts))
            return EXIT_FAILURE;
        return serve(program, settings);
    } catch (const TCLAP::ArgException& exception) {
        logLine(LogLevel::Error, "invalid arguments",
            { { "argument", exception.argId() }, { "reason", exception.error() } });
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
