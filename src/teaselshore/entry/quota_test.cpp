#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/entry/quota_borrower.hpp"
#include "teaselshore/entry/quota_limiter.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    const WorkspaceName north("north");

    EntryWorkspace workspace(double perSecond, double burst)
    {
        return { north, { "key" }, std::nullopt, WorkspaceQuota { QuotaUnit::Tokens, perSecond, burst, 200 } };
    }

    /// Nodes that share the quota of one workspace and lend each other the remainder of their shares.
    class LendingNodes {
    public:
        LendingNodes(std::size_t size, const QuotaTolerance& tolerance, const EntryWorkspace& quota, std::uint64_t seed)
            : random(seed)
            , tolerance(tolerance)
        {
            for (std::size_t index = 0; index < size; ++index) {
                Node& node = this->nodes.try_emplace(std::to_string(index), tolerance, seed + index).first->second;
                node.limiter.setShare(1.0 / static_cast<double>(size), this->now);
                node.limiter.onWorkspaces({ quota }, this->now);
            }
            for (auto& [name, node] : this->nodes) {
                std::vector<std::string> others;
                for (const auto& [other, ignored] : this->nodes) {
                    if (other != name)
                        others.push_back(other);
                }
                node.borrower.setPeers(others);
            }
        }

        void advance(Duration time) { this->now += time; }

        /// @brief Sends a request to a random node; returns whether it is admitted.
        bool request(double amount)
        {
            Node& node = this->nodes.at(std::to_string(this->random.below(this->nodes.size())));
            auto shortage = node.limiter.take(north, amount, this->now);
            if (shortage && this->isLending)
                shortage = this->borrow(node, amount, *shortage);
            if (!shortage)
                this->admitted.emplace_back(this->now, amount);
            return !shortage;
        }

        /// @brief Returns the maximum amount within a window, as a fraction of what the quota and its tolerance allow.
        double maxUsedFraction(const WorkspaceQuota& quota) const
        {
            const double allowed
                = (quota.perSecond * toSeconds(this->tolerance.window) + quota.burst) * (1 + this->tolerance.excess)
                + this->tolerance.slack;
            double most = 0;
            double sum = 0;
            std::size_t first = 0;
            for (const auto& [at, amount] : this->admitted) {
                sum += amount;
                while (this->admitted[first].first + this->tolerance.window < at)
                    sum -= this->admitted[first++].second;
                most = std::max(most, sum);
            }
            return most / allowed;
        }

        double admittedAmount() const
        {
            double result = 0;
            for (const auto& [at, amount] : this->admitted)
                result += amount;
            return result;
        }

        bool isLending = true;
        /// Percentage of the loans whose answer is lost.
        std::uint64_t answerLossPercent = 0;
        std::size_t messages = 0;

    private:
        struct Node {
            Node(const QuotaTolerance& tolerance, std::uint64_t seed)
                : limiter(tolerance)
                , borrower(seed)
            {
            }

            QuotaLimiter limiter;
            QuotaBorrower borrower;
        };

        std::optional<QuotaShortage> borrow(Node& node, double amount, const QuotaShortage& shortage)
        {
            const RequestId request("r-" + std::to_string(this->admitted.size()));
            auto asked = node.borrower.requestLoan(request, north, shortage.missing, shortage.capacity, this->now);
            if (asked.empty())
                return shortage;
            std::optional<EndedLoan> ended;
            while (!asked.empty()) {
                this->messages += asked.size();
                for (const AddressedLoanRequest& loan : asked) {
                    const double lent
                        = this->nodes.at(loan.address).limiter.lend(north, loan.request.amount, this->now);
                    if (this->random.below(100) < this->answerLossPercent)
                        continue;
                    if (auto result = node.borrower.onAnswer(loan.address, { loan.request.loan, lent }, this->now))
                        ended = std::move(result);
                }
                asked = node.borrower.takeFollowUps();
                // Some answers were lost: further peers are asked, and the amounts lent before the timeout count.
                while (asked.empty() && !ended) {
                    const std::vector<EndedLoan> expired = node.borrower.takeExpired(node.borrower.nextExpiry());
                    if (!expired.empty())
                        ended = expired.front();
                    asked = node.borrower.takeFollowUps();
                }
            }
            for (const AddressedReturn& returned : node.borrower.takeSurplus())
                this->refund(returned.address, returned.quotaReturn.amount);
            auto result = node.limiter.take(north, amount, this->now, ended->amount);
            if (!result) {
                node.borrower.onSufficientLoan(north);
                return result;
            }
            node.borrower.onInsufficientLoan(north, this->now);
            for (const LoanContribution& contribution : ended->contributions)
                this->refund(contribution.address, contribution.amount);
            return result;
        }

        void refund(const std::string& address, double amount)
        {
            if (this->random.below(100) >= this->answerLossPercent)
                this->nodes.at(address).limiter.refund(north, amount);
        }

        RandomSource random;
        QuotaTolerance tolerance;
        std::map<std::string, Node> nodes;
        std::vector<std::pair<Instant, double>> admitted;
        Instant now { 1000s };
    };

    // Load pattern: one workspace sends many times its quota. Guards against exceeding the quota and its tolerance
    // within any window over all nodes, for any distribution of the load, with loans between the nodes and lost
    // answers.
    RC_GTEST_PROP(QuotaLimiter, QuotaHoldsOverAllNodes, ())
    {
        const EntryWorkspace quota = workspace(40'000, 40'000);
        LendingNodes nodes(
            *rc::gen::inRange<std::size_t>(1, 12), { 8s, 0.1, 14'000 }, quota, *rc::gen::inRange(1, 1000));
        nodes.isLending = *rc::gen::arbitrary<bool>();
        nodes.answerLossPercent = *rc::gen::inRange<std::uint64_t>(0, 50);
        for (int step = 0; step < 2000; ++step) {
            nodes.advance(10ms);
            nodes.request(*rc::gen::inRange(200, 20'000));
        }
        RC_ASSERT(nodes.maxUsedFraction(*quota.quota) <= 1);
    }

    // Load pattern: a workspace well within its quota sends small prompts and some large ones that take most of a
    // node's share. Guards against refusals within the quota; without loans, nine nodes refused one prompt in six.
    TEST(QuotaLimiter, LargeRequestsPassWithinTheQuotaOfAllNodes)
    {
        const EntryWorkspace quota = workspace(36'000, 36'000);
        LendingNodes nodes(9, { 8s, 0.1, 14'000 }, quota, 3);
        RandomSource random(5);
        int refused = 0;
        int requests = 0;
        for (int step = 0; step < 4000; ++step) {
            nodes.advance(50ms);
            // 0.6 of the quota: one in ten a prompt of 5,000 to 20,000 tokens, the others around 600.
            const double amount
                = random.below(10) == 0 ? 5000 + 15'000 * random.uniform() : 200 + 800 * random.uniform();
            if (random.below(100) < 60) {
                ++requests;
                refused += nodes.request(amount) ? 0 : 1;
            }
        }
        EXPECT_LE(refused, requests / 200);
    }

    /// @brief Draws a prompt size of a large deployment: one in six of 5,000 to 30,000 tokens, the others around 2,400.
    double drawPrompt(RandomSource& random)
    {
        return random.below(6) == 0 ? 5000 + 25'000 * random.uniform() : 1200 + 2400 * random.uniform();
    }

    // Load pattern: a workspace at half of its quota sends prompts of up to 30,000 tokens to 75 nodes whose shares hold
    // 1,200 each. Guards against refusals within the quota: with at most 16 asked peers, each prompt of more than about
    // 15,000 tokens was refused.
    TEST(QuotaLimiter, LargeRequestsPassWithinTheQuotaOfManyNodes)
    {
        const EntryWorkspace quota = workspace(36'000, 36'000);
        LendingNodes nodes(75, { 8s, 0.1, 140'000 }, quota, 3);
        RandomSource random(5);
        int large = 0;
        int refusedLarge = 0;
        int refused = 0;
        int requests = 0;
        for (int step = 0; step < 8000; ++step) {
            nodes.advance(50ms);
            if (random.below(100) >= 18)
                continue;
            const double amount = drawPrompt(random);
            const bool passed = nodes.request(amount);
            ++requests;
            refused += passed ? 0 : 1;
            large += amount > 15'000 ? 1 : 0;
            refusedLarge += !passed && amount > 15'000 ? 1 : 0;
        }
        EXPECT_LE(refused, requests / 100);
        EXPECT_LE(refusedLarge, large / 100);
    }

    // Load pattern: a workspace sends three times its quota in large prompts to 75 nodes. Guards against insufficient
    // loans whose amounts are not returned, which left less than two thirds of the quota usable.
    TEST(QuotaLimiter, OverloadedWorkspaceGetsItsQuota)
    {
        const EntryWorkspace quota = workspace(36'000, 36'000);
        LendingNodes nodes(75, { 8s, 0.1, 140'000 }, quota, 3);
        RandomSource random(5);
        constexpr int steps = 10'000;
        for (int step = 0; step < steps; ++step) {
            nodes.advance(10ms);
            if (random.below(100) < 22)
                nodes.request(drawPrompt(random));
        }
        EXPECT_GE(nodes.admittedAmount(), quota.quota->perSecond * toSeconds(steps * Duration(10ms)));
        EXPECT_LE(nodes.maxUsedFraction(*quota.quota), 1);
    }

    // Load pattern: one workspace sends ten times its quota to 75 nodes. Guards against asking peers again for each
    // refused request.
    TEST(QuotaBorrower, IsNotAskedAgainWhilePeersHaveTooLittle)
    {
        const EntryWorkspace quota = workspace(36'000, 36'000);
        LendingNodes nodes(75, { 8s, 0.1, 14'000 }, quota, 3);
        std::size_t requests = 0;
        for (int step = 0; step < 3000; ++step) {
            nodes.advance(5ms);
            nodes.request(4000);
            ++requests;
        }
        EXPECT_LT(nodes.messages, 4 * requests);
        EXPECT_LE(nodes.maxUsedFraction(*quota.quota), 1);
    }

    // Guards against counting an answer that arrives after its loan has expired.
    TEST(QuotaBorrower, IgnoresLateAnswers)
    {
        QuotaBorrower borrower(1);
        const Instant now { 1000s };
        EXPECT_TRUE(borrower.requestLoan(RequestId("r"), north, 100, 100, now).empty());
        borrower.setPeers({ "a", "b", "c" });
        const auto asked = borrower.requestLoan(RequestId("r"), north, 100, 1000, now);
        ASSERT_EQ(asked.size(), 2u);
        EXPECT_FALSE(borrower.onAnswer("a", { asked[0].request.loan, 40 }, now));
        EXPECT_TRUE(borrower.takeExpired(now + 10ms).empty());
        const auto expired = borrower.takeExpired(now + 100ms);
        ASSERT_EQ(expired.size(), 1u);
        EXPECT_EQ(expired[0], (EndedLoan { RequestId("r"), 40, { { "a", 40 } } }));
        EXPECT_FALSE(borrower.onAnswer("b", { asked[1].request.loan, 60 }, now));
        EXPECT_EQ(borrower.nextExpiry(), Instant::max());
    }

    // Guards against waiting for more than the missing amount, and against losing the quota of later answers.
    TEST(QuotaBorrower, EndsWithEnoughAndReturnsTheRest)
    {
        QuotaBorrower borrower(1);
        const Instant now { 1000s };
        borrower.setPeers({ "a", "b", "c" });
        const auto asked = borrower.requestLoan(RequestId("r"), north, 100, 150, now);
        ASSERT_EQ(asked.size(), 3u);
        EXPECT_FALSE(borrower.onAnswer("a", { asked[0].request.loan, 40 }, now));
        const auto ended = borrower.onAnswer("b", { asked[1].request.loan, 60 }, now);
        ASSERT_TRUE(ended);
        EXPECT_EQ(*ended, (EndedLoan { RequestId("r"), 100, { { "a", 40 }, { "b", 60 } } }));
        EXPECT_EQ(borrower.nextExpiry(), Instant::max());
        EXPECT_FALSE(borrower.onAnswer("c", { asked[2].request.loan, 30 }, now));
        EXPECT_EQ(borrower.takeSurplus(), (std::vector<AddressedReturn> { { "c", { north, 30 } } }));
        EXPECT_TRUE(borrower.takeSurplus().empty());
    }

    // Guards against losing lent quota when the caller leaves before all peers have answered.
    TEST(QuotaBorrower, ReturnsACancelledLoan)
    {
        QuotaBorrower borrower(1);
        const Instant now { 1000s };
        borrower.setPeers({ "a", "b" });
        const auto asked = borrower.requestLoan(RequestId("r"), north, 100, 1000, now);
        ASSERT_EQ(asked.size(), 2u);
        EXPECT_FALSE(borrower.onAnswer("a", { asked[0].request.loan, 40 }, now));
        borrower.cancel(RequestId("r"));
        EXPECT_FALSE(borrower.onAnswer("b", { asked[1].request.loan, 60 }, now));
        EXPECT_EQ(
            borrower.takeSurplus(), (std::vector<AddressedReturn> { { "a", { north, 40 } }, { "b", { north, 60 } } }));
        EXPECT_TRUE(borrower.takeExpired(now + 1s).empty());
    }

    // Guards against refusals below the quota.
    TEST(QuotaLimiter, AdmitsRequestsWithinTheQuota)
    {
        QuotaLimiter limiter({ 8s, 0.1, 0 });
        Instant now { 1000s };
        limiter.onWorkspaces({ workspace(10'000, 10'000) }, now);
        limiter.setShare(1, now);
        for (int step = 0; step < 300; ++step) {
            now += 100ms;
            EXPECT_FALSE(limiter.take(north, 950, now)) << step;
        }
    }

    // Guards against a refusal without the time after which the caller may retry.
    TEST(QuotaLimiter, TellsWhenTheAmountWillBeAvailable)
    {
        QuotaLimiter limiter({ 8s, 0, 0 });
        Instant now { 1000s };
        limiter.onWorkspaces({ workspace(1000, 1000) }, now);
        limiter.setShare(1, now);
        // The bucket refills at the rate of the larger share from here on.
        now += 2s;
        EXPECT_FALSE(limiter.take(north, 1000, now));
        const auto wait = limiter.take(north, 500, now);
        ASSERT_TRUE(wait);
        EXPECT_EQ(wait->shareWait, 500ms);
        EXPECT_EQ(wait->missing, 500);
        EXPECT_FALSE(limiter.take(north, 500, now + wait->shareWait));
    }

    // Guards against a lowered quota that takes effect only after the old bucket is empty.
    TEST(QuotaLimiter, LoweredQuotaCapsTheBucket)
    {
        QuotaLimiter limiter({ 8s, 0, 0 });
        const Instant now { 1000s };
        limiter.onWorkspaces({ workspace(1'000'000, 1'000'000) }, now);
        limiter.setShare(1, now);
        limiter.onWorkspaces({ workspace(100, 100) }, now);
        EXPECT_FALSE(limiter.take(north, 100, now));
        EXPECT_TRUE(limiter.take(north, 100, now));
    }

    // Guards against a loan that is not deducted from the lender's share, and against one that exceeds it.
    TEST(QuotaLimiter, LendsAtMostWhatIsLeft)
    {
        QuotaLimiter limiter({ 8s, 0, 0 });
        const Instant now { 1000s };
        limiter.setShare(1, now);
        limiter.onWorkspaces({ workspace(1000, 1000) }, now);
        EXPECT_EQ(limiter.lend(WorkspaceName("unknown"), 100, now), 0);
        double lent = 0;
        for (int round = 0; round < 20; ++round)
            lent += limiter.lend(north, 300, now);
        EXPECT_GT(lent, 900);
        EXPECT_LE(lent, 1000);
        EXPECT_TRUE(limiter.take(north, 1000 - lent + 1, now));
    }

} // namespace
} // namespace teaselshore
