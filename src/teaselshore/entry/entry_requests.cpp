#include "entry_requests.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/node/error_response.hpp"

namespace teaselshore {

namespace {

    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    constexpr int notFound = 404;
    constexpr int unauthorized = 401;
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    constexpr int firstServerError = 500;
    constexpr int statusOk = 200;
    constexpr int firstRedirect = 300;

    /// Timeout for connecting to an upstream; about 20 times the delay between zones.
    constexpr Duration connectTimeout = std::chrono::milliseconds(250);
    /// Maximum number of times one request is sent, including attempts that were refused.
    constexpr std::uint32_t maxSends = 4;
    /// A request may wait for a free upstream for its latency target divided by this. A caller that is refused within
    /// this time can still get a response in time elsewhere.
    constexpr int maxWaitDivisor = 8;
    /// Time after a response for which an upstream that refused a request since probably has a slot free now and then.
    constexpr Duration acceptanceTime = std::chrono::milliseconds(500);
    /// Time between two attempts to dispatch waiting requests while no upstream reports a change.
    constexpr Duration waitingPollPeriod = std::chrono::milliseconds(15);
    /// Minimum time before the deadline for which another attempt is worthwhile.
    constexpr Duration minTimeForRetry = std::chrono::milliseconds(50);
    /// Multiple of the mean time at an upstream that must be left before the end of the process for a request to start
    /// whose route has had no response yet.
    constexpr int stopTimeFactor = 2;
    /// Another node can take the request at once.
    constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(50);
    constexpr Duration notReadyRetryAfter = std::chrono::milliseconds(500);
    /// Maximum time that the first requests after a process start wait for the configuration and the upstreams. Reading
    /// them takes several paginated calls to the platform of up to 10 ms each.
    constexpr Duration startupWait = std::chrono::milliseconds(200);
    /// Bounds of the retry-after time of refused callers. It is randomized so that they do not all retry at once.
    constexpr Duration minRetryAfter = std::chrono::milliseconds(300);
    constexpr Duration maxRetryAfter = std::chrono::milliseconds(900);
    /// Time after the first event of a stream after which its upstream would have crashed under the request.
    constexpr Duration survivalTime = std::chrono::milliseconds(500);
    constexpr std::uint32_t lowestPriority = 9;
    /// Length from which the log names no further upstreams that were passed over.
    constexpr std::size_t maxPassedOverLength = 200;
    constexpr Duration noTimeout = Duration::max();
    /// Upstreams to which no connection could be established, after which a peer gets the request.
    constexpr std::uint32_t failedConnectionsBeforeRelay = 2;
    /// Time after which a failed attempt is evidence about its version though no other upstream was reached since.
    constexpr Duration evidenceHoldTime = std::chrono::seconds(2);
    constexpr const char* noLinks = "this node has no links to upstreams";
    constexpr const char* shortageReason = "the service is short of capacity and other requests go first";

    /// Returns whether callers conclude from the status that their request has not run.
    bool promisesNotRun(int status)
    {
        return status == requestTimeout || status == misdirected || status == tooManyRequests
            || status == serviceUnavailable;
    }

    std::string formatSeconds(Duration duration) { return fmt::format("{:.2f}", toSeconds(duration)); }

} // namespace

EntryRequests::EntryRequests(EntryState& state, EntryRollouts& rollouts, CrashDetector& crashes,
    RefusalExchange& refusals, LimitExchange& limits, BrittleExchange& brittle, const EvacuationExchange& evacuations,
    ColdExchange& cold)
    : state(state)
    , rollouts(rollouts)
    , crashes(crashes)
    , refusals(refusals)
    , limits(limits)
    , brittle(brittle)
    , evacuations(evacuations)
    , cold(cold)
    , overload(fingerprint(state.settings.id.value()))
{
}

std::uint32_t EntryRequests::earlierRuns(const Request& request) { return request.handed ? request.handed->runs : 0; }

EntryRequests::Request* EntryRequests::find(const RequestId& id)
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

void EntryRequests::onArrived(CallerRequestArrived arrived, Instant now)
{
    ++this->state.statistics.requests;
    Request& request = this->requests[arrived.id];
    request.id = arrived.id;
    request.caller = std::move(arrived.request);
    request.arrivedAt = now;
    request.handed = arrived.handed;
    if (request.handed) {
        request.isCounted = request.handed->isCounted;
        ++this->state.statistics.requestsOfPeers;
    }
    if (this->hasEnded) {
        // Its bytes were read while the last answers left.
        this->refuse(
            request, RequestOutcome::NoCapacity, serviceUnavailable, "this node has stopped", stoppingRetryAfter, now);
        return;
    }
    if (this->isReady()) {
        this->begin(request, now);
        return;
    }
    // After a start, callers reconnect all at once and the node is usually ready within milliseconds.
    if (!this->earlyDeadline)
        this->earlyDeadline = now + startupWait;
    if (now < *this->earlyDeadline)
        this->earlyRequests.push_back(request.id);
    else
        this->refuseNotReady(request, now);
}

bool EntryRequests::isReady() const
{
    return this->state.table && this->state.directory.hasSynced() && this->evacuations.isComplete();
}

void EntryRequests::refuseNotReady(Request& request, Instant now)
{
    this->refuse(request, RequestOutcome::NotReady, serviceUnavailable, "this node has no configuration yet",
        notReadyRetryAfter, now);
}

void EntryRequests::beginEarlyRequests(Instant now)
{
    const bool ready = this->isReady();
    if (!ready && (!this->earlyDeadline || now < *this->earlyDeadline))
        return;
    for (const RequestId& id : std::exchange(this->earlyRequests, {})) {
        Request* request = this->find(id);
        if (!request)
            continue;
        if (ready)
            this->begin(*request, now);
        else
            this->refuseNotReady(*request, now);
    }
}

void EntryRequests::begin(Request& request, Instant now)
{
    request.table = this->state.table;
    if (request.handed && request.handed->configuration > request.table->configuration().version) {
        this->refuse(request, RequestOutcome::NotReady, serviceUnavailable,
            "this node has an older configuration than the one that handed the request on", notReadyRetryAfter, now);
        return;
    }
    request.route = request.table->match(request.caller.host, request.caller.path);
    if (!request.route) {
        this->refuse(request, RequestOutcome::UnknownRoute, notFound, "no route matches this host and path", {}, now);
        return;
    }
    if (this->authorise(request)) {
        this->refuse(request, RequestOutcome::UnknownKey, unauthorized, "the key is missing or unknown", {}, now);
        return;
    }
    // Checked before quota is borrowed, since a refused request needs none.
    if (this->refuseIfQuarantined(request, now))
        return;
    setDeadline(request);
    if (this->isTooLate(request, now)) {
        this->refuse(request, RequestOutcome::NoCapacity, serviceUnavailable, "this node is about to stop",
            stoppingRetryAfter, now);
        return;
    }
    this->deadlines.emplace(request.deadline, request.id);
    // Before the quota, which the peer takes.
    if (this->needsPeers(now)) {
        // Retries at further peers are charged to it.
        request.service = this->selectService(*request.route);
        this->relayOrEnd(request, noLinks, now);
        return;
    }
    if (request.workspace) {
        if (const auto shortage = this->state.quotas.take(*request.workspace, request.quotaCost, now)) {
            this->borrowQuota(request, *shortage, now);
            return;
        }
        request.quotaTaken = true;
    }
    this->admit(request, now);
}

void EntryRequests::admit(Request& request, Instant now)
{
    request.service = this->selectService(*request.route);
    this->fillRouting(request);
    if (this->rejectForShortage(request, now))
        return;
    if (!std::exchange(request.isCounted, true))
        this->state.retryBudget(request.service).onRequest(now);
    this->dispatch(request, now);
}

std::optional<AdmissionOffer> EntryRequests::offerOf(const Request& request) const
{
    if (!this->state.settings.host.admission)
        return std::nullopt;
    // Plain services respond only once they have done the work, so that a response which is slow for another reason
    // than queueing would look like a shortage.
    const EntryService* service = request.table->configuration().findService(request.service);
    if (!service || !service->isEngine)
        return std::nullopt;
    // The parts before the last one are shared with other requests and usually cached.
    const std::uint32_t shared = request.caller.parts.empty()
        ? 0
        : request.routing.promptTokens - std::min(request.routing.promptTokens, request.caller.parts.back().tokens);
    return AdmissionOffer { request.id, request.service, request.route->name, request.workspace, request.priority,
        WorkSize { request.routing.promptTokens, shared, 0 }.prefillWork(), request.route->latencyTarget };
}

bool EntryRequests::rejectForShortage(Request& request, Instant now)
{
    const std::optional<AdmissionOffer> offer = this->offerOf(request);
    if (!offer) {
        ++this->admissionOf(request).admitted;
        return false;
    }
    // A request that may have run already, or that continues a stream, is not rejected.
    const bool isContinued = earlierRuns(request) > 0 || request.caller.lastEventId;
    if (isContinued)
        this->overload.watch(*offer, now);
    const bool isAdmitted = isContinued || this->overload.admits(*offer, now);
    this->logShortages();
    if (isAdmitted) {
        ++this->admissionOf(request).admitted;
        return false;
    }
    ++this->admissionOf(request).rejectedForShortage;
    this->state.demand.onRefused(request.service, request.routing.promptTokens);
    this->refuse(
        request, RequestOutcome::NoCapacity, serviceUnavailable, shortageReason, this->retryAfter(request, now), now);
    return true;
}

void EntryRequests::recordFirstEvent(Request& request, Instant now)
{
    this->overload.onFirstEvent(request.id, now);
    const bool isInTime = now - request.arrivedAt <= request.route->latencyTarget;
    ++(isInTime ? this->admissionOf(request).inTime : this->admissionOf(request).late);
}

void EntryRequests::logShortages()
{
    for (const ServiceShortage& change : this->overload.takeChanges()) {
        if (change.isShort)
            ++this->state.statistics.shortServices;
        else
            --this->state.statistics.shortServices;
        const std::string message = change.isShort ? "service is short of capacity; requests are rejected by priority"
            : change.isSuspended                   ? "service has late responses that rejections do not prevent; "
                                                     "requests are admitted"
                                                   : "service is no longer short of capacity";
        this->state.log(change.isShort ? LogLevel::Warning : LogLevel::Info, message,
            { { "service", change.service.value() }, { "missedShare", fmt::format("{:.2f}", change.missedShare) },
                { "worstRoute", change.worstRoute.value() }, { "offered", fmt::format("{:.0f}", change.offered) },
                { "served", fmt::format("{:.0f}", change.served) }, { "budget", fmt::format("{:.0f}", change.budget) },
                { "seconds", formatSeconds(change.since) } });
    }
}

void EntryRequests::borrowQuota(Request& request, const QuotaShortage& shortage, Instant now)
{
    const auto asked
        = this->state.borrower.requestLoan(request.id, *request.workspace, shortage.missing, shortage.capacity, now);
    if (asked.empty()) {
        this->refuseOverQuota(request, shortage, now);
        return;
    }
    for (const AddressedLoanRequest& loan : asked)
        this->state.commands.emplace_back(SendEntryMessage { loan.address, loan.request });
}

void EntryRequests::onQuotaLoan(const std::string& sender, const QuotaLoan& loan, Instant now)
{
    if (const auto ended = this->state.borrower.onAnswer(sender, loan, now))
        this->onLoanEnded(*ended, now);
    this->sendLoanMessages();
}

void EntryRequests::sendLoanMessages()
{
    for (AddressedLoanRequest& further : this->state.borrower.takeFollowUps())
        this->state.commands.emplace_back(SendEntryMessage { std::move(further.address), std::move(further.request) });
    for (AddressedReturn& returned : this->state.borrower.takeSurplus())
        this->state.commands.emplace_back(
            SendEntryMessage { std::move(returned.address), std::move(returned.quotaReturn) });
}

void EntryRequests::onLoanEnded(const EndedLoan& loan, Instant now)
{
    Request* request = this->find(loan.request);
    if (!request)
        return;
    const auto shortage = this->state.quotas.take(*request->workspace, request->quotaCost, now, loan.amount);
    if (!shortage) {
        request->quotaTaken = true;
        this->state.borrower.onSufficientLoan(*request->workspace);
        this->admit(*request, now);
        return;
    }
    this->state.borrower.onInsufficientLoan(*request->workspace, now);
    // Returned because the amount may suffice for another request of the workspace.
    for (const LoanContribution& contribution : loan.contributions)
        this->state.commands.emplace_back(
            SendEntryMessage { contribution.address, QuotaReturn { *request->workspace, contribution.amount } });
    this->refuseOverQuota(*request, *shortage, now);
}

void EntryRequests::refuseOverQuota(Request& request, const QuotaShortage& shortage, Instant now)
{
    // Peers lend quota, so any node can serve the retry once the quota of all nodes together has refilled enough.
    const Duration wait = this->state.borrower.hasPeers() ? shortage.quotaWait : shortage.shareWait;
    this->refuse(request, RequestOutcome::OverQuota, tooManyRequests, "the workspace is over its quota",
        std::max(wait, minRetryAfter), now);
}

std::optional<RequestOutcome> EntryRequests::authorise(Request& request)
{
    const EntryConfiguration& configuration = request.table->configuration();
    if (configuration.workspaces.empty())
        return std::nullopt;
    const EntryWorkspace* workspace
        = request.caller.key ? request.table->findWorkspaceByKey(*request.caller.key) : nullptr;
    if (!workspace && request.route->isPublic)
        return std::nullopt;
    if (!workspace)
        return RequestOutcome::UnknownKey;
    request.workspace = workspace->name;
    request.priority = workspace->priority.value_or(request.route->priority);
    if (workspace->quota) {
        std::optional<double> tokens;
        if (const auto& size = request.caller.size)
            tokens = static_cast<double>(size->promptTokens) + size->maxOutputTokens;
        request.quotaCost = QuotaLimiter::cost(*workspace->quota, tokens);
    }
    return std::nullopt;
}

ServiceName EntryRequests::selectService(const EntryRoute& route)
{
    double sum = 0;
    for (const WeightedService& target : route.targets)
        sum += target.weight;
    double drawn = this->state.random.uniform() * sum;
    for (const WeightedService& target : route.targets) {
        drawn -= target.weight;
        if (drawn < 0)
            return target.service;
    }
    return route.targets.back().service;
}

void EntryRequests::fillRouting(Request& request)
{
    if (!request.workspace)
        request.priority = request.route->priority;
    RoutingRequest& routing = request.routing;
    routing.service = request.service;
    routing.latencyClass = ClassName(request.route->name.value());
    routing.idempotent = request.route->retryable;
    if (const auto& size = request.caller.size) {
        routing.promptTokens = size->promptTokens;
        routing.expectedOutputTokens = size->maxOutputTokens;
    }
    routing.prefixBlocks = PromptBlocks(request.caller.parts, EntryState::tokensPerBlock);
}

void EntryRequests::dispatch(Request& request, Instant now)
{
    if (this->needsPeers(now)) {
        this->relayOrEnd(request, noLinks, now);
        return;
    }
    if (!this->trySend(request, now))
        this->enqueue(request, now);
}

const std::vector<Fingerprint>& EntryRequests::crashKeysOf(Request& request)
{
    if (request.crashKeys.empty())
        request.crashKeys = crashKeys(request.caller, request.workspace);
    return request.crashKeys;
}

void EntryRequests::clearKeysOfRunningStreams(Instant now)
{
    if (this->crashes.isEmpty())
        return;
    for (auto& [id, attempt] : this->attempts) {
        if (attempt.hasSurvived || !attempt.firstEventAfter
            || now - attempt.startedAt - *attempt.firstEventAfter < survivalTime)
            continue;
        attempt.hasSurvived = true;
        if (Request* request = this->find(attempt.request))
            this->crashes.onRunWithoutCrash(crashKeysOf(*request));
    }
}

bool EntryRequests::refuseIfQuarantined(Request& request, Instant now)
{
    if (this->crashes.isEmpty() || this->crashes.verdict(crashKeysOf(request)) != CrashVerdict::Rejected)
        return false;
    const std::string reason = "such requests crashed several upstreams";
    if (request.runs > 0 || request.streaming)
        this->endWithoutResponse(request, reason, now);
    else
        this->refuse(request, RequestOutcome::Quarantined, serviceUnavailable, reason,
            std::max(minRetryAfter, this->crashes.remainingRejection(crashKeysOf(request), now)), now);
    return true;
}

bool EntryRequests::trySend(Request& request, Instant now)
{
    if (this->refuseIfQuarantined(request, now))
        return true;
    const std::vector<UpstreamId> unavailable = this->unavailableUpstreams(request, now);
    std::optional<RoutingDecision> decision;
    if (unavailable.empty() && request.refusedBy.empty()) {
        decision = this->state.router.choose(request.routing, now);
    } else {
        RoutingRequest routing = request.routing;
        routing.excluded.insert(routing.excluded.end(), unavailable.begin(), unavailable.end());
        routing.avoidExcluded = this->state.limits.isAnyCold();
        const std::size_t excluded = routing.excluded.size();
        routing.excluded.insert(routing.excluded.end(), request.refusedBy.begin(), request.refusedBy.end());
        decision = this->state.router.choose(routing, now);
        if (!decision && !request.refusedBy.empty()) {
            routing.excluded.resize(excluded);
            for (const UpstreamId& upstream : request.refusedBy) {
                if (!this->hasAcceptedLately(upstream, now))
                    routing.excluded.push_back(upstream);
            }
            if (routing.excluded.size() < excluded + request.refusedBy.size())
                decision = this->state.router.choose(routing, now);
        }
    }
    if (!decision)
        return false;
    this->stopWaiting(request);
    const auto upstream = this->state.instances.find(decision->chosen.upstream);
    TEASELSHORE_ASSERT(upstream != this->state.instances.end(), "the router chose an upstream that is not registered");

    const AttemptId id = ++this->lastAttempt;
    Attempt attempt { request.id, decision->chosen.upstream, {}, request.service, request.route->name, now, {} };
    attempt.dispatch = this->state.router.onDispatched(request.routing, *decision, now);
    const std::uint32_t prompt = request.routing.promptTokens;
    this->state.demand.onSent(request.service, prompt - std::min(prompt, decision->chosen.cachedTokens));
    this->attempts.emplace(id, attempt);
    this->state.links.onAttemptStarted(id, attempt.upstream, now);
    request.attempt = id;
    ++request.sends;
    ++this->state.statistics.attempts;
    if (const auto wallClock = this->state.wallClockTime(now))
        this->state.limits.onSent(attempt.upstream, *wallClock);
    this->brittle.onSent(attempt.upstream, now);
    if (request.streaming)
        ++this->state.statistics.resumes;

    std::vector<std::pair<std::string, std::string>> fields { { "request", request.caller.attemptId },
        { "upstream", attempt.upstream.value() }, { "address", decision->address }, { "zone", decision->zone.value() },
        { "version", decision->version.value() }, { "route", request.route->name.value() },
        { "send", std::to_string(request.sends) },
        { "predictedMs", fmt::format("{:.0f}", toMilliseconds(decision->chosen.predictedFirstToken)) },
        { "cachedTokens", std::to_string(decision->chosen.cachedTokens) },
        { "promptTokens", std::to_string(request.routing.promptTokens) },
        { "msLeft", fmt::format("{:.0f}", toMilliseconds(request.deadline - now)) },
        { "configuration", std::to_string(request.table->configuration().version) } };
    if (!request.passedOver.empty())
        fields.emplace_back("passedOver", request.passedOver);
    this->state.log(LogLevel::Info, "request sent", std::move(fields));

    ForwardRequest forward;
    forward.attempt.attempt = id;
    forward.attempt.request = request.id;
    forward.attempt.upstream = attempt.upstream;
    forward.attempt.authority = decision->address;
    forward.attempt.method = request.caller.method;
    forward.attempt.path = request.caller.path;
    forward.attempt.headers = request.caller.forwardedHeaders;
    forward.attempt.body = request.caller.body;
    forward.attempt.connectTimeout = std::min(connectTimeout, request.deadline - now);
    forward.attempt.idleTimeout = request.deadline - now + connectTimeout;
    forward.attempt.relay = request.route->response == ResponseKind::EventStream;
    forward.context.deadline = request.deadline;
    forward.context.instance = upstream->second;
    forward.context.workspace = request.workspace;
    forward.context.priority
        = std::min(this->overload.forwardedPriority(request.service, request.priority), lowestPriority);
    forward.context.resumeAfter = request.lastEventId ? request.lastEventId : request.caller.lastEventId;
    forward.callerAttemptId = request.caller.attemptId;
    this->state.commands.emplace_back(std::move(forward));
    return true;
}

void EntryRequests::recordAccepted(const UpstreamId& upstream, Instant now)
{
    std::erase_if(this->acceptedAt, [now](const auto& entry) { return now - entry.second > acceptanceTime; });
    this->acceptedAt[upstream] = now;
}

bool EntryRequests::hasAcceptedLately(const UpstreamId& upstream, Instant now) const
{
    const auto found = this->acceptedAt.find(upstream);
    return found != this->acceptedAt.end() && now - found->second <= acceptanceTime;
}

void EntryRequests::enqueue(Request& request, Instant now)
{
    Duration maxWait = request.route->latencyTarget / maxWaitDivisor;
    const std::optional<Duration> expected = this->overload.expectedFirstEvent(request.service, request.route->name);
    if (expected && this->overload.isShort(request.service))
        maxWait = std::clamp(request.route->latencyTarget - *expected, Duration::zero(), maxWait);
    const Instant until = std::min(request.waitUntil.value_or(request.arrivedAt + maxWait), request.deadline);
    if (this->isEvacuated(request.service, now)) {
        this->endWithoutResponse(request, evacuatedReason, now);
        return;
    }
    if (this->state.links.areLost() && this->tryRelay(request, now))
        return;
    const std::optional<Availability> next = this->nextAvailability(request.service, now);
    if (now >= until || (next && next->here >= until)) {
        this->endWithoutResponse(
            request, next ? "all upstreams are paused or at their limits" : "no upstream has room", now);
        return;
    }
    if (!request.waitUntil) {
        this->brittle.onWaiting(request.service);
        ++this->admissionOf(request).waited;
    }
    request.waitUntil = until;
    WaitingRequest entry { request.id, request.service, request.priority, request.arrivedAt, until, {} };
    // A brittle upstream must not be tried by a request behind one that it has just refused.
    if (!this->brittle.isBrittle(request.service))
        entry.excluded = request.routing.excluded;
    this->waiting.add(std::move(entry));
}

void EntryRequests::dispatchWaiting(Instant now)
{
    this->lastWaitingDispatch = now;
    if (this->waiting.empty() || this->hasEnded)
        return;
    this->waiting.dispatch([this, now](const RequestId& id) { return this->trySend(this->requests.at(id), now); });
}

void EntryRequests::onCapacityChanged(Instant now)
{
    this->beginEarlyRequests(now);
    this->dispatchWaiting(now);
    this->endEvacuated(now);
}

std::optional<EntryRequests::Attempt> EntryRequests::takeAttempt(AttemptId id)
{
    this->state.links.onAttemptEnded(id);
    const auto node = this->attempts.extract(id);
    if (node.empty())
        return std::nullopt;
    return node.mapped();
}

std::vector<UpstreamId> EntryRequests::unavailableUpstreams(Request& request, Instant now)
{
    std::vector<UpstreamId> unavailable = this->brittle.closedUpstreams(request.service, now);
    for (UpstreamId& paused : this->state.exclusions.pausedUpstreams(now))
        unavailable.push_back(std::move(paused));
    if (!this->state.limits.isAnyLimited())
        return unavailable;
    std::string passedOver;
    for (const UpstreamId& upstream : this->state.limits.limitedUpstreams()) {
        const auto instance = this->state.instances.find(upstream);
        if (instance == this->state.instances.end() || this->state.limits.findCold(upstream)
            || this->state.nextTurn(upstream, now) <= now)
            continue;
        const RegisteredUpstream* registered = this->state.directory.findInstance(instance->second);
        if (!registered || registered->service != request.service)
            continue;
        unavailable.push_back(upstream);
        const StatedLimit& limit = *this->state.limits.find(upstream);
        if (request.passedOver.empty() && passedOver.size() < maxPassedOverLength)
            passedOver += fmt::format("{}{} limit {}/s from {} {:.0f} ms ago", passedOver.empty() ? "" : ", ",
                upstream.value(), limit.perSecond.value_or(0), limit.source, toMilliseconds(now - limit.statedAt));
    }
    if (!passedOver.empty())
        ++this->state.statistics.limitedRequests;
    if (this->state.limits.isAnyCold())
        passedOver += this->passOverCold(request, unavailable, now);
    if (!passedOver.empty())
        request.passedOver = std::move(passedOver);
    return unavailable;
}

std::string EntryRequests::passOverCold(Request& request, std::vector<UpstreamId>& unavailable, Instant now)
{
    // Without a reading of the clock, this node has no turns.
    const Duration wallClock = this->state.wallClockTime(now).value_or(Duration::zero());
    std::string passedOver;
    for (UpstreamId& upstream : this->state.limits.closedColdUpstreams(request.service, wallClock)) {
        if (!this->state.instances.contains(upstream))
            continue;
        if (request.passedOver.empty() && passedOver.size() < maxPassedOverLength)
            passedOver += fmt::format("{}{} cold", passedOver.empty() ? "" : ", ", upstream.value());
        unavailable.push_back(std::move(upstream));
    }
    if (!passedOver.empty())
        ++this->state.statistics.coldPassedOver;
    return passedOver;
}

std::optional<EntryRequests::Availability> EntryRequests::nextAvailability(
    const ServiceName& service, Instant now) const
{
    if (!this->state.limits.isAnyLimited() && this->state.exclusions.pausedUpstreams(now).empty())
        return std::nullopt;
    std::optional<Availability> next;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams()) {
        const UpstreamId id = upstream.id();
        if (upstream.service != service || !this->state.instances.contains(id))
            continue;
        const Instant pauseEnd = this->state.exclusions.pauseEnd(id, now).value_or(now);
        const Instant here = std::max(pauseEnd, this->state.nextTurn(id, now));
        if (here <= now)
            return std::nullopt;
        const Instant anywhere = std::max(pauseEnd, now + this->state.limits.turnPeriod(id));
        next = next ? Availability { std::min(next->here, here), std::min(next->anywhere, anywhere) }
                    : Availability { here, anywhere };
    }
    return next;
}

void EntryRequests::applyFacts(const UpstreamId& upstream, const ResponseFacts& facts, Instant now)
{
    if (facts.isLeaving && this->state.exclusions.onLeaving(upstream, now)) {
        this->state.routingChanged = true;
        this->state.log(LogLevel::Info, "upstream announced that it is leaving", { { "upstream", upstream.value() } });
    }
    if (facts.pause) {
        this->state.exclusions.onPauseRequested(upstream, *facts.pause, now);
        this->state.log(LogLevel::Info, "upstream asked for a pause",
            { { "upstream", upstream.value() }, { "ms", fmt::format("{:.0f}", toMilliseconds(*facts.pause)) } });
    }
    this->cold.onResponse(upstream, facts, now);
    if (facts.load)
        this->state.router.onLoadReport({ upstream, facts.load->waiting, facts.load->running, Duration::zero() }, now);
}

void EntryRequests::recordVersionEvidence(const Attempt& attempt, AttemptEnd end, Instant now)
{
    this->rollouts.onAttempt({ attempt.service, attempt.upstream, attempt.route, end,
                                 attempt.firstEventAfter.value_or(now - attempt.startedAt) },
        now);
}

void EntryRequests::releaseEvidence(Instant now)
{
    std::erase_if(this->heldEvidence, [this, now](const HeldEvidence& held) {
        if (this->state.links.areLost())
            return true;
        const Attempt& attempt = held.attempt;
        const bool isOwnFault = !this->state.links.hasReachedAnotherSince(attempt.upstream, held.at);
        if (isOwnFault && this->state.instances.size() > 1 && now < held.at + evidenceHoldTime)
            return false;
        this->rollouts.onAttempt({ attempt.service, attempt.upstream, attempt.route, held.end, held.latency }, now);
        return true;
    });
}

void EntryRequests::countUsage(Request& request, Instant now)
{
    if (std::exchange(request.usageCounted, true) || !request.workspace)
        return;
    if (const auto wallClock = this->state.wallClockTime(now))
        this->state.usage.onStarted(*request.workspace, *wallClock);
}

void EntryRequests::onStreamStarted(const UpstreamStreamStarted& event, Instant now)
{
    if (const auto relayed = this->relayedAttempts.find(event.attempt); relayed != this->relayedAttempts.end()) {
        Request* request = this->find(relayed->second.request);
        if (request && !std::exchange(request->streaming, true))
            request->firstEventAfter = now - request->arrivedAt;
        return;
    }
    const auto found = this->attempts.find(event.attempt);
    if (found == this->attempts.end())
        return;
    found->second.firstEventAfter = now - found->second.startedAt;
    this->state.links.onAnswered(event.attempt, now);
    this->state.router.onFirstToken(found->second.dispatch, now);
    this->refusals.onAccepted(found->second.upstream, now);
    this->recordAccepted(found->second.upstream, now);
    this->applyFacts(found->second.upstream, event.facts, now);
    this->limits.onResponse(found->second.upstream, event.facts, found->second.startedAt, now);
    this->brittle.onResponse(found->second.upstream, event.facts, now);
    if (Request* request = this->find(found->second.request)) {
        if (!std::exchange(request->streaming, true)) {
            request->firstEventAfter = now - request->arrivedAt;
            this->recordFirstEvent(*request, now);
        }
        this->countUsage(*request, now);
    }
}

void EntryRequests::onResponded(UpstreamResponded event, Instant now)
{
    if (const auto relayed = this->takeRelayedAttempt(event.response.attempt)) {
        this->onPeerResponded(*relayed, std::move(event), now);
        return;
    }
    this->state.links.onAnswered(event.response.attempt, now);
    const auto attempt = this->takeAttempt(event.response.attempt);
    if (!attempt)
        return;
    const int status = event.response.status;
    // Callers take these statuses for a guarantee, which an upstream gives in another way.
    const bool isFalsePromise = !event.facts.notRun && promisesNotRun(status);
    const bool failed = isFalsePromise || (!event.facts.notRun && status >= firstServerError);
    const AttemptOutcome outcome = event.facts.notRun ? AttemptOutcome::Refused
        : failed                                      ? AttemptOutcome::Failed
                                                      : AttemptOutcome::Completed;
    this->state.router.onFinished(
        attempt->dispatch, outcome, static_cast<std::uint32_t>(event.response.relayedEvents), now);
    this->applyFacts(attempt->upstream, event.facts, now);
    // The headers of a stream are as old as its first event.
    if (!attempt->firstEventAfter) {
        this->limits.onResponse(attempt->upstream, event.facts, attempt->startedAt, now);
        this->brittle.onResponse(attempt->upstream, event.facts, now);
    }
    if (!event.facts.notRun)
        this->brittle.onCompleted(attempt->upstream, now);
    if (!event.facts.notRun && !failed)
        this->recordAccepted(attempt->upstream, now);
    if (event.facts.notRun)
        this->refusals.onRefused(attempt->upstream, now);
    else if (!attempt->firstEventAfter)
        this->refusals.onAccepted(attempt->upstream, now);
    if (!event.facts.notRun)
        this->recordVersionEvidence(*attempt, failed ? AttemptEnd::Failed : AttemptEnd::Succeeded, now);
    Request* request = this->find(attempt->request);
    if (!request)
        return;
    request->attempt.reset();
    request->mayHaveArrived = true;
    if (!event.facts.notRun) {
        ++request->runs;
        this->countUsage(*request, now);
        // An upstream that fails without a crash may not have come to the part that crashes it.
        if (!this->crashes.isEmpty() && failed)
            this->crashes.onRunWithoutCrash({ crashKeysOf(*request).front() });
        else if (!this->crashes.isEmpty())
            this->crashes.onRunWithoutCrash(crashKeysOf(*request));
    } else {
        ++this->state.statistics.refusedAttempts;
        this->state.log(LogLevel::Info, "upstream refused the request",
            { { "request", request->caller.attemptId }, { "upstream", attempt->upstream.value() },
                { "status", std::to_string(status) }, { "sends", std::to_string(request->sends) },
                { "runs", std::to_string(request->runs) } });
    }
    const bool success = status >= statusOk && status < firstRedirect;
    // Only further events may follow a stream that has started.
    const bool isUsable = !request->streaming || event.response.relayed;
    if (!event.facts.notRun && !failed && isUsable && (event.facts.isStamped || !success)) {
        if (!request->streaming)
            this->recordFirstEvent(*request, now);
        // The rest of a stream says little about the whole one.
        if (!request->lastEventId && !request->caller.lastEventId)
            this->routeTimes[attempt->route].add(now - attempt->startedAt);
        this->respond(*request, std::move(event.response), RequestOutcome::Answered, now);
        return;
    }
    if (event.facts.notRun)
        request->refusedBy.push_back(attempt->upstream);
    else
        request->routing.excluded.push_back(attempt->upstream);
    if (failed && !isFalsePromise && event.facts.isStamped && !request->streaming)
        request->upstreamFailure = std::move(event.response);
    const std::string reason = event.facts.notRun ? "the upstream did not run the request"
                                                  : fmt::format("the upstream answered with status {}", status);
    this->retryOrEnd(*request, { !event.facts.notRun, false }, reason, now);
    this->dispatchWaiting(now);
}

void EntryRequests::onFailed(const AttemptFailed& event, Instant now)
{
    if (const auto relayed = this->takeRelayedAttempt(event.attempt)) {
        this->onPeerFailed(*relayed, event, now);
        return;
    }
    if (!event.mayHaveRun)
        this->state.links.onNotConnected(event.attempt, now);
    else if (event.connectionBroken)
        this->state.links.onBroken(event.attempt, now);
    const auto attempt = this->takeAttempt(event.attempt);
    if (!attempt)
        return;
    // A connection that was not established is no refusal, after which the upstream would get further requests. Where
    // open connections carry answers it is one: the upstream takes as many requests as there are such connections.
    const bool isRefusal = !event.mayHaveRun && this->hasAcceptedLately(attempt->upstream, now);
    const AttemptOutcome outcome = isRefusal         ? AttemptOutcome::Refused
        : event.mayHaveRun && event.connectionBroken ? AttemptOutcome::Failed
                                                     : AttemptOutcome::TimedOut;
    this->state.router.onFinished(attempt->dispatch, outcome, 0, now);
    if (event.connectionBroken)
        ++this->state.statistics.brokenAttempts;
    if (event.connectionBroken || !event.mayHaveRun)
        this->cold.onUnreachable(attempt->upstream, now);
    if (event.mayHaveRun)
        this->heldEvidence.push_back({ *attempt, event.connectionBroken ? AttemptEnd::Failed : AttemptEnd::TimedOut,
            attempt->firstEventAfter.value_or(now - attempt->startedAt), now });
    this->releaseEvidence(now);
    Request* request = this->find(attempt->request);
    if (!request)
        return;
    request->attempt.reset();
    if (event.lastEventId)
        request->lastEventId = event.lastEventId;
    request->routing.excluded.push_back(attempt->upstream);
    if (event.mayHaveRun) {
        ++request->runs;
        request->mayHaveArrived = true;
    } else {
        ++request->failedConnections;
    }
    this->state.log(LogLevel::Info, "attempt failed",
        { { "request", request->caller.attemptId }, { "upstream", attempt->upstream.value() },
            { "mayHaveRun", event.mayHaveRun ? "true" : "false" },
            { "connectionBroken", event.connectionBroken ? "true" : "false" },
            { "runs", std::to_string(request->runs) }, { "maxAttempts", std::to_string(request->route->maxAttempts) },
            { "content", fmt::format("{:016x}", crashKeysOf(*request).front()) }, { "reason", event.detail } });
    if (event.connectionBroken)
        this->crashes.onConnectionBroken(attempt->upstream, crashKeysOf(*request), attempt->startedAt, now);
    this->retryOrEnd(*request, { event.mayHaveRun, event.connectionBroken }, event.detail, now);
    this->dispatchWaiting(now);
}

void EntryRequests::setDeadline(Request& request)
{
    request.deadline = request.arrivedAt + std::min(request.caller.timeout.value_or(noTimeout), request.route->timeout);
}

bool EntryRequests::isTooLate(const Request& request, Instant now) const
{
    if (!this->stop)
        return false;
    // An estimate is exceeded now and then, and these requests could have gone to another node.
    if (request.arrivedAt >= this->stop->boundedFrom())
        return request.deadline > this->stop->requestsEnd();
    const Duration left = this->stop->requestsEnd() - now;
    // Routes to one service may differ by more than an order of magnitude.
    if (const auto times = this->routeTimes.find(request.route->name); times != this->routeTimes.end())
        return left < times->second.upperBound();
    Duration hold {};
    for (const WeightedService& target : request.route->targets)
        hold = std::max(hold, this->state.router.meanHoldTime(target.service));
    return left < stopTimeFactor * hold;
}

bool EntryRequests::mayRunAfter(std::uint32_t runs, const Request& request, Instant now) const
{
    if (request.sends >= maxSends || request.deadline - now < minTimeForRetry)
        return false;
    // No other node can go on with a stream that has begun, and its rest may take less time.
    if (!request.streaming && this->isTooLate(request, now))
        return false;
    if (runs > 0 && !request.route->retryable)
        return false;
    return runs + earlierRuns(request) < request.route->maxAttempts;
}

bool EntryRequests::mayRetry(Request& request, const AttemptResult& result, Instant now)
{
    if (!this->mayRunAfter(request.runs, request, now))
        return false;
    if (result.connectionBroken && !this->crashes.mayRetryAfterBrokenConnection(crashKeysOf(request)))
        return false;
    return this->chargeRetry(request, now);
}

bool EntryRequests::chargeRetry(const Request& request, Instant now)
{
    // Refused requests count too: the upstream has received them. Connections that were never established do not.
    if (!request.mayHaveArrived || this->state.retryBudget(request.service).tryRetry(now))
        return true;
    ++this->state.statistics.deniedRetries;
    return false;
}

void EntryRequests::retryOrEnd(Request& request, const AttemptResult& result, const std::string& reason, Instant now)
{
    if (!this->mayRetry(request, result, now)) {
        this->endWithoutResponse(request, reason, now);
        return;
    }
    ++this->state.statistics.retries;
    const bool cannotConnect = this->state.links.areLost() || request.failedConnections >= failedConnectionsBeforeRelay;
    if (cannotConnect && this->tryRelay(request, now))
        return;
    // Each run of a request counts against the quota.
    if (result.mayHaveRun && request.quotaTaken)
        this->state.quotas.charge(*request.workspace, request.quotaCost, now);
    this->dispatch(request, now);
}

void EntryRequests::endWithoutResponse(Request& request, const std::string& reason, Instant now)
{
    if (request.streaming) {
        this->state.commands.emplace_back(FailStream { request.id, {} });
        this->end(request, RequestOutcome::Failed, statusOk, reason, now);
        return;
    }
    if (request.upstreamFailure) {
        this->respond(request, *std::exchange(request.upstreamFailure, std::nullopt), RequestOutcome::Answered, now);
        return;
    }
    if (request.runs > 0) {
        this->refuse(request, RequestOutcome::Failed, badGateway, reason, {}, now);
        return;
    }
    // More upstreams would not help a node that cannot reach them.
    if (!this->state.links.areLost()) {
        this->state.demand.onRefused(request.service, request.routing.promptTokens);
        // Requests beyond stated limits take no capacity from others.
        if (!this->nextAvailability(request.service, now))
            this->overload.onNoCapacity(request.id, now);
        ++this->admissionOf(request).rejectedWithoutCapacity;
    }
    this->refuse(request, RequestOutcome::NoCapacity, serviceUnavailable, reason, this->retryAfter(request, now), now);
}

Duration EntryRequests::retryAfter(const Request& request, Instant now)
{
    if (this->isEvacuated(request.service, now))
        return this->evacuationRetryAfter(request.service, now);
    const auto spread = static_cast<std::uint64_t>((maxRetryAfter - minRetryAfter).count());
    Duration drawn = minRetryAfter + Duration(static_cast<Duration::rep>(this->state.random.below(spread)));
    if (this->overload.isShort(request.service))
        drawn = *this->overload.retryAfter(request.service, request.priority, this->state.random.uniform(), now);
    // Another node may have the next turn at a limited upstream, and the caller's next attempt may reach that node.
    const std::optional<Availability> next = this->nextAvailability(request.service, now);
    return next ? std::max(drawn, next->anywhere - now + drawn - minRetryAfter) : drawn;
}

void EntryRequests::cancelAttempt(Request& request, Instant now)
{
    if (!request.attempt)
        return;
    const AttemptId id = *std::exchange(request.attempt, std::nullopt);
    // The attempt may have run until it was cancelled.
    ++request.runs;
    this->relayedAttempts.erase(id);
    if (const auto attempt = this->takeAttempt(id))
        this->state.router.onFinished(attempt->dispatch, AttemptOutcome::Cancelled, 0, now);
    this->state.commands.emplace_back(CancelAttempt { id });
}

void EntryRequests::onCallerGone(const RequestId& id, Instant now)
{
    Request* request = this->find(id);
    if (!request)
        return;
    this->state.borrower.cancel(id);
    this->sendLoanMessages();
    this->cancelAttempt(*request, now);
    this->end(*request, RequestOutcome::CallerLeft, 0, "the caller closed its connection", now);
    this->dispatchWaiting(now);
}

void EntryRequests::respond(Request& request, AttemptFinished response, RequestOutcome outcome, Instant now)
{
    const int status = response.status;
    if (!response.relayed) {
        this->state.commands.emplace_back(
            Respond { request.id, status, std::move(response.headers), std::move(response.body) });
    }
    this->end(request, outcome, status, {}, now);
    this->dispatchWaiting(now);
}

void EntryRequests::refuse(Request& request, RequestOutcome outcome, int status, const std::string& reason,
    std::optional<Duration> retryAfter, Instant now)
{
    const ErrorCode code = outcome == RequestOutcome::TimedOut      ? ErrorCode::OutcomeUnknown
        : outcome == RequestOutcome::Failed                         ? ErrorCode::Failed
        : status == serviceUnavailable || status == tooManyRequests ? ErrorCode::NotRun
                                                                    : ErrorCode::Rejected;
    const CallerError error { code, status, reason, retryAfter };
    Respond response { request.id, status, { { "content-type", "application/json" } }, errorBody(request.id, error) };
    if (request.handed)
        response.headers.emplace_back(handedArrivedField, request.mayHaveArrived ? "1" : "0");
    if (retryAfter)
        response.headers.emplace_back("retry-after", formatSeconds(*retryAfter));
    this->state.commands.emplace_back(std::move(response));
    this->end(request, outcome, status, reason, now);
}

void EntryRequests::end(Request& request, RequestOutcome outcome, int status, const std::string& reason, Instant now)
{
    this->state.countOutcome(outcome);
    this->state.commands.emplace_back(
        RequestEnded { request.route ? request.route->name : RouteName(), outcome, now - request.arrivedAt });
    if (request.quotaTaken && request.runs == 0 && !request.streaming && !request.attempt
        && outcome != RequestOutcome::CallerLeft)
        this->state.quotas.refund(*request.workspace, request.quotaCost);
    std::vector<std::pair<std::string, std::string>> fields { { "request", request.caller.attemptId },
        { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(status) }, { "reason", reason },
        { "route", request.route ? request.route->name.value() : std::string() },
        { "service", request.service.value() },
        { "workspace", request.workspace ? request.workspace->value() : std::string() },
        { "quotaCost", fmt::format("{:.0f}", request.quotaCost) }, { "sends", std::to_string(request.sends) },
        { "runs", std::to_string(request.runs) },
        { "configuration", request.table ? std::to_string(request.table->configuration().version) : "none" },
        { "firstEventMs",
            request.firstEventAfter ? fmt::format("{:.1f}", toMilliseconds(*request.firstEventAfter)) : "" },
        { "ms", fmt::format("{:.1f}", toMilliseconds(now - request.arrivedAt)) } };
    if (!request.passedOver.empty())
        fields.emplace_back("passedOver", request.passedOver);
    if (this->stop)
        fields.emplace_back(
            "arrivedAfterStopMs", fmt::format("{:.0f}", toMilliseconds(request.arrivedAt - this->stop->receivedAt())));
    this->state.log(LogLevel::Info, "request ended", std::move(fields));
    this->stopWaiting(request);
    this->overload.onEnded(request.id);
    this->deadlines.erase({ request.deadline, request.id });
    this->requests.erase(RequestId(request.id));
}

void EntryRequests::endAll(Instant now)
{
    this->hasEnded = true;
    std::vector<RequestId> open;
    open.reserve(this->requests.size());
    for (const auto& [id, request] : this->requests)
        open.push_back(id);
    for (const RequestId& id : open) {
        Request& request = this->requests.at(id);
        this->state.borrower.cancel(id);
        this->cancelAttempt(request, now);
        this->state.statistics.streamsCutByStop += request.streaming ? 1 : 0;
        if (request.streaming || request.runs > 0)
            this->endWithoutResponse(request, "this node stops", now);
        else
            this->refuse(
                request, RequestOutcome::NoCapacity, serviceUnavailable, "this node stops", stoppingRetryAfter, now);
    }
    this->sendLoanMessages();
}

void EntryRequests::onTick(Instant now)
{
    this->overload.onTick(now);
    this->logShortages();
    this->beginEarlyRequests(now);
    this->clearKeysOfRunningStreams(now);
    this->releaseEvidence(now);
    this->abandonUnanswered(now);
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        Request& request = this->requests.at(this->deadlines.begin()->second);
        const bool wasSent = request.attempt.has_value() || request.runs > 0;
        this->cancelAttempt(request, now);
        this->state.borrower.cancel(request.id);
        this->sendLoanMessages();
        if (request.streaming)
            this->endWithoutResponse(request, "the time limit passed", now);
        else if (wasSent)
            this->refuse(request, RequestOutcome::TimedOut, gatewayTimeout, "the time limit passed", {}, now);
        else
            this->endWithoutResponse(request, "no upstream had room before the time limit", now);
    }
    for (const EndedLoan& loan : this->state.borrower.takeExpired(now))
        this->onLoanEnded(loan, now);
    this->sendLoanMessages();
    this->dispatchWaiting(now);
    for (const RequestId& id : this->waiting.expired(now)) {
        if (Request* request = this->find(id))
            this->endWithoutResponse(*request, "no upstream has room", now);
    }
}

Instant EntryRequests::nextTick() const
{
    Instant next = this->state.borrower.nextExpiry();
    if (!this->earlyRequests.empty())
        next = std::min(next, *this->earlyDeadline);
    if (!this->deadlines.empty())
        next = std::min(next, this->deadlines.begin()->first);
    if (!this->waiting.empty())
        next = std::min({ next, this->waiting.nextExpiry(), this->lastWaitingDispatch + waitingPollPeriod });
    return next;
}

RequestForecast EntryRequests::forecast(const CallerRequest& caller, Instant now)
{
    // Draws the random numbers that the request would get, and leaves them to the next one.
    const RandomSource randomBefore = this->state.random;
    const std::uint64_t limitedBefore = this->state.statistics.limitedRequests;
    const std::uint64_t coldBefore = this->state.statistics.coldPassedOver;
    Request request;
    request.caller = caller;
    request.arrivedAt = now;
    RequestForecast forecast = this->forecastOf(request, now);
    if (request.route)
        forecast.route = request.route->name.value();
    if (request.workspace)
        forecast.workspace = request.workspace->value();
    forecast.service = request.service.value();
    forecast.priority = request.priority;
    this->state.random = randomBefore;
    this->state.statistics.limitedRequests = limitedBefore;
    this->state.statistics.coldPassedOver = coldBefore;
    return forecast;
}

RequestForecast EntryRequests::forecastOf(Request& request, Instant now)
{
    using Outcome = RequestForecast::Outcome;
    const auto rejected = [](int status, std::string reason, std::optional<Duration> retryAfter = std::nullopt) {
        return RequestForecast { Outcome::Rejected, std::move(reason), status, retryAfter };
    };
    if (this->hasEnded)
        return rejected(serviceUnavailable, "this node has stopped", stoppingRetryAfter);
    if (!this->isReady())
        return rejected(serviceUnavailable, "this node has no configuration yet", notReadyRetryAfter);
    request.table = this->state.table;
    request.route = request.table->match(request.caller.host, request.caller.path);
    if (!request.route)
        return rejected(notFound, "no route matches this host and path");
    if (this->authorise(request))
        return rejected(unauthorized, "the key is missing or unknown");
    if (!this->crashes.isEmpty() && this->crashes.verdict(crashKeysOf(request)) == CrashVerdict::Rejected) {
        return rejected(serviceUnavailable, "such requests crashed several upstreams",
            std::max(minRetryAfter, this->crashes.remainingRejection(crashKeysOf(request), now)));
    }
    setDeadline(request);
    if (this->isTooLate(request, now))
        return rejected(serviceUnavailable, "this node is about to stop", stoppingRetryAfter);
    if (this->needsPeers(now))
        return { Outcome::Relayed, noLinks };
    if (request.workspace) {
        // A copy, so that nothing is charged.
        QuotaLimiter quotas = this->state.quotas;
        if (const auto shortage = quotas.take(*request.workspace, request.quotaCost, now)) {
            const bool hasPeers = this->state.borrower.hasPeers();
            const Duration wait = std::max(hasPeers ? shortage->quotaWait : shortage->shareWait, minRetryAfter);
            RequestForecast forecast = rejected(tooManyRequests, "the workspace is over its quota", wait);
            if (hasPeers) {
                forecast.outcome = Outcome::Queued;
                forecast.reason = "this node's share of the quota does not suffice and peers are asked for a loan";
            }
            return forecast;
        }
    }
    request.service = this->selectService(*request.route);
    this->fillRouting(request);
    return this->forecastRouting(request, now);
}

RequestForecast EntryRequests::forecastRouting(Request& request, Instant now)
{
    using Outcome = RequestForecast::Outcome;
    if (const auto offer = this->offerOf(request)) {
        // A copy, so that nothing is counted.
        OverloadController controller = this->overload;
        if (!controller.admits(*offer, now))
            return { Outcome::Rejected, shortageReason, serviceUnavailable, this->retryAfter(request, now) };
    }
    RoutingRequest routing = request.routing;
    for (UpstreamId& upstream : this->unavailableUpstreams(request, now))
        routing.excluded.push_back(std::move(upstream));
    routing.avoidExcluded = this->state.limits.isAnyCold();
    RoutingPreview preview = this->state.router.preview(routing, now);
    RequestForecast forecast;
    if (preview.decision) {
        forecast.outcome = Outcome::Routed;
        forecast.decision = std::move(preview.decision);
        return forecast;
    }
    if (this->isEvacuated(request.service, now))
        return { Outcome::Rejected, evacuatedReason, serviceUnavailable, this->retryAfter(request, now) };
    if (this->state.links.areLost())
        return { Outcome::Relayed, noLinks };
    const Duration longestWait = request.route->latencyTarget / maxWaitDivisor;
    const std::optional<Availability> next = this->nextAvailability(request.service, now);
    const bool waits = longestWait > Duration::zero() && !(next && next->here >= now + longestWait);
    forecast.outcome = waits ? Outcome::Queued : Outcome::Rejected;
    forecast.reason = next ? "all upstreams are paused or at their limits" : "no upstream has room";
    forecast.status = serviceUnavailable;
    forecast.retryAfter = this->retryAfter(request, now);
    if (waits)
        forecast.longestWait = longestWait;
    return forecast;
}

} // namespace teaselshore
