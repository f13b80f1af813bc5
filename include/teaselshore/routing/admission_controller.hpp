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
    /// Maximum number of waiting requests per service.
    std::size_t maximumQueued = 10000;
    /// Maximum number of waiting requests of one workspace per service and priority.
    std::size_t maximumQueuedPerWorkspace = 4000;
    Duration minimumRetryAfter = std::chrono::milliseconds(100);
    Duration maximumRetryAfter = std::chrono::seconds(60);
    /// Assumed time that a request occupies its slot, before the first release of a service.
    Duration initialHoldTime = std::chrono::seconds(1);

    auto operator<=>(const AdmissionSettings&) const = default;
};

/// @brief Properties of a request that its admission depends on.
struct AdmissionRequest {
    RequestId request;
    ServiceName service;
    ClassName latencyClass;
    WorkspaceName workspace;
    /// Latest time at which the request can start and still end by its deadline.
    Instant startBy {};
    /// Relative amount of work that is charged to the share of the workspace, for instance the tokens. Positive.
    double cost = 1;
    /// True if the request can be stopped and resumed later without loss.
    bool preemptible = false;

    auto operator<=>(const AdmissionRequest&) const = default;
};

/// @brief The request may start now. It occupies a slot until onReleased() or onPreempted().
struct Admitted {
    RequestId request;

    auto operator<=>(const Admitted&) const = default;
};

/// @brief The request waits.
struct Queued {
    RequestId request;
    Duration predictedWait {};
    /// Running request of a less urgent class that should stop to make room. Each request is returned here only once;
    /// the caller stops it and then calls onPreempted(), or onReleased() if it has ended in the meantime.
    std::optional<RequestId> preempt;

    auto operator<=>(const Queued&) const = default;
};

enum class RejectReason {
    /// The request would not start in time.
    DeadlineUnreachable,
    QueueFull,
    /// The service has no capacity at all and the request cannot wait until it has.
    NoCapacity,
    UnknownService,
};

/// @brief The request will not run; the caller may retry it after the given time.
struct Rejected {
    RequestId request;
    RejectReason reason = RejectReason::DeadlineUnreachable;
    Duration retryAfter {};

    auto operator<=>(const Rejected&) const = default;
};

using AdmissionResult = std::variant<Admitted, Queued, Rejected>;

/// @brief Waiting requests that an event admitted or rejected.
struct AdmissionChanges {
    std::vector<Admitted> admitted;
    /// Requests that can no longer start in time.
    std::vector<Rejected> rejected;

    auto operator<=>(const AdmissionChanges&) const = default;
};

/// @brief Decides when requests start, by the priority of their class and then by the fair shares of the workspaces.
///
/// Within a priority, workspaces share the capacity of a service in proportion to their configured shares (weighted
/// fair queueing); an unused share goes to the others, so no slot stays free while a request waits. A request that is
/// predicted to miss its deadline is rejected on arrival. Not thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionSettings settings = {});
    ~AdmissionController();
    AdmissionController(AdmissionController&&) noexcept;
    AdmissionController& operator=(AdmissionController&&) noexcept;

    /// @brief Applies priorities and shares. Unknown classes get the lowest priority, unknown workspaces a share of 1.
    void onConfiguration(const Configuration& configuration, Instant now);

    /// @brief Sets the number of requests of a service that may run at the same time; see Router::capacity().
    AdmissionChanges onCapacity(const ServiceName& service, std::uint32_t capacity, Instant now);

    /// @brief Admits, queues or rejects a request. Precondition: no request with this id is waiting or running.
    AdmissionResult onRequest(const AdmissionRequest& request, Instant now);

    /// @brief Frees the slot of a request that ended, or removes a waiting request whose caller disconnected.
    AdmissionChanges onReleased(const RequestId& request, Instant now);

    /// @brief Frees the slot of a preempted request and puts it at the head of the queue of its workspace.
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
