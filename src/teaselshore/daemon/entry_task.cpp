#include "teaselshore/daemon/entry_task.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include <malloc.h>

#include "answer_drain.hpp"
#include "entry_metrics.hpp"
#include "entry_relay_settings.hpp"
#include "forecast_reply.hpp"
#include "header_conversion.hpp"
#include "log_event.hpp"
#include "object_outcome.hpp"
#include "platform/caller_codec.hpp"
#include "platform/decode_objects.hpp"
#include "platform/wire_names.hpp"
#include "teaselshore/base/clock.hpp"
#include "teaselshore/base/json_text.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/base/log_limiter.hpp"
#include "teaselshore/daemon/request_relay.hpp"
#include "teaselshore/entry/entry_node.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_server.hpp"
#include "teaselshore/peers/peers_task.hpp"
#include "teaselshore/platform/kind_watcher.hpp"
#include "teaselshore/platform/outage_probe.hpp"
#include "teaselshore/platform/platform_client.hpp"
#include "upstream_checks.hpp"

namespace teaselshore {

namespace {

    /// Bytes of a block that goes back to the system when it is freed.
    constexpr int largeBlockBytes = 1024 * 1024;
    /// Free bytes that the process keeps for smaller blocks, so that they need no call of the system each.
    constexpr int keptFreeBytes = 8 * 1024 * 1024;
    constexpr Duration shortestTick = std::chrono::milliseconds(1);
    constexpr Duration clockPeriod = std::chrono::seconds(1);
    /// A node sends and ends some 40 requests a second on the heaviest day, with a line for each; more lines than that
    /// are counted, not written.
    constexpr double logLinesPerSecond = 150;
    constexpr double logBurst = 400;
    constexpr Duration metricsWindow = std::chrono::seconds(10);
    /// Kept for the last messages to leave.
    constexpr Duration stopDelay = std::chrono::milliseconds(150);
    /// Answers of the platform take some milliseconds, and some 60 times as long while it is slow.
    constexpr Duration platformCallTimeout = std::chrono::milliseconds(700);
    /// Calls of the cloud API are rare, and a repeated one costs more than a late one.
    constexpr Duration cloudCallTimeout = std::chrono::milliseconds(1200);
    /// For a new connection and its first call.
    constexpr Duration reconnectTime = std::chrono::milliseconds(300);
    constexpr Duration shortestWait = std::chrono::milliseconds(500);
    constexpr Duration longestWait = std::chrono::seconds(10);
    /// An evacuation must be in effect 5 s after it was confirmed, also if the connection of the watch went silent.
    /// That is noticed after this time and the call timeout; the rest is for a new connection or the answer of a peer.
    constexpr Duration evacuationWait = std::chrono::milliseconds(3000);
    /// Rollout orders are rare, and nodes read them at once when a new version appears.
    constexpr Duration rolloutPoll = std::chrono::seconds(5);
    /// Time between two calls that look for the end of an outage, as a fraction of the recovery time: what is learnt
    /// then must be in effect before the end of that time.
    constexpr double probeFraction = 0.11;
    /// Time between two calls of a watcher during an outage, in case that only other calls are answered.
    constexpr Duration watcherOutageBackoff = std::chrono::seconds(2);
    /// Limits before the first configuration.
    constexpr CallerLimits firstLimits { std::size_t { 16 } * 1024, std::size_t { 4 } * 1024 * 1024,
        std::chrono::seconds(3), std::chrono::seconds(15) };
    /// Room for the fields that a peer adds to a request.
    constexpr std::size_t relayHeaderBytes = std::size_t { 1 } * 1024;
    constexpr std::size_t relayHeaderFields = 8;
    /// Name that the peers of one deployment have in common.
    constexpr const char* peersCluster = "entry";
    /// Time for the connection to a peer; what peers tell each other is of no use later.
    constexpr Duration peerConnectTime = std::chrono::milliseconds(100);

    /// Kind of the objects in which the nodes tell each other that they live.
    constexpr std::string_view nodesKind = "nodes";
    /// Member of these objects that holds the report.
    constexpr const char* reportField = "report";

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    constexpr std::string_view metricsPath = "/metrics";
    constexpr std::string_view explainPath = "/admin/explain";

    PlatformClientSettings clientSettings(
        const EntrySettings& settings, const SocketAddress& address, Duration callTimeout)
    {
        PlatformClientSettings client;
        client.authority = formatSocketAddress(address);
        client.callTimeout = callTimeout;
        client.objects = KindedObjects {};
        // A part of the platform's rates that leaves room for some hundred nodes.
        client.budget.readsPerSecond = std::max(10.0, settings.platformRates.readsPerSecond / 100);
        client.budget.readBurst = 20;
        client.budget.writesPerSecond = std::max(4.0, settings.platformRates.writesPerSecond / 100);
        client.budget.writeBurst = 10;
        return client;
    }

    /// What changed since a connection went silent, or since a watch stopped hearing of changes, must be in effect
    /// after the recovery time.
    Duration watchWait(const EntrySettings& settings)
    {
        return std::clamp(settings.recoveryTime - platformCallTimeout - reconnectTime, shortestWait, longestWait);
    }

    HttpServerSettings serverSettings(const SocketAddress& address, const CallerLimits& limits)
    {
        HttpServerSettings server;
        server.address = address.address;
        server.port = address.port;
        server.maxHeaderBytes = limits.maxHeaderBytes;
        server.maxBodyBytes = limits.maxBodyBytes;
        server.requestTimeout = limits.headerTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.refuseDotSegments = true;
        return server;
    }

    /// Limits on what peers may send: what callers may, and the fields that a peer adds.
    CallerLimits relayLimits(CallerLimits limits)
    {
        limits.maxHeaderBytes += relayHeaderBytes;
        return limits;
    }

    HttpServerLimits serverLimits(const CallerLimits& limits)
    {
        return { limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout };
    }

    /// Names the events whose handling may take long.
    struct WorkNames {
        std::string_view operator()(const CallerRequestArrived&) const { return "request routed"; }
        std::string_view operator()(const EntryConfigurationRead&) const { return "configuration taken over"; }
        std::string_view operator()(const UpstreamsListed&) const { return "upstreams taken over"; }
        std::string_view operator()(const NodeReportsRead&) const { return "node reports decoded"; }
        std::string_view operator()(const EntryMessageReceived&) const { return "message of a peer"; }
        std::string_view operator()(const EntryTick&) const { return "tick"; }
        template <typename Event> std::string_view operator()(const Event&) const { return "other event"; }
    };

    NodeId makeProcessId(const std::string& node)
    {
        const auto start = std::chrono::system_clock::now().time_since_epoch();
        return NodeId(
            node + "-" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(start).count()));
    }

} // namespace

struct EntryTask::Impl {
    Impl(const EntrySettings& settings, std::uint64_t seed)
        : settings(settings)
        , loop(EventLoop::create())
        , node({ settings, makeProcessId(settings.node), seed })
        , relay(*loop, entryRelaySettings(std::string(responseMark())),
              [this](RelayEvent event) { this->onRelay(std::move(event)); })
        , checks(*loop, [this](UpstreamChecked result) { this->handle(std::move(result)); })
        , platform(PlatformClient::create(*loop, clientSettings(settings, settings.platform, platformCallTimeout)))
        , random(seed + 1)
    {
        if (settings.cloud)
            this->cloud
                = PlatformClient::create(*this->loop, clientSettings(settings, *settings.cloud, cloudCallTimeout));
    }

    bool listen(HttpError* error);
    bool listenForPeers(HttpError* error);
    bool listenForRelays(HttpError* error);
    void onPeerMessage(const std::string& sender, const PeerMessage& message);
    void onPeerMessageNotSent(const std::string& address, const PeerMessage& message);
    void watchKinds();
    void observePlatform();
    void onAvailability(bool available);
    KindWatcherHandlers watcherHandlers(std::string_view kind);
    std::unique_ptr<KindWatcher> watchKind(std::string_view kind, KindWatcherHandlers handlers);
    void onConfigurationObjects(const std::vector<KindObject>& objects);
    void onUpstreamsListed(const std::vector<KindObject>& objects);
    void onUpstreamsChanged(const std::vector<KindObject>& objects);
    void onRollouts(const std::vector<KindObject>& objects, bool isFresh);
    void watchEvacuations();
    void onEvacuationsListed(const std::vector<KindObject>& objects);
    void onEvacuationsChanged(const std::vector<KindObject>& objects);
    void onCaller(std::shared_ptr<ServerExchange> exchange);
    void onPeerRequest(std::shared_ptr<ServerExchange> exchange);
    HttpReply adminReply(const HttpRequest& request);
    void onRelay(RelayEvent event);
    void handle(EntryEvent event);
    void scheduleTick();
    void readClock();
    void startMetricsWindows();

    void deliver(CallerGone& event) { this->handle(std::move(event)); }
    void deliver(AttemptStarted& event);
    void deliver(AttemptFinished& event);
    void deliver(AttemptFailed& event) { this->handle(std::move(event)); }

    void execute(ForwardRequest& command);
    void execute(RelayRequest& command);
    void execute(CheckUpstream& command) { this->checks.execute(command); }
    void execute(CancelAttempt& command) { this->relay.execute(command); }
    void execute(Respond& command) { this->relay.execute(std::move(command)); }
    void execute(FailStream& command) { this->relay.execute(command); }
    void execute(SetReady& command) { this->ready = command.ready; }
    void execute(ApplyCallerLimits& command);
    void execute(AnnounceClose&);
    void execute(StopAccepting&);
    void execute(StopProcess& command);
    void execute(SendUsage& command);
    void execute(SendUpstreamOrder& command);
    void execute(WriteRolloutState& command);
    void execute(const ReadRollouts& command);
    void execute(DecodeConfiguration& command);
    void execute(WriteNodeReport& command);
    void execute(ReadNodeReports&);
    void execute(SendEntryMessage& command);
    void execute(CallObjectApi& command);
    void execute(RequestEnded& command) { this->metrics.onRequestEnded(command); }
    void execute(LogEvent& command);

    void run(const ObjectCreate& call);
    void run(const ObjectUpdate& call);
    void run(const ObjectRead& call);
    void run(const ObjectList& call);
    void run(const ObjectDelete& call);
    template <typename Value, typename Fill> PlatformHandler<Value> objectHandler(ObjectCallId id, Fill fill);
    template <typename Value> PlatformHandler<Value> cloudHandler(std::uint64_t call);

    EntrySettings settings;
    std::unique_ptr<EventLoop> loop;
    EntryNode node;
    RequestRelay relay;
    UpstreamChecks checks;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<PlatformClient> cloud;
    RandomSource random;
    EntryMetrics metrics;
    LogLimiter logLimiter { logLinesPerSecond, logBurst };
    std::unique_ptr<HttpServer> callers;
    /// Takes the requests of peers without links to upstreams; null without an address for it.
    std::unique_ptr<HttpServer> relays;
    std::unique_ptr<AnswerDrain> drain;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> admin;
    std::unique_ptr<OutageProbe> outageProbe;
    std::unique_ptr<KindWatcher> configurationWatcher;
    std::unique_ptr<KindWatcher> upstreamWatcher;
    std::unique_ptr<KindWatcher> rolloutWatcher;
    /// Null unless the settings enable evacuations.
    std::unique_ptr<KindWatcher> evacuationWatcher;
    bool ready = false;
    bool stopped = false;
    std::optional<TimerId> tickTimer;
    Instant tickAt {};
    /// Its thread posts to the loop, so that it ends first.
    std::unique_ptr<PeersTask> peers;
};

std::unique_ptr<EntryTask> EntryTask::create(const EntrySettings& settings, std::uint64_t seed, HttpError* error)
{
    // The budget of bodies bounds what is in use. Left to itself, the allocator keeps the blocks of bodies that are
    // gone.
    if (settings.memoryBytes) {
        mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
        mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
    }
    auto impl = std::make_unique<Impl>(settings, seed);
    if (!impl->listen(error))
        return nullptr;
    return std::unique_ptr<EntryTask>(new EntryTask(std::move(impl)));
}

EntryTask::EntryTask(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

EntryTask::~EntryTask() = default;

void EntryTask::run()
{
    this->impl->loop->post([impl = this->impl.get()] {
        impl->readClock();
        impl->startMetricsWindows();
        impl->watchKinds();
        impl->handle(EntryTick {});
    });
    this->impl->loop->run();
}

void EntryTask::requestStop()
{
    // The process may have had no processor when the request came.
    const Instant receivedAt = this->impl->loop->lateSince();
    this->impl->loop->post([impl = this->impl.get(), receivedAt] { impl->handle(EntryStopRequested { receivedAt }); });
}

void EntryTask::onSettingsChanged(EntrySettings settings)
{
    this->impl->loop->post([impl = this->impl.get(), settings = std::move(settings)] {
        setLogLevel(settings.logLevel);
        const bool needsRestart = settings != impl->settings;
        logLine(LogLevel::Info, "settings read again", { { "differ", needsRestart } });
    });
}

bool EntryTask::Impl::listen(HttpError* error)
{
    HttpServerSettings callerSettings = serverSettings(this->settings.callers, firstLimits);
    callerSettings.bodyBudget
        = requestBodyBudget(this->settings.memoryBytes, entryRelaySettings(std::string(responseMark())));
    this->callers = HttpServer::listen(
        *this->loop, callerSettings,
        [this](std::shared_ptr<ServerExchange> exchange) { this->onCaller(std::move(exchange)); }, error);
    if (!this->callers)
        return false;
    this->readiness = HttpServer::listen(
        *this->loop, serverSettings(this->settings.readiness, firstLimits),
        [this](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->reply(
                { this->ready ? statusOk : statusUnavailable, {}, this->ready ? "ready\n" : "not ready\n" });
        },
        error);
    if (!this->readiness)
        return false;
    this->admin = HttpServer::listen(
        *this->loop, serverSettings(this->settings.admin, firstLimits),
        [this](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->reply(this->adminReply(exchange->request()));
        },
        error);
    return this->admin != nullptr && this->listenForRelays(error) && this->listenForPeers(error);
}

bool EntryTask::Impl::listenForRelays(HttpError* error)
{
    if (!this->settings.relays)
        return true;
    HttpServerSettings server = serverSettings(*this->settings.relays, relayLimits(firstLimits));
    server.maxHeaderFields += relayHeaderFields;
    this->relays = HttpServer::listen(
        *this->loop, server,
        [this](std::shared_ptr<ServerExchange> exchange) { this->onPeerRequest(std::move(exchange)); }, error);
    if (!this->relays)
        return false;
    this->relays->shareBodyBudget(*this->callers);
    return true;
}

bool EntryTask::Impl::listenForPeers(HttpError* error)
{
    if (!this->settings.peers)
        return true;
    PeersSettings peer;
    peer.node = NodeId(this->settings.node);
    peer.cluster = peersCluster;
    peer.address = formatSocketAddress(*this->settings.peers);
    peer.waitingTimeout = peerConnectTime;
    PeersHandlers handlers;
    handlers.onMessage = [this](Envelope envelope) {
        this->loop->post(
            [this, envelope = std::move(envelope)] { this->onPeerMessage(envelope.senderAddress, envelope.message); });
    };
    handlers.onNotSent = [this](std::string address, PeerMessage message) {
        this->loop->post([this, address = std::move(address), message = std::move(message)] {
            this->onPeerMessageNotSent(address, message);
        });
    };
    PeersError reason {};
    this->peers = PeersTask::start(std::move(peer), std::move(handlers), reason);
    if (this->peers)
        return true;
    *error
        = { HttpError::Kind::ListenFailed, "cannot listen for peers at " + formatSocketAddress(*this->settings.peers) };
    return false;
}

void EntryTask::Impl::onPeerMessage(const std::string& sender, const PeerMessage& message)
{
    if (const auto* content = std::get_if<EntryMessage>(&message))
        this->handle(EntryMessageReceived { sender, *content });
    else
        logLine(LogLevel::Warning, "message for another daemon ignored", { { "sender", sender } });
}

void EntryTask::Impl::onPeerMessageNotSent(const std::string& address, const PeerMessage& message)
{
    const auto* content = std::get_if<EntryMessage>(&message);
    const auto* request = content ? std::get_if<QuotaLoanRequest>(content) : nullptr;
    // The loan need not wait for a peer that cannot be reached.
    if (request)
        this->handle(EntryMessageReceived { address, QuotaLoan { request->loan, 0 } });
}

HttpReply EntryTask::Impl::adminReply(const HttpRequest& request)
{
    if (request.path == explainPath && request.method == "POST")
        return forecastReply(this->node, this->settings.node, request.body.text(), this->loop->now());
    if (request.path != metricsPath)
        return { statusNotFound, {}, "no such page\n" };
    this->metrics.update(this->node.statistics(), this->relay.counters(), this->callers->refusedRequests());
    this->metrics.updateAnswers(this->callers->unsentAnswers(), this->callers->cutAnswers());
    const std::uint64_t droppedOfPeers = this->relays ? this->relays->droppedRequests() : 0;
    this->metrics.updateDroppedRequests(
        this->callers->droppedRequests() + droppedOfPeers, this->loop->longestTimerDelay());
    this->metrics.updateBodies(this->callers->bodyMemory());
    this->metrics.updatePlatformCalls(*this->platform);
    return { statusOk, { { "content-type", "text/plain; version=0.0.4" } }, this->metrics.render() };
}

void EntryTask::Impl::watchKinds()
{
    this->observePlatform();
    KindWatcherHandlers configuration = this->watcherHandlers(wire::configKind);
    configuration.onListed = [this](const std::vector<KindObject>& objects) { this->onConfigurationObjects(objects); };
    configuration.onChanged = configuration.onListed;
    configuration.onReachable
        = [this, log = std::move(configuration.onReachable)](bool reachable, const std::string& reason) {
              log(reachable, reason);
              this->handle(ConfigurationWatchChanged { reachable });
          };
    this->configurationWatcher = this->watchKind(wire::configKind, std::move(configuration));

    KindWatcherHandlers upstreams = this->watcherHandlers(wire::serversKind);
    upstreams.onListed = [this](const std::vector<KindObject>& objects) { this->onUpstreamsListed(objects); };
    upstreams.onChanged = [this](const std::vector<KindObject>& objects) { this->onUpstreamsChanged(objects); };
    this->upstreamWatcher = this->watchKind(wire::serversKind, std::move(upstreams));

    KindWatcherHandlers orders = this->watcherHandlers(wire::rolloutsKind);
    orders.onListed = [this](const std::vector<KindObject>& objects) { this->onRollouts(objects, false); };
    orders.onChanged = orders.onListed;
    this->rolloutWatcher = this->watchKind(wire::rolloutsKind, std::move(orders));
    if (this->settings.evacuations)
        this->watchEvacuations();
}

void EntryTask::Impl::watchEvacuations()
{
    KindWatcherHandlers handlers = this->watcherHandlers(wire::evacuationsKind);
    handlers.onListed = [this](const std::vector<KindObject>& objects) { this->onEvacuationsListed(objects); };
    handlers.onChanged = [this](const std::vector<KindObject>& objects) { this->onEvacuationsChanged(objects); };
    handlers.onReachable = [this, log = std::move(handlers.onReachable)](bool reachable, const std::string& reason) {
        log(reachable, reason);
        this->handle(EvacuationWatchChanged { reachable });
    };
    this->evacuationWatcher = this->watchKind(wire::evacuationsKind, std::move(handlers));
}

void EntryTask::Impl::observePlatform()
{
    // In this order, so that the node knows of an outage before what is read after it.
    this->platform->onRestored([this] { this->handle(PlatformRestored {}); });
    this->platform->onAnswered([this] { this->handle(PlatformAnswered {}); });
    this->platform->observeAvailability([this](bool available) { this->onAvailability(available); });
    this->outageProbe = std::make_unique<OutageProbe>(*this->loop, *this->platform, std::string(wire::rolloutsKind),
        fromSeconds(probeFraction * toSeconds(this->settings.recoveryTime)), RandomSource(this->random.next()),
        [this](const std::vector<KindObject>& objects) { this->onRollouts(objects, true); });
}

void EntryTask::Impl::onAvailability(bool available)
{
    if (!available) {
        logLine(LogLevel::Warning, "outage of the platform begins");
        return;
    }
    const PlatformOutage& outage = this->platform->availability().lastOutage();
    const Duration longest = outage.returned - outage.lastAnswer;
    logLine(LogLevel::Info, "outage of the platform has ended", { { "secondsSinceLastAnswer", toSeconds(longest) } });
    this->handle(PlatformReturned { longest });
}

KindWatcherHandlers EntryTask::Impl::watcherHandlers(std::string_view kind)
{
    KindWatcherHandlers handlers;
    handlers.onReachable = [kind = std::string(kind)](bool reachable, const std::string& reason) {
        logLine(reachable ? LogLevel::Info : LogLevel::Warning,
            reachable ? "platform answers again" : "platform does not answer",
            { { "kind", kind }, { "reason", reason } });
    };
    return handlers;
}

std::unique_ptr<KindWatcher> EntryTask::Impl::watchKind(std::string_view kind, KindWatcherHandlers handlers)
{
    KindWatcherSettings watcher;
    watcher.wait = watchWait(this->settings);
    watcher.outageBackoff = watcherOutageBackoff;
    if (kind == wire::evacuationsKind)
        watcher.wait = std::min(watcher.wait, evacuationWait);
    if (kind == wire::rolloutsKind)
        watcher.pollEvery = rolloutPoll;
    return std::make_unique<KindWatcher>(*this->loop, *this->platform, std::string(kind), watcher, std::move(handlers),
        RandomSource(this->random.next()));
}

void EntryTask::Impl::onConfigurationObjects(const std::vector<KindObject>& objects)
{
    for (const KindObject& object : objects) {
        if (object.name != wire::configName || object.deleted)
            continue;
        this->loop->nameWork("configuration decoded");
        std::string reason;
        if (auto configuration = decodeConfiguration(object.spec, reason))
            this->handle(EntryConfigurationRead { std::move(*configuration), encodeConfiguration(object.spec) });
        else
            logLine(LogLevel::Error, "configuration cannot be understood; the last one stays in effect",
                { { "objectVersion", object.version }, { "reason", reason } });
    }
}

void EntryTask::Impl::onUpstreamsListed(const std::vector<KindObject>& objects)
{
    this->loop->nameWork("upstreams decoded");
    UpstreamsListed listed;
    std::vector<UpstreamReplaced> replaced;
    for (const KindObject& object : objects) {
        std::string reason;
        if (auto upstream = decodeUpstream(object, reason)) {
            listed.upstreams.push_back(std::move(*upstream));
            continue;
        }
        logLine(LogLevel::Warning, "entry names no upstream", { { "entry", object.name }, { "reason", reason } });
        replaced.push_back({ object.name });
    }
    for (UpstreamReplaced& event : replaced)
        this->handle(std::move(event));
    this->handle(std::move(listed));
}

void EntryTask::Impl::onUpstreamsChanged(const std::vector<KindObject>& objects)
{
    for (const KindObject& object : objects) {
        if (object.deleted) {
            this->handle(UpstreamRemoved { object.name });
            continue;
        }
        std::string reason;
        if (auto upstream = decodeUpstream(object, reason)) {
            this->handle(UpstreamChanged { std::move(*upstream) });
            continue;
        }
        logLine(LogLevel::Warning, "entry names no upstream", { { "entry", object.name }, { "reason", reason } });
        this->handle(UpstreamReplaced { object.name });
    }
}

void EntryTask::Impl::onRollouts(const std::vector<KindObject>& objects, bool isFresh)
{
    RolloutsListed listed { {}, isFresh };
    for (const KindObject& object : objects) {
        std::string reason;
        if (auto order = decodeRollout(object, reason))
            listed.orders.push_back(std::move(*order));
        else
            logLine(LogLevel::Warning, "entry is no rollout", { { "entry", object.name }, { "reason", reason } });
    }
    this->handle(std::move(listed));
}

void EntryTask::Impl::onEvacuationsListed(const std::vector<KindObject>& objects)
{
    EvacuationsListed listed;
    for (const KindObject& object : objects)
        listed.evacuations.push_back({ AvailabilityZone(object.name), object.version });
    listed.revision = this->evacuationWatcher->version().value_or(0);
    this->handle(std::move(listed));
}

void EntryTask::Impl::onEvacuationsChanged(const std::vector<KindObject>& objects)
{
    for (const KindObject& object : objects) {
        // An object that is being deleted still exists, and ends the evacuation once it is gone.
        if (object.deleted)
            this->handle(EvacuationEnded { AvailabilityZone(object.name), object.version });
        else
            this->handle(EvacuationStarted { AvailabilityZone(object.name), object.version });
    }
}

void EntryTask::Impl::onCaller(std::shared_ptr<ServerExchange> exchange)
{
    const RequestId id = this->node.nextRequestId();
    CallerRequestArrived arrived { id, decodeCallerRequest(exchange->request()) };
    this->relay.addCaller(id, std::move(exchange));
    this->handle(std::move(arrived));
}

void EntryTask::Impl::onPeerRequest(std::shared_ptr<ServerExchange> exchange)
{
    const RequestId id = this->node.nextRequestId();
    CallerRequestArrived arrived { id, decodeCallerRequest(exchange->request()),
        decodeHandedRequest(exchange->request()) };
    this->relay.addCaller(id, std::move(exchange));
    this->handle(std::move(arrived));
}

void EntryTask::Impl::onRelay(RelayEvent event)
{
    std::visit([this](auto& content) { this->deliver(content); }, event);
}

void EntryTask::Impl::deliver(AttemptStarted& event)
{
    this->handle(UpstreamStreamStarted { event.attempt, decodeResponseFacts(statusOk, event.headers) });
}

void EntryTask::Impl::deliver(AttemptFinished& event)
{
    const ResponseFacts facts = decodeResponseFacts(event.status, event.headers);
    this->handle(UpstreamResponded { std::move(event), facts });
}

void EntryTask::Impl::handle(EntryEvent event)
{
    // Requests that are still read while the last answers leave need an answer too.
    if (this->stopped && !std::holds_alternative<CallerRequestArrived>(event))
        return;
    this->loop->nameWork(std::visit(WorkNames {}, event));
    EntryCommands commands = this->node.handle(std::move(event), this->loop->now());
    this->loop->nameWork("commands");
    for (EntryCommand& command : commands)
        std::visit([this](auto& content) { this->execute(content); }, command);
    // What called this goes on with work of its own.
    this->loop->nameWork({});
    this->scheduleTick();
}

void EntryTask::Impl::scheduleTick()
{
    const Instant now = this->loop->now();
    const Instant due = std::max(this->node.nextTick(), now + shortestTick);
    if (this->tickTimer && this->tickAt <= due)
        return;
    if (this->tickTimer)
        this->loop->cancelTimer(*this->tickTimer);
    this->tickAt = due;
    this->tickTimer = this->loop->runAfter(due - now, [this] {
        this->tickTimer.reset();
        this->handle(EntryTick {});
    });
}

void EntryTask::Impl::readClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    if (const std::uint64_t leftOut = this->logLimiter.takeLeftOut())
        logLine(LogLevel::Warning, "log lines left out", { { "count", leftOut }, { "lost", lostLogLines() } });
    this->handle(ClockRead { std::chrono::duration_cast<Duration>(sinceEpoch) });
    this->loop->runAfter(clockPeriod, [this] { this->readClock(); });
}

void EntryTask::Impl::startMetricsWindows()
{
    this->loop->runAfter(metricsWindow, [this] {
        this->metrics.startWindow();
        this->startMetricsWindows();
    });
}

void EntryTask::Impl::execute(ForwardRequest& command)
{
    StartAttempt& attempt = command.attempt;
    attempt.headers = encodeUpstreamHeaders(std::move(attempt.headers), command.context, this->loop->now());
    attempt.expectedEcho = expectedEcho(command.callerAttemptId);
    this->relay.execute(std::move(attempt));
}

void EntryTask::Impl::execute(ApplyCallerLimits& command)
{
    this->callers->setLimits(serverLimits(command.limits));
    if (this->relays)
        this->relays->setLimits(serverLimits(relayLimits(command.limits)));
}

void EntryTask::Impl::execute(AnnounceClose&)
{
    this->callers->announceClose();
    if (this->relays)
        this->relays->announceClose();
}

void EntryTask::Impl::execute(StopAccepting&)
{
    this->callers->stopAccepting();
    if (this->relays)
        this->relays->stopAccepting();
}

void EntryTask::Impl::execute(RelayRequest& command)
{
    StartAttempt& attempt = command.attempt;
    attempt.headers = encodeRelayHeaders(std::move(attempt.headers), command.context, this->loop->now());
    this->relay.execute(std::move(attempt));
}

void EntryTask::Impl::execute(StopProcess& command)
{
    this->stopped = true;
    std::vector<HttpServer*> servers { this->callers.get() };
    if (this->relays)
        servers.push_back(this->relays.get());
    this->drain = std::make_unique<AnswerDrain>(*this->loop, std::move(servers));
    this->drain->start({ this->loop->now() + stopDelay, command.deadline }, [this] { this->loop->stop(); });
}

template <typename Value> PlatformHandler<Value> EntryTask::Impl::cloudHandler(std::uint64_t call)
{
    return [this, call](const PlatformResult<Value>& result) {
        const auto* error = std::get_if<PlatformError>(&result);
        CloudCallEnded ended { call, error ? outcomeOf(error->kind) : ObjectOutcome::Ok };
        if constexpr (std::is_same_v<Value, std::uint64_t>)
            ended.version = error ? 0 : std::get<Value>(result);
        this->handle(ended);
    };
}

void EntryTask::Impl::execute(SendUsage& command)
{
    if (this->cloud)
        this->cloud->reportUsage(command.report, this->cloudHandler<std::monostate>(command.call));
}

void EntryTask::Impl::execute(SendUpstreamOrder& command)
{
    if (this->cloud)
        this->cloud->orderUpstreams(command.order, this->cloudHandler<std::monostate>(command.call));
}

void EntryTask::Impl::execute(WriteRolloutState& command)
{
    const std::string key = std::string(wire::rolloutsKind) + "/" + command.order.service.value();
    this->platform->writeStatus(key, encodeRolloutStatus(command.order), command.order.objectVersion,
        this->cloudHandler<std::uint64_t>(command.call));
}

void EntryTask::Impl::execute(const ReadRollouts& command)
{
    const ReadFreshness freshness = command.mayBeStale ? ReadFreshness::MayBeStale : ReadFreshness::Current;
    const auto onListed = [this, isFresh = !command.mayBeStale](const PlatformResult<KindPage>& result) {
        if (const auto* list = std::get_if<KindPage>(&result))
            this->onRollouts(list->objects, isFresh);
        else
            logLine(
                LogLevel::Warning, "rollout orders not read", { { "reason", std::get<PlatformError>(result).detail } });
    };
    this->platform->listKind(std::string(wire::rolloutsKind), freshness, onListed);
}

void EntryTask::Impl::execute(DecodeConfiguration& command)
{
    // Posted, because the node is still inside the event that issued the command.
    this->loop->post([this, text = std::move(command.text)] {
        this->loop->nameWork("configuration of a peer decoded");
        std::string reason;
        if (auto configuration = decodeConfiguration(text, reason))
            this->handle(EntryConfigurationRead { std::move(*configuration), text });
        else
            logLine(LogLevel::Error, "configuration from a peer cannot be decoded", { { "reason", reason } });
    });
}

void EntryTask::Impl::execute(WriteNodeReport& command)
{
    const std::string key = std::string(nodesKind) + "/" + command.host;
    const std::string value = toJsonText(nlohmann::json { { reportField, command.report } });
    const bool isOwn = command.host == this->settings.node;
    const auto onWritten = [this, isOwn](const PlatformResult<std::uint64_t>& result) {
        const auto* error = std::get_if<PlatformError>(&result);
        if (isOwn)
            this->handle(NodeReportWritten { error == nullptr, error ? error->detail : std::string() });
        else if (error)
            logLine(LogLevel::Warning, "report of another node not written", { { "reason", error->detail } });
    };
    this->platform->replaceObject(
        key, value, [this, key, onWritten, value](const PlatformResult<std::uint64_t>& result) {
            const auto* error = std::get_if<PlatformError>(&result);
            if (error && error->kind == PlatformError::Kind::NotFound)
                this->platform->createObject(key, value, onWritten);
            else
                onWritten(result);
        });
}

void EntryTask::Impl::execute(ReadNodeReports&)
{
    // Not from stale data: all nodes must learn of a node that returned in the same round of reports, or the shares of
    // the quotas add up to more than 1.
    this->platform->listKind(
        std::string(nodesKind), ReadFreshness::Current, [this](const PlatformResult<KindPage>& result) {
            const auto* list = std::get_if<KindPage>(&result);
            if (!list) {
                logLine(LogLevel::Warning, "reports of the nodes not read",
                    { { "reason", std::get<PlatformError>(result).detail } });
                return;
            }
            NodeReportsRead read;
            for (const KindObject& object : list->objects) {
                // Taken as it is: a node reads the reports of hundreds, and decodes only a part of each.
                const auto text = object.spec.find(reportField);
                read.reports.push_back(text != object.spec.end() && text->is_string() ? text->get<std::string>() : "");
            }
            this->handle(std::move(read));
        });
}

void EntryTask::Impl::execute(SendEntryMessage& command)
{
    if (this->peers && !this->peers->send(command.address, command.message))
        logLine(LogLevel::Warning, "message to a peer not queued", { { "address", command.address } });
}

void EntryTask::Impl::execute(CallObjectApi& command)
{
    std::visit([this](const auto& call) { this->run(call); }, command.call);
}

template <typename Value, typename Fill>
PlatformHandler<Value> EntryTask::Impl::objectHandler(ObjectCallId id, Fill fill)
{
    return [this, id, fill](const PlatformResult<Value>& result) {
        ObjectResult event;
        event.id = id;
        if (const auto* error = std::get_if<PlatformError>(&result)) {
            event.outcome = outcomeOf(error->kind);
            event.version = error->currentVersion.value_or(0);
        } else {
            event.outcome = ObjectOutcome::Ok;
            fill(event, std::get<Value>(result));
        }
        this->handle(std::move(event));
    };
}

void EntryTask::Impl::run(const ObjectCreate& call)
{
    this->platform->createObject(call.key, call.value,
        this->objectHandler<std::uint64_t>(
            call.id, [](ObjectResult& event, std::uint64_t version) { event.version = version; }));
}

void EntryTask::Impl::run(const ObjectUpdate& call)
{
    this->platform->updateObject(call.key, call.value, call.expected,
        this->objectHandler<std::uint64_t>(
            call.id, [](ObjectResult& event, std::uint64_t version) { event.version = version; }));
}

void EntryTask::Impl::run(const ObjectRead& call)
{
    this->platform->readObject(
        call.key, this->objectHandler<StoredObject>(call.id, [](ObjectResult& event, const StoredObject& object) {
            event.value = object.value;
            event.version = object.version;
        }));
}

void EntryTask::Impl::run(const ObjectList& call)
{
    this->platform->listObjects(call.prefix,
        this->objectHandler<std::vector<ListedObject>>(
            call.id, [](ObjectResult& event, const std::vector<ListedObject>& objects) {
                for (const ListedObject& object : objects)
                    event.entries.push_back({ object.key, object.version });
            }));
}

void EntryTask::Impl::run(const ObjectDelete& call)
{
    this->platform->deleteObject(
        call.key, call.expected, this->objectHandler<std::monostate>(call.id, [](ObjectResult&, std::monostate) {}));
}

void EntryTask::Impl::execute(LogEvent& command)
{
    if (!this->logLimiter.admit(this->loop->now()))
        return;
    writeLogEvent(command);
}

} // namespace teaselshore
