#pragma once

#include <array>
#include <limits>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselshore/reliability/circuit_breaker.hpp"
#include "teaselshore/reliability/concurrency_limit.hpp"
#include "teaselshore/routing/refusal_estimate.hpp"
#include "teaselshore/routing/rendezvous_table.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief Kind of a set of eligible upstreams from which candidates are sampled.
enum class UpstreamSetKind : std::uint8_t {
    All,
    Zone,
    Price,
    /// Without outstanding requests of this node.
    Idle,
    IdleZone,
};
constexpr std::size_t upstreamSetKindCount = 5;

/// @brief Upstream indices, with constant-time insertion and removal since Upstream::positions stores each position.
using UpstreamSet = std::vector<std::uint32_t>;
constexpr std::uint32_t noPosition = std::numeric_limits<std::uint32_t>::max();

/// @brief State of an upstream that scoring reads; separate from UpstreamDetails so that a decision reads little
/// memory.
struct alignas(64) Upstream {
    LoadEstimate load;
    RefusalEstimate refusals;
    UpstreamCapacity capacity;
    std::array<std::uint32_t, upstreamSetKindCount> positions { noPosition, noPosition, noPosition, noPosition,
        noPosition };
    std::uint32_t pool = 0;
    std::uint32_t zone = 0;
    std::uint32_t priceTier = 0;
    std::uint32_t limit = 0;
    /// Number of the last decision that considered or excluded the upstream.
    std::uint64_t lastDecision = 0;
    /// 0 for the cheapest upstream of the pool, 1 for the most expensive.
    float relativePrice = 0;
    float reclaimRiskPerHour = 0;
};

/// @brief State of an upstream that scoring does not read.
struct UpstreamDetails {
    UpstreamId id;
    std::string address;
    Fingerprint nameHash = 0;
    bool configured = false;
    bool draining = false;
    bool hasReclaimNotice = false;
    /// The host list shows it as departing or no longer contains it.
    bool departing = false;
    /// The host list has contained it.
    bool listed = false;
    bool dead = false;
    Instant deadSince {};
    /// Runs the isolated retry of a crash suspect and gets no other work.
    bool reservedForIsolatedRetry = false;
    /// Incremented when the process behind the id changes, so that late events of the old process are recognised.
    std::uint32_t generation = 0;
    CircuitBreaker breaker;
    ConcurrencyLimit limit;
    /// Number of requests that it adds to the capacity of its pool.
    std::uint32_t capacityContribution = 0;
    /// Available, with a circuit breaker that is closed or admits a probe.
    bool inService = false;
    Instant recheckAt = Instant::max();
};

/// @brief Upstreams of one version of a service.
struct Pool {
    ServiceName service;
    VersionName version;
    ServiceKind kind = ServiceKind::Plain;
    double share = 0;
    bool shareSet = false;
    bool stopped = false;
    bool configured = false;
    LoadRates rates;
    UpstreamSet eligible;
    UpstreamSet idle;
    /// By zone index.
    std::vector<UpstreamSet> byZone;
    std::vector<UpstreamSet> idleByZone;
    /// By price tier, cheapest first.
    std::vector<UpstreamSet> byPrice;
    /// Maps the prefix of a prompt to its preferred upstreams.
    RendezvousTable affinityTable;
    std::uint32_t capacity = 0;
    std::uint32_t inServiceCount = 0;
    std::uint32_t outstanding = 0;
    std::size_t roundRobinNext = 0;
    /// Upstreams that reported their load last, in a ring, and when a peer last passed a report on.
    std::vector<std::uint32_t> recentReports;
    std::size_t nextReport = 0;
    Instant peerReportedAt = Instant::min();

    static constexpr std::size_t maximumRecentReports = 16;

    void recordReport(std::uint32_t index)
    {
        if (this->recentReports.size() < maximumRecentReports)
            this->recentReports.resize(maximumRecentReports, index);
        this->recentReports[this->nextReport++ % maximumRecentReports] = index;
    }

    bool isActive() const { return this->configured && !this->stopped && this->share > 0; }
};

/// @brief Availability zone and the link to it from this node.
struct ZoneInfo {
    AvailabilityZone name;
    Link link;
    double roundTripSeconds = 0;
};

/// @brief Properties of a latency class that the choice depends on.
struct ClassTargets {
    std::optional<double> firstTokenTargetSeconds;
};

/// @brief Upstreams of all services with their eligibility and the sets from which candidates are sampled.
class UpstreamTable {
public:
    explicit UpstreamTable(const RouterSettings& settings);

    void configure(const Configuration& configuration, Instant now);

    std::optional<std::uint32_t> find(const UpstreamId& id) const;
    /// @brief Returns the pools of a service by descending share; empty if it is unknown.
    const std::vector<std::uint32_t>& poolsOf(const ServiceName& service) const;
    /// @brief Returns the pool of a version; creates it if the version is not configured yet.
    Pool& poolFor(const ServiceName& service, const VersionName& version);
    /// @brief Sorts the pools of a service by descending share; called after a change of shares.
    void sortPools(const ServiceName& service);

    /// @brief Updates eligibility, sets and pool capacity after a change to an upstream.
    void updateEligibility(std::uint32_t index, Instant now);
    /// @brief Updates the eligibility of upstreams whose recheck time has come, a bounded number per call.
    void runDueRechecks(Instant now);
    UpstreamState stateOf(std::uint32_t index) const;

    std::size_t memoryBytes() const;

    std::vector<Upstream> upstreams;
    std::vector<UpstreamDetails> details;
    std::vector<Pool> pools;
    std::vector<ZoneInfo> zones;
    /// Zone indices, nearest first.
    std::vector<std::uint32_t> nearestZones;
    std::unordered_map<ClassName, ClassTargets> classes;
    /// Upstreams that the last configure() added, removed or moved to a new address.
    std::vector<std::uint32_t> replacedUpstreams;

private:
    using Recheck = std::pair<Instant, std::uint32_t>;

    std::uint32_t zoneIndex(const AvailabilityZone& zone) const;
    void configureZones(const Configuration& configuration);
    void configureService(const Configuration& configuration, const ServiceConfiguration& service);
    void configureUpstream(
        const UpstreamConfiguration& upstream, std::uint32_t pool, const Configuration& configuration);
    void recycleUnusedPools();
    void assignPriceTiers();
    void resetProcess(std::uint32_t index, std::uint32_t capacity);
    UpstreamSet& setOf(UpstreamSetKind kind, std::uint32_t index);
    void setMembership(UpstreamSetKind kind, std::uint32_t index, bool member);
    void scheduleRecheck(std::uint32_t index, Instant at);

    const RouterSettings& settings;
    std::unordered_map<UpstreamId, std::uint32_t> indices;
    std::unordered_map<ServiceName, std::vector<std::uint32_t>> services;
    std::vector<std::uint32_t> freeIndices;
    std::vector<std::uint32_t> freePools;
    std::vector<double> prices;
    Duration acceptableLatency {};
    std::priority_queue<Recheck, std::vector<Recheck>, std::greater<>> pendingRechecks;
};

} // namespace teaselshore
