#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "teaselshore/telemetry/span.hpp"

namespace teaselshore {

/// @brief Bounded store of the latest spans; a new span replaces the oldest one. Not thread-safe.
class SpanRing {
public:
    /// @brief Precondition: capacity > 0.
    explicit SpanRing(std::size_t capacity);

    void add(Span span);

    /// @brief Returns the stored spans of a trace by start time.
    std::vector<Span> find(const TraceId& traceId) const;

    /// @brief Returns {"traceId", "spans"} with the spans of a trace by start time. Invalid UTF-8 is replaced.
    std::string toJson(const TraceId& traceId) const;

    std::size_t size() const { return this->spans.size(); }
    /// @brief Number of spans that were replaced.
    std::uint64_t replaced() const { return this->replacedCount; }

private:
    std::size_t capacity;
    std::size_t oldest = 0;
    std::uint64_t replacedCount = 0;
    std::vector<Span> spans;
};

} // namespace teaselshore
