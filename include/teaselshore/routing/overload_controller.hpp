#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Sum of values that lose weight exponentially with their age.
class DecayingSum {
public:
    explicit DecayingSum(Duration timeConstant)
        : timeConstant(timeConstant)
    {
    }

    void add(double value, Instant now);
    double value(Instant now) const;

private:
    Duration timeConstant;
    double sum = 0;
    Instant at {};
};

/// @brief What the admission of a request depends on.
struct AdmissionOffer {
    RequestId id;
    ServiceName service;
    RouteName route;
    std::optional<WorkspaceName> workspace;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Work of the request, in token equivalents.
    double cost = 1;
    Duration latencyTarget {};

    auto operator<=>(const AdmissionOffer&) const = default;
};

/// @brief Shortage state of one service with the figures that led to it.
struct ServiceShortage {
    ServiceName service;
    bool isShort = false;
    /// True if admission ends although responses are late, since rejections did not help.
    bool isSuspended = false;
    /// Largest share, over the routes, of recent requests that were late or found no capacity.
    double missedShare = 0;
    RouteName worstRoute;
    /// Cost per second that recently arrived, that got a first event, and that is admitted.
    double offered = 0;
    double served = 0;
    double budget = 0;
    /// How long the service has been short.
    Duration since {};
};

/// @brief Decides during a shortage of capacity which requests of a service a node admits.
///
/// A service is short while too many of the node's admitted requests are late (no first event within the latency
/// target, whether or not it has arrived since) or find no capacity. The node then admits a budget of cost per second,
/// which starts at what the service recently served, shrinks in small steps while requests are late and grows in small
/// steps while they are not. The budget is divided by priority, and within a priority over the workspaces in proportion
/// to their usual demand; what a workspace does not use is lent to others. Each priority and workspace keeps at least
/// a share of the admission ratio of the service. All requests of a priority and workspace have the same chance,
/// whatever their size. Without a shortage every request is admitted.
///
/// Lateness that rejections do not mend is not a shortage: after some seconds at the lowest budget, the controller
/// suspends itself for that service. Pure; not thread-safe. Methods must be called with non-decreasing times.
class OverloadController {
public:
    /// @brief The seed makes nodes differ in which requests of a workspace they admit.
    explicit OverloadController(std::uint64_t seed);

    /// @brief Counts an offered request and returns whether it is admitted. An admitted request is watched until
    /// onEnded().
    bool admits(const AdmissionOffer& offer, Instant now);
    /// @brief Watches a request that is not subject to admission.
    void watch(const AdmissionOffer& offer, Instant now);

    /// @brief Records the first event of the response, or the response itself if it is no stream.
    void onFirstEvent(const RequestId& request, Instant now);
    /// @brief Records that an admitted request ends without having run, for lack of capacity.
    void onNoCapacity(const RequestId& request, Instant now);
    /// @brief Ends watching; the request says nothing about capacity unless it had a first event or was late.
    void onEnded(const RequestId& request);

    bool isShort(const ServiceName& service) const;
    /// @brief Returns the priority with which an admitted request is sent to an upstream: the most urgent one of the
    /// service if the request's priority is rationed, and its own otherwise.
    ///
    /// Upstreams that serve strictly by priority would starve the few less urgent requests that were admitted.
    std::uint32_t forwardedPriority(const ServiceName& service, std::uint32_t priority) const;
    /// @brief Returns the estimated time until a rejected request would be admitted, spread over the callers by `draw`
    /// in [0, 1); nothing if the service is not short.
    std::optional<Duration> retryAfter(
        const ServiceName& service, std::uint32_t priority, double draw, Instant now) const;
    /// @brief Returns the mean time to the first event of the route's responses in time; nothing if there is none.
    std::optional<Duration> expectedFirstEvent(const ServiceName& service, const RouteName& route) const;

    /// @brief Applies the time that has passed since the last call.
    void onTick(Instant now);
    /// @brief Returns the services that became short or recovered since the last call.
    std::vector<ServiceShortage> takeChanges() { return std::exchange(this->changes, {}); }

private:
    struct Watched {
        ServiceName service;
        RouteName route;
        double cost = 0;
        Instant since {};
        Instant due {};
    };

    struct RouteState {
        DecayingSum inTime;
        DecayingSum missed;
        /// Mean over responses in time, in seconds; 0 without one.
        double firstEventSeconds = 0;
    };

    struct WorkspaceDemand {
        DecayingSum usual;
        /// Recent demand by priority.
        std::map<std::uint32_t, DecayingSum> recent;
    };

    /// Share of the requests of one workspace and priority that is admitted.
    struct Ration {
        double share = 1;
        /// Fraction of a request that is due; a request is admitted once it reaches 1.
        double credit = 0;
    };

    struct Tier {
        DecayingSum requests;
        DecayingSum cost;
        double share = 1;
        std::map<WorkspaceName, Ration> rations;
    };

    struct Service {
        DecayingSum offered;
        DecayingSum served;
        /// Largest recent rate of served cost.
        double peakServed = 0;
        std::map<RouteName, RouteState> routes;
        std::map<std::uint32_t, Tier> tiers;
        std::map<WorkspaceName, WorkspaceDemand> workspaces;
        /// Admitted cost per second; nothing while the service is not short.
        std::optional<double> budget;
        Instant shortSince {};
        Instant lastMiss {};
        /// Since when the budget has been as low as it may be without effect.
        std::optional<Instant> ineffectiveSince;
        std::optional<Instant> suspendedUntil;
    };

    Service& serviceOf(const ServiceName& name);
    void count(Service& service, const AdmissionOffer& offer, Instant now);
    void recordMiss(const Watched& watched, Instant now);
    void expireDue(Instant now);
    void step(const ServiceName& name, Service& service, Instant now);
    void enter(const ServiceName& name, Service& service, const ServiceShortage& state, Instant now);
    void leave(Service& service, ServiceShortage state, Instant now);
    static void adjustBudget(Service& service, const ServiceShortage& state, Instant now);
    void divideBudget(Service& service, Instant now);
    void divideTier(Service& service, std::uint32_t priority, Tier& tier, double floor, Instant now);
    static ServiceShortage inspect(const ServiceName& name, const Service& service, Instant now);

    std::uint64_t seed;
    std::map<ServiceName, Service> services;
    std::unordered_map<RequestId, Watched> watched;
    std::set<std::pair<Instant, RequestId>> dueTimes;
    Instant nextStep {};
    std::vector<ServiceShortage> changes;
};

} // namespace teaselshore
