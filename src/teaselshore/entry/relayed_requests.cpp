#include <algorithm>
#include <utility>

#include "entry_requests.hpp"

namespace teaselshore {

namespace {

    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    /// Peers that are tried for one request.
    constexpr std::size_t maxTriedPeers = 3;
    /// Time for the connection to a peer; some 20 times the delay between zones.
    constexpr Duration peerConnectTimeout = std::chrono::milliseconds(250);
    /// Minimum time before the deadline for which an attempt at a peer is worthwhile.
    constexpr Duration minTimeForRelay = std::chrono::milliseconds(20);
    /// Age at which an attempt without an answer is given up while the links are lost.
    constexpr Duration abandonAfter = std::chrono::milliseconds(600);
    constexpr const char* linksLost = "the links to upstreams are lost";

    /// Takes the field of a peer's refusal out of the headers. Returns whether an upstream may have received the
    /// request; a peer of an earlier version does not say so.
    bool takeArrived(HeaderList& headers)
    {
        bool hasArrived = true;
        std::erase_if(headers, [&hasArrived](const auto& field) {
            if (field.first != handedArrivedField)
                return false;
            hasArrived = field.second != "0";
            return true;
        });
        return hasArrived;
    }

} // namespace

bool EntryRequests::canRelay(const Request& request, Instant now) const
{
    return !request.handed && request.triedPeers.size() < maxTriedPeers && request.deadline - now >= minTimeForRelay
        && this->state.relays.hasOther(request.triedPeers);
}

bool EntryRequests::tryRelay(Request& request, Instant now)
{
    const bool mayRun = request.runs == 0 || request.route->retryable;
    if (!mayRun || request.runs >= request.route->maxAttempts || !this->canRelay(request, now))
        return false;
    std::optional<std::string> peer = this->state.relays.choose(request.triedPeers, now);
    if (!peer)
        return false;
    this->stopWaiting(request);
    // Its time at a peer says nothing about the capacity of upstreams.
    this->overload.onEnded(request.id);
    // The peer takes the quota.
    if (request.quotaTaken && request.runs == 0) {
        this->state.quotas.refund(*request.workspace, request.quotaCost);
        request.quotaTaken = false;
    }
    const AttemptId id = ++this->lastAttempt;
    request.attempt = id;
    ++request.sends;
    request.triedPeers.push_back(*peer);
    this->relayedAttempts.emplace(id, RelayedAttempt { request.id, *peer });
    ++this->state.statistics.relayedAttempts;
    this->state.log(LogLevel::Info, "request handed to a peer",
        { { "request", request.caller.attemptId }, { "peer", *peer }, { "route", request.route->name.value() },
            { "send", std::to_string(request.sends) }, { "runs", std::to_string(request.runs) } });

    RelayRequest relay;
    relay.attempt.attempt = id;
    relay.attempt.request = request.id;
    relay.attempt.authority = std::move(*peer);
    relay.attempt.method = request.caller.method;
    relay.attempt.path = request.caller.path;
    relay.attempt.headers = request.caller.forwardedHeaders;
    relay.attempt.body = request.caller.body;
    relay.attempt.connectTimeout = std::min(peerConnectTimeout, request.deadline - now);
    relay.attempt.idleTimeout = request.deadline - now + peerConnectTimeout;
    relay.attempt.relay = request.route->response == ResponseKind::EventStream;
    relay.context = { request.deadline, request.caller.key,
        request.lastEventId ? request.lastEventId : request.caller.lastEventId,
        HandedRequest { request.runs, request.table->configuration().version, request.isCounted } };
    this->state.commands.emplace_back(std::move(relay));
    return true;
}

void EntryRequests::relayOrEnd(Request& request, const std::string& reason, Instant now)
{
    if (!this->tryRelay(request, now))
        this->endWithoutResponse(request, reason, now);
}

std::optional<EntryRequests::RelayedAttempt> EntryRequests::takeRelayedAttempt(AttemptId id)
{
    const auto node = this->relayedAttempts.extract(id);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

void EntryRequests::onPeerResponded(const RelayedAttempt& attempt, UpstreamResponded event, Instant now)
{
    Request* request = this->find(attempt.request);
    if (!request)
        return;
    request->attempt.reset();
    const int status = event.response.status;
    const bool isOfUpstream = event.facts.isStamped;
    const bool hasArrived = takeArrived(event.response.headers);
    // The peer has not run the request, and another one may.
    if (!isOfUpstream && status == serviceUnavailable && !event.response.relayed) {
        this->state.relays.onFailed(attempt.peer, now);
        request->mayHaveArrived = request->mayHaveArrived || hasArrived;
        request->isCounted = request->isCounted || hasArrived;
        // An upstream of the peer has received the request, so that the first send of the next peer is a retry.
        if (this->chargeRetry(*request, now) && this->tryRelay(*request, now))
            return;
    }
    // Only further events may follow a stream that has started. Neither may a refusal by the peer, which speaks for
    // itself, follow an attempt that may have run.
    const bool isRefused = !isOfUpstream && (status == serviceUnavailable || status == tooManyRequests);
    if ((request->streaming && !event.response.relayed) || (isRefused && request->runs > 0)) {
        this->endWithoutResponse(*request, "the peer could not run the request", now);
        return;
    }
    this->respond(
        *request, std::move(event.response), isRefused ? RequestOutcome::NoCapacity : RequestOutcome::Answered, now);
}

void EntryRequests::onPeerFailed(const RelayedAttempt& attempt, const AttemptFailed& event, Instant now)
{
    this->state.relays.onFailed(attempt.peer, now);
    Request* request = this->find(attempt.request);
    if (!request)
        return;
    request->attempt.reset();
    if (event.lastEventId)
        request->lastEventId = event.lastEventId;
    if (event.mayHaveRun) {
        ++request->runs;
        request->mayHaveArrived = true;
    }
    this->state.log(LogLevel::Info, "attempt at a peer failed",
        { { "request", request->caller.attemptId }, { "peer", attempt.peer },
            { "mayHaveRun", event.mayHaveRun ? "true" : "false" }, { "reason", event.detail } });
    if (this->mayRetry(*request, { event.mayHaveRun, false }, now) && this->tryRelay(*request, now))
        return;
    this->endWithoutResponse(*request, event.detail, now);
}

void EntryRequests::onLinksLost(Instant now)
{
    this->releaseEvidence(now);
    for (const RequestId& id : this->waiting.ids()) {
        Request* request = this->find(id);
        if (request && this->needsPeers(now))
            this->relayOrEnd(*request, linksLost, now);
        else if (request)
            this->tryRelay(*request, now);
    }
    this->abandonUnanswered(now);
}

void EntryRequests::abandonUnanswered(Instant now)
{
    if (!this->state.links.areLost())
        return;
    std::vector<RequestId> unanswered;
    for (const auto& [id, attempt] : this->attempts) {
        if (!attempt.firstEventAfter && now - attempt.startedAt >= abandonAfter)
            unanswered.push_back(attempt.request);
    }
    for (const RequestId& id : unanswered) {
        Request* request = this->find(id);
        // A request that nobody else can run waits for its answer, as the links may return in time.
        if (!request || !request->attempt || !this->mayRunAfter(request->runs + 1, *request, now)
            || !this->canRelay(*request, now) || this->state.retryBudget(request->service).remaining(now) < 1)
            continue;
        request->routing.excluded.push_back(this->attempts.at(*request->attempt).upstream);
        this->cancelAttempt(*request, now);
        request->mayHaveArrived = true;
        this->retryOrEnd(*request, { true, false }, linksLost, now);
    }
}

void EntryRequests::stopWaiting(Request& request)
{
    if (!request.waitUntil)
        return;
    this->waiting.remove(request.id);
    request.waitUntil.reset();
}

} // namespace teaselshore
