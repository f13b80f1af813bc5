#include "teaselshore/routing/overload_controller.hpp"

#include <algorithm>
#include <cmath>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    constexpr Duration stepPeriod = std::chrono::milliseconds(50);
    /// Longest time that is replayed in steps; older samples have no weight left.
    constexpr Duration maxReplay = std::chrono::seconds(5);
    /// Time constant of rates. A node gets 10 to 30 requests a second, so that a shorter one holds too few samples.
    constexpr Duration rateWindow = std::chrono::milliseconds(700);
    constexpr Duration outcomeWindow = std::chrono::milliseconds(700);
    constexpr Duration demandWindow = std::chrono::seconds(2);
    constexpr Duration usualWindow = std::chrono::seconds(60);
    constexpr Duration peakWindow = std::chrono::seconds(10);

    /// Share of missed requests from which a service is short, and the weight of samples that this takes. Single late
    /// responses of a calm service must not start it.
    constexpr double enterShare = 0.15;
    constexpr double enterWeight = 2.5;
    /// The budget shrinks above the upper share and grows below the lower one.
    constexpr double shrinkShare = 0.12;
    constexpr double growShare = 0.06;
    constexpr double shrinkFactor = 0.97;
    constexpr double growFactor = 1.01;
    /// Growth once no request has been missed for quietTime; 1.06 per step doubles the budget in 0.6 s.
    constexpr double quietGrowFactor = 1.06;
    constexpr Duration quietTime = std::chrono::milliseconds(500);
    /// The budget never falls below this part of the recent peak of served cost, nor below this part of what is served
    /// now: what upstreams serve is capacity, even if it is late because of the queues that still have to drain.
    constexpr double minPartOfPeak = 0.5;
    constexpr double minPartOfServed = 0.8;
    /// The budget counts as lowest within this factor, since what is served varies from step to step.
    constexpr double lowestTolerance = 1.1;
    /// Rejections have no effect if responses stay late for this time at the lowest budget.
    constexpr Duration ineffectiveTime = std::chrono::seconds(4);
    constexpr Duration suspensionTime = std::chrono::seconds(30);

    /// Floor of the admitted share of each priority and workspace, as part of that of the service. Above the required
    /// 0.4, since the rates are estimates.
    constexpr double floorShare = 0.7;
    /// Requests of mean cost that a workspace is assumed to send per demand window beside its usual demand. A node sees
    /// few requests of a small workspace, and two in a row are not a burst.
    constexpr double assumedRequests = 2;
    constexpr std::size_t maxWorkspaces = 4096;

    constexpr double firstEventWeight = 0.1;
    constexpr Duration minRetryAfter = std::chrono::milliseconds(300);
    constexpr Duration maxRetryAfter = std::chrono::milliseconds(2000);

    double rate(const DecayingSum& sum, Duration window, Instant now) { return sum.value(now) / toSeconds(window); }

    const WorkspaceName& workspaceOf(const AdmissionOffer& offer)
    {
        static const WorkspaceName nobody;
        return offer.workspace ? *offer.workspace : nobody;
    }

} // namespace

void DecayingSum::add(double value, Instant now)
{
    this->sum = this->value(now) + value;
    this->at = now;
}

double DecayingSum::value(Instant now) const
{
    return this->sum == 0 ? 0 : this->sum * std::exp(-toSeconds(now - this->at) / toSeconds(this->timeConstant));
}

OverloadController::OverloadController(std::uint64_t seed)
    : seed(seed)
{
}

OverloadController::Service& OverloadController::serviceOf(const ServiceName& name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end())
        return found->second;
    return this->services
        .emplace(name, Service { DecayingSum(rateWindow), DecayingSum(rateWindow), 0, {}, {}, {}, {}, {}, {}, {}, {} })
        .first->second;
}

void OverloadController::count(Service& service, const AdmissionOffer& offer, Instant now)
{
    service.offered.add(offer.cost, now);
    Tier& tier = service.tiers.try_emplace(offer.priority, Tier { DecayingSum(rateWindow), DecayingSum(rateWindow) })
                     .first->second;
    tier.requests.add(1, now);
    tier.cost.add(offer.cost, now);
    const WorkspaceName& workspace = workspaceOf(offer);
    if (service.workspaces.size() >= maxWorkspaces && !service.workspaces.contains(workspace))
        service.workspaces.clear();
    WorkspaceDemand& demand
        = service.workspaces.try_emplace(workspace, WorkspaceDemand { DecayingSum(usualWindow), {} }).first->second;
    demand.recent.try_emplace(offer.priority, demandWindow).first->second.add(offer.cost, now);
    // Demand during a shortage is not usual.
    if (!service.budget)
        demand.usual.add(offer.cost, now);
}

bool OverloadController::admits(const AdmissionOffer& offer, Instant now)
{
    this->onTick(now);
    Service& service = this->serviceOf(offer.service);
    this->count(service, offer, now);
    if (service.budget) {
        Tier& tier = service.tiers.at(offer.priority);
        const auto [entry, isNew] = tier.rations.try_emplace(workspaceOf(offer));
        Ration& ration = entry->second;
        if (isNew) {
            ration.share = tier.share;
            // Nodes begin at different points, so that they do not reject the same requests of a workspace at once.
            const Fingerprint hash = combine(this->seed, fingerprint(entry->first.value()));
            ration.credit = static_cast<double>(hash >> 11U) * 0x1p-53;
        }
        ration.credit += ration.share;
        if (ration.credit < 1)
            return false;
        ration.credit -= 1;
    }
    this->watch(offer, now);
    return true;
}

void OverloadController::watch(const AdmissionOffer& offer, Instant now)
{
    const Instant due = now + offer.latencyTarget;
    if (this->watched.emplace(offer.id, Watched { offer.service, offer.route, offer.cost, now, due }).second)
        this->dueTimes.emplace(due, offer.id);
}

void OverloadController::recordMiss(const Watched& watched, Instant now)
{
    Service& service = this->serviceOf(watched.service);
    service.lastMiss = now;
    service.routes.try_emplace(watched.route, RouteState { DecayingSum(outcomeWindow), DecayingSum(outcomeWindow) })
        .first->second.missed.add(1, now);
}

void OverloadController::expireDue(Instant now)
{
    while (!this->dueTimes.empty() && this->dueTimes.begin()->first <= now) {
        const auto [due, id] = *this->dueTimes.begin();
        this->dueTimes.erase(this->dueTimes.begin());
        this->recordMiss(this->watched.at(id), now);
    }
}

void OverloadController::onFirstEvent(const RequestId& request, Instant now)
{
    this->onTick(now);
    const auto found = this->watched.find(request);
    if (found == this->watched.end())
        return;
    const Watched entry = found->second;
    this->watched.erase(found);
    Service& service = this->serviceOf(entry.service);
    service.served.add(entry.cost, now);
    if (this->dueTimes.erase({ entry.due, request }) == 0)
        return;
    RouteState& route
        = service.routes.try_emplace(entry.route, RouteState { DecayingSum(outcomeWindow), DecayingSum(outcomeWindow) })
              .first->second;
    route.inTime.add(1, now);
    const double seconds = toSeconds(now - entry.since);
    route.firstEventSeconds
        += route.firstEventSeconds == 0 ? seconds : firstEventWeight * (seconds - route.firstEventSeconds);
}

void OverloadController::onNoCapacity(const RequestId& request, Instant now)
{
    this->onTick(now);
    const auto found = this->watched.find(request);
    // A late request was counted when it became late.
    if (found != this->watched.end() && this->dueTimes.contains({ found->second.due, request }))
        this->recordMiss(found->second, now);
    this->onEnded(request);
}

void OverloadController::onEnded(const RequestId& request)
{
    const auto found = this->watched.find(request);
    if (found == this->watched.end())
        return;
    this->dueTimes.erase({ found->second.due, request });
    this->watched.erase(found);
}

bool OverloadController::isShort(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.budget;
}

std::uint32_t OverloadController::forwardedPriority(const ServiceName& service, std::uint32_t priority) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.budget)
        return priority;
    const auto tier = found->second.tiers.find(priority);
    if (tier == found->second.tiers.end() || tier->second.share >= 1)
        return priority;
    return found->second.tiers.begin()->first;
}

std::optional<Duration> OverloadController::retryAfter(
    const ServiceName& service, std::uint32_t priority, double draw, Instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.budget)
        return std::nullopt;
    const auto tier = found->second.tiers.find(priority);
    const double share = tier == found->second.tiers.end() ? 1 : tier->second.share;
    // A shortage that has lasted for a time lasts as long again on average; routes that are mostly served get room
    // sooner. The spread is as wide as the estimate, so that callers do not come back together.
    const Duration mean = std::clamp(fromSeconds(toSeconds(now - found->second.shortSince) * (1 - share)),
        2 * minRetryAfter, (minRetryAfter + maxRetryAfter) / 2);
    return minRetryAfter + fromSeconds(2 * toSeconds(mean - minRetryAfter) * draw);
}

std::optional<Duration> OverloadController::expectedFirstEvent(const ServiceName& service, const RouteName& route) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return std::nullopt;
    const auto state = found->second.routes.find(route);
    if (state == found->second.routes.end() || state->second.firstEventSeconds == 0)
        return std::nullopt;
    return fromSeconds(state->second.firstEventSeconds);
}

void OverloadController::onTick(Instant now)
{
    if (this->nextStep < now - maxReplay)
        this->nextStep = now - maxReplay;
    for (; this->nextStep <= now; this->nextStep += stepPeriod) {
        const Instant at = this->nextStep;
        this->expireDue(at);
        for (auto& [name, service] : this->services)
            this->step(name, service, at);
    }
    this->expireDue(now);
}

ServiceShortage OverloadController::inspect(const ServiceName& name, const Service& service, Instant now)
{
    ServiceShortage state;
    state.service = name;
    state.isShort = service.budget.has_value();
    state.offered = rate(service.offered, rateWindow, now);
    state.served = rate(service.served, rateWindow, now);
    state.budget = service.budget.value_or(0);
    for (const auto& [route, outcomes] : service.routes) {
        const double missed = outcomes.missed.value(now);
        if (missed < (service.budget ? 1 : enterWeight))
            continue;
        const double share = missed / (missed + outcomes.inTime.value(now));
        if (share <= state.missedShare)
            continue;
        state.missedShare = share;
        state.worstRoute = route;
    }
    return state;
}

void OverloadController::step(const ServiceName& name, Service& service, Instant now)
{
    const ServiceShortage state = inspect(name, service, now);
    const double decay = std::exp(-toSeconds(stepPeriod) / toSeconds(peakWindow));
    // Kept during a shortage, in which rejections lower what is served.
    service.peakServed = std::max(service.budget ? service.peakServed : service.peakServed * decay, state.served);
    if (!service.budget) {
        if (state.missedShare < enterShare || (service.suspendedUntil && now < *service.suspendedUntil))
            return;
        this->enter(name, service, state, now);
    } else {
        adjustBudget(service, state, now);
    }
    const bool isIneffective = service.ineffectiveSince && now - *service.ineffectiveSince >= ineffectiveTime;
    const bool isOver
        = *service.budget >= state.offered && state.missedShare < shrinkShare && now - service.lastMiss >= quietTime;
    if (isIneffective) {
        service.suspendedUntil = now + suspensionTime;
        this->leave(service, state, now);
    } else if (isOver) {
        this->leave(service, state, now);
    } else {
        this->divideBudget(service, now);
    }
}

void OverloadController::enter(const ServiceName& /*name*/, Service& service, const ServiceShortage& state, Instant now)
{
    service.budget = std::max(service.peakServed, state.served);
    service.shortSince = now;
    service.ineffectiveSince.reset();
    service.suspendedUntil.reset();
    this->changes.push_back(state);
    this->changes.back().isShort = true;
    this->changes.back().budget = *service.budget;
}

void OverloadController::leave(Service& service, ServiceShortage state, Instant now)
{
    state.isShort = false;
    state.isSuspended = service.suspendedUntil.has_value();
    state.since = now - service.shortSince;
    this->changes.push_back(std::move(state));
    service.budget.reset();
    service.ineffectiveSince.reset();
    for (auto& [priority, tier] : service.tiers) {
        tier.share = 1;
        tier.rations.clear();
    }
}

void OverloadController::adjustBudget(Service& service, const ServiceShortage& state, Instant now)
{
    double& budget = *service.budget;
    const double lowest = std::max(minPartOfPeak * service.peakServed, minPartOfServed * state.served);
    if (state.missedShare > shrinkShare) {
        budget = std::max(budget * shrinkFactor, lowest);
        if (budget > lowestTolerance * lowest || state.missedShare < enterShare)
            service.ineffectiveSince.reset();
        else if (!service.ineffectiveSince)
            service.ineffectiveSince = now;
        return;
    }
    service.ineffectiveSince.reset();
    if (now - service.lastMiss >= quietTime)
        budget *= quietGrowFactor;
    else if (state.missedShare < growShare)
        budget *= growFactor;
}

void OverloadController::divideBudget(Service& service, Instant now)
{
    const double offered = rate(service.offered, rateWindow, now);
    const double level = offered > 0 ? std::min(1.0, *service.budget / offered) : 1;
    double requests = 0;
    double cost = 0;
    for (const auto& [priority, tier] : service.tiers) {
        requests += tier.requests.value(now);
        cost += tier.cost.value(now);
    }
    if (requests <= 0 || cost <= 0)
        return;
    // The floor is a part of the share of requests that are admitted, which depends on the floor.
    constexpr int iterations = 4;
    double floor = 0;
    double admitted = level;
    for (int i = 0; i < iterations; ++i) {
        floor = std::min(level, floorShare * admitted);
        double left = std::max(0.0, level - floor);
        admitted = 0;
        for (auto& [priority, tier] : service.tiers) {
            const double part = tier.cost.value(now) / cost;
            const double extra = std::min((1 - floor) * part, left);
            left -= extra;
            tier.share = part > 0 ? floor + extra / part : 1;
            admitted += tier.share * tier.requests.value(now) / requests;
        }
    }
    for (auto& [priority, tier] : service.tiers)
        this->divideTier(service, priority, tier, floor, now);
}

void OverloadController::divideTier(Service& service, std::uint32_t priority, Tier& tier, double floor, Instant now)
{
    struct Claim {
        const WorkspaceName* workspace;
        double demand;
        double weight;
    };
    std::vector<Claim> claims;
    double allDemand = 0;
    double allUsual = 0;
    for (const auto& [name, demand] : service.workspaces) {
        const auto recent = demand.recent.find(priority);
        if (recent == demand.recent.end() || recent->second.value(now) <= 0)
            continue;
        claims.push_back({ &name, recent->second.value(now), demand.usual.value(now) });
        allDemand += claims.back().demand;
        allUsual += claims.back().weight;
    }
    if (claims.empty())
        return;
    const double requests = tier.requests.value(now);
    const double assumed = requests > 0 ? assumedRequests * tier.cost.value(now) / requests : 0;
    for (Claim& claim : claims)
        claim.weight = (allUsual > 0 ? claim.weight / allUsual * allDemand : 0) + assumed + 1e-9;
    // Max-min fairness: those that want least in proportion to their weight are served first.
    std::sort(claims.begin(), claims.end(),
        [](const Claim& a, const Claim& b) { return a.demand * b.weight < b.demand * a.weight; });
    double left = std::max(0.0, tier.share - floor) * allDemand;
    double weights = 0;
    for (const Claim& claim : claims)
        weights += claim.weight;
    for (const Claim& claim : claims) {
        const double extra = std::min((1 - floor) * claim.demand, left * claim.weight / weights);
        left -= extra;
        weights -= claim.weight;
        Ration& ration = tier.rations[*claim.workspace];
        ration.share = std::min(1.0, floor + extra / claim.demand);
    }
}

} // namespace teaselshore
