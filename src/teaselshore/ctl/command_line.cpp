#include "teaselshore/ctl/command_line.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iostream>
#include <optional>
#include <utility>

#include <fmt/ostream.h>
#include <tclap/CmdLine.h>

#include "teaselshore/configuration/address.hpp"

namespace teaselshore {

namespace {

    constexpr const char* programVersion = "0.1";

    constexpr const char* exitCodeHelp = "Exit codes: 0 ok; 1 problems in the text; 2 wrong usage or unreadable file; "
                                         "3 platform or a node unreachable; 4 another revision is in force; "
                                         "5 wait timed out; 6 not found; 7 unknown key.";

    using Arguments = std::vector<std::string>;

    /// Argument that the program's user got wrong, found after TCLAP's own checks.
    struct WrongArgument {
        std::string message;
    };

    std::vector<std::string> parseNodes(const std::string& text)
    {
        std::vector<std::string> nodes;
        std::size_t start = 0;
        while (start < text.size()) {
            const std::size_t end = std::min(text.find(',', start), text.size());
            const std::string node = text.substr(start, end - start);
            if (!parseSocketAddress(node))
                throw WrongArgument { fmt::format("--nodes: '{}' is not an IPv4 address and port", node) };
            nodes.push_back(node);
            start = end + 1;
        }
        return nodes;
    }

    /// @brief TCLAP command line of one subcommand with the options that several subcommands share.
    class Subcommand {
    public:
        Subcommand(const std::string& name, const std::string& description, const CommandDefaults& defaults)
            : name(fmt::format("teaselshorectl {}", name))
            , line(fmt::format("{} {}", description, exitCodeHelp), ' ', programVersion)
            , formats({ "text", "json" })
            , formatConstraint(this->formats)
            , output("o", "output", "Output format (default text).", false, "text", &this->formatConstraint)
            , platform("p", "platform", "Address of the platform's object API, IPv4 (default $TEASELSHORE_PLATFORM).",
                  false, defaults.platform, "address:port")
            , nodes("n", "nodes", "Admin addresses of the daemons, separated by commas (default $TEASELSHORE_NODES).",
                  false, defaults.nodes, "address:port,...")
        {
            this->line.setExceptionHandling(false);
            this->line.add(this->output);
        }

        Subcommand& withPlatform()
        {
            this->line.add(this->platform);
            return *this;
        }

        Subcommand& withNodes()
        {
            this->line.add(this->nodes);
            return *this;
        }

        void parse(const Arguments& arguments)
        {
            Arguments own { this->name };
            own.insert(own.end(), arguments.begin(), arguments.end());
            this->line.parse(own);
        }

        TCLAP::CmdLine& commandLine() { return this->line; }

        OutputFormat outputFormat() const
        {
            return this->output.getValue() == "json" ? OutputFormat::Json : OutputFormat::Text;
        }

        std::string platformAddress() const
        {
            const std::string& address = this->platform.getValue();
            if (address.empty())
                throw WrongArgument { "--platform or TEASELSHORE_PLATFORM is needed" };
            if (!parseSocketAddress(address))
                throw WrongArgument { fmt::format("--platform: '{}' is not an IPv4 address and port", address) };
            return address;
        }

        std::vector<std::string> optionalNodes() const { return parseNodes(this->nodes.getValue()); }

        std::vector<std::string> nodeAddresses() const
        {
            std::vector<std::string> addresses = this->optionalNodes();
            if (addresses.empty())
                throw WrongArgument { "--nodes or TEASELSHORE_NODES is needed" };
            return addresses;
        }

    private:
        std::string name;
        TCLAP::CmdLine line;
        std::vector<std::string> formats;
        TCLAP::ValuesConstraint<std::string> formatConstraint;
        TCLAP::ValueArg<std::string> output;
        TCLAP::ValueArg<std::string> platform;
        TCLAP::ValueArg<std::string> nodes;
    };

    using FileArgument = TCLAP::UnlabeledValueArg<std::string>;

    Command parseCheck(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub("check", "Checks a text offline and lists all of its problems.", defaults);
        TCLAP::SwitchArg settings("s", "settings", "The file holds the settings of a daemon.", sub.commandLine());
        FileArgument file("file", "Operator configuration (YAML).", true, "", "FILE", sub.commandLine());
        sub.parse(arguments);
        return CheckCommand { file.getValue(), settings.getValue(), sub.outputFormat() };
    }

    Command parseDiff(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub("diff", "Shows what apply would change in the configuration in force.", defaults);
        FileArgument file("file", "Operator configuration (YAML).", true, "", "FILE", sub.withPlatform().commandLine());
        sub.parse(arguments);
        return DiffCommand { file.getValue(), sub.platformAddress(), sub.outputFormat() };
    }

    Command parseApply(const Arguments& arguments, const CommandDefaults& defaults)
    {
        constexpr std::uint32_t defaultTimeoutSeconds = 30;
        constexpr std::uint32_t maxTimeoutSeconds = 3600;
        Subcommand sub("apply",
            "Checks a text, writes it to the object API unless another revision came first, and prints what changed.",
            defaults);
        TCLAP::CmdLine& line = sub.withPlatform().withNodes().commandLine();
        TCLAP::SwitchArg wait("w", "wait", "Wait until all nodes of --nodes have the new version in force.", line);
        TCLAP::ValueArg<std::uint32_t> timeout("t", "timeout",
            "Longest wait for --wait, in seconds, 1 to 3600 (default 30).", false, defaultTimeoutSeconds, "seconds",
            line);
        TCLAP::ValueArg<std::uint64_t> base("b", "base",
            "Apply only if this version is in force; 0 if there must be none yet.", false, 0, "version", line);
        FileArgument file("file", "Operator configuration (YAML).", true, "", "FILE", line);
        sub.parse(arguments);
        if (timeout.getValue() < 1 || timeout.getValue() > maxTimeoutSeconds)
            throw WrongArgument { fmt::format("--timeout: must be between 1 and {}", maxTimeoutSeconds) };

        ApplyCommand command;
        command.file = file.getValue();
        command.platform = sub.platformAddress();
        if (base.isSet())
            command.base = base.getValue();
        command.wait = wait.getValue();
        command.waitTimeout = std::chrono::seconds(timeout.getValue());
        if (command.wait)
            command.nodes = sub.nodeAddresses();
        command.output = sub.outputFormat();
        return command;
    }

    Command parseStatus(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub("status", "Shows each node's configuration and each service's version rollout.", defaults);
        sub.withNodes().parse(arguments);
        return StatusCommand { sub.nodeAddresses(), sub.outputFormat() };
    }

    Command parseNodesCommand(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub("nodes", "Shows the members that the nodes know and how they see each other.", defaults);
        sub.withNodes().parse(arguments);
        return NodesCommand { sub.nodeAddresses(), sub.outputFormat() };
    }

    std::vector<ForecastPart> parseParts(const std::vector<std::string>& texts)
    {
        std::vector<ForecastPart> parts;
        for (const std::string& text : texts) {
            ForecastPart part;
            const char* const end = text.data() + text.size();
            const auto id = std::from_chars(text.data(), end, part.id);
            const bool hasTokens = id.ec == std::errc() && id.ptr != end && *id.ptr == ':';
            const auto tokens = hasTokens ? std::from_chars(id.ptr + 1, end, part.tokens) : id;
            if (!hasTokens || tokens.ec != std::errc() || tokens.ptr != end)
                throw WrongArgument { fmt::format("--part: '{}' is not an id and a number of tokens", text) };
            parts.push_back(part);
        }
        return parts;
    }

    Command parseExplain(const Arguments& arguments, const CommandDefaults& defaults)
    {
        using TextArgument = TCLAP::ValueArg<std::string>;
        using CountArgument = TCLAP::ValueArg<std::uint32_t>;
        Subcommand sub("explain",
            "Shows the decisions of all nodes about one request, or with --host and --path where nodes of "
            "teaselshore-entry would send a request now.",
            defaults);
        TCLAP::CmdLine& line = sub.withNodes().commandLine();
        // TCLAP accepts an optional argument without a flag only once in a process, so the id is required or absent.
        const bool describesRequest = std::any_of(arguments.begin(), arguments.end(), [](const std::string& argument) {
            return argument.starts_with("--host") || argument.starts_with("--path");
        });
        std::optional<FileArgument> request;
        if (!describesRequest)
            request.emplace("request", "Request id.", true, "", "REQUEST", line);
        TextArgument host("", "host", "Host of the request.", false, "", "host", line);
        TextArgument path("", "path", "Path of the request.", false, "", "path", line);
        TextArgument method("", "method", "Method of the request (default POST).", false, "POST", "method", line);
        TextArgument key("", "key", "Key of the caller.", false, "", "key", line);
        CountArgument prompt("", "prompt-tokens", "Prompt tokens that the caller states.", false, 0, "count", line);
        CountArgument outputTokens("", "output-tokens", "Most output tokens (default 0).", false, 0, "count", line);
        TCLAP::MultiArg<std::string> parts(
            "", "part", "Part of the prompt; repeat it in prompt order.", false, "id:tokens", line);
        sub.parse(arguments);
        if (request)
            return ExplainCommand { request->getValue(), sub.nodeAddresses(), sub.outputFormat() };
        if (!host.isSet() || !path.isSet())
            throw WrongArgument { "--host and --path are both needed" };
        ForecastCommand command { method.getValue(), host.getValue(), path.getValue(), key.getValue(), {},
            outputTokens.getValue(), parseParts(parts.getValue()), sub.nodeAddresses(), sub.outputFormat() };
        if (prompt.isSet())
            command.promptTokens = prompt.getValue();
        return command;
    }

    Command parseStory(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub(
            "story", "Tells from logs what happened to one request, and what its nodes believed meanwhile.", defaults);
        FileArgument request(
            "request", "Request id, as the caller or the log gives it.", true, "", "REQUEST", sub.commandLine());
        TCLAP::UnlabeledMultiArg<std::string> files(
            "log", "Logs of nodes (JSON lines); - for standard input.", true, "LOG", sub.commandLine());
        sub.parse(arguments);
        return StoryCommand { request.getValue(), files.getValue(), sub.outputFormat() };
    }

    Command parseTrace(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub("trace", "Joins the spans of all nodes into one tree.", defaults);
        FileArgument id("id", "Trace id or request id.", true, "", "ID", sub.withNodes().commandLine());
        sub.parse(arguments);
        return TraceCommand { id.getValue(), sub.nodeAddresses(), sub.outputFormat() };
    }

    Command parseDrain(const Arguments& arguments, const CommandDefaults& defaults)
    {
        Subcommand sub(
            "drain", "Tells a node to leave the load balancer, finish or hand over its requests, and stop.", defaults);
        FileArgument node("node", "Name of the node, or address:port of its admin interface.", true, "", "NODE",
            sub.withNodes().commandLine());
        sub.parse(arguments);
        const bool byAddress = parseSocketAddress(node.getValue()).has_value();
        return DrainCommand { node.getValue(), byAddress ? std::vector<std::string> {} : sub.nodeAddresses(),
            sub.outputFormat() };
    }

    struct SubcommandEntry {
        const char* name;
        const char* summary;
        Command (*parse)(const Arguments&, const CommandDefaults&);
    };

    constexpr SubcommandEntry subcommands[] = {
        { "check", "check FILE         check a configuration text offline", parseCheck },
        { "diff", "diff FILE          show what apply would change", parseDiff },
        { "apply", "apply FILE         write the configuration; --wait until all nodes have it", parseApply },
        { "status", "status             configuration and version rollouts of the nodes", parseStatus },
        { "nodes", "nodes              members and how the nodes see each other", parseNodesCommand },
        { "explain", "explain REQUEST    decisions about one request; --host and --path: where it would go now",
            parseExplain },
        { "story", "story REQUEST LOG  what logs tell about one request", parseStory },
        { "trace", "trace ID           spans of one trace or request as a tree", parseTrace },
        { "drain", "drain NODE         graceful shutdown of one node", parseDrain },
    };

    std::string overview()
    {
        std::string text = "Usage: teaselshorectl SUBCOMMAND [OPTIONS]\n\n";
        for (const SubcommandEntry& entry : subcommands)
            text += fmt::format("  {}\n", entry.summary);
        text += "\nteaselshorectl SUBCOMMAND --help lists the options of a subcommand.\n";
        return fmt::format("{}{}\n", text, exitCodeHelp);
    }

    ParsedCommandLine parseSubcommand(
        const SubcommandEntry& entry, const Arguments& arguments, const CommandDefaults& defaults)
    {
        try {
            return entry.parse(arguments, defaults);
        } catch (const TCLAP::ArgException& error) {
            return UsageError { fmt::format("{}: {} ({})", entry.name, error.error(), error.argId()) };
        } catch (const TCLAP::ExitException&) {
            return HelpShown {};
        } catch (const WrongArgument& error) {
            return UsageError { fmt::format("{}: {}", entry.name, error.message) };
        }
    }

} // namespace

ParsedCommandLine parseCommandLine(const std::vector<std::string>& arguments, const CommandDefaults& defaults)
{
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    if (name == "--help" || name == "-h") {
        fmt::print(std::cout, "{}", overview());
        return HelpShown {};
    }
    if (name == "--version") {
        fmt::print(std::cout, "teaselshorectl {}\n", programVersion);
        return HelpShown {};
    }
    for (const SubcommandEntry& entry : subcommands) {
        if (entry.name == name)
            return parseSubcommand(entry, { arguments.begin() + 2, arguments.end() }, defaults);
    }
    if (name.empty())
        return UsageError { fmt::format("a subcommand is needed\n{}", overview()) };
    return UsageError { fmt::format("unknown subcommand '{}'\n{}", name, overview()) };
}

} // namespace teaselshore
