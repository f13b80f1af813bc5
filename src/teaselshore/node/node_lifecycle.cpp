#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "node_impl.hpp"

namespace teaselshore {

namespace {

    constexpr Duration housekeepingPeriod = std::chrono::milliseconds(20);
    constexpr Duration capacityPeriod = std::chrono::milliseconds(100);
    constexpr Duration noticeRetention = std::chrono::minutes(10);
    /// A configuration that comes later than this after the end of a notice may name the replacement already.
    constexpr Duration noticeGrace = std::chrono::seconds(2);

} // namespace

void Node::Impl::handle(NoticesRead& event, Instant now)
{
    for (const ReclaimNotice& notice : event.notices)
        this->onUpstreamLeaving(notice.host, notice.notice, true, now);
}

std::string Node::Impl::addressOf(const UpstreamId& id) const
{
    const UpstreamConfiguration* upstream = this->state.findUpstream(id);
    return upstream ? upstream->address : std::string();
}

void Node::Impl::applyEarlyNotices(Instant now)
{
    if (this->noticesVersion == this->state.configurationVersion)
        return;
    this->noticesVersion = this->state.configurationVersion;
    for (auto& [upstream, leave] : this->leaving) {
        if (!leave.address.empty())
            continue;
        const std::string address = this->addressOf(upstream);
        if (address.empty() || address == leave.replacedAddress)
            continue;
        leave.address = address;
        if (now < leave.stopsAt + noticeGrace)
            this->state.router.onUpstreamLeaving(upstream, now);
    }
}

void Node::Impl::onUpstreamLeaving(const std::string& host, Duration notice, bool tellPeers, Instant now)
{
    if (host == this->state.settings.hostName) {
        StopRequested stop { notice, std::nullopt };
        this->handle(stop, now);
        return;
    }
    if (this->state.settings.mutations.ignoreNotices)
        return;
    const UpstreamId upstream(host);
    const Instant moveAt = now + std::max<Duration>(notice - this->state.settings.moveBeforeLeave, Duration::zero());
    const std::string address = this->addressOf(upstream);
    const auto known = this->leaving.find(upstream);
    const bool isKnown = known != this->leaving.end()
        && (known->second.address == address || known->second.replacedAddress == address);
    // A notice that ends much later is about the replacement, whose address the configuration does not show yet.
    if (isKnown && now + notice <= known->second.stopsAt + noticeGrace)
        return;
    this->leaving.insert_or_assign(upstream,
        isKnown ? Leaving { {}, address, moveAt, false, now + notice }
                : Leaving { address, {}, moveAt, false, now + notice });
    if (tellPeers)
        this->state.broadcast(UpstreamLeaving { upstream, notice });
    this->state.router.onUpstreamLeaving(upstream, now);
    this->rollouts.onUpstreamLost(upstream);
    this->state.broadcastSuspects(this->state.suspects.onReclaimNotice(upstream, now));
    this->state.log(LogLevel::Info, "host will be reclaimed; it gets no new work",
        { { "host", host }, { "noticeMs", std::to_string(notice.count() / 1000) } });
}

void Node::Impl::handle(StopRequested& event, Instant now)
{
    if (this->stop)
        return;
    const Instant receivedAt = std::min(event.receivedAt.value_or(now), now);
    // A request that fits in the notice is not cut off by the shorter limit of a stop without one.
    const Duration limit = event.notice.value_or(this->state.settings.drainTimeout);
    this->stop = StopSchedule(receivedAt, now, limit);
    this->rollouts.stop();
    this->releaseAt
        = std::min(now + std::min(this->state.settings.balancerDelay, limit / 4), this->stop->requestsEnd());
    this->state.commands.emplace_back(SetReady { false });
    this->state.log(LogLevel::Info, "stopping",
        { { "limitMs", std::to_string(limit.count() / 1000) },
            { "lateMs", fmt::format("{:.1f}", toMilliseconds(now - receivedAt)) } });
}

bool Node::Impl::mayOutlastStop(const ClassifiedRequest& request, Instant now) const
{
    // Until then the load balancer sends requests, whose callers know of no other node.
    if (!this->stop || now < this->releaseAt)
        return false;
    // The journal answers both, and a key may have run already.
    if (request.respondAsync || request.key)
        return false;
    return now + request.timeLimit > this->stop->requestsEnd();
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

void Node::Impl::advanceStop(Instant now)
{
    if (!this->stop || this->stopped)
        return;
    if (!this->slotsReleasing && now >= this->releaseAt) {
        this->slotsReleasing = true;
        this->durable.handle(PlannedStop { this->stop->requestsEnd() - now }, now);
    }
    const bool drained = this->slotsReleasing && this->durable.stopCompleted() && this->openRequests() == 0;
    if (!drained && now < this->stop->requestsEnd() && !this->state.settings.mutations.stopAtOnce)
        return;
    this->stopped = true;
    if (!drained)
        this->state.log(
            LogLevel::Warning, "stopping with open requests", { { "open", std::to_string(this->openRequests()) } });
    this->transient.endAll(now);
    this->durable.endCallers(now);
    this->cluster.leave(now);
    this->state.commands.emplace_back(StopProcess { this->stop->processEnd() });
}

} // namespace teaselshore
