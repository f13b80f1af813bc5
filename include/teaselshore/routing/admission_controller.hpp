#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"

namespace teaselshore {

struct AdmissionSettings {
    /// Requests that may wait per service.
    std::size_t maximumQueued = 10000;
    /// Requests that one workspace may have waiting per service and priority.
    std::size_t maximumQueuedPerWorkspace = 4000;
    Duration minimumRetryAfter = std::chrono::milliseconds(100);
    Duration maximumRetryAfter = std::chrono::seconds(60);
    /// Time a request occupies its place, before the first release of a service.
    Duration initialHoldTime = std::chrono::seconds(1);

    auto operator<=>(const AdmissionSettings&) const = default;
};

/// @brief What admission needs to know about a request.
struct AdmissionRequest {
    RequestId request;
    ServiceName service;
    ClassName latencyClass;
    WorkspaceName workspace;
    /// Latest time at which the request may start, to end by its deadline.
    Instant startBy {};
    /// Relative amount of work, counted against the share of the workspace; for instance its tokens. Positive.
    double cost = 1;
    /// True if it can stop and be resumed later without loss.
    bool preemptible = false;

    auto operator<=>(const AdmissionRequest&) const = default;
};

/// @brief The request may start now. It occupies a place until onReleased() or onPreempted().
struct Admitted {
    RequestId request;

    auto operator<=>(const Admitted&) const = default;
};

/// @brief The request waits.
struct Queued {
    RequestId request;
    Duration predictedWait {};
    /// Running request of a less urgent class that should stop to make room. It is named once; the caller stops it and
    /// then calls onPreempted() with it, or onReleased() if it ended meanwhile.
    std::optional<RequestId> preempt;

    auto operator<=>(const Queued&) const = default;
};

enum class RejectReason {
    /// It would not start in time.
    DeadlineUnreachable,
    QueueFull,
    /// The service has no capacity at all and the request cannot wait for it.
    NoCapacity,
    UnknownService,
};

/// @brief The request will not run; it may be tried again after the given time.
struct Rejected {
    RequestId request;
    RejectReason reason = RejectReason::DeadlineUnreachable;
    Duration retryAfter {};

    auto operator<=>(const Rejected&) const = default;
};

using AdmissionResult = std::variant<Admitted, Queued, Rejected>;

/// @brief Requests that an event moved out of the queue.
struct AdmissionChanges {
    std::vector<Admitted> admitted;
    /// Could no longer start in time.
    std::vector<Rejected> rejected;

    auto operator<=>(const AdmissionChanges&) const = default;
};

/// @brief Decides when requests start: by priority of their class, then by fair shares of the workspaces.
///
/// Within a priority, workspaces share the capacity of a service in proportion to their configured shares (weighted
/// fair queueing); an unused share goes to the others, so no place stays free while a request waits. A request that is
/// predicted to miss its deadline is rejected on arrival. Not thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionSettings settings = {});
    ~AdmissionController();
    AdmissionController(AdmissionController&&) noexcept;
    AdmissionController& operator=(AdmissionController&&) noexcept;

    /// @brief Takes over priorities and shares. Unknown classes have the lowest priority, unknown workspaces share 1.
    void onConfiguration(const Configuration& configuration, Instant now);

    /// @brief Sets the number of requests of a service that may run at the same time; see Router::capacity().
    AdmissionChanges onCapacity(const ServiceName& service, std::uint32_t capacity, Instant now);

    /// @brief Precondition: the request id neither waits nor runs.
    AdmissionResult onRequest(const AdmissionRequest& request, Instant now);

    /// @brief Frees the place of a request that ended, or drops a waiting one whose caller left.
    AdmissionChanges onReleased(const RequestId& request, Instant now);

    /// @brief Frees the place of a preempted request and puts it at the head of its workspace's queue.
    AdmissionChanges onPreempted(const RequestId& request, Instant now);

    /// @brief Rejects waiting requests that can no longer start in time.
    AdmissionChanges onTick(Instant now);

    std::uint32_t running(const ServiceName& service) const;
    std::size_t queued(const ServiceName& service) const;

    /// @brief Returns the predicted wait of a new request.
    Duration predictedWait(
        const ServiceName& service, const ClassName& latencyClass, const WorkspaceName& workspace) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
