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

/// @brief Borrows quota from peers for requests that this node's share does not cover.
///
/// The cost of a large prompt can exceed a node's share, and the node would then refuse requests of a workspace that is
/// well within its quota. A loan moves quota between nodes and never adds to it: the lender deducts the amount before
/// it answers, and late answers are dropped. A loan ends as soon as it suffices; amounts lent after that must be
/// returned. Not thread-safe.
class QuotaBorrower {
public:
    explicit QuotaBorrower(std::uint64_t seed);

    /// @brief Sets the peer addresses of the nodes that may be asked.
    void setPeers(std::vector<std::string> addresses) { this->peers = std::move(addresses); }
    /// @brief Returns the addresses of a random sample of the peers.
    std::vector<std::string> samplePeers(std::size_t count);
    bool hasPeers() const { return !this->peers.empty(); }

    /// @brief Starts a loan and returns the messages to send; empty without peers or during the workspace's backoff.
    ///
    /// capacity is the maximum level of this node's share, which approximates what a peer can lend.
    std::vector<AddressedLoanRequest> requestLoan(
        const RequestId& request, const WorkspaceName& workspace, double missing, double capacity, Instant now);

    /// @brief Handles an answer; returns the loan if it now suffices or if no more answers are pending.
    ///
    /// If the first peers lent most of what they were asked for, further ones are asked: see takeFollowUps(). Amounts
    /// lent after the loan has ended, but within the time to answer, go to takeSurplus(). Later answers are ignored.
    std::optional<EndedLoan> onAnswer(const std::string& address, const QuotaLoan& answer, Instant now);

    /// @brief Ends the loan of a request early, for instance when its caller has disconnected. Amounts lent so far and
    /// those of pending answers go to takeSurplus().
    void cancel(const RequestId& request);

    /// @brief Returns and clears the loan requests to further peers.
    std::vector<AddressedLoanRequest> takeFollowUps() { return std::exchange(this->followUps, {}); }

    /// @brief Returns and clears the unused amounts that must go back to their lenders.
    std::vector<AddressedReturn> takeSurplus() { return std::exchange(this->surplus, {}); }

    /// @brief Records that a loan did not suffice, which starts or doubles the workspace's backoff.
    void onInsufficientLoan(const WorkspaceName& workspace, Instant now);
    /// @brief Records that a loan sufficed, which halves the workspace's backoff.
    void onSufficientLoan(const WorkspaceName& workspace);

    /// @brief Returns the loans whose time to answer has passed, and starts the next round of those whose current round
    /// has timed out: see takeFollowUps().
    std::vector<EndedLoan> takeExpired(Instant now);

    /// @brief Returns when takeExpired() has something to do next; Instant::max() if never.
    Instant nextExpiry() const;

private:
    struct Loan {
        RequestId request;
        WorkspaceName workspace;
        double missing = 0;
        double capacity = 0;
        double amount = 0;
        std::vector<LoanContribution> contributions;
        std::set<std::string> askedPeers;
        /// Amount asked of each peer of the current round, and sums over the peers that have answered.
        double askedPerPeer = 0;
        double roundAsked = 0;
        double roundLent = 0;
        Instant roundDeadline {};
        std::size_t pendingAnswers = 0;
        Instant deadline {};
        /// True once the loan was returned to the caller or cancelled; later answers are surplus.
        bool isEnded = false;
    };

    /// Backoff of a workspace, during which peers are not asked for loans.
    struct Backoff {
        Duration delay {};
        Instant until {};
    };

    /// @brief Asks at most maxPeers further peers for the missing amount; returns nothing if all were asked.
    std::vector<AddressedLoanRequest> askPeers(std::uint64_t number, Loan& loan, std::size_t maxPeers, Instant now);
    /// @brief Ends a round; asks further peers if those that answered lent enough to expect more.
    void endRound(std::uint64_t number, Loan& loan, Instant now);
    void addSurplus(const std::string& address, const WorkspaceName& workspace, double amount);

    RandomSource random;
    std::vector<std::string> peers;
    std::map<std::uint64_t, Loan> loans;
    std::uint64_t lastLoanNumber = 0;
    std::vector<AddressedLoanRequest> followUps;
    std::vector<AddressedReturn> surplus;
    std::map<WorkspaceName, Backoff> backoffs;
};

} // namespace teaselshore
