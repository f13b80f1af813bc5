#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief How a caller's request ended.
enum class RequestOutcome {
    /// The caller got an upstream's complete response.
    Answered,
    /// The node has not yet read the configuration or the list of upstreams.
    NotReady,
    UnknownRoute,
    UnknownKey,
    OverQuota,
    /// No upstream had capacity; the request did not run.
    NoCapacity,
    /// The request was sent and its outcome is unknown.
    Failed,
    /// The request was sent and its deadline passed.
    TimedOut,
    /// The caller closed its connection.
    CallerLeft,
    /// Equal requests crashed several upstreams; the request did not run.
    Quarantined,
};

constexpr std::size_t requestOutcomeCount = 10;

std::string_view outcomeName(RequestOutcome outcome);

/// @brief Admission of the requests of one route.
struct RouteAdmission {
    std::uint64_t admitted = 0;
    /// Requests that waited for an upstream with capacity.
    std::uint64_t waited = 0;
    /// Rejected on arrival, since the service was short of capacity.
    std::uint64_t rejectedForShortage = 0;
    /// Rejected after they were admitted, since no upstream had capacity in time.
    std::uint64_t rejectedWithoutCapacity = 0;
    /// First events of responses within the latency target.
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
};

/// @brief Counters and gauges of an EntryNode.
struct EntryStatistics {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, requestOutcomeCount> outcomes {};
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    /// Retries that the shared retry budget did not allow.
    std::uint64_t deniedRetries = 0;
    /// Attempts that an upstream received and refused to run.
    std::uint64_t refusedAttempts = 0;
    /// Attempts whose connection broke, as after a crash of the upstream.
    std::uint64_t brokenAttempts = 0;
    /// Upstream processes that crashed while they ran requests of this node.
    std::uint64_t upstreamCrashes = 0;
    std::uint64_t resumes = 0;
    std::uint64_t openRequests = 0;
    std::uint64_t waitingRequests = 0;
    std::uint64_t upstreams = 0;
    /// Upstreams that name a limit.
    std::uint64_t limitedUpstreams = 0;
    /// Requests for which an upstream was passed over because of its limit.
    std::uint64_t limitedRequests = 0;
    /// Upstreams that are cold, or are taken for cold.
    std::uint64_t coldUpstreams = 0;
    /// Requests for which an upstream was passed over because it is cold.
    std::uint64_t coldPassedOver = 0;
    /// Services whose upstreams fail if they must refuse many requests.
    std::uint64_t brittleServices = 0;
    /// Requests that waited because a brittle upstream was passed over.
    std::uint64_t heldRequests = 0;
    /// How often the platform came back from an older copy.
    std::uint64_t platformRestores = 0;
    /// Windows whose usage this node did not report since that may have been done before a restore.
    std::uint64_t unreportedWindows = 0;
    /// Attempts at peers, since this node had no links to upstreams.
    std::uint64_t relayedAttempts = 0;
    /// Requests that peers handed to this node.
    std::uint64_t requestsOfPeers = 0;
    /// Whether this node has lost its links to all upstreams.
    bool linksLost = false;
    /// Zones to whose upstreams nothing may be sent.
    std::uint64_t evacuatedZones = 0;
    /// Requests that still run at upstreams of these zones.
    std::uint64_t requestsInEvacuatedZones = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t liveNodes = 0;
    bool holdsLease = false;
    std::map<RouteName, RouteAdmission> admissions;
    /// Services that are short of capacity.
    std::uint64_t shortServices = 0;
    /// Streams that the end of the process cut.
    std::uint64_t streamsCutByStop = 0;
};

} // namespace teaselshore
