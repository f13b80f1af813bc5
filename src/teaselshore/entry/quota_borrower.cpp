#include "teaselshore/entry/quota_borrower.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselshore {

namespace {

    /// Time for peers to answer: three ways there and back for a new connection between zones, and some delay of a busy
    /// peer. With 40 ms, the first loans of a node failed while it connected.
    constexpr Duration answerTime = std::chrono::milliseconds(100);
    /// Pause after a loan that did not suffice, doubled each time until one does. Without it, a workspace that sends
    /// many times its quota costs messages to all peers for each request.
    constexpr Duration firstPause = std::chrono::milliseconds(200);
    constexpr Duration longestPause = std::chrono::milliseconds(1600);
    /// Part of its share that each peer is asked for. With 0.4, few peers gave up most of what they had, and the next
    /// loan found nothing there.
    constexpr double expectedPart = 0.12;
    /// Each peer is asked for this multiple of its part of what is missing, as some can lend less. What comes in excess
    /// is lost if it does not fit into this node's share.
    constexpr double excessPart = 1.5;
    /// A second peer is asked even for a small amount, since the first may be gone or have nothing left.
    constexpr std::size_t fewestAsked = 2;
    constexpr std::size_t mostAsked = 16;

} // namespace

QuotaBorrower::QuotaBorrower(std::uint64_t seed)
    : random(seed)
{
}

std::vector<AddressedLoanRequest> QuotaBorrower::ask(
    const RequestId& request, const WorkspaceName& workspace, double missing, double capacity, Instant now)
{
    const auto paused = this->pauses.find(workspace);
    if (this->peers.empty() || (paused != this->pauses.end() && now < paused->second.until))
        return {};
    const double wanted = std::ceil(missing / std::max(1.0, capacity * expectedPart));
    const auto limit = std::min(mostAsked, this->peers.size());
    const auto count = wanted >= static_cast<double>(limit)
        ? limit
        : std::clamp(static_cast<std::size_t>(wanted), std::min(fewestAsked, limit), limit);

    Loan& loan = this->loans[++this->lastLoan];
    loan = { request, 0, count, now + answerTime };
    const double each = std::min(missing, missing * excessPart / static_cast<double>(count));
    std::vector<AddressedLoanRequest> asked;
    for (std::string& address : this->drawPeers(count))
        asked.push_back({ std::move(address), { this->lastLoan, workspace, each } });
    return asked;
}

std::vector<std::string> QuotaBorrower::drawPeers(std::size_t count)
{
    count = std::min(count, this->peers.size());
    // A partial shuffle: the drawn peers are moved to the front.
    for (std::size_t i = 0; i < count; ++i)
        std::swap(this->peers[i], this->peers[i + this->random.below(this->peers.size() - i)]);
    return { this->peers.begin(), this->peers.begin() + static_cast<std::ptrdiff_t>(count) };
}

std::optional<EndedLoan> QuotaBorrower::onAnswer(const QuotaLoan& answer)
{
    const auto found = this->loans.find(answer.loan);
    if (found == this->loans.end())
        return std::nullopt;
    Loan& loan = found->second;
    loan.amount += answer.amount;
    if (--loan.openAnswers > 0)
        return std::nullopt;
    EndedLoan ended { std::move(loan.request), loan.amount };
    this->loans.erase(found);
    return ended;
}

void QuotaBorrower::cancel(const RequestId& request)
{
    std::erase_if(this->loans, [&request](const auto& entry) { return entry.second.request == request; });
}

void QuotaBorrower::onTooLittle(const WorkspaceName& workspace, Instant now)
{
    Pause& pause = this->pauses[workspace];
    pause.length = std::clamp(2 * pause.length, firstPause, longestPause);
    pause.until = now + pause.length;
}

void QuotaBorrower::onEnough(const WorkspaceName& workspace) { this->pauses.erase(workspace); }

std::vector<EndedLoan> QuotaBorrower::takeExpired(Instant now)
{
    std::vector<EndedLoan> ended;
    // All loans run for the same time, so that the oldest expire first.
    while (!this->loans.empty() && this->loans.begin()->second.until <= now) {
        Loan& loan = this->loans.begin()->second;
        ended.push_back({ std::move(loan.request), loan.amount });
        this->loans.erase(this->loans.begin());
    }
    return ended;
}

Instant QuotaBorrower::nextExpiry() const
{
    return this->loans.empty() ? Instant::max() : this->loans.begin()->second.until;
}

} // namespace teaselshore
