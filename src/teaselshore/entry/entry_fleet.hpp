#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry_test_support.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Simulated platform: versioned objects, node reports, and a cloud that checks fencing tokens.
class SimulatedPlatform {
public:
    struct Object {
        std::string value;
        ObjectVersion version = 0;
    };

    ObjectResult run(const ObjectCommand& command)
    {
        return std::visit([this](const auto& call) { return this->apply(call); }, command);
    }

    /// @brief Copy of what the platform holds.
    struct Copy {
        std::map<std::string, Object> objects;
        std::map<std::string, std::string> reports;
        ObjectVersion lastVersion = 0;
    };

    Copy copy() const { return { this->objects, this->reports, this->lastVersion }; }

    /// @brief Replaces everything by an older copy, in a new era. What the cloud has accepted stays.
    void restore(Copy older)
    {
        const std::uint64_t era = eraOf(this->lastVersion) + 1;
        this->objects = std::move(older.objects);
        this->reports = std::move(older.reports);
        this->lastVersion = versionInEra(era, revisionOf(older.lastVersion));
        for (auto& [key, object] : this->objects)
            object.version = versionInEra(era, revisionOf(object.version));
    }

    std::map<std::string, Object> objects;
    std::map<std::string, std::string> reports;
    /// Usage reports that the cloud accepted, by window.
    std::map<std::int64_t, std::set<WorkspaceCounts>> usage;
    std::uint64_t highestToken = 0;
    std::map<std::uint64_t, std::set<std::string>> holders;
    std::vector<UpstreamOrder> orders;
    ObjectVersion lastVersion = 0;

private:
    ObjectResult result(ObjectCallId id, ObjectOutcome outcome, ObjectVersion version) const
    {
        ObjectResult event;
        event.id = id;
        event.outcome = outcome;
        event.version = version;
        return event;
    }

    ObjectResult apply(const ObjectCreate& call)
    {
        if (this->objects.contains(call.key))
            return this->result(call.id, ObjectOutcome::Conflict, this->objects.at(call.key).version);
        this->objects[call.key] = { call.value, ++this->lastVersion };
        return this->result(call.id, ObjectOutcome::Ok, this->lastVersion);
    }

    ObjectResult apply(const ObjectUpdate& call)
    {
        const auto found = this->objects.find(call.key);
        if (found == this->objects.end())
            return this->result(call.id, ObjectOutcome::NotFound, 0);
        if (found->second.version != call.expected)
            return this->result(call.id, ObjectOutcome::Conflict, found->second.version);
        found->second = { call.value, ++this->lastVersion };
        return this->result(call.id, ObjectOutcome::Ok, this->lastVersion);
    }

    ObjectResult apply(const ObjectRead& call)
    {
        const auto found = this->objects.find(call.key);
        if (found == this->objects.end())
            return this->result(call.id, ObjectOutcome::NotFound, 0);
        ObjectResult event = this->result(call.id, ObjectOutcome::Ok, found->second.version);
        event.value = found->second.value;
        return event;
    }

    ObjectResult apply(const ObjectList& call) { return this->result(call.id, ObjectOutcome::Ok, 0); }

    ObjectResult apply(const ObjectDelete& call)
    {
        this->objects.erase(call.key);
        return this->result(call.id, ObjectOutcome::Ok, 0);
    }
};

/// @brief Simulates a fleet of nodes that share a platform and a clock, with random faults.
class EntryFleet {
public:
    explicit EntryFleet(std::size_t size, std::uint64_t seed = 1)
        : random(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
            this->add("host-" + std::to_string(index));
    }

    /// @brief Starts a node on a host; replaces the node that runs there.
    void add(const std::string& host)
    {
        EntryNodeSettings settings = EntryHarness::settings(this->random.next(), host);
        settings.host.quota = this->tolerance;
        if (this->retries)
            settings.host.retries = *this->retries;
        if (this->configure)
            this->configure(settings.host);
        const std::size_t port = this->ports.try_emplace(host, this->ports.size() + 1).first->second;
        settings.host.peers = SocketAddress { "10.0.0.1", static_cast<std::uint16_t>(port) };
        this->peerAddresses[formatSocketAddress(*settings.host.peers)] = host;
        settings.id = NodeId(host + "-" + std::to_string(++this->startCount));
        this->knownEras.erase(host);
        this->nodes[host] = std::make_unique<EntryNode>(settings);
        this->handle(host, ClockRead { this->now.time_since_epoch() + calendarOffset + this->clockError });
        EntryConfiguration configuration = EntryHarness::configuration();
        ScaleLimits scale;
        scale.minimum = 1;
        scale.maximum = 12;
        scale.bootTime = std::chrono::seconds(4);
        scale.reclaimablePrice = 0.2;
        configuration.services[0].scale = scale;
        configuration.workspaces[0].quota = this->quota;
        this->handle(host, EntryConfigurationRead { configuration });
        UpstreamsListed listed;
        for (int number = 1; number <= 4; ++number)
            listed.upstreams.push_back(EntryHarness::upstream(number));
        this->handle(host, listed);
    }

    void advance(Duration time)
    {
        const Instant end = this->now + time;
        while (this->now < end) {
            // Loans are shorter than a step, so that the ticks of nodes within the step are run, too.
            const Instant step = this->now + std::chrono::milliseconds(100);
            for (Instant next = this->nextTick(); next < step; next = this->nextTick()) {
                this->now = std::max(next, this->now + std::chrono::milliseconds(1));
                this->deliverDue();
                this->tick();
            }
            this->now = step;
            this->deliverDue();
            this->pollRollouts();
            this->tick();
        }
    }

    Instant nextTick() const
    {
        Instant next = this->dueEvents.empty() ? Instant::max() : this->dueEvents.begin()->first;
        for (const auto& [host, node] : this->nodes) {
            if (!this->frozen.contains(host))
                next = std::min(next, node->nextTick());
        }
        return next;
    }

    /// @brief Delivers an event to a host at a later time.
    void schedule(Instant at, const std::string& host, EntryEvent event)
    {
        this->dueEvents.emplace(at, std::pair(host, std::move(event)));
    }

    void deliverDue()
    {
        while (!this->lateCalls.empty() && this->lateCalls.begin()->first <= this->now)
            this->platform.run(this->lateCalls.extract(this->lateCalls.begin()).mapped());
        while (!this->dueEvents.empty() && this->dueEvents.begin()->first <= this->now) {
            auto due = this->dueEvents.extract(this->dueEvents.begin());
            auto& [host, event] = due.mapped();
            if (!this->frozen.contains(host))
                this->handle(host, std::move(event));
        }
    }

    /// @brief Returns a version of the configuration; its text is the number of the version. Each version has one key.
    EntryConfigurationRead configurationRead(std::uint64_t version) const
    {
        EntryConfiguration configuration = EntryHarness::configuration(version);
        configuration.workspaces[0].keys = { versionKey(version) };
        return { configuration, std::to_string(version) };
    }

    static std::string versionKey(std::uint64_t version) { return "key-" + std::to_string(version); }

    /// @brief Delivers the rollout orders to each host once in 50 steps, at a different step for each host.
    void pollRollouts()
    {
        constexpr int steps = 50;
        ++this->pollStep;
        int hostNumber = 0;
        for (const auto& [host, node] : this->nodes) {
            const bool isDue = this->pollStep % steps == ++hostNumber * 7 % steps;
            if (isDue && !this->frozen.contains(host) && !this->cutFromPlatform.contains(host))
                this->handle(host, this->listRollouts(true));
        }
    }

    /// @brief Returns the orders at the platform; a stale list is two seconds old.
    RolloutsListed listRollouts(bool isStale) const
    {
        RolloutsListed listed { {}, !isStale };
        for (const auto& [service, versions] : this->rollouts) {
            std::optional<RolloutOrder> order;
            for (const auto& [at, version] : versions) {
                if (!isStale || at + std::chrono::seconds(2) <= this->now)
                    order = version;
            }
            if (order)
                listed.orders.push_back(*order);
        }
        return listed;
    }

    /// @brief Writes an order like the operator or the holder of the lease does.
    void writeRollout(RolloutOrder order)
    {
        order.objectVersion = ++this->platform.lastVersion;
        this->rollouts[order.service].emplace_back(this->now, order);
    }

    /// Number of faults that cause() knows.
    static constexpr int faultCount = 5;

    /// @brief Cuts a host from the platform, ends all cuts, freezes a host, wakes all or restarts one.
    void cause(int fault, const std::string& host)
    {
        switch (fault) {
        case 0:
            this->cutFromPlatform.insert(host);
            break;
        case 1:
            this->cutFromPlatform.clear();
            break;
        case 2:
            this->frozen.insert(host);
            break;
        case 3:
            this->frozen.clear();
            break;
        default:
            this->frozen.erase(host);
            this->add(host);
            break;
        }
    }

    void tick()
    {
        for (auto& [host, node] : this->nodes) {
            if (!this->frozen.contains(host))
                this->handle(host, EntryTick {});
        }
    }

    void handle(const std::string& host, EntryEvent event)
    {
        std::vector<EntryEvent> events { std::move(event) };
        while (!events.empty()) {
            EntryEvent next = std::move(events.back());
            events.pop_back();
            for (EntryCommand& command : this->nodes.at(host)->handle(std::move(next), this->now))
                this->execute(host, command, events);
        }
    }

    /// @brief Tells a host of the platform's era, as each answer does; it learns of a restore before that answer.
    void noticeEra(const std::string& host)
    {
        const std::uint64_t era = eraOf(this->platform.lastVersion);
        const std::uint64_t known = std::exchange(this->knownEras.try_emplace(host, era).first->second, era);
        if (known < era)
            this->handle(host, PlatformRestored {});
    }

    void execute(const std::string& host, EntryCommand& command, std::vector<EntryEvent>& events)
    {
        const bool answered = this->lossPercent == 0 || this->random.below(100) >= this->lossPercent;
        const bool isUnreachable = this->cutFromPlatform.contains(host) || this->isolated.contains(host);
        const bool done = !isUnreachable && (answered || this->random.below(2) == 0);
        if (auto* call = std::get_if<CallObjectApi>(&command)) {
            ObjectResult result;
            ++this->objectCalls;
            if (done)
                result = this->platform.run(call->call);
            if (!done && !isUnreachable && this->writesLate)
                this->lateCalls.emplace(this->now + std::chrono::seconds(1 + this->random.below(6)), call->call);
            if (!done || !answered) {
                result = {};
                result.id = std::visit([](const auto& content) { return content.id; }, call->call);
                result.outcome = done || this->writesLate ? ObjectOutcome::Unknown : ObjectOutcome::Unavailable;
            }
            if (done && answered)
                this->noticeEra(host);
            events.emplace_back(std::move(result));
        } else if (auto* report = std::get_if<WriteNodeReport>(&command)) {
            if (done)
                this->platform.reports[report->host] = report->report;
            if (done && answered)
                this->noticeEra(host);
            if (report->host == host)
                events.emplace_back(NodeReportWritten { done && answered, {} });
        } else if (std::get_if<ReadNodeReports>(&command)) {
            if (!done)
                return;
            this->noticeEra(host);
            NodeReportsRead read;
            for (const auto& [name, text] : this->platform.reports)
                read.reports.push_back(text);
            events.emplace_back(std::move(read));
        } else if (auto* usage = std::get_if<SendUsage>(&command)) {
            const bool accepted = done && this->acceptToken(host, "usage", usage->report.holder);
            if (accepted)
                this->platform.usage[usage->report.window].insert(usage->report.requests);
            events.emplace_back(CloudCallEnded { usage->call,
                !answered || !done ? ObjectOutcome::Unknown
                    : accepted     ? ObjectOutcome::Ok
                                   : ObjectOutcome::Conflict });
        } else if (auto* order = std::get_if<SendUpstreamOrder>(&command)) {
            const std::string task = order->order.service.value() + " " + order->order.zone.value();
            const bool accepted = done && this->acceptToken(host, task, order->order.holder);
            if (accepted)
                this->platform.orders.push_back(order->order);
            events.emplace_back(CloudCallEnded { order->call,
                !answered || !done ? ObjectOutcome::Unknown
                    : accepted     ? ObjectOutcome::Ok
                                   : ObjectOutcome::Conflict });
        } else if (const auto* write = std::get_if<WriteRolloutState>(&command)) {
            const std::uint64_t current = this->rollouts.at(write->order.service).back().second.objectVersion;
            const bool isCurrent = current == write->order.objectVersion;
            if (done && isCurrent)
                this->writeRollout(write->order);
            events.emplace_back(CloudCallEnded { write->call,
                !done || !answered ? ObjectOutcome::Unknown
                    : isCurrent    ? ObjectOutcome::Ok
                                   : ObjectOutcome::Conflict,
                done && isCurrent ? this->platform.lastVersion : 0 });
        } else if (const auto* read = std::get_if<ReadRollouts>(&command)) {
            if (done)
                events.emplace_back(this->listRollouts(read->mayBeStale));
        } else if (const auto* copy = std::get_if<DecodeConfiguration>(&command)) {
            events.emplace_back(this->configurationRead(std::stoull(copy->text)));
        } else if (const auto* message = std::get_if<SendEntryMessage>(&command)) {
            const std::string& receiver = this->peerAddresses.at(message->address);
            const auto reachesPeers = [this](const std::string& name) {
                return !this->isolated.contains(name) && !this->cutFromPeers.contains(name);
            };
            const bool isLost = !reachesPeers(host) || !reachesPeers(receiver);
            ++this->messages;
            if (!isLost && !this->frozen.contains(receiver))
                this->handle(receiver, EntryMessageReceived { this->addressOf(host), message->message });
        } else if (const auto* response = std::get_if<Respond>(&command)) {
            constexpr int tooManyRequests = 429;
            this->responses.insert_or_assign(response->request, *response);
            this->refusedCount += response->status == tooManyRequests ? 1 : 0;
        } else if (const auto* check = std::get_if<CheckUpstream>(&command)) {
            if (this->onCheck)
                events.emplace_back(UpstreamChecked { check->upstream, this->onCheck(host, *check) });
        } else if (auto* forward = std::get_if<ForwardRequest>(&command)) {
            if (this->onForward) {
                this->onForward(host, *forward, events);
                return;
            }
            this->sentAt.push_back(this->now);
            UpstreamResponded responded;
            responded.response.attempt = forward->attempt.attempt;
            responded.response.status = 200;
            responded.facts.isStamped = true;
            events.emplace_back(std::move(responded));
        }
    }

    std::string addressOf(const std::string& host) const
    {
        for (const auto& [address, other] : this->peerAddresses) {
            if (other == host)
                return address;
        }
        return {};
    }

    bool acceptToken(const std::string& host, const std::string& task, const FencedHolder& holder)
    {
        this->platform.holders[holder.fencingToken].insert(holder.nodeName);
        this->cloudCalls.push_back({ this->now, task, host, holder.fencingToken });
        if (this->checksTokens && holder.fencingToken < this->platform.highestToken)
            return false;
        this->platform.highestToken = holder.fencingToken;
        return true;
    }

    RequestId request(const std::string& host, std::optional<PromptSize> size = std::nullopt,
        const std::string& route = "order", const std::string& body = {}, const std::string& key = "key-n")
    {
        CallerRequest request;
        request.method = "POST";
        request.path = "/" + route + "/x";
        request.key = key;
        request.size = size;
        request.body = body;
        return this->send(host, std::move(request));
    }

    RequestId send(const std::string& host, CallerRequest request)
    {
        RequestId id = this->nodes.at(host)->nextRequestId();
        request.host = EntryHarness::hostName;
        this->handle(host, CallerRequestArrived { id, std::move(request) });
        return id;
    }

    /// @brief Returns the maximum number of requests that were sent to upstreams within a period of the given length.
    std::size_t maxSentWithin(Duration time) const
    {
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < this->sentAt.size(); ++last) {
            while (this->sentAt[first] + time < this->sentAt[last])
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<std::string> leaseHolders() const
    {
        std::vector<std::string> holders;
        for (const auto& [host, node] : this->nodes) {
            if (node->statistics().holdsLease)
                holders.push_back(host);
        }
        return holders;
    }

    static constexpr Duration calendarOffset = std::chrono::seconds(1'000'000);

    RandomSource random;
    SimulatedPlatform platform;
    std::map<std::string, std::unique_ptr<EntryNode>> nodes;
    std::map<std::string, std::string> peerAddresses;
    std::map<std::string, std::size_t> ports;
    /// Era of the platform that each host has seen last.
    std::map<std::string, std::uint64_t> knownEras;
    /// Hosts that cannot reach the platform.
    std::set<std::string> cutFromPlatform;
    /// Hosts that can reach neither the platform nor other hosts, but callers and upstreams.
    std::set<std::string> isolated;
    /// Hosts that can reach the platform but no other host.
    std::set<std::string> cutFromPeers;
    /// Hosts whose nodes get no events.
    std::set<std::string> frozen;
    std::size_t messages = 0;
    /// Calls to the platform's object API.
    std::size_t objectCalls = 0;
    /// Written orders of each service, with the time of the write.
    std::map<ServiceName, std::vector<std::pair<Instant, RolloutOrder>>> rollouts;
    std::multimap<Instant, std::pair<std::string, EntryEvent>> dueEvents;
    int pollStep = 0;
    /// Whether the cloud refuses a token that is lower than one it has seen.
    bool checksTokens = true;
    /// Tasks of the fleet that the cloud was asked for, in this order.
    struct CloudCall {
        Instant at {};
        std::string task;
        std::string host;
        std::uint64_t token = 0;
    };
    std::vector<CloudCall> cloudCalls;
    /// Whether calls to the platform that take no effect at once, and whose answer is lost, do so some seconds later.
    bool writesLate = false;
    std::multimap<Instant, ObjectCommand> lateCalls;
    /// Percentage of the calls to the platform whose answer is lost; half of these calls take effect.
    std::uint64_t lossPercent = 0;
    /// Handles requests to upstreams; if unset, each request is answered at once.
    std::function<void(const std::string& host, const ForwardRequest& forward, std::vector<EntryEvent>& events)>
        onForward;
    std::function<UpstreamChecked::State(const std::string& host, const CheckUpstream& check)> onCheck;
    /// Responses to callers, by request.
    std::map<RequestId, Respond> responses;
    std::optional<WorkspaceQuota> quota;
    QuotaTolerance tolerance;
    /// Retry budget of nodes that start from now on; the harness's if unset.
    std::optional<SharedRetryBudget> retries;
    /// Changes the settings of nodes that start from now on.
    std::function<void(EntrySettings& settings)> configure;
    /// Error of the clocks of nodes that start from now on.
    Duration clockError {};
    /// Times at which requests were sent to upstreams.
    std::vector<Instant> sentAt;
    /// Number of requests refused with status 429.
    int refusedCount = 0;
    Instant now { std::chrono::seconds(1000) };
    int startCount = 0;
};

} // namespace teaselshore
