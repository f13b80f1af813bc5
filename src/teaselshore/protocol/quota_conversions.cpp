#include <cmath>

#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

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

} // namespace

void toWire(const QuotaMessage& message, wire::Envelope& envelope)
{
    std::visit([&](const auto& content) { fill(content, envelope); }, message);
}

std::optional<QuotaMessage> quotaFromWire(const wire::Envelope& envelope)
{
    if (envelope.has_quota_loan_request()) {
        const wire::QuotaLoanRequest& request = envelope.quota_loan_request();
        if (!isAmount(request.amount()))
            return std::nullopt;
        return QuotaLoanRequest { request.loan(), WorkspaceName(request.workspace()), request.amount() };
    }
    const wire::QuotaLoan& loan = envelope.quota_loan();
    if (!isAmount(loan.amount()))
        return std::nullopt;
    return QuotaLoan { loan.loan(), loan.amount() };
}

} // namespace teaselshore
