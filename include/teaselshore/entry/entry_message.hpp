#pragma once

#include <string>
#include <variant>
#include <vector>

#include "teaselshore/entry/quota_loan.hpp"
#include "teaselshore/entry/registered_upstream.hpp"
#include "teaselshore/reliability/crash_history.hpp"

namespace teaselshore {

/// @brief Report of a node that cannot write to the platform itself; the receiver writes it in its place.
struct RelayedReport {
    /// As NodeReport encodes it.
    std::string report;

    auto operator<=>(const RelayedReport&) const = default;
};

/// @brief Crashes that the sender has seen, or has learnt to be void.
struct CrashReport {
    std::vector<RequestCrash> crashes;

    auto operator<=>(const CrashReport&) const = default;
};

/// @brief What the holder of the lease has decided on a rollout. Nodes follow it before they read it at the platform.
struct RolloutDecision {
    ServiceName service;
    VersionName target;
    RolloutOrder::State state = RolloutOrder::State::Running;
    /// Part of the traffic that goes to the target.
    double share = 0;

    auto operator<=>(const RolloutDecision&) const = default;
};

/// @brief Messages between the nodes of `teaselshore-entry`.
using EntryMessage
    = std::variant<QuotaLoanRequest, QuotaLoan, QuotaReturn, RelayedReport, CrashReport, RolloutDecision>;

} // namespace teaselshore
