#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/quota_loan.hpp"

namespace teaselshore {

/// @brief Loan request and the peer address to send it to.
struct AddressedLoanRequest {
    std::string address;
    QuotaLoanRequest request;

    auto operator<=>(const AddressedLoanRequest&) const = default;
};

/// @brief Return of a loan and the peer address to send it to.
struct AddressedReturn {
    std::string address;
    QuotaReturn quotaReturn;

    auto operator<=>(const AddressedReturn&) const = default;
};

/// @brief Amount that one peer lent, and the peer address to return it to.
struct LoanContribution {
    std::string address;
    double amount = 0;

    auto operator<=>(const LoanContribution&) const = default;
};

/// @brief Outcome of a loan: it suffices, all peers have answered, or the time to answer has passed.
struct EndedLoan {
    RequestId request;
    /// Sum of the contributions.
    double amount = 0;
    std::vector<LoanContribution> contributions;

    auto operator<=>(const EndedLoan&) const = default;
};

/// @brief Amounts in which a loan is requested, in the unit of the quota.
struct LoanTerms {
    /// The loan suffices with this amount.
    double missing = 0;
    /// Requested beyond that, for the next requests of this node.
    double extra = 0;
    /// Maximum level of this node's share, which approximates that of a peer.
    double capacity = 0;

    auto operator<=>(const LoanTerms&) const = default;
};

/// @brief Part of the quota and amount that a peer has lent to the home node of a workspace.
struct GatheredShare {
    WorkspaceName workspace;
    std::string lender;
    double share = 0;
    Instant until {};
    double amount = 0;

    auto operator<=>(const GatheredShare&) const = default;
};

/// @brief Borrows quota from peers for requests that this node's share does not cover.
///
/// The cost of a large prompt can exceed a node's share, and the node would then refuse requests of a workspace that is
/// well within its quota. A loan moves quota between nodes and never adds to it: the lender deducts the amount before
/// it answers, and late answers are dropped. A loan ends as soon as it suffices; amounts lent after that must be
/// returned.
///
/// One node is the home of each workspace: the one with the highest hash among those that answer. While the workspace
/// is short of quota, the home borrows parts of the shares of all nodes, and the others ask it first. Nodes that
/// disagree on the home, or can't reach it, borrow from each other.
///
/// Answers state what the lender has left. Loans go first to the peers with the highest statements, and last to peers
/// that did not answer. Messages of loans that fall short are limited by a budget for each workspace. Not thread-safe.
class QuotaBorrower {
public:
    explicit QuotaBorrower(std::uint64_t seed);

    /// @brief Sets the peer addresses of the nodes that may be asked, and of all nodes, one of which is the home of a
    /// workspace. Without own address, no node is home.
    void setPeers(std::vector<std::string> addresses, std::vector<std::string> all = {}, std::string own = {});
    /// @brief Returns the addresses of a random sample of the peers.
    std::vector<std::string> samplePeers(std::size_t count);
    bool hasPeers() const { return !this->peers.empty(); }

    /// @brief Starts a loan and returns the messages to send; empty without peers, if the peers together can't have the
    /// missing amount, or if the workspace's message budget is used up.
    std::vector<AddressedLoanRequest> requestLoan(
        const RequestId& request, const WorkspaceName& workspace, const LoanTerms& terms, Instant now);

    /// @brief Records a request of this node or a loan request of a peer; isShort says that this node's share did not
    /// cover it. If this node is the workspace's home, it then borrows the shares of all peers, as long as there is
    /// demand: see takeFollowUps(). capacity is the maximum level of a peer's share.
    void onDemand(const WorkspaceName& workspace, double capacity, bool isShort, Instant now);
    /// @brief Returns and clears the shares that peers have lent.
    std::vector<GatheredShare> takeGathered() { return std::exchange(this->gathered, {}); }

    /// @brief Handles an answer; returns the loan if it now suffices or if no more answers are pending.
    ///
    /// If the asked peers lent too little, further ones are asked: see takeFollowUps(). Amounts lent after the loan has
    /// ended, but within the time to answer, go to takeSurplus(). Later answers are ignored.
    std::optional<EndedLoan> onAnswer(const std::string& address, const QuotaLoan& answer, Instant now);

    /// @brief Ends the loan of a request early, for instance when its caller has disconnected. Amounts lent so far and
    /// those of pending answers go to takeSurplus().
    void cancel(const RequestId& request);
    /// @brief Forgets a request that has ended.
    void onRequestEnded(const RequestId& request) { this->spent.erase(request); }

    /// @brief Returns and clears the loan requests to further peers.
    std::vector<AddressedLoanRequest> takeFollowUps() { return std::exchange(this->followUps, {}); }

    /// @brief Returns and clears the unused amounts that must go back to their lenders.
    std::vector<AddressedReturn> takeSurplus() { return std::exchange(this->surplus, {}); }

    /// @brief Records that a request was admitted with a loan, which gives back a part of what its messages took from
    /// the budget.
    void onSufficientLoan(const RequestId& request);

    /// @brief Returns the loans whose time to answer has passed, and starts the next round of those whose current round
    /// has timed out: see takeFollowUps().
    std::vector<EndedLoan> takeExpired(Instant now);

    /// @brief Returns when takeExpired() has something to do next; Instant::max() if never.
    Instant nextExpiry() const;

private:
    struct Loan {
        RequestId request;
        WorkspaceName workspace;
        LoanTerms terms;
        double amount = 0;
        std::vector<LoanContribution> contributions;
        std::set<std::string> askedPeers;
        /// Peers that have not answered yet, and what they were asked for.
        std::map<std::string, double> pendingPeers;
        /// Sums over the peers that have answered in the current round.
        double roundAsked = 0;
        double roundLent = 0;
        Instant roundDeadline {};
        std::size_t pendingAnswers = 0;
        Instant deadline {};
        /// True while only the workspace's home is asked.
        bool isAtHome = false;
        /// True once the loan was returned to the caller or cancelled; later answers are surplus.
        bool isEnded = false;
    };

    /// What a peer had left of its share when it answered.
    struct Remainder {
        double amount = 0;
        Instant statedAt {};
    };

    /// What is known about the loans of a workspace.
    struct Lenders {
        std::map<std::string, Remainder> remainders;
        /// Fraction of their capacity that peers had on average.
        double meanFill = 0;
        /// Messages that may be sent; negative after a loan that asked more peers.
        double budget = 0;
        Instant budgetAt {};
        /// When the shares of all peers were requested last, and the number of these loans; 0 if
        /// they were not.
        Instant gatheredAt {};
        std::uint64_t gatherNumber = 0;
        Instant demandAt {};
        double capacity = 0;
    };

    struct Candidate {
        /// Amount that the peer is expected to lend, and at most; both 0 for a peer that did not answer lately.
        double expected = 0;
        double most = 0;
        const std::string* address = nullptr;
        bool isHome = false;
    };

    /// @brief Returns the address of the workspace's home; null if there is none.
    const std::string* home(const WorkspaceName& workspace) const;
    Duration gatherPeriod() const;
    Duration shareTime() const;
    void gatherShares(const WorkspaceName& workspace, Lenders& lenders, Instant now);
    Instant nextGathering(const Lenders& lenders) const;
    Lenders& lendersOf(const WorkspaceName& workspace, Instant now);
    /// @brief Returns the peers that were not asked yet, those with the highest expected amounts first.
    std::vector<Candidate> candidates(const Loan& loan, const Lenders& lenders, Instant now);
    /// @brief Asks further peers for the missing amount; returns nothing if all were asked.
    std::vector<AddressedLoanRequest> askPeers(std::uint64_t number, Loan& loan, Instant now);
    /// @brief Ends a round; asks further peers if the budget allows.
    void endRound(std::uint64_t number, Loan& loan, Instant now);
    void recordAnswer(const std::string& address, const Loan& loan, const QuotaLoan& answer, Instant now);
    /// @brief Handles an answer to gatherShares().
    void onShareAnswer(const std::string& address, const QuotaLoan& answer, Instant now);
    void addSurplus(const std::string& address, const WorkspaceName& workspace, double amount);

    RandomSource random;
    std::vector<std::string> peers;
    std::vector<std::string> allPeers;
    std::string ownAddress;
    std::vector<GatheredShare> gathered;
    std::map<std::uint64_t, Loan> loans;
    std::uint64_t lastLoanNumber = 0;
    std::vector<AddressedLoanRequest> followUps;
    std::vector<AddressedReturn> surplus;
    std::map<WorkspaceName, Lenders> lenders;
    /// Peers that did not answer, and until when they are asked last.
    std::map<std::string, Instant> silentPeers;
    /// What the budgets of their workspaces get back if the open requests are admitted with their loans.
    std::map<RequestId, std::pair<WorkspaceName, double>> spent;
};

} // namespace teaselshore
