#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/entry/demand_meter.hpp"
#include "teaselshore/entry/entry_node.hpp"
#include "teaselshore/entry/evacuated_zones.hpp"
#include "teaselshore/entry/peer_relays.hpp"
#include "teaselshore/entry/quota_borrower.hpp"
#include "teaselshore/entry/quota_limiter.hpp"
#include "teaselshore/entry/route_table.hpp"
#include "teaselshore/entry/upstream_directory.hpp"
#include "teaselshore/entry/upstream_exclusions.hpp"
#include "teaselshore/entry/upstream_limits.hpp"
#include "teaselshore/entry/upstream_links.hpp"
#include "teaselshore/entry/usage_ledger.hpp"
#include "teaselshore/reliability/retry_budget.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief State shared by the parts of an EntryNode, and the commands issued for the current event.
struct EntryState {
    explicit EntryState(EntryNodeSettings nodeSettings);

    RetryBudget& retryBudget(const ServiceName& service);
    /// @brief Sets the share of the floor of the retry budgets; nothing while this node does not know its share.
    void setRetryFloorShare(std::optional<double> share);
    /// @brief Returns the wall-clock time since 1970; nothing before the first reading of the clock.
    std::optional<Duration> wallClockTime(Instant now) const;
    /// @brief Returns when this node may send the next request to an upstream, as far as its limit is concerned: now or
    /// earlier without a limit, Instant::max() if this node has no turns.
    Instant nextTurn(const UpstreamId& upstream, Instant now) const;
    /// @brief Checks whether an upstream answers; the reply is UpstreamChecked. Returns false if its zone is evacuated,
    /// so that nothing is sent.
    bool checkUpstream(const RegisteredUpstream& upstream, Instant now);
    void countOutcome(RequestOutcome outcome) { ++this->statistics.outcomes[static_cast<std::size_t>(outcome)]; }
    void log(LogLevel level, std::string message, std::vector<std::pair<std::string, std::string>> fields = {});

    /// Length of a prompt block in the prefix index. Shorter blocks match longer prefixes but use more memory.
    static constexpr std::uint32_t tokensPerBlock = 256;

    EntryNodeSettings settings;
    RandomSource random;
    /// Configuration in effect; null before the first one.
    std::shared_ptr<const RouteTable> table;
    UpstreamDirectory directory;
    /// Instance names of the upstreams that accept new requests.
    std::unordered_map<UpstreamId, std::string> instances;
    /// Upstreams that asked in a response to get no requests.
    UpstreamExclusions exclusions;
    EvacuatedZones evacuated;
    UpstreamLimits limits;
    /// True if the router's configuration must be updated after the current event.
    bool routingChanged = false;
    Router router;
    QuotaLimiter quotas;
    QuotaBorrower borrower;
    UsageLedger usage;
    DemandMeter demand;
    UpstreamLinks links;
    PeerRelays relays;
    /// Wall-clock time at Instant zero.
    std::optional<Duration> clockOffset;
    std::size_t liveNodes = 0;
    /// Listen addresses of the other live nodes.
    std::vector<std::string> peerAddresses;
    EntryStatistics statistics;
    EntryCommands commands;

private:
    RetryBudgetSettings retrySettings() const;

    std::map<ServiceName, RetryBudget> retryBudgets;
    std::optional<double> retryFloorShare;
};

} // namespace teaselshore
