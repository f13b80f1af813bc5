#include "teaselshore/routing/admission_controller.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

#include "teaselshore/base/assert.hpp"

#include "fair_queue.hpp"

namespace teaselshore {

namespace {

    constexpr std::uint32_t lowestPriority = std::numeric_limits<std::uint32_t>::max();
    /// Weight of a sample in the moving average of the hold time.
    constexpr double holdTimeSampleWeight = 0.05;
    /// Added to the predicted wait while a service has no capacity at all.
    constexpr Duration noCapacityWait = std::chrono::seconds(5);
    /// A waiting request is rejected when this fraction of its predicted wait no longer fits before its latest start.
    /// Below 1, since a rejection is final and the prediction may be too high.
    constexpr double expiryWaitFraction = 0.7;
    constexpr double maximumWaitSeconds = 24 * 3600;

    struct Running {
        AdmissionRequest request;
        std::uint32_t priority = 0;
        Instant startedAt {};
        /// Set once the request has been returned in Queued::preempt.
        bool preemptionRequested = false;
    };

    struct Service {
        std::uint32_t capacity = 0;
        std::uint32_t running = 0;
        /// Running requests that were selected for preemption and have not stopped yet.
        std::size_t pendingPreemptions = 0;
        double holdSeconds = 0;
        std::map<std::uint32_t, FairQueue> queues;
        /// Preemptible running requests by priority and start time, without those already selected.
        std::set<std::tuple<std::uint32_t, Instant, RequestId>> preemptible;

        std::size_t queued() const
        {
            std::size_t sum = 0;
            for (const auto& [priority, queue] : this->queues)
                sum += queue.size();
            return sum;
        }
    };

    struct Waiting {
        ServiceName service;
        std::uint32_t priority = 0;
        WorkspaceName workspace;
    };

} // namespace

struct AdmissionController::Impl {
    explicit Impl(AdmissionSettings settings)
        : settings(settings)
    {
    }

    std::uint32_t priorityOf(const ClassName& latencyClass) const
    {
        const auto found = this->priorities.find(latencyClass);
        return found == this->priorities.end() ? lowestPriority : found->second;
    }

    FairQueue& queueOf(Service& service, std::uint32_t priority)
    {
        return service.queues.try_emplace(priority, this->shares).first->second;
    }

    Service& serviceOf(const ServiceName& name)
    {
        const auto [found, isNew] = this->services.try_emplace(name);
        if (isNew)
            found->second.holdSeconds = toSeconds(this->settings.initialHoldTime);
        return found->second;
    }

    Duration predictWait(const Service& service, std::uint32_t priority, double aheadInQueue) const;
    std::optional<Rejected> rejectionFor(
        const Service& service, const AdmissionRequest& request, std::uint32_t priority, Instant now);
    Duration retryAfter(Duration wait, const AdmissionRequest& request, Instant now) const;
    void start(Service& service, const AdmissionRequest& request, std::uint32_t priority, Instant now);
    std::optional<Running> removeRunning(const RequestId& request);
    std::optional<RequestId> selectForPreemption(Service& service, std::uint32_t priority);
    void admitWaiting(Service& service, AdmissionChanges& changes, Instant now);
    void rejectExpired(
        const Service& service, std::uint32_t priority, FairQueue& queue, AdmissionChanges& changes, Instant now);

    AdmissionSettings settings;
    FairQueue::Shares shares;
    std::unordered_map<ClassName, std::uint32_t> priorities;
    std::unordered_map<ServiceName, Service> services;
    std::unordered_map<RequestId, Running> running;
    std::unordered_map<RequestId, Waiting> waiting;
};

Duration AdmissionController::Impl::predictWait(
    const Service& service, std::uint32_t priority, double aheadInQueue) const
{
    double ahead = aheadInQueue;
    for (const auto& [other, queue] : service.queues) {
        if (other < priority)
            ahead += static_cast<double>(queue.size());
    }
    if (service.running < service.capacity && ahead == 0)
        return Duration {};
    const double slots = std::max(1U, service.capacity);
    const double seconds = (ahead + 1) * service.holdSeconds / slots;
    const Duration wait = fromSeconds(std::min(seconds, maximumWaitSeconds));
    return service.capacity == 0 ? wait + noCapacityWait : wait;
}

Duration AdmissionController::Impl::retryAfter(Duration wait, const AdmissionRequest& request, Instant now) const
{
    const Duration slack = std::max(Duration {}, request.startBy - now);
    return std::clamp(wait - slack, this->settings.minimumRetryAfter, this->settings.maximumRetryAfter);
}

std::optional<Rejected> AdmissionController::Impl::rejectionFor(
    const Service& service, const AdmissionRequest& request, std::uint32_t priority, Instant now)
{
    const auto found = service.queues.find(priority);
    const std::size_t own = found == service.queues.end() ? 0 : found->second.sizeOf(request.workspace);
    const double ahead = found == service.queues.end() ? 0 : found->second.requestsAhead(request.workspace, own);
    const Duration wait = this->predictWait(service, priority, ahead);
    const bool full
        = service.queued() >= this->settings.maximumQueued || own >= this->settings.maximumQueuedPerWorkspace;
    if (full && service.running >= service.capacity)
        return Rejected { request.request, RejectReason::QueueFull, this->retryAfter(wait, request, now) };
    if (now + wait <= request.startBy)
        return std::nullopt;
    const RejectReason reason = service.capacity == 0 ? RejectReason::NoCapacity : RejectReason::DeadlineUnreachable;
    return Rejected { request.request, reason, this->retryAfter(wait, request, now) };
}

void AdmissionController::Impl::start(
    Service& service, const AdmissionRequest& request, std::uint32_t priority, Instant now)
{
    service.running++;
    this->running.emplace(request.request, Running { request, priority, now, false });
    if (request.preemptible)
        service.preemptible.emplace(priority, now, request.request);
}

std::optional<Running> AdmissionController::Impl::removeRunning(const RequestId& request)
{
    const auto found = this->running.find(request);
    if (found == this->running.end())
        return std::nullopt;
    Running removed = std::move(found->second);
    this->running.erase(found);
    Service& service = this->serviceOf(removed.request.service);
    TEASELSHORE_ASSERT(service.running > 0, "more releases than admissions");
    service.running--;
    if (removed.preemptionRequested)
        service.pendingPreemptions--;
    else
        service.preemptible.erase({ removed.priority, removed.startedAt, request });
    return removed;
}

std::optional<RequestId> AdmissionController::Impl::selectForPreemption(Service& service, std::uint32_t priority)
{
    // Each request already selected will make room for one waiting request.
    std::size_t urgent = 0;
    for (const auto& [other, queue] : service.queues) {
        if (other <= priority)
            urgent += queue.size();
    }
    if (urgent <= service.pendingPreemptions || service.preemptible.empty())
        return std::nullopt;
    // Selects the least urgent request and, among equals, the one that started last, which loses the least work.
    const auto victim = std::prev(service.preemptible.end());
    if (std::get<0>(*victim) <= priority)
        return std::nullopt;
    const RequestId id = std::get<2>(*victim);
    service.preemptible.erase(victim);
    service.pendingPreemptions++;
    this->running.at(id).preemptionRequested = true;
    return id;
}

void AdmissionController::Impl::admitWaiting(Service& service, AdmissionChanges& changes, Instant now)
{
    for (auto& [priority, queue] : service.queues) {
        while (service.running < service.capacity) {
            const std::optional<AdmissionRequest> next = queue.pop();
            if (!next)
                break;
            this->waiting.erase(next->request);
            if (next->startBy < now) {
                changes.rejected.push_back(
                    { next->request, RejectReason::DeadlineUnreachable, this->settings.minimumRetryAfter });
                continue;
            }
            this->start(service, *next, priority, now);
            changes.admitted.push_back({ next->request });
        }
    }
}

void AdmissionController::Impl::rejectExpired(
    const Service& service, std::uint32_t priority, FairQueue& queue, AdmissionChanges& changes, Instant now)
{
    const auto isExpired = [&](const AdmissionRequest& request, double ahead) {
        const Duration wait = this->predictWait(service, priority, ahead);
        return request.startBy < now + fromSeconds(expiryWaitFraction * toSeconds(wait));
    };
    for (const AdmissionRequest& expired : queue.removeExpired(isExpired)) {
        this->waiting.erase(expired.request);
        const Duration wait = this->predictWait(service, priority, static_cast<double>(queue.size()));
        changes.rejected.push_back(
            { expired.request, RejectReason::DeadlineUnreachable, this->retryAfter(wait, expired, now) });
    }
}

AdmissionController::AdmissionController(AdmissionSettings settings)
    : impl(std::make_unique<Impl>(settings))
{
}

AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::onConfiguration(const Configuration& configuration, Instant)
{
    this->impl->priorities.clear();
    for (const ClassConfiguration& latencyClass : configuration.classes)
        this->impl->priorities[latencyClass.name] = latencyClass.priority;
    this->impl->shares.clear();
    for (const WorkspaceConfiguration& workspace : configuration.workspaces)
        this->impl->shares[workspace.name] = workspace.share;
    for (const ServiceConfiguration& service : configuration.services)
        this->impl->serviceOf(service.name);
    for (auto& [name, service] : this->impl->services) {
        for (auto& [priority, queue] : service.queues)
            queue.onSharesChanged();
    }
}

AdmissionChanges AdmissionController::onCapacity(const ServiceName& name, std::uint32_t capacity, Instant now)
{
    Service& service = this->impl->serviceOf(name);
    service.capacity = capacity;
    AdmissionChanges changes;
    this->impl->admitWaiting(service, changes, now);
    return changes;
}

AdmissionResult AdmissionController::onRequest(const AdmissionRequest& request, Instant now)
{
    const auto found = this->impl->services.find(request.service);
    if (found == this->impl->services.end())
        return Rejected { request.request, RejectReason::UnknownService, this->impl->settings.maximumRetryAfter };
    TEASELSHORE_ASSERT(!this->impl->running.contains(request.request) && !this->impl->waiting.contains(request.request),
        "request already admitted or queued");

    Service& service = found->second;
    const std::uint32_t priority = this->impl->priorityOf(request.latencyClass);
    if (std::optional<Rejected> rejected = this->impl->rejectionFor(service, request, priority, now))
        return *rejected;
    FairQueue& queue = this->impl->queueOf(service, priority);
    if (service.running < service.capacity) {
        queue.recordStart(request);
        this->impl->start(service, request, priority, now);
        return Admitted { request.request };
    }

    const Duration wait = this->impl->predictWait(
        service, priority, queue.requestsAhead(request.workspace, queue.sizeOf(request.workspace)));
    queue.push(request, false);
    this->impl->waiting[request.request] = { request.service, priority, request.workspace };
    return Queued { request.request, wait, this->impl->selectForPreemption(service, priority) };
}

AdmissionChanges AdmissionController::onReleased(const RequestId& request, Instant now)
{
    AdmissionChanges changes;
    const auto waiting = this->impl->waiting.find(request);
    if (waiting != this->impl->waiting.end()) {
        Service& service = this->impl->serviceOf(waiting->second.service);
        this->impl->queueOf(service, waiting->second.priority).erase(waiting->second.workspace, request);
        this->impl->waiting.erase(waiting);
        return changes;
    }
    const std::optional<Running> removed = this->impl->removeRunning(request);
    if (!removed)
        return changes;
    Service& service = this->impl->serviceOf(removed->request.service);
    service.holdSeconds += holdTimeSampleWeight * (toSeconds(now - removed->startedAt) - service.holdSeconds);
    this->impl->admitWaiting(service, changes, now);
    return changes;
}

AdmissionChanges AdmissionController::onPreempted(const RequestId& request, Instant now)
{
    AdmissionChanges changes;
    const std::optional<Running> removed = this->impl->removeRunning(request);
    if (!removed)
        return changes;
    Service& service = this->impl->serviceOf(removed->request.service);
    this->impl->queueOf(service, removed->priority).push(removed->request, true);
    this->impl->waiting[request] = { removed->request.service, removed->priority, removed->request.workspace };
    this->impl->admitWaiting(service, changes, now);
    return changes;
}

AdmissionChanges AdmissionController::onTick(Instant now)
{
    AdmissionChanges changes;
    for (auto& [name, service] : this->impl->services) {
        this->impl->admitWaiting(service, changes, now);
        for (auto& [priority, queue] : service.queues) {
            this->impl->rejectExpired(service, priority, queue, changes, now);
            queue.prune();
        }
    }
    return changes;
}

std::uint32_t AdmissionController::running(const ServiceName& service) const
{
    const auto found = this->impl->services.find(service);
    return found == this->impl->services.end() ? 0 : found->second.running;
}

std::size_t AdmissionController::queued(const ServiceName& service) const
{
    const auto found = this->impl->services.find(service);
    return found == this->impl->services.end() ? 0 : found->second.queued();
}

Duration AdmissionController::predictedWait(
    const ServiceName& name, const ClassName& latencyClass, const WorkspaceName& workspace) const
{
    const auto found = this->impl->services.find(name);
    if (found == this->impl->services.end())
        return this->impl->settings.maximumRetryAfter;
    const std::uint32_t priority = this->impl->priorityOf(latencyClass);
    const auto queue = found->second.queues.find(priority);
    const double ahead = queue == found->second.queues.end()
        ? 0
        : queue->second.requestsAhead(workspace, queue->second.sizeOf(workspace));
    return this->impl->predictWait(found->second, priority, ahead);
}

} // namespace teaselshore
