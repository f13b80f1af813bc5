#pragma once

#include <array>
#include <optional>
#include <span>

#include "teaselshore/base/random.hpp"
#include "upstream_table.hpp"

namespace teaselshore {

/// @brief Chooses an upstream for a request: draws a version, collects a bounded set of candidates and scores them.
class UpstreamChooser {
public:
    UpstreamChooser(const RouterSettings& settings, UpstreamTable& table, const PrefixIndex& prefixIndex);

    std::optional<RoutingDecision> choose(const RoutingRequest& request, Instant now);

    RoutingFailure lastFailure() const { return this->failure; }

private:
    struct Candidate {
        std::uint32_t index = 0;
        std::uint32_t cachedTokens = 0;
        bool preferred = false;
    };
    struct ScoredCandidate {
        Candidate candidate;
        ScoreTerms terms;
        double sum = 0;
        double firstTokenSeconds = 0;
    };
    static constexpr std::size_t maximumCandidates = 32;
    static constexpr std::size_t maximumReportedCandidates = 3;

    std::optional<RoutingDecision> chooseFromPools(
        const std::vector<std::uint32_t>& pools, const RoutingRequest& request);
    std::optional<RoutingDecision> chooseInPool(std::uint32_t poolIndex, const RoutingRequest& request);
    std::optional<std::uint32_t> pinnedPool(const std::vector<std::uint32_t>& pools, const VersionName& version) const;
    /// @brief Returns the position of a random active pool, weighted by share; pools.size() if none is active.
    std::size_t drawByShare(const std::vector<std::uint32_t>& pools);

    void gatherCandidates(std::uint32_t poolIndex, const RoutingRequest& request);
    void addPrefixCandidates(std::uint32_t poolIndex, const RoutingRequest& request);
    void addIsolatedCandidate(const Pool& pool);
    void addCandidate(std::uint32_t poolIndex, Candidate candidate);
    void addSample(std::uint32_t poolIndex, const UpstreamSet& set, std::size_t count);
    /// @brief Adds a sample of the nearest zone that has members.
    void addNearestSample(std::uint32_t poolIndex, const std::vector<UpstreamSet>& byZone, std::size_t count);
    /// @brief Adds a sample of the cheapest price tier that has members, and one upstream of the next such tier.
    void addCheapestSample(std::uint32_t poolIndex, std::size_t count);
    std::optional<std::uint32_t> nextRoundRobin(Pool& pool);
    std::optional<std::uint32_t> leastOutstanding(const Pool& pool);
    void applyPolicy(std::uint32_t poolIndex, const RoutingRequest& request);

    ScoredCandidate score(const Candidate& candidate, const RoutingRequest& request) const;
    std::optional<RoutingDecision> bestDecision(const RoutingRequest& request);
    /// @brief Moves one of the candidates to the front: a good one at random, if other nodes know the same reports.
    void spreadChoice(std::span<ScoredCandidate> kept);
    ScoredUpstream toScoredUpstream(const ScoredCandidate& scored) const;

    const RouterSettings& settings;
    UpstreamTable& table;
    const PrefixIndex& prefixIndex;
    RandomSource random;
    RoutingFailure failure = RoutingFailure::None;

    // State of the current decision.
    std::uint64_t decisionNumber = 0;
    Instant now {};
    ClassTargets latencyClass;
    const ScoreWeights* weights = nullptr;
    /// Estimated size of prompt and response.
    double gigabytes = 0;
    std::array<Candidate, maximumCandidates> candidates;
    std::size_t candidateCount = 0;
};

} // namespace teaselshore
