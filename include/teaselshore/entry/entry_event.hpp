#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/entry/caller_request.hpp"
#include "teaselshore/entry/entry_configuration.hpp"
#include "teaselshore/entry/entry_message.hpp"
#include "teaselshore/entry/registered_upstream.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/slot_messages.hpp"
#include "teaselshore/node/request_event.hpp"

namespace teaselshore {

/// @brief A caller's request was received completely.
struct CallerRequestArrived {
    RequestId id;
    CallerRequest request;
    /// Set if a peer handed the request to this node.
    std::optional<HandedRequest> handed;
};

/// @brief The upstream's response is complete. For a stream: it has ended and all its events were relayed.
struct UpstreamResponded {
    AttemptFinished response;
    ResponseFacts facts;
};

/// @brief The first events of a stream were relayed to the caller.
struct UpstreamStreamStarted {
    AttemptId attempt = 0;
    ResponseFacts facts;
};

/// @brief Outcome of a CheckUpstream.
struct UpstreamChecked {
    enum class State {
        /// The process answers.
        Answered,
        /// Nothing listens at its address, or another process does.
        Ended,
        /// The check timed out.
        Unknown,
    };

    UpstreamId upstream;
    State state = State::Unknown;
    /// A connection to the upstream's address could be established.
    bool isReached = false;
    /// Time for which the upstream is still cold, as its response states it.
    std::optional<Duration> coldFor {};
};

/// @brief The operator's configuration was read from the platform or received from a peer.
struct EntryConfigurationRead {
    EntryConfiguration configuration;
    /// The configuration as the platform encodes it, for peers that cannot read it there.
    std::string text;
};

/// @brief The platform stopped answering the watch of the configuration, or answers it again.
struct ConfigurationWatchChanged {
    bool isAnswered = false;
};

/// @brief The platform answered a call.
struct PlatformAnswered { };

/// @brief The platform answers again after an outage for this node.
struct PlatformReturned {
    /// Time since the last answer before it, which is the longest that the outage can have lasted.
    Duration longestOutage {};
};

/// @brief The platform came back from an older copy: what was written there in the last seconds is gone.
struct PlatformRestored { };

/// @brief The platform returned all registered upstreams.
struct UpstreamsListed {
    std::vector<RegisteredUpstream> upstreams;
};

/// @brief An upstream registered itself or changed its entry.
struct UpstreamChanged {
    RegisteredUpstream upstream;
};

/// @brief An upstream's entry was removed.
struct UpstreamRemoved {
    std::string instance;
};

/// @brief An upstream's entry was replaced by a value that describes no upstream.
struct UpstreamReplaced {
    std::string instance;
};

/// @brief The platform returned all rollout orders.
struct RolloutsListed {
    std::vector<RolloutOrder> orders;
    /// False if the result may be some seconds old and miss recent orders.
    bool isFresh = false;
};

/// @brief The operator requested that nothing more be sent to the upstreams of a zone.
struct EvacuationStarted {
    AvailabilityZone zone;
    /// Version of the object.
    std::uint64_t revision = 0;
};

/// @brief The operator's request to evacuate a zone was removed.
struct EvacuationEnded {
    AvailabilityZone zone;
    std::uint64_t revision = 0;
};

/// @brief The platform returned all evacuations.
struct EvacuationsListed {
    std::vector<EvacuationStarted> evacuations;
    /// Version of the platform up to which the list is complete.
    std::uint64_t revision = 0;
};

/// @brief The platform stopped answering the watch of the evacuations, or answers it again.
struct EvacuationWatchChanged {
    bool isAnswered = false;
};

/// @brief The platform returned the reports of all nodes, each as its node wrote it.
struct NodeReportsRead {
    std::vector<std::string> reports;
};

/// @brief Outcome of a WriteNodeReport.
struct NodeReportWritten {
    bool written = false;
    std::string reason;
};

/// @brief A peer sent a message.
struct EntryMessageReceived {
    /// Address at which the sender listens.
    std::string senderAddress;
    EntryMessage message;
};

/// @brief Outcome of a call to the cloud API.
struct CloudCallEnded {
    /// Call number of the command that ended.
    std::uint64_t call = 0;
    ObjectOutcome outcome = ObjectOutcome::Unavailable;
    /// Version of the written object; 0 if the call wrote none.
    ObjectVersion version = 0;
};

/// @brief Reading of the host's clock, as time since 1970.
struct ClockRead {
    Duration sinceEpoch {};
};

/// @brief The host requests a planned stop of the daemon.
struct EntryStopRequested {
    /// When the request reached the process, if that is known; a busy daemon handles it later.
    std::optional<Instant> receivedAt {};
};

/// @brief A timer is due.
struct EntryTick { };

using EntryEvent = std::variant<CallerRequestArrived, CallerGone, UpstreamStreamStarted, UpstreamResponded,
    AttemptFailed, UpstreamChecked, EntryConfigurationRead, ConfigurationWatchChanged, PlatformAnswered,
    PlatformReturned, PlatformRestored, UpstreamsListed, UpstreamChanged, UpstreamRemoved, UpstreamReplaced,
    RolloutsListed, EvacuationStarted, EvacuationEnded, EvacuationsListed, EvacuationWatchChanged, NodeReportsRead,
    NodeReportWritten, EntryMessageReceived, CloudCallEnded, ObjectResult, ClockRead, EntryStopRequested, EntryTick>;

} // namespace teaselshore
