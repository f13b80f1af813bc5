#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/entry/entry_node.hpp"

namespace teaselshore {

/// @brief Drives one EntryNode with simulated time and a small configuration, and keeps the commands of the last event.
class EntryHarness {
public:
    static constexpr const char* hostName = "shop.example";

    explicit EntryHarness(std::uint64_t seed = 1, std::string host = "host-a")
        : node(settings(seed, std::move(host)))
    {
    }

    explicit EntryHarness(EntryNodeSettings settings)
        : node(std::move(settings))
    {
    }

    static EntryNodeSettings settings(std::uint64_t seed, std::string host)
    {
        EntryNodeSettings settings;
        settings.host.node = std::move(host);
        settings.host.zone = AvailabilityZone("zone-a");
        settings.host.zones = { AvailabilityZone("zone-a"), AvailabilityZone("zone-b") };
        // While the number of nodes is unknown, a node uses a thousandth of the floor: 20.
        settings.host.retries = { 0.2, 20'000, std::chrono::seconds(10) };
        settings.id = NodeId(settings.host.node + "-1");
        settings.seed = seed;
        return settings;
    }

    static EntryRoute route(const std::string& name, ResponseKind response, bool retryable, std::uint32_t maxAttempts)
    {
        EntryRoute route;
        route.name = RouteName(name);
        route.host = hostName;
        route.pathPrefix = "/" + name + "/";
        route.targets = { { ServiceName("app"), 1 } };
        route.response = response;
        route.retryable = retryable;
        route.timeout = std::chrono::milliseconds(1500);
        route.latencyTarget = std::chrono::milliseconds(400);
        route.maxAttempts = maxAttempts;
        return route;
    }

    static EntryConfiguration configuration(std::uint64_t version = 1)
    {
        EntryConfiguration configuration;
        configuration.version = version;
        configuration.routes = { route("order", ResponseKind::Buffered, false, 1),
            route("status", ResponseKind::Buffered, true, 2), route("digest", ResponseKind::EventStream, false, 1),
            route("query", ResponseKind::EventStream, true, 3) };
        configuration.services.push_back({ ServiceName("app"), "/health", 100, false, 0, std::nullopt });
        configuration.workspaces.push_back({ WorkspaceName("north"), { "key-n" }, std::nullopt, std::nullopt });
        return configuration;
    }

    static RegisteredUpstream upstream(int number, std::uint32_t slots = 4)
    {
        RegisteredUpstream upstream;
        upstream.instance = "i-" + std::to_string(number);
        upstream.startedAt = 1000 + number;
        upstream.service = ServiceName("app");
        upstream.address = "10.0.0." + std::to_string(number) + ":80";
        upstream.zone = AvailabilityZone("zone-a");
        upstream.version = VersionName("v1");
        upstream.slots = slots;
        return upstream;
    }

    /// @brief Sends a configuration and the given number of upstreams, so that the node becomes ready.
    void start(int upstreams = 3, std::uint32_t slots = 4)
    {
        this->send(EntryConfigurationRead { configuration() });
        UpstreamsListed listed;
        for (int number = 1; number <= upstreams; ++number)
            listed.upstreams.push_back(upstream(number, slots));
        this->send(std::move(listed));
    }

    EntryCommands& send(EntryEvent event)
    {
        this->commands = this->node.handle(std::move(event), this->now);
        return this->commands;
    }

    EntryCommands& advance(Duration time)
    {
        this->now += time;
        return this->send(EntryTick {});
    }

    /// @brief Sends a caller's request and returns its id.
    RequestId request(const std::string& route, Duration timeout = std::chrono::seconds(3), std::string key = "key-n")
    {
        CallerRequestArrived arrived { this->node.nextRequestId(), {} };
        arrived.request.method = "POST";
        arrived.request.path = "/" + route + "/x";
        arrived.request.host = hostName;
        arrived.request.attemptId = "caller-" + std::to_string(++this->requestCount);
        arrived.request.key = std::move(key);
        arrived.request.timeout = timeout;
        RequestId id = arrived.id;
        this->send(std::move(arrived));
        return id;
    }

    template <typename Command> std::vector<Command> all() const
    {
        std::vector<Command> found;
        for (const EntryCommand& command : this->commands) {
            if (const auto* match = std::get_if<Command>(&command))
                found.push_back(*match);
        }
        return found;
    }

    template <typename Command> std::optional<Command> first() const
    {
        const std::vector<Command> found = this->all<Command>();
        return found.empty() ? std::nullopt : std::optional<Command>(found.front());
    }

    /// @brief Sends an upstream's response to an attempt.
    EntryCommands& respond(AttemptId attempt, int status, bool notRun = false)
    {
        UpstreamResponded event;
        event.response.attempt = attempt;
        event.response.status = status;
        event.response.headers = { { "x-stamp", std::to_string(attempt) } };
        event.response.body = "body";
        event.facts.notRun = notRun;
        event.facts.isStamped = !notRun;
        return this->send(std::move(event));
    }

    EntryCommands& fail(AttemptId attempt, bool mayHaveRun, std::optional<std::uint64_t> lastEventId = std::nullopt)
    {
        return this->send(AttemptFailed { attempt, mayHaveRun, mayHaveRun, 0, "broken", lastEventId });
    }

    EntryNode node;
    Instant now { std::chrono::seconds(1000) };
    EntryCommands commands;
    int requestCount = 0;
};

} // namespace teaselshore
