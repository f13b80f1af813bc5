#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Splits a server-sent event stream into complete events, so that a caller never gets part of one.
///
/// An upstream that dies in the middle of an event leaves a partial event; only complete ones count as delivered, and
/// the stream resumes after the last of them. Bytes are passed on unchanged. Not thread-safe.
class EventStreamBuffer {
public:
    /// @brief Takes bytes as they arrive and returns the longest run of complete events.
    std::string takeComplete(std::string_view bytes);

    /// @brief Number of complete events with an id; each is one token. Events without id carry no part of the text.
    std::uint64_t events() const { return this->eventCount; }

    /// @brief True once the final "data: [DONE]" event was complete.
    bool done() const { return this->sawDone; }

    /// @brief Forgets a partial event, before the stream continues from another upstream.
    void dropPartial() { this->partial.clear(); }

private:
    void countEvents(std::string_view complete);

    std::string partial;
    std::uint64_t eventCount = 0;
    bool sawDone = false;
};

} // namespace teaselshore
