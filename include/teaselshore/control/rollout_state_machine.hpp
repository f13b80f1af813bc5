#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/control/evidence_history.hpp"
#include "teaselshore/control/rollout_plan.hpp"
#include "teaselshore/control/rollout_record.hpp"
#include "teaselshore/journal/object_api.hpp"

namespace teaselshore {

/// @brief Monotonic time, and the wall clock time that deadlines are compared with.
struct RolloutTime {
    Instant now {};
    WallTime wall;
};

struct RolloutStateMachineSettings {
    RolloutPlanSettings plan;
    ComparisonSettings comparison;
    /// Time after which the outcome of a call without a response counts as unknown.
    Duration callTimeout = std::chrono::seconds(2);
    Duration retryEvery = std::chrono::seconds(1);
    Duration decideEvery = std::chrono::milliseconds(500);
    /// Interval at which the evidence of the step is saved, so that another controller can continue from it.
    Duration saveEvery = std::chrono::seconds(10);
    /// Interval at which nodes other than the controller read the object.
    Duration readEvery = std::chrono::seconds(30);

    auto operator<=>(const RolloutStateMachineSettings&) const = default;
};

/// @brief State machine of the version rollout of one service.
///
/// The node that holds the service's lease is the controller. It stores the state as the object `moves/<service>`,
/// which other nodes follow. A change takes effect only after a conditional write, so an outage of the object API
/// freezes the rollout, and a controller with an old lease cannot overwrite its successor. Only a rollback takes effect
/// at once. Pure and not thread-safe.
class RolloutStateMachine {
public:
    explicit RolloutStateMachine(ServiceName service, RolloutStateMachineSettings settings = {});

    /// @brief Sets the rollout that the configuration asks for.
    ///
    /// A rollout with the same versions and deadline as the stored one continues, or stays rolled back or complete.
    void setPair(const std::optional<VersionPair>& pair);

    /// @brief Makes the decisions that are due and returns the calls to make. fencingToken is set while this node holds
    /// the lease.
    std::vector<ObjectCommand> tick(
        const RolloutTime& time, std::optional<std::uint64_t> fencingToken, ObjectCallIds& ids);

    /// @brief Returns whether the result of this call is outstanding.
    bool awaits(ObjectCallId id) const { return this->pending && this->pending->id == id; }

    /// @brief Handles the result of a call. Results of calls that are not outstanding are ignored.
    void onResult(const ObjectResult& result, Instant now);

    /// @brief Adds the outcomes at one node. Only the controller needs them.
    void onReport(const VersionReport& report, Instant now);

    /// @brief Handles a fault of the new version found by one node.
    void onEvidence(const VersionEvidence& evidence);

    /// @brief Adopts the controller's record received from a peer if it is newer than the local one.
    void onPeerRecord(const RolloutRecord& record, Instant now);

    /// @brief Returns the stored record of the configured rollout; null before it is known.
    const RolloutRecord* record() const;

    /// @brief Returns the share of the new version; nothing before it is known.
    std::optional<double> share() const;

private:
    struct Pending {
        ObjectCallId id = 0;
        Instant sentAt {};
        /// Set for writes.
        std::optional<RolloutRecord> written;
    };

    std::vector<ObjectCommand> read(Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> write(RolloutRecord next, Instant now, ObjectCallIds& ids);
    RolloutRecord decide(const RolloutTime& time, std::uint64_t fencingToken);
    RolloutRecord start(const RolloutTime& time) const;
    void advance(RolloutRecord& next, const RolloutTime& time) const;
    void rollBack(RolloutRecord& next, const std::string& reason) const;
    void adopt(const RolloutRecord& record);
    void onRecordWritten(const RolloutRecord& record);
    bool isCurrent() const;

    ServiceName service;
    RolloutStateMachineSettings settings;
    std::optional<VersionPair> pair;
    std::optional<RolloutRecord> stored;
    ObjectVersion version = 0;
    /// True while version is that of the stored object.
    bool versionKnown = false;
    std::optional<Pending> pending;
    std::optional<EvidenceHistory> history;
    std::optional<VersionEvidence> stopEvidence;
    std::map<EvidenceCell, StepEvidence> stepEvidence;
    std::map<NodeId, std::uint64_t> lastSequence;
    Instant nextCall {};
    Instant nextDecision {};
    Instant nextSave {};
    Instant nextRead {};
};

} // namespace teaselshore
