#pragma once

#include <string>
#include <variant>

#include "teaselshore/entry/quota_loan.hpp"

namespace teaselshore {

/// @brief Report of a node that cannot write to the platform itself; the receiver writes it in its place.
struct RelayedReport {
    /// As NodeReport encodes it.
    std::string report;

    auto operator<=>(const RelayedReport&) const = default;
};

/// @brief Messages between the nodes of `teaselshore-entry`.
using EntryMessage = std::variant<QuotaLoanRequest, QuotaLoan, QuotaReturn, RelayedReport>;

} // namespace teaselshore
