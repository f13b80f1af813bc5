#include "teaselshore/emulators/load_runner.hpp"

#include <map>
#include <unordered_map>
#include <utility>

#include "teaselshore/base/log.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/tick_timer.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {

namespace {

    /// Lets runs end whose answers were lost, before their counts are read.
    constexpr Duration settleTime = std::chrono::milliseconds(500);
    constexpr int auditAttempts = 5;
    constexpr std::uint64_t maxLoggedProblems = 20;

} // namespace

struct LoadRunner::Impl {
    using FlowId = std::uint64_t;

    Impl(EventLoop& loop, LoadRunSettings runSettings, std::function<void()> whenDone)
        : loop(loop)
        , settings(std::move(runSettings))
        , whenDone(std::move(whenDone))
        , client(HttpClient::create(loop))
        , planner(this->settings.load, this->settings.seed)
        , timer(loop, [this] { this->dispatch(); })
    {
    }

    void dispatch();
    void launch(PlannedRequest&& planned);
    void planDuplicate(const PlannedRequest& order);
    void take(FlowId id, const FlowStep& step);
    void send(FlowId id, const FlowSend& step);
    void finish(FlowId id, const CheckedAnswer& answer);
    void checkDone();
    void startAudit();
    void askService(std::size_t service, int attempt);
    void onCounts(const std::string& body);
    void endAudit();
    void logKeys(std::string_view message, const std::vector<IdempotencyKey>& keys) const;

    EventLoop& loop;
    LoadRunSettings settings;
    std::function<void()> whenDone;
    std::unique_ptr<HttpClient> client;
    LoadPlanner planner;
    std::optional<PlannedRequest> upcoming;
    Instant begin {};
    TickTimer timer;
    std::unordered_map<FlowId, CallerFlow> flows;
    FlowId lastFlow = 0;
    std::size_t pendingDuplicates = 0;
    bool auditStarted = false;
    std::size_t servicesToAsk = 0;
    bool serviceFailed = false;
    ExecutionCounts counts;
    ExecutionAudit audit;
    LoadReport report;
    std::uint64_t problems = 0;
};

LoadRunner::LoadRunner(EventLoop& loop, LoadRunSettings settings, std::function<void()> whenDone)
    : impl(std::make_unique<Impl>(loop, std::move(settings), std::move(whenDone)))
{
}

LoadRunner::~LoadRunner() = default;

void LoadRunner::start()
{
    this->impl->begin = this->impl->loop.now();
    this->impl->upcoming = this->impl->planner.next();
    this->impl->dispatch();
}

void LoadRunner::stopSending()
{
    this->impl->upcoming.reset();
    this->impl->timer.armAt(std::nullopt);
    this->impl->checkDone();
}

void LoadRunner::abandonOpen()
{
    // A new client drops all calls, so that no callback refers to an ended request.
    this->impl->client = HttpClient::create(this->impl->loop);
    while (!this->impl->flows.empty())
        this->impl->finish(this->impl->flows.begin()->first, { CallerOutcome::Lost, "stopped before the answer" });
}

const LoadReport& LoadRunner::report() const { return this->impl->report; }

void LoadRunner::Impl::dispatch()
{
    while (this->upcoming) {
        const Instant due = this->begin + this->upcoming->at;
        const Instant now = this->loop.now();
        if (due > now) {
            this->timer.armAt(due);
            return;
        }
        this->report.onSendLag(now - due);
        PlannedRequest planned = std::move(*this->upcoming);
        this->upcoming = this->planner.next();
        if (planned.duplicate)
            this->planDuplicate(planned);
        this->launch(std::move(planned));
    }
    this->checkDone();
}

void LoadRunner::Impl::planDuplicate(const PlannedRequest& order)
{
    ++this->pendingDuplicates;
    this->loop.runAfter(order.duplicate->delay, [this, copy = duplicateOf(order)] {
        --this->pendingDuplicates;
        this->launch(PlannedRequest(copy));
        this->checkDone();
    });
}

void LoadRunner::Impl::launch(PlannedRequest&& planned)
{
    if (this->flows.size() >= this->settings.maxOpen) {
        this->report.onSkipped(planned.kind);
        return;
    }
    this->report.onSent(planned.kind);
    const FlowId id = ++this->lastFlow;
    const auto [position, added]
        = this->flows.try_emplace(id, std::move(planned), this->settings.flow, this->loop.now());
    this->send(id, position->second.first());
}

void LoadRunner::Impl::take(FlowId id, const FlowStep& step)
{
    if (const auto* done = std::get_if<FlowDone>(&step)) {
        this->finish(id, done->answer);
        return;
    }
    const auto& next = std::get<FlowSend>(step);
    this->loop.runAfter(next.delay, [this, id, next] { this->send(id, next); });
}

void LoadRunner::Impl::send(FlowId id, const FlowSend& step)
{
    if (!this->flows.contains(id))
        return;
    HttpCall call;
    call.authority = this->settings.entries.at(step.entry);
    call.request = step.request;
    call.idleTimeout = this->settings.idleTimeout;
    HttpCallHandlers handlers;
    handlers.onHead = [this, id](int status, const HttpHeaders& headers) {
        this->flows.at(id).onHead(status, headers, this->loop.now());
    };
    handlers.onData = [this, id](std::string_view bytes) { this->flows.at(id).onData(bytes, this->loop.now()); };
    handlers.onEnd = [this, id] { this->take(id, this->flows.at(id).onEnd(this->loop.now())); };
    handlers.onError
        = [this, id](const HttpError& error) { this->take(id, this->flows.at(id).onError(error, this->loop.now())); };
    this->client->start(std::move(call), std::move(handlers));
}

void LoadRunner::Impl::finish(FlowId id, const CheckedAnswer& answer)
{
    const CallerFlow& flow = this->flows.at(id);
    const PlannedRequest& request = flow.request();
    this->report.onFinished(flow, answer.outcome, this->loop.now());
    if (request.kind == RequestKind::Order || request.kind == RequestKind::Duplicate)
        this->audit.onFinished(request.key, answer.outcome, flow.mayHaveRunUnseen());
    if (!answer.detail.empty() && ++this->problems <= maxLoggedProblems) {
        logLine(LogLevel::Warning, "answer did not pass the check",
            { { "class", kindName(request.kind) }, { "number", request.number },
                { "outcome", outcomeName(answer.outcome) }, { "detail", answer.detail } });
    }
    this->flows.erase(id);
    this->checkDone();
}

void LoadRunner::Impl::checkDone()
{
    if (this->upcoming || !this->flows.empty() || this->pendingDuplicates > 0 || this->auditStarted)
        return;
    this->auditStarted = true;
    if (this->settings.services.empty())
        this->whenDone();
    else
        this->loop.runAfter(settleTime, [this] { this->startAudit(); });
}

void LoadRunner::Impl::startAudit()
{
    this->servicesToAsk = this->settings.services.size();
    for (std::size_t i = 0; i < this->settings.services.size(); ++i)
        this->askService(i, 1);
}

void LoadRunner::Impl::askService(std::size_t service, int attempt)
{
    HttpCall call;
    call.authority = this->settings.services.at(service);
    call.request = { "GET", "/executions", {}, "" };
    const auto body = std::make_shared<std::string>();
    HttpCallHandlers handlers;
    handlers.onData = [body](std::string_view bytes) { *body += bytes; };
    handlers.onEnd = [this, body] { this->onCounts(*body); };
    handlers.onError = [this, service, attempt](const HttpError& error) {
        if (attempt < auditAttempts) {
            this->loop.runAfter(settleTime, [this, service, attempt] { this->askService(service, attempt + 1); });
            return;
        }
        logLine(LogLevel::Error, "service does not answer the audit",
            { { "service", this->settings.services.at(service) }, { "reason", error.detail } });
        this->serviceFailed = true;
        this->endAudit();
    };
    this->client->start(std::move(call), std::move(handlers));
}

void LoadRunner::Impl::onCounts(const std::string& body)
{
    const auto document = parseObject(body);
    const nlohmann::json executions = document ? document->value("executions", nlohmann::json()) : nlohmann::json();
    if (!executions.is_object())
        this->serviceFailed = true;
    else {
        for (const auto& [key, count] : executions.items())
            this->counts[key] += count.is_number_unsigned() ? count.get<std::uint64_t>() : 0;
    }
    this->endAudit();
}

void LoadRunner::Impl::endAudit()
{
    if (--this->servicesToAsk > 0)
        return;
    if (this->serviceFailed) {
        this->report.setAuditFailed();
    } else {
        AuditResult result = this->audit.check(this->counts);
        this->logKeys("key ran more than once", result.doubled);
        this->logKeys("key was answered but did not run", result.lost);
        this->logKeys("key was answered not_run but ran", result.ranDespiteNotRun);
        this->report.setAudit(std::move(result));
    }
    this->whenDone();
}

void LoadRunner::Impl::logKeys(std::string_view message, const std::vector<IdempotencyKey>& keys) const
{
    std::uint64_t logged = 0;
    for (const IdempotencyKey& key : keys) {
        if (++logged > maxLoggedProblems)
            return;
        logLine(LogLevel::Error, message, { { "key", key } });
    }
}

} // namespace teaselshore
