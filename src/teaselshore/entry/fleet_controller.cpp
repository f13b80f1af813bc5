#include "fleet_controller.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    /// Delay before an order that was refused or not answered is sent again.
    constexpr Duration retryDelay = std::chrono::milliseconds(700);
    /// Added to the boot time before missing upstreams are ordered again, for registration and its notification.
    constexpr Duration bootMargin = std::chrono::milliseconds(2500);

    /// The upstreams of a new deployment register one by one; they are counted once their number has not changed for
    /// this time, twice the period in which upstreams renew their registration.
    constexpr Duration settleDelay = std::chrono::milliseconds(2500);

    /// Time after a refusal for which reclaimable upstreams count as scarce; must be longer than the retry delay.
    constexpr Duration scarcityDuration = std::chrono::seconds(2);

    std::string baselineKey(const ServiceName& service) { return "fleet/" + service.value(); }

} // namespace

FleetController::FleetController(EntryState& state, ObjectCallIds& ids)
    : state(state)
    , ids(ids)
{
}

void FleetController::onTick(
    std::optional<FencedHolder> holder, const LiveReports& reports, const EntryRollouts& rollouts, Instant now)
{
    if (!holder || !this->state.table || !this->state.directory.hasSynced())
        return;
    for (const EntryService& service : this->state.table->configuration().services) {
        // During a rollout the platform starts and stops upstreams, and those of both versions are counted.
        if (service.scale && !rollouts.isActive(service.name))
            this->planService(service, *holder, reports, now);
    }
}

FleetState FleetController::fleetState(const EntryService& service, Instant now) const
{
    FleetState fleet;
    fleet.minimum = service.scale->minimum;
    fleet.maximum = service.scale->maximum;
    fleet.reclaimablePrice = service.scale->reclaimablePrice;
    const std::vector<RegisteredUpstream> upstreams = this->state.directory.upstreams();
    for (const AvailabilityZone& zone : this->state.settings.host.zones) {
        // The other zones are planned as if this one did not exist. Their additional upstreams are kept until those of
        // a zone that has just returned, which may be cold, have had time to start.
        if (this->state.evacuated.containedSince(zone, now - service.scale->bootTime - bootMargin))
            continue;
        FleetZone entry { zone, 1, 0, 0 };
        const auto price = service.scale->zonePrices.find(zone);
        if (price != service.scale->zonePrices.end())
            entry.price = price->second;
        for (const RegisteredUpstream& upstream : upstreams) {
            if (upstream.service != service.name || upstream.zone != zone)
                continue;
            fleet.reclaimableScarce = fleet.reclaimableScarce || (upstream.draining && upstream.reclaimable);
            if (upstream.draining)
                continue;
            ++(upstream.reclaimable ? entry.reclaimable : entry.onDemand);
        }
        fleet.zones.push_back(entry);
    }
    return fleet;
}

std::optional<std::uint32_t> FleetController::baseline(const EntryService& service, Instant now)
{
    Baseline& entry = this->baselines[service.name];
    if (entry.upstreams || entry.isPending || now < entry.nextAttempt)
        return entry.upstreams;
    if (!entry.isMissing) {
        this->readBaseline(service.name);
        return std::nullopt;
    }
    std::uint32_t registered = 0;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams())
        registered += upstream.service == service.name ? 1 : 0;
    if (registered != entry.registered) {
        entry.registered = registered;
        entry.registeredChangedAt = now;
    }
    if (registered == 0 || now - entry.registeredChangedAt < settleDelay)
        return std::nullopt;
    this->createBaseline(service.name, registered);
    return std::nullopt;
}

void FleetController::onPlatformRestored()
{
    for (const auto& [service, entry] : this->baselines) {
        if (entry.upstreams)
            this->createBaseline(service, *entry.upstreams);
    }
}

void FleetController::createBaseline(const ServiceName& service, std::uint32_t upstreams)
{
    this->baselines[service].isPending = true;
    const ObjectCallId id = this->ids.next();
    this->objectCalls.emplace(id, service);
    const std::string value = toJsonText(Json { { "upstreams", upstreams } });
    this->state.commands.emplace_back(CallObjectApi { ObjectCreate { id, baselineKey(service), value } });
}

void FleetController::readBaseline(const ServiceName& service)
{
    this->baselines[service].isPending = true;
    const ObjectCallId id = this->ids.next();
    this->objectCalls.emplace(id, service);
    this->state.commands.emplace_back(CallObjectApi { ObjectRead { id, baselineKey(service) } });
}

void FleetController::onObjectResult(const ObjectResult& result, Instant now)
{
    const auto call = this->objectCalls.extract(result.id);
    const ServiceName& service = call.mapped();
    Baseline& entry = this->baselines[service];
    entry.isPending = false;
    if (result.outcome == ObjectOutcome::Ok && !result.value.empty()) {
        const Json value = Json::parse(result.value, nullptr, false);
        if (value.is_object() && value.contains("upstreams") && value.at("upstreams").is_number_unsigned()) {
            entry.upstreams = value.at("upstreams").get<std::uint32_t>();
            this->state.log(LogLevel::Info, "size of the service's fleet at its start",
                { { "service", service.value() }, { "upstreams", std::to_string(*entry.upstreams) } });
            return;
        }
    }
    entry.isMissing = result.outcome == ObjectOutcome::NotFound;
    // Otherwise the object was created by this call, by another holder, or by a call whose answer was lost, or it
    // cannot be read now; the stored value is authoritative.
    if (!entry.isMissing)
        entry.nextAttempt = now + retryDelay;
}

std::optional<double> FleetController::busyUpstreams(const ServiceName& service, const LiveReports& reports) const
{
    double tokens = 0;
    for (const NodeReport& report : reports) {
        const auto found = report.demand.find(service);
        if (found != report.demand.end())
            tokens += found->second.promptTokensPerSecond;
    }
    if (tokens <= 0)
        return std::nullopt;
    return tokens / this->state.router.prefillRate(service);
}

void FleetController::planService(
    const EntryService& service, const FencedHolder& holder, const LiveReports& reports, Instant now)
{
    const std::optional<std::uint32_t> baseline = this->baseline(service, now);
    if (!baseline)
        return;
    FleetState fleet = this->fleetState(service, now);
    fleet.baseline = *baseline;
    fleet.busyUpstreams = this->busyUpstreams(service.name, reports);
    const auto refused = this->reclaimableRefusedAt.find(service.name);
    if (refused != this->reclaimableRefusedAt.end() && now - refused->second < scarcityDuration)
        fleet.reclaimableScarce = true;
    for (FleetZone& zone : fleet.zones) {
        // Ordered upstreams are counted while they boot; otherwise the next plan would cancel the order.
        const auto order = this->orders.find({ service.name, zone.zone, false });
        if (order != this->orders.end() && order->second.acceptedCount
            && now - order->second.acceptedAt < service.scale->bootTime + bootMargin)
            zone.onDemand = std::max(zone.onDemand, *order->second.acceptedCount);
    }
    this->lastBusyUpstreams = fleet.busyUpstreams.value_or(0);
    const std::vector<FleetTarget> targets = planFleet(fleet);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const FleetTarget& target = targets[index];
        const FleetZone& zone = fleet.zones[index];
        this->orderIfDue({ service.name, target.zone, true }, target.reclaimable, zone.reclaimable,
            service.scale->bootTime, holder, now);
        // Both kinds share the maximum of the zone, so that on-demand upstreams may have to be released first.
        const std::uint32_t room = fleet.maximum - std::min(fleet.maximum, zone.onDemand);
        const bool isReplaced = zone.reclaimable >= std::min(target.reclaimable, room);
        if (target.onDemand >= zone.onDemand || isReplaced)
            this->orderIfDue({ service.name, target.zone, false }, target.onDemand, zone.onDemand,
                service.scale->bootTime, holder, now);
    }
}

void FleetController::orderIfDue(const OrderKey& key, std::uint32_t target, std::uint32_t usable, Duration bootTime,
    const FencedHolder& holder, Instant now)
{
    Order& order = this->orders[key];
    if (order.pendingCall || now < order.nextAttempt)
        return;
    // The fleet has the target size, and this node has not ordered anything.
    if (!order.acceptedCount && usable == target)
        return;
    const bool targetChanged
        = !order.acceptedCount || *order.acceptedCount != target || order.acceptedToken != holder.fencingToken;
    const bool upstreamsMissing = usable < target && now - order.acceptedAt > bootTime + bootMargin;
    if (!targetChanged && !upstreamsMissing)
        return;
    const std::uint64_t call = this->ids.next();
    order.pendingCall = call;
    order.sentCount = target;
    order.sentToken = holder.fencingToken;
    this->cloudCalls.emplace(call, key);
    this->state.log(LogLevel::Info, "upstreams ordered",
        { { "service", key.service.value() }, { "zone", key.zone.value() },
            { "kind", key.reclaimable ? "reclaimable" : "on-demand" }, { "count", std::to_string(target) },
            { "usable", std::to_string(usable) }, { "busy", fmt::format("{:.1f}", this->lastBusyUpstreams) },
            { "fencingToken", std::to_string(holder.fencingToken) } });
    this->state.commands.emplace_back(
        SendUpstreamOrder { call, { holder, key.service, key.zone, target, key.reclaimable } });
}

void FleetController::onCloudResult(const CloudCallEnded& result, Instant now)
{
    const auto call = this->cloudCalls.extract(result.call);
    Order& order = this->orders[call.mapped()];
    order.pendingCall.reset();
    if (result.outcome == ObjectOutcome::Ok) {
        order.acceptedCount = order.sentCount;
        order.acceptedToken = order.sentToken;
        order.acceptedAt = now;
        return;
    }
    if (result.outcome == ObjectOutcome::Conflict && call.mapped().reclaimable)
        this->reclaimableRefusedAt[call.mapped().service] = now;
    // No capacity is available, the fencing token is outdated, or the call was not answered.
    order.nextAttempt = now + retryDelay;
    this->state.log(LogLevel::Info, "order of upstreams not accepted",
        { { "zone", call.mapped().zone.value() }, { "kind", call.mapped().reclaimable ? "reclaimable" : "on-demand" },
            { "outcome", result.outcome == ObjectOutcome::Conflict ? "refused" : "unknown" } });
}

} // namespace teaselshore
