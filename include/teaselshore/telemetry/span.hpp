#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/telemetry/trace_context.hpp"

namespace teaselshore {

/// @brief Named value of a span.
struct SpanAttribute {
    std::string name;
    std::variant<std::int64_t, bool, double, std::string> value;

    auto operator<=>(const SpanAttribute&) const = default;
};

/// @brief One finished operation of a trace.
struct Span {
    TraceId traceId;
    SpanId spanId;
    /// Empty for the first span of a trace.
    SpanId parentId;
    std::string name;
    NodeId node;
    /// On the node's own time line.
    Instant start;
    Duration duration {};
    std::vector<SpanAttribute> attributes;

    auto operator<=>(const Span&) const = default;
};

/// @brief Returns the span as a JSON object; start and duration in microseconds.
nlohmann::ordered_json toJson(const Span& span);

} // namespace teaselshore
