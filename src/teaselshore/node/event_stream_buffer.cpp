#include "teaselshore/node/event_stream_buffer.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view doneEvent = "data: [DONE]";

} // namespace

std::string EventStreamBuffer::takeComplete(std::string_view bytes)
{
    // Most chunks hold whole events; then nothing needs to be joined with an earlier part.
    if (this->partial.empty() && bytes.ends_with(eventEnd)) {
        this->countEvents(bytes);
        return std::string(bytes);
    }

    this->partial.append(bytes);
    const std::size_t end = this->partial.rfind(eventEnd);
    if (end == std::string::npos)
        return {};

    std::string complete = this->partial.substr(0, end + eventEnd.size());
    this->partial.erase(0, complete.size());
    this->countEvents(complete);
    return complete;
}

void EventStreamBuffer::countEvents(std::string_view complete)
{
    while (!complete.empty()) {
        const std::size_t end = complete.find(eventEnd);
        const std::string_view event = complete.substr(0, end);
        complete.remove_prefix(end + eventEnd.size());
        if (event == doneEvent || event.ends_with("\ndata: [DONE]")) {
            this->sawDone = true;
            continue;
        }
        if (event.starts_with("id:") || event.find("\nid:") != std::string_view::npos)
            ++this->eventCount;
    }
}

} // namespace teaselshore
