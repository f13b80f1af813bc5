#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Value of one log field: text, number or boolean.
class LogValue {
public:
    template <std::integral T>
    LogValue(T number)
        : content(static_cast<std::int64_t>(number))
    {
    }
    LogValue(bool flag)
        : content(flag)
    {
    }
    LogValue(double number)
        : content(number)
    {
    }
    LogValue(std::string text)
        : content(std::move(text))
    {
    }
    LogValue(std::string_view text)
        : content(std::string(text))
    {
    }
    LogValue(const char* text)
        : content(std::string(text))
    {
    }
    template <typename Tag>
    LogValue(const Name<Tag>& name)
        : content(name.value())
    {
    }

    const std::variant<std::int64_t, bool, double, std::string>& value() const { return this->content; }

private:
    std::variant<std::int64_t, bool, double, std::string> content;
};

/// @brief One named value of a log line.
struct LogField {
    std::string_view name;
    LogValue value;
};

/// @brief Where log lines go.
enum class LogOutput {
    StandardError,
    StandardOutput,
};

/// @brief Writes one JSON line to the log output, standard error by default: time (UTC), level, node if set, message,
/// fields.
///
/// Thread-safe. Lines below the level set with setLogLevel() are dropped.
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});
void logLine(LogLevel level, std::string_view message, std::span<const LogField> fields);

/// @brief Sets the lowest level that is written. Thread-safe; default LogLevel::Info.
void setLogLevel(LogLevel level);

/// @brief Sets where lines go. Call it before other threads start.
///
/// Standard output is written without waiting: lines that its reader does not take in time are lost and counted.
void setLogOutput(LogOutput output);

/// @brief Returns the number of lines lost since the start. Thread-safe.
std::uint64_t lostLogLines();

/// @brief Sets the node name that each line carries. Call it before other threads start.
void setLogNode(std::string node);

/// @brief Parses "debug", "info", "warning" or "error"; nothing for any other text.
std::optional<LogLevel> parseLogLevel(std::string_view text);

} // namespace teaselshore
