#include <gtest/gtest.h>

#include "teaselshore/configuration/entry_settings.hpp"

namespace teaselshore {
namespace {

    const std::string settingsText = R"(
node: host-a
zone: zone-a
zones: [zone-a, zone-b]
callers: "10.0.0.1:8000"
readiness: "10.0.0.1:8001"
admin: "10.0.0.1:9464"
platform: "10.0.0.9:8361"
)";

    // Guards against a node that listens for peers at an address that nobody gave, and one that ignores the given one.
    TEST(EntrySettings, PeersAreOptional)
    {
        std::vector<ConfigurationProblem> problems;
        const auto without = parseEntrySettings(settingsText, problems);
        ASSERT_TRUE(without) << describeFirst("settings", problems);
        EXPECT_FALSE(without->peers);
        const auto with = parseEntrySettings(settingsText + "peers: \"10.0.0.1:7500\"\n", problems);
        ASSERT_TRUE(with) << describeFirst("settings", problems);
        EXPECT_EQ(with->peers, (SocketAddress { "10.0.0.1", 7500 }));
        EXPECT_TRUE(problems.empty());
    }

    // Guards against a node that takes requests of peers at an address that nobody gave, and one that ignores it.
    TEST(EntrySettings, RelaysAreOptional)
    {
        std::vector<ConfigurationProblem> problems;
        const auto without = parseEntrySettings(settingsText, problems);
        ASSERT_TRUE(without) << describeFirst("settings", problems);
        EXPECT_FALSE(without->relays);
        const auto with = parseEntrySettings(settingsText + "relays: \"10.0.0.1:7515\"\n", problems);
        ASSERT_TRUE(with) << describeFirst("settings", problems);
        EXPECT_EQ(with->relays, (SocketAddress { "10.0.0.1", 7515 }));
    }

    // Guards against watches of the platform that last longer than the deployment's bounds allow.
    TEST(EntrySettings, ReadsTheRecoveryTime)
    {
        std::vector<ConfigurationProblem> problems;
        const auto settings = parseEntrySettings(settingsText + "recovery-ms: 4000\n", problems);
        ASSERT_TRUE(settings) << describeFirst("settings", problems);
        EXPECT_EQ(settings->recoveryTime, std::chrono::seconds(4));
    }

    // Guards against a node that takes more memory than its host has since it does not know how much that is.
    TEST(EntrySettings, ReadsTheMemory)
    {
        std::vector<ConfigurationProblem> problems;
        const auto without = parseEntrySettings(settingsText, problems);
        ASSERT_TRUE(without) << describeFirst("settings", problems);
        EXPECT_FALSE(without->memoryBytes);
        const auto with = parseEntrySettings(settingsText + "memory-mb: 160\n", problems);
        ASSERT_TRUE(with) << describeFirst("settings", problems);
        EXPECT_EQ(with->memoryBytes, std::size_t { 160 } * 1024 * 1024);
        EXPECT_FALSE(parseEntrySettings(settingsText + "memory-mb: 0\n", problems));
    }

    // Guards against calls and messages for evacuations in deployments without them.
    TEST(EntrySettings, EvacuationsAreOff)
    {
        std::vector<ConfigurationProblem> problems;
        const auto without = parseEntrySettings(settingsText, problems);
        ASSERT_TRUE(without) << describeFirst("settings", problems);
        EXPECT_FALSE(without->evacuations);
        const auto with = parseEntrySettings(settingsText + "evacuations: true\n", problems);
        ASSERT_TRUE(with) << describeFirst("settings", problems);
        EXPECT_TRUE(with->evacuations);
        EXPECT_FALSE(parseEntrySettings(settingsText + "evacuations: 5000\n", problems));
    }

    // Guards against deployments that do not ask for it and are served by other rules under shortage.
    TEST(EntrySettings, AdmissionAndGatheringOfLongPromptsAreOff)
    {
        std::vector<ConfigurationProblem> problems;
        const auto without = parseEntrySettings(settingsText, problems);
        ASSERT_TRUE(without) << describeFirst("settings", problems);
        EXPECT_FALSE(without->admission);
        EXPECT_FALSE(without->gatherLongPrompts);
        const auto with = parseEntrySettings(settingsText + "admission: true\ngather-long-prompts: true\n", problems);
        ASSERT_TRUE(with) << describeFirst("settings", problems);
        EXPECT_TRUE(with->admission);
        EXPECT_TRUE(with->gatherLongPrompts);
    }

    // Guards against a setting that cannot be understood and is taken for its default.
    TEST(EntrySettings, ReportsWhatIsWrongAndWhere)
    {
        std::vector<ConfigurationProblem> problems;
        EXPECT_FALSE(parseEntrySettings(settingsText + "peers: nowhere\nquota: { window-s: -1 }\n", problems));
        ASSERT_EQ(problems.size(), 2u);
        EXPECT_NE(describeFirst("settings", problems).find("peers"), std::string::npos);
    }

} // namespace
} // namespace teaselshore
