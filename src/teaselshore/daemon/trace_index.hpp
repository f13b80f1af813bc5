#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "teaselshore/base/name.hpp"
#include "teaselshore/telemetry/span.hpp"

namespace teaselshore {

/// @brief Finds the trace of a request id, and accepts a trace id as it is. Bounded; not thread-safe.
class TraceIndex {
public:
    /// @brief Remembers the trace of the request that the span names.
    void add(const Span& span);

    /// @brief Returns the trace of a request id or trace id; nothing if it is neither.
    std::optional<TraceId> find(std::string_view id) const;

private:
    static constexpr std::size_t maxRequests = 10'000;

    std::unordered_map<std::string, TraceId> traceOfRequest;
    std::deque<std::string> order;
};

} // namespace teaselshore
