#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node_state.hpp"
#include "teaselshore/control/lease.hpp"
#include "teaselshore/control/rollout_state_machine.hpp"
#include "teaselshore/control/version_guard.hpp"

namespace teaselshore {

/// @brief Version rollouts of one node: judges the attempts, drives the rollouts whose lease it holds, and follows the
/// others.
///
/// The last known share of a version stays in effect while no controller lives. Not thread-safe.
class VersionRollouts {
public:
    explicit VersionRollouts(NodeState& state);

    /// @brief True if the call was made here; calls of the journal have smaller ids.
    static bool owns(ObjectCallId id) { return id >= firstCallId; }

    /// @brief Takes in a new configuration and the attempts that ended in an event. Call it after each event.
    void onEvent(Instant now);

    void onTick(Instant now);
    void onObjectResult(const ObjectResult& result, Instant now);
    void onEvidence(const VersionEvidence& evidence, Instant now);
    void onReport(const VersionReport& report, Instant now);
    void onUpdate(const std::string& sender, const MoveUpdate& update, Instant now);

    /// @brief Forgets connections that an upstream refused or broke because it was reclaimed or died.
    void onUpstreamLost(const UpstreamId& upstream);

    /// @brief Gives the leases up at the next tick.
    void stop();

    /// @brief Returns the record of the service's configured rollout; null if there is none or it is not known.
    const RolloutRecord* move(const ServiceName& service) const;

private:
    static constexpr ObjectCallId firstCallId = 1ULL << 62;

    struct Rollout {
        VersionPair pair;
        LeaseHolder lease;
        RolloutStateMachine move;
        /// Share in effect at the router.
        std::optional<double> applied;
        /// Record that the peers know, if this node is the controller.
        std::optional<RolloutRecord> told;
        Instant nextUpdate {};
        /// Address of the controller, from its last update.
        std::string controller;
        Instant controllerSeen {};
    };

    void adoptConfiguration();
    RolloutTime timeAt(Instant now) const;
    void judge(const EndedAttempt& ended, Instant now);
    void execute(const std::vector<GuardCommand>& commands, Instant now);
    void sendReport(const VersionReport& report, Instant now);
    void call(const std::vector<ObjectCommand>& commands);
    void tick(const ServiceName& service, Rollout& rollout, Instant now);
    void tellPeers(Rollout& rollout, Instant now);
    void apply(const ServiceName& service, Rollout& rollout);

    NodeState& state;
    VersionGuard guard;
    ObjectCallIds ids { firstCallId };
    std::map<ServiceName, Rollout> rollouts;
    ConfigurationVersion adopted = 0;
    Instant nextTick {};
    bool stopping = false;
};

} // namespace teaselshore
