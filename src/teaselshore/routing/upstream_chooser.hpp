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

    /// @brief Returns what choose() would return, without changing any later decision.
    RoutingPreview preview(const RoutingRequest& request, Instant now);

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

    std::optional<RoutingDecision> chooseFor(const RoutingRequest& request, Instant now);
    std::optional<RoutingDecision> chooseFromPools(
        const std::vector<std::uint32_t>& pools, const RoutingRequest& request);
    std::optional<RoutingDecision> chooseInPool(std::uint32_t poolIndex, const RoutingRequest& request);
    std::optional<std::uint32_t> pinnedPool(const std::vector<std::uint32_t>& pools, const VersionName& version) const;
    /// @brief Returns the position of a random active pool, weighted by share; pools.size() if none is active.
    std::size_t drawByShare(const std::vector<std::uint32_t>& pools);

    void gatherCandidates(std::uint32_t poolIndex, const RoutingRequest& request);
    /// @brief Determines whether the prompt is long and which engines take the long ones.
    void selectReaders(const Pool& pool, const RoutingRequest& request);
    void measureArrivals();
    void addPrefixCandidates(std::uint32_t poolIndex, const RoutingRequest& request);
    void addIsolatedCandidate(const Pool& pool);
    void addCandidate(std::uint32_t poolIndex, Candidate candidate);
    void addSample(std::uint32_t poolIndex, std::span<const std::uint32_t> set, std::size_t count);
    /// @brief Adds a sample of the nearest zone that has members.
    void addNearestSample(std::uint32_t poolIndex, const std::vector<UpstreamSet>& byZone, std::size_t count);
    /// @brief Adds a sample of the cheapest price tier that has members, and one upstream of the next such tier.
    void addCheapestSample(std::uint32_t poolIndex, std::size_t count);
    std::optional<std::uint32_t> nextRoundRobin(Pool& pool);
    std::optional<std::uint32_t> leastOutstanding(const Pool& pool);
    void applyPolicy(std::uint32_t poolIndex, const RoutingRequest& request);

    /// @brief Returns the delay by long prompts that the choice of the upstream causes or meets, in seconds.
    double blockingSeconds(const Upstream& upstream, const LoadPrediction& predicted) const;
    ScoredCandidate score(const Candidate& candidate, const RoutingRequest& request) const;
    std::size_t scoreCandidates(
        const RoutingRequest& request, std::array<ScoredCandidate, maximumReportedCandidates>& kept) const;
    std::optional<RoutingDecision> bestDecision(const RoutingRequest& request);
    ScoredUpstream toScoredUpstream(const ScoredCandidate& scored) const;

    const RouterSettings& settings;
    UpstreamTable& table;
    const PrefixIndex& prefixIndex;
    RandomSource random;
    RoutingFailure failure = RoutingFailure::None;

    // State of the current decision.
    std::uint64_t decisionNumber = 0;
    /// Draws until a member of a sample is found that is neither excluded nor a candidate already.
    std::size_t drawsPerMember = 1;
    /// True if the affinity order skips excluded upstreams.
    bool avoidsExcluded = false;
    Instant now {};
    ClassTargets latencyClass;
    const ScoreWeights* weights = nullptr;
    /// Estimated size of prompt and response.
    double gigabytes = 0;
    std::array<Candidate, maximumCandidates> candidates;
    std::size_t candidateCount = 0;
    /// Engines that take the long prompts, which have the first reading ranks; 0 if the prompt's length is no
    /// criterion.
    std::uint32_t readerCount = 0;
    bool isLong = false;
    /// Mean number of requests that arrive at one candidate per second.
    double arrivalsPerSecond = 0;
};

} // namespace teaselshore
