#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

#include "teaselshore/membership/configuration_distributor.hpp"
#include "teaselshore/membership/membership.hpp"

namespace teaselshore {

/// @brief Message between two simulated nodes.
using SimulatedMessage = std::variant<MembershipMessage, ConfigurationMessage>;

/// @brief Returns the CPU time of the calling thread, which does not grow while other processes have the core.
inline std::chrono::nanoseconds threadCpuTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// @brief Messages sent by a simulated node and the CPU time spent on it.
struct SimulatedTraffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds cpuTime {};
};

/// @brief Address in the simulated cluster and the process that currently runs on it.
struct SimulatedNode {
    Member member;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigurationDistributor> distributor;
    bool up = false;
    Instant pausedUntil {};
    /// Members that this node declared dead, with the time.
    std::vector<std::pair<Instant, NodeId>> declaredDead;
    std::size_t suspicions = 0;
    std::vector<ConfigurationVersion> adopted;
    std::vector<ConfigurationVersion> invalid;
    /// Traffic of the failure detector and of the distributor.
    SimulatedTraffic membershipTraffic;
    SimulatedTraffic configurationTraffic;
};

/// @brief Discrete-event simulation of nodes whose messages can be lost, delayed or blocked, for tests and benchmarks.
class ClusterSimulation {
public:
    explicit ClusterSimulation(std::uint64_t seed, std::size_t regions = 3)
        : random(seed)
        , regions(regions)
    {
    }

    /// Probability that a message is lost.
    double loss = 0;
    /// Minimum message delay. Up to the same time is added at random.
    Duration delay = std::chrono::milliseconds(5);
    /// Returns whether messages from one node reach another.
    std::function<bool(std::size_t from, std::size_t to)> connected = [](std::size_t, std::size_t) { return true; };
    /// Returns the encoded size of a message. Messages and bytes are not counted without it.
    std::function<std::size_t(const Member& sender, const SimulatedMessage&)> wireSize;
    /// Configuration object, which watching nodes read while it is available.
    bool objectAvailable = true;
    ConfigurationVersion objectVersion = 0;
    std::string objectText;
    ConfigurationCheck check = [](std::string_view text) {
        return text.starts_with("invalid") ? std::optional<std::string>("marked invalid") : std::nullopt;
    };

    static std::string addressOf(std::size_t index) { return fmt::format("10.0.{}.{}:7000", index / 250, index % 250); }

    /// @brief Adds a node at a new address and returns its index.
    std::size_t add()
    {
        const std::size_t index = this->nodes.size();
        this->nodes.emplace_back();
        this->nodeIndices[addressOf(index)] = index;
        this->start(index);
        this->schedule(index, this->now + Duration(this->random.below(tickPeriod.count())));
        return index;
    }

    void addMany(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->add();
    }

    /// @brief Starts a new process at the address of a node.
    void start(std::size_t index)
    {
        SimulatedNode& node = this->nodes[index];
        const std::size_t region = index % this->regions;
        node.member = { NodeId(this->random.hex(16)), AvailabilityZone(fmt::format("zone-{}-{}", region, index % 4)),
            Region(fmt::format("region-{}", region)), addressOf(index), 1, MemberState::Alive };
        node.membership
            = std::make_unique<Membership>(node.member, MembershipSettings {}, RandomSource(this->random.next()));
        node.distributor = std::make_unique<ConfigurationDistributor>(
            node.member, DistributorSettings {}, this->check, RandomSource(this->random.next()));
        node.up = true;
        node.pausedUntil = {};
        node.adopted.clear();
        this->handle(index, node.membership->onHostList(this->hostList, this->now));
    }

    void crash(std::size_t index) { this->nodes[index].up = false; }

    void leave(std::size_t index)
    {
        this->handle(index, this->nodes[index].membership->onLeave(this->now));
        this->nodes[index].up = false;
    }

    void pause(std::size_t index, Duration time) { this->nodes[index].pausedUntil = this->now + time; }

    void updateHostList(std::vector<ListedHost> hosts)
    {
        this->hostList = std::move(hosts);
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (this->nodes[index].up)
                this->handle(index, this->nodes[index].membership->onHostList(this->hostList, this->now));
        }
    }

    /// @brief Replaces the host list by the addresses of the first count nodes.
    void listFirstNodes(std::size_t count)
    {
        std::vector<ListedHost> hosts;
        for (std::size_t index = 0; index < count; ++index)
            hosts.push_back({ addressOf(index), false });
        this->updateHostList(std::move(hosts));
    }

    void run(Duration time)
    {
        const Instant end = this->now + time;
        while (!this->events.empty() && this->events.top().at <= end) {
            Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->execute(std::move(event));
        }
        this->now = end;
    }

    /// @brief Runs until the condition holds and returns the elapsed time, which is at least the limit if it never
    /// held.
    Duration runUntil(const std::function<bool()>& condition, Duration limit)
    {
        const Instant start = this->now;
        while (this->now - start < limit && !condition())
            this->run(std::chrono::milliseconds(50));
        return this->now - start;
    }

    /// @brief Returns whether the live members of each running node are exactly the running nodes.
    bool hasConverged() const
    {
        std::set<NodeId> running;
        for (const SimulatedNode& node : this->nodes) {
            if (node.up)
                running.insert(node.member.id);
        }
        for (const SimulatedNode& node : this->nodes) {
            if (!node.up)
                continue;
            const std::vector<Member> live = node.membership->liveMembers();
            if (live.size() != running.size())
                return false;
            for (const Member& member : live) {
                if (!running.contains(member.id))
                    return false;
            }
        }
        return true;
    }

    bool allHaveVersion(ConfigurationVersion version) const
    {
        for (const SimulatedNode& node : this->nodes) {
            if (node.up && node.distributor->version() != version)
                return false;
        }
        return true;
    }

    void publish(std::string text)
    {
        this->objectVersion += 1;
        this->objectText = std::move(text);
    }

    Instant now { std::chrono::hours(1) };
    std::vector<SimulatedNode> nodes;

private:
    static constexpr Duration tickPeriod = std::chrono::milliseconds(100);

    struct Event {
        Instant at {};
        std::uint64_t sequence = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        /// Null for a tick.
        std::shared_ptr<const SimulatedMessage> message;

        bool operator<(const Event& other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(this->at, this->sequence);
        }
    };

    void schedule(std::size_t index, Instant at)
    {
        this->events.push({ at, this->nextSequence++, index, index, nullptr });
    }

    void execute(Event event)
    {
        SimulatedNode& node = this->nodes[event.to];
        if (node.up && node.pausedUntil > this->now) {
            // Messages stay in the connection and ticks in the event loop until the process continues.
            event.at = node.pausedUntil;
            this->events.push(std::move(event));
            return;
        }
        if (event.message) {
            if (node.up)
                this->deliver(event.to, this->nodes[event.from].member.address, *event.message);
            return;
        }
        this->schedule(event.to, this->now + tickPeriod);
        if (node.up)
            this->tick(event.to);
    }

    /// @brief Runs a step of a node and adds its CPU time to the traffic.
    template <typename Step> auto runMeasured(SimulatedTraffic& traffic, Step step)
    {
        const std::chrono::nanoseconds start = threadCpuTime();
        auto commands = step();
        traffic.cpuTime += threadCpuTime() - start;
        return commands;
    }

    void tick(std::size_t index)
    {
        SimulatedNode& node = this->nodes[index];
        this->handle(
            index, this->runMeasured(node.membershipTraffic, [&] { return node.membership->onTick(this->now); }));
        this->handle(
            index, this->runMeasured(node.configurationTraffic, [&] { return node.distributor->onTick(this->now); }));
        const bool watchesObject = this->objectAvailable && node.distributor->shouldWatch();
        const bool alreadyRejected = !node.invalid.empty() && node.invalid.back() == this->objectVersion;
        if (!watchesObject || alreadyRejected || this->objectVersion <= node.distributor->version())
            return;
        this->handle(index, this->runMeasured(node.configurationTraffic, [&] {
            return node.distributor->onObjectVersion(this->objectVersion, this->objectText, this->now);
        }));
    }

    void deliver(std::size_t index, const std::string& sender, const SimulatedMessage& message)
    {
        SimulatedNode& node = this->nodes[index];
        if (const auto* membershipMessage = std::get_if<MembershipMessage>(&message)) {
            this->handle(index, this->runMeasured(node.membershipTraffic, [&] {
                return std::visit([&](const auto& value) { return this->receive(node, value); }, *membershipMessage);
            }));
            return;
        }
        this->handle(index, this->runMeasured(node.configurationTraffic, [&] {
            return std::visit([&](const auto& value) { return this->receive(node, sender, value); },
                std::get<ConfigurationMessage>(message));
        }));
    }

    std::vector<MembershipCommand> receive(SimulatedNode& node, const Ping& ping)
    {
        return node.membership->onPing(ping, this->now);
    }
    std::vector<MembershipCommand> receive(SimulatedNode& node, const PingRequest& request)
    {
        return node.membership->onPingRequest(request, this->now);
    }
    std::vector<MembershipCommand> receive(SimulatedNode& node, const Ack& ack)
    {
        return node.membership->onAck(ack, this->now);
    }
    std::vector<ConfigurationCommand> receive(
        SimulatedNode& node, const std::string& sender, const ConfigurationDigest& digest)
    {
        return node.distributor->onDigest(sender, digest, this->now);
    }
    std::vector<ConfigurationCommand> receive(
        SimulatedNode& node, const std::string& sender, const ConfigurationRequest& request)
    {
        return node.distributor->onRequest(sender, request, this->now);
    }
    std::vector<ConfigurationCommand> receive(
        SimulatedNode& node, const std::string& sender, const ConfigurationText& text)
    {
        return node.distributor->onText(sender, text, this->now);
    }

    template <typename Command> void handle(std::size_t index, std::vector<Command> commands)
    {
        bool membersChanged = false;
        for (Command& command : commands) {
            std::visit([&](auto& value) { this->perform(index, value); }, command);
            if constexpr (std::is_same_v<Command, MembershipCommand>)
                membersChanged = membersChanged || std::holds_alternative<MemberChanged>(command);
        }
        SimulatedNode& node = this->nodes[index];
        if (membersChanged)
            node.distributor->onMembers(node.membership->liveMembers());
    }

    void perform(std::size_t index, SendPing& command) { this->send(index, command.address, command.ping); }
    void perform(std::size_t index, SendPingRequest& command) { this->send(index, command.address, command.request); }
    void perform(std::size_t index, SendAck& command) { this->send(index, command.address, command.ack); }
    void perform(std::size_t index, SendDigest& command) { this->send(index, command.address, command.digest); }
    void perform(std::size_t index, RequestConfiguration& command)
    {
        this->send(index, command.address, command.request);
    }
    void perform(std::size_t index, SendConfiguration& command) { this->send(index, command.address, command.text); }
    void perform(std::size_t index, MemberChanged& command)
    {
        if (command.member.state == MemberState::Suspect)
            this->nodes[index].suspicions += 1;
        if (command.member.state == MemberState::Dead)
            this->nodes[index].declaredDead.emplace_back(this->now, command.member.id);
    }
    void perform(std::size_t index, AdoptConfiguration& command)
    {
        this->nodes[index].adopted.push_back(command.version);
    }
    void perform(std::size_t index, ReportInvalid& command) { this->nodes[index].invalid.push_back(command.version); }

    template <typename Message> void send(std::size_t from, const std::string& address, Message& content)
    {
        constexpr bool isMembershipMessage = std::is_constructible_v<MembershipMessage, Message>;
        using Group = std::conditional_t<isMembershipMessage, MembershipMessage, ConfigurationMessage>;
        auto message = std::make_shared<const SimulatedMessage>(Group(std::move(content)));
        SimulatedNode& node = this->nodes[from];
        if (this->wireSize) {
            SimulatedTraffic& traffic = isMembershipMessage ? node.membershipTraffic : node.configurationTraffic;
            traffic.messages += 1;
            traffic.bytes += this->wireSize(node.member, *message);
        }
        const auto to = this->nodeIndices.find(address);
        if (to == this->nodeIndices.end() || !this->connected(from, to->second) || this->random.uniform() < this->loss)
            return;
        const auto jitter = this->random.below(static_cast<std::uint64_t>(this->delay.count()) + 1);
        const Instant at = this->now + this->delay + Duration(jitter);
        this->events.push({ at, this->nextSequence++, from, to->second, std::move(message) });
    }

    RandomSource random;
    std::size_t regions;
    std::map<std::string, std::size_t> nodeIndices;
    std::vector<ListedHost> hostList;
    std::priority_queue<Event> events;
    std::uint64_t nextSequence = 0;
};

} // namespace teaselshore
