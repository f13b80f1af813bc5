#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    template <typename WireMessage> void fillHeaders(const JournalHeaders& headers, WireMessage& result)
    {
        for (const auto& [name, value] : headers) {
            wire::Header& header = *result.add_headers();
            header.set_name(name);
            header.set_value(value);
        }
    }

    template <typename WireMessage> JournalHeaders headersFromWire(const WireMessage& message)
    {
        JournalHeaders headers;
        headers.reserve(static_cast<std::size_t>(message.headers_size()));
        for (const wire::Header& header : message.headers())
            headers.emplace_back(header.name(), header.value());
        return headers;
    }

    wire::SuspectReportKind toWire(SuspectReportKind kind)
    {
        switch (kind) {
        case SuspectReportKind::Crash:
            return wire::SUSPECT_CRASH;
        case SuspectReportKind::RetryStarted:
            return wire::SUSPECT_RETRY_STARTED;
        case SuspectReportKind::RetryReturned:
            return wire::SUSPECT_RETRY_RETURNED;
        case SuspectReportKind::Cleared:
            return wire::SUSPECT_CLEARED;
        case SuspectReportKind::Excused:
            return wire::SUSPECT_EXCUSED;
        }
        return wire::SUSPECT_CRASH;
    }

    std::optional<SuspectReportKind> fromWire(wire::SuspectReportKind kind)
    {
        switch (kind) {
        case wire::SUSPECT_CRASH:
            return SuspectReportKind::Crash;
        case wire::SUSPECT_RETRY_STARTED:
            return SuspectReportKind::RetryStarted;
        case wire::SUSPECT_RETRY_RETURNED:
            return SuspectReportKind::RetryReturned;
        case wire::SUSPECT_CLEARED:
            return SuspectReportKind::Cleared;
        case wire::SUSPECT_EXCUSED:
            return SuspectReportKind::Excused;
        default:
            return std::nullopt;
        }
    }

    void fill(const JournalRequest& request, wire::JournalRequest& result)
    {
        result.set_id(request.id.value());
        result.set_workspace(request.key.workspace.value());
        result.set_key(request.key.key.value());
        result.set_service(request.service.value());
        result.set_route(request.route.value());
        result.set_method(request.method);
        result.set_path(request.path);
        fillHeaders(request.headers, result);
        result.set_body(request.body);
        result.set_idempotent(request.idempotent);
        result.set_respond_async(request.respondAsync);
        result.set_traceparent(request.traceparent);
    }

    JournalRequest fromWire(const wire::JournalRequest& request)
    {
        return JournalRequest {
            .id = RequestId(request.id()),
            .key = { WorkspaceName(request.workspace()), IdempotencyKey(request.key()) },
            .service = ServiceName(request.service()),
            .route = RouteName(request.route()),
            .method = request.method(),
            .path = request.path(),
            .headers = headersFromWire(request),
            .body = request.body(),
            .idempotent = request.idempotent(),
            .respondAsync = request.respond_async(),
            .traceparent = request.traceparent(),
        };
    }

    void fill(const AnswerFinished& finished, wire::ForwardedAnswer& answer)
    {
        wire::AnswerFinished& result = *answer.mutable_finished();
        result.set_status(finished.answer.status);
        fillHeaders(finished.answer.headers, result);
        result.set_body(finished.answer.body);
        result.set_body_stored(finished.answer.bodyStored);
    }

    void fill(const AnswerAccepted& accepted, wire::ForwardedAnswer& answer)
    {
        answer.mutable_accepted()->set_request(accepted.request.value());
    }

    void fill(const AnswerNotRun& notRun, wire::ForwardedAnswer& answer)
    {
        answer.mutable_not_run()->set_retry_after_microseconds(notRun.retryAfter.count());
        answer.mutable_not_run()->set_reason(notRun.reason);
    }

    void fill(const AnswerUnknown& unknown, wire::ForwardedAnswer& answer)
    {
        answer.mutable_unknown()->set_retry_after_microseconds(unknown.retryAfter.count());
    }

    void fill(const AnswerNotFound&, wire::ForwardedAnswer& answer) { answer.mutable_not_found(); }

    std::optional<Answer> answerFromWire(const wire::ForwardedAnswer& answer)
    {
        switch (answer.answer_case()) {
        case wire::ForwardedAnswer::kFinished:
            return AnswerFinished { StoredAnswer { answer.finished().status(), headersFromWire(answer.finished()),
                answer.finished().body(), answer.finished().body_stored() } };
        case wire::ForwardedAnswer::kAccepted:
            return AnswerAccepted { RequestId(answer.accepted().request()) };
        case wire::ForwardedAnswer::kNotRun:
            return AnswerNotRun { Duration(answer.not_run().retry_after_microseconds()), answer.not_run().reason() };
        case wire::ForwardedAnswer::kUnknown:
            return AnswerUnknown { Duration(answer.unknown().retry_after_microseconds()) };
        case wire::ForwardedAnswer::kNotFound:
            return AnswerNotFound {};
        case wire::ForwardedAnswer::ANSWER_NOT_SET:
            return std::nullopt;
        }
        return std::nullopt;
    }

    void fill(const ForwardedRequest& request, wire::Envelope& envelope)
    {
        wire::ForwardedRequest& result = *envelope.mutable_forwarded_request();
        result.set_caller(request.caller);
        result.set_attempt(request.attempt);
        fill(request.request, *result.mutable_request());
        if (request.upstream)
            result.set_upstream(request.upstream->value());
    }

    void fill(const ForwardedRead& read, wire::Envelope& envelope)
    {
        wire::ForwardedRead& result = *envelope.mutable_forwarded_read();
        result.set_caller(read.caller);
        result.set_attempt(read.attempt);
        result.set_request(read.request.value());
    }

    void fill(const ForwardedAnswer& answer, wire::Envelope& envelope)
    {
        wire::ForwardedAnswer& result = *envelope.mutable_forwarded_answer();
        result.set_caller(answer.caller);
        result.set_attempt(answer.attempt);
        std::visit([&](const auto& content) { fill(content, result); }, answer.answer);
    }

    void fill(const SuspectReports& reports, wire::Envelope& envelope)
    {
        wire::SuspectReports& result = *envelope.mutable_suspect_reports();
        for (const SuspectReport& report : reports.reports) {
            wire::SuspectReport& added = *result.add_reports();
            added.set_kind(toWire(report.kind));
            added.set_request(report.request);
            added.set_upstream(report.upstream.value());
            added.set_zone(report.zone.value());
            added.set_age_microseconds(report.age.count());
            added.set_alone(report.alone);
        }
    }

    void fill(const VersionEvidence& evidence, wire::Envelope& envelope)
    {
        toWire(evidence, *envelope.mutable_version_evidence());
    }

    void fill(const VersionReport& report, wire::Envelope& envelope)
    {
        toWire(report, *envelope.mutable_version_report());
    }

    void fill(const MoveUpdate& update, wire::Envelope& envelope)
    {
        envelope.mutable_move_update()->set_record(update.record.encode());
    }

    void fill(const UpstreamLeaving& leaving, wire::Envelope& envelope)
    {
        wire::UpstreamLeaving& result = *envelope.mutable_upstream_leaving();
        result.set_upstream(leaving.upstream.value());
        result.set_notice_microseconds(leaving.notice.count());
    }

    void fill(const HandOver& handOver, wire::Envelope& envelope)
    {
        wire::HandOver& result = *envelope.mutable_hand_over();
        result.set_from(handOver.from.value());
        result.set_instance(handOver.instance.value());
        result.set_next_number(handOver.nextNumber);
        if (handOver.openBatch)
            result.set_open_batch(*handOver.openBatch);
        for (const std::string& group : handOver.groups)
            result.add_groups(group);
    }

    void fill(const HandOverAck& ack, wire::Envelope& envelope)
    {
        envelope.mutable_hand_over_ack()->set_instance(ack.instance.value());
    }

    RequestMessage fromWire(const wire::ForwardedRequest& request)
    {
        ForwardedRequest result { request.caller(), request.attempt(), fromWire(request.request()), std::nullopt };
        if (request.has_upstream())
            result.upstream = UpstreamId(request.upstream());
        return result;
    }

    std::optional<RequestMessage> fromWire(const wire::ForwardedAnswer& answer)
    {
        std::optional<Answer> content = answerFromWire(answer);
        if (!content)
            return std::nullopt;
        return ForwardedAnswer { answer.caller(), answer.attempt(), *std::move(content) };
    }

    std::optional<RequestMessage> fromWire(const wire::SuspectReports& message)
    {
        SuspectReports result;
        result.reports.reserve(static_cast<std::size_t>(message.reports_size()));
        for (const wire::SuspectReport& report : message.reports()) {
            const std::optional<SuspectReportKind> kind = fromWire(report.kind());
            if (!kind)
                return std::nullopt;
            result.reports.push_back({ *kind, report.request(), UpstreamId(report.upstream()),
                AvailabilityZone(report.zone()), Duration(report.age_microseconds()), report.alone() });
        }
        return result;
    }

    template <typename T> std::optional<RequestMessage> asMessage(std::optional<T> content)
    {
        if (!content)
            return std::nullopt;
        return RequestMessage(*std::move(content));
    }

    std::optional<RequestMessage> fromWire(const wire::MoveUpdate& update)
    {
        const auto record = RolloutRecord::decode(update.record());
        if (!record)
            return std::nullopt;
        return MoveUpdate { *record };
    }

    RequestMessage fromWire(const wire::HandOver& handOver)
    {
        HandOver result { NodeId(handOver.from()), OwnerInstance(handOver.instance()), handOver.next_number(),
            std::nullopt, { handOver.groups().begin(), handOver.groups().end() } };
        if (handOver.has_open_batch())
            result.openBatch = handOver.open_batch();
        return result;
    }

} // namespace

void toWire(const RequestMessage& message, wire::Envelope& envelope)
{
    std::visit([&](const auto& content) { fill(content, envelope); }, message);
}

std::optional<RequestMessage> requestFromWire(const wire::Envelope& envelope)
{
    switch (envelope.message_case()) {
    case wire::Envelope::kForwardedRequest:
        return fromWire(envelope.forwarded_request());
    case wire::Envelope::kForwardedRead:
        return ForwardedRead { envelope.forwarded_read().caller(), envelope.forwarded_read().attempt(),
            RequestId(envelope.forwarded_read().request()) };
    case wire::Envelope::kForwardedAnswer:
        return fromWire(envelope.forwarded_answer());
    case wire::Envelope::kSuspectReports:
        return fromWire(envelope.suspect_reports());
    case wire::Envelope::kVersionEvidence:
        return asMessage(versionEvidenceFromWire(envelope.version_evidence()));
    case wire::Envelope::kVersionReport:
        return asMessage(versionReportFromWire(envelope.version_report()));
    case wire::Envelope::kMoveUpdate:
        return fromWire(envelope.move_update());
    case wire::Envelope::kUpstreamLeaving:
        return UpstreamLeaving { UpstreamId(envelope.upstream_leaving().upstream()),
            Duration(envelope.upstream_leaving().notice_microseconds()) };
    case wire::Envelope::kHandOver:
        return fromWire(envelope.hand_over());
    case wire::Envelope::kHandOverAck:
        return HandOverAck { OwnerInstance(envelope.hand_over_ack().instance()) };
    default:
        return std::nullopt;
    }
}

} // namespace teaselshore
