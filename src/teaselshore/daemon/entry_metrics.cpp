#include "entry_metrics.hpp"

#include <array>
#include <utility>

namespace teaselshore {

void EntryMetrics::setCounter(
    const std::string& name, const std::string& help, std::uint64_t value, const MetricLabels& labels)
{
    Counter& counter = this->metrics.counter(name, help, labels);
    counter.add(value - counter.value());
}

void EntryMetrics::setGauge(const std::string& name, const std::string& help, double value)
{
    this->metrics.gauge(name, help).set(value);
}

void EntryMetrics::update(const EntryStatistics& statistics, const RelayCounters& relay, std::uint64_t refusedRequests)
{
    this->setCounter("teaselshore_requests_total", "Requests that arrived from callers.", statistics.requests);
    for (std::size_t index = 0; index < requestOutcomeCount; ++index) {
        const auto outcome = static_cast<RequestOutcome>(index);
        this->setCounter("teaselshore_request_outcomes_total", "Ended requests by outcome.", statistics.outcomes[index],
            { { "outcome", std::string(outcomeName(outcome)) } });
    }
    this->setCounter("teaselshore_refused_requests_total",
        "Requests refused before they were read in full: malformed, too large or too slow.", refusedRequests);
    this->setCounter("teaselshore_attempts_total", "Attempts at upstreams.", statistics.attempts);
    this->setCounter("teaselshore_retries_total", "Attempts after the first one of a request.", statistics.retries);
    this->setCounter(
        "teaselshore_denied_retries_total", "Retries that the shared budget did not allow.", statistics.deniedRetries);
    this->setCounter("teaselshore_refused_attempts_total", "Attempts that an upstream received and refused to run.",
        statistics.refusedAttempts);
    this->setCounter("teaselshore_broken_attempts_total",
        "Attempts whose connection broke, as after a crash of the upstream.", statistics.brokenAttempts);
    this->setCounter("teaselshore_upstream_crashes_total", "Upstream processes that ended under requests of this node.",
        statistics.upstreamCrashes);
    this->setCounter("teaselshore_resumes_total", "Streams continued at another upstream.", statistics.resumes);
    this->setCounter("teaselshore_limited_requests_total",
        "Requests for which an upstream was passed over because of the limit that it names.",
        statistics.limitedRequests);
    this->setGauge("teaselshore_upstream_links_lost", "1 while this node can connect to no upstream.",
        statistics.linksLost ? 1 : 0);
    this->setCounter("teaselshore_relayed_attempts_total",
        "Attempts at peers, since this node could connect to no upstream.", statistics.relayedAttempts);
    this->setCounter("teaselshore_requests_of_peers_total", "Requests of peers that could connect to no upstream.",
        statistics.requestsOfPeers);
    this->setGauge("teaselshore_limited_upstreams", "Upstreams that name a limit.",
        static_cast<double>(statistics.limitedUpstreams));
    this->setCounter("teaselshore_held_requests_total",
        "Requests that waited for an upstream of a service whose upstreams bear few refusals.",
        statistics.heldRequests);
    this->setGauge("teaselshore_brittle_services", "Services whose upstreams bear few refusals.",
        static_cast<double>(statistics.brittleServices));
    this->setCounter("teaselshore_skipped_responses_total",
        "Responses of upstreams to earlier requests on the same connection.", relay.skippedResponses);
    this->setCounter("teaselshore_relayed_bytes_total", "Bytes of relayed streams.", relay.relayedBytes);
    this->setCounter(
        "teaselshore_slow_callers_total", "Callers disconnected for reading too slowly.", relay.slowCallers);
    this->setCounter("teaselshore_endless_responses_total",
        "Responses given up since they, or one of their events, had no end.", relay.endlessResponses);
    this->setCounter("teaselshore_load_digests_sent_total", "Load digests sent to peers.", statistics.sentLoadDigests);
    this->setCounter(
        "teaselshore_load_digests_received_total", "Load digests received from peers.", statistics.receivedLoadDigests);
    this->setCounter("teaselshore_informed_choices_total", "Choices of upstreams that had reported their load.",
        statistics.informedChoices);
    this->setGauge("teaselshore_load_age_seconds_sum", "Sum of the ages of the load reports at these choices.",
        toSeconds(statistics.loadAges));
    this->setCounter("teaselshore_predicted_streams_total", "Streams whose time to the first event was predicted.",
        statistics.predictedStreams);
    this->setGauge("teaselshore_predicted_first_event_seconds_sum", "Sum of the predicted times to the first event.",
        toSeconds(statistics.predictedFirstEvents));
    this->setGauge("teaselshore_actual_first_event_seconds_sum", "Sum of the measured times to the first event.",
        toSeconds(statistics.actualFirstEvents));
    this->setGauge("teaselshore_first_event_prediction_error_seconds_sum",
        "Sum of the absolute differences between these times.", toSeconds(statistics.predictionErrors));
    this->setGauge("teaselshore_open_requests", "Requests without a complete response.",
        static_cast<double>(statistics.openRequests));
    this->setGauge("teaselshore_waiting_requests", "Requests that wait for an upstream.",
        static_cast<double>(statistics.waitingRequests));
    this->setGauge("teaselshore_upstreams", "Upstreams that take new work.", static_cast<double>(statistics.upstreams));
    this->setCounter("teaselshore_platform_restores_total", "How often the platform came back from an older copy.",
        statistics.platformRestores);
    this->setGauge("teaselshore_configuration_version", "Version of the configuration in effect.",
        static_cast<double>(statistics.configurationVersion));
    this->setGauge("teaselshore_live_nodes", "Nodes that share quotas and retry budgets, this one included.",
        static_cast<double>(statistics.liveNodes));
    this->setGauge("teaselshore_lease_held", "1 while this node holds the lease of the fleet's duties.",
        statistics.holdsLease ? 1 : 0);
}

void EntryMetrics::updateAnswers(const UnsentAnswers& unsent, std::uint64_t cut)
{
    this->setGauge("teaselshore_unsent_answers", "Connections with bytes that their callers have not received.",
        static_cast<double>(unsent.connections));
    this->setGauge(
        "teaselshore_unsent_answer_bytes", "Bytes that callers have not received.", static_cast<double>(unsent.bytes));
    this->setCounter(
        "teaselshore_cut_answers_total", "Finished answers that callers stopped to read before their end.", cut);
}

void EntryMetrics::updateBodies(const BodyMemory& bodies)
{
    this->setGauge("teaselshore_request_body_bytes", "Bytes of the bodies of requests that are read or open.",
        static_cast<double>(bodies.bytes));
    this->setGauge("teaselshore_request_body_budget_bytes", "Bytes that these bodies may take together.",
        static_cast<double>(bodies.budget));
    this->setCounter("teaselshore_refused_bodies_total", "Requests refused with 503 since their body did not fit.",
        bodies.refusedRequests);
}

void EntryMetrics::onRequestEnded(const RequestEnded& request)
{
    // Requests without a route are answered at once and would only hide the others.
    if (request.route.empty())
        return;
    this->metrics
        .histogram("teaselshore_request_seconds", "Time from a request's arrival to the end of its response.",
            { { "route", request.route.value() }, { "outcome", std::string(outcomeName(request.outcome)) } })
        .record(toSeconds(request.duration));
}

void EntryMetrics::updatePlatformCalls(const PlatformClient& platform)
{
    constexpr std::array<std::pair<PlatformCallKind, const char*>, 7> kinds { {
        { PlatformCallKind::ReadObject, "read" },
        { PlatformCallKind::CreateObject, "create" },
        { PlatformCallKind::UpdateObject, "update" },
        { PlatformCallKind::DeleteObject, "delete" },
        { PlatformCallKind::ListKind, "list" },
        { PlatformCallKind::WatchKind, "watch" },
        { PlatformCallKind::WriteStatus, "status" },
    } };
    for (const auto& [kind, name] : kinds) {
        const PlatformCallCounts counts = platform.counts(kind);
        this->setCounter("teaselshore_platform_calls_total", "Calls sent to the platform's object API.", counts.sent,
            { { "kind", name } });
        this->setCounter("teaselshore_platform_failures_total", "Calls to the object API that ended with an error.",
            counts.failed, { { "kind", name } });
        this->setCounter("teaselshore_platform_unreadable_objects_total",
            "Objects in replies of the object API that could not be read as they are.", counts.unreadableObjects,
            { { "kind", name } });
    }
}

} // namespace teaselshore
