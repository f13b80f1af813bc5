#include "node_state.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/configuration/parse.hpp"

namespace teaselshore {

namespace {

    /// Longest wait of an isolated retry for members that cannot be reached. Longer than most cuts between nodes; a
    /// member that died for good must not keep a request from its answer.
    constexpr Duration unreachableMemberWait = std::chrono::seconds(10);

    std::string_view outcomeName(AttemptOutcome outcome)
    {
        switch (outcome) {
        case AttemptOutcome::Completed:
            return "completed";
        case AttemptOutcome::Failed:
            return "failed";
        case AttemptOutcome::Refused:
            return "refused";
        case AttemptOutcome::TimedOut:
            return "timed out";
        case AttemptOutcome::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

} // namespace

NodeState::NodeState(NodeSettings nodeSettings)
    : settings(std::move(nodeSettings))
    , random(settings.seed)
    , router(settings.router)
    , admission(settings.admission)
    , suspects(settings.crashSuspects)
    , membership(settings.self, settings.membership, RandomSource(settings.seed + 1))
    , distributor(
          settings.self, settings.distributor, [this](std::string_view text) { return this->checkConfiguration(text); },
          RandomSource(settings.seed + 2))
    , poller(settings.loadPeriod, settings.loadQueriesPerTick)
{
}

std::optional<std::string> NodeState::checkConfiguration(std::string_view text)
{
    std::vector<ConfigurationProblem> problems;
    auto parsed = parseConfiguration(text, problems);
    if (!parsed)
        return problems.empty() ? "the text is not valid" : describe(problems.front());
    this->checkedText = fingerprint({ text });
    this->checkedConfiguration = std::make_shared<const Configuration>(std::move(*parsed));
    return std::nullopt;
}

std::shared_ptr<const Configuration> NodeState::takeConfiguration(const std::string& text)
{
    if (this->checkedConfiguration && this->checkedText == fingerprint({ text }))
        return std::exchange(this->checkedConfiguration, nullptr);
    std::vector<ConfigurationProblem> problems;
    auto parsed = parseConfiguration(text, problems);
    TEASELSHORE_ASSERT(parsed.has_value(), "the distributor adopted a configuration that is not valid");
    return std::make_shared<const Configuration>(std::move(*parsed));
}

TraceContext NodeState::childOf(const std::optional<TraceContext>& parent)
{
    return parent ? teaselshore::childOf(*parent, this->random) : newTrace(this->random);
}

void NodeState::broadcast(const RequestMessage& message)
{
    for (const Member& member : this->membership.liveMembers()) {
        if (member.id == this->settings.self.id)
            continue;
        this->commands.emplace_back(SendToPeer { member.address, message });
    }
}

void NodeState::broadcastSuspects(std::vector<SuspectReport> reports)
{
    if (!reports.empty())
        this->broadcast(SuspectReports { std::move(reports) });
}

void NodeState::onSuspectReports(const NodeId& sender, const std::vector<SuspectReport>& reports, Instant now)
{
    for (const SuspectReport& report : reports) {
        if (report.kind == SuspectReportKind::RetryStarted)
            this->retryNodes.try_emplace(report.request, sender);
        else if (report.kind != SuspectReportKind::Excused)
            this->retryNodes.erase(report.request);
    }
    this->suspects.onPeerReports(reports, now);
}

SuspectVerdict NodeState::suspectVerdict(Fingerprint request, Instant now) const
{
    const SuspectVerdict verdict = this->suspects.verdict(request, now);
    if (verdict != SuspectVerdict::RetryIsolated)
        return verdict;
    const std::optional<Instant> crashedAt = this->suspects.lastCrash(request);
    if (!crashedAt || now - *crashedAt > unreachableMemberWait)
        return verdict;
    const std::vector<Member> members = this->membership.members();
    const bool allReachable = std::all_of(members.begin(), members.end(),
        [](const Member& member) { return member.state == MemberState::Alive || member.state == MemberState::Left; });
    return allReachable ? verdict : SuspectVerdict::RetryRunning;
}

void NodeState::onMemberDead(const NodeId& member, Instant now)
{
    std::erase_if(this->retryNodes, [&](const auto& entry) {
        if (entry.second != member)
            return false;
        this->suspects.onRetryReturned(entry.first, now);
        return true;
    });
}

AttemptId NodeState::startAttempt(
    const RoutingRequest& routing, const RoutingDecision& decision, Outgoing outgoing, Instant now)
{
    RunningAttempt& attempt = outgoing.attempt;
    attempt.dispatch = this->router.onDispatched(routing, decision, now);
    attempt.service = routing.service;
    attempt.latencyClass = routing.latencyClass;
    attempt.alone = routing.alone;
    attempt.upstream = decision.chosen.upstream;
    attempt.version = decision.version;
    attempt.zone = decision.zone;
    attempt.startedAt = now;

    StartAttempt& start = outgoing.start;
    start.request = attempt.request;
    start.upstream = decision.chosen.upstream;
    start.authority = decision.address;
    start.connectTimeout = this->settings.connectTimeout;
    start.idleTimeout = this->settings.idleTimeout;
    start.headers.emplace_back("x-request-id", attempt.request.value());
    start.headers.emplace_back("traceparent", formatTraceparent(attempt.trace));
    const AttemptId id = this->attempts.add(std::move(attempt));
    start.attempt = id;
    start.headers.emplace_back("x-attempt", std::to_string(id));
    ++this->statistics.attempts;
    this->decisions.add(start.request, decision);
    this->poller.onUsed(start.upstream, start.authority, now);
    this->commands.emplace_back(std::move(start));
    return id;
}

void NodeState::endAttempt(
    const RunningAttempt& attempt, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now, int status)
{
    this->endedAttempts.push_back({ attempt, outcome, status, this->router.status(attempt.upstream, now) });
    this->router.onFinished(attempt.dispatch, outcome, outputTokens, now);
    if (attempt.alone && outcome == AttemptOutcome::Completed)
        this->broadcastSuspects(this->suspects.clear(attempt.suspect, now));
    else if (attempt.alone && outcome != AttemptOutcome::Failed)
        this->broadcastSuspects(this->suspects.onRetryReturned(attempt.suspect, now));
    this->recordSpan(attempt.trace, attempt.parentSpan, "attempt", attempt.startedAt, now,
        { { "upstream", attempt.upstream.value() }, { "version", attempt.version.value() },
            { "zone", attempt.zone.value() }, { "outcome", std::string(outcomeName(outcome)) },
            { "request", attempt.request.value() } });
}

void NodeState::recordSpan(const TraceContext& trace, const SpanId& parent, std::string name, Instant start,
    Instant now, std::vector<SpanAttribute> attributes)
{
    this->commands.emplace_back(Span { trace.traceId, trace.spanId, parent, std::move(name), this->settings.self.id,
        start, now - start, std::move(attributes) });
}

void NodeState::release(const RequestId& request, Instant now)
{
    this->admissionChanges.push_back(this->admission.onReleased(request, now));
}

void NodeState::refreshCapacity(Instant now)
{
    if (!this->configuration)
        return;
    for (const ServiceConfiguration& service : this->configuration->services) {
        const std::uint32_t capacity = this->router.capacity(service.name);
        this->admissionChanges.push_back(this->admission.onCapacity(service.name, capacity, now));
    }
}

const UpstreamConfiguration* NodeState::findUpstream(const UpstreamId& id) const
{
    if (!this->configuration)
        return nullptr;
    for (const ServiceConfiguration& service : this->configuration->services) {
        for (const UpstreamConfiguration& upstream : service.upstreams) {
            if (upstream.id == id)
                return &upstream;
        }
    }
    return nullptr;
}

RetryBudget& NodeState::retryBudget(const ServiceName& service)
{
    return this->retryBudgets.try_emplace(service, this->settings.retryBudget).first->second;
}

void NodeState::log(LogLevel level, std::string message, std::vector<std::pair<std::string, std::string>> fields)
{
    this->commands.emplace_back(LogEvent { level, std::move(message), std::move(fields) });
}

} // namespace teaselshore
