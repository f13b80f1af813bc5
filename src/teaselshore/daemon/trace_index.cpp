#include "trace_index.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    constexpr std::size_t traceIdDigits = 32;

} // namespace

void TraceIndex::add(const Span& span)
{
    const auto attribute = std::find_if(span.attributes.begin(), span.attributes.end(),
        [](const SpanAttribute& candidate) { return candidate.name == "request"; });
    if (attribute == span.attributes.end())
        return;
    const auto* request = std::get_if<std::string>(&attribute->value);
    if (!request || !this->traceOfRequest.emplace(*request, span.traceId).second)
        return;
    this->order.push_back(*request);
    if (this->order.size() <= maxRequests)
        return;
    this->traceOfRequest.erase(this->order.front());
    this->order.pop_front();
}

std::optional<TraceId> TraceIndex::find(std::string_view id) const
{
    const auto found = this->traceOfRequest.find(std::string(id));
    if (found != this->traceOfRequest.end())
        return found->second;
    if (id.size() == traceIdDigits)
        return TraceId(std::string(id));
    return std::nullopt;
}

} // namespace teaselshore
