#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crash_checks.hpp"
#include "node_state.hpp"
#include "teaselshore/reliability/backoff.hpp"

namespace teaselshore {

/// @brief Life of idempotent requests that are answered on the caller's connection.
///
/// They are not journalled: if this process dies, the caller sends the request again. Streams that lose their upstream
/// go on at another one after the last complete event. Not thread-safe.
class TransientRequests {
public:
    TransientRequests(NodeState& state, CrashChecks& crashChecks);

    void onArrived(
        RequestArrived arrived, ClassifiedRequest classified, std::optional<TraceContext> parent, Instant now);
    void onCallerGone(const RequestId& id, Instant now);
    void onAttemptStarted(const RunningAttempt& attempt, Instant now);
    void onAttemptFinished(const RunningAttempt& attempt, AttemptFinished finished, Instant now);
    void onAttemptFailed(const RunningAttempt& attempt, const AttemptFailed& failed, Instant now);

    /// @brief Continues requests that waited for the result of a crash check.
    void onCrashCheck(const CrashCheckResult& result, Instant now);

    /// @brief Ends a request that waited too long for admission.
    void onAdmissionRejected(const Rejected& rejected, Instant now);

    /// @brief Starts, or goes on with, a request that has its place.
    void proceed(const RequestId& id, Instant now);

    /// @brief Interrupts a running request, to go on with it later; does nothing for an id that is not known here.
    void preempt(const RequestId& id);

    /// @brief Interrupts the attempts on an upstream that is about to leave.
    void moveFrom(const UpstreamId& upstream);

    void onTick(Instant now);

    /// @brief Answers all open requests, as the process ends.
    void endAll(Instant now);

    std::size_t open() const { return this->requests.size(); }

private:
    enum class Phase {
        Queued,
        /// Waits until waitUntil, then asks again for an upstream.
        Waiting,
        Running,
        /// Waits for a crash check.
        Checking,
    };

    struct Request {
        RequestArrived arrived;
        ClassifiedRequest classified;
        TraceContext trace;
        SpanId parentSpan;
        Instant arrivedAt {};
        Instant deadline {};
        Phase phase = Phase::Queued;
        Instant waitUntil {};
        AttemptId attempt = 0;
        std::uint32_t attempts = 0;
        std::uint64_t relayedEvents = 0;
        bool mayHaveRun = false;
        bool preempting = false;
        /// The caller has got the head of the stream.
        bool streaming = false;
        std::vector<UpstreamId> excluded;
        std::optional<VersionName> version;
        Backoff backoff;
    };

    void dispatch(Request& request, bool alone, Instant now);
    void wait(Request& request, Duration delay, Instant now);
    void retry(Request& request, bool amplifies, const std::string& reason, Instant now);
    void expire(Request& request, Instant now);
    /// @brief Cancels the running attempt, if there is one.
    void cancelAttempt(Request& request, AttemptOutcome outcome, Instant now);
    void respond(Request& request, AttemptFinished finished, Instant now);
    void fail(Request& request, const CallerError& error, Instant now);
    void erase(const RequestId& id, std::string outcome, Instant now);
    Request* find(const RequestId& id);

    NodeState& state;
    CrashChecks& crashChecks;
    std::unordered_map<RequestId, Request> requests;
    /// Deadlines and ends of waits; entries of ended requests are skipped.
    std::set<std::pair<Instant, RequestId>> timers;
};

} // namespace teaselshore
