#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/entry/quota_limiter.hpp"
#include "teaselshore/entry/quota_shares.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    const WorkspaceName north("north");

    EntryWorkspace workspace(double perSecond, double burst)
    {
        return { north, { "key" }, std::nullopt, WorkspaceQuota { QuotaUnit::Tokens, perSecond, burst, 200 } };
    }

    // Load pattern: one workspace sends many times its quota. Guards against more than the quota and its tolerance
    // within any window, over all nodes together, however the demand is spread.
    RC_GTEST_PROP(QuotaLimiter, AllNodesTogetherKeepToTheQuota, ())
    {
        const QuotaTolerance tolerance { 8s, 0.1, 14'000 };
        const double perSecond = 40'000;
        const double burst = 40'000;
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<QuotaLimiter> limiters(nodes, QuotaLimiter(tolerance));
        Instant now { 1000s };
        for (QuotaLimiter& limiter : limiters) {
            limiter.onWorkspaces({ workspace(perSecond, burst) }, now);
            limiter.setShare(north, 1.0 / static_cast<double>(nodes), now);
        }
        std::vector<std::pair<Instant, double>> taken;
        for (int step = 0; step < 2000; ++step) {
            now += 10ms;
            const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
            const double amount = *rc::gen::inRange(200, 20'000);
            if (!limiters[node].take(north, amount, now))
                taken.emplace_back(now, amount);
        }
        const double allowed = (perSecond * 8 + burst) * 1.1 + 14'000;
        // The last request of each node may be larger than what its bucket holds.
        const double overshoot = 20'000.0 * static_cast<double>(nodes);
        double sum = 0;
        std::size_t first = 0;
        for (const auto& [at, amount] : taken) {
            sum += amount;
            while (taken[first].first + 8s < at)
                sum -= taken[first++].second;
            RC_ASSERT(sum <= allowed + overshoot);
        }
    }

    // Guards against refusals below the quota.
    TEST(QuotaLimiter, LetsPassWhatIsWithinTheQuota)
    {
        QuotaLimiter limiter({ 8s, 0.1, 0 });
        Instant now { 1000s };
        limiter.onWorkspaces({ workspace(10'000, 10'000) }, now);
        limiter.setShare(north, 1, now);
        for (int step = 0; step < 300; ++step) {
            now += 100ms;
            EXPECT_FALSE(limiter.take(north, 950, now)) << step;
        }
    }

    // Guards against a refusal without the time after which the caller may return.
    TEST(QuotaLimiter, TellsWhenTheAmountWillBeAvailable)
    {
        QuotaLimiter limiter({ 8s, 0, 0 });
        Instant now { 1000s };
        limiter.onWorkspaces({ workspace(1000, 1000) }, now);
        limiter.setShare(north, 1, now);
        // A larger share fills up from then on.
        now += 2s;
        EXPECT_FALSE(limiter.take(north, 1000, now));
        const auto wait = limiter.take(north, 500, now);
        ASSERT_TRUE(wait);
        EXPECT_EQ(*wait, 500ms);
        EXPECT_FALSE(limiter.take(north, 500, now + *wait));
    }

    // Guards against a lowered quota that takes effect only after the old bucket is used up.
    TEST(QuotaLimiter, LoweredQuotaBindsTheBucket)
    {
        QuotaLimiter limiter({ 8s, 0, 0 });
        const Instant now { 1000s };
        limiter.onWorkspaces({ workspace(1'000'000, 1'000'000) }, now);
        limiter.setShare(north, 1, now);
        limiter.onWorkspaces({ workspace(100, 100) }, now);
        EXPECT_FALSE(limiter.take(north, 100, now));
        EXPECT_TRUE(limiter.take(north, 100, now));
    }

    // Guards against shares of the nodes that add up to more than the quota, while some of them are cut off from the
    // platform: a cut-off node sees none of the reports of the round, and the others see none of it.
    RC_GTEST_PROP(QuotaShares, AddUpToOneAtMost, ())
    {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<NodeReport> fresh;
        std::vector<NodeReport> stale;
        std::vector<std::string> cutOff;
        for (std::size_t index = 0; index < nodes; ++index) {
            NodeReport report;
            report.host = "host-" + std::to_string(index);
            report.quotaDemand[north] = *rc::gen::inRange(0, 1000);
            const bool isCut = *rc::gen::inRange(0, 3) == 0;
            report.completeWindow = isCut ? 6 : 7;
            if (isCut)
                cutOff.push_back(report.host);
            stale.push_back(report);
            stale.back().completeWindow = 6;
            fresh.push_back(report);
        }
        double sum = 0;
        for (const NodeReport& report : fresh) {
            const bool isCut = report.completeWindow < 7;
            sum += quotaShares({ report.host, nodes, isCut ? stale : fresh, 7 }, { north }).at(north);
        }
        RC_ASSERT(sum <= 1 + 1e-9);
    }

    // Guards against equal shares that refuse the callers of a busy node though the quota is not used up.
    TEST(QuotaShares, FollowTheDemand)
    {
        NodeReport busy;
        busy.host = "busy";
        busy.quotaDemand[north] = 900;
        NodeReport calm;
        calm.host = "calm";
        calm.quotaDemand[north] = 100;
        EXPECT_GT(quotaShares({ "busy", 2, { busy, calm }, 0 }, { north }).at(north), 0.7);
        EXPECT_GT(quotaShares({ "calm", 2, { busy, calm }, 0 }, { north }).at(north), 0.2);
    }

} // namespace
} // namespace teaselshore
