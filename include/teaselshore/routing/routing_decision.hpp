#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief What the choice of an upstream depends on.
struct RoutingRequest {
    ServiceName service;
    ClassName latencyClass;
    bool idempotent = true;
    /// 0 for a plain service.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    /// Chained hashes of the prompt's blocks of equal length, first block first; see CacheEvent.
    std::vector<Fingerprint> prefixBlocks;
    /// Upstreams that earlier attempts used.
    std::vector<UpstreamId> excluded;
    /// Set to continue on the version that produced the first part of the response.
    std::optional<VersionName> version;
    /// True for the lone retry of a crash suspect: only an upstream without other work of this node qualifies, and it
    /// gets no other work until the request has finished.
    bool alone = false;

    auto operator<=>(const RoutingRequest&) const = default;
};

/// @brief Terms of a score, all in seconds. The lowest sum is chosen.
struct ScoreTerms {
    /// Predicted time to first token, weighted by class.
    double firstToken = 0;
    /// Extra weight of the part beyond the target of the class.
    double overTarget = 0;
    double linkDelay = 0;
    double linkCost = 0;
    double price = 0;
    double reclaimRisk = 0;
    /// Harm that a batch request does to interactive ones on a busy upstream.
    double interference = 0;
    /// Bonus (negative) for the preferred upstreams of the prefix.
    double affinity = 0;

    double sum() const
    {
        return this->firstToken + this->overTarget + this->linkDelay + this->linkCost + this->price + this->reclaimRisk
            + this->interference + this->affinity;
    }

    auto operator<=>(const ScoreTerms&) const = default;
};

/// @brief One candidate of a decision, for `explain`.
struct ScoredUpstream {
    UpstreamId upstream;
    ScoreTerms terms;
    /// Predicted time to first token without weights.
    Duration predictedFirstToken {};
    /// Prompt tokens expected in its prefix cache.
    std::uint32_t cachedTokens = 0;

    auto operator<=>(const ScoredUpstream&) const = default;
};

/// @brief Chosen upstream and why.
struct RoutingDecision {
    ServiceName service;
    VersionName version;
    AvailabilityZone zone;
    /// "address:port".
    std::string address;
    ScoredUpstream chosen;
    /// Next best candidates, best first; at most two.
    std::vector<ScoredUpstream> runnersUp;

    auto operator<=>(const RoutingDecision&) const = default;
};

/// @brief Why no upstream was chosen.
enum class RoutingFailure {
    None,
    UnknownService,
    /// No version of the service may get traffic.
    NoVersion,
    /// All upstreams are draining, leaving, dead, or behind an open circuit breaker.
    NoUpstream,
    /// All upstreams are at their concurrency limits, excluded or not empty enough for a lone retry.
    NoCapacity,
};

} // namespace teaselshore
