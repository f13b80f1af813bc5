#include "teaselshore/base/log.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    std::atomic<LogLevel> lowestLevel { LogLevel::Info };
    std::FILE* output = stderr;

    std::string& nodeName()
    {
        static std::string name;
        return name;
    }

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "unknown";
    }

    std::string currentTime()
    {
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
            (now - seconds).count());
    }

} // namespace

void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    logLine(level, message, std::span<const LogField>(fields.begin(), fields.size()));
}

void logLine(LogLevel level, std::string_view message, std::span<const LogField> fields)
{
    if (level < lowestLevel.load(std::memory_order_relaxed))
        return;

    nlohmann::ordered_json line;
    line["time"] = currentTime();
    line["level"] = levelName(level);
    if (!nodeName().empty())
        line["node"] = nodeName();
    line["message"] = message;
    for (const LogField& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value.value());

    // A single write keeps lines of different threads apart.
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    fmt::print(output, "{}", text);
    std::fflush(output);
}

void setLogLevel(LogLevel level) { lowestLevel.store(level, std::memory_order_relaxed); }

void setLogOutput(LogOutput target) { output = target == LogOutput::StandardOutput ? stdout : stderr; }

void setLogNode(std::string node) { nodeName() = std::move(node); }

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (const LogLevel level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (levelName(level) == text)
            return level;
    }
    return std::nullopt;
}

} // namespace teaselshore
