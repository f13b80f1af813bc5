#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/slot_messages.hpp"
#include "teaselshore/membership/configuration_distributor.hpp"
#include "teaselshore/membership/membership.hpp"
#include "teaselshore/node/peer_message.hpp"
#include "teaselshore/node/request_event.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief Any message from a peer.
using PeerContent = std::variant<MembershipMessage, ConfigurationMessage, RequestMessage>;

/// @brief A peer's message arrived.
struct PeerMessageReceived {
    NodeId sender;
    std::string senderAddress;
    PeerContent content;

    auto operator<=>(const PeerMessageReceived&) const = default;
};

/// @brief A message certainly did not leave this process.
struct PeerMessageNotSent {
    std::string address;
    PeerContent content;

    auto operator<=>(const PeerMessageNotSent&) const = default;
};

/// @brief The object API returned a version of the operator configuration.
struct ConfigurationRead {
    ConfigurationVersion version = 0;
    std::string text;

    auto operator<=>(const ConfigurationRead&) const = default;
};

/// @brief The platform returned its list of entry hosts and upstreams.
struct HostListRead {
    std::vector<ListedHost> entryHosts;
    HostList upstreams;

    auto operator<=>(const HostListRead&) const = default;
};

/// @brief Reclaim notice for an upstream's host or, with an entry host's address, for a node.
struct ReclaimNotice {
    std::string host;
    /// Time until the host stops.
    Duration notice {};

    auto operator<=>(const ReclaimNotice&) const = default;
};

/// @brief The platform returned the pending reclaim notices.
struct NoticesRead {
    std::vector<ReclaimNotice> notices;

    auto operator<=>(const NoticesRead&) const = default;
};

/// @brief Result of QueryLoad; no report if the upstream did not answer.
struct LoadQueried {
    UpstreamId upstream;
    std::optional<LoadReport> report;
    /// True if the upstream's host refused the connection.
    bool refused = false;
    /// Number of the QueryLoad.
    std::uint64_t check = 0;

    auto operator<=>(const LoadQueried&) const = default;
};

/// @brief Cache events of one engine, in order.
struct CacheEventsRead {
    UpstreamId upstream;
    std::vector<CacheEvent> events;

    auto operator<=>(const CacheEventsRead&) const = default;
};

/// @brief Result of QueryOutcome.
struct OutcomeQueried {
    RequestId request;
    /// Response to give if the upstream confirms that the key ran.
    std::optional<StoredAnswer> answer;

    auto operator<=>(const OutcomeQueried&) const = default;
};

/// @brief An operator or the host asks the node to stop.
struct StopRequested {
    /// Time until the host stops.
    std::optional<Duration> notice;
    /// When the request came; when it is handled, if absent.
    std::optional<Instant> receivedAt;

    auto operator<=>(const StopRequested&) const = default;
};

using NodeEvent = std::variant<RequestArrived, CallerGone, AttemptStarted, AttemptFinished, AttemptFailed,
    PeerMessageReceived, PeerMessageNotSent, ObjectResult, ConfigurationRead, HostListRead, NoticesRead, LoadQueried,
    CacheEventsRead, OutcomeQueried, StopRequested, Tick>;

} // namespace teaselshore
