#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
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

/// @brief Request whose loan has ended, with all answers or without some of them.
struct EndedLoan {
    RequestId request;
    /// Sum of what the peers lent.
    double amount = 0;

    auto operator<=>(const EndedLoan&) const = default;
};

/// @brief Borrows quota from peers for requests that this node's share does not cover.
///
/// A share of a quota is small against a large prompt, so that a node would refuse requests while the workspace is well
/// within its quota. A loan moves quota from node to node and never adds to it: the lender gives it up before it
/// answers, and an answer that comes late is dropped. Not thread-safe.
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

    /// @brief Takes an answer; returns the loan if it is the last one. Answers to ended loans are ignored.
    std::optional<EndedLoan> onAnswer(const QuotaLoan& answer);

    /// @brief Ends the loan of a request early, for instance when its caller has left.
    void cancel(const RequestId& request);

    /// @brief Notes that the peers had too little, so that they are not asked again for a moment.
    void onTooLittle(const WorkspaceName& workspace, Instant now);
    /// @brief Notes that a loan sufficed.
    void onEnough(const WorkspaceName& workspace);

    /// @brief Returns the loans whose time to answer has passed.
    std::vector<EndedLoan> takeExpired(Instant now);

    /// @brief Returns when the next loan expires; Instant::max() if there is none.
    Instant nextExpiry() const;

private:
    struct Loan {
        RequestId request;
        double amount = 0;
        std::size_t openAnswers = 0;
        Instant until {};
    };

    /// Time for which peers are not asked for a workspace.
    struct Pause {
        Duration length {};
        Instant until {};
    };

    RandomSource random;
    std::vector<std::string> peers;
    std::map<std::uint64_t, Loan> loans;
    std::uint64_t lastLoan = 0;
    std::map<WorkspaceName, Pause> pauses;
};

} // namespace teaselshore
