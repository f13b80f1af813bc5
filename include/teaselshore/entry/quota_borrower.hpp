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
    QuotaReturn content;

    auto operator<=>(const AddressedReturn&) const = default;
};

/// @brief What a peer lent, and where to return it.
struct LoanPart {
    std::string address;
    double amount = 0;

    auto operator<=>(const LoanPart&) const = default;
};

/// @brief Request whose loan has ended: with enough, with all answers, or without some of them.
struct EndedLoan {
    RequestId request;
    /// Sum of what the peers lent.
    double amount = 0;
    std::vector<LoanPart> parts;

    auto operator<=>(const EndedLoan&) const = default;
};

/// @brief Borrows quota from peers for requests that this node's share does not cover.
///
/// A share of a quota is small against a large prompt, so that a node would refuse requests while the workspace is well
/// within its quota. A loan moves quota from node to node and never adds to it: the lender gives it up before it
/// answers, and an answer that comes late is dropped. A loan ends as soon as it suffices; what peers lend after that is
/// to be returned to them. Not thread-safe.
class QuotaBorrower {
public:
    explicit QuotaBorrower(std::uint64_t seed);

    /// @brief Takes over the addresses of the nodes that may be asked.
    void setPeers(std::vector<std::string> addresses) { this->peers = std::move(addresses); }
    /// @brief Returns the addresses of some of the nodes, drawn at random.
    std::vector<std::string> drawPeers(std::size_t count);
    bool hasPeers() const { return !this->peers.empty(); }

    /// @brief Starts a loan. Returns nothing if there is nobody to ask, or if peers had too little a moment ago.
    ///
    /// capacity is the most that this node's share can hold, which is about what a peer can lend.
    std::vector<AddressedLoanRequest> ask(
        const RequestId& request, const WorkspaceName& workspace, double missing, double capacity, Instant now);

    /// @brief Takes an answer; returns the loan if it suffices now or if the answer is the last one.
    ///
    /// If the first peers lent a good part of what is missing, others are asked: see takeFollowUps(). Answers that come
    /// after that, within the time to answer, are kept for takeSurplus(). Later ones are ignored.
    std::optional<EndedLoan> onAnswer(const std::string& address, const QuotaLoan& answer, Instant now);

    /// @brief Ends the loan of a request early, for instance when its caller has left. What has been lent, and what
    /// still comes, is kept for takeSurplus().
    void cancel(const RequestId& request);

    /// @brief Returns and forgets the requests to further peers.
    std::vector<AddressedLoanRequest> takeFollowUps() { return std::exchange(this->followUps, {}); }

    /// @brief Returns and forgets what peers lent without need.
    std::vector<AddressedReturn> takeSurplus() { return std::exchange(this->surplus, {}); }

    /// @brief Notes that the peers had too little, so that they are not asked again for a moment.
    void onTooLittle(const WorkspaceName& workspace, Instant now);
    /// @brief Notes that a loan sufficed.
    void onEnough(const WorkspaceName& workspace);

    /// @brief Returns the loans whose time to answer has passed, and goes on with those of which some peers have not
    /// answered for long: see takeFollowUps().
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
        std::vector<LoanPart> parts;
        std::set<std::string> asked;
        /// What each peer of the last round was asked for, and sums over those that have answered.
        double askedEach = 0;
        double answeredAsked = 0;
        double answeredLent = 0;
        Instant roundUntil {};
        std::size_t openAnswers = 0;
        Instant until {};
        /// True once the loan was given out or cancelled; only its surplus is awaited then.
        bool isEnded = false;
    };

    /// Time for which peers are not asked for a workspace.
    struct Pause {
        Duration length {};
        Instant until {};
    };

    /// @brief Asks further peers for what a loan still misses; returns nothing if all were asked.
    std::vector<AddressedLoanRequest> askPeers(std::uint64_t number, Loan& loan, std::size_t most, Instant now);
    /// @brief Asks further peers if those that answered lent enough to expect more.
    void endRound(std::uint64_t number, Loan& loan, Instant now);
    void addSurplus(const std::string& address, const WorkspaceName& workspace, double amount);

    RandomSource random;
    std::vector<std::string> peers;
    std::map<std::uint64_t, Loan> loans;
    std::uint64_t lastLoan = 0;
    std::vector<AddressedLoanRequest> followUps;
    std::vector<AddressedReturn> surplus;
    std::map<WorkspaceName, Pause> pauses;
};

} // namespace teaselshore
