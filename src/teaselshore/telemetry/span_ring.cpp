#include "teaselshore/telemetry/span_ring.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

SpanRing::SpanRing(std::size_t capacity)
    : capacity(capacity)
{
    TEASELSHORE_ASSERT(capacity > 0, "a span ring needs room for one span");
}

void SpanRing::add(Span span)
{
    if (this->spans.size() < this->capacity) {
        this->spans.push_back(std::move(span));
        return;
    }
    this->spans[this->oldest] = std::move(span);
    this->oldest = (this->oldest + 1) % this->capacity;
    ++this->replacedCount;
}

std::vector<Span> SpanRing::find(const TraceId& traceId) const
{
    std::vector<Span> found;
    for (std::size_t offset = 0; offset < this->spans.size(); ++offset) {
        const Span& span = this->spans[(this->oldest + offset) % this->spans.size()];
        if (span.traceId == traceId)
            found.push_back(span);
    }
    std::stable_sort(
        found.begin(), found.end(), [](const Span& first, const Span& second) { return first.start < second.start; });
    return found;
}

std::string SpanRing::toJson(const TraceId& traceId) const
{
    nlohmann::ordered_json json;
    json["traceId"] = traceId.value();
    json["spans"] = nlohmann::ordered_json::array();
    for (const Span& span : this->find(traceId))
        json["spans"].push_back(teaselshore::toJson(span));
    return toJsonText(json);
}

} // namespace teaselshore
