#include <string>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration outage = 6s;

    /// Nodes that know each other, of which some lose the platform for some seconds.
    class PlatformContactsTest : public testing::Test {
    protected:
        PlatformContactsTest()
            : fleet(5)
        {
            // Until the nodes have read each other's reports.
            this->fleet.advance(12s);
        }

        /// Answers the nodes of the given number, and no others, for the time of an outage.
        void answerFor(Duration time, std::size_t answered)
        {
            for (Duration passed {}; passed < time; passed += 500ms) {
                this->fleet.advance(500ms);
                std::size_t number = 0;
                for (const auto& [host, node] : this->fleet.nodes) {
                    if (number++ < answered)
                        this->fleet.handle(host, PlatformAnswered {});
                }
            }
        }

        std::size_t upstreams(const std::string& host) const
        {
            return this->fleet.nodes.at(host)->statistics().upstreams;
        }

        EntryFleet fleet;
    };

    // Guards against requests to an upstream that left while only one node was cut off from the platform.
    TEST_F(PlatformContactsTest, NodeThatWasCutOffAloneKeepsNoMissingUpstream)
    {
        this->answerFor(outage, 4);
        this->fleet.handle("host-4", PlatformReturned { outage });
        this->fleet.handle("host-4", UpstreamRemoved { "i-1" });
        this->fleet.advance(200ms);
        EXPECT_EQ(this->upstreams("host-4"), 3u);
    }

    // Guards against the loss of upstreams whose entries expired while the platform was down for all nodes.
    TEST_F(PlatformContactsTest, NodesThatWereAllCutOffKeepMissingUpstreams)
    {
        this->answerFor(outage, 0);
        for (const auto& [host, node] : this->fleet.nodes)
            this->fleet.handle(host, PlatformReturned { outage });
        for (const auto& [host, node] : this->fleet.nodes)
            this->fleet.handle(host, UpstreamRemoved { "i-1" });
        this->fleet.advance(2s);
        for (const auto& [host, node] : this->fleet.nodes)
            EXPECT_EQ(this->upstreams(host), 4u) << host;
        this->fleet.advance(500ms);
        for (const auto& [host, node] : this->fleet.nodes)
            EXPECT_EQ(this->upstreams(host), 3u) << host;
    }

    // Guards against upstreams that are kept for longer by the node that notices the return of the platform last.
    TEST_F(PlatformContactsTest, NodesCountFromTheReturnThatAPeerNoticed)
    {
        this->answerFor(outage, 0);
        for (const auto& [host, node] : this->fleet.nodes) {
            if (host != "host-4")
                this->fleet.handle(host, PlatformReturned { outage });
        }
        this->answerFor(1s, 4);
        this->fleet.handle("host-4", PlatformReturned { outage + 1s });
        this->fleet.handle("host-4", UpstreamRemoved { "i-1" });
        this->fleet.advance(1200ms);
        EXPECT_EQ(this->upstreams("host-4"), 4u);
        this->fleet.advance(300ms);
        EXPECT_EQ(this->upstreams("host-4"), 3u);
    }

    // Guards against messages of a whole fleet for each call that fails.
    TEST_F(PlatformContactsTest, AsksNobodyAfterAShortOutage)
    {
        std::size_t asked = 0;
        const auto count = [&](Duration length) {
            for (const EntryCommand& command :
                this->fleet.nodes.at("host-4")->handle(PlatformReturned { length }, this->fleet.now)) {
                const auto* sent = std::get_if<SendEntryMessage>(&command);
                asked += sent && std::holds_alternative<PlatformContactRequest>(sent->message) ? 1 : 0;
            }
        };
        count(1s);
        EXPECT_EQ(asked, 0u);
        count(outage);
        EXPECT_EQ(asked, 3u);
    }

} // namespace
} // namespace teaselshore
