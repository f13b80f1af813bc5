#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Events of a stream that its caller has got, over all attempts of the request.
///
/// Only whole events count, and the stream resumes after the last of them. Not thread-safe.
class DeliveredEvents {
public:
    /// @brief Counts whole events and returns those that the caller does not have yet, unchanged and in order.
    /// Precondition: each event has its end; see EventSplitter::takeComplete().
    std::string takeNew(std::string_view events);

    /// @brief Number of events with an id; each is one token. Events without id carry no part of the text.
    std::uint64_t count() const { return this->eventCount; }
    /// @brief Returns whether the final "data: [DONE]" event was among them.
    bool done() const { return this->sawDone; }
    /// @brief Id of the last event whose id is a number.
    std::optional<std::uint64_t> lastId() const { return this->lastNumber; }

private:
    /// @brief Counts one event; false if the caller has it already.
    bool take(std::string_view event);

    std::uint64_t eventCount = 0;
    bool sawDone = false;
    std::optional<std::uint64_t> lastNumber;
};

} // namespace teaselshore
