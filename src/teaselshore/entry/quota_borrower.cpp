#include "teaselshore/entry/quota_borrower.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    /// Time for peers to answer: three round trips between zones for a new connection, and the delay of a busy peer.
    /// With 40 ms, the first loans of a node failed while it connected.
    constexpr Duration answerTimeout = std::chrono::milliseconds(100);
    /// Time after which further peers are asked in place of those that have not answered: three round trips between
    /// zones.
    constexpr Duration roundTimeout = std::chrono::milliseconds(30);
    /// A peer's share is refilled within about this time, so that older statements of what it had left mean nothing.
    constexpr Duration refillTime = std::chrono::seconds(2);
    /// Time for which a peer that did not answer is asked last.
    constexpr Duration silentTime = std::chrono::seconds(2);
    /// Fraction of its capacity that a peer is expected to lend before any answer.
    constexpr double initialFill = 0.25;
    constexpr double minFill = 0.05;
    constexpr double fillSmoothing = 0.1;
    /// Peers are asked for this multiple of the missing amount in total, since some lend less than expected.
    constexpr double overaskFactor = 1.5;
    /// Messages per second, and at once, of loans that fall short, for each workspace. Without a limit, each request of
    /// a workspace far over its quota would cost messages to all peers.
    constexpr double budgetPerSecond = 2;
    /// If peers had less than this fraction of their capacity lately, the workspace is probably over its quota. Then
    /// only some peers are asked first, and further ones if these lent most of what they were asked for.
    constexpr double lowFill = 0.2;
    constexpr std::size_t firstRoundPeers = 6;
    constexpr double promisingFraction = 0.9;
    constexpr double maxBudget = 24;
    /// Part of the messages of a loan that admitted a request that goes back to the budget. A workspace far over its
    /// quota gets some loans too, and would otherwise ask all peers for each of them.
    constexpr double refundFactor = 0.5;
    /// Lowest level of the budget, so that one loan from many peers suspends loans for at most eight seconds.
    constexpr double minBudget = -8 * budgetPerSecond;
    /// Cost of a loan request to the home of the workspace, which is a single message.
    constexpr double homeCost = 0.1;
    /// Period after which the home of a workspace borrows the shares of the other nodes again, at least and for each
    /// node, so that its messages per second do not grow with the fleet.
    constexpr Duration minGatherPeriod = std::chrono::seconds(2);
    constexpr Duration gatherPeriodPerNode = std::chrono::milliseconds(11);
    /// Shares are lent for this multiple of the period; what is lent to a home that dies is unused for so long.
    constexpr double shareTimeFactor = 1.5;
    /// Time after the last request for which shares are borrowed again. If they were given up in the pauses of a
    /// workspace with few requests, what the home had left would be lost each time.
    constexpr Duration gatherTime = std::chrono::seconds(10);
    /// A second peer is asked even for a small amount, since the first may be down or have nothing left.
    constexpr std::size_t minAskedPeers = 2;

} // namespace

QuotaBorrower::QuotaBorrower(std::uint64_t seed)
    : random(seed)
{
}

void QuotaBorrower::setPeers(std::vector<std::string> addresses, std::vector<std::string> all, std::string own)
{
    this->peers = std::move(addresses);
    this->allPeers = std::move(all);
    this->ownAddress = std::move(own);
}

const std::string* QuotaBorrower::home(const WorkspaceName& workspace) const
{
    if (this->ownAddress.empty())
        return nullptr;
    const std::string* best = &this->ownAddress;
    Fingerprint highest = fingerprint({ workspace.value(), this->ownAddress });
    for (const std::string& address : this->allPeers) {
        const Fingerprint hash = fingerprint({ workspace.value(), address });
        if (hash <= highest || this->silentPeers.contains(address))
            continue;
        best = &address;
        highest = hash;
    }
    return best;
}

Duration QuotaBorrower::gatherPeriod() const
{
    return std::max(minGatherPeriod, gatherPeriodPerNode * static_cast<Duration::rep>(this->allPeers.size()));
}

void QuotaBorrower::onDemand(const WorkspaceName& workspace, double capacity, bool isShort, Instant now)
{
    Lenders& lenders = this->lendersOf(workspace, now);
    lenders.capacity = capacity;
    lenders.demandAt = now;
    const bool hasShares = lenders.gatherNumber != 0 && now - lenders.gatheredAt < this->shareTime();
    if (isShort && !hasShares)
        this->gatherShares(workspace, lenders, now);
}

void QuotaBorrower::gatherShares(const WorkspaceName& workspace, Lenders& lenders, Instant now)
{
    lenders.gatherNumber = 0;
    if (this->home(workspace) != &this->ownAddress)
        return;
    lenders.gatheredAt = now;
    lenders.gatherNumber = ++this->lastLoanNumber;
    for (const std::string& address : this->allPeers)
        this->followUps.push_back(
            { address, { lenders.gatherNumber, workspace, lenders.capacity, this->shareTime() } });
}

Duration QuotaBorrower::shareTime() const { return fromSeconds(shareTimeFactor * toSeconds(this->gatherPeriod())); }

QuotaBorrower::Lenders& QuotaBorrower::lendersOf(const WorkspaceName& workspace, Instant now)
{
    const auto [entry, added] = this->lenders.try_emplace(workspace);
    Lenders& lenders = entry->second;
    if (added)
        lenders = { {}, initialFill, maxBudget, now };
    lenders.budget = std::min(maxBudget, lenders.budget + toSeconds(now - lenders.budgetAt) * budgetPerSecond);
    lenders.budgetAt = now;
    return lenders;
}

std::vector<AddressedLoanRequest> QuotaBorrower::requestLoan(
    const RequestId& request, const WorkspaceName& workspace, const LoanTerms& terms, Instant now)
{
    const Lenders& lenders = this->lendersOf(workspace, now);
    if (this->peers.empty() || lenders.budget <= 0)
        return {};
    Loan loan;
    loan.request = request;
    loan.workspace = workspace;
    loan.terms = terms;
    loan.deadline = now + answerTimeout;
    double most = 0;
    bool isAnySilent = false;
    for (const Candidate& candidate : this->candidates(loan, lenders, now)) {
        most += candidate.most;
        isAnySilent = isAnySilent || candidate.most == 0;
    }
    if (most < terms.missing && !isAnySilent)
        return {};
    const std::uint64_t number = ++this->lastLoanNumber;
    return this->askPeers(number, this->loans[number] = std::move(loan), now);
}

std::vector<QuotaBorrower::Candidate> QuotaBorrower::candidates(const Loan& loan, const Lenders& lenders, Instant now)
{
    std::erase_if(this->silentPeers, [now](const auto& entry) { return entry.second <= now; });
    const double capacity = loan.terms.capacity;
    const std::string* const home = this->home(loan.workspace);
    this->samplePeers(this->peers.size());
    std::vector<Candidate> result;
    if (home && home != &this->ownAddress && !loan.askedPeers.contains(*home)) {
        // The home has what the others have lent to it.
        const double refill = capacity * static_cast<double>(this->allPeers.size()) / toSeconds(refillTime);
        Candidate candidate { HUGE_VAL, HUGE_VAL, home, true };
        const auto known = lenders.remainders.find(*home);
        if (known != lenders.remainders.end() && now - known->second.statedAt < refillTime)
            candidate.expected = candidate.most
                = known->second.amount + refill * toSeconds(now - known->second.statedAt);
        result.push_back(candidate);
    }
    for (const std::string& address : this->peers) {
        if (loan.askedPeers.contains(address) || (home && address == *home))
            continue;
        Candidate candidate { lenders.meanFill * capacity, HUGE_VAL, &address };
        const auto known = lenders.remainders.find(address);
        if (this->silentPeers.contains(address)) {
            candidate.expected = candidate.most = 0;
        } else if (known != lenders.remainders.end() && now - known->second.statedAt < refillTime) {
            const double refilled = capacity * toSeconds(now - known->second.statedAt) / toSeconds(refillTime);
            candidate.most = known->second.amount + refilled;
            candidate.expected = known->second.amount + refilled * lenders.meanFill;
        }
        result.push_back(candidate);
    }
    // The peers are in random order, which decides between equal ones.
    std::stable_sort(result.begin(), result.end(),
        [](const Candidate& left, const Candidate& right) { return left.expected > right.expected; });
    return result;
}

std::vector<AddressedLoanRequest> QuotaBorrower::askPeers(std::uint64_t number, Loan& loan, Instant now)
{
    Lenders& lenders = this->lendersOf(loan.workspace, now);
    const double missing = loan.terms.missing - loan.amount;
    const double asked = (missing + loan.terms.extra) * overaskFactor;
    std::vector<Candidate> chosen;
    double expected = 0;
    for (const Candidate& candidate : this->candidates(loan, lenders, now)) {
        if (candidate.isHome && candidate.expected >= missing) {
            loan.isAtHome = true;
            chosen = { candidate };
            expected = missing + loan.terms.extra;
            chosen.front().expected = expected;
            break;
        }
        if (chosen.size() >= minAskedPeers && expected >= asked)
            break;
        expected += candidate.expected;
        chosen.push_back(candidate);
    }
    const std::size_t needed = chosen.size();
    if (loan.askedPeers.empty() && lenders.meanFill < lowFill)
        chosen.resize(std::min(chosen.size(), firstRoundPeers));
    std::vector<AddressedLoanRequest> requests;
    loan.roundAsked = 0;
    loan.roundLent = 0;
    for (const Candidate& candidate : chosen) {
        const double part = expected > 0 ? candidate.expected / expected : 0;
        // A peer of which little is expected may have more, and is asked for an equal part at least.
        const double amount
            = std::min(missing + loan.terms.extra, asked * std::max(part, 1 / static_cast<double>(needed)));
        // Other loans of this node meanwhile expect less of this peer; its answer states what is left.
        if (const auto known = lenders.remainders.find(*candidate.address); known != lenders.remainders.end())
            known->second.amount = std::max(0.0, known->second.amount - amount);
        loan.askedPeers.insert(*candidate.address);
        loan.pendingPeers[*candidate.address] = amount;
        requests.push_back({ *candidate.address, { number, loan.workspace, amount } });
    }
    const double count = loan.isAtHome ? homeCost : static_cast<double>(requests.size());
    lenders.budget = std::max(minBudget, lenders.budget - count);
    auto& spent = this->spent.try_emplace(loan.request, loan.workspace, 0).first->second;
    spent.second += loan.isAtHome ? count : refundFactor * count;
    loan.pendingAnswers += requests.size();
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

void QuotaBorrower::recordAnswer(const std::string& address, const Loan& loan, const QuotaLoan& answer, Instant now)
{
    Lenders& lenders = this->lendersOf(loan.workspace, now);
    const auto asked = loan.pendingPeers.find(address);
    const bool gaveAll = asked != loan.pendingPeers.end() && answer.amount >= asked->second;
    // Nodes of earlier releases do not state what is left.
    if (!answer.left && gaveAll)
        return;
    const double left = answer.left.value_or(0);
    lenders.remainders[address] = { left, now };
    const double fill = std::clamp((left + answer.amount) / std::max(1.0, loan.terms.capacity), minFill, 1.0);
    lenders.meanFill += fillSmoothing * (fill - lenders.meanFill);
}

std::optional<EndedLoan> QuotaBorrower::onAnswer(const std::string& address, const QuotaLoan& answer, Instant now)
{
    this->silentPeers.erase(address);
    const auto found = this->loans.find(answer.loan);
    if (found == this->loans.end()) {
        this->onShareAnswer(address, answer, now);
        return std::nullopt;
    }
    Loan& loan = found->second;
    this->recordAnswer(address, loan, answer, now);
    --loan.pendingAnswers;
    const auto asked = loan.pendingPeers.find(address);
    loan.roundAsked += asked == loan.pendingPeers.end() ? answer.amount : asked->second;
    loan.roundLent += answer.amount;
    loan.pendingPeers.erase(address);
    // The others have lent their shares to the home, so that asking them would be in vain.
    const bool isHomeEmpty = loan.isAtHome && answer.left;
    std::optional<EndedLoan> ended;
    if (loan.isEnded) {
        this->addSurplus(address, loan.workspace, answer.amount);
    } else {
        loan.amount += answer.amount;
        if (answer.amount > 0)
            loan.contributions.push_back({ address, answer.amount });
        if (loan.pendingAnswers == 0 && loan.amount < loan.terms.missing && !isHomeEmpty)
            this->endRound(answer.loan, loan, now);
        loan.isEnded = loan.amount >= loan.terms.missing || loan.pendingAnswers == 0;
        if (loan.isEnded)
            ended = EndedLoan { loan.request, loan.amount, std::move(loan.contributions) };
    }
    if (loan.pendingAnswers == 0)
        this->loans.erase(found);
    return ended;
}

void QuotaBorrower::onShareAnswer(const std::string& address, const QuotaLoan& answer, Instant now)
{
    for (auto& [workspace, lenders] : this->lenders) {
        // Answers after the time of a loan are dropped like those of other loans.
        if (lenders.gatherNumber != answer.loan || now - lenders.gatheredAt >= answerTimeout)
            continue;
        lenders.remainders[address] = { answer.left.value_or(0), now };
        this->gathered.push_back(
            { workspace, address, answer.share.value_or(0), lenders.gatheredAt + this->shareTime(), answer.amount });
    }
}

void QuotaBorrower::endRound(std::uint64_t number, Loan& loan, Instant now)
{
    loan.roundDeadline = Instant::max();
    for (const auto& [address, amount] : loan.pendingPeers)
        this->silentPeers[address] = now + silentTime;
    const Lenders& lenders = this->lendersOf(loan.workspace, now);
    const bool isPromising = loan.roundAsked > 0 && loan.roundLent >= promisingFraction * loan.roundAsked;
    if (lenders.budget <= 0 || (lenders.meanFill < lowFill && !isPromising))
        return;
    for (AddressedLoanRequest& followUp : this->askPeers(number, loan, now))
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

void QuotaBorrower::onSufficientLoan(const RequestId& request)
{
    const auto found = this->spent.find(request);
    if (found == this->spent.end())
        return;
    const auto& [workspace, messages] = found->second;
    const auto lenders = this->lenders.find(workspace);
    if (lenders != this->lenders.end())
        lenders->second.budget = std::min(maxBudget, lenders->second.budget + messages);
    this->spent.erase(found);
}

std::vector<EndedLoan> QuotaBorrower::takeExpired(Instant now)
{
    std::vector<EndedLoan> ended;
    // All loans have the same timeout, so that they expire in the order of their numbers.
    while (!this->loans.empty() && this->loans.begin()->second.deadline <= now) {
        Loan& loan = this->loans.begin()->second;
        for (const auto& [address, amount] : loan.pendingPeers)
            this->silentPeers[address] = now + silentTime;
        if (!loan.isEnded)
            ended.push_back({ std::move(loan.request), loan.amount, std::move(loan.contributions) });
        this->loans.erase(this->loans.begin());
    }
    for (auto& [number, loan] : this->loans) {
        if (!loan.isEnded && loan.roundDeadline <= now) {
            loan.isAtHome = false;
            this->endRound(number, loan, now);
        }
    }
    for (auto& [workspace, lenders] : this->lenders) {
        if (this->nextGathering(lenders) <= now)
            this->gatherShares(workspace, lenders, now);
    }
    return ended;
}

Instant QuotaBorrower::nextGathering(const Lenders& lenders) const
{
    const Instant next = lenders.gatheredAt + this->gatherPeriod();
    return lenders.gatherNumber != 0 && next < lenders.demandAt + gatherTime ? next : Instant::max();
}

Instant QuotaBorrower::nextExpiry() const
{
    Instant next = Instant::max();
    for (const auto& [number, loan] : this->loans) {
        if (!loan.isEnded)
            next = std::min({ next, loan.deadline, loan.roundDeadline });
    }
    for (const auto& [workspace, lenders] : this->lenders)
        next = std::min(next, this->nextGathering(lenders));
    return next;
}

} // namespace teaselshore
