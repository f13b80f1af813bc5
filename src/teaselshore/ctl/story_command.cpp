#include <fstream>
#include <iostream>

#include <fmt/ostream.h>

#include "configuration_file.hpp"
#include "teaselshore/base/json_text.hpp"
#include "teaselshore/ctl/request_story.hpp"

namespace teaselshore {

namespace {

    constexpr const char* standardInput = "-";

    void printLine(const nlohmann::json& line, std::ostream& out)
    {
        const auto text = [&line](const char* field) {
            const auto found = line.find(field);
            return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
        };
        fmt::print(out, "{} {:<22} {}", text("time"), text("node"), text("message"));
        for (const auto& [name, value] : line.items()) {
            if (name == "time" || name == "node" || name == "message" || name == "level" || name == "request")
                continue;
            if (value.is_string() && value.get<std::string>().empty())
                continue;
            fmt::print(out, "  {}={}", name, value.is_string() ? value.get<std::string>() : toJsonText(value));
        }
        fmt::print(out, "\n");
    }

} // namespace

ExitCode runCommand(const StoryCommand& command, CommandContext& context)
{
    RequestStory story(command.request);
    for (const std::string& path : command.files) {
        std::ifstream file;
        if (path != standardInput)
            file.open(path);
        std::istream& input = path == standardInput ? std::cin : file;
        if (!input) {
            fmt::print(context.error, "{}: cannot be read\n", path);
            return ExitCode::Usage;
        }
        std::string line;
        while (std::getline(input, line))
            story.addLine(line);
    }
    const std::vector<nlohmann::json> lines = story.lines();
    if (lines.empty()) {
        fmt::print(context.error, "no line names request '{}'\n", command.request);
        return ExitCode::NotFound;
    }
    if (command.output == OutputFormat::Json) {
        printJson(nlohmann::ordered_json(lines), context);
        return ExitCode::Ok;
    }
    for (const nlohmann::json& line : lines)
        printLine(line, context.out);
    return ExitCode::Ok;
}

} // namespace teaselshore
