#include "teaselshore/daemon/serving_task.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "admin_replies.hpp"
#include "answer_drain.hpp"
#include "header_conversion.hpp"
#include "log_event.hpp"
#include "node_settings_from.hpp"
#include "serving_metrics.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/daemon/request_relay.hpp"
#include "teaselshore/http/http_server.hpp"
#include "teaselshore/node/node.hpp"
#include "teaselshore/telemetry/span_ring.hpp"
#include "trace_index.hpp"
#include "upstream_queries.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t spanCapacity = 20'000;
    constexpr Duration shortestTick = std::chrono::milliseconds(1);
    constexpr Duration metricsWindow = std::chrono::seconds(10);
    /// Kept for the last messages to peers to leave.
    constexpr Duration stopDelay = std::chrono::milliseconds(200);
    /// Another node can take the request, or this one once some have ended.
    constexpr Duration refusedRetryAfter = std::chrono::seconds(1);
    constexpr int statusNotFound = 404;
    constexpr int statusServiceUnavailable = 503;
    constexpr std::string_view readinessPath = "/readyz";
    constexpr std::string_view livenessPath = "/healthz";
    constexpr std::string_view tracePrefix = "/admin/trace/";
    constexpr std::string_view explainPrefix = "/admin/explain/";

} // namespace

struct ServingTask::Impl {
    Impl(const DaemonSettings& settings, NodeSettings nodeSettings)
        : settings(settings)
        , loop(EventLoop::create())
        , node(withCalendarTime(std::move(nodeSettings), loop->now()))
        , relay(*loop, { settings.limits.maxPendingStreamBytes },
              [this](RelayEvent event) { this->onRelay(std::move(event)); })
        , queries(*loop, [this](NodeEvent event) { this->handle(std::move(event)); })
        , spans(spanCapacity)
        , startedAt(loop->now())
    {
    }

    bool listen(HttpError* error);
    void onCaller(const std::shared_ptr<ServerExchange>& exchange);
    void onAdmin(const std::shared_ptr<ServerExchange>& exchange);
    HttpReply adminReply(const HttpRequest& request);
    AdminContext adminContext(std::string_view id) const;
    void onRelay(RelayEvent event);
    void handle(NodeEvent event);
    void scheduleTick();
    void scheduleMetricsWindow();

    void execute(StartAttempt& command) { this->relay.execute(std::move(command)); }
    void execute(CancelAttempt& command) { this->relay.execute(command); }
    void execute(InterruptAttempt& command) { this->relay.execute(command); }
    void execute(Respond& command) { this->relay.execute(std::move(command)); }
    void execute(FailStream& command) { this->relay.execute(command); }
    void execute(SendToPeer& command) { this->outlets.sendToPeer(command.address, std::move(command.content)); }
    void execute(ForgetPeer& command) { this->outlets.forgetPeer(command.address); }
    void execute(CallObjectApi& command) { this->outlets.callObjectApi(std::move(command.call)); }
    void execute(WatchConfiguration& command) { this->outlets.watchConfiguration(command.enabled); }
    void execute(ReadHostList&) { this->outlets.readHostList(); }
    void execute(ReadNotices&) { this->outlets.readNotices(); }
    void execute(QueryLoad& command) { this->queries.execute(command); }
    void execute(QueryOutcome& command) { this->queries.execute(command); }
    void execute(SetReady& command);
    void execute(StopProcess& command);
    void execute(LogEvent& command) { writeLogEvent(command); }
    void execute(Span& command);

    DaemonSettings settings;
    std::unique_ptr<EventLoop> loop;
    ServingOutlets outlets;
    Node node;
    RequestRelay relay;
    UpstreamQueries queries;
    SpanRing spans;
    TraceIndex traces;
    ServingMetrics metrics;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<AnswerDrain> drain;
    std::unique_ptr<HttpServer> adminServer;
    Instant startedAt {};
    Instant adoptedAt {};
    ConfigurationVersion seenVersion = 0;
    bool ready = true;
    bool stopped = false;
    std::optional<TimerId> tickTimer;
    Instant tickAt {};
};

std::unique_ptr<ServingTask> ServingTask::create(
    const DaemonSettings& settings, NodeSettings nodeSettings, HttpError* error)
{
    auto impl = std::make_unique<Impl>(settings, std::move(nodeSettings));
    if (!impl->listen(error))
        return nullptr;
    return std::unique_ptr<ServingTask>(new ServingTask(std::move(impl)));
}

ServingTask::ServingTask(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

ServingTask::~ServingTask() = default;

void ServingTask::connect(ServingOutlets outlets) { this->impl->outlets = std::move(outlets); }

void ServingTask::run()
{
    this->impl->loop->post([impl = this->impl.get()] { impl->handle(Tick {}); });
    this->impl->scheduleMetricsWindow();
    this->impl->loop->run();
}

void ServingTask::deliver(NodeEvent event)
{
    this->impl->loop->post([impl = this->impl.get(), event = std::move(event)] { impl->handle(event); });
}

void ServingTask::requestStop()
{
    // The process may have had no processor when the request came.
    this->deliver(StopRequested { std::nullopt, this->impl->loop->lateSince() });
}

bool ServingTask::Impl::listen(HttpError* error)
{
    HttpServerSettings server;
    server.address = this->settings.listen.address;
    server.port = this->settings.listen.port;
    server.maxBodyBytes = this->settings.limits.maxBodyBytes;
    server.refuseDotSegments = true;
    this->callerServer = HttpServer::listen(
        *this->loop, server, [this](const std::shared_ptr<ServerExchange>& exchange) { this->onCaller(exchange); },
        error);
    if (!this->callerServer)
        return false;
    server.address = this->settings.admin.address;
    server.port = this->settings.admin.port;
    this->adminServer = HttpServer::listen(
        *this->loop, server, [this](const std::shared_ptr<ServerExchange>& exchange) { this->onAdmin(exchange); },
        error);
    return this->adminServer != nullptr;
}

void ServingTask::Impl::onCaller(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.path == readinessPath) {
        exchange->reply({ this->ready ? 200 : statusServiceUnavailable, {}, this->ready ? "ready\n" : "stopping\n" });
        return;
    }
    if (request.path == livenessPath) {
        exchange->reply({ 200, {}, "alive\n" });
        return;
    }
    const RequestId id = this->node.nextRequestId();
    const bool isFull = this->relay.openCallers() >= this->settings.limits.maxOpenRequests;
    this->relay.addCaller(id, exchange);
    if (this->stopped || isFull) {
        const char* reason = this->stopped ? "this node has stopped" : "this node has too many open requests";
        this->relay.execute(errorResponse(id, notRunError(reason, refusedRetryAfter)));
        return;
    }
    RequestArrived arrived { id, request.method, request.path, toHeaderList(request.headers), request.body.text() };
    this->handle(std::move(arrived));
}

void ServingTask::Impl::onAdmin(const std::shared_ptr<ServerExchange>& exchange)
{
    exchange->reply(this->adminReply(exchange->request()));
    if (exchange->request().method == "POST" && exchange->request().path == "/admin/drain")
        this->handle(StopRequested {});
}

AdminContext ServingTask::Impl::adminContext(std::string_view id) const
{
    const Instant now = this->loop->now();
    AdminContext context { this->settings, this->node, this->spans };
    context.uptime = now - this->startedAt;
    context.configurationAge = this->seenVersion > 0 ? now - this->adoptedAt : Duration::zero();
    context.now = now;
    context.trace = this->traces.find(id);
    return context;
}

HttpReply ServingTask::Impl::adminReply(const HttpRequest& request)
{
    const std::string_view path = request.path;
    if (request.method == "POST" && path == "/admin/drain")
        return drainReply(this->adminContext({}));
    if (path == "/admin/status")
        return statusReply(this->adminContext({}));
    if (path == "/admin/nodes")
        return nodesReply(this->adminContext({}));
    if (path.starts_with(tracePrefix))
        return traceReply(this->adminContext(path.substr(tracePrefix.size())));
    if (path.starts_with(explainPrefix)) {
        const std::string id(path.substr(explainPrefix.size()));
        return explainReply(this->adminContext(id), RequestId(id));
    }
    if (path == "/metrics") {
        this->metrics.update(this->node, this->relay.counters(), this->relay.openCallers(), this->relay.openAttempts());
        return { 200, { { "content-type", "text/plain; version=0.0.4" } }, this->metrics.render() };
    }
    return { statusNotFound, {}, "no such page\n" };
}

void ServingTask::Impl::onRelay(RelayEvent event)
{
    std::visit([this](auto& content) { this->handle(NodeEvent { std::move(content) }); }, event);
}

void ServingTask::Impl::handle(NodeEvent event)
{
    if (this->stopped)
        return;
    for (NodeCommand& command : this->node.handle(std::move(event), this->loop->now()))
        std::visit([this](auto& content) { this->execute(content); }, command);
    if (this->node.configurationVersion() != this->seenVersion) {
        this->seenVersion = this->node.configurationVersion();
        this->adoptedAt = this->loop->now();
    }
    this->scheduleTick();
}

void ServingTask::Impl::scheduleTick()
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
        this->handle(Tick {});
    });
}

void ServingTask::Impl::scheduleMetricsWindow()
{
    this->loop->runAfter(metricsWindow, [this] {
        this->metrics.startWindow();
        this->scheduleMetricsWindow();
    });
}

void ServingTask::Impl::execute(SetReady& command)
{
    this->ready = command.ready;
    // A Node becomes unready only to stop.
    if (!this->ready)
        this->callerServer->announceClose();
}

void ServingTask::Impl::execute(StopProcess& command)
{
    this->stopped = true;
    this->callerServer->stopAccepting();
    this->drain = std::make_unique<AnswerDrain>(*this->loop, std::vector<HttpServer*> { this->callerServer.get() });
    this->drain->start({ this->loop->now() + stopDelay, command.deadline }, [this] { this->loop->stop(); });
}

void ServingTask::Impl::execute(Span& command)
{
    this->traces.add(command);
    this->metrics.onSpan(command);
    this->spans.add(std::move(command));
}

} // namespace teaselshore
