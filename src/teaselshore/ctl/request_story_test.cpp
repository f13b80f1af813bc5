#include <cstdio>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "teaselshore/ctl/request_story.hpp"
#include "teaselshore/ctl/run_command.hpp"

namespace teaselshore {
namespace {

    const std::vector<std::string> log {
        R"({"time":"10:00:00","node":"a","message":"configuration in effect","version":"6"})",
        R"({"time":"10:00:01","node":"b","message":"configuration in effect","version":"7"})",
        R"({"time":"10:00:01","node":"a","message":"configuration in effect","version":"7"})",
        R"({"time":"10:00:02","node":"a","message":"upstream changed","upstream":"i-1@5","draining":"false"})",
        R"({"time":"10:00:02","node":"a","message":"upstream changed","upstream":"i-2@6","draining":"false"})",
        R"(prefix {"time":"10:00:03","node":"a","message":"request sent","request":"r-1","upstream":"i-1@5"})",
        R"({"time":"10:00:03","node":"a","message":"request sent","request":"r-2","upstream":"i-2@6"})",
        R"({"time":"10:00:04","node":"a","message":"upstream removed","instance":"i-1"})",
        R"({"time":"10:00:04","node":"a","message":"platform does not answer","kind":"config"})",
        R"({"time":"10:00:05","node":"a","message":"attempt failed","request":"r-1","upstream":"i-1@5"})",
        R"({"time":"10:00:06","node":"a","message":"request ended","request":"r-1","outcome":"failed"})",
        R"({"time":"10:00:07","node":"a","message":"platform answers again","kind":"config"})",
        "not JSON",
        "{broken",
    };

    std::string messagesOf(const RequestStory& story)
    {
        std::string result;
        for (const nlohmann::json& line : story.lines())
            result += line.at("message").get<std::string>() + "; ";
        return result;
    }

    // Guards against a story that lacks what the node believed when it decided, or that drowns in other requests'
    // lines.
    TEST(RequestStory, TellsTheRequestAndWhatItsNodeBelieved)
    {
        RequestStory story("r-1");
        for (const std::string& line : log)
            story.addLine(line);
        EXPECT_EQ(messagesOf(story),
            "configuration in effect; upstream changed; request sent; upstream removed; platform does not answer; "
            "attempt failed; request ended; ");
        EXPECT_EQ(story.lines()[0].at("version"), "7");
        EXPECT_EQ(story.lines()[0].at("node"), "a");
    }

    // Guards against an unknown id that looks like a request without events, and a log that cannot be read.
    TEST(RequestStory, SaysWhatIsMissing)
    {
        const std::string path = testing::TempDir() + "request_story_test.log";
        std::ofstream file(path);
        for (const std::string& line : log)
            file << line << "\n";
        file.close();
        const auto fetcher = HttpFetcher::create();
        std::ostringstream out;
        std::ostringstream error;
        CommandContext context { *fetcher, out, error };
        EXPECT_EQ(runCommand(StoryCommand { "r-2", { path }, OutputFormat::Text }, context), ExitCode::Ok);
        EXPECT_NE(out.str().find("upstream=i-2@6"), std::string::npos) << out.str();
        EXPECT_EQ(runCommand(StoryCommand { "r-3", { path }, OutputFormat::Text }, context), ExitCode::NotFound);
        EXPECT_EQ(
            runCommand(StoryCommand { "r-1", { path + ".missing" }, OutputFormat::Text }, context), ExitCode::Usage);
        EXPECT_NE(error.str().find("cannot be read"), std::string::npos);
        out.str("");
        EXPECT_EQ(runCommand(StoryCommand { "r-1", { path }, OutputFormat::Json }, context), ExitCode::Ok);
        EXPECT_EQ(nlohmann::json::parse(out.str()).size(), 7u);
        std::remove(path.c_str());
    }

    // Guards against arguments of the verb that are taken for others.
    TEST(RequestStory, CommandLine)
    {
        const auto parsed = parseCommandLine({ "teaselshorectl", "story", "r-1", "a.log", "b.log" }, {});
        const auto* command = std::get_if<Command>(&parsed);
        ASSERT_TRUE(command);
        const auto* story = std::get_if<StoryCommand>(command);
        ASSERT_TRUE(story);
        EXPECT_EQ(story->request, "r-1");
        EXPECT_EQ(story->files, (std::vector<std::string> { "a.log", "b.log" }));
        EXPECT_TRUE(std::holds_alternative<UsageError>(parseCommandLine({ "teaselshorectl", "story" }, {})));
    }

} // namespace
} // namespace teaselshore
