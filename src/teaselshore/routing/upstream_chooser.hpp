#pragma once

#include <array>
#include <optional>
#include <span>

#include "teaselshore/base/random.hpp"
#include "upstream_table.hpp"

namespace teaselshore {

/// @brief Chooses an upstream for one request: version, bounded candidate set, score.
class UpstreamChooser {
public:
    UpstreamChooser(const RouterSettings& settings, UpstreamTable& table, const PrefixIndex& prefixIndex);

    std::optional<RoutingDecision> choose(const RoutingRequest& request, Instant now);

    RoutingFailure lastError() const { return this->failure; }

private:
    struct Candidate {
        std::uint32_t index = 0;
        std::uint32_t cachedTokens = 0;
        bool preferred = false;
    };
    struct Scored {
        Candidate candidate;
        ScoreTerms terms;
        double sum = 0;
        double firstTokenSeconds = 0;
    };
    static constexpr std::size_t maximumCandidates = 32;
    static constexpr std::size_t keptCandidates = 3;

    std::optional<RoutingDecision> chooseFrom(const std::vector<std::uint32_t>& pools, const RoutingRequest& request);
    std::optional<RoutingDecision> chooseInPool(std::uint32_t pool, const RoutingRequest& request);
    std::optional<std::uint32_t> pinnedPool(const std::vector<std::uint32_t>& pools, const VersionName& version) const;
    std::size_t drawVersion(const std::vector<std::uint32_t>& pools);

    void gather(std::uint32_t pool, const RoutingRequest& request);
    void gatherPrefix(std::uint32_t pool, const RoutingRequest& request);
    void gatherAlone(const Pool& pool);
    void add(std::uint32_t pool, Candidate candidate);
    void sample(std::uint32_t pool, const UpstreamSet& set, std::size_t count);
    /// @brief Samples the set of the nearest zone that has members.
    void sampleNearest(std::uint32_t pool, const std::vector<UpstreamSet>& byZone, std::size_t count);
    /// @brief Samples the cheapest tier that has members, and one of the next.
    void sampleCheapest(std::uint32_t pool, std::size_t count);
    std::optional<std::uint32_t> nextInTurn(Pool& pool);
    std::optional<std::uint32_t> leastOutstanding(const Pool& pool);
    void applyPolicy(std::uint32_t pool, const RoutingRequest& request);

    Scored score(const Candidate& candidate, const RoutingRequest& request) const;
    std::optional<RoutingDecision> best(const RoutingRequest& request) const;
    ScoredUpstream describe(const Scored& scored) const;

    const RouterSettings& settings;
    UpstreamTable& table;
    const PrefixIndex& prefixIndex;
    RandomSource random;
    RoutingFailure failure = RoutingFailure::None;

    // State of the current decision.
    std::uint64_t decision = 0;
    Instant now {};
    ClassView latencyClass;
    const ScoreWeights* weights = nullptr;
    /// Size of prompt and response.
    double gigabytes = 0;
    std::array<Candidate, maximumCandidates> candidates;
    std::size_t candidateCount = 0;
};

} // namespace teaselshore
