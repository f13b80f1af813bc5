#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/reliability/circuit_breaker.hpp"
#include "teaselshore/routing/choice_policy.hpp"
#include "teaselshore/routing/load_estimate.hpp"
#include "teaselshore/routing/prefix_index.hpp"
#include "teaselshore/routing/routing_decision.hpp"

namespace teaselshore {

/// @brief Weights of a score for the requests of one kind of class.
struct ScoreWeights {
    double firstToken = 1;
    /// Weight of predicted time beyond the first-token target.
    double overTarget = 4;
    double linkDelay = 1;
    /// Seconds per currency unit of link cost.
    double linkCost = 100;
    /// Seconds for the whole span between the cheapest and the dearest upstream of the pool.
    double price = 0.01;
    /// Seconds of interference on an upstream that is full.
    double interference = 0;

    auto operator<=>(const ScoreWeights&) const = default;
};

struct RouterSettings {
    /// Zone of this node.
    AvailabilityZone zone;
    ChoicePolicy policy = PredictedLatency {};
    std::uint64_t seed = 1;
    /// Tokens per prompt block of RoutingRequest::prefixBlocks.
    std::uint32_t tokensPerBlock = 64;
    PrefixIndexSettings prefixIndex;
    CircuitBreakerSettings circuitBreaker;
    /// Classes with a first-token target.
    ScoreWeights interactive;
    /// Classes without one.
    ScoreWeights batch {
        .firstToken = 0.1, .overTarget = 0, .linkDelay = 1, .linkCost = 1000, .price = 0.5, .interference = 2
    };

    auto operator<=>(const RouterSettings&) const = default;
};

/// @brief Identifies one attempt of a request at one upstream, within one Router.
struct DispatchId {
    std::uint64_t value = 0;

    auto operator<=>(const DispatchId&) const = default;
};

/// @brief How an attempt ended.
enum class AttemptOutcome {
    Completed,
    /// The upstream answered with an error or broke the response.
    Failed,
    /// It did not run: the connection or the request was refused.
    Refused,
    TimedOut,
    /// Ended by the caller or by this node, for instance for preemption; says nothing about the upstream.
    Cancelled,
};

/// @brief State of an upstream as the platform's host list gives it.
struct HostListEntry {
    UpstreamId upstream;
    bool departing = false;

    auto operator<=>(const HostListEntry&) const = default;
};

/// @brief Platform's list of hosts, which is late by its lag.
struct HostList {
    std::vector<HostListEntry> entries;
    Duration lag {};

    auto operator<=>(const HostList&) const = default;
};

enum class UpstreamState {
    Available,
    /// An operator drains it.
    Draining,
    /// It has a reclaim notice, or the host list shows it as departing or no longer at all.
    Leaving,
    /// Its process died; available again with the first load report that is newer than its death.
    Dead,
};

/// @brief What `status` shows about one upstream.
struct UpstreamStatus {
    UpstreamId upstream;
    ServiceName service;
    VersionName version;
    AvailabilityZone zone;
    UpstreamState state = UpstreamState::Available;
    CircuitState circuit = CircuitState::Closed;
    std::uint32_t outstanding = 0;
    std::uint32_t limit = 0;

    auto operator<=>(const UpstreamStatus&) const = default;
};

/// @brief Chooses an upstream for each attempt of a request.
///
/// Holds the upstream table of all services with load estimates, circuit breakers, concurrency limits and the prefix
/// index. A decision scores a bounded set of candidates (upstreams that have or should have the prompt's prefix, the
/// least loaded of a sample of the own zone, of the cheapest, of idle and of remote upstreams), so its cost does not
/// grow with the number of upstreams. Upstreams that are draining, leaving or dead, behind an open circuit breaker or
/// at their concurrency limit get no new work from the event on that says so. Precondition: upstream ids are unique
/// across services. Events about unknown upstreams and ended dispatches are ignored. Not thread-safe.
class Router {
public:
    explicit Router(RouterSettings settings);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    /// @brief Takes over a configuration. Upstreams that stay at the same address keep their state.
    void onConfiguration(const Configuration& configuration, Instant now);

    void onLoadReport(const LoadReport& report, Instant now);
    void onCacheEvent(const CacheEvent& event, Instant now);

    /// @brief Stops new work to an upstream with a reclaim notice; only a new address or onUpstreamRestored() ends it.
    void onUpstreamLeaving(const UpstreamId& upstream, Instant now);
    void onUpstreamDraining(const UpstreamId& upstream, Instant now);
    void onUpstreamDead(const UpstreamId& upstream, Instant now);
    /// @brief Ends draining, leaving or death, after a cancelled drain or reclaim.
    void onUpstreamRestored(const UpstreamId& upstream, Instant now);

    /// @brief Takes over the host list: departing hosts and hosts that it no longer lists are leaving.
    ///
    /// It never ends a leaving state that a notice set, since it may be older than the notice.
    void onHostList(const HostList& list, Instant now);

    /// @brief Sets the share of the service's traffic for one version, relative to the shares of the others.
    ///
    /// Until set, a version without a move-by time has share 1 and one with a move-by time has share 0. A version with
    /// share 0 gets no traffic.
    void setVersionShare(const ServiceName& service, const VersionName& version, double share);

    /// @brief Stops all new work to a version at once, until setVersionShare() is called for it.
    void stopVersion(const ServiceName& service, const VersionName& version);

    /// @brief Returns the upstream for an attempt; nothing with lastError() set if there is none.
    ///
    /// The caller reports the dispatch with onDispatched() before it asks for the next decision.
    std::optional<RoutingDecision> choose(const RoutingRequest& request, Instant now);

    RoutingFailure lastError() const;

    /// @brief Records that an attempt was sent as decided. The result names it in onFirstToken() and onFinished().
    DispatchId onDispatched(const RoutingRequest& request, const RoutingDecision& decision, Instant now);

    /// @brief Reports the first byte of the response.
    void onFirstToken(DispatchId dispatch, Instant now);

    /// @brief Reports the end of an attempt and the number of tokens it generated.
    void onFinished(DispatchId dispatch, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now);

    /// @brief Makes upstreams eligible again whose circuit breaker or load report has aged. Call it every 100 ms or so.
    void onTick(Instant now);

    /// @brief Returns the number of requests that this node may have outstanding at the available upstreams of a
    /// service, for AdmissionController::onCapacity().
    std::uint32_t capacity(const ServiceName& service) const;

    /// @brief Returns the measured work before the first byte that one upstream of the service gets done, token
    /// equivalents per second.
    double prefillRate(const ServiceName& service) const;
    /// @brief Returns the predicted mean time that a request occupies an upstream of the service.
    Duration meanHoldTime(const ServiceName& service) const;

    std::optional<UpstreamStatus> status(const UpstreamId& upstream, Instant now) const;
    std::vector<UpstreamStatus> statuses(Instant now) const;

    /// @brief Returns the approximate memory of the tables, bytes.
    std::size_t memoryBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
