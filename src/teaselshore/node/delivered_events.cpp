#include "teaselshore/node/delivered_events.hpp"

#include <charconv>

namespace teaselshore {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view doneEvent = "data: [DONE]";
    constexpr std::string_view idField = "id:";

    /// Returns the value of the event's id line; nothing if it has none.
    std::optional<std::string_view> idOf(std::string_view event)
    {
        while (!event.starts_with(idField)) {
            const std::size_t lineEnd = event.find('\n');
            if (lineEnd == std::string_view::npos)
                return std::nullopt;
            event.remove_prefix(lineEnd + 1);
        }
        std::string_view value = event.substr(idField.size(), event.find('\n') - idField.size());
        if (value.starts_with(' '))
            value.remove_prefix(1);
        return value;
    }

    std::optional<std::uint64_t> toNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

std::string DeliveredEvents::takeNew(std::string_view events)
{
    std::string taken;
    taken.reserve(events.size());
    while (!events.empty()) {
        const std::size_t end = events.find(eventEnd);
        if (this->take(events.substr(0, end)))
            taken.append(events.substr(0, end + eventEnd.size()));
        events.remove_prefix(end + eventEnd.size());
    }
    return taken;
}

bool DeliveredEvents::take(std::string_view event)
{
    if (event == doneEvent || event.ends_with("\ndata: [DONE]")) {
        this->sawDone = true;
        return true;
    }
    const std::optional<std::string_view> id = idOf(event);
    if (!id)
        return true;
    if (const std::optional<std::uint64_t> number = toNumber(*id)) {
        // An upstream that continues a stream may begin before the event after the last one.
        if (this->lastNumber && *number <= *this->lastNumber)
            return false;
        this->lastNumber = number;
    }
    ++this->eventCount;
    return true;
}

} // namespace teaselshore
