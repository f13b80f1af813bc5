#include "node_settings_from.hpp"

#include <fmt/format.h>

namespace teaselshore {

NodeId makeNodeId(const std::string& nodeName, std::uint64_t start)
{
    return NodeId(fmt::format("{}-{:012x}", nodeName, start & 0xffffffffffffULL));
}

NodeSettings nodeSettingsFrom(const DaemonSettings& settings, const NodeId& id, std::uint64_t seed)
{
    NodeSettings node;
    node.self.id = id;
    node.self.zone = settings.zone;
    node.self.region = settings.region;
    node.self.address = formatSocketAddress(settings.peer);
    node.hostName = settings.node;
    node.seed = seed;

    node.router.zone = settings.zone;
    node.router.seed = seed;
    // Engines publish cache events for blocks of 16 tokens.
    node.router.tokensPerBlock = 16;
    node.router.circuitBreaker.minimumVolume = settings.circuitBreaker.failures;
    node.router.circuitBreaker.openTime = settings.circuitBreaker.openTime;
    node.retryBudget.ratio = settings.retries.budgetRatio;
    node.retryBackoff.initial = settings.retries.backoffBase;
    node.retryBackoff.limit = settings.retries.backoffCap;
    node.membership.probePeriod = settings.membership.probePeriod;
    node.membership.directTimeout = settings.membership.probeTimeout;
    node.membership.suspicionFactor
        = toSeconds(settings.membership.suspicionTime) / toSeconds(settings.membership.probePeriod);
    node.slotOwner.maxOwners = settings.journal.maxOwners;
    node.slotOwner.writesPerSecond = settings.journal.writesPerSecond;
    node.connectTimeout = settings.timeouts.connect;
    node.idleTimeout = settings.timeouts.idle;
    node.drainTimeout = settings.timeouts.drain;
    return node;
}

NodeSettings withCalendarTime(NodeSettings settings, Instant now)
{
    const auto passed = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    settings.wallAtZero = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()) - passed;
    return settings;
}

} // namespace teaselshore
