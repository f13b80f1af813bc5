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
    this->setGauge("teaselshore_cold_upstreams", "Upstreams that are cold, or are taken for cold.",
        static_cast<double>(statistics.coldUpstreams));
    this->setCounter("teaselshore_cold_passed_over_total",
        "Requests for which an upstream was passed over because it is cold.", statistics.coldPassedOver);
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
    this->setGauge("teaselshore_open_requests", "Requests without a complete response.",
        static_cast<double>(statistics.openRequests));
    this->setGauge("teaselshore_waiting_requests", "Requests that wait for an upstream.",
        static_cast<double>(statistics.waitingRequests));
    this->setGauge("teaselshore_upstreams", "Upstreams that take new work.", static_cast<double>(statistics.upstreams));
    this->setGauge("teaselshore_evacuated_zones", "Zones to whose upstreams nothing is sent.",
        static_cast<double>(statistics.evacuatedZones));
    this->setGauge("teaselshore_requests_in_evacuated_zones",
        "Requests that still run at upstreams of evacuated zones.",
        static_cast<double>(statistics.requestsInEvacuatedZones));
    this->setCounter("teaselshore_platform_restores_total", "How often the platform came back from an older copy.",
        statistics.platformRestores);
    this->setCounter("teaselshore_unreported_windows_total",
        "Windows whose usage was not reported since that may have been done before a restore of the platform.",
        statistics.unreportedWindows);
    this->setGauge("teaselshore_configuration_version", "Version of the configuration in effect.",
        static_cast<double>(statistics.configurationVersion));
    this->setGauge("teaselshore_live_nodes", "Nodes that share quotas and retry budgets, this one included.",
        static_cast<double>(statistics.liveNodes));
    this->setGauge("teaselshore_lease_held", "1 while this node holds the lease of the fleet's duties.",
        statistics.holdsLease ? 1 : 0);
    this->setCounter("teaselshore_streams_cut_by_stop_total", "Streams that the end of the process cut.",
        statistics.streamsCutByStop);
    this->updateAdmissions(statistics);
}

void EntryMetrics::updateAdmissions(const EntryStatistics& statistics)
{
    this->setGauge("teaselshore_short_services", "Services whose requests are rejected for a shortage of capacity.",
        static_cast<double>(statistics.shortServices));
    for (const auto& [route, admission] : statistics.admissions) {
        const std::string& name = route.value();
        this->setCounter("teaselshore_admitted_requests_total", "Requests admitted by route.", admission.admitted,
            { { "route", name } });
        this->setCounter("teaselshore_waited_requests_total", "Requests that waited for an upstream with capacity.",
            admission.waited, { { "route", name } });
        this->setCounter("teaselshore_rejected_requests_total", "Requests rejected for lack of capacity.",
            admission.rejectedForShortage, { { "route", name }, { "reason", "shortage" } });
        this->setCounter("teaselshore_rejected_requests_total", "Requests rejected for lack of capacity.",
            admission.rejectedWithoutCapacity, { { "route", name }, { "reason", "no_capacity" } });
        this->setCounter("teaselshore_first_events_total", "First events of responses against the latency target.",
            admission.inTime, { { "route", name }, { "in_time", "true" } });
        this->setCounter("teaselshore_first_events_total", "First events of responses against the latency target.",
            admission.late, { { "route", name }, { "in_time", "false" } });
    }
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

void EntryMetrics::updateDroppedRequests(std::uint64_t dropped, Duration longestLoopDelay)
{
    this->setCounter("teaselshore_dropped_requests_total",
        "Connections that the server ended with bytes of a request that got no answer.", dropped);
    this->setGauge("teaselshore_longest_loop_delay_seconds", "Longest time by which a timer ran late since the start.",
        toSeconds(longestLoopDelay));
}

void EntryMetrics::updateBodies(const BodyMemory& bodies)
{
    this->setGauge("teaselshore_request_body_bytes",
        "Bytes of the bodies and long heads of requests that are read or open.", static_cast<double>(bodies.bytes));
    this->setGauge("teaselshore_request_body_budget_bytes", "Bytes that these may take together.",
        static_cast<double>(bodies.budget));
    this->setCounter("teaselshore_refused_bodies_total", "Requests refused with 503 since they did not fit.",
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
