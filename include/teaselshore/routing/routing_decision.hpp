#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/routing/prompt_blocks.hpp"

namespace teaselshore {

/// @brief What the choice of an upstream depends on.
struct RoutingRequest {
    ServiceName service;
    ClassName latencyClass;
    bool idempotent = true;
    /// 0 for a plain service.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    PromptBlocks prefixBlocks;
    /// Upstreams of earlier attempts, which are not chosen again.
    std::vector<UpstreamId> excluded;
    /// Whether the samples avoid excluded upstreams, as for a zone whose upstreams are all excluded. Few exclusions
    /// need no further draws.
    bool avoidExcluded = false;
    /// Set to continue a response on the version that produced its first part.
    std::optional<VersionName> version;
    /// True for the isolated retry of a crash suspect: only an upstream without outstanding requests of this node is
    /// eligible, and it gets no other request of this node until the retry has finished.
    bool alone = false;

    auto operator<=>(const RoutingRequest&) const = default;
};

/// @brief Terms of a score, all in seconds. The candidate with the lowest sum is chosen.
struct ScoreTerms {
    /// Predicted time to first token without the network, weighted by class.
    double firstToken = 0;
    /// Weighted part of the time to first token that exceeds the target of the class.
    double overTarget = 0;
    double linkDelay = 0;
    double linkCost = 0;
    double price = 0;
    double reclaimRisk = 0;
    /// Delay that a batch request causes to interactive requests on a busy upstream.
    double interference = 0;
    /// For a long prompt, the delay that reading it causes to the requests that arrive meanwhile; for others, the
    /// expected wait at an engine that takes the long ones.
    double blocking = 0;
    /// Cost of a refusal, weighted by its probability.
    double refusal = 0;
    /// Bonus (negative) for the upstream preferred for the prefix.
    double affinity = 0;

    double sum() const
    {
        return this->firstToken + this->overTarget + this->linkDelay + this->linkCost + this->price + this->reclaimRisk
            + this->interference + this->blocking + this->refusal + this->affinity;
    }

    auto operator<=>(const ScoreTerms&) const = default;
};

/// @brief One candidate of a decision, for `explain`.
struct ScoredUpstream {
    UpstreamId upstream;
    ScoreTerms terms;
    /// Predicted time to first token, unweighted and including the network.
    Duration predictedFirstToken {};
    /// Prompt tokens that are expected to be in its prefix cache.
    std::uint32_t cachedTokens = 0;

    auto operator<=>(const ScoredUpstream&) const = default;
};

/// @brief Chosen upstream with the scores that led to the choice.
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
    /// All upstreams are at their concurrency limits, excluded, or not idle as an isolated retry requires.
    NoCapacity,
};

/// @brief What Router::choose() would return, without its effects.
struct RoutingPreview {
    std::optional<RoutingDecision> decision;
    /// None if there is a decision.
    RoutingFailure failure = RoutingFailure::None;

    auto operator<=>(const RoutingPreview&) const = default;
};

} // namespace teaselshore
