#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/journal/slot_owner_test_support.hpp"
#include "teaselshore/node/delivered_events.hpp"
#include "teaselshore/node/event_splitter.hpp"
#include "teaselshore/node/node.hpp"

namespace teaselshore::test {

struct ClusterSettings {
    std::uint64_t seed = 1;
    std::size_t hosts = 4;
    /// Length of one phase with faults; a healed phase follows each.
    Duration faultPhase = std::chrono::seconds(12);
    std::size_t phases = 2;
    /// Only announced events: reclaims, planned stops and configuration changes. Stricter checks hold.
    bool announcedOnly = false;
    /// Whether nodes are killed, paused and cut off from each other.
    bool peerFaults = true;
    /// Whether a poison request may crash at most 3 upstreams while peers are cut off from each other. Without it, the
    /// limit is 2 for each node instance.
    bool limitPoisonWithCut = false;
    /// Whether upstreams write the tokens of an event one by one, so that attempts end inside events. Without it, the
    /// runs that a seed names stay as they were.
    bool writesTokens = false;
    /// Prints log lines of the nodes, faults and poison requests.
    bool trace = false;
    NodeMutations mutations;
};

/// @brief Drives several Node objects against an in-memory platform, network, upstreams and callers, and checks them.
class NodeCluster {
public:
    explicit NodeCluster(ClusterSettings settings);

    void run();

    const std::vector<std::string>& violations() const { return this->found; }
    const std::map<std::string, std::size_t>& occurrences() const { return this->counts; }
    std::size_t events() const { return this->handled; }

private:
    enum class Outage { None, Refusing, Hanging, Slow };
    enum class Kind { Stream, Lookup, Order, Async, AsyncOrder, Read, Poison };

    /// Attempt as the daemon's relay holds it.
    struct RelayAttempt {
        RequestId request;
        UpstreamId upstream;
        bool relay = false;
        bool relaying = false;
        bool announced = false;
        int status = 0;
        HeaderList headers;
        std::string body;
        EventSplitter splitter;
    };

    struct Caller {
        Kind kind = Kind::Lookup;
        std::string token;
        std::string key;
        std::string body;
        std::uint64_t firstEvent = 0;
        std::uint64_t eventCount = 0;
        DeliveredEvents events;
        std::string received;
        bool streaming = false;
        /// The caller left or its node died.
        bool gone = false;
        std::size_t responses = 0;
        int status = 0;
        std::string response;
        std::size_t attempts = 0;
        std::size_t interrupts = 0;
        Instant arrivedAt {};
        std::function<void(Caller&)> then;
    };

    struct Process {
        std::size_t host = 0;
        NodeId id;
        Instant startedAt {};
        std::unique_ptr<Node> node;
        bool alive = true;
        bool paused = false;
        bool ready = true;
        bool watching = false;
        bool cutFromStore = false;
        ConfigurationVersion watched = 0;
        ConfigurationVersion version = 0;
        std::map<AttemptId, RelayAttempt> attempts;
        std::map<RequestId, std::shared_ptr<Caller>> callers;
        std::map<std::string, Instant> noticeKnown;
        std::deque<std::function<void()>> inbox;
        /// Callers that wait for a paused process.
        std::map<std::string, std::shared_ptr<Caller>> connecting;
    };

    struct Upstream {
        UpstreamId id;
        std::string zone;
        std::string address;
        bool engine = true;
        bool alive = true;
        bool refusing = false;
        std::uint64_t generation = 0;
        std::optional<Instant> stopsAt;
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

    struct AsyncRequest {
        std::string location;
        std::string expected;
        bool order = false;
        bool finished = false;
        bool unknown = false;
    };

    struct ConfigurationWrite {
        Instant at;
        ConfigurationVersion version = 0;
        bool valid = false;
    };

    struct PoisonRecord {
        std::vector<std::pair<Instant, UpstreamId>> crashes;
        std::size_t tries = 0;
        bool rejected = false;
        Instant startedAt {};
        /// Crashes through each node instance.
        std::map<std::string, std::size_t> byNode;
    };

    // Time, chance and counts.
    static Duration seconds(double count) { return fromSeconds(count); }
    bool chance(double probability) { return this->random.uniform() < probability; }
    void note(const std::string& kind)
    {
        ++this->counts[kind];
        if (kind.find("answered") == std::string::npos && kind.find("stream") == std::string::npos)
            this->trace(kind);
    }
    void violation(const std::string& text);
    /// @brief Prints a line if ClusterSettings::trace is set.
    void trace(const std::string& text) const;
    void after(Duration delay, std::function<void()> action);
    void runUntil(Instant end);
    Duration delay();

    // Nodes, network and platform (node_cluster_test.cpp).
    void startProcess(std::size_t host);
    void kill(Process& process);
    void pause(Process& process, Duration length);
    void resume(Process& process);
    void onProcess(Process& process, std::function<void()> action);
    void deliver(Process& process, NodeEvent event);
    void learnNotice(Process& process, const std::string& host);
    void tick(Process& process);
    void watchConfiguration();
    void checkVersion(Process& process);
    /// @brief Checks that a planned stop cuts off no caller, also by an error, if only announced events happen.
    void checkStop(const Process& process, const NodeCommands& commands);
    static std::string hostName(std::size_t host) { return fmt::format("entry-{}", host); }
    static std::string hostAddress(std::size_t host) { return fmt::format("127.0.0.1:{}", 7000 + host); }
    Process* processAt(std::size_t host);
    std::string configurationText(const std::string& note) const;
    void writeConfiguration(bool valid, bool racing);
    bool connected(std::size_t from, std::size_t to) const;

    void execute(Process& process, StartAttempt& command);
    void execute(Process& process, CancelAttempt& command);
    void execute(Process& process, InterruptAttempt& command);
    void execute(Process& process, Respond& command);
    void execute(Process& process, FailStream& command);
    void execute(Process& process, SendToPeer& command);
    void execute(Process& process, CallObjectApi& command);
    void execute(Process& process, WatchConfiguration& command);
    void execute(Process& process, ReadHostList& command);
    /// Connections are not modelled.
    void execute(Process&, ForgetPeer&) { }
    void execute(Process& process, ReadNotices& command);
    void execute(Process& process, QueryLoad& command);
    void execute(Process& process, QueryOutcome& command);
    void execute(Process& process, SetReady& command);
    void execute(Process& process, StopProcess& command);
    void execute(Process& process, LogEvent& command);
    void execute(Process&, Span&) { }

    // Faults (node_faults_test.cpp).
    void nextFault();
    void heal();
    void reclaimUpstream(Upstream& upstream, Duration notice);
    void replaceUpstream(Upstream& upstream);
    void crashUpstream(Upstream& upstream, const std::string& why);
    void reclaimZone(const std::string& zone, bool announced);
    void stopHost(std::size_t host, bool throughPlatform);
    void cutHost(std::size_t host);

    // Attempts and upstreams (node_upstreams_test.cpp).
    Upstream* upstreamAt(const std::string& address);
    void arriveAtUpstream(Process& process, const StartAttempt& command);
    void runEngine(Process& process, const StartAttempt& command, Upstream& upstream);
    void streamNext(Process& process, AttemptId attempt, const UpstreamId& upstream, std::uint64_t generation,
        const std::string& token, std::uint64_t index, std::uint64_t count);
    bool isStreaming(
        const Process& process, AttemptId attempt, const UpstreamId& upstream, std::uint64_t generation) const;
    void runPlain(Process& process, const StartAttempt& command, Upstream& upstream);
    void onHead(Process& process, AttemptId id, int status, HeaderList headers);
    void onData(Process& process, AttemptId id, const std::string& bytes);
    void onEnd(Process& process, AttemptId id);
    void fail(Process& process, AttemptId id, bool mayHaveRun, bool broken, const std::string& detail);
    void emit(Process& process, const NodeEvent& event);
    void recordRun(const StartAttempt& command);

    // Callers and checks (node_callers_test.cpp).
    void nextCaller();
    void send(Process& process, Caller caller, const std::string& method, const std::string& path, HeaderList headers);
    Process* readyProcess();
    void newStream();
    void newLookup();
    void newOrder();
    void newAsync();
    void pollAsync(std::size_t number);
    void newPoison();
    void tryPoison(const std::string& token);
    void closed(Process& process, const std::shared_ptr<Caller>& caller);
    void checkStream(const Caller& caller);
    void checkResponse(const Caller& caller);
    void checkConfigurations();
    std::size_t countedCrashes(const PoisonRecord& poison) const;
    void checkEnd();

    ClusterSettings settings;
    RandomSource random;
    Instant now {};
    std::priority_queue<Item> queue;
    std::uint64_t items = 0;
    std::size_t handled = 0;
    bool quiet = false;
    std::vector<std::string> found;
    std::map<std::string, std::size_t> counts;

    std::vector<std::unique_ptr<Process>> processes;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::map<std::size_t, Instant> hostNotices;
    std::vector<Upstream> upstreams;
    FakeStore store;
    Outage outage = Outage::None;
    ConfigurationVersion highestValid = 0;
    std::vector<ConfigurationWrite> writes;
    std::vector<std::pair<ConfigurationVersion, std::string>> history;
    std::uint64_t revisions = 0;
    std::uint64_t addresses = 0;
    /// Faults after which peers may miss a suspect report.
    std::vector<Instant> disturbances;
    /// Notices and zone losses, which excuse crashes on the upstream at about the same time.
    std::vector<std::pair<Instant, UpstreamId>> excuses;

    std::size_t callerCount = 0;
    std::map<RequestId, std::shared_ptr<Caller>> callers;
    std::vector<AsyncRequest> asyncRequests;
    std::map<std::string, std::size_t> tokenRuns;
    std::map<std::string, std::size_t> keyRuns;
    std::set<std::string> notRunTokens;
    std::map<std::string, PoisonRecord> poisons;
    std::vector<std::string> recentKeys;
};

} // namespace teaselshore::test
