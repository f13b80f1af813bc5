#include "teaselshore/node/node.hpp"

#include <algorithm>
#include <utility>

#include "node_impl.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr Duration noConfigurationRetryAfter = std::chrono::seconds(1);
    /// Another node can take the request.
    constexpr Duration stoppingRetryAfter = std::chrono::seconds(1);
    constexpr std::size_t requestIdDigits = 20;
    constexpr std::string_view storedResponsePrefix = "/v1/requests/";

} // namespace

Node::Node(NodeSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings)))
{
}

Node::~Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;

RequestId Node::nextRequestId() { return RequestId("q-" + this->impl->state.random.hex(requestIdDigits)); }

NodeCommands Node::handle(NodeEvent event, Instant now)
{
    std::visit([&](auto& content) { this->impl->handle(content, now); }, event);
    this->impl->applyEarlyNotices(now);
    // Places that the end has made free go to nobody.
    if (!this->impl->stopped)
        this->impl->applyAdmissionChanges(now);
    this->impl->rollouts.onEvent(now);
    return std::exchange(this->impl->state.commands, {});
}

Instant Node::nextTick() const { return std::min(this->impl->nextHousekeeping, this->impl->durable.nextTick()); }

const NodeSettings& Node::settings() const { return this->impl->state.settings; }
std::shared_ptr<const Configuration> Node::configuration() const { return this->impl->state.configuration; }
ConfigurationVersion Node::configurationVersion() const { return this->impl->state.configurationVersion; }
const std::optional<ReportInvalid>& Node::refusedConfiguration() const
{
    return this->impl->state.refusedConfiguration;
}
bool Node::stopping() const { return this->impl->stop.has_value(); }
const Membership& Node::membership() const { return this->impl->state.membership; }
const Router& Node::router() const { return this->impl->state.router; }
const SlotOwner& Node::slotOwner() const { return this->impl->durable.slotOwner(); }
const NodeStatistics& Node::statistics() const { return this->impl->state.statistics; }
const RolloutRecord* Node::move(const ServiceName& service) const { return this->impl->rollouts.move(service); }
std::size_t Node::openRequests() const { return this->impl->openRequests(); }

std::size_t Node::queuedRequests() const
{
    std::size_t queued = 0;
    if (!this->impl->state.configuration)
        return queued;
    for (const ServiceConfiguration& service : this->impl->state.configuration->services)
        queued += this->impl->state.admission.queued(service.name);
    return queued;
}

std::vector<RoutingDecision> Node::decisions(const RequestId& request) const
{
    return this->impl->state.decisions.find(request);
}

void Node::Impl::handle(RequestArrived& event, Instant now)
{
    ++this->state.statistics.requests;
    if (this->stopped) {
        this->refuseForStop(event.request);
        return;
    }
    if (event.method == "GET" && event.path.starts_with(storedResponsePrefix)) {
        const RequestId target(event.path.substr(storedResponsePrefix.size()));
        this->durable.onReadArrived(event, target, now);
        return;
    }
    if (!this->state.configuration) {
        const CallerError error = notRunError("this node has no configuration yet", noConfigurationRetryAfter);
        this->state.statistics.count(error.code);
        this->state.commands.emplace_back(errorResponse(event.request, error));
        return;
    }
    auto result = classifyRequest(event, *this->state.configuration, this->state.settings.defaultOutputTokens);
    if (const auto* error = std::get_if<CallerError>(&result)) {
        this->state.statistics.count(error->code);
        this->state.commands.emplace_back(errorResponse(event.request, *error));
        return;
    }
    auto& classified = std::get<ClassifiedRequest>(result);
    if (this->mayOutlastStop(classified, now)) {
        this->refuseForStop(event.request);
        return;
    }
    const auto parent = parseTraceparent(findHeader(event.headers, "traceparent").value_or(std::string()));
    if (classified.durable())
        this->durable.onArrived(event, classified, parent, now);
    else
        this->transient.onArrived(std::move(event), std::move(classified), parent, now);
}

void Node::Impl::refuseForStop(const RequestId& request)
{
    const CallerError error = notRunError("this node stops", stoppingRetryAfter);
    this->state.statistics.count(error.code);
    this->state.commands.emplace_back(errorResponse(request, error));
}

void Node::Impl::handle(CallerGone& event, Instant now)
{
    this->transient.onCallerGone(event.request, now);
    this->durable.onCallerGone(event.request);
}

void Node::Impl::handle(AttemptStarted& event, Instant now)
{
    const RunningAttempt* attempt = this->state.attempts.find(event.attempt);
    if (!attempt) {
        ++this->state.statistics.lateEvents;
        return;
    }
    this->state.attempts.onFirstByte(event.attempt, now);
    this->transient.onAttemptStarted(*attempt, now);
}

void Node::Impl::handle(AttemptFinished& event, Instant now)
{
    const auto attempt = this->state.attempts.take(event.attempt);
    if (!attempt) {
        ++this->state.statistics.lateEvents;
        return;
    }
    if (attempt->durable)
        this->durable.onAttemptFinished(*attempt, std::move(event), now);
    else
        this->transient.onAttemptFinished(*attempt, std::move(event), now);
}

void Node::Impl::handle(AttemptFailed& event, Instant now)
{
    const auto attempt = this->state.attempts.take(event.attempt);
    if (!attempt) {
        ++this->state.statistics.lateEvents;
        return;
    }
    if (attempt->durable)
        this->durable.onAttemptFailed(*attempt, event, now);
    else
        this->transient.onAttemptFailed(*attempt, event, now);
}

void Node::Impl::handle(PeerMessageReceived& event, Instant now)
{
    if (const auto* membership = std::get_if<MembershipMessage>(&event.content))
        this->cluster.onMembershipMessage(*membership, now);
    else if (const auto* configuration = std::get_if<ConfigurationMessage>(&event.content))
        this->cluster.onConfigurationMessage(event.senderAddress, *configuration, now);
    else
        this->receive(event.sender, event.senderAddress, std::get<RequestMessage>(event.content), now);
}

void Node::Impl::receive(
    const NodeId& sender, const std::string& senderAddress, const RequestMessage& message, Instant now)
{
    if (const auto* request = std::get_if<ForwardedRequest>(&message))
        this->durable.onForwarded(senderAddress, *request, now);
    else if (const auto* read = std::get_if<ForwardedRead>(&message))
        this->durable.onForwarded(senderAddress, *read, now);
    else if (const auto* answer = std::get_if<ForwardedAnswer>(&message))
        this->durable.handle(ForwardAnswered { answer->caller, answer->attempt, answer->answer }, now);
    else if (const auto* suspects = std::get_if<SuspectReports>(&message))
        this->state.onSuspectReports(sender, suspects->reports, now);
    else if (const auto* evidence = std::get_if<VersionEvidence>(&message))
        this->rollouts.onEvidence(*evidence, now);
    else if (const auto* report = std::get_if<VersionReport>(&message))
        this->rollouts.onReport(*report, now);
    else if (const auto* update = std::get_if<MoveUpdate>(&message))
        this->rollouts.onUpdate(senderAddress, *update, now);
    else if (const auto* leave = std::get_if<UpstreamLeaving>(&message))
        this->onUpstreamLeaving(leave->upstream.value(), leave->notice, false, now);
    else if (const auto* handOver = std::get_if<HandOver>(&message))
        this->durable.handle(HandOverReceived { *handOver }, now);
    else if (const auto* acknowledged = std::get_if<HandOverAck>(&message))
        this->durable.handle(HandOverAcknowledged { acknowledged->instance }, now);
}

void Node::Impl::handle(PeerMessageNotSent& event, Instant now)
{
    const auto* message = std::get_if<RequestMessage>(&event.content);
    if (!message)
        return;
    if (const auto* request = std::get_if<ForwardedRequest>(message))
        this->durable.onForwardNotSent(request->caller, request->attempt, now);
    else if (const auto* read = std::get_if<ForwardedRead>(message))
        this->durable.onForwardNotSent(read->caller, read->attempt, now);
}

void Node::Impl::handle(ObjectResult& event, Instant now)
{
    if (VersionRollouts::owns(event.id))
        this->rollouts.onObjectResult(event, now);
    else
        this->durable.handle(event, now);
}

void Node::Impl::handle(ConfigurationRead& event, Instant now)
{
    this->cluster.onConfigurationRead(std::move(event), now);
}

void Node::Impl::handle(HostListRead& event, Instant now) { this->cluster.onHostList(event, now); }

void Node::Impl::handle(LoadQueried& event, Instant now)
{
    if (event.report)
        this->state.router.onLoadReport(*event.report, now);
    this->state.poller.onQueried(event.upstream, event.report.has_value());
    // The check has to see whether the upstream was leaving, which its death hides.
    this->applyCrashChecks(this->crashChecks.onLoadQueried(event, now), now);
    if (event.refused && !this->crashChecks.checking(event.upstream))
        this->state.router.onUpstreamDead(event.upstream, now);
}

void Node::Impl::applyCrashChecks(const std::vector<CrashCheckResult>& results, Instant now)
{
    for (const CrashCheckResult& result : results) {
        if (result.crashed)
            this->rollouts.onUpstreamLost(result.upstream);
        this->transient.onCrashCheck(result, now);
        this->durable.onCrashCheck(result, now);
    }
}

void Node::Impl::handle(CacheEventsRead& event, Instant now)
{
    for (const CacheEvent& cacheEvent : event.events)
        this->state.router.onCacheEvent(cacheEvent, now);
}

void Node::Impl::handle(OutcomeQueried& event, Instant now)
{
    this->durable.handle(OutcomeLookedUp { event.request, std::move(event.answer) }, now);
}

void Node::Impl::applyAdmissionChanges(Instant now)
{
    for (const RequestId& request : std::exchange(this->state.preemptions, {})) {
        this->transient.preempt(request);
        this->durable.preempt(request);
    }
    // Starting a request may end it, which changes admission again.
    while (!this->state.admissionChanges.empty()) {
        for (const AdmissionChanges& changes : std::exchange(this->state.admissionChanges, {})) {
            for (const Rejected& rejected : changes.rejected) {
                if (this->durable.waitsForAdmission(rejected.request))
                    this->durable.onAdmissionRejected(rejected, now);
                else
                    this->transient.onAdmissionRejected(rejected, now);
            }
            for (const Admitted& admitted : changes.admitted) {
                if (this->durable.waitsForAdmission(admitted.request))
                    this->durable.chooseForRun(admitted.request, now);
                else
                    this->transient.proceed(admitted.request, now);
            }
        }
    }
}

} // namespace teaselshore
