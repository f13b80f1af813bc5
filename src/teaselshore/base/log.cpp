#include "teaselshore/base/log.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>

#include <fcntl.h>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    std::atomic<LogLevel> lowestLevel { LogLevel::Info };
    LogOutput output = LogOutput::StandardError;
    /// Lines that the reader of the standard output did not take in time.
    std::atomic<std::uint64_t> lostLines { 0 };

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
    const std::string text = toJsonText(line) + "\n";
    if (output == LogOutput::StandardError) {
        fmt::print(stderr, "{}", text);
        return;
    }
    // The daemon must not wait for a slow reader of its log.
    if (write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        lostLines.fetch_add(1, std::memory_order_relaxed);
}

void setLogLevel(LogLevel level) { lowestLevel.store(level, std::memory_order_relaxed); }

void setLogOutput(LogOutput target)
{
    output = target;
    if (target == LogOutput::StandardOutput)
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

std::uint64_t lostLogLines() { return lostLines.load(std::memory_order_relaxed); }

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
