#include <string>

#include <gtest/gtest.h>

#include "entry_fleet.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;
    constexpr int unauthorized = 401;
    /// Time within which a confirmed configuration must be in effect on all nodes.
    constexpr Duration applyTime = 2s;

    /// Nodes of which the platform turns some away. The operator writes new versions of the configuration, each with
    /// another key.
    class ConfiguredFleet {
    public:
        ConfiguredFleet(std::size_t nodes, std::size_t rejected)
            : fleet(nodes)
        {
            // Until all nodes know each other.
            this->fleet.advance(12s);
            for (std::size_t number = 0; number < rejected; ++number) {
                const std::string host = "host-" + std::to_string(number);
                this->fleet.cutFromPlatform.insert(host);
                this->fleet.handle(host, ConfigurationWatchChanged { false });
            }
        }

        void write(std::uint64_t version)
        {
            for (const auto& [host, node] : this->fleet.nodes) {
                if (!this->fleet.cutFromPlatform.contains(host))
                    this->fleet.handle(host, this->fleet.configurationRead(version));
            }
        }

        /// @brief Returns how many nodes answer a request with this key with the given status.
        std::size_t countNodesAnswering(int status, std::uint64_t version)
        {
            std::size_t count = 0;
            for (const auto& [host, node] : this->fleet.nodes) {
                const RequestId id
                    = this->fleet.request(host, std::nullopt, "order", {}, EntryFleet::versionKey(version));
                count += this->fleet.responses.contains(id) && this->fleet.responses.at(id).status == status ? 1 : 0;
            }
            return count;
        }

        EntryFleet fleet;
    };

    // Guards against nodes that serve callers by an old configuration for as long as the platform turns them away,
    // while the operator's change has been confirmed and is in effect elsewhere.
    TEST(ConfigurationRelay, NodesThatThePlatformRejectsLearnChangesFromPeers)
    {
        for (const std::size_t nodes : { 9u, 75u }) {
            ConfiguredFleet configured(nodes, nodes / 2);
            for (std::uint64_t version = 2; version < 6; ++version) {
                configured.write(version);
                configured.fleet.advance(applyTime);
                EXPECT_EQ(configured.countNodesAnswering(unauthorized, version - 1), nodes) << version;
            }
            // Callers' connections stay open, so the node must not just stop serving.
            configured.fleet.onForward
                = [](const std::string&, const ForwardRequest& forward, std::vector<EntryEvent>& events) {
                      UpstreamResponded responded;
                      responded.response.attempt = forward.attempt.attempt;
                      responded.response.status = statusOk;
                      responded.facts.isStamped = true;
                      events.emplace_back(std::move(responded));
                  };
            EXPECT_EQ(configured.countNodesAnswering(statusOk, 5), nodes);
        }
    }

    // Guards against a version that a peer still has after a newer one took effect here.
    TEST(ConfigurationRelay, OlderCopyHasNoEffect)
    {
        ConfiguredFleet configured(3, 1);
        configured.write(5);
        configured.fleet.advance(applyTime);
        configured.fleet.handle("host-0", EntryMessageReceived { "10.0.0.1:2", ConfigurationCopy { 4, "4" } });
        EXPECT_EQ(configured.countNodesAnswering(unauthorized, 4), 3u);
    }

    // Guards against messages that grow with the fleet or that are sent while the platform answers. Load pattern: the
    // platform turns all nodes away.
    TEST(ConfigurationRelay, AsksFewPeersAndOnlyWithoutThePlatform)
    {
        constexpr std::size_t nodes = 75;
        ConfiguredFleet calm(nodes, 0);
        const std::size_t before = calm.fleet.messages;
        calm.fleet.advance(10s);
        EXPECT_EQ(calm.fleet.messages, before);

        ConfiguredFleet rejected(nodes, nodes);
        const std::size_t start = rejected.fleet.messages;
        rejected.fleet.advance(1s);
        EXPECT_LE(rejected.fleet.messages - start, nodes * 10);
    }

} // namespace
} // namespace teaselshore
