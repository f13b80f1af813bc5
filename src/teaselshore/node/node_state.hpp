#pragma once

#include <map>
#include <memory>
#include <string>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/membership/configuration_distributor.hpp"
#include "teaselshore/membership/membership.hpp"
#include "teaselshore/node/attempt_table.hpp"
#include "teaselshore/node/classified_request.hpp"
#include "teaselshore/node/decision_log.hpp"
#include "teaselshore/node/node_command.hpp"
#include "teaselshore/node/node_settings.hpp"
#include "teaselshore/node/node_statistics.hpp"
#include "teaselshore/reliability/crash_suspects.hpp"
#include "teaselshore/reliability/retry_budget.hpp"
#include "teaselshore/routing/admission_controller.hpp"
#include "teaselshore/routing/router.hpp"
#include "teaselshore/telemetry/span.hpp"
#include "teaselshore/telemetry/trace_context.hpp"
#include "upstream_poller.hpp"

namespace teaselshore {

/// @brief Attempt as it ended, with what is known of its upstream at that time.
struct EndedAttempt {
    RunningAttempt attempt;
    AttemptOutcome outcome = AttemptOutcome::Completed;
    int status = 0;
    std::optional<UpstreamStatus> upstream;
};

/// @brief State that the parts of a Node share, and the commands of the event that is being handled.
struct NodeState {
    explicit NodeState(NodeSettings nodeSettings);

    /// @brief Starts a child span of a trace, or a new trace if there is none.
    TraceContext childOf(const std::optional<TraceContext>& parent);

    /// @brief Sends a message to every live peer.
    void broadcast(const RequestMessage& message);

    /// @brief Tells all peers about crash suspects, if there is anything to tell.
    void broadcastSuspects(std::vector<SuspectReport> reports);

    /// @brief Takes over a peer's crash suspects, and remembers which isolated retries run at it.
    void onSuspectReports(const NodeId& sender, const std::vector<SuspectReport>& reports, Instant now);

    /// @brief Returns how to treat a request that may have crashed upstreams.
    ///
    /// No isolated retry starts soon after a crash while some member cannot be reached: it may know of more crashes, or
    /// run a retry itself.
    SuspectVerdict suspectVerdict(Fingerprint request, Instant now) const;
    /// @brief Lets another node run the isolated retries of a member that died.
    void onMemberDead(const NodeId& member, Instant now);

    /// @brief Attempt that is about to be sent; startAttempt() fills in what follows from the decision.
    struct Outgoing {
        RunningAttempt attempt;
        StartAttempt start;
    };

    /// @brief Registers an attempt and sends it to the chosen upstream.
    AttemptId startAttempt(
        const RoutingRequest& routing, const RoutingDecision& decision, Outgoing outgoing, Instant now);

    /// @brief Reports the end of an attempt to router and traces. Precondition: it was taken out of the table.
    ///
    /// status is that of the upstream's response, 0 without one.
    void endAttempt(
        const RunningAttempt& attempt, AttemptOutcome outcome, std::uint32_t outputTokens, Instant now, int status = 0);

    /// @brief Records a finished hop of a request.
    void recordSpan(const TraceContext& trace, const SpanId& parent, std::string name, Instant start, Instant now,
        std::vector<SpanAttribute> attributes);

    /// @brief Frees the admission place of a request, if it has one; see admissionChanges.
    void release(const RequestId& request, Instant now);

    /// @brief Tells admission how many requests each service can run at the same time.
    void refreshCapacity(Instant now);

    /// @brief Returns the parsed configuration. Precondition: the text is valid.
    ///
    /// Takes over the result of the distributor's check if that was of the same text, because parsing 5,300 engines
    /// takes 0.15 s.
    std::shared_ptr<const Configuration> takeConfiguration(const std::string& text);

    /// @brief Returns an upstream of the configuration in effect; null if it has none with this id.
    const UpstreamConfiguration* findUpstream(const UpstreamId& id) const;

    RetryBudget& retryBudget(const ServiceName& service);

    void log(LogLevel level, std::string message, std::vector<std::pair<std::string, std::string>> fields = {});

    NodeSettings settings;
    RandomSource random;
    std::shared_ptr<const Configuration> configuration;
    ConfigurationVersion configurationVersion = 0;
    /// Newest configuration that was refused since the last accepted one.
    std::optional<ReportInvalid> refusedConfiguration;
    Router router;
    AdmissionController admission;
    CrashSuspects suspects;
    AttemptTable attempts;
    Membership membership;
    ConfigurationDistributor distributor;
    DecisionLog decisions;
    UpstreamPoller poller;
    NodeStatistics statistics;
    NodeCommands commands;
    /// Changes of admission that the node still has to pass to the requests.
    std::vector<AdmissionChanges> admissionChanges;
    /// Ended attempts that the node still has to pass to the version rollouts.
    std::vector<EndedAttempt> endedAttempts;
    /// Running requests that have to make room for more urgent ones.
    std::vector<RequestId> preemptions;

private:
    /// @brief Returns why the text is not valid, or nothing; keeps the configuration of a valid text.
    std::optional<std::string> checkConfiguration(std::string_view text);

    std::map<ServiceName, RetryBudget> retryBudgets;
    /// Nodes that first told of an isolated retry, which is the node that runs it unless its message was lost.
    std::map<Fingerprint, NodeId> retryNodes;
    Fingerprint checkedText = 0;
    std::shared_ptr<const Configuration> checkedConfiguration;
};

} // namespace teaselshore
