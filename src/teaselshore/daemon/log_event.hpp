#pragma once

#include <vector>

#include "teaselshore/base/log.hpp"
#include "teaselshore/node/node_command.hpp"

namespace teaselshore {

/// @brief Writes the log line that decision code asked for. Thread-safe.
inline void writeLogEvent(const LogEvent& event)
{
    std::vector<LogField> fields;
    fields.reserve(event.fields.size());
    for (const auto& [name, value] : event.fields)
        fields.push_back({ name, value });
    logLine(event.level, event.message, fields);
}

} // namespace teaselshore
