#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"

namespace teaselshore {

/// @brief W3C span id (parent-id): 16 lower-case hexadecimal digits, not all zero.
using SpanId = Name<struct SpanIdTag>;

/// @brief Position in a trace, as the header `traceparent` carries it.
struct TraceContext {
    TraceId traceId;
    /// Span that the receiver's spans are children of.
    SpanId spanId;
    bool sampled = true;

    auto operator<=>(const TraceContext&) const = default;
};

/// @brief Parses a `traceparent` value (W3C Trace Context, level 1). Returns nothing if it is malformed.
///
/// A version above 00 is read as far as version 00 defines it, as the recommendation asks.
std::optional<TraceContext> parseTraceparent(std::string_view text);

/// @brief Returns the `traceparent` value of version 00.
std::string formatTraceparent(const TraceContext& context);

/// @brief Starts a trace with random ids.
TraceContext newTrace(RandomSource& random);

/// @brief Returns a context of the same trace with a new span id.
TraceContext childOf(const TraceContext& parent, RandomSource& random);

} // namespace teaselshore
