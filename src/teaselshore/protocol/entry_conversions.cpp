#include <cmath>

#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    /// Longer times are no times of a process, and could not be subtracted from an Instant.
    constexpr Duration longestContact = std::chrono::hours(100'000);

    /// Longest time for which an upstream can be cold.
    constexpr Duration longestColdTime = std::chrono::minutes(10);

    bool isAmount(double amount) { return std::isfinite(amount) && amount >= 0; }

    void fill(const QuotaLoanRequest& request, wire::Envelope& envelope)
    {
        wire::QuotaLoanRequest& result = *envelope.mutable_quota_loan_request();
        result.set_loan(request.loan);
        result.set_workspace(request.workspace.value());
        result.set_amount(request.amount);
    }

    void fill(const QuotaLoan& loan, wire::Envelope& envelope)
    {
        envelope.mutable_quota_loan()->set_loan(loan.loan);
        envelope.mutable_quota_loan()->set_amount(loan.amount);
    }

    void fill(const QuotaReturn& returned, wire::Envelope& envelope)
    {
        envelope.mutable_quota_return()->set_workspace(returned.workspace.value());
        envelope.mutable_quota_return()->set_amount(returned.amount);
    }

    void fill(const RelayedReport& relayed, wire::Envelope& envelope)
    {
        envelope.mutable_relayed_report()->set_report(relayed.report);
    }

    void fill(const CrashReport& report, wire::Envelope& envelope)
    {
        wire::CrashReport& result = *envelope.mutable_crash_report();
        for (const RequestCrash& crash : report.crashes) {
            wire::RequestCrash& entry = *result.add_crashes();
            entry.set_request(crash.key);
            entry.set_upstream(crash.upstream.value());
            entry.set_started_at(crash.startedAt.count());
            entry.set_ended_at(crash.endedAt.count());
            entry.set_is_void(crash.isVoid);
        }
    }

    void fill(const RolloutDecision& decision, wire::Envelope& envelope)
    {
        wire::RolloutDecision& result = *envelope.mutable_rollout_decision();
        result.set_service(decision.service.value());
        result.set_target(decision.target.value());
        result.set_state(static_cast<wire::RolloutState>(decision.state));
        result.set_share(decision.share);
    }

    void fill(const NewerConfigurationRequest& request, wire::Envelope& envelope)
    {
        envelope.mutable_newer_configuration_request()->set_version(request.version);
    }

    void fill(const ConfigurationCopy& copy, wire::Envelope& envelope)
    {
        envelope.mutable_configuration_copy()->set_version(copy.version);
        envelope.mutable_configuration_copy()->set_text(copy.text);
    }

    void fill(const RefusalReport& report, wire::Envelope& envelope)
    {
        wire::RefusalReport& result = *envelope.mutable_refusal_report();
        for (const RefusalReport::Results& results : report.results) {
            wire::UpstreamResults& entry = *result.add_results();
            entry.set_upstream(results.upstream.value());
            entry.set_accepted(results.accepted);
            entry.set_refused(results.refused);
        }
    }

    void fill(const LimitReport& report, wire::Envelope& envelope)
    {
        wire::LimitReport& result = *envelope.mutable_limit_report();
        for (const LimitStatement& statement : report.statements) {
            wire::LimitStatement& entry = *result.add_statements();
            entry.set_upstream(statement.upstream.value());
            if (statement.perSecond)
                entry.set_per_second(*statement.perSecond);
            entry.set_age(statement.age.count());
        }
    }

    void fill(const ColdReport& report, wire::Envelope& envelope)
    {
        wire::ColdReport& result = *envelope.mutable_cold_report();
        for (const ColdReport::Statement& statement : report.statements) {
            wire::ColdStatement& entry = *result.add_statements();
            entry.set_upstream(statement.upstream.value());
            entry.set_left(statement.left.count());
            entry.set_age(statement.age.count());
        }
    }

    void fill(const BrittlenessReport& report, wire::Envelope& envelope)
    {
        wire::BrittlenessReport& result = *envelope.mutable_brittleness_report();
        for (const BrittlenessReport::Service& service : report.services) {
            wire::BrittleService& entry = *result.add_services();
            entry.set_service(service.service.value());
            if (service.allowance)
                entry.set_allowance(*service.allowance);
            entry.set_age(service.age.count());
        }
        for (const BrittlenessReport::Upstream& upstream : report.upstreams) {
            wire::BrittleUpstream& entry = *result.add_upstreams();
            entry.set_upstream(upstream.upstream.value());
            entry.set_refused(upstream.refused);
            if (upstream.outstanding)
                entry.set_outstanding(*upstream.outstanding);
        }
    }

    void fill(const PlatformContactRequest&, wire::Envelope& envelope) { envelope.mutable_platform_contact_request(); }

    void fill(const PlatformContact& contact, wire::Envelope& envelope)
    {
        wire::PlatformContact& result = *envelope.mutable_platform_contact();
        result.set_since_first_answer(contact.sinceFirstAnswer.count());
        result.set_since_last_answer(contact.sinceLastAnswer.count());
        if (contact.sinceEarlierAnswer)
            result.set_since_earlier_answer(contact.sinceEarlierAnswer->count());
    }

    void fill(const EvacuationReport& report, wire::Envelope& envelope)
    {
        wire::EvacuationReport& result = *envelope.mutable_evacuation_report();
        for (const EvacuationReport::Zone& zone : report.zones) {
            wire::ZoneEvacuation& entry = *result.add_zones();
            entry.set_zone(zone.zone.value());
            entry.set_is_evacuated(zone.isEvacuated);
            entry.set_revision(zone.revision);
            entry.set_age(zone.age.count());
            if (zone.missingFor)
                entry.set_missing_for(zone.missingFor->count());
        }
        if (report.revision)
            result.set_revision(*report.revision);
        result.set_wants_answer(report.wantsAnswer);
    }

    std::optional<RolloutDecision> fromWire(const wire::RolloutDecision& decision)
    {
        if (!wire::RolloutState_IsValid(decision.state()) || !(decision.share() >= 0 && decision.share() <= 1))
            return std::nullopt;
        return RolloutDecision { ServiceName(decision.service()), VersionName(decision.target()),
            static_cast<RolloutOrder::State>(decision.state()), decision.share() };
    }

    CrashReport fromWire(const wire::CrashReport& report)
    {
        CrashReport result;
        for (const wire::RequestCrash& crash : report.crashes()) {
            result.crashes.push_back({ crash.request(), UpstreamId(crash.upstream()), Duration(crash.started_at()),
                Duration(crash.ended_at()), crash.is_void() });
        }
        return result;
    }

    RefusalReport fromWire(const wire::RefusalReport& report)
    {
        RefusalReport result;
        for (const wire::UpstreamResults& entry : report.results())
            result.results.push_back({ UpstreamId(entry.upstream()), entry.accepted(), entry.refused() });
        return result;
    }

    std::optional<LimitReport> fromWire(const wire::LimitReport& report)
    {
        LimitReport result;
        for (const wire::LimitStatement& entry : report.statements()) {
            if (entry.age() < 0 || (entry.has_per_second() && !isAmount(entry.per_second())))
                return std::nullopt;
            const std::optional<double> perSecond
                = entry.has_per_second() ? std::optional(entry.per_second()) : std::nullopt;
            result.statements.push_back({ UpstreamId(entry.upstream()), perSecond, Duration(entry.age()) });
        }
        return result;
    }

    std::optional<ColdReport> fromWire(const wire::ColdReport& report)
    {
        ColdReport result;
        for (const wire::ColdStatement& entry : report.statements()) {
            const Duration left(entry.left());
            const Duration age(entry.age());
            if (left < Duration::zero() || left > longestColdTime || age < Duration::zero() || age > longestContact)
                return std::nullopt;
            result.statements.push_back({ UpstreamId(entry.upstream()), left, age });
        }
        return result;
    }

    std::optional<BrittlenessReport> fromWire(const wire::BrittlenessReport& report)
    {
        BrittlenessReport result;
        for (const wire::BrittleService& entry : report.services()) {
            if (entry.age() < 0 || (entry.has_allowance() && !isAmount(entry.allowance())))
                return std::nullopt;
            const std::optional<double> allowance
                = entry.has_allowance() ? std::optional(entry.allowance()) : std::nullopt;
            result.services.push_back({ ServiceName(entry.service()), allowance, Duration(entry.age()) });
        }
        for (const wire::BrittleUpstream& entry : report.upstreams()) {
            const std::optional<std::uint32_t> outstanding
                = entry.has_outstanding() ? std::optional(entry.outstanding()) : std::nullopt;
            result.upstreams.push_back({ UpstreamId(entry.upstream()), entry.refused(), outstanding });
        }
        return result;
    }

    std::optional<PlatformContact> fromWire(const wire::PlatformContact& contact)
    {
        const Duration first(contact.since_first_answer());
        const Duration last(contact.since_last_answer());
        if (last < Duration::zero() || first < last || first > longestContact)
            return std::nullopt;
        if (!contact.has_since_earlier_answer())
            return PlatformContact { first, last, std::nullopt };
        const Duration earlier(contact.since_earlier_answer());
        if (earlier < first || earlier > longestContact)
            return std::nullopt;
        return PlatformContact { first, last, earlier };
    }

    std::optional<EvacuationReport> fromWire(const wire::EvacuationReport& report)
    {
        EvacuationReport result;
        for (const wire::ZoneEvacuation& entry : report.zones()) {
            const Duration age(entry.age());
            if (age < Duration::zero() || age > longestContact)
                return std::nullopt;
            const Duration missingFor(entry.missing_for());
            if (missingFor < Duration::zero() || missingFor > longestContact)
                return std::nullopt;
            result.zones.push_back({ AvailabilityZone(entry.zone()), entry.is_evacuated(), entry.revision(), age,
                entry.has_missing_for() ? std::optional(missingFor) : std::nullopt });
        }
        if (report.has_revision())
            result.revision = report.revision();
        result.wantsAnswer = report.wants_answer();
        return result;
    }

} // namespace

void toWire(const EntryMessage& message, wire::Envelope& envelope)
{
    std::visit([&](const auto& content) { fill(content, envelope); }, message);
}

std::optional<EntryMessage> entryFromWire(const wire::Envelope& envelope)
{
    if (envelope.has_quota_loan_request()) {
        const wire::QuotaLoanRequest& request = envelope.quota_loan_request();
        if (!isAmount(request.amount()))
            return std::nullopt;
        return QuotaLoanRequest { request.loan(), WorkspaceName(request.workspace()), request.amount() };
    }
    if (envelope.has_crash_report())
        return fromWire(envelope.crash_report());
    if (envelope.has_rollout_decision())
        return fromWire(envelope.rollout_decision());
    if (envelope.has_newer_configuration_request())
        return NewerConfigurationRequest { envelope.newer_configuration_request().version() };
    if (envelope.has_configuration_copy())
        return ConfigurationCopy { envelope.configuration_copy().version(), envelope.configuration_copy().text() };
    if (envelope.has_refusal_report())
        return fromWire(envelope.refusal_report());
    if (envelope.has_limit_report())
        return fromWire(envelope.limit_report());
    if (envelope.has_brittleness_report())
        return fromWire(envelope.brittleness_report());
    if (envelope.has_platform_contact_request())
        return PlatformContactRequest {};
    if (envelope.has_platform_contact())
        return fromWire(envelope.platform_contact());
    if (envelope.has_evacuation_report())
        return fromWire(envelope.evacuation_report());
    if (envelope.has_cold_report())
        return fromWire(envelope.cold_report());
    if (envelope.has_relayed_report())
        return RelayedReport { envelope.relayed_report().report() };
    if (envelope.has_quota_return()) {
        const wire::QuotaReturn& returned = envelope.quota_return();
        if (!isAmount(returned.amount()))
            return std::nullopt;
        return QuotaReturn { WorkspaceName(returned.workspace()), returned.amount() };
    }
    const wire::QuotaLoan& loan = envelope.quota_loan();
    if (!isAmount(loan.amount()))
        return std::nullopt;
    return QuotaLoan { loan.loan(), loan.amount() };
}

} // namespace teaselshore
