#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/control/version_evidence.hpp"

namespace teaselshore {

enum class RolloutState {
    InProgress,
    Complete,
    RolledBack,
};

/// @brief Returns "in_progress", "complete" or "rolled_back".
std::string_view rolloutStateName(RolloutState state);

/// @brief Outcomes of both versions in one cell during the current step of a rollout.
struct StepEvidence {
    EvidenceCell cell;
    EvidenceCounts from;
    EvidenceCounts to;

    auto operator<=>(const StepEvidence&) const = default;
};

/// @brief Persistent state of a version rollout, stored as the object `moves/<service>`.
struct RolloutRecord {
    VersionPair pair;
    RolloutState state = RolloutState::InProgress;
    /// Why the rollout is in this state, with the counts behind the decision.
    std::string reason;
    std::uint32_t step = 0;
    /// Share of the service's traffic that the new version gets, in [0, 1].
    double share = 0;
    WallTime startedAt;
    WallTime stepStartedAt;
    /// Lease epoch of the controller that wrote the record.
    std::uint64_t fencingToken = 0;
    std::vector<StepEvidence> evidence;

    auto operator<=>(const RolloutRecord&) const = default;

    /// @brief Encodes as JSON.
    std::string encode() const;
    static std::optional<RolloutRecord> decode(std::string_view text);
};

/// @brief Returns the key of the object that stores a service's rollout.
std::string rolloutKey(const ServiceName& service);

} // namespace teaselshore
