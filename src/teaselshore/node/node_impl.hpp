#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster_events.hpp"
#include "crash_checks.hpp"
#include "durable_requests.hpp"
#include "node_state.hpp"
#include "teaselshore/node/node.hpp"
#include "teaselshore/reliability/stop_schedule.hpp"
#include "transient_requests.hpp"
#include "version_rollouts.hpp"

namespace teaselshore {

/// @brief Parts of a node and the events that concern more than one of them. Not thread-safe.
struct Node::Impl {
    explicit Impl(NodeSettings settings)
        : state(std::move(settings))
        , crashChecks(state)
        , durable(state, crashChecks)
        , transient(state, crashChecks)
        , cluster(state, durable)
        , rollouts(state)
    {
    }

    void handle(RequestArrived& event, Instant now);
    void handle(CallerGone& event, Instant now);
    void handle(AttemptStarted& event, Instant now);
    void handle(AttemptFinished& event, Instant now);
    void handle(AttemptFailed& event, Instant now);
    void handle(PeerMessageReceived& event, Instant now);
    void handle(PeerMessageNotSent& event, Instant now);
    void handle(ObjectResult& event, Instant now);
    void handle(ConfigurationRead& event, Instant now);
    void handle(HostListRead& event, Instant now);
    void handle(NoticesRead& event, Instant now);
    void handle(LoadQueried& event, Instant now);
    void handle(CacheEventsRead& event, Instant now);
    void handle(OutcomeQueried& event, Instant now);
    void handle(StopRequested& event, Instant now);
    void handle(Tick& event, Instant now);

    void receive(const NodeId& sender, const std::string& senderAddress, const RequestMessage& message, Instant now);
    std::string addressOf(const UpstreamId& id) const;
    /// @brief Applies notices that came before the configuration that names their upstream.
    void applyEarlyNotices(Instant now);
    void onUpstreamLeaving(const std::string& host, Duration notice, bool tellPeers, Instant now);
    void applyAdmissionChanges(Instant now);
    void applyCrashChecks(const std::vector<CrashCheckResult>& results, Instant now);
    void housekeeping(Instant now);
    void moveFromLeaving(Instant now);
    /// @brief Returns whether the node stops, the load balancer sends no more, and the request may run for longer.
    bool mayOutlastStop(const ClassifiedRequest& request, Instant now) const;
    void refuseForStop(const RequestId& request);
    void advanceStop(Instant now);
    std::size_t openRequests() const { return this->transient.open() + this->durable.openCallers(); }

    NodeState state;
    CrashChecks crashChecks;
    DurableRequests durable;
    TransientRequests transient;
    ClusterEvents cluster;
    VersionRollouts rollouts;

    Instant nextHousekeeping {};
    Instant nextCapacity {};
    /// Notice of an upstream.
    struct Leaving {
        /// Configured address of the host that the notice is about; a replacement has another one.
        std::string address;
        /// Address of the host's predecessor, if the notice came before the configuration with the new address.
        std::string replacedAddress;
        /// Time to move the remaining attempts.
        Instant moveAt {};
        bool moved = false;
        Instant stopsAt {};
    };
    std::map<UpstreamId, Leaving> leaving;
    /// Configuration version up to which early notices were applied.
    ConfigurationVersion noticesVersion = 0;
    std::optional<StopSchedule> stop;
    bool slotsReleasing = false;
    bool stopped = false;
    Instant releaseAt {};
};

} // namespace teaselshore
