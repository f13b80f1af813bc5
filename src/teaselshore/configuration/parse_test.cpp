#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/configuration/difference.hpp"
#include "teaselshore/configuration/parse.hpp"
#include "teaselshore/configuration/text_file.hpp"
#include "test_texts.hpp"

namespace teaselshore {
namespace {

    std::vector<ConfigurationProblem> problemsOf(const std::string& text)
    {
        std::vector<ConfigurationProblem> problems;
        const bool accepted = parseConfiguration(text, problems).has_value();
        EXPECT_EQ(accepted, problems.empty());
        return problems;
    }

    std::string readFile(const std::filesystem::path& path)
    {
        std::string error;
        const std::optional<std::string> text = readTextFile(path.string(), maxConfigurationBytes, error);
        EXPECT_TRUE(text) << error;
        return text.value_or("");
    }

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        const std::size_t position = text.find(from);
        EXPECT_NE(position, std::string::npos) << from;
        return text.replace(position, from.size(), to);
    }

    Configuration parsed(const std::string& text)
    {
        std::vector<ConfigurationProblem> problems;
        const std::optional<Configuration> configuration = parseConfiguration(text, problems);
        for (const ConfigurationProblem& problem : problems)
            ADD_FAILURE() << describe(problem);
        return configuration.value_or(Configuration {});
    }

    /// Returns the text from a 1-based position on.
    std::string textAt(const std::string& text, std::size_t line, std::size_t column)
    {
        std::size_t start = 0;
        for (std::size_t number = 1; number < line; ++number)
            start = text.find('\n', start) + 1;
        return text.substr(start + column - 1);
    }

    /// One edit of the valid text, what its only problem must say, and the text that the problem must point at.
    struct BadEdit {
        std::string from;
        std::string to;
        std::size_t line;
        std::string pointsAt;
        std::string path;
        std::string message;
    };

    // Guards against faulty values that are accepted, reported at a wrong place or with an unhelpful message.
    TEST(ParseConfiguration, ReportsFaultWithPositionAndPath)
    {
        const std::vector<BadEdit> edits {
            { "model:", "modle:", 26, "modle", "services[0]", "unknown key 'modle'; did you mean 'model'?" },
            { "class: interactive, idem", "class: interactiv, idem", 35, "interactiv,", "services[0].routes[0].class",
                "unknown class 'interactiv'; did you mean 'interactive'?" },
            { "127.0.0.1:9001", "localhost:9001", 32, "\"localhost", "services[0].upstreams[0].address",
                "must be an IPv4 address and port" },
            { "127.0.0.1:9002", "127.0.0.1:9001", 33, "\"127.0.0.1:9001", "services[0].upstreams[1].address",
                "duplicate address" },
            { "id: e2", "id: e1", 33, "{id: e1", "services[0].upstreams[1]",
                "duplicate upstream id 'e1'; first on line 32" },
            { "share: 5", "share: -1", 21, "-1}", "workspaces[0].share", "must be between" },
            { "capacity: 32", "capacity: 1.5", 32, "1.5}", "services[0].upstreams[0].capacity", "whole number" },
            { "capacity: 32", "capacity: \"32\"", 32, "\"32\"}", "services[0].upstreams[0].capacity",
                "without quotes" },
            { "2026-12-04T18:00:00Z", "2026-02-30T18:00:00Z", 30, "\"2026-02-30", "services[0].versions[1].move-by",
                "must be a time in UTC" },
            { "{name: v1}", "{name: v1, move-by: \"2026-12-04T18:00:00Z\"}", 29, "\"2026",
                "services[0].versions[0].move-by", "the first version" },
            { ", idempotent: false", "", 42, "{name: place-order", "services[1].routes[0]",
                "key 'idempotent' is missing" },
            { "reclaim-risk-per-hour: 0.05", "reclaim-risk-per-hour: nan", 12, "nan}",
                "prices[0].reclaim-risk-per-hour", "must be a number" },
            { "/executions/", "executions", 38, "executions", "services[1].outcome-lookup", "must start with '/'" },
            { "path: /orders,", "path: /v1/requests/mine,", 42, "{name: place-order", "services[1].routes[0]",
                "reserved" },
            { "hourly: 40.0", "hourly: 40.0, hourly: 4", 13, "hourly: 4}", "commitment", "duplicate key 'hourly'" },
            { "kind: plain", "kind: plian", 37, "plian", "services[1].kind", "must be 'engine' or 'plain'" },
            { "za, address: \"127.0.0.1:9101\"", "za, address: ", 40, "address", "services[1].upstreams[0].address",
                "must be text, is empty" },
            { "between: [za, zb]", "between: [za, za]", 8, "za], delay", "links.pairs[0].between[1]", "another zone" },
        };
        for (const BadEdit& edit : edits) {
            const std::string text = replaced(validText, edit.from, edit.to);
            const std::vector<ConfigurationProblem> problems = problemsOf(text);
            // A misspelt key is also missing.
            ASSERT_EQ(problems.size(), edit.to == "modle:" ? 2u : 1u) << edit.to;
            const ConfigurationProblem& problem = problems.back();
            EXPECT_EQ(problem.line, edit.line) << describe(problem);
            EXPECT_TRUE(textAt(text, problem.line, problem.column).starts_with(edit.pointsAt)) << describe(problem);
            EXPECT_EQ(problem.path, edit.path) << describe(problem);
            EXPECT_NE(problem.message.find(edit.message), std::string::npos) << describe(problem);
        }
    }

    // Guards against a check that stops at its first finding, so that operators fix one fault per attempt.
    TEST(ParseConfiguration, ReportsAllFaultsInOrder)
    {
        std::string text = replaced(validText, "share: 5", "share: many");
        text = replaced(text, "zone: zb, address", "zone: zc, address");
        text = replaced(text, "method: POST", "method: post");
        const std::vector<ConfigurationProblem> problems = problemsOf(text);
        ASSERT_EQ(problems.size(), 3u);
        EXPECT_EQ(problems[0].path, "workspaces[0].share");
        EXPECT_EQ(problems[1].path, "services[0].upstreams[1].zone");
        EXPECT_EQ(problems[2].path, "services[1].routes[0].method");
    }

    // Guards against examples that no longer parse.
    TEST(ParseConfiguration, AcceptsExamples)
    {
        const std::filesystem::path examples(TEASELSHORE_EXAMPLES);
        const Configuration portmore = parsed(readFile(examples / "portmore/configuration.yaml"));
        EXPECT_EQ(portmore.findService(ServiceName("assistant"))->upstreams.size(), 20u);
        EXPECT_EQ(portmore.findService(ServiceName("ordering"))->upstreams.size(), 3u);
        const Configuration bayanihan = parsed(readFile(examples / "bayanihan/configuration.yaml"));
        EXPECT_EQ(bayanihan.findService(ServiceName("planning"))->upstreams.size(), 10u);
        EXPECT_EQ(bayanihan.findService(ServiceName("booking"))->upstreams.size(), 3u);
        for (int node = 1; node <= 9; ++node) {
            for (const char* example : { "portmore", "bayanihan" }) {
                std::vector<ConfigurationProblem> problems;
                const std::string file = fmt::format("{}/node-{}.yaml", example, node);
                EXPECT_TRUE(parseDaemonSettings(readFile(examples / file), problems)) << describeFirst(file, problems);
            }
        }
    }

    // Guards against services that wait for each other.
    TEST(ParseConfiguration, ReportsDependencyCycle)
    {
        const std::string text
            = replaced(validText, "outcome-lookup: /executions/", "depends-on: [assistant, ordering]");
        const std::vector<ConfigurationProblem> problems = problemsOf(text);
        ASSERT_EQ(problems.size(), 2u);
        EXPECT_EQ(problems[0].message, "dependency cycle: assistant -> ordering -> assistant");
        EXPECT_EQ(problems[1].message, "dependency cycle: ordering -> ordering");
    }

    // Guards against two rollouts of one service at a time, which the controller cannot compare.
    TEST(ParseConfiguration, RefusesSecondMove)
    {
        const std::string text = replaced(validText, "      - {name: v2, move-by: \"2026-12-04T18:00:00Z\"}",
            "      - {name: v2, move-by: \"2026-12-04T18:00:00Z\"}\n      - {name: v3, move-by: "
            "\"2026-12-05T18:00:00Z\"}");
        ASSERT_EQ(problemsOf(text).size(), 1u);
    }

    // Guards against hostile texts that crash, exhaust memory, or hide their rest from the check.
    TEST(ParseConfiguration, RefusesHostileText)
    {
        const std::string aliases = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n";
        std::string manyValues = "[";
        for (int i = 0; i < 300'000; ++i)
            manyValues += "a,";
        const std::vector<std::string> texts {
            "",
            "\n\n# only a comment\n",
            std::string(maxConfigurationBytes + 1, ' '),
            std::string(900'000, '['),
            std::string(300'000, '{') + "a",
            std::string(900'000, '-'),
            std::string(900'000, '\t'),
            std::string(900'000, '"'),
            manyValues,
            aliases,
            "!!binary aGFsbG8=",
            std::string(validText) + "\x04" + "\nunread: true\n",
            std::string("\0\0\0", 3),
            "\xff\xfe" + std::string(validText),
            "note: \xc0\xaf",
            std::string(validText) + "---\nregions: []\n",
            std::string(validText).substr(0, std::string(validText).size() - 12),
            "? [a, b]\n: c\n",
            "- a\n- b\n",
            "just text",
        };
        for (const std::string& text : texts) {
            const std::vector<ConfigurationProblem> problems = problemsOf(text);
            ASSERT_FALSE(problems.empty()) << text.substr(0, 40);
            EXPECT_LE(problems.size(), 201u);
        }
    }

    // Guards against quadratic work or too small limits at the target size of 5,300 engines.
    TEST(ParseConfiguration, AcceptsTargetSize)
    {
        std::string upstreams;
        for (int i = 3; i <= 5300; ++i)
            upstreams += fmt::format("\n      - {{id: engine-{}, zone: za, address: \"10.0.{}.{}:9001\", version: v1, "
                                     "host-class: gpu-small, capacity: 32, reclaimable: true}}",
                i, i / 250, i % 250 + 1);
        const std::string anchor = "version: v2, host-class: gpu, capacity: 32}";
        const std::string text = replaced(
            replaced(validText, anchor, anchor + upstreams), "{name: gpu,", "{name: gpu-small}\n  - {name: gpu,");
        EXPECT_LT(text.size(), maxConfigurationBytes);
        EXPECT_EQ(parsed(text).services.at(0).upstreams.size(), 5300u);
    }

    // Guards against requests that reach another service because prefixes match in the middle of a path segment, and
    // against a route without method that hides one with it.
    TEST(MatchRoute, PrefersLongestPrefixAndNamedMethod)
    {
        const Configuration configuration = parsed(validText);
        const auto routeOf = [&](const std::string& method, const std::string& path) -> std::string {
            const std::optional<RouteMatch> match = matchRoute(configuration, method, path);
            return match ? match->service->name.value() + "/" + match->route->name.value() : "none";
        };
        EXPECT_EQ(routeOf("POST", "/v1/chat/completions?x=1"), "assistant/chat");
        EXPECT_EQ(routeOf("POST", "/orders"), "ordering/place-order");
        EXPECT_EQ(routeOf("GET", "/orders/7"), "ordering/order-status");
        EXPECT_EQ(routeOf("GET", "/orders"), "ordering/any-order");
        EXPECT_EQ(routeOf("PUT", "/orders/7"), "ordering/any-order");
        EXPECT_EQ(routeOf("POST", "/orders-archive"), "none");
        EXPECT_EQ(routeOf("GET", "/order"), "none");
    }

    // Guards against links that depend on the order of the pair and against costs within a zone.
    TEST(Configuration, LinkIsSymmetric)
    {
        const Configuration configuration = parsed(validText);
        const AvailabilityZone first("za");
        const AvailabilityZone second("zb");
        EXPECT_EQ(configuration.linkBetween(first, second), configuration.linkBetween(second, first));
        EXPECT_EQ(configuration.linkBetween(first, second).delay, Duration(7500));
        EXPECT_EQ(configuration.linkBetween(first, first), Link {});
        EXPECT_EQ(configuration.linkBetween(first, AvailabilityZone("other")).delay, Duration(5000));
    }

    // Guards against changes that apply and diff do not show.
    TEST(Difference, NamesEachChange)
    {
        const Configuration before = parsed(validText);
        std::string text = replaced(validText, "capacity: 32", "capacity: 16");
        text = replaced(text, "2026-12-04T18:00:00Z", "2026-12-04T20:00:00Z");
        text = replaced(text, "  - {name: depot}", "  - {name: office, share: 2}");
        std::vector<std::string> lines;
        for (const ConfigurationChange& change : difference(before, parsed(text)))
            lines.push_back(describe(change));
        const std::vector<std::string> expected {
            "removed workspace depot: share 1",
            "added workspace office: share 2",
            "changed version assistant/v2: move-by 2026-12-04T18:00:00Z -> 2026-12-04T20:00:00Z",
            "changed upstream assistant/e1: capacity 32 -> 16",
        };
        EXPECT_EQ(lines, expected);
        EXPECT_TRUE(difference(before, before).empty());
    }

} // namespace
} // namespace teaselshore
