#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/emulators/answer_check.hpp"

namespace teaselshore {

/// @brief Runs per key, summed over all services.
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/// @brief Keys that broke a guarantee.
struct AuditResult {
    /// Ran more than once.
    std::vector<IdempotencyKey> doubled;
    /// Answered with success but did not run.
    std::vector<IdempotencyKey> lost;
    /// Answered not_run by every answer, but ran.
    std::vector<IdempotencyKey> ranDespiteNotRun;

    bool isClean() const { return this->doubled.empty() && this->lost.empty() && this->ranDespiteNotRun.empty(); }
    auto operator<=>(const AuditResult&) const = default;
};

/// @brief Compares what callers were told with what the services ran. Pure; not thread-safe.
class ExecutionAudit {
public:
    /// @brief Records the end of one request. mayHaveRunUnseen says that an earlier connection of it broke.
    void onFinished(const IdempotencyKey& key, CallerOutcome outcome, bool mayHaveRunUnseen);

    AuditResult check(const ExecutionCounts& counts) const;

    std::size_t keys() const { return this->records.size(); }

private:
    struct Record {
        bool succeeded = false;
        bool onlyNotRun = true;
    };

    std::map<IdempotencyKey, Record> records;
};

} // namespace teaselshore
