#include "teaselshore/emulators/execution_audit.hpp"

namespace teaselshore {

void ExecutionAudit::onFinished(const IdempotencyKey& key, CallerOutcome outcome, bool mayHaveRunUnseen)
{
    Record& record = this->records[key];
    record.succeeded = record.succeeded || outcome == CallerOutcome::Ok;
    record.onlyNotRun = record.onlyNotRun && outcome == CallerOutcome::NotRun && !mayHaveRunUnseen;
}

AuditResult ExecutionAudit::check(const ExecutionCounts& counts) const
{
    AuditResult result;
    for (const auto& [key, record] : this->records) {
        const auto found = counts.find(key.value());
        const std::uint64_t count = found == counts.end() ? 0 : found->second;
        if (count > 1)
            result.doubled.push_back(key);
        if (count == 0 && record.succeeded)
            result.lost.push_back(key);
        if (count > 0 && record.onlyNotRun)
            result.ranDespiteNotRun.push_back(key);
    }
    return result;
}

} // namespace teaselshore
