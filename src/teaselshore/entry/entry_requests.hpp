#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "brittle_exchange.hpp"
#include "cold_exchange.hpp"
#include "crash_detector.hpp"
#include "entry_rollouts.hpp"
#include "entry_state.hpp"
#include "evacuation_exchange.hpp"
#include "limit_exchange.hpp"
#include "refusal_exchange.hpp"
#include "teaselshore/entry/request_forecast.hpp"
#include "teaselshore/reliability/duration_estimate.hpp"
#include "teaselshore/reliability/stop_schedule.hpp"
#include "teaselshore/routing/overload_controller.hpp"
#include "waiting_requests.hpp"

namespace teaselshore {

/// @brief Handles callers' requests from arrival to the end of the response.
///
/// A request that is not retryable is sent again only if the upstream guarantees that it did not run. Status 429 or 503
/// is returned only for a request that was never sent or that none of its upstreams has run. Not thread-safe.
class EntryRequests {
public:
    EntryRequests(EntryState& state, EntryRollouts& rollouts, CrashDetector& crashes, RefusalExchange& refusals,
        LimitExchange& limits, BrittleExchange& brittle, const EvacuationExchange& evacuations, ColdExchange& cold);

    void onArrived(CallerRequestArrived arrived, Instant now);
    void onCallerGone(const RequestId& id, Instant now);
    void onQuotaLoan(const std::string& sender, const QuotaLoan& loan, Instant now);
    void onStreamStarted(const UpstreamStreamStarted& event, Instant now);
    void onResponded(UpstreamResponded event, Instant now);
    void onFailed(const AttemptFailed& event, Instant now);
    /// @brief Dispatches waiting requests after a change of the upstreams or of the configuration.
    void onCapacityChanged(Instant now);
    /// @brief Hands the requests that wait, or are not answered, to peers.
    void onLinksLost(Instant now);
    /// @brief From now on, refuses requests that are not likely to end before the process does; later, all that may
    /// outlast it.
    void onStopRequested(const StopSchedule& schedule) { this->stop = schedule; }
    /// @brief Answers all open requests, as the process is about to end.
    void endAll(Instant now);
    void onTick(Instant now);
    Instant nextTick() const;
    /// @brief Returns what would happen to a request that arrived now. Sends, charges and counts nothing.
    RequestForecast forecast(const CallerRequest& caller, Instant now);
    std::size_t openCount() const { return this->requests.size(); }
    std::size_t waitingCount() const { return this->waiting.size(); }
    /// @brief Returns how many attempts run at upstreams of a zone, or of all evacuated ones.
    std::size_t countRunningIn(const AvailabilityZone& zone) const;
    std::size_t countRunningInEvacuatedZones() const;

private:
    struct Request {
        RequestId id;
        CallerRequest caller;
        /// Keeps the route valid after a newer configuration took effect.
        std::shared_ptr<const RouteTable> table;
        const EntryRoute* route = nullptr;
        std::optional<WorkspaceName> workspace;
        double quotaCost = 0;
        /// True once quotaCost has been taken from the quota.
        bool quotaTaken = false;
        ServiceName service;
        std::uint32_t priority = 0;
        RoutingRequest routing;
        Instant arrivedAt {};
        /// Time by which the response must be complete.
        Instant deadline {};
        std::optional<AttemptId> attempt;
        /// Number of times the request was sent.
        std::uint32_t sends = 0;
        /// Number of times the request was sent and may have run.
        std::uint32_t runs = 0;
        /// True once an upstream may have received the request, whether it ran it or refused it.
        bool mayHaveArrived = false;
        /// True once a node has counted the request in its retry budget.
        bool isCounted = false;
        /// Set if a peer handed the request to this node, which then does not hand it on.
        std::optional<HandedRequest> handed;
        /// Peers that were tried.
        std::vector<std::string> triedPeers;
        /// Number of upstreams to which no connection could be established.
        std::uint32_t failedConnections = 0;
        /// Result of crashKeys(); computed on first use.
        std::vector<Fingerprint> crashKeys;
        bool usageCounted = false;
        bool streaming = false;
        /// Time from the arrival to the first event of the stream.
        std::optional<Duration> firstEventAfter;
        std::optional<std::uint64_t> lastEventId;
        /// Failure response of an upstream; forwarded to the caller if no retry succeeds.
        std::optional<AttemptFinished> upstreamFailure;
        std::optional<Instant> waitUntil;
        /// Upstreams that refused the request; tried again only if there is no other and they accept requests.
        std::vector<UpstreamId> refusedBy;
        /// For the log: the upstreams that were passed over because of their limits.
        std::string passedOver;
    };

    struct Attempt {
        RequestId request;
        UpstreamId upstream;
        DispatchId dispatch;
        ServiceName service;
        RouteName route;
        Instant startedAt {};
        /// Time to the first event of a stream.
        std::optional<Duration> firstEventAfter;
        /// True once the run has shown that the request does not crash its upstream.
        bool hasSurvived = false;
    };

    /// An attempt at a peer.
    struct RelayedAttempt {
        RequestId request;
        std::string peer;
    };

    /// A failed attempt as evidence about its version, until it is known that this node has links to other upstreams.
    struct HeldEvidence {
        Attempt attempt;
        AttemptEnd end;
        Duration latency {};
        Instant at {};
    };

    /// @brief Returns how often the request may have run before it was handed to this node.
    static std::uint32_t earlierRuns(const Request& request);
    Request* find(const RequestId& id);
    /// @brief Returns whether the configuration and the upstreams are known.
    bool isReady() const;
    void refuseNotReady(Request& request, Instant now);
    /// @brief Begins the requests that arrived before the node was ready; refuses them once earlyDeadline has passed.
    void beginEarlyRequests(Instant now);
    void begin(Request& request, Instant now);
    /// @brief Sets the workspace, priority and quota cost; returns the outcome if the request is refused.
    std::optional<RequestOutcome> authorise(Request& request);
    /// @brief Dispatches a request that is within its workspace's quota.
    void admit(Request& request, Instant now);
    void recordAccepted(const UpstreamId& upstream, Instant now);
    /// @brief Returns whether an upstream has just run a request of this node.
    bool hasAcceptedLately(const UpstreamId& upstream, Instant now) const;
    /// @brief Requests the missing quota from peers, or refuses the request if there is no peer to ask.
    void borrowQuota(Request& request, const QuotaShortage& shortage, Instant now);
    void onLoanEnded(const EndedLoan& loan, Instant now);
    /// @brief Sends loan requests to further peers, and returns surplus loans.
    void sendLoanMessages();
    void refuseOverQuota(Request& request, const QuotaShortage& shortage, Instant now);
    void fillRouting(Request& request);
    ServiceName selectService(const EntryRoute& route);
    /// @brief Returns what the admission of a request depends on; nothing for services that are not subject to it.
    std::optional<AdmissionOffer> offerOf(const Request& request) const;
    /// @brief Rejects the request if its service is short of capacity and others go first. Returns whether it did.
    bool rejectForShortage(Request& request, Instant now);
    RouteAdmission& admissionOf(const Request& request)
    {
        return this->state.statistics.admissions[request.route->name];
    }
    /// @brief Records the time to the first event, or to the response if it is no stream.
    void recordFirstEvent(Request& request, Instant now);
    void logShortages();
    void dispatch(Request& request, Instant now);
    /// @brief Returns whether there is a peer for the request, and time to hand it on.
    bool canRelay(const Request& request, Instant now) const;
    /// @brief Hands the request to a peer. Returns false if it may not be, or if no peer is left.
    bool tryRelay(Request& request, Instant now);
    /// @brief Returns whether upstreams cannot serve the requests of this node, not even on connections that are open.
    bool needsPeers(Instant now) const { return this->state.links.areLost() && !this->state.links.areAnswering(now); }
    /// @brief Hands the request to a peer, or ends it if no peer can take it.
    void relayOrEnd(Request& request, const std::string& reason, Instant now);
    void onPeerResponded(const RelayedAttempt& attempt, UpstreamResponded event, Instant now);
    void onPeerFailed(const RelayedAttempt& attempt, const AttemptFailed& event, Instant now);
    std::optional<RelayedAttempt> takeRelayedAttempt(AttemptId id);
    /// @brief Gives up attempts without an answer that a peer can repeat, since the links are lost.
    void abandonUnanswered(Instant now);
    /// @brief Returns whether all upstreams of the service that could serve requests are in evacuated zones.
    bool isEvacuated(const ServiceName& service, Instant now) const;
    /// @brief Ends the waiting requests whose upstreams are all in evacuated zones.
    void endEvacuated(Instant now);
    /// @brief Returns after what time upstreams in evacuated zones may be in use again.
    Duration evacuationRetryAfter(const ServiceName& service, Instant now);
    void stopWaiting(Request& request);
    static const std::vector<Fingerprint>& crashKeysOf(Request& request);
    /// @brief Clears the crash keys of requests whose upstreams have been sending events for some time.
    void clearKeysOfRunningStreams(Instant now);
    /// @brief Refuses a request if such requests crashed several upstreams. Returns whether it was refused.
    bool refuseIfQuarantined(Request& request, Instant now);
    /// @brief Sends the request, or refuses it if it is quarantined. Returns false if no upstream has capacity.
    bool trySend(Request& request, Instant now);
    void enqueue(Request& request, Instant now);
    void dispatchWaiting(Instant now);
    /// Result of an attempt without a usable response, as far as it matters for a retry.
    struct AttemptResult {
        bool mayHaveRun = false;
        bool connectionBroken = false;
    };
    /// @brief Sets the time by which the response must be complete. Precondition: the route is set.
    static void setDeadline(Request& request);
    /// @brief Returns whether the process may end before a request that starts now. Precondition: its deadline is set.
    bool isTooLate(const Request& request, Instant now) const;
    /// @brief Returns whether the request may be sent once more, and has the time, when it has run so many times here.
    bool mayRunAfter(std::uint32_t runs, const Request& request, Instant now) const;
    bool mayRetry(Request& request, const AttemptResult& result, Instant now);
    /// @brief Takes a retry from the budget if the request may have reached an upstream; false if there is none left.
    bool chargeRetry(const Request& request, Instant now);
    void retryOrEnd(Request& request, const AttemptResult& result, const std::string& reason, Instant now);
    std::optional<Attempt> takeAttempt(AttemptId id);
    /// @brief Applies what a response says about the state and load of its upstream.
    void applyFacts(const UpstreamId& upstream, const ResponseFacts& facts, Instant now);
    /// @brief Returns the upstreams that asked for a pause, and those of the request's service that get no request from
    /// this node now because of their limit or because they are brittle.
    std::vector<UpstreamId> unavailableUpstreams(Request& request, Instant now);
    /// @brief Adds the cold upstreams at which this node has no turn now; returns them for the log.
    std::string passOverCold(Request& request, std::vector<UpstreamId>& unavailable, Instant now);
    /// When the upstreams of a service end their pauses or allow the next request by their limits.
    struct Availability {
        /// First time at which this node may send a request.
        Instant here;
        /// First time at which any node may send one.
        Instant anywhere;
    };
    /// @brief Returns nothing if this node may send a request to any upstream of the service now.
    std::optional<Availability> nextAvailability(const ServiceName& service, Instant now) const;
    /// @brief Records an ended attempt as evidence about the version that ran it.
    void recordVersionEvidence(const Attempt& attempt, AttemptEnd end, Instant now);
    /// @brief Records held evidence once another upstream was reached, and drops it if the links are lost.
    void releaseEvidence(Instant now);
    void countUsage(Request& request, Instant now);
    void cancelAttempt(Request& request, Instant now);
    void respond(Request& request, AttemptFinished response, RequestOutcome outcome, Instant now);
    void refuse(Request& request, RequestOutcome outcome, int status, const std::string& reason,
        std::optional<Duration> retryAfter, Instant now);
    void endWithoutResponse(Request& request, const std::string& reason, Instant now);
    void end(Request& request, RequestOutcome outcome, int status, const std::string& reason, Instant now);
    Duration retryAfter(const Request& request, Instant now);
    RequestForecast forecastOf(Request& request, Instant now);
    RequestForecast forecastRouting(Request& request, Instant now);

    static constexpr const char* evacuatedReason = "all upstreams are in evacuated zones";

    EntryState& state;
    EntryRollouts& rollouts;
    CrashDetector& crashes;
    RefusalExchange& refusals;
    LimitExchange& limits;
    BrittleExchange& brittle;
    const EvacuationExchange& evacuations;
    ColdExchange& cold;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<AttemptId, RelayedAttempt> relayedAttempts;
    std::vector<HeldEvidence> heldEvidence;
    AttemptId lastAttempt = 0;
    std::set<std::pair<Instant, RequestId>> deadlines;
    /// When upstreams responded last to a request that they ran; recent ones only.
    std::map<UpstreamId, Instant> acceptedAt;
    /// Requests that arrived before the node was ready, and the time until which they may wait.
    std::vector<RequestId> earlyRequests;
    std::optional<Instant> earlyDeadline;
    /// True once all requests were ended; those that are still read are refused.
    bool hasEnded = false;
    /// Set during a planned stop.
    std::optional<StopSchedule> stop;
    /// Times that attempts took whose response was passed on.
    std::map<RouteName, DurationEstimate> routeTimes;
    /// When the waiting requests were last dispatched.
    Instant lastWaitingDispatch {};
    WaitingRequests waiting;
    OverloadController overload;
};

} // namespace teaselshore
