#include "teaselshore/telemetry/trace_context.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    /// Length of "vv-<trace id>-<span id>-ff".
    constexpr std::size_t versionZeroLength = 55;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(),
            [](char letter) { return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f'); });
    }

    bool isId(std::string_view text)
    {
        return isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

    /// An id of zeros only is invalid.
    std::string randomId(RandomSource& random, std::size_t digits)
    {
        std::string id = random.hex(digits);
        while (!isId(id))
            id = random.hex(digits);
        return id;
    }

    bool isSampled(char lastFlagDigit)
    {
        const int value = lastFlagDigit <= '9' ? lastFlagDigit - '0' : lastFlagDigit - 'a' + 10;
        return (value & 1) != 0;
    }

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (text.size() < versionZeroLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view version = text.substr(0, 2);
    const std::string_view flags = text.substr(53, 2);
    if (!isLowerHex(version) || version == "ff" || !isLowerHex(flags))
        return std::nullopt;
    const bool hasMore = text.size() > versionZeroLength;
    if (hasMore && (version == "00" || text[versionZeroLength] != '-'))
        return std::nullopt;
    const std::string_view traceId = text.substr(3, traceIdDigits);
    const std::string_view spanId = text.substr(36, spanIdDigits);
    if (!isId(traceId) || !isId(spanId))
        return std::nullopt;
    return TraceContext { TraceId(std::string(traceId)), SpanId(std::string(spanId)), isSampled(flags[1]) };
}

std::string formatTraceparent(const TraceContext& context)
{
    return fmt::format("00-{}-{}-{}", context.traceId, context.spanId, context.sampled ? "01" : "00");
}

TraceContext newTrace(RandomSource& random)
{
    TraceId traceId(randomId(random, traceIdDigits));
    return { std::move(traceId), SpanId(randomId(random, spanIdDigits)), true };
}

TraceContext childOf(const TraceContext& parent, RandomSource& random)
{
    return { parent.traceId, SpanId(randomId(random, spanIdDigits)), parent.sampled };
}

} // namespace teaselshore
