#include "teaselshore/node/event_splitter.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view eventEnd = "\n\n";

} // namespace

std::string EventSplitter::takeComplete(std::string_view bytes)
{
    // Most chunks hold whole events; then nothing needs to be joined with an earlier part.
    if (this->partial.empty() && bytes.ends_with(eventEnd))
        return std::string(bytes);

    // Only the end of the earlier bytes can be part of an event's end.
    const std::size_t searched = this->partial.empty() ? 0 : this->partial.size() - 1;
    this->partial.append(bytes);
    const std::size_t found = std::string_view(this->partial).substr(searched).rfind(eventEnd);
    if (found == std::string::npos)
        return {};
    const std::size_t end = searched + found + eventEnd.size();
    std::string complete = this->partial.substr(0, end);
    this->partial.erase(0, end);
    return complete;
}

} // namespace teaselshore
