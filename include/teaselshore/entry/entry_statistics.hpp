#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "teaselshore/base/time.hpp"

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
    /// Services whose upstreams fail if they must refuse many requests.
    std::uint64_t brittleServices = 0;
    /// Requests that waited because a brittle upstream was passed over.
    std::uint64_t heldRequests = 0;
    /// How often the platform came back from an older copy.
    std::uint64_t platformRestores = 0;
    /// Attempts at peers, since this node had no links to upstreams.
    std::uint64_t relayedAttempts = 0;
    /// Requests that peers handed to this node.
    std::uint64_t requestsOfPeers = 0;
    /// Whether this node has lost its links to all upstreams.
    bool linksLost = false;
    std::uint64_t sentLoadDigests = 0;
    std::uint64_t receivedLoadDigests = 0;
    /// Choices of upstreams whose load had been reported, and the sum of the ages of these reports.
    std::uint64_t informedChoices = 0;
    Duration loadAges {};
    /// Streams that have begun, and the sums of their times to the first event as predicted and as measured, and of the
    /// differences.
    std::uint64_t predictedStreams = 0;
    Duration predictedFirstEvents {};
    Duration actualFirstEvents {};
    Duration predictionErrors {};
    std::uint64_t configurationVersion = 0;
    std::uint64_t liveNodes = 0;
    bool holdsLease = false;
};

} // namespace teaselshore
