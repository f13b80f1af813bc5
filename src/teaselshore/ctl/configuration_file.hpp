#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/configuration/difference.hpp"
#include "teaselshore/configuration/problem.hpp"
#include "teaselshore/ctl/apply_session.hpp"
#include "teaselshore/ctl/run_command.hpp"

namespace teaselshore {

/// @brief Text of an operator configuration and its checked value.
struct ConfigurationFile {
    std::string text;
    Configuration configuration;
};

/// @brief Reads and checks a file. Prints why it cannot be used and sets exitCode, or returns the file.
std::optional<ConfigurationFile> readConfigurationFile(
    const std::string& path, OutputFormat output, CommandContext& context, ExitCode& exitCode);

/// @brief Prints problems as "file:line:column: path: message", or as a JSON document.
void printProblems(const std::string& path, const std::vector<ConfigurationProblem>& problems, OutputFormat output,
    CommandContext& context);

/// @brief Returns what differs from the stored revision; from nothing if there is none or it does not parse.
std::vector<ConfigurationChange> changesFrom(
    const std::optional<StoredConfiguration>& stored, const Configuration& configuration);

nlohmann::ordered_json toJson(const std::vector<ConfigurationChange>& changes);

/// @brief Prints one indented line per change.
void printChanges(const std::vector<ConfigurationChange>& changes, CommandContext& context);

/// @brief Returns "1 change", "2 changes" and so on.
std::string countText(const std::vector<ConfigurationChange>& changes);

/// @brief Prints a JSON document; bytes that are not UTF-8 are replaced.
void printJson(const nlohmann::ordered_json& document, CommandContext& context);

} // namespace teaselshore
