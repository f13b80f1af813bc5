#include "configuration_file.hpp"

#include <fmt/ostream.h>

#include "teaselshore/configuration/parse.hpp"
#include "teaselshore/configuration/text_file.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::ordered_json;

    const char* kindName(ChangeKind kind)
    {
        switch (kind) {
        case ChangeKind::Added:
            return "added";
        case ChangeKind::Removed:
            return "removed";
        case ChangeKind::Changed:
            return "changed";
        }
        return "unknown";
    }

} // namespace

std::optional<ConfigurationFile> readConfigurationFile(
    const std::string& path, OutputFormat output, CommandContext& context, ExitCode& exitCode)
{
    std::string error;
    std::optional<std::string> text = readTextFile(path, maxConfigurationBytes, error);
    if (!text) {
        fmt::print(context.error, "{}\n", error);
        exitCode = ExitCode::Usage;
        return std::nullopt;
    }
    std::vector<ConfigurationProblem> problems;
    std::optional<Configuration> configuration = parseConfiguration(*text, problems);
    if (configuration)
        return ConfigurationFile { std::move(*text), std::move(*configuration) };
    printProblems(path, problems, output, context);
    exitCode = ExitCode::ProblemsInText;
    return std::nullopt;
}

void printProblems(const std::string& path, const std::vector<ConfigurationProblem>& problems, OutputFormat output,
    CommandContext& context)
{
    if (output == OutputFormat::Text) {
        for (const ConfigurationProblem& problem : problems)
            fmt::print(context.out, "{}:{}\n", path, describe(problem));
        if (!problems.empty())
            fmt::print(context.error, "{}: {} problem{}\n", path, problems.size(), problems.size() == 1 ? "" : "s");
        return;
    }
    Json list = Json::array();
    for (const ConfigurationProblem& problem : problems)
        list.push_back({ { "line", problem.line }, { "column", problem.column }, { "path", problem.path },
            { "message", problem.message } });
    printJson({ { "file", path }, { "valid", problems.empty() }, { "problems", std::move(list) } }, context);
}

std::vector<ConfigurationChange> changesFrom(
    const std::optional<StoredConfiguration>& stored, const Configuration& configuration)
{
    std::vector<ConfigurationProblem> ignored;
    const std::optional<Configuration> before = stored ? parseConfiguration(stored->text, ignored) : std::nullopt;
    return difference(before.value_or(Configuration {}), configuration);
}

Json toJson(const std::vector<ConfigurationChange>& changes)
{
    Json list = Json::array();
    for (const ConfigurationChange& change : changes)
        list.push_back(
            { { "kind", kindName(change.kind) }, { "subject", describe(change.subject) }, { "element", change.element },
                { "field", change.field }, { "before", change.before }, { "after", change.after } });
    return list;
}

void printChanges(const std::vector<ConfigurationChange>& changes, CommandContext& context)
{
    for (const ConfigurationChange& change : changes)
        fmt::print(context.out, "  {}\n", describe(change));
}

std::string countText(const std::vector<ConfigurationChange>& changes)
{
    return fmt::format("{} change{}", changes.size(), changes.size() == 1 ? "" : "s");
}

void printJson(const Json& document, CommandContext& context)
{
    fmt::print(context.out, "{}\n", document.dump(2, ' ', false, Json::error_handler_t::replace));
}

} // namespace teaselshore
