#include "teaselshore/emulators/engine_server.hpp"

#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/emulators/chat_format.hpp"
#include "teaselshore/emulators/engine_model.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/target.hpp"
#include "teaselshore/emulators/tick_timer.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    /// Exit status of an emulated crash.
    constexpr int crashStatus = 70;
    constexpr std::size_t maxCacheEvents = 1000;

    std::uint64_t headerNumber(const HttpRequest& request, std::string_view name, std::uint64_t fallback)
    {
        const auto text = request.headers.find(name);
        return text ? parseNumber(*text).value_or(fallback) : fallback;
    }

    [[noreturn]] void crash(std::string_view reason)
    {
        logLine(LogLevel::Warning, "emulated crash", { { "reason", reason } });
        std::_Exit(crashStatus);
    }

    HttpReply refusalReply(EngineRefusal refusal, const RequestId& id)
    {
        switch (refusal) {
        case EngineRefusal::QueueFull:
            return errorReply(503, "queue_full", "the queue of the engine is full", id);
        case EngineRefusal::Draining:
            return errorReply(503, "draining", "the engine takes no new requests", id);
        case EngineRefusal::ModelNotLoaded:
            return errorReply(404, "model_not_loaded", "the engine has not loaded this model", id);
        case EngineRefusal::VersionFault:
            break;
        }
        return errorReply(500, "version_fault", "this version of the engine fails the request", id);
    }

    std::string hex(Fingerprint value) { return fmt::format("{:016x}", value); }

    std::optional<Fingerprint> parseHex(const std::string& text)
    {
        char* end = nullptr;
        const Fingerprint value = std::strtoull(text.c_str(), &end, 16);
        if (text.empty() || *end != '\0')
            return std::nullopt;
        return value;
    }

    std::optional<ControlAction> parseAction(const std::string& text)
    {
        static const std::map<std::string, ControlAction> actions { { "load-model", ControlAction::LoadModel },
            { "load-adapter", ControlAction::LoadAdapter }, { "load-version", ControlAction::LoadVersion },
            { "set-role", ControlAction::SetRole } };
        const auto found = actions.find(text);
        return found == actions.end() ? std::nullopt : std::optional(found->second);
    }

    std::string_view actionName(ControlAction action)
    {
        switch (action) {
        case ControlAction::LoadModel:
            return "load-model";
        case ControlAction::LoadAdapter:
            return "load-adapter";
        case ControlAction::LoadVersion:
            return "load-version";
        case ControlAction::SetRole:
            break;
        }
        return "set-role";
    }

    std::string_view roleName(EngineRole role) { return role == EngineRole::Serving ? "serving" : "draining"; }

    std::string textMember(const json& document, const char* name)
    {
        const auto found = document.find(name);
        return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

} // namespace

struct EngineServer::Impl {
    struct Call {
        std::shared_ptr<ServerExchange> exchange;
        RequestId id;
        std::string model;
        PromptKey key = 0;
        ChatUsage usage;
        /// Set for a streamed answer.
        std::optional<ChatStreamFormat> stream;
        /// Text so far of an answer that is sent at its end.
        std::string content;
    };

    Impl(EventLoop& loop, const EngineSettings& settings, std::uint64_t seed)
        : loop(loop)
        , model(settings, seed, loop.now())
        , random(seed)
        , timer(loop, [this] { this->tick(); })
    {
    }

    void handle(const std::shared_ptr<ServerExchange>& exchange);
    void chat(const std::shared_ptr<ServerExchange>& exchange);
    HttpReply answer(const HttpRequest& request, const RequestTarget& target);
    HttpReply cancel(const RequestId& id);
    HttpReply exportKv(const json& body) const;
    HttpReply importKv(const json& body);
    HttpReply control(const HttpRequest& request, const json& body);
    HttpReply faults(const json& body);
    HttpReply loadReport() const;
    HttpReply cacheEvents(const RequestTarget& target) const;
    HttpReply controlState() const;
    HttpReply statistics() const;
    HttpHeaders responseHeaders(const RequestId& id, const HttpRequest& request) const;
    void tick();
    void deliver(const TokensGenerated& tokens);
    void deliver(const SequenceFinished& finished);
    static void deliver(const EngineCrashed& crashed) { crash(crashed.reason); }

    EventLoop& loop;
    EngineModel model;
    RandomSource random;
    std::map<SequenceId, Call> calls;
    SequenceId lastSequence = 0;
    std::string buffer;
    TickTimer timer;
    std::unique_ptr<HttpServer> server;
};

std::unique_ptr<EngineServer> EngineServer::listen(EventLoop& loop, const HttpServerSettings& address,
    const EngineSettings& engine, std::uint64_t seed, HttpError* error)
{
    auto impl = std::make_unique<Impl>(loop, engine, seed);
    Impl* state = impl.get();
    impl->server = HttpServer::listen(
        loop, address, [state](std::shared_ptr<ServerExchange> exchange) { state->handle(exchange); }, error);
    if (!impl->server)
        return nullptr;
    return std::unique_ptr<EngineServer>(new EngineServer(std::move(impl)));
}

EngineServer::EngineServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

EngineServer::~EngineServer() = default;

std::uint16_t EngineServer::port() const { return this->impl->server->port(); }

ServingHooks EngineServer::hooks()
{
    HttpServer* server = this->impl->server.get();
    return { [server] { server->stopAccepting(); }, [server] { return server->openExchanges(); } };
}

void EngineServer::Impl::handle(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    const RequestTarget target = parseTarget(request.path);
    if (request.method == "POST" && target.path.starts_with("/v1/")) {
        this->chat(exchange);
        return;
    }
    HttpReply reply = this->answer(request, target);
    exchange->reply(std::move(reply));
    this->timer.armAt(this->model.nextTick());
}

HttpReply EngineServer::Impl::answer(const HttpRequest& request, const RequestTarget& target)
{
    if (request.method == "DELETE") {
        const auto id = target.after("/v1/requests/");
        return id ? this->cancel(RequestId(*id)) : errorReply(404, "not_found", "no such resource");
    }
    if (request.method == "GET") {
        if (target.path == "/load")
            return this->loadReport();
        if (target.path == "/cache-events")
            return this->cacheEvents(target);
        if (target.path == "/orders")
            return this->controlState();
        if (target.path == "/stats")
            return this->statistics();
        return errorReply(404, "not_found", "no such resource");
    }
    const auto body = parseObject(request.body);
    if (request.method != "POST" || !body)
        return errorReply(400, "bad_request", "expected POST with a JSON object");
    if (target.path == "/kv/export")
        return this->exportKv(*body);
    if (target.path == "/kv/import")
        return this->importKv(*body);
    if (target.path == "/orders")
        return this->control(request, *body);
    if (target.path == "/faults")
        return this->faults(*body);
    return errorReply(404, "not_found", "no such resource");
}

HttpHeaders EngineServer::Impl::responseHeaders(const RequestId& id, const HttpRequest& request) const
{
    const EngineLoad load = this->model.load();
    return { { "x-request-id", id.value() }, { "x-attempt", request.headers.find("x-attempt").value_or("0") },
        { "x-load-queued", std::to_string(load.queued) }, { "x-load-running", std::to_string(load.running) },
        { "x-version", this->model.control().version().value() } };
}

void EngineServer::Impl::chat(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    const auto givenId = request.headers.find("x-request-id");
    const RequestId id(givenId ? *givenId : this->random.hex(16));
    std::string problem;
    const auto chatRequest = parseChatRequest(request.body, &problem);
    if (!chatRequest) {
        exchange->reply(errorReply(400, "bad_request", problem, id));
        return;
    }

    const SequenceId sequence = ++this->lastSequence;
    const std::uint64_t resumeFrom = headerNumber(request, "x-resume-from", 0);
    const auto attempt = static_cast<std::uint32_t>(headerNumber(request, "x-attempt", 0));
    const auto priority = static_cast<std::uint32_t>(headerNumber(request, "x-priority", 0));
    EngineRequest engineRequest { id, attempt, request.path, chatRequest->model, chatRequest->prompt,
        chatRequest->maxTokens, priority, resumeFrom };
    Call call { exchange, id, chatRequest->model, this->model.keyOf(engineRequest) };
    call.usage.promptTokens = promptTokens(chatRequest->prompt);
    const auto refusal = this->model.onRequest(sequence, std::move(engineRequest), this->loop.now());
    HttpHeaders headers = this->responseHeaders(id, request);
    if (refusal) {
        HttpReply reply = refusalReply(*refusal, id);
        for (const HttpHeader& header : headers.all())
            reply.headers.add(header.name, header.value);
        if (guaranteesNotRun(*refusal))
            reply.headers.add("x-not-run", "true");
        exchange->reply(std::move(reply));
        return;
    }

    exchange->onClosed([this, sequence] {
        this->calls.erase(sequence);
        this->model.onCancel(sequence, this->loop.now());
        this->timer.armAt(this->model.nextTick());
    });
    if (chatRequest->stream) {
        call.stream.emplace(id, chatRequest->model);
        headers.add("content-type", "text/event-stream");
        headers.add("cache-control", "no-cache");
        exchange->startStream(200, std::move(headers));
    }
    this->calls.emplace(sequence, std::move(call));
    this->timer.armAt(this->model.nextTick());
}

HttpReply EngineServer::Impl::cancel(const RequestId& id)
{
    const std::vector<SequenceId> sequences = this->model.sequencesOf(id);
    for (const SequenceId sequence : sequences) {
        this->model.onCancel(sequence, this->loop.now());
        const auto node = this->calls.extract(sequence);
        if (!node.empty())
            node.mapped().exchange->abort();
    }
    if (sequences.empty())
        return errorReply(404, "not_found", "no such request is queued or running", id);
    return jsonReply(200, { { "cancelled", sequences.size() } });
}

HttpReply EngineServer::Impl::exportKv(const json& body) const
{
    const RequestId id(textMember(body, "requestId"));
    const auto state = this->model.exportKv(id);
    if (!state)
        return errorReply(404, "not_found", "no such request is running", id);
    return jsonReply(200, { { "requestId", id.value() }, { "key", hex(state->key) }, { "tokens", state->tokens } });
}

HttpReply EngineServer::Impl::importKv(const json& body)
{
    const RequestId id(textMember(body, "requestId"));
    const auto key = parseHex(textMember(body, "key"));
    const json tokens = body.value("tokens", json());
    if (id.empty() || !key || !tokens.is_number_unsigned())
        return errorReply(400, "bad_request", "expected requestId, key and tokens as exported", id);
    this->model.importKv({ id, *key, tokens.get<std::uint64_t>() });
    return jsonReply(200, { { "imported", true } });
}

HttpReply EngineServer::Impl::control(const HttpRequest& request, const json& body)
{
    const auto action = parseAction(textMember(body, "action"));
    if (!action)
        return errorReply(400, "bad_request", "action must be load-model, load-adapter, load-version or set-role");
    const ControlCommand command { headerNumber(request, "x-fencing-token", 0), *action, textMember(body, "value") };
    switch (this->model.onControl(command, this->loop.now())) {
    case ControlResult::OldToken:
        return errorReply(409, "old_fencing_token",
            fmt::format("a command with fencing token {} came before", this->model.control().highestToken()));
    case ControlResult::InvalidValue:
        return errorReply(400, "bad_request", "value is empty or no role");
    case ControlResult::Accepted:
        break;
    }
    return this->controlState();
}

HttpReply EngineServer::Impl::faults(const json& body)
{
    for (const auto& [name, value] : body.items()) {
        if (name == "behaviour" && value.is_string()) {
            auto behaviour = parseVersionBehaviour(value.get<std::string>());
            if (!behaviour)
                return errorReply(400, "bad_request", "unknown behaviour");
            this->model.setBehaviour(std::move(*behaviour), this->loop.now());
        } else if (name == "exit" && value.is_boolean()) {
            if (value.get<bool>())
                crash("exit requested");
        } else if (name == "exitAfterTokens" && value.is_number_unsigned()) {
            this->model.crashAfterTokens(value.get<std::uint64_t>());
        } else {
            return errorReply(400, "bad_request", "unknown fault or wrong type: " + name);
        }
    }
    return jsonReply(200, json::object());
}

HttpReply EngineServer::Impl::loadReport() const
{
    const EngineLoadReport report = this->model.loadReport(this->loop.now());
    const EngineControl& control = this->model.control();
    return jsonReply(200,
        { { "queued", report.load.queued }, { "running", report.load.running },
            { "capacity", this->model.engineSettings().maxRunning }, { "cachedBlocks", report.load.cachedBlocks },
            { "generatedTokens", report.load.generatedTokens }, { "ageMs", toMilliseconds(report.age) },
            { "model", control.model() }, { "version", control.version().value() },
            { "role", roleName(control.role()) } });
}

HttpReply EngineServer::Impl::cacheEvents(const RequestTarget& target) const
{
    const std::uint64_t after = target.number("after").value_or(0);
    json list = json::array();
    std::uint64_t last = after;
    for (const CacheEvent& event : this->model.cacheEventsAfter(after, maxCacheEvents, this->loop.now())) {
        json blocks = json::array();
        for (const Fingerprint block : event.blocks)
            blocks.push_back(hex(block));
        const bool isStored = event.kind == CacheEvent::Kind::Stored;
        list.push_back(
            { { "number", event.number }, { "kind", isStored ? "stored" : "evicted" }, { "blocks", blocks } });
        last = event.number;
    }
    return jsonReply(200, { { "events", list }, { "last", last } });
}

HttpReply EngineServer::Impl::controlState() const
{
    const EngineControl& control = this->model.control();
    json applied = json::array();
    for (const AppliedCommand& entry : control.applied()) {
        applied.push_back(
            { { "fencingToken", entry.command.fencingToken }, { "action", actionName(entry.command.action) },
                { "value", entry.command.value }, { "wasOld", entry.wasOld } });
    }
    return jsonReply(200,
        { { "model", control.model() }, { "version", control.version().value() }, { "adapters", control.adapters() },
            { "role", roleName(control.role()) }, { "loading", control.loading() },
            { "fencingToken", control.highestToken() }, { "applied", applied } });
}

HttpReply EngineServer::Impl::statistics() const
{
    const EngineStatistics& counters = this->model.statistics();
    return jsonReply(200,
        { { "requests", counters.requests }, { "refused", counters.refused },
            { "versionFaults", counters.versionFaults }, { "finished", counters.finished },
            { "cancelled", counters.cancelled }, { "preempted", counters.preempted }, { "resumed", counters.resumed },
            { "kvImported", counters.kvImported }, { "generatedTokens", counters.generatedTokens },
            { "promptTokens", counters.promptTokens }, { "cachedPromptTokens", counters.cachedPromptTokens },
            { "recomputedTokens", counters.recomputedTokens } });
}

void EngineServer::Impl::tick()
{
    for (const EngineEvent& event : this->model.onTick(this->loop.now()))
        std::visit([this](const auto& concrete) { this->deliver(concrete); }, event);
    this->timer.armAt(this->model.nextTick());
}

void EngineServer::Impl::deliver(const TokensGenerated& tokens)
{
    const auto found = this->calls.find(tokens.sequence);
    if (found == this->calls.end())
        return;
    Call& call = found->second;
    call.usage.completionTokens += tokens.count;
    if (!call.stream) {
        call.content += generatedText(call.key, tokens.first, tokens.count);
        return;
    }
    this->buffer.clear();
    for (std::uint64_t i = 0; i < tokens.count; ++i)
        call.stream->appendToken(this->buffer, call.key, tokens.first + i);
    call.exchange->write(this->buffer);
}

void EngineServer::Impl::deliver(const SequenceFinished& finished)
{
    const auto node = this->calls.extract(finished.sequence);
    if (node.empty())
        return;
    Call& call = node.mapped();
    call.usage.cachedTokens = finished.cachedTokens;
    if (call.stream) {
        this->buffer.clear();
        call.stream->appendEnd(this->buffer, call.usage);
        call.exchange->write(this->buffer);
        call.exchange->finish();
        return;
    }
    HttpHeaders headers = this->responseHeaders(call.id, call.exchange->request());
    headers.add("content-type", "application/json");
    call.exchange->reply({ 200, std::move(headers), completionBody(call.id, call.model, call.content, call.usage) });
}

} // namespace teaselshore
