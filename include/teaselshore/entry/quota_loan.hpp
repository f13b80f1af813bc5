#pragma once

#include <cstdint>
#include <optional>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Asks a peer to lend from the remainder of its share of a workspace's quota.
struct QuotaLoanRequest {
    /// Number of the loan at the sender; the answer repeats it.
    std::uint64_t loan = 0;
    WorkspaceName workspace;
    /// In the unit of the quota.
    double amount = 0;
    /// Time for which the receiver is asked to lend a part of its share besides, with the refill that it brings;
    /// missing if only an amount is needed. Nodes of earlier releases lend just the amount.
    std::optional<Duration> shareTime {};

    auto operator<=>(const QuotaLoanRequest&) const = default;
};

/// @brief Answer to a QuotaLoanRequest. The sender has deducted the amount from its share, even if the answer is lost.
struct QuotaLoan {
    std::uint64_t loan = 0;
    /// 0 if nothing is left.
    double amount = 0;
    /// What the sender could lend beyond that at the time of the answer; missing in answers of earlier releases.
    std::optional<double> left {};
    /// Part of the quota of all nodes that the sender does not use for the requested time.
    std::optional<double> share {};

    auto operator<=>(const QuotaLoan&) const = default;
};

/// @brief Returns an amount to its lender because the loan did not need it or did not suffice.
struct QuotaReturn {
    WorkspaceName workspace;
    /// In the unit of the quota. The sender no longer uses it.
    double amount = 0;

    auto operator<=>(const QuotaReturn&) const = default;
};

} // namespace teaselshore
