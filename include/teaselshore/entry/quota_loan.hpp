#pragma once

#include <cstdint>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief Asks a peer to lend from the remainder of its share of a workspace's quota.
struct QuotaLoanRequest {
    /// Number of the loan at the sender; the answer repeats it.
    std::uint64_t loan = 0;
    WorkspaceName workspace;
    /// In the unit of the quota.
    double amount = 0;

    auto operator<=>(const QuotaLoanRequest&) const = default;
};

/// @brief Answer to a QuotaLoanRequest. The sender has deducted the amount from its share, even if the answer is lost.
struct QuotaLoan {
    std::uint64_t loan = 0;
    /// 0 if nothing is left.
    double amount = 0;

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
