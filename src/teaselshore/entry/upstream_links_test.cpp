#include "teaselshore/entry/upstream_links.hpp"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    UpstreamId upstreamId(std::size_t number) { return UpstreamId("i-" + std::to_string(number)); }

    class UpstreamLinksTest : public testing::Test {
    protected:
        static constexpr std::size_t upstreamCount = 6;

        AttemptId start(std::size_t upstream)
        {
            this->links.onAttemptStarted(++this->last, upstreamId(upstream), this->now);
            return this->last;
        }

        void failToConnect(std::size_t upstream) { this->links.onNotConnected(this->start(upstream), this->now); }
        void answer(std::size_t upstream) { this->links.onAnswered(this->start(upstream), this->now); }

        /// @brief Returns the upstreams that are checked now.
        std::vector<UpstreamId> checks()
        {
            if (!this->links.areChecksDue(upstreamCount, this->now))
                return {};
            std::vector<UpstreamId> all;
            for (std::size_t number = 0; number < upstreamCount; ++number)
                all.push_back(upstreamId(number));
            return this->links.takeChecks(std::move(all), this->now);
        }

        /// @brief Lets all checks that are due end in the same way.
        void endChecks(bool areReached)
        {
            for (const UpstreamId& upstream : this->checks())
                this->links.onChecked(upstream, areReached, this->now);
        }

        UpstreamLinks links { 1 };
        Instant now { 1000s };
        AttemptId last = 0;
    };

    // Guards against a node that goes on trying upstreams of which it can reach none.
    TEST_F(UpstreamLinksTest, AreLostWhenNoUpstreamCanBeReached)
    {
        this->answer(0);
        this->failToConnect(1);
        EXPECT_TRUE(this->checks().empty()) << "one upstream says nothing about the links";
        this->failToConnect(2);
        this->endChecks(false);
        EXPECT_TRUE(this->links.areLost());
    }

    // Guards against a node that waits for the deadline of each request while its connections hang.
    TEST_F(UpstreamLinksTest, SilenceOfAllUpstreamsIsNoticed)
    {
        this->answer(0);
        this->start(1);
        this->start(2);
        this->now += 500ms;
        EXPECT_TRUE(this->checks().empty());
        this->now += 200ms;
        this->endChecks(false);
        EXPECT_TRUE(this->links.areLost());
    }

    // Guards against conclusions from one upstream that is silent for a second, or slow, while others answer.
    TEST_F(UpstreamLinksTest, SilenceOfOneUpstreamMeansNothing)
    {
        this->start(1);
        this->start(1);
        for (int step = 0; step < 20; ++step) {
            this->now += 100ms;
            EXPECT_TRUE(this->checks().empty());
            this->start(1);
            this->answer(2);
        }
        EXPECT_FALSE(this->links.areLost());
    }

    // Guards against requests that are kept away from sound upstreams since some others ended.
    TEST_F(UpstreamLinksTest, OneReachableUpstreamIsEnough)
    {
        this->failToConnect(1);
        this->failToConnect(2);
        const std::vector<UpstreamId> checked = this->checks();
        ASSERT_GE(checked.size(), 2u);
        EXPECT_EQ(std::set<UpstreamId>(checked.begin(), checked.end()).size(), checked.size());
        for (std::size_t index = 0; index < checked.size(); ++index)
            this->links.onChecked(checked[index], index == 1, this->now);
        EXPECT_FALSE(this->links.areLost());
    }

    // Guards against links that count as restored since old connections live on while no new ones can be established,
    // and against a return that goes unnoticed.
    TEST_F(UpstreamLinksTest, AreBackWithANewConnectionOnly)
    {
        const AttemptId open = this->start(0);
        this->failToConnect(1);
        this->failToConnect(2);
        this->endChecks(false);
        ASSERT_TRUE(this->links.areLost());
        this->links.onAnswered(open, this->now);
        EXPECT_TRUE(this->links.areLost());
        for (int round = 0; round < 3; ++round) {
            this->now += 600ms;
            this->endChecks(false);
            EXPECT_TRUE(this->links.areLost());
        }
        this->now += 600ms;
        this->endChecks(true);
        EXPECT_FALSE(this->links.areLost());
    }

    // Guards against checks that are sent all the time while upstreams are in trouble.
    TEST_F(UpstreamLinksTest, ChecksAreBounded)
    {
        std::size_t checked = 0;
        for (int step = 0; step < 100; ++step) {
            this->now += 10ms;
            this->failToConnect(static_cast<std::size_t>(step) % upstreamCount);
            checked += this->checks().size();
        }
        EXPECT_LE(checked, 3 * upstreamCount);
    }

    /// One event: an attempt or a check of an upstream that is reachable or not.
    struct Step {
        std::size_t upstream = 0;
        bool isReachable = false;
        int milliseconds = 0;
    };

    void showValue(const Step& step, std::ostream& out)
    {
        out << step.upstream << (step.isReachable ? " reachable +" : " unreachable +") << step.milliseconds;
    }

    // Guards against any order of results in which the links count as lost though each round of checks reached an
    // upstream.
    RC_GTEST_PROP(UpstreamLinks, AreNeverLostWhileChecksReachOne, ())
    {
        const auto steps = *rc::gen::container<std::vector<Step>>(60,
            rc::gen::apply(
                [](std::size_t upstream, bool isReachable, int milliseconds) {
                    return Step { upstream, isReachable, milliseconds };
                },
                rc::gen::inRange<std::size_t>(0, 6), rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 400)));
        const std::size_t reachable = *rc::gen::inRange<std::size_t>(0, 4);
        UpstreamLinks links(*rc::gen::arbitrary<std::uint64_t>());
        Instant now { 1000s };
        AttemptId last = 0;
        for (const Step& step : steps) {
            now += std::chrono::milliseconds(step.milliseconds);
            links.onAttemptStarted(++last, upstreamId(step.upstream), now);
            if (step.isReachable)
                links.onAnswered(last, now);
            else
                links.onNotConnected(last, now);
            // A sample of four out of four contains the one that can be reached.
            if (links.areChecksDue(4, now)) {
                for (const UpstreamId& upstream :
                    links.takeChecks({ upstreamId(0), upstreamId(1), upstreamId(2), upstreamId(3) }, now))
                    links.onChecked(upstream, upstream == upstreamId(reachable), now);
            }
            RC_ASSERT(!links.areLost());
        }
    }

} // namespace
} // namespace teaselshore
