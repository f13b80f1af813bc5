#include "teaselshore/entry/quota_borrower.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselshore {

namespace {

    /// Time for peers to answer: three round trips between zones for a new connection, and the delay of a busy peer.
    /// With 40 ms, the first loans of a node failed while it connected.
    constexpr Duration answerTimeout = std::chrono::milliseconds(100);
    /// Time after which further peers are asked in place of those that have not answered: three round trips between
    /// zones.
    constexpr Duration roundTimeout = std::chrono::milliseconds(30);
    /// Backoff after a loan that did not suffice, doubled by each further one and halved by one that suffices. Without
    /// it, each request of a workspace far over its quota would cost messages to all peers.
    constexpr Duration initialBackoff = std::chrono::milliseconds(400);
    constexpr Duration maxBackoff = std::chrono::milliseconds(3200);
    /// Fraction of its share that a peer is expected to lend.
    constexpr double expectedLendFraction = 0.25;
    /// Each peer is asked for this multiple of an equal split of the missing amount, since some can lend less.
    constexpr double overaskFactor = 1.5;
    /// Number of peers asked in the first round. Further ones are asked only if these lent at least promisingFraction
    /// of the asked amount: otherwise the workspace is over its quota, and asking all peers for each of its requests
    /// would waste messages.
    constexpr std::size_t firstRoundPeers = 6;
    constexpr double promisingFraction = 0.9;
    /// A second peer is asked even for a small amount, since the first may be down or have nothing left.
    constexpr std::size_t minAskedPeers = 2;

} // namespace

QuotaBorrower::QuotaBorrower(std::uint64_t seed)
    : random(seed)
{
}

std::vector<AddressedLoanRequest> QuotaBorrower::requestLoan(
    const RequestId& request, const WorkspaceName& workspace, double missing, double capacity, Instant now)
{
    const auto backoff = this->backoffs.find(workspace);
    if (this->peers.empty() || (backoff != this->backoffs.end() && now < backoff->second.until))
        return {};
    const std::uint64_t number = ++this->lastLoanNumber;
    Loan& loan = this->loans[number];
    loan.request = request;
    loan.workspace = workspace;
    loan.missing = missing;
    loan.capacity = capacity;
    loan.deadline = now + answerTimeout;
    return this->askPeers(number, loan, firstRoundPeers, now);
}

std::vector<AddressedLoanRequest> QuotaBorrower::askPeers(
    std::uint64_t number, Loan& loan, std::size_t maxPeers, Instant now)
{
    const double missing = loan.missing - loan.amount;
    const std::size_t unaskedPeers = this->peers.size() - std::min(this->peers.size(), loan.askedPeers.size());
    const double estimatedPeers = std::ceil(missing / std::max(1.0, loan.capacity * expectedLendFraction));
    const std::size_t neededPeers = estimatedPeers >= static_cast<double>(unaskedPeers)
        ? unaskedPeers
        : std::clamp(static_cast<std::size_t>(estimatedPeers), std::min(minAskedPeers, unaskedPeers), unaskedPeers);
    const double perPeer
        = std::min(missing, missing * overaskFactor / static_cast<double>(std::max<std::size_t>(1, neededPeers)));
    const std::size_t count = std::min(neededPeers, maxPeers);
    std::vector<AddressedLoanRequest> requests;
    for (std::string& address : this->samplePeers(this->peers.size())) {
        if (requests.size() >= count || !loan.askedPeers.insert(address).second)
            continue;
        requests.push_back({ std::move(address), { number, loan.workspace, perPeer } });
    }
    loan.pendingAnswers += requests.size();
    loan.askedPerPeer = perPeer;
    loan.roundAsked = 0;
    loan.roundLent = 0;
    loan.roundDeadline = requests.empty() ? Instant::max() : now + roundTimeout;
    return requests;
}

std::vector<std::string> QuotaBorrower::samplePeers(std::size_t count)
{
    count = std::min(count, this->peers.size());
    // Partial Fisher-Yates shuffle: the sampled peers move to the front.
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
    --loan.pendingAnswers;
    std::optional<EndedLoan> ended;
    if (loan.isEnded) {
        this->addSurplus(address, loan.workspace, answer.amount);
    } else {
        loan.amount += answer.amount;
        loan.roundLent += answer.amount;
        loan.roundAsked += loan.askedPerPeer;
        if (answer.amount > 0)
            loan.contributions.push_back({ address, answer.amount });
        if (loan.pendingAnswers == 0 && loan.amount < loan.missing)
            this->endRound(answer.loan, loan, now);
        loan.isEnded = loan.amount >= loan.missing || loan.pendingAnswers == 0;
        if (loan.isEnded)
            ended = EndedLoan { loan.request, loan.amount, std::move(loan.contributions) };
    }
    if (loan.pendingAnswers == 0)
        this->loans.erase(found);
    return ended;
}

void QuotaBorrower::endRound(std::uint64_t number, Loan& loan, Instant now)
{
    loan.roundDeadline = Instant::max();
    const bool isPromising = loan.roundAsked > 0 && loan.roundLent >= promisingFraction * loan.roundAsked;
    if (!isPromising && this->backoffs.contains(loan.workspace))
        return;
    for (AddressedLoanRequest& followUp : this->askPeers(number, loan, this->peers.size(), now))
        this->followUps.push_back(std::move(followUp));
}

void QuotaBorrower::cancel(const RequestId& request)
{
    for (auto& [number, loan] : this->loans) {
        if (loan.isEnded || loan.request != request)
            continue;
        loan.isEnded = true;
        for (const LoanContribution& contribution : std::exchange(loan.contributions, {}))
            this->addSurplus(contribution.address, loan.workspace, contribution.amount);
    }
}

void QuotaBorrower::addSurplus(const std::string& address, const WorkspaceName& workspace, double amount)
{
    if (amount > 0)
        this->surplus.push_back({ address, { workspace, amount } });
}

void QuotaBorrower::onInsufficientLoan(const WorkspaceName& workspace, Instant now)
{
    Backoff& backoff = this->backoffs[workspace];
    backoff.delay = std::clamp(2 * backoff.delay, initialBackoff, maxBackoff);
    backoff.until = now + backoff.delay;
}

void QuotaBorrower::onSufficientLoan(const WorkspaceName& workspace)
{
    const auto found = this->backoffs.find(workspace);
    if (found == this->backoffs.end())
        return;
    // Halved, not reset: a workspace far over its quota gets an occasional loan, and a reset would cost messages for
    // each of its next failures.
    found->second.delay /= 2;
    if (found->second.delay < initialBackoff)
        this->backoffs.erase(found);
}

std::vector<EndedLoan> QuotaBorrower::takeExpired(Instant now)
{
    std::vector<EndedLoan> ended;
    // All loans have the same timeout, so that they expire in the order of their numbers.
    while (!this->loans.empty() && this->loans.begin()->second.deadline <= now) {
        Loan& loan = this->loans.begin()->second;
        if (!loan.isEnded)
            ended.push_back({ std::move(loan.request), loan.amount, std::move(loan.contributions) });
        this->loans.erase(this->loans.begin());
    }
    for (auto& [number, loan] : this->loans) {
        if (!loan.isEnded && loan.roundDeadline <= now)
            this->endRound(number, loan, now);
    }
    return ended;
}

Instant QuotaBorrower::nextExpiry() const
{
    Instant next = Instant::max();
    for (const auto& [number, loan] : this->loans) {
        if (!loan.isEnded)
            next = std::min({ next, loan.deadline, loan.roundDeadline });
    }
    return next;
}

} // namespace teaselshore
