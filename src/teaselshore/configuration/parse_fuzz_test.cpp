#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/configuration/difference.hpp"
#include "teaselshore/configuration/parse.hpp"
#include "test_texts.hpp"

namespace teaselshore {
namespace {

    std::string mutated(std::string text)
    {
        const int mutations = *rc::gen::inRange(1, 6);
        for (int i = 0; i < mutations; ++i) {
            const std::size_t position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            const std::size_t length = *rc::gen::inRange<std::size_t>(0, text.size() - position + 1);
            const std::string structure = *rc::gen::container<std::string>(rc::gen::element('{', '}', '[', ']', ':',
                ',', '-', '\n', ' ', '"', '\'', '|', '>', '&', '*', '!', '#', '?', '%', '@', '\\', '0', 'a', '\t'));
            switch (*rc::gen::inRange(0, 6)) {
            case 0: // truncation
                text.resize(position);
                break;
            case 1: // lost part
                text.erase(position, std::min<std::size_t>(length, 40));
                break;
            case 2: // repeated part
                text.insert(position, text.substr(position, length));
                break;
            case 3: // characters with a meaning in YAML
                text.insert(position, structure);
                break;
            case 4: // any bytes
                text.insert(position, *rc::gen::arbitrary<std::string>());
                break;
            default: // a single changed byte
                if (position < text.size())
                    text[position] = *rc::gen::arbitrary<char>();
            }
        }
        return text;
    }

    void checkPositions(const std::string& text, const std::vector<ConfigurationProblem>& problems)
    {
        std::vector<std::size_t> lengths { 0 };
        for (const char byte : text) {
            if (byte == '\n')
                lengths.push_back(0);
            else
                ++lengths.back();
        }
        for (const ConfigurationProblem& problem : problems) {
            RC_ASSERT(!problem.message.empty());
            RC_ASSERT(problem.line >= 1u);
            RC_ASSERT(problem.line <= lengths.size());
            RC_ASSERT(problem.column >= 1u);
            // The end of a line or of the text is a position too.
            RC_ASSERT(problem.column <= lengths[problem.line - 1] + 1);
        }
    }

    constexpr int textsPerRun = 20;

    // Guards against texts that crash the parser, that fail without a problem, or whose problems point outside the
    // text.
    RC_GTEST_PROP(ParseFuzz, ConfigurationParsesOrGivesPosition, ())
    {
        for (int run = 0; run < textsPerRun; ++run) {
            const std::string text = mutated(validText);
            std::vector<ConfigurationProblem> problems;
            const std::optional<Configuration> configuration = parseConfiguration(text, problems);
            RC_ASSERT(configuration.has_value() == problems.empty());
            checkPositions(text, problems);
            if (configuration)
                RC_ASSERT(difference(*configuration, *configuration).empty());
        }
    }

    // Guards against the same faults in the daemon's settings, and against a start that fails with several lines.
    RC_GTEST_PROP(ParseFuzz, SettingsParseOrGivePosition, ())
    {
        for (int run = 0; run < textsPerRun; ++run) {
            const std::string text = mutated(validSettings);
            std::vector<ConfigurationProblem> problems;
            const bool accepted = parseDaemonSettings(text, problems).has_value();
            RC_ASSERT(accepted == problems.empty());
            checkPositions(text, problems);
            if (!problems.empty())
                RC_ASSERT(describeFirst("node.yaml", problems).find('\n') == std::string::npos);
        }
    }

} // namespace
} // namespace teaselshore
