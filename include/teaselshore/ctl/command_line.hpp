#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

enum class OutputFormat {
    Text,
    Json,
};

struct CheckCommand {
    std::string file;
    /// The file holds daemon settings instead of an operator configuration.
    bool settings = false;
    OutputFormat output = OutputFormat::Text;
};

struct DiffCommand {
    std::string file;
    std::string platform;
    OutputFormat output = OutputFormat::Text;
};

struct ApplyCommand {
    std::string file;
    std::string platform;
    /// Version that must be in force; 0 means that there must be none.
    std::optional<std::uint64_t> base;
    bool wait = false;
    Duration waitTimeout {};
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

struct StatusCommand {
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

struct NodesCommand {
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

struct ExplainCommand {
    std::string request;
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

/// @brief Part of a prompt, as callers declare it.
struct ForecastPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief Asks nodes where a request would go now.
struct ForecastCommand {
    std::string method;
    std::string host;
    std::string path;
    std::string key;
    std::optional<std::uint32_t> promptTokens;
    std::uint32_t outputTokens = 0;
    std::vector<ForecastPart> parts;
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

struct StoryCommand {
    std::string request;
    /// Logs of nodes; "-" for standard input.
    std::vector<std::string> files;
    OutputFormat output = OutputFormat::Text;
};

struct TraceCommand {
    /// Trace id or request id.
    std::string id;
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

struct DrainCommand {
    /// Name of a node, or "address:port" of its admin interface.
    std::string node;
    std::vector<std::string> nodes;
    OutputFormat output = OutputFormat::Text;
};

using Command = std::variant<CheckCommand, DiffCommand, ApplyCommand, StatusCommand, NodesCommand, ExplainCommand,
    ForecastCommand, StoryCommand, TraceCommand, DrainCommand>;

/// @brief Help or version text was printed to standard output.
struct HelpShown { };

struct UsageError {
    std::string message;
};

using ParsedCommandLine = std::variant<Command, HelpShown, UsageError>;

/// @brief Defaults from the environment; empty if not set.
struct CommandDefaults {
    /// TEASELSHORE_PLATFORM
    std::string platform;
    /// TEASELSHORE_NODES
    std::string nodes;
};

/// @brief Parses the arguments, the first of which is the program's name.
ParsedCommandLine parseCommandLine(const std::vector<std::string>& arguments, const CommandDefaults& defaults);

} // namespace teaselshore
