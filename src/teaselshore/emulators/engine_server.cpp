#include "teaselshore/emulators/engine_server.hpp"

#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "engine_json.hpp"
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
        loop, address, [state](const std::shared_ptr<ServerExchange>& exchange) { state->handle(exchange); }, error);
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
            return jsonReply(200, loadJson(this->model.loadReport(this->loop.now()), this->model));
        if (target.path == "/cache-events") {
            const std::uint64_t after = target.number("after").value_or(0);
            return jsonReply(
                200, cacheEventsJson(this->model.cacheEventsAfter(after, maxCacheEvents, this->loop.now()), after));
        }
        if (target.path == "/orders")
            return jsonReply(200, controlJson(this->model.control()));
        if (target.path == "/stats")
            return jsonReply(200, engineStatisticsJson(this->model.statistics()));
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
    const RequestId id(memberText(body, "requestId"));
    const auto state = this->model.exportKv(id);
    if (!state)
        return errorReply(404, "not_found", "no such request is running", id);
    return jsonReply(200, kvStateJson(*state));
}

HttpReply EngineServer::Impl::importKv(const json& body)
{
    const auto state = parseKvState(body);
    if (!state)
        return errorReply(400, "bad_request", "expected requestId, key and tokens as exported");
    this->model.importKv(*state);
    return jsonReply(200, { { "imported", true } });
}

HttpReply EngineServer::Impl::control(const HttpRequest& request, const json& body)
{
    const auto action = parseAction(memberText(body, "action"));
    if (!action)
        return errorReply(400, "bad_request", "action must be load-model, load-adapter, load-version or set-role");
    const ControlCommand command { headerNumber(request, "x-fencing-token", 0), *action, memberText(body, "value") };
    switch (this->model.onControl(command, this->loop.now())) {
    case ControlResult::OldToken:
        return errorReply(409, "old_fencing_token",
            fmt::format("a command with fencing token {} came before", this->model.control().highestToken()));
    case ControlResult::InvalidValue:
        return errorReply(400, "bad_request", "value is empty or no role");
    case ControlResult::Accepted:
        break;
    }
    return jsonReply(200, controlJson(this->model.control()));
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
