#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/entry/quota_borrower.hpp"
#include "teaselshore/entry/quota_limiter.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    const WorkspaceName workspaceName("north");
    const QuotaTolerance tolerance { 8s, 0.1, 140'000 };
    /// An eighth of a latency target of 1,500 ms.
    constexpr Duration maxWait = 187ms;
    constexpr Duration simulatedTime = 60s;

    enum class Variant {
        /// Loans from peers, first from those known to have much.
        Peers,
        /// One node holds the whole quota and grants what requests need.
        Granting,
        /// Loans from a home node, which borrows the shares of the others.
        Home,
    };

    struct Scenario {
        std::size_t nodes = 0;
        double perSecond = 0;
        /// Demand as a multiple of the quota.
        double load = 0;
        /// A third of the nodes exchanges no messages for 3 of every 10 s.
        bool isolates = false;
    };

    struct Figures {
        std::size_t requests = 0;
        std::size_t withinLimit = 0;
        std::size_t rejectedWithinLimit = 0;
        std::size_t messages = 0;
        double meanDelayMs = 0;
        double p99DelayMs = 0;
        /// Admitted tokens as a multiple of what the quota refills.
        double used = 0;
        /// Highest ratio of the cost within a window to its bound.
        double bound = 0;

        double rejectedFraction() const
        {
            return static_cast<double>(this->rejectedWithinLimit)
                / static_cast<double>(std::max<std::size_t>(1, this->withinLimit));
        }
        double messagesPerRequest() const
        {
            return static_cast<double>(this->messages) / static_cast<double>(this->requests);
        }
    };

    /// Nodes that share one workspace's quota and exchange messages with the latency between zones. A tenth of the
    /// nodes gets half of the requests.
    class QuotaFleet {
    public:
        QuotaFleet(const Scenario& scenario, Variant variant, std::uint64_t seed)
            : scenario(scenario)
            , grantsAtHome(variant == Variant::Granting)
            , random(seed)
        {
            const EntryWorkspace workspace { workspaceName, { "key" }, std::nullopt,
                WorkspaceQuota { QuotaUnit::Tokens, scenario.perSecond, scenario.perSecond, 200 } };
            for (std::size_t index = 0; index < scenario.nodes; ++index) {
                Node& node = this->nodes.emplace_back(seed + index);
                const double share
                    = this->grantsAtHome ? (index == 0 ? 1 : 0.000001) : 1 / static_cast<double>(scenario.nodes);
                node.limiter.setShare(share, this->now);
                node.limiter.onWorkspaces({ workspace }, this->now);
                std::vector<std::string> peers;
                for (std::size_t other = 0; other < scenario.nodes; ++other) {
                    if (other != index && (!this->grantsAtHome || other == 0))
                        peers.push_back(std::to_string(other));
                }
                std::vector<std::string> lenders = peers;
                std::shuffle(lenders.begin(), lenders.end(), std::mt19937_64(index));
                lenders.resize(std::min<std::size_t>(peers.size(), 128));
                node.borrower.setPeers(lenders, peers, variant == Variant::Home ? std::to_string(index) : "");
            }
        }

        Figures run()
        {
            this->scheduleArrival();
            double idealLevel = this->scenario.perSecond;
            Instant idealAt = this->now;
            while (!this->events.empty()) {
                Event event = this->events.top();
                this->events.pop();
                this->now = event.at;
                if (event.isArrival) {
                    const double amount = std::min(54'600.0, 7000 * std::exp(0.8 * this->normal()));
                    idealLevel = std::min(this->scenario.perSecond,
                        idealLevel + toSeconds(this->now - idealAt) * this->scenario.perSecond);
                    idealAt = this->now;
                    const bool isWithin = idealLevel >= amount;
                    idealLevel -= isWithin ? amount : 0;
                    this->arrive(amount, isWithin);
                    if (this->now < this->start + simulatedTime)
                        this->scheduleArrival();
                } else {
                    event.action();
                }
            }
            return this->figures();
        }

    private:
        struct Node {
            explicit Node(std::uint64_t seed)
                : limiter(tolerance)
                , borrower(seed)
            {
            }
            QuotaLimiter limiter;
            QuotaBorrower borrower;
        };
        struct Request {
            std::size_t node = 0;
            double amount = 0;
            bool isWithin = false;
            Instant arrivedAt {};
            double reserved = 0;
        };
        struct Event {
            Instant at {};
            std::uint64_t number = 0;
            bool isArrival = false;
            std::function<void()> action;
            bool operator<(const Event& other) const
            {
                return std::tie(this->at, this->number) > std::tie(other.at, other.number);
            }
        };

        double normal()
        {
            double sum = 0;
            for (int count = 0; count < 12; ++count)
                sum += this->random.uniform();
            return sum - 6;
        }

        void schedule(Duration delay, std::function<void()> action, bool isArrival = false)
        {
            this->events.push({ this->now + delay, ++this->lastEvent, isArrival, std::move(action) });
        }

        void scheduleArrival()
        {
            constexpr double meanAmount = 9200;
            // One second in four with 1.75 times the usual rate, the others with 0.75.
            const bool isBurst = (this->now - this->start) / 1s % 4 == 3;
            const double rate = this->scenario.perSecond * this->scenario.load / meanAmount * (isBurst ? 1.75 : 0.75);
            this->schedule(fromSeconds(this->random.exponential(1 / rate)), {}, true);
        }

        bool isIsolated(std::size_t node) const
        {
            return this->scenario.isolates && (this->now - this->start) / 1s % 10 >= 5
                && (this->now - this->start) / 1s % 10 < 8 && node % 3 == 1;
        }

        void send(std::size_t from, std::size_t to, std::function<void()> action)
        {
            ++this->messageCount;
            if (this->isIsolated(from) || this->isIsolated(to))
                return;
            this->schedule(1400us + Duration(static_cast<Duration::rep>(this->random.below(4'000))), std::move(action));
        }

        void arrive(double amount, bool isWithin)
        {
            const std::size_t hot = std::max<std::size_t>(1, this->nodes.size() / 10);
            const std::size_t node
                = this->random.below(2) == 0 ? this->random.below(hot) : this->random.below(this->nodes.size());
            const RequestId id("r-" + std::to_string(++this->requestCount));
            this->requests[id] = { node, amount, isWithin, this->now };
            this->withinCount += isWithin ? 1 : 0;
            this->attempt(id);
        }

        void attempt(const RequestId& id)
        {
            const Request& request = this->requests.at(id);
            QuotaLimiter& limiter = this->nodes[request.node].limiter;
            const auto shortage = limiter.take(workspaceName, request.amount, this->now);
            this->gather(request.node, shortage.has_value());
            if (shortage)
                this->borrow(id, *shortage);
            else
                this->end(id, true);
        }

        void borrow(const RequestId& id, const QuotaShortage& shortage)
        {
            Request& request = this->requests.at(id);
            Node& node = this->nodes[request.node];
            const auto asked = node.borrower.requestLoan(id, workspaceName,
                { shortage.missing, shortage.expectedDemand,
                    this->grantsAtHome ? this->scenario.perSecond : shortage.capacity },
                this->now);
            if (asked.empty()) {
                this->waitOrReject(id, shortage);
                return;
            }
            request.reserved = node.limiter.reserve(workspaceName, request.amount, this->now);
            this->ask(request.node, asked);
        }

        void gather(std::size_t index, bool isShort)
        {
            const double share = this->scenario.perSecond / static_cast<double>(this->nodes.size());
            this->nodes[index].borrower.onDemand(workspaceName, share, isShort, this->now);
            this->sendLoanMessages(index);
        }

        QuotaLoan answer(std::size_t lender, std::size_t borrower, const QuotaLoanRequest& request)
        {
            QuotaLimiter& limiter = this->nodes[lender].limiter;
            QuotaLoan result { request.loan, limiter.lend(workspaceName, request.amount, this->now) };
            if (request.shareTime)
                result.share
                    = limiter.lendShare(workspaceName, std::to_string(borrower), *request.shareTime, this->now);
            else
                this->gather(lender, true);
            result.left = limiter.lendable(workspaceName, this->now);
            return result;
        }

        void waitOrReject(const RequestId& id, const QuotaShortage& shortage)
        {
            const Request& request = this->requests.at(id);
            QuotaLimiter& limiter = this->nodes[request.node].limiter;
            const Duration wait
                = std::max<Duration>(15ms, limiter.waitAfterRejected(workspaceName, shortage, true, this->now));
            if (this->now + wait < request.arrivedAt + maxWait) {
                this->schedule(wait, [this, id] { this->attempt(id); });
                return;
            }
            limiter.onRejected(workspaceName, request.amount, this->now);
            this->end(id, false);
        }

        void ask(std::size_t index, const std::vector<AddressedLoanRequest>& asked)
        {
            for (const AddressedLoanRequest& loan : asked) {
                const std::size_t lender = std::stoul(loan.address);
                this->send(index, lender, [this, index, lender, loan] {
                    const QuotaLoan answer = this->answer(lender, index, loan.request);
                    this->send(lender, index, [this, index, loan, answer] {
                        if (const auto ended = this->nodes[index].borrower.onAnswer(loan.address, answer, this->now))
                            this->onEnded(index, *ended);
                        this->sendLoanMessages(index);
                    });
                });
            }
            const Instant next = this->nodes[index].borrower.nextExpiry();
            if (next == Instant::max() || this->now > this->start + simulatedTime)
                return;
            this->schedule(next - this->now, [this, index] {
                for (const EndedLoan& ended : this->nodes[index].borrower.takeExpired(this->now))
                    this->onEnded(index, ended);
                this->sendLoanMessages(index);
            });
        }

        void sendLoanMessages(std::size_t index)
        {
            for (const GatheredShare& share : this->nodes[index].borrower.takeGathered())
                this->nodes[index].limiter.addShare(
                    share.workspace, share.lender, share.share, share.until, share.amount, this->now);
            this->ask(index, this->nodes[index].borrower.takeFollowUps());
            for (const AddressedReturn& surplus : this->nodes[index].borrower.takeSurplus()) {
                const double rest
                    = this->nodes[index].limiter.keepSurplus(workspaceName, surplus.quotaReturn.amount, this->now);
                if (rest > 0)
                    this->giveBack(index, surplus.address, rest);
            }
        }

        void giveBack(std::size_t index, const std::string& address, double amount)
        {
            const std::size_t lender = std::stoul(address);
            this->send(
                index, lender, [this, lender, amount] { this->nodes[lender].limiter.refund(workspaceName, amount); });
        }

        void onEnded(std::size_t index, const EndedLoan& ended)
        {
            Node& node = this->nodes[index];
            Request& request = this->requests.at(ended.request);
            const double reserved = std::exchange(request.reserved, 0);
            if (!node.limiter.take(workspaceName, request.amount, this->now, ended.amount + reserved)) {
                node.borrower.onSufficientLoan(ended.request);
                this->end(ended.request, true);
                return;
            }
            node.limiter.refund(workspaceName, reserved);
            for (const LoanContribution& contribution : ended.contributions)
                this->giveBack(index, contribution.address, contribution.amount);
            if (const auto shortage = node.limiter.take(workspaceName, request.amount, this->now))
                this->waitOrReject(ended.request, *shortage);
            else
                this->end(ended.request, true);
        }

        void end(const RequestId& id, bool admitted)
        {
            const Request request = this->requests.at(id);
            this->nodes[request.node].borrower.onRequestEnded(id);
            this->requests.erase(RequestId(id));
            if (admitted) {
                this->admitted.emplace_back(this->now, request.amount);
                this->delays.push_back(toMilliseconds(this->now - request.arrivedAt));
            }
            this->rejectedCount += !admitted && request.isWithin ? 1 : 0;
        }

        Figures figures()
        {
            Figures result { this->requestCount, this->withinCount, this->rejectedCount, this->messageCount };
            double total = 0;
            double sum = 0;
            std::size_t first = 0;
            const double allowed = this->scenario.perSecond * 9 * 1.1 + tolerance.slack;
            for (const auto& [at, amount] : this->admitted) {
                total += amount;
                sum += amount;
                while (this->admitted[first].first + tolerance.window < at)
                    sum -= this->admitted[first++].second;
                result.bound = std::max(result.bound, sum / allowed);
            }
            result.used = total / (this->scenario.perSecond * toSeconds(simulatedTime));
            std::sort(this->delays.begin(), this->delays.end());
            for (const double delay : this->delays)
                result.meanDelayMs += delay / static_cast<double>(this->delays.size());
            result.p99DelayMs = this->delays.empty() ? 0 : this->delays[this->delays.size() * 99 / 100];
            return result;
        }

        Scenario scenario;
        bool grantsAtHome;
        RandomSource random;
        std::vector<Node> nodes;
        std::priority_queue<Event> events;
        std::uint64_t lastEvent = 0;
        std::map<RequestId, Request> requests;
        std::size_t requestCount = 0;
        std::size_t withinCount = 0;
        std::size_t rejectedCount = 0;
        std::size_t messageCount = 0;
        std::vector<double> delays;
        std::vector<std::pair<Instant, double>> admitted;
        const Instant start { 1000s };
        Instant now = start;
    };

    std::vector<Scenario> scenarios()
    {
        std::vector<Scenario> result;
        for (const std::size_t nodes : { 9u, 90u, 300u }) {
            for (const double perSecond : { 952'763.0, 36'000.0 }) {
                for (const double load : { 0.9, 3.0 }) {
                    for (const bool isolates : { false, true })
                        result.push_back({ nodes, perSecond, load, isolates });
                }
            }
        }
        return result;
    }

    // Load pattern: a workspace near its limit and at three times its limit, with a tenth of the nodes getting half of
    // the requests. Guards against rejections within the limit, against messages that grow with the requests of an
    // overloaded workspace, and against exceeding the bound.
    TEST(QuotaComparison, QuotaIsUsedBeforeRequestsAreRejected)
    {
        fmt::print("{:>9} {:>5} {:>8} {:>4} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7} {:>6} {:>6}\n", "variant", "nodes",
            "per_s", "load", "isolated", "within", "rejected", "msg/req", "mean ms", "p99 ms", "used", "bound");
        const std::map<Variant, std::string> names { { Variant::Peers, "peers" }, { Variant::Granting, "granting" },
            { Variant::Home, "home" } };
        for (const auto& [variant, name] : names) {
            for (const Scenario& scenario : scenarios()) {
                const Figures figures = QuotaFleet(scenario, variant, 7).run();
                fmt::print("{:>9} {:5} {:8.0f} {:4.1f} {:>8} {:6} {:8.4f} {:8.2f} {:7.1f} {:7.1f} {:6.3f} {:6.3f}\n",
                    name, scenario.nodes, scenario.perSecond, scenario.load, scenario.isolates ? "third" : "none",
                    figures.withinLimit, figures.rejectedFraction(), figures.messagesPerRequest(), figures.meanDelayMs,
                    figures.p99DelayMs, figures.used, figures.bound);
                EXPECT_LE(figures.bound, 1);
                if (variant != Variant::Home)
                    continue;
                // With loans from six peers first and a backoff, 0.18 of 9 nodes' and 0.43 of 300 nodes' requests
                // within the limit were rejected.
                if (scenario.load < 1 && !scenario.isolates)
                    EXPECT_LE(figures.rejectedFraction(), 0.05) << scenario.nodes << " " << scenario.perSecond;
                EXPECT_LE(figures.messagesPerRequest(), 80) << scenario.nodes << " " << scenario.perSecond;
            }
        }
    }

} // namespace
} // namespace teaselshore
