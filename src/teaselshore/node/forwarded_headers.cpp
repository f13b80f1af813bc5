#include "forwarded_headers.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "teaselshore/node/classified_request.hpp"

namespace teaselshore {

namespace {

    constexpr int statusServiceUnavailable = 503;

    constexpr std::array<std::string_view, 12> hopByHopHeaders { "connection", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "server",
        "date" };

    constexpr std::array<std::string_view, 7> nodeHeaders { "x-request-id", "x-attempt", "x-priority", "x-resume-from",
        "traceparent", "last-event-id", "prefer" };

    constexpr std::array<std::string_view, 4> upstreamOnlyHeaders { "x-request-id", "x-attempt", "x-load-queued",
        "x-load-running" };

    template <std::size_t Size> bool contains(const std::array<std::string_view, Size>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

} // namespace

HeaderList upstreamHeaders(const HeaderList& callerHeaders)
{
    HeaderList result;
    result.reserve(callerHeaders.size() + 5);
    for (const auto& [name, value] : callerHeaders) {
        if (contains(hopByHopHeaders, name) || contains(nodeHeaders, name))
            continue;
        result.emplace_back(name, value);
    }
    return result;
}

HeaderList callerHeaders(const HeaderList& upstreamHeaders)
{
    HeaderList result;
    for (const auto& [name, value] : upstreamHeaders) {
        if (contains(hopByHopHeaders, name) || contains(upstreamOnlyHeaders, name))
            continue;
        result.emplace_back(name, value);
    }
    return result;
}

bool saysNotRun(const AttemptFinished& finished)
{
    return finished.status == statusServiceUnavailable && findHeader(finished.headers, "x-not-run") == "true";
}

} // namespace teaselshore
