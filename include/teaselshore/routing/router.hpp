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

/// @brief Weights of the score terms for interactive or for batch classes; see ScoreTerms.
struct ScoreWeights {
    double firstToken = 1;
    /// Weight of the predicted time beyond the first-token target.
    double overTarget = 4;
    double linkDelay = 1;
    /// Seconds per currency unit of link cost.
    double linkCost = 100;
    /// Seconds for the difference between the cheapest and the most expensive upstream of the pool.
    double price = 0.01;
    /// Seconds added for an upstream that is full.
    double interference = 0;
    /// Seconds added for an upstream that refuses every request. A refusal costs little time, but a retry from a budget
    /// without which the caller must come back later.
    double refusal = 1;

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
    /// Weights for classes with a first-token target.
    ScoreWeights interactive;
    /// Weights for classes without a first-token target.
    ScoreWeights batch {
        .firstToken = 0.1, .overTarget = 0, .linkDelay = 1, .linkCost = 1000, .price = 0.5, .interference = 2
    };

    auto operator<=>(const RouterSettings&) const = default;
};

/// @brief Identifies one attempt of a request at one upstream; unique within a Router.
struct DispatchId {
    std::uint64_t value = 0;

    auto operator<=>(const DispatchId&) const = default;
};

/// @brief How an attempt ended.
enum class AttemptOutcome {
    Completed,
    /// The upstream returned an error or interrupted the response.
    Failed,
    /// The request did not run: the connection or the request was refused.
    Refused,
    TimedOut,
    /// Ended by the caller or by this node, for instance for preemption; not counted as a fault of the upstream.
    Cancelled,
};

/// @brief State of an upstream in the host list of the platform.
struct HostListEntry {
    UpstreamId upstream;
    bool departing = false;

    auto operator<=>(const HostListEntry&) const = default;
};

/// @brief Host list of the platform, which is out of date by its lag.
struct HostList {
    std::vector<HostListEntry> entries;
    Duration lag {};

    auto operator<=>(const HostList&) const = default;
};

enum class UpstreamState {
    Available,
    /// An operator is draining it.
    Draining,
    /// It has a reclaim notice, or the host list shows it as departing or no longer contains it.
    Leaving,
    /// Its process died; it is available again from the first load report that was measured after that.
    Dead,
};

/// @brief State of one upstream, as `status` shows it.
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
/// index. A decision scores a bounded set of candidates (upstreams that have or should have the prefix of the prompt in
/// their cache, and samples of the nearest, the cheapest, the idle and all eligible upstreams), so its cost does not
/// grow with the number of upstreams. Upstreams that are draining, leaving or dead, behind an open circuit breaker or
/// at their concurrency limit get no new work once the event that says so is applied. Precondition: upstream ids are
/// unique across services. Events about unknown upstreams and ended dispatches are ignored. Not thread-safe.
class Router {
public:
    explicit Router(RouterSettings settings);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    /// @brief Applies a configuration. Upstreams that stay at the same address keep their state.
    void onConfiguration(const Configuration& configuration, Instant now);

    void onLoadReport(const LoadReport& report, Instant now);
    /// @brief Applies a load report that an upstream made to a peer.
    void onPeerLoadReport(const LoadReport& report, Instant now);
    /// @brief Sets the work that some peers have outstanding at an upstream, in token equivalents.
    void onPeerWork(const UpstreamId& upstream, double work, Instant now);
    void onCacheEvent(const CacheEvent& event, Instant now);
    /// @brief Adds how many requests of another node an upstream accepted and refused.
    void onPeerResults(const UpstreamId& upstream, std::uint32_t accepted, std::uint32_t refused, Instant now);

    /// @brief Stops new work to an upstream with a reclaim notice, until its address changes or onUpstreamRestored().
    void onUpstreamLeaving(const UpstreamId& upstream, Instant now);
    void onUpstreamDraining(const UpstreamId& upstream, Instant now);
    void onUpstreamDead(const UpstreamId& upstream, Instant now);
    /// @brief Makes an upstream available again, for instance after a cancelled drain or reclaim.
    void onUpstreamRestored(const UpstreamId& upstream, Instant now);

    /// @brief Applies the host list: hosts that are departing or no longer listed are leaving.
    ///
    /// It never ends a leaving state that a reclaim notice set, since the list may be older than the notice.
    void onHostList(const HostList& list, Instant now);

    /// @brief Sets the share of the service's traffic for one version, relative to the shares of the others.
    ///
    /// Until it is set, the share is 1 for a version without a move-by time and 0 for one with a move-by time. A
    /// version with share 0 gets no traffic.
    void setVersionShare(const ServiceName& service, const VersionName& version, double share);

    /// @brief Stops all new work to a version at once, until setVersionShare() is called for it.
    void stopVersion(const ServiceName& service, const VersionName& version);

    /// @brief Returns the upstream for an attempt, or nothing if there is none; lastFailure() then returns the reason.
    ///
    /// The caller must report the dispatch with onDispatched() before the next call.
    std::optional<RoutingDecision> choose(const RoutingRequest& request, Instant now);

    /// @brief Returns why the last call of choose() returned nothing.
    RoutingFailure lastFailure() const;

    /// @brief Records that an attempt was sent; the result identifies it in onFirstToken() and onFinished().
    DispatchId onDispatched(const RoutingRequest& request, const RoutingDecision& decision, Instant now);

    /// @brief Records the first byte of the response.
    void onFirstToken(DispatchId dispatch, Instant now);

    /// @brief Records the end of an attempt and the number of tokens it generated.
    void onFinished(DispatchId dispatch, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now);

    /// @brief Reevaluates upstreams whose open circuit breaker or full load report has aged. Call it about every 100
    /// ms.
    void onTick(Instant now);

    /// @brief Returns the number of requests that this node may have outstanding at the available upstreams of a
    /// service; input of AdmissionController::onCapacity().
    std::uint32_t capacity(const ServiceName& service) const;

    /// @brief Returns the measured rate at which an upstream of the service processes the work before the first byte,
    /// in token equivalents per second.
    double prefillRate(const ServiceName& service) const;
    /// @brief Returns the measured mean time that a request occupies an upstream of the service.
    Duration meanHoldTime(const ServiceName& service) const;

    /// @brief Returns the age of the youngest load report of an upstream; nothing if there is none.
    std::optional<Duration> loadAge(const UpstreamId& upstream, Instant now) const;
    /// @brief Returns the work before the first byte that this node has outstanding at an upstream, in token
    /// equivalents.
    std::uint32_t outstandingWork(const UpstreamId& upstream) const;
    /// @brief Returns the rate at which an upstream processes the work before the first byte, in token equivalents per
    /// second, as this node or a peer has measured it; 0 if neither has.
    double measuredRate(const UpstreamId& upstream, Instant now) const;
    /// @brief Returns the estimated number of requests that other nodes have outstanding at an upstream.
    double othersOutstanding(const UpstreamId& upstream, Instant now) const;

    std::optional<UpstreamStatus> status(const UpstreamId& upstream, Instant now) const;
    std::vector<UpstreamStatus> statuses(Instant now) const;

    /// @brief Returns the approximate memory of the tables in bytes.
    std::size_t memoryBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
