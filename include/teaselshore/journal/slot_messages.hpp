#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/record.hpp"
#include "teaselshore/journal/slot_map.hpp"

namespace teaselshore {

/// @brief Identifies one waiting caller or one forwarded request at this node. Chosen by the node, never reused.
using CallerId = std::uint64_t;

/// @brief The request ran; this is its response.
struct AnswerFinished {
    StoredAnswer answer;

    auto operator<=>(const AnswerFinished&) const = default;
};

/// @brief The asynchronous request is durable; its answer can be read by id (202).
struct AnswerAccepted {
    RequestId request;

    auto operator<=>(const AnswerAccepted&) const = default;
};

/// @brief This request did not run and will not run, unless the caller sends it again.
struct AnswerNotRun {
    Duration retryAfter {};
    std::string reason;

    auto operator<=>(const AnswerNotRun&) const = default;
};

/// @brief The request may have run; a retry with the same key is safe.
struct AnswerUnknown {
    Duration retryAfter {};

    auto operator<=>(const AnswerUnknown&) const = default;
};

/// @brief No request with this id is known; it never existed or its retention has ended.
struct AnswerNotFound {
    auto operator<=>(const AnswerNotFound&) const = default;
};

using Answer = std::variant<AnswerFinished, AnswerAccepted, AnswerNotRun, AnswerUnknown, AnswerNotFound>;

/// @brief Non-idempotent or asynchronous request from a caller, or forwarded by another node.
struct ClientRequest {
    CallerId caller = 0;
    JournalRequest request;
    /// Upstream chosen for a request that is answered on the connection.
    std::optional<UpstreamId> upstream;
    /// True if another node forwarded it; it is then not forwarded again.
    bool forwarded = false;

    auto operator<=>(const ClientRequest&) const = default;
};

/// @brief A caller asks for the answer of an asynchronous request.
struct AnswerRead {
    CallerId caller = 0;
    RequestId request;
    bool forwarded = false;

    auto operator<=>(const AnswerRead&) const = default;
};

/// @brief Reply to RunAccepted: the upstream to use.
struct UpstreamChosen {
    RequestId request;
    UpstreamId upstream;

    auto operator<=>(const UpstreamChosen&) const = default;
};

/// @brief The upstream answered completely.
struct UpstreamFinished {
    RequestId request;
    std::uint32_t attempt = 1;
    StoredAnswer answer;

    auto operator<=>(const UpstreamFinished&) const = default;
};

/// @brief The request was not sent, or the upstream guarantees that it did not start.
struct UpstreamNotRun {
    RequestId request;
    std::uint32_t attempt = 1;
    /// Another upstream to try; nothing if the retry budget or the upstreams are exhausted.
    std::optional<UpstreamId> next;

    auto operator<=>(const UpstreamNotRun&) const = default;
};

/// @brief The request was sent and its outcome is not known.
struct UpstreamUnknown {
    RequestId request;
    std::uint32_t attempt = 1;

    auto operator<=>(const UpstreamUnknown&) const = default;
};

/// @brief Reply to LookUpOutcome. An upstream that has not seen the key may still receive the request later, so
/// that counts as no answer.
struct OutcomeLookedUp {
    RequestId request;
    /// Answer to give if the upstream confirms that the key ran; nothing in every other case.
    std::optional<StoredAnswer> answer;

    auto operator<=>(const OutcomeLookedUp&) const = default;
};

/// @brief The owner answered a forwarded request.
struct ForwardAnswered {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    Answer answer;

    auto operator<=>(const ForwardAnswered&) const = default;
};

/// @brief A forward got no answer.
struct ForwardFailed {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    /// True if the owner may have received it.
    bool mayHaveBeenSent = true;

    auto operator<=>(const ForwardFailed&) const = default;
};

/// @brief The member is alive and may own slots.
struct MemberAlive {
    NodeId node;

    auto operator<=>(const MemberAlive&) const = default;
};

/// @brief The member is dead or leaves.
struct MemberDead {
    NodeId node;

    auto operator<=>(const MemberDead&) const = default;
};

/// @brief Time passed; at least every 100 ms, and at SlotOwner::nextTick() for the lowest latency.
struct Tick {
    auto operator<=>(const Tick&) const = default;
};

/// @brief The host will be reclaimed or the process is to stop.
struct PlannedStop {
    /// Time until the process is killed.
    Duration notice {};

    auto operator<=>(const PlannedStop&) const = default;
};

/// @brief Right to append to a journal, with the groups that are not durable yet.
struct HandOver {
    NodeId from;
    OwnerInstance instance;
    std::uint64_t nextNumber = 1;
    /// Encoded batch with number nextNumber that may already have been applied.
    std::optional<std::string> openBatch;
    /// Groups as encoded by encodeGroup().
    std::vector<std::string> groups;

    auto operator<=>(const HandOver&) const = default;
};

/// @brief A peer hands over its journal.
struct HandOverReceived {
    HandOver handOver;

    auto operator<=>(const HandOverReceived&) const = default;
};

/// @brief The peer has taken the hand-over.
struct HandOverAcknowledged {
    OwnerInstance instance;

    auto operator<=>(const HandOverAcknowledged&) const = default;
};

using SlotEvent = std::variant<ClientRequest, AnswerRead, ObjectResult, UpstreamChosen, UpstreamFinished,
    UpstreamNotRun, UpstreamUnknown, OutcomeLookedUp, ForwardAnswered, ForwardFailed, MemberAlive, MemberDead, Tick,
    PlannedStop, HandOverReceived, HandOverAcknowledged>;

/// @brief Sends the request to the upstream.
struct DispatchUpstream {
    JournalRequest request;
    UpstreamId upstream;
    std::uint32_t attempt = 1;

    auto operator<=>(const DispatchUpstream&) const = default;
};

struct AnswerCaller {
    CallerId caller = 0;
    Answer answer;

    auto operator<=>(const AnswerCaller&) const = default;
};

/// @brief Asks the upstream whether the key ran; the reply is OutcomeLookedUp.
struct LookUpOutcome {
    RequestId request;
    KeyId key;
    ServiceName service;
    UpstreamId upstream;
    std::uint32_t attempt = 1;

    auto operator<=>(const LookUpOutcome&) const = default;
};

/// @brief Asks for an upstream for a durable request; the reply is UpstreamChosen, as soon as there is capacity.
struct RunAccepted {
    JournalRequest request;

    auto operator<=>(const RunAccepted&) const = default;
};

/// @brief Forwards a request to the owner of its slot; the reply is ForwardAnswered or ForwardFailed.
struct ForwardToOwner {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    NodeId owner;
    JournalRequest request;
    std::optional<UpstreamId> upstream;

    auto operator<=>(const ForwardToOwner&) const = default;
};

/// @brief Forwards an AnswerRead to the owner of its slot; the reply is ForwardAnswered or ForwardFailed.
struct ForwardRead {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    NodeId owner;
    RequestId request;

    auto operator<=>(const ForwardRead&) const = default;
};

struct SendHandOver {
    NodeId to;
    HandOver handOver;

    auto operator<=>(const SendHandOver&) const = default;
};

struct SendHandOverAck {
    NodeId to;
    OwnerInstance instance;

    auto operator<=>(const SendHandOverAck&) const = default;
};

/// @brief The instance has lost its slots for good; the node goes on under a new instance.
struct OwnershipLost {
    OwnerInstance instance;

    auto operator<=>(const OwnershipLost&) const = default;
};

/// @brief All slots are released or handed over; the process may exit.
struct StopCompleted {
    auto operator<=>(const StopCompleted&) const = default;
};

using SlotCommand = std::variant<ObjectCommand, DispatchUpstream, AnswerCaller, LookUpOutcome, RunAccepted,
    ForwardToOwner, ForwardRead, SendHandOver, SendHandOverAck, OwnershipLost, StopCompleted>;

} // namespace teaselshore
