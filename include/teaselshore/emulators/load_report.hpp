#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "teaselshore/emulators/answer_check.hpp"
#include "teaselshore/emulators/caller_flow.hpp"
#include "teaselshore/emulators/execution_audit.hpp"
#include "teaselshore/emulators/load_plan.hpp"
#include "teaselshore/emulators/quantile_sample.hpp"

namespace teaselshore {

/// @brief Results of a run by kind of request. Not thread-safe.
class LoadReport {
public:
    void onSent(RequestKind kind);
    /// @brief Counts a request that was not sent because too many were open.
    void onSkipped(RequestKind kind);
    /// @brief Counts the delay of a send behind its planned time.
    void onSendLag(Duration lag);
    void onFinished(const CallerFlow& flow, CallerOutcome outcome, Instant now);
    /// @brief Sets the comparison with the services; without one, doubled orders cannot be seen.
    void setAudit(AuditResult result) { this->audit = std::move(result); }
    /// @brief Says that the services could not be asked.
    void setAuditFailed() { this->auditFailed = true; }

    /// @brief Returns whether no answer was wrong, cut, doubled or lost, and the audit, if wanted, was possible.
    bool isClean() const;

    nlohmann::json json() const;
    /// @brief Returns a table with one line per kind.
    std::string table() const;

private:
    struct Row {
        std::uint64_t sent = 0;
        std::uint64_t skipped = 0;
        std::uint64_t reattached = 0;
        std::array<std::uint64_t, callerOutcomes> outcomes {};
        QuantileSample firstByte;
        QuantileSample total;
        QuantileSample gaps;
    };

    std::array<Row, requestKinds> rows;
    QuantileSample sendLag;
    std::optional<AuditResult> audit;
    bool auditFailed = false;
};

} // namespace teaselshore
