#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief One finished hop of a request, to be recorded as a trace span.
struct SpanRecord {
    TraceId trace;
    /// 16 hexadecimal digits.
    std::string span;
    /// Empty for a root span.
    std::string parent;
    std::string name;
    Instant start {};
    Duration duration {};
    std::vector<std::pair<std::string, std::string>> attributes;

    auto operator<=>(const SpanRecord&) const = default;
};

/// @brief Trace position of a request: the trace and the span that is the parent of further spans.
struct TraceContext {
    TraceId trace;
    std::string span;

    /// @brief Returns the W3C traceparent header value.
    std::string traceparent() const { return "00-" + this->trace.value() + "-" + this->span + "-01"; }

    auto operator<=>(const TraceContext&) const = default;
};

} // namespace teaselshore
