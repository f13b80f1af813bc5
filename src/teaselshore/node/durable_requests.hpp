#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "crash_checks.hpp"
#include "node_state.hpp"
#include "teaselshore/journal/slot_owner.hpp"

namespace teaselshore {

/// @brief Life of journalled requests: non-idempotent ones and those answered with 202.
///
/// Connects the journal's SlotOwner with callers, peers and upstreams. Not thread-safe.
class DurableRequests {
public:
    DurableRequests(NodeState& state, CrashChecks& crashChecks);

    void onArrived(const RequestArrived& arrived, const ClassifiedRequest& classified,
        const std::optional<TraceContext>& parent, Instant now);

    /// @brief Handles a caller's request for the stored response of a durable request.
    void onReadArrived(const RequestArrived& arrived, const RequestId& target, Instant now);
    void onCallerGone(const RequestId& id);

    void onForwarded(const std::string& senderAddress, const ForwardedRequest& forwarded, Instant now);
    void onForwarded(const std::string& senderAddress, const ForwardedRead& forwarded, Instant now);
    void onForwardNotSent(CallerId caller, std::uint32_t attempt, Instant now);

    void onAttemptFinished(const RunningAttempt& attempt, AttemptFinished finished, Instant now);
    void onAttemptFailed(const RunningAttempt& attempt, const AttemptFailed& failed, Instant now);
    void onCrashCheck(const CrashCheckResult& result, Instant now);

    /// @brief Returns whether an accepted request with this id waits for admission.
    bool waitsForAdmission(const RequestId& id) const { return this->waitingRuns.contains(id); }

    /// @brief Tries a run again later that waited too long for admission; an accepted request is never dropped.
    void onAdmissionRejected(const Rejected& rejected, Instant now);

    /// @brief Interrupts a running idempotent request, to run it again later.
    void preempt(const RequestId& id);

    /// @brief Chooses an upstream for an accepted request that has its place.
    void chooseForRun(const RequestId& id, Instant now);
    void onTick(Instant now);

    /// @brief Gives an event to the journal and carries out its commands.
    void handle(const SlotEvent& event, Instant now);

    Instant nextTick() const { return this->owner.nextTick(); }
    const SlotOwner& slotOwner() const { return this->owner; }
    bool stopCompleted() const { return this->stopped; }

    /// @brief Answers all callers at this node, as the process ends. What was accepted goes on at another node.
    void endCallers(Instant now);

    /// @brief Number of callers at this node that wait for an answer.
    std::size_t openCallers() const { return this->localCallers.size(); }

private:
    struct LocalCaller {
        RequestId request;
        TraceContext trace;
        SpanId parentSpan;
        ServiceName service;
        /// Id under which the request would be journalled.
        RequestId journalled;
        Instant arrivedAt {};
    };
    struct RemoteCaller {
        std::string address;
        CallerId caller = 0;
        std::uint32_t attempt = 0;
        RequestId journalled;
        std::optional<TraceContext> trace;
        SpanId parentSpan;
        Instant arrivedAt {};
    };

    void execute(const ObjectCommand& command, Instant now);
    void execute(const DispatchUpstream& command, Instant now);
    void execute(const AnswerCaller& command, Instant now);
    void execute(const LookUpOutcome& command, Instant now);
    void execute(const RunAccepted& command, Instant now);
    void execute(const ForwardToOwner& command, Instant now);
    void execute(const ForwardRead& command, Instant now);
    void execute(const SendHandOver& command, Instant now);
    void execute(const SendHandOverAck& command, Instant now);
    void execute(const OwnershipLost& command, Instant now);
    void execute(const StopCompleted& command, Instant now);

    void answerLocal(const LocalCaller& caller, const Answer& answer, Instant now);
    void requestAdmission(const RequestId& id, Instant now);
    void deferRun(const RequestId& id, Duration delay, Instant now);

    /// @brief Chooses an upstream and keeps the decision for the dispatch that follows.
    std::optional<UpstreamId> choose(
        const JournalRequest& request, std::vector<UpstreamId> excluded, bool alone, Instant now);
    std::optional<UpstreamId> chooseNext(const RunningAttempt& attempt, Instant now);
    void notRun(const RunningAttempt& attempt, int status, Instant now);
    std::optional<ClassifiedRequest> classify(const JournalRequest& request) const;
    std::string addressOf(const NodeId& node) const;

    struct Chosen {
        RoutingRequest routing;
        RoutingDecision decision;
        ClassifiedRequest classified;
    };

    NodeState& state;
    CrashChecks& crashChecks;
    SlotOwner owner;
    CallerId lastCaller;
    std::unordered_map<CallerId, LocalCaller> localCallers;
    std::unordered_map<RequestId, CallerId> callerOfRequest;
    std::unordered_map<CallerId, RemoteCaller> remoteCallers;
    std::unordered_map<RequestId, Chosen> chosen;
    struct Dispatched {
        JournalRequest request;
        AttemptId attempt = 0;
    };
    /// Requests at an upstream.
    std::unordered_map<RequestId, Dispatched> dispatched;
    /// Accepted requests that wait for admission or for an upstream.
    std::unordered_map<RequestId, JournalRequest> waitingRuns;
    std::multimap<Instant, RequestId> deferredRuns;
    /// Runs with a place and an upstream that the journal has not dispatched yet, and when their place is given back.
    std::unordered_map<RequestId, Instant> awaitingDispatch;
    bool stopped = false;
};

} // namespace teaselshore
