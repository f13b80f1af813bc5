#include "serving_metrics.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    std::string attributeOf(const Span& span, std::string_view name)
    {
        const auto found = std::find_if(span.attributes.begin(), span.attributes.end(),
            [&](const SpanAttribute& attribute) { return attribute.name == name; });
        if (found == span.attributes.end())
            return {};
        const auto* text = std::get_if<std::string>(&found->value);
        return text ? *text : std::string();
    }

} // namespace

ServingMetrics::ServingMetrics() = default;

void ServingMetrics::onSpan(const Span& span)
{
    if (span.name == "request") {
        const MetricLabels labels { { "service", attributeOf(span, "service") },
            { "outcome", attributeOf(span, "outcome") } };
        this->metrics
            .histogram(
                "teaselshore_request_seconds", "Time from a request's arrival to the end of its response.", labels)
            .record(toSeconds(span.duration));
        return;
    }
    if (span.name != "attempt")
        return;
    const MetricLabels labels { { "version", attributeOf(span, "version") }, { "zone", attributeOf(span, "zone") },
        { "outcome", attributeOf(span, "outcome") } };
    this->metrics.histogram("teaselshore_attempt_seconds", "Time of attempts at upstreams.", labels)
        .record(toSeconds(span.duration));
}

void ServingMetrics::setCounter(const std::string& name, const std::string& help, std::uint64_t value)
{
    Counter& counter = this->metrics.counter(name, help);
    counter.add(value - counter.value());
}

void ServingMetrics::update(
    const Node& node, const RelayCounters& relay, std::size_t openCallers, std::size_t openAttempts)
{
    const NodeStatistics& statistics = node.statistics();
    this->setCounter("teaselshore_requests_total", "Requests that arrived from callers.", statistics.requests);
    this->setCounter("teaselshore_not_run_total", "Requests answered with not_run.", statistics.notRun);
    this->setCounter(
        "teaselshore_outcome_unknown_total", "Requests answered with outcome_unknown.", statistics.outcomeUnknown);
    this->setCounter("teaselshore_rejected_total", "Requests answered with rejected.", statistics.rejected);
    this->setCounter("teaselshore_failed_total", "Requests answered with failed.", statistics.failed);
    this->setCounter("teaselshore_attempts_total", "Attempts at upstreams.", statistics.attempts);
    this->setCounter("teaselshore_retries_total", "Attempts after the first one of a request.", statistics.retries);
    this->setCounter("teaselshore_resumes_total", "Streams continued at another upstream.", statistics.resumes);
    this->setCounter("teaselshore_preemptions_total", "Attempts interrupted for urgent work.", statistics.preemptions);
    this->setCounter(
        "teaselshore_upstream_crashes_total", "Upstream processes found dead.", statistics.upstreamCrashes);
    this->setCounter(
        "teaselshore_forwards_total", "Durable requests sent to the owner of their slot.", statistics.forwards);
    this->setCounter("teaselshore_late_events_total", "Events of attempts that had ended.", statistics.lateEvents);
    this->setCounter("teaselshore_relayed_bytes_total", "Bytes of relayed streams.", relay.relayedBytes);
    this->setCounter(
        "teaselshore_misdirected_responses_total", "Responses that named another request.", relay.misdirectedResponses);
    this->setCounter(
        "teaselshore_slow_callers_total", "Callers disconnected for reading too slowly.", relay.slowCallers);

    const SlotOwnerStatistics journal = node.slotOwner().statistics();
    this->setCounter("teaselshore_journal_appends_total", "Committed journal batches.", journal.appends);
    this->setCounter("teaselshore_journal_writes_total", "Writes of the journal to the object API.", journal.writes);
    this->setCounter("teaselshore_slot_claims_total", "Journals taken over from other nodes.", journal.claims);
    this->setCounter("teaselshore_ownership_losses_total", "Journals lost to other nodes.", journal.ownershipsLost);

    this->metrics.gauge("teaselshore_open_callers", "Callers that wait for a response.")
        .set(static_cast<double>(openCallers));
    this->metrics.gauge("teaselshore_open_attempts", "Attempts in progress.").set(static_cast<double>(openAttempts));
    this->metrics.gauge("teaselshore_configuration_version", "Version of the configuration in effect.")
        .set(static_cast<double>(node.configurationVersion()));
    this->metrics.gauge("teaselshore_live_members", "Members that are alive or suspected.")
        .set(static_cast<double>(node.membership().liveMembers().size()));
}

std::string ServingMetrics::render() { return this->metrics.renderPrometheus(); }

} // namespace teaselshore
