#pragma once

#include <cstdint>
#include <string>

#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/control/lease.hpp"
#include "teaselshore/control/rollout_state_machine.hpp"
#include "teaselshore/control/version_guard.hpp"
#include "teaselshore/journal/slot_owner.hpp"
#include "teaselshore/membership/configuration_distributor.hpp"
#include "teaselshore/membership/membership.hpp"
#include "teaselshore/reliability/backoff.hpp"
#include "teaselshore/reliability/crash_suspects.hpp"
#include "teaselshore/reliability/retry_budget.hpp"
#include "teaselshore/routing/admission_controller.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief Deliberate faults, so that tests can show that their checker finds them.
struct NodeMutations {
    /// Reclaim notices of upstreams are not passed to the router.
    bool ignoreNotices = false;
    /// Requests that crash their upstream are routed as usual.
    bool skipCrashSuspects = false;
    /// Any version of the configuration that is read replaces the one in effect.
    bool acceptOldConfiguration = false;
    /// A stream that goes on elsewhere starts again from its first event.
    bool resumeFromZero = false;
    /// A planned stop does not wait for open requests.
    bool stopAtOnce = false;
    SlotOwnerMutations slotOwner;
};

/// @brief Settings of all decisions of one node.
struct NodeSettings {
    /// This process; its id must be new for each start.
    Member self;
    /// Name of the host in the platform's notices.
    std::string hostName;
    std::uint64_t seed = 1;
    /// Calendar time at Instant zero, for deadlines of version rollouts.
    WallTime wallAtZero;

    RouterSettings router;
    AdmissionSettings admission;
    RetryBudgetSettings retryBudget;
    BackoffSettings retryBackoff;
    CrashSuspectsSettings crashSuspects;
    SlotOwnerSettings slotOwner;
    MembershipSettings membership;
    DistributorSettings distributor;
    LeaseSettings lease;
    VersionGuardSettings versionGuard;
    RolloutStateMachineSettings versionMove;

    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleTimeout = std::chrono::seconds(30);
    /// Attempts of one request that can be repeated.
    std::uint32_t maxAttempts = 4;
    /// Output tokens expected of a request that gives no limit.
    std::uint32_t defaultOutputTokens = 256;
    Duration hostListPeriod = std::chrono::seconds(2);
    Duration noticePeriod = std::chrono::milliseconds(500);
    /// Time between two load queries of an upstream that this node uses.
    Duration loadPeriod = std::chrono::milliseconds(500);
    /// Load queries that may start per tick, so that the cost does not grow with the number of upstreams.
    std::size_t loadQueriesPerTick = 8;
    /// Attempts still running this long before their upstream leaves are moved to another one.
    Duration moveBeforeLeave = std::chrono::seconds(2);
    /// Time after failing the readiness check in which the load balancer still sends requests.
    Duration balancerDelay = std::chrono::seconds(2);
    /// Longest time of a planned stop without notice; with one, the notice is the limit.
    Duration drainTimeout = std::chrono::seconds(20);
    /// Only for tests.
    NodeMutations mutations;
};

} // namespace teaselshore
