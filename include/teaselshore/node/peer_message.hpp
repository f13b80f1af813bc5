#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/header_list.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Identifies a forwarded request at the node that forwarded it; unique per node instance.
using ForwardId = std::uint64_t;

/// @brief Request for a key whose slot the receiver owns.
struct ForwardRequest {
    ForwardId forward = 0;
    RequestId request;
    WorkspaceName workspace;
    IdempotencyKey key;
    ServiceName service;
    RouteName route;
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
    /// True for a durable request that is answered with 202 once it is accepted.
    bool respondAsync = false;
    Duration remainingTime {};
    std::string traceparent;

    auto operator<=>(const ForwardRequest&) const = default;
};

/// @brief Asks the owner of a slot for the stored response of a durable request.
struct StoredResponseQuery {
    ForwardId forward = 0;
    RequestId request;

    auto operator<=>(const StoredResponseQuery&) const = default;
};

/// @brief Response to ForwardRequest or StoredResponseQuery.
struct ForwardReply {
    ForwardId forward = 0;
    int status = 0;
    HeaderList headers;
    std::string body;

    auto operator<=>(const ForwardReply&) const = default;
};

/// @brief The receiver does not own the slot and did nothing with the forwarded request.
struct ForwardRefused {
    ForwardId forward = 0;
    std::string reason;

    auto operator<=>(const ForwardRefused&) const = default;
};

/// @brief State of a request that was running when its upstream crashed. Sent before the request is retried.
struct SuspectReport {
    enum class State {
        Suspected,
        Retrying,
        Rejected,
        Cleared,
    };

    Fingerprint request = 0;
    State state = State::Suspected;
    std::uint32_t crashes = 0;

    auto operator<=>(const SuspectReport&) const = default;
};

/// @brief The sender stopped sending work to a version on its own evidence.
struct VersionEvidence {
    ServiceName service;
    VersionName version;
    std::string reason;
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;

    auto operator<=>(const VersionEvidence&) const = default;
};

/// @brief An upstream was announced to leave.
struct UpstreamLeaving {
    UpstreamId upstream;
    /// Time until it stops, from the sender's view.
    Duration notice {};

    auto operator<=>(const UpstreamLeaving&) const = default;
};

/// @brief Hands journal position and open durable requests to a peer; the content is encoded by module journal.
struct HandOver {
    std::string content;

    auto operator<=>(const HandOver&) const = default;
};

/// @brief The receiver has taken over everything in the HandOver of this journal.
struct HandOverAck {
    NodeId journal;
    std::uint64_t nextNumber = 0;

    auto operator<=>(const HandOverAck&) const = default;
};

/// @brief Messages between the request paths of two nodes.
using RequestMessage = std::variant<ForwardRequest, StoredResponseQuery, ForwardReply, ForwardRefused, SuspectReport,
    VersionEvidence, UpstreamLeaving, HandOver, HandOverAck>;

} // namespace teaselshore
