#include "teaselshore/entry/quota_borrower.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselshore {

namespace {

    /// Time for peers to answer: three ways there and back for a new connection between zones, and some delay of a busy
    /// peer. With 40 ms, the first loans of a node failed while it connected.
    constexpr Duration answerTime = std::chrono::milliseconds(100);
    /// Time after which further peers are asked in place of those that have not answered: three ways there and back
    /// between zones.
    constexpr Duration roundTime = std::chrono::milliseconds(30);
    /// Pause after a loan that did not suffice, doubled each time and halved by one that does. Without it, a workspace
    /// that sends many times its quota costs messages to all peers for each request.
    constexpr Duration firstPause = std::chrono::milliseconds(400);
    constexpr Duration longestPause = std::chrono::milliseconds(3200);
    /// Part of its share that each peer is asked for.
    constexpr double expectedPart = 0.25;
    /// Each peer is asked for this multiple of its part of what is missing, as some can lend less.
    constexpr double excessPart = 1.5;
    /// Peers that are asked first. Further ones are asked only if these lent at least promisingPart of what they were
    /// asked for: where they lent less, the workspace is over its quota, and asking all peers for each of its requests
    /// would cost messages without use.
    constexpr std::size_t firstAsked = 6;
    constexpr double promisingPart = 0.9;
    /// A second peer is asked even for a small amount, since the first may be gone or have nothing left.
    constexpr std::size_t fewestAsked = 2;

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
    const std::uint64_t number = ++this->lastLoan;
    Loan& loan = this->loans[number];
    loan.request = request;
    loan.workspace = workspace;
    loan.missing = missing;
    loan.capacity = capacity;
    loan.until = now + answerTime;
    return this->askPeers(number, loan, firstAsked, now);
}

std::vector<AddressedLoanRequest> QuotaBorrower::askPeers(
    std::uint64_t number, Loan& loan, std::size_t most, Instant now)
{
    const double missing = loan.missing - loan.amount;
    const std::size_t left = this->peers.size() - std::min(this->peers.size(), loan.asked.size());
    const double wanted = std::ceil(missing / std::max(1.0, loan.capacity * expectedPart));
    const std::size_t needed = wanted >= static_cast<double>(left)
        ? left
        : std::clamp(static_cast<std::size_t>(wanted), std::min(fewestAsked, left), left);
    const double each = std::min(missing, missing * excessPart / static_cast<double>(std::max<std::size_t>(1, needed)));
    const std::size_t count = std::min(needed, most);
    std::vector<AddressedLoanRequest> requests;
    for (std::string& address : this->drawPeers(this->peers.size())) {
        if (requests.size() >= count || !loan.asked.insert(address).second)
            continue;
        requests.push_back({ std::move(address), { number, loan.workspace, each } });
    }
    loan.openAnswers += requests.size();
    loan.askedEach = each;
    loan.answeredAsked = 0;
    loan.answeredLent = 0;
    loan.roundUntil = requests.empty() ? Instant::max() : now + roundTime;
    return requests;
}

std::vector<std::string> QuotaBorrower::drawPeers(std::size_t count)
{
    count = std::min(count, this->peers.size());
    // A partial shuffle: the drawn peers are moved to the front.
    for (std::size_t i = 0; i < count; ++i)
        std::swap(this->peers[i], this->peers[i + this->random.below(this->peers.size() - i)]);
    return { this->peers.begin(), this->peers.begin() + static_cast<std::ptrdiff_t>(count) };
}

std::optional<EndedLoan> QuotaBorrower::onAnswer(const std::string& address, const QuotaLoan& answer, Instant now)
{
    const auto found = this->loans.find(answer.loan);
    if (found == this->loans.end())
        return std::nullopt;
    Loan& loan = found->second;
    --loan.openAnswers;
    std::optional<EndedLoan> ended;
    if (loan.isEnded) {
        this->addSurplus(address, loan.workspace, answer.amount);
    } else {
        loan.amount += answer.amount;
        loan.answeredLent += answer.amount;
        loan.answeredAsked += loan.askedEach;
        if (answer.amount > 0)
            loan.parts.push_back({ address, answer.amount });
        if (loan.openAnswers == 0 && loan.amount < loan.missing)
            this->endRound(answer.loan, loan, now);
        loan.isEnded = loan.amount >= loan.missing || loan.openAnswers == 0;
        if (loan.isEnded)
            ended = EndedLoan { loan.request, loan.amount, std::move(loan.parts) };
    }
    if (loan.openAnswers == 0)
        this->loans.erase(found);
    return ended;
}

void QuotaBorrower::endRound(std::uint64_t number, Loan& loan, Instant now)
{
    loan.roundUntil = Instant::max();
    const bool isPromising = loan.answeredAsked > 0 && loan.answeredLent >= promisingPart * loan.answeredAsked;
    if (!isPromising && this->pauses.contains(loan.workspace))
        return;
    for (AddressedLoanRequest& further : this->askPeers(number, loan, this->peers.size(), now))
        this->followUps.push_back(std::move(further));
}

void QuotaBorrower::cancel(const RequestId& request)
{
    for (auto& [number, loan] : this->loans) {
        if (loan.isEnded || loan.request != request)
            continue;
        loan.isEnded = true;
        for (const LoanPart& part : std::exchange(loan.parts, {}))
            this->addSurplus(part.address, loan.workspace, part.amount);
    }
}

void QuotaBorrower::addSurplus(const std::string& address, const WorkspaceName& workspace, double amount)
{
    if (amount > 0)
        this->surplus.push_back({ address, { workspace, amount } });
}

void QuotaBorrower::onTooLittle(const WorkspaceName& workspace, Instant now)
{
    Pause& pause = this->pauses[workspace];
    pause.length = std::clamp(2 * pause.length, firstPause, longestPause);
    pause.until = now + pause.length;
}

void QuotaBorrower::onEnough(const WorkspaceName& workspace)
{
    const auto found = this->pauses.find(workspace);
    if (found == this->pauses.end())
        return;
    // A workspace far beyond its quota gets a loan now and then; its next failures cost messages again.
    found->second.length /= 2;
    if (found->second.length < firstPause)
        this->pauses.erase(found);
}

std::vector<EndedLoan> QuotaBorrower::takeExpired(Instant now)
{
    std::vector<EndedLoan> ended;
    // All loans run for the same time, so that the oldest expire first.
    while (!this->loans.empty() && this->loans.begin()->second.until <= now) {
        Loan& loan = this->loans.begin()->second;
        if (!loan.isEnded)
            ended.push_back({ std::move(loan.request), loan.amount, std::move(loan.parts) });
        this->loans.erase(this->loans.begin());
    }
    for (auto& [number, loan] : this->loans) {
        if (!loan.isEnded && loan.roundUntil <= now)
            this->endRound(number, loan, now);
    }
    return ended;
}

Instant QuotaBorrower::nextExpiry() const
{
    Instant next = Instant::max();
    for (const auto& [number, loan] : this->loans) {
        if (!loan.isEnded)
            next = std::min({ next, loan.until, loan.roundUntil });
    }
    return next;
}

} // namespace teaselshore
