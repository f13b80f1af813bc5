#include "teaselshore/emulators/service_server.hpp"

#include <cstdlib>
#include <fstream>
#include <map>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/target.hpp"
#include "teaselshore/emulators/tick_timer.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    /// Exit status of an emulated crash.
    constexpr int crashStatus = 70;

    bool isShare(const json& value) { return value.is_number() && value >= 0 && value <= 1; }

    HttpReply refusalReply(ServiceRefusal refusal, const RequestId& id)
    {
        switch (refusal) {
        case ServiceRefusal::QueueFull:
            return errorReply(503, "queue_full", "the queue of the service is full", id);
        case ServiceRefusal::RefusedByFault:
            return errorReply(503, "refused", "the service refuses the request", id);
        case ServiceRefusal::VersionFault:
            break;
        }
        return errorReply(500, "version_fault", "this version of the service fails the request", id);
    }

} // namespace

struct ServiceServer::Impl {
    Impl(EventLoop& loop, const ServiceSettings& settings, std::uint64_t seed)
        : loop(loop)
        , model(settings, seed, loop.now())
        , timer(loop, [this] { this->tick(); })
    {
    }

    bool openLog(const std::string& path);
    void recordStarted();
    void handle(const std::shared_ptr<ServerExchange>& exchange);
    std::optional<HttpReply> answer(const HttpRequest& request, const RequestTarget& target);
    void run(const std::shared_ptr<ServerExchange>& exchange);
    HttpReply faults(const std::string& body);
    HttpReply execution(const std::string& key) const;
    HttpReply allExecutions() const;
    HttpReply statistics() const;
    void tick();
    void finish(const ServiceAnswer& answer);
    void addLoad(HttpReply& reply) const;

    EventLoop& loop;
    ServiceModel model;
    std::map<ServiceCallId, std::shared_ptr<ServerExchange>> calls;
    ServiceCallId lastCall = 0;
    std::ofstream executionLog;
    TickTimer timer;
    std::unique_ptr<HttpServer> server;
};

std::unique_ptr<ServiceServer> ServiceServer::listen(EventLoop& loop, const HttpServerSettings& address,
    const ServiceSettings& service, std::uint64_t seed, const std::string& executionLog, HttpError* error)
{
    auto impl = std::make_unique<Impl>(loop, service, seed);
    if (!executionLog.empty() && !impl->openLog(executionLog)) {
        *error = { HttpError::Kind::ListenFailed, "cannot open execution log " + executionLog, false };
        return nullptr;
    }
    Impl* state = impl.get();
    impl->server = HttpServer::listen(
        loop, address, [state](const std::shared_ptr<ServerExchange>& exchange) { state->handle(exchange); }, error);
    if (!impl->server)
        return nullptr;
    return std::unique_ptr<ServiceServer>(new ServiceServer(std::move(impl)));
}

ServiceServer::ServiceServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

ServiceServer::~ServiceServer() = default;

std::uint16_t ServiceServer::port() const { return this->impl->server->port(); }

ServingHooks ServiceServer::hooks()
{
    HttpServer* server = this->impl->server.get();
    return { [server] { server->stopAccepting(); }, [server] { return server->openExchanges(); } };
}

bool ServiceServer::Impl::openLog(const std::string& path)
{
    std::ifstream earlier(path);
    for (std::string key; std::getline(earlier, key);)
        this->model.restoreExecution(IdempotencyKey(key));
    this->executionLog.open(path, std::ios::app);
    return this->executionLog.is_open();
}

void ServiceServer::Impl::recordStarted()
{
    const std::vector<IdempotencyKey> started = this->model.takeStarted();
    if (!this->executionLog.is_open() || started.empty())
        return;
    for (const IdempotencyKey& key : started)
        this->executionLog << key.value() << '\n';
    // The lines must be with the operating system before a crash of this process can follow.
    this->executionLog.flush();
}

void ServiceServer::Impl::handle(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    auto reply = this->answer(request, parseTarget(request.path));
    if (reply)
        exchange->reply(std::move(*reply));
    else
        this->run(exchange);
}

std::optional<HttpReply> ServiceServer::Impl::answer(const HttpRequest& request, const RequestTarget& target)
{
    if (request.method == "POST" && target.path == "/faults")
        return this->faults(request.body.text());
    if (request.method != "GET")
        return std::nullopt;
    if (target.path == "/executions")
        return this->allExecutions();
    if (const auto key = target.after("/executions/"))
        return this->execution(*key);
    if (target.path == "/stats" || target.path == "/load")
        return this->statistics();
    return std::nullopt;
}

void ServiceServer::Impl::run(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    const ServiceCallId call = ++this->lastCall;
    const IdempotencyKey key(request.headers.find("idempotency-key").value_or(""));
    const auto refusal
        = this->model.onRequest(call, { request.method, request.path, key, request.body.text() }, this->loop.now());
    this->recordStarted();
    if (refusal) {
        HttpReply reply = refusalReply(*refusal, RequestId(request.headers.find("x-request-id").value_or("")));
        if (guaranteesNotRun(*refusal))
            reply.headers.add("x-not-run", "true");
        this->addLoad(reply);
        exchange->reply(std::move(reply));
        return;
    }
    this->calls.emplace(call, exchange);
    // A run goes on when its caller leaves; only its answer has nowhere to go.
    exchange->onClosed([this, call] { this->calls.erase(call); });
    this->timer.armAt(this->model.nextTick());
}

HttpReply ServiceServer::Impl::faults(const std::string& text)
{
    const auto body = parseObject(text);
    if (!body)
        return errorReply(400, "bad_request", "expected a JSON object");
    ServiceFaults faults = this->model.faults();
    for (const auto& [name, value] : body->items()) {
        if (name == "refuse" && isShare(value)) {
            faults.refuse = value.get<double>();
        } else if (name == "loseAnswers" && isShare(value)) {
            faults.loseAnswers = value.get<double>();
        } else if (name == "late" && isShare(value)) {
            faults.late = value.get<double>();
        } else if (name == "lateMs" && value.is_number_unsigned()) {
            faults.lateDelay = std::chrono::milliseconds(value.get<std::uint32_t>());
        } else if (name == "exit" && value.is_boolean()) {
            if (value.get<bool>()) {
                logLine(LogLevel::Warning, "emulated crash");
                std::_Exit(crashStatus);
            }
        } else if (name == "behaviour" && value.is_string()) {
            auto behaviour = parseVersionBehaviour(value.get<std::string>());
            if (!behaviour)
                return errorReply(400, "bad_request", "unknown behaviour");
            this->model.setBehaviour(std::move(*behaviour), this->loop.now());
        } else {
            return errorReply(400, "bad_request", "unknown fault or wrong value: " + name);
        }
    }
    this->model.setFaults(faults);
    return jsonReply(200, json::object());
}

HttpReply ServiceServer::Impl::execution(const std::string& key) const
{
    const ExecutionRecord record = this->model.executions(IdempotencyKey(key));
    return jsonReply(200,
        { { "key", key }, { "count", record.started }, { "running", record.running },
            { "checksum", fmt::format("{:016x}", record.checksum) } });
}

HttpReply ServiceServer::Impl::allExecutions() const
{
    json counts = json::object();
    for (const auto& [key, record] : this->model.allExecutions())
        counts[key.value()] = record.started;
    return jsonReply(200, { { "executions", counts } });
}

HttpReply ServiceServer::Impl::statistics() const
{
    const ServiceStatistics counters = this->model.statistics();
    return jsonReply(200,
        { { "queued", counters.queued }, { "running", counters.running }, { "requests", counters.requests },
            { "refused", counters.refused }, { "versionFaults", counters.versionFaults },
            { "answersLost", counters.answersLost }, { "withoutKey", counters.withoutKey },
            { "version", this->model.version().value() } });
}

void ServiceServer::Impl::tick()
{
    const std::vector<ServiceAnswer> answers = this->model.onTick(this->loop.now());
    this->recordStarted();
    for (const ServiceAnswer& answer : answers) {
        if (answer.delay > Duration::zero())
            this->loop.runAfter(answer.delay, [this, answer] { this->finish(answer); });
        else
            this->finish(answer);
    }
    this->timer.armAt(this->model.nextTick());
}

void ServiceServer::Impl::finish(const ServiceAnswer& answer)
{
    const auto node = this->calls.extract(answer.call);
    if (node.empty())
        return;
    const std::shared_ptr<ServerExchange>& exchange = node.mapped();
    if (answer.fate == AnswerFate::Lost) {
        exchange->abort();
        return;
    }
    HttpReply reply = jsonReply(200,
        { { "key", answer.key.value() }, { "count", answer.executions }, { "path", answer.path },
            { "checksum", fmt::format("{:016x}", answer.checksum) } });
    this->addLoad(reply);
    exchange->reply(std::move(reply));
}

void ServiceServer::Impl::addLoad(HttpReply& reply) const
{
    const ServiceStatistics counters = this->model.statistics();
    reply.headers.add("x-load-queued", std::to_string(counters.queued));
    reply.headers.add("x-load-running", std::to_string(counters.running));
    reply.headers.add("x-version", this->model.version().value());
}

} // namespace teaselshore
