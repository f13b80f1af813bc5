#include "teaselshore/emulators/load_report.hpp"

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr std::array<CallerOutcome, callerOutcomes> allOutcomes { CallerOutcome::Ok, CallerOutcome::NotRun,
        CallerOutcome::OutcomeUnknown, CallerOutcome::Rejected, CallerOutcome::Failed, CallerOutcome::Wrong,
        CallerOutcome::Cut, CallerOutcome::Lost };

    std::size_t indexOf(CallerOutcome outcome) { return static_cast<std::size_t>(outcome); }

    nlohmann::json quantiles(const QuantileSample& sample)
    {
        return { { "p50", sample.quantile(0.5) }, { "p95", sample.quantile(0.95) }, { "p99", sample.quantile(0.99) },
            { "count", sample.count() } };
    }

    nlohmann::json keyList(const std::vector<IdempotencyKey>& keys)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const IdempotencyKey& key : keys)
            list.push_back(key.value());
        return list;
    }

} // namespace

void LoadReport::onSent(RequestKind kind) { ++this->rows.at(static_cast<std::size_t>(kind)).sent; }

void LoadReport::onSkipped(RequestKind kind) { ++this->rows.at(static_cast<std::size_t>(kind)).skipped; }

void LoadReport::onSendLag(Duration lag) { this->sendLag.add(toMilliseconds(lag)); }

void LoadReport::onFinished(const CallerFlow& flow, CallerOutcome outcome, Instant now)
{
    Row& row = this->rows.at(static_cast<std::size_t>(flow.request().kind));
    ++row.outcomes.at(indexOf(outcome));
    row.reattached += flow.reattached();
    // Latencies describe complete answers; early errors would make them look better.
    if (outcome != CallerOutcome::Ok)
        return;
    row.total.add(toMilliseconds(flow.elapsed(now)));
    if (flow.firstByte())
        row.firstByte.add(toMilliseconds(*flow.firstByte()));
    for (const double gap : flow.tokenGaps())
        row.gaps.add(gap);
}

bool LoadReport::isClean() const
{
    if (this->auditFailed || (this->audit && !this->audit->isClean()))
        return false;
    for (const Row& row : this->rows) {
        for (const CallerOutcome bad : { CallerOutcome::Wrong, CallerOutcome::Cut, CallerOutcome::Lost }) {
            if (row.outcomes.at(indexOf(bad)) > 0)
                return false;
        }
    }
    return true;
}

nlohmann::json LoadReport::json() const
{
    nlohmann::json classes = nlohmann::json::object();
    for (std::size_t i = 0; i < requestKinds; ++i) {
        const Row& row = this->rows.at(i);
        if (row.sent + row.skipped == 0)
            continue;
        nlohmann::json line { { "sent", row.sent }, { "skipped", row.skipped }, { "reattached", row.reattached } };
        for (const CallerOutcome outcome : allOutcomes)
            line[std::string(outcomeName(outcome))] = row.outcomes.at(indexOf(outcome));
        line["firstByteMs"] = quantiles(row.firstByte);
        line["totalMs"] = quantiles(row.total);
        line["betweenTokensMs"] = quantiles(row.gaps);
        classes[std::string(kindName(static_cast<RequestKind>(i)))] = std::move(line);
    }
    nlohmann::json document { { "classes", classes }, { "sendLagMs", quantiles(this->sendLag) },
        { "clean", this->isClean() }, { "auditFailed", this->auditFailed } };
    if (this->audit) {
        document["audit"] = { { "doubled", keyList(this->audit->doubled) }, { "lost", keyList(this->audit->lost) },
            { "ranDespiteNotRun", keyList(this->audit->ranDespiteNotRun) } };
    }
    return document;
}

std::string LoadReport::table() const
{
    std::string text = fmt::format("{:<10}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>6}{:>6} | {:>9}{:>9}{:>9} | "
                                   "{:>9}{:>9}{:>9} | {:>9}\n",
        "class", "sent", "ok", "not_run", "unknown", "reject", "failed", "wrong", "cut", "lost", "first p50", "p95",
        "p99", "total p50", "p95", "p99", "token p95");
    for (std::size_t i = 0; i < requestKinds; ++i) {
        const Row& row = this->rows.at(i);
        if (row.sent + row.skipped == 0)
            continue;
        const auto number = [&](CallerOutcome outcome) { return row.outcomes.at(indexOf(outcome)); };
        text += fmt::format("{:<10}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>6}{:>6} | {:>9.2f}{:>9.2f}{:>9.2f} | "
                            "{:>9.2f}{:>9.2f}{:>9.2f} | {:>9.2f}\n",
            kindName(static_cast<RequestKind>(i)), row.sent, number(CallerOutcome::Ok), number(CallerOutcome::NotRun),
            number(CallerOutcome::OutcomeUnknown), number(CallerOutcome::Rejected), number(CallerOutcome::Failed),
            number(CallerOutcome::Wrong), number(CallerOutcome::Cut), number(CallerOutcome::Lost),
            row.firstByte.quantile(0.5), row.firstByte.quantile(0.95), row.firstByte.quantile(0.99),
            row.total.quantile(0.5), row.total.quantile(0.95), row.total.quantile(0.99), row.gaps.quantile(0.95));
    }
    std::uint64_t skipped = 0;
    std::uint64_t reattached = 0;
    for (const Row& row : this->rows) {
        skipped += row.skipped;
        reattached += row.reattached;
    }
    text += fmt::format("times in ms; send lag p99 {:.2f}; re-attached {}; skipped {}\n", this->sendLag.quantile(0.99),
        reattached, skipped);
    if (this->audit) {
        text += fmt::format("audit: doubled {}, answered but not run {}, ran despite not_run {}\n",
            this->audit->doubled.size(), this->audit->lost.size(), this->audit->ranDespiteNotRun.size());
    } else {
        text += this->auditFailed ? "audit: failed, a service did not answer\n" : "audit: none\n";
    }
    text += this->isClean() ? "result: clean\n" : "result: NOT CLEAN\n";
    return text;
}

} // namespace teaselshore
