#include "teaselshore/node/node.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "cluster_events.hpp"
#include "crash_checks.hpp"
#include "durable_requests.hpp"
#include "node_state.hpp"
#include "teaselshore/base/assert.hpp"
#include "transient_requests.hpp"
#include "version_rollouts.hpp"

namespace teaselshore {

namespace {

    constexpr Duration housekeepingPeriod = std::chrono::milliseconds(20);
    constexpr Duration capacityPeriod = std::chrono::milliseconds(100);
    constexpr Duration noticeRetention = std::chrono::minutes(10);
    /// Part of a notice that is kept for the last messages of the process.
    constexpr Duration stopMargin = std::chrono::milliseconds(300);
    /// A configuration that comes later than this after the end of a notice may name the replacement already.
    constexpr Duration noticeGrace = std::chrono::seconds(2);
    constexpr Duration noConfigurationRetryAfter = std::chrono::seconds(1);
    constexpr std::size_t requestIdDigits = 20;
    constexpr std::string_view storedResponsePrefix = "/v1/requests/";

} // namespace

struct Node::Impl {
    explicit Impl(NodeSettings settings)
        : state(std::move(settings))
        , crashChecks(state)
        , durable(state, crashChecks)
        , transient(state, crashChecks)
        , cluster(state, durable)
        , rollouts(state)
    {
    }

    void handle(RequestArrived& event, Instant now);
    void handle(CallerGone& event, Instant now);
    void handle(AttemptStarted& event, Instant now);
    void handle(AttemptFinished& event, Instant now);
    void handle(AttemptFailed& event, Instant now);
    void handle(PeerMessageReceived& event, Instant now);
    void handle(PeerMessageNotSent& event, Instant now);
    void handle(ObjectResult& event, Instant now);
    void handle(ConfigurationRead& event, Instant now);
    void handle(HostListRead& event, Instant now);
    void handle(NoticesRead& event, Instant now);
    void handle(LoadQueried& event, Instant now);
    void handle(CacheEventsRead& event, Instant now);
    void handle(OutcomeQueried& event, Instant now);
    void handle(StopRequested& event, Instant now);
    void handle(Tick& event, Instant now);

    void receive(const NodeId& sender, const std::string& senderAddress, const RequestMessage& message, Instant now);
    std::string addressOf(const UpstreamId& id) const;
    /// @brief Applies notices that came before the configuration that names their upstream.
    void applyEarlyNotices(Instant now);
    void onUpstreamLeaving(const std::string& host, Duration notice, bool tellPeers, Instant now);
    void applyAdmissionChanges(Instant now);
    void applyCrashChecks(const std::vector<CrashCheckResult>& results, Instant now);
    void housekeeping(Instant now);
    void moveFromLeaving(Instant now);
    void advanceStop(Instant now);
    std::size_t openRequests() const { return this->transient.open() + this->durable.openCallers(); }

    NodeState state;
    CrashChecks crashChecks;
    DurableRequests durable;
    TransientRequests transient;
    ClusterEvents cluster;
    VersionRollouts rollouts;

    Instant nextHousekeeping {};
    Instant nextCapacity {};
    /// Notice of an upstream.
    struct Leaving {
        /// Configured address of the host that the notice is about; a replacement has another one.
        std::string address;
        /// Time to move the remaining attempts.
        Instant moveAt {};
        bool moved = false;
        Instant stopsAt {};
    };
    std::map<UpstreamId, Leaving> leaving;
    /// Configuration version up to which early notices were applied.
    ConfigurationVersion noticesVersion = 0;
    bool stopping = false;
    bool slotsReleasing = false;
    bool stopped = false;
    Instant releaseAt {};
    Instant stopDeadline {};
};

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
bool Node::stopping() const { return this->impl->stopping; }
const Membership& Node::membership() const { return this->impl->state.membership; }
const Router& Node::router() const { return this->impl->state.router; }
const SlotOwner& Node::slotOwner() const { return this->impl->durable.slotOwner(); }
const NodeStatistics& Node::statistics() const { return this->impl->state.statistics; }
const MoveRecord* Node::move(const ServiceName& service) const { return this->impl->rollouts.move(service); }
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
    const auto parent = parseTraceparent(findHeader(event.headers, "traceparent").value_or(std::string()));
    if (classified.durable())
        this->durable.onArrived(event, classified, parent, now);
    else
        this->transient.onArrived(std::move(event), std::move(classified), parent, now);
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

void Node::Impl::handle(NoticesRead& event, Instant now)
{
    for (const ReclaimNotice& notice : event.notices)
        this->onUpstreamLeaving(notice.host, notice.notice, true, now);
}

std::string Node::Impl::addressOf(const UpstreamId& id) const
{
    if (!this->state.configuration)
        return {};
    for (const ServiceConfiguration& service : this->state.configuration->services) {
        for (const UpstreamConfiguration& upstream : service.upstreams) {
            if (upstream.id == id)
                return upstream.address;
        }
    }
    return {};
}

void Node::Impl::applyEarlyNotices(Instant now)
{
    if (this->noticesVersion == this->state.configurationVersion)
        return;
    this->noticesVersion = this->state.configurationVersion;
    for (auto& [upstream, leave] : this->leaving) {
        if (!leave.address.empty())
            continue;
        leave.address = this->addressOf(upstream);
        if (!leave.address.empty() && now < leave.stopsAt + noticeGrace)
            this->state.router.onUpstreamLeaving(upstream, now);
    }
}

void Node::Impl::onUpstreamLeaving(const std::string& host, Duration notice, bool tellPeers, Instant now)
{
    if (host == this->state.settings.hostName) {
        StopRequested stop { notice };
        this->handle(stop, now);
        return;
    }
    if (this->state.settings.mutations.ignoreNotices)
        return;
    const UpstreamId upstream(host);
    const Instant moveAt = now + std::max<Duration>(notice - this->state.settings.moveBeforeLeave, Duration::zero());
    const std::string address = this->addressOf(upstream);
    const auto known = this->leaving.find(upstream);
    if (known != this->leaving.end() && known->second.address == address)
        return;
    this->leaving.insert_or_assign(upstream, Leaving { address, moveAt, false, now + notice });
    if (tellPeers)
        this->state.broadcast(UpstreamLeaving { upstream, notice });
    this->state.router.onUpstreamLeaving(upstream, now);
    this->rollouts.onUpstreamLost(upstream);
    this->state.broadcastSuspects(this->state.suspects.onReclaimNotice(upstream, now));
    this->state.log(LogLevel::Info, "host will be reclaimed; it gets no new work",
        { { "host", host }, { "noticeMs", std::to_string(notice.count() / 1000) } });
}

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

void Node::Impl::handle(StopRequested& event, Instant now)
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->rollouts.stop();
    // A request that fits in the notice is not cut off by the shorter limit of a stop without one.
    const Duration limit = event.notice ? std::max<Duration>(*event.notice - stopMargin, Duration::zero())
                                        : this->state.settings.drainTimeout;
    this->stopDeadline = now + limit;
    this->releaseAt = now + std::min(this->state.settings.balancerDelay, limit / 4);
    this->state.commands.emplace_back(SetReady { false });
    this->state.log(LogLevel::Info, "stopping", { { "limitMs", std::to_string(limit.count() / 1000) } });
}

void Node::Impl::handle(Tick&, Instant now)
{
    this->durable.onTick(now);
    this->transient.onTick(now);
    if (now >= this->nextHousekeeping)
        this->housekeeping(now);
}

void Node::Impl::housekeeping(Instant now)
{
    this->nextHousekeeping = now + housekeepingPeriod;
    this->cluster.onTick(now);
    this->applyCrashChecks(this->crashChecks.onTick(now), now);
    this->state.suspects.onTick(now);
    this->rollouts.onTick(now);
    this->state.admissionChanges.push_back(this->state.admission.onTick(now));
    for (QueryLoad& query : this->state.poller.onTick(now))
        this->state.commands.emplace_back(std::move(query));
    this->moveFromLeaving(now);
    if (now >= this->nextCapacity) {
        this->nextCapacity = now + capacityPeriod;
        this->state.router.onTick(now);
        this->state.refreshCapacity(now);
    }
    this->advanceStop(now);
}

void Node::Impl::moveFromLeaving(Instant now)
{
    for (auto position = this->leaving.begin(); position != this->leaving.end();) {
        Leaving& entry = position->second;
        if (!entry.moved && entry.moveAt <= now) {
            entry.moved = true;
            this->transient.moveFrom(position->first);
        }
        position = now - entry.moveAt > noticeRetention ? this->leaving.erase(position) : std::next(position);
    }
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

void Node::Impl::advanceStop(Instant now)
{
    if (!this->stopping || this->stopped)
        return;
    if (!this->slotsReleasing && now >= this->releaseAt) {
        this->slotsReleasing = true;
        this->durable.handle(PlannedStop { this->stopDeadline - now }, now);
    }
    const bool drained = this->slotsReleasing && this->durable.stopCompleted() && this->openRequests() == 0;
    if (!drained && now < this->stopDeadline && !this->state.settings.mutations.stopAtOnce)
        return;
    this->stopped = true;
    if (!drained)
        this->state.log(
            LogLevel::Warning, "stopping with open requests", { { "open", std::to_string(this->openRequests()) } });
    this->cluster.leave(now);
    this->state.commands.emplace_back(StopProcess {});
}

} // namespace teaselshore
