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
#include "teaselshore/routing/rendezvous_table.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief Sets of eligible upstreams from which a decision samples its candidates.
enum class SetKind : std::uint8_t {
    All,
    Zone,
    Price,
    /// Without outstanding requests of this node.
    Idle,
    IdleZone,
};
constexpr std::size_t setKinds = 5;

/// @brief Set with constant-time insertion, removal and access by position; each member stores its position.
using UpstreamSet = std::vector<std::uint32_t>;
constexpr std::uint32_t noPosition = std::numeric_limits<std::uint32_t>::max();

/// @brief What the score of an upstream needs. Kept apart from UpstreamDetails to keep the memory read by a decision
/// small.
struct alignas(64) Upstream {
    LoadEstimate load;
    LoadShape shape;
    std::array<std::uint32_t, setKinds> positions { noPosition, noPosition, noPosition, noPosition, noPosition };
    std::uint32_t pool = 0;
    std::uint32_t zone = 0;
    std::uint32_t priceTier = 0;
    std::uint32_t limit = 0;
    /// Number of the last decision that considered or excluded it.
    std::uint64_t decision = 0;
    /// 0 for the cheapest upstream of the pool, 1 for the dearest.
    float relativePrice = 0;
    float reclaimRiskPerHour = 0;
};

/// @brief The rest of what is known about an upstream.
struct UpstreamDetails {
    UpstreamId id;
    std::string address;
    Fingerprint salt = 0;
    bool configured = false;
    bool draining = false;
    /// Has a reclaim notice.
    bool noticed = false;
    /// The host list shows it as departing or no longer.
    bool departing = false;
    bool listed = false;
    bool dead = false;
    Instant deadSince {};
    /// Runs the lone retry of a crash suspect.
    bool reserved = false;
    /// Changes when the process behind the id changes, so that late events of the old one are recognised.
    std::uint32_t generation = 0;
    CircuitBreaker breaker;
    ConcurrencyLimit limit;
    /// Part of the capacity of its pool.
    std::uint32_t contribution = 0;
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
    /// By zone, as numbered by the table.
    std::vector<UpstreamSet> byZone;
    std::vector<UpstreamSet> idleByZone;
    /// By price, cheapest first.
    std::vector<UpstreamSet> byPrice;
    RendezvousTable preferred;
    std::uint32_t capacity = 0;
    std::uint32_t inService = 0;
    std::uint32_t outstanding = 0;
    std::size_t roundRobinNext = 0;

    bool isActive() const { return this->configured && !this->stopped && this->share > 0; }
};

/// @brief Zone as seen from this node.
struct ZoneView {
    AvailabilityZone name;
    Link link;
    /// There and back.
    double delaySeconds = 0;
};

/// @brief Latency class, reduced to what the choice needs.
struct ClassView {
    std::optional<double> firstTokenTargetSeconds;
};

/// @brief Upstreams of all services, their eligibility, and the sets to sample from.
class UpstreamTable {
public:
    explicit UpstreamTable(const RouterSettings& settings);

    void configure(const Configuration& configuration, Instant now);

    std::optional<std::uint32_t> find(const UpstreamId& id) const;
    /// @brief Returns the pools of a service by descending share; empty if it is unknown.
    const std::vector<std::uint32_t>& poolsOf(const ServiceName& service) const;
    /// @brief Returns the pool of a version, which need not be configured yet.
    Pool& poolFor(const ServiceName& service, const VersionName& version);
    /// @brief Sorts the pools of a service after a change of shares.
    void sortPools(const ServiceName& service);

    /// @brief Updates eligibility, sets and capacity after any change to an upstream.
    void refresh(std::uint32_t index, Instant now);
    /// @brief Refreshes upstreams whose eligibility changes with time, a bounded number per call.
    void refreshDue(Instant now);
    UpstreamState stateOf(std::uint32_t index) const;

    std::size_t memoryBytes() const;

    std::vector<Upstream> upstreams;
    std::vector<UpstreamDetails> details;
    std::vector<Pool> pools;
    std::vector<ZoneView> zones;
    /// Zone numbers, nearest first.
    std::vector<std::uint32_t> nearestZones;
    std::unordered_map<ClassName, ClassView> classes;
    /// Upstreams that the last configure() removed or whose process changed.
    std::vector<std::uint32_t> replaced;

private:
    using Recheck = std::pair<Instant, std::uint32_t>;

    std::uint32_t zoneNumber(const AvailabilityZone& zone) const;
    void configureZones(const Configuration& configuration);
    void configureService(const Configuration& configuration, const ServiceConfiguration& service);
    void configureUpstream(
        const UpstreamConfiguration& upstream, std::uint32_t pool, const Configuration& configuration);
    void recyclePools();
    void configurePrices();
    void resetProcess(std::uint32_t index, std::uint32_t capacity);
    UpstreamSet& setOf(SetKind kind, std::uint32_t index);
    void setMembership(SetKind kind, std::uint32_t index, bool member);
    void scheduleRecheck(std::uint32_t index, Instant at);

    const RouterSettings& settings;
    std::unordered_map<UpstreamId, std::uint32_t> indices;
    std::unordered_map<ServiceName, std::vector<std::uint32_t>> services;
    std::vector<std::uint32_t> freeIndices;
    std::vector<std::uint32_t> freePools;
    std::vector<double> prices;
    Duration harmlessLatency {};
    std::priority_queue<Recheck, std::vector<Recheck>, std::greater<>> rechecks;
};

} // namespace teaselshore
