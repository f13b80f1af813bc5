#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "fake_store_test_support.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/journal/slot_owner.hpp"

namespace teaselshore::test {

struct SimulationSettings {
    std::uint64_t seed = 1;
    std::size_t nodes = 4;
    /// Events with faults; the quiet phase that follows is not counted.
    std::size_t events = 4000;
    SlotOwnerMutations mutations;
    /// Faults of nodes, links and the whole object API; single calls and messages still fail without them.
    bool faults = true;
};

/// @brief Drives several slot owners event by event against a fake store, fake upstreams and a fake network.
class Simulation {
public:
    explicit Simulation(SimulationSettings settings)
        : settings(settings)
        , random(settings.seed)
    {
    }

    /// @brief Runs one simulation and checks it.
    void run()
    {
        for (std::size_t index = 0; index < this->settings.nodes; ++index)
            this->startNode();
        this->after(seconds(2), [this] { this->nextRequest(); });
        if (this->settings.faults)
            this->after(seconds(3), [this] { this->nextFault(); });
        while (this->handled < this->settings.events && !this->queue.empty())
            this->step();
        this->quiet = true;
        this->storeOutage = Outage::None;
        for (const std::unique_ptr<Node>& node : this->nodes) {
            node->cutFromStore = false;
            node->cutFromPeers = false;
            if (node->paused)
                this->resume(*node);
        }
        this->announceAll();
        this->runUntil(this->now + seconds(30));
        this->checkSlots();
        this->readAsync();
        this->runUntil(this->now + seconds(15));
        this->checkAnswers();
        for (const std::unique_ptr<Node>& node : this->nodes) {
            const SlotOwnerStatistics statistics = node->owner->statistics();
            this->counts["slots claimed"] += statistics.claims;
            this->counts["slots moved to a joined member"] += statistics.moves;
            this->counts["recovered accepted"] += statistics.recoveredAccepted;
            this->counts["recovered dispatching"] += statistics.recoveredDispatching;
        }
    }

    const std::vector<std::string>& violations() const { return this->found; }
    const std::map<std::string, std::size_t>& occurrences() const { return this->counts; }
    std::size_t events() const { return this->handled; }
    std::size_t objects() const { return this->store.size(); }
    Duration passed() const { return this->now.time_since_epoch(); }

private:
    enum class Outage {
        None,
        Refusing,
        Hanging,
    };

    struct Node {
        NodeId id;
        std::unique_ptr<SlotOwner> owner;
        bool alive = true;
        bool paused = false;
        bool cutFromStore = false;
        bool cutFromPeers = false;
        Instant startedAt {};
        std::size_t writes = 0;
        std::deque<SlotEvent> inbox;
    };

    struct Request {
        JournalRequest request;
        Node* node = nullptr;
        std::size_t answers = 0;
        bool notRun = false;
        bool accepted = false;
        std::optional<Answer> read;
    };

    struct Relay {
        Node* origin = nullptr;
        CallerId caller = 0;
        std::uint32_t attempt = 0;
    };

    struct Item {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Item& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    static constexpr Duration seconds(double count) { return fromSeconds(count); }
    bool chance(double probability) { return this->random.uniform() < probability; }
    void note(const std::string& kind) { ++this->counts[kind]; }
    void violation(std::string text)
    {
        this->found.push_back(fmt::format(
            "seed {} at {} ms: {}", this->settings.seed, toMilliseconds(this->now.time_since_epoch()), text));
    }

    void after(Duration delay, std::function<void()> action)
    {
        this->queue.push({ this->now + delay, ++this->items, std::move(action) });
    }

    void step()
    {
        Item item = this->queue.top();
        this->queue.pop();
        this->now = item.at;
        item.action();
    }

    void runUntil(Instant end)
    {
        while (!this->queue.empty() && this->queue.top().at <= end)
            this->step();
        this->now = end;
    }

    SlotOwnerSettings ownerSettings() const
    {
        SlotOwnerSettings result;
        result.maxOwners = 3;
        result.writesPerSecond = 900;
        result.claimDelay = seconds(0.5);
        result.mapReadInterval = seconds(0.5);
        result.storeTimeout = seconds(0.5);
        result.forwardTimeout = seconds(4);
        result.retryInterval = seconds(0.3);
        result.checkpointEvery = 8;
        result.sweepInterval = seconds(4);
        result.sealRetention = seconds(24);
        return result;
    }

    // Nodes.

    void startNode()
    {
        auto node = std::make_unique<Node>();
        node->id = NodeId(fmt::format("n{}", this->nodes.size()));
        node->startedAt = this->now;
        node->owner = std::make_unique<SlotOwner>(node->id, this->ownerSettings(), this->settings.mutations);
        this->nodes.push_back(std::move(node));
        this->tick(*this->nodes.back());
        this->announceAll();
    }

    bool reachable(const Node& node) const { return node.alive && !node.paused && !node.cutFromPeers; }

    // Tells every node, after the detection delay, which members it can reach.
    void announceAll()
    {
        for (const std::unique_ptr<Node>& observer : this->nodes) {
            if (!observer->alive)
                continue;
            this->after(
                seconds(0.3 + 0.4 * this->random.uniform()), [this, target = observer.get()] { this->probe(*target); });
        }
    }

    void probe(Node& observer)
    {
        if (!observer.alive)
            return;
        for (const std::unique_ptr<Node>& other : this->nodes) {
            if (other.get() == &observer)
                continue;
            if (this->reachable(*other) && !observer.cutFromPeers)
                this->deliver(observer, MemberAlive { other->id });
            else
                this->deliver(observer, MemberDead { other->id });
        }
    }

    void tick(Node& node)
    {
        if (!node.alive)
            return;
        if (!node.paused)
            this->deliver(node, Tick {});
        const Duration wait = std::max<Duration>(node.owner->nextTick() - this->now, std::chrono::milliseconds(1));
        this->after(node.paused ? seconds(0.1) : wait, [this, &node] { this->tick(node); });
    }

    void deliver(Node& node, SlotEvent event)
    {
        if (!node.alive)
            return;
        if (node.paused) {
            node.inbox.push_back(std::move(event));
            return;
        }
        ++this->handled;
        for (const SlotCommand& command : node.owner->handle(event, this->now))
            std::visit([&](const auto& content) { this->execute(node, content); }, command);
    }

    void resume(Node& node)
    {
        if (!node.alive || !node.paused)
            return;
        node.paused = false;
        while (!node.inbox.empty() && node.alive && !node.paused) {
            SlotEvent event = std::move(node.inbox.front());
            node.inbox.pop_front();
            this->deliver(node, std::move(event));
        }
        this->announceAll();
    }

    void kill(Node& node)
    {
        if (!node.alive)
            return;
        node.alive = false;
        this->announceAll();
        this->after(seconds(0.5 + 3 * this->random.uniform()), [this] { this->startNode(); });
    }

    // Network delay: short, sometimes long enough to outlast a take-over.
    Duration delay()
    {
        if (this->quiet || !this->chance(0.01))
            return seconds(0.001 + 0.004 * this->random.uniform());
        this->note("delayed message");
        return seconds(4 * this->random.uniform());
    }

    // Object API.

    void execute(Node& node, const ObjectCommand& command)
    {
        const ObjectCallId id = std::visit([](const auto& call) { return call.id; }, command);
        const auto reply = [this, &node](ObjectResult result, Duration wait) {
            this->after(wait, [this, &node, result = std::move(result)] { this->deliver(node, result); });
        };
        const Duration timeout = seconds(0.3);
        if (this->storeOutage == Outage::Refusing || (node.cutFromStore && this->chance(0.5)))
            return reply({ id, ObjectOutcome::Unavailable, {}, 0, {} }, this->delay());
        if (this->storeOutage == Outage::Hanging || node.cutFromStore)
            return reply({ id, ObjectOutcome::Unknown, {}, 0, {} }, timeout);
        const bool write = !std::holds_alternative<ObjectRead>(command) && !std::holds_alternative<ObjectList>(command);
        if (write)
            this->countWrite(node);
        if (write && !this->quiet && this->chance(0.01)) {
            // The answer is lost; the write is applied now, later than the timeout, or never.
            this->note("lost write answer");
            const double kind = this->random.uniform();
            if (kind < 0.7)
                this->after(kind < 0.4 ? this->delay() : seconds(3 * this->random.uniform()),
                    [this, command] { this->store.apply(command); });
            return reply({ id, ObjectOutcome::Unknown, {}, 0, {} }, timeout);
        }
        const Duration there = this->delay();
        const Duration back = this->delay();
        if (there + back > timeout) {
            this->after(there, [this, command] { this->store.apply(command); });
            return reply({ id, ObjectOutcome::Unknown, {}, 0, {} }, timeout);
        }
        this->after(there, [this, command, reply, back] { reply(this->store.apply(command), back); });
    }

    void countWrite(Node& node)
    {
        const SlotOwnerSettings limits = this->ownerSettings();
        const double rate = limits.writesPerSecond / static_cast<double>(limits.maxOwners);
        const double allowed = rate * toSeconds(this->now - node.startedAt) + limits.writeBurst + 1;
        if (static_cast<double>(++node.writes) > allowed)
            this->violation("write budget exceeded by " + node.id.value());
    }

    // Upstream.

    void execute(Node& node, const DispatchUpstream& command)
    {
        const RequestId id = command.request.id;
        const std::uint32_t attempt = command.attempt;
        const double kind = this->quiet ? 1.0 : this->random.uniform();
        if (kind < 0.05) {
            this->note("upstream refused");
            std::optional<UpstreamId> next;
            if (this->chance(0.5))
                next = UpstreamId("other");
            this->after(this->delay(), [this, &node, id, attempt, next] {
                this->deliver(node, UpstreamNotRun { id, attempt, next });
            });
            return;
        }
        if (kind < 0.08) {
            this->note("upstream request lost");
            this->after(seconds(0.2), [this, &node, id, attempt] {
                this->deliver(node, UpstreamUnknown { id, attempt });
            });
            return;
        }
        const bool answerLost = kind < 0.12;
        this->after(this->delay(), [this, &node, request = command.request, attempt, answerLost] {
            this->executeUpstream(request);
            const Duration work = seconds(0.2 * this->random.uniform());
            if (answerLost) {
                this->note("upstream answer lost");
                this->after(work, [this, &node, request, attempt] {
                    this->deliver(node, UpstreamUnknown { request.id, attempt });
                });
                return;
            }
            this->after(work + this->delay(), [this, &node, request, attempt] {
                this->deliver(node, UpstreamFinished { request.id, attempt, this->answerFor(request.key) });
            });
        });
    }

    static StoredAnswer answerFor(const KeyId& key) { return { 200, {}, "done " + key.key.value(), true }; }

    void executeUpstream(const JournalRequest& request)
    {
        if (request.body != "body of " + request.key.key.value())
            this->violation("request ran without its body: " + request.key.key.value());
        ++this->runs[request.id];
        const std::size_t count = ++this->executions[request.key];
        if (count > 1 && !request.idempotent)
            this->violation("key ran twice: " + request.key.key.value());
        const auto refused = this->refusedRequests.find(request.id);
        if (refused != this->refusedRequests.end())
            this->violation("request ran after not_run: " + request.id.value());
    }

    void execute(Node& node, const LookUpOutcome& command)
    {
        this->note("outcome lookup");
        this->after(this->delay(), [this, &node, command] {
            OutcomeLookedUp reply { command.request, std::nullopt };
            if (this->executions.contains(command.key) && (this->quiet || !this->chance(0.1)))
                reply.answer = this->answerFor(command.key);
            this->after(this->delay(), [this, &node, reply] { this->deliver(node, reply); });
        });
    }

    void execute(Node& node, const RunAccepted& command)
    {
        this->after(this->delay(), [this, &node, id = command.request.id] {
            this->deliver(node, UpstreamChosen { id, UpstreamId("upstream") });
        });
    }

    // Peers.

    void execute(Node& node, const ForwardToOwner& command)
    {
        this->note("forward");
        this->relay(node, command.caller, command.attempt, command.owner, [command](CallerId caller) {
            return ClientRequest { caller, command.request, command.upstream, true };
        });
    }

    void execute(Node& node, const ForwardRead& command)
    {
        this->relay(node, command.caller, command.attempt, command.owner, [command](CallerId caller) {
            return AnswerRead { caller, command.request, true };
        });
    }

    void relay(Node& origin, CallerId caller, std::uint32_t attempt, const NodeId& owner,
        const std::function<SlotEvent(CallerId)>& event)
    {
        Node* const target = this->findNode(owner);
        const auto fail = [&](bool sent, Duration wait) {
            this->after(wait, [this, &origin, caller, attempt, sent] {
                this->deliver(origin, ForwardFailed { caller, attempt, sent });
            });
        };
        if (origin.cutFromPeers || !target->alive)
            return fail(false, seconds(0.005));
        if (target->cutFromPeers || (!this->quiet && this->chance(0.02))) {
            this->note("forward lost");
            return fail(true, seconds(0.5));
        }
        const CallerId token = ++this->tokens;
        this->relays[token] = { &origin, caller, attempt };
        this->after(this->delay(), [this, target, token, event] { this->deliver(*target, event(token)); });
    }

    Node* findNode(const NodeId& id)
    {
        for (const std::unique_ptr<Node>& node : this->nodes) {
            if (node->id == id)
                return node.get();
        }
        return nullptr;
    }

    void execute(Node& node, const SendHandOver& command)
    {
        this->note("hand-over sent");
        Node* const target = this->findNode(command.to);
        if (node.cutFromPeers || !this->reachable(*target) || this->chance(0.1))
            return;
        this->after(
            this->delay(), [this, target, command] { this->deliver(*target, HandOverReceived { command.handOver }); });
    }

    void execute(Node& node, const SendHandOverAck& command)
    {
        this->note("hand-over taken");
        Node* const target = this->findNode(command.to);
        if (node.cutFromPeers || !this->reachable(*target) || this->chance(0.3))
            return;
        this->after(this->delay(),
            [this, target, command] { this->deliver(*target, HandOverAcknowledged { command.instance }); });
    }

    void execute(Node&, const OwnershipLost&) { this->note("ownership lost"); }

    void execute(Node& node, const StopCompleted&)
    {
        this->note("stop completed");
        this->after({}, [this, &node] { this->kill(node); });
    }

    // Callers.

    void execute(Node& node, const AnswerCaller& command)
    {
        const auto relayed = this->relays.find(command.caller);
        if (relayed != this->relays.end()) {
            const Relay relay = relayed->second;
            this->relays.erase(relayed);
            const bool lost = node.cutFromPeers || relay.origin->cutFromPeers || (!this->quiet && this->chance(0.02));
            this->after(lost ? seconds(0.5) : this->delay(), [this, relay, lost, answer = command.answer] {
                if (lost)
                    this->deliver(*relay.origin, ForwardFailed { relay.caller, relay.attempt, true });
                else
                    this->deliver(*relay.origin, ForwardAnswered { relay.caller, relay.attempt, answer });
            });
            return;
        }
        const auto reading = this->reads.find(command.caller);
        if (reading != this->reads.end()) {
            this->requests.at(reading->second).read = command.answer;
            return;
        }
        const auto position = this->requests.find(command.caller);
        if (position == this->requests.end())
            return this->violation("answer to an unknown caller");
        this->onAnswer(position->second, command.answer);
    }

    void onAnswer(Request& request, const Answer& answer)
    {
        if (++request.answers > 1)
            this->violation("second answer to " + request.request.id.value());
        if (const auto* finished = std::get_if<AnswerFinished>(&answer)) {
            this->note("answered finished");
            if (finished->answer != this->answerFor(request.request.key))
                this->violation("wrong answer to " + request.request.id.value());
        }
        if (std::holds_alternative<AnswerUnknown>(answer))
            this->note("answered unknown");
        if (std::holds_alternative<AnswerAccepted>(answer)) {
            this->note("answered accepted");
            request.accepted = true;
            this->acceptedIds.emplace(std::get<AnswerAccepted>(answer).request, request.request.idempotent);
        }
        if (!std::holds_alternative<AnswerNotRun>(answer))
            return;
        this->note("answered not_run");
        this->refusedRequests.insert(request.request.id);
        if (this->runs.contains(request.request.id))
            this->violation("not_run for a request that ran: " + request.request.id.value());
    }

    void nextRequest()
    {
        if (this->quiet)
            return;
        this->after(seconds(this->random.exponential(0.03)), [this] { this->nextRequest(); });
        Node* const node = this->anyNode();
        if (!node)
            return;
        // A caller repeats a recent key, often at another node, while its first request may still run.
        std::uint64_t number = this->keys;
        if (this->keys > 0 && this->chance(0.35)) {
            number = this->keys - this->random.below(std::min<std::uint64_t>(this->keys, 30));
            this->note("duplicate key");
        } else {
            number = ++this->keys;
        }
        JournalRequest request;
        request.key = { WorkspaceName("w"), IdempotencyKey(fmt::format("k{}", number)) };
        request.respondAsync = number % 3 != 0;
        request.idempotent = number % 3 == 1;
        request.service = ServiceName("ordering");
        request.body = "body of " + request.key.key.value();
        const CallerId caller = ++this->tokens;
        request.id = makeRequestId(slotOf(request.key.workspace, request.key.key), std::to_string(caller));
        this->requests[caller] = { request, node, 0, false, false, std::nullopt };
        std::optional<UpstreamId> upstream;
        if (!request.respondAsync)
            upstream = UpstreamId("upstream");
        this->deliver(*node, ClientRequest { caller, request, upstream, false });
    }

    Node* anyNode()
    {
        std::vector<Node*> candidates;
        for (const std::unique_ptr<Node>& node : this->nodes) {
            if (node->alive)
                candidates.push_back(node.get());
        }
        return candidates.empty() ? nullptr : candidates[this->random.below(candidates.size())];
    }

    // Faults.

    void nextFault()
    {
        if (this->quiet)
            return;
        this->after(seconds(this->random.exponential(2.5)), [this] { this->nextFault(); });
        Node* const node = this->anyNode();
        if (!node)
            return;
        switch (this->random.below(7)) {
        case 0:
            this->note("kill");
            return this->kill(*node);
        case 1:
        case 2:
            return this->pause(*node);
        case 3:
            this->note("cut from store");
            node->cutFromStore = true;
            return this->after(seconds(4 * this->random.uniform()), [node] { node->cutFromStore = false; });
        case 4:
            this->note("cut from peers");
            node->cutFromPeers = true;
            this->announceAll();
            return this->after(seconds(4 * this->random.uniform()), [this, node] {
                node->cutFromPeers = false;
                this->announceAll();
            });
        case 5:
            return this->outage(seconds(3 * this->random.uniform()));
        default:
            return this->stop(*node);
        }
    }

    void pause(Node& node)
    {
        if (node.paused)
            return;
        node.paused = true;
        const Duration length = seconds(6 * this->random.uniform());
        this->note(length > seconds(2) ? "pause past suspicion" : "short pause");
        if (length > seconds(1))
            this->announceAll();
        this->after(length, [this, &node] { this->resume(node); });
    }

    void outage(Duration length)
    {
        if (this->storeOutage != Outage::None)
            return;
        this->storeOutage = this->chance(0.5) ? Outage::Refusing : Outage::Hanging;
        this->note(this->storeOutage == Outage::Refusing ? "store refuses" : "store hangs");
        this->after(length, [this] { this->storeOutage = Outage::None; });
    }

    void stop(Node& node)
    {
        this->note("planned stop");
        if (this->chance(0.5))
            this->outage(seconds(5));
        const Duration notice = seconds(3);
        this->deliver(node, PlannedStop { notice });
        this->after(notice, [this, &node] { this->kill(node); });
    }

    // Checks after the quiet phase.

    void checkSlots()
    {
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            std::size_t owners = 0;
            for (const std::unique_ptr<Node>& node : this->nodes)
                owners += node->alive && node->owner->serves(static_cast<Slot>(slot)) ? 1 : 0;
            if (owners != 1)
                return this->violation(fmt::format("slot {} has {} owners", slot, owners));
        }
    }

    void readAsync()
    {
        for (auto& [caller, request] : this->requests) {
            if (!request.accepted)
                continue;
            Node* const node = this->anyNode();
            const CallerId token = ++this->tokens;
            this->reads[token] = caller;
            this->deliver(*node, AnswerRead { token, this->acceptedIdOf(request), false });
        }
    }

    // A duplicate may have joined an earlier request of the same key and got that one's id.
    RequestId acceptedIdOf(const Request& request) const
    {
        for (const auto& [id, idempotent] : this->acceptedIds) {
            const auto owner = this->requests.find(std::stoull(id.value().substr(id.value().find('-') + 1)));
            if (owner->second.request.key == request.request.key)
                return id;
        }
        return request.request.id;
    }

    void checkAnswers()
    {
        for (const auto& [caller, request] : this->requests) {
            if (request.answers == 0 && request.node->alive)
                this->violation("no answer to " + request.request.id.value());
            if (!request.accepted)
                continue;
            const bool finished = request.read && std::holds_alternative<AnswerFinished>(*request.read);
            const bool unknown = request.read && std::holds_alternative<AnswerUnknown>(*request.read);
            if (!finished && (request.request.idempotent || !unknown))
                this->violation("accepted request did not finish: " + request.request.id.value());
        }
    }

    SimulationSettings settings;
    RandomSource random;
    FakeStore store;
    Instant now {};
    std::priority_queue<Item> queue;
    std::uint64_t items = 0;
    std::size_t handled = 0;
    bool quiet = false;
    Outage storeOutage = Outage::None;
    std::vector<std::unique_ptr<Node>> nodes;
    CallerId tokens = 0;
    std::uint64_t keys = 0;
    std::map<CallerId, Request> requests;
    std::map<CallerId, Relay> relays;
    std::map<CallerId, CallerId> reads;
    std::map<RequestId, std::size_t> runs;
    std::map<KeyId, std::size_t> executions;
    std::set<RequestId> refusedRequests;
    std::map<RequestId, bool> acceptedIds;
    std::vector<std::string> found;
    std::map<std::string, std::size_t> counts;
};

} // namespace teaselshore::test
