#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Splits a server-sent event stream into complete events, so that a caller never gets part of one.
///
/// An upstream that dies in the middle of an event leaves a partial event; only complete ones count as delivered, and
/// the stream resumes after the last of them. Events are passed on unchanged, in the order of their ids. Not
/// thread-safe.
class EventStreamBuffer {
public:
    /// @brief Takes bytes as they arrive and returns the complete events, without those that the caller has already.
    std::string takeComplete(std::string_view bytes);

    /// @brief Number of complete events with an id; each is one token. Events without id carry no part of the text.
    std::uint64_t events() const { return this->eventCount; }

    /// @brief True once the final "data: [DONE]" event was complete.
    bool done() const { return this->sawDone; }
    /// @brief Id of the last complete event whose id is a number.
    std::optional<std::uint64_t> lastId() const { return this->lastNumber; }
    /// @brief True if bytes of an event arrived whose end did not.
    bool hasPartial() const { return !this->partial.empty(); }
    std::size_t partialBytes() const { return this->partial.size(); }
    /// @brief True if the event that has not ended yet is longer than any real one: a few tokens and their fields.
    bool isTooLong() const { return this->partial.size() > maxEventBytes; }
    static constexpr std::size_t maxEventBytes = std::size_t { 256 } * 1024;

    /// @brief Forgets a partial event, before the stream continues from another upstream.
    void dropPartial() { this->partial.clear(); }

private:
    std::string takeEvents(std::string_view complete);
    /// @brief Counts one event; false if the caller has it already.
    bool takeEvent(std::string_view event);

    std::string partial;
    std::uint64_t eventCount = 0;
    bool sawDone = false;
    std::optional<std::uint64_t> lastNumber;
};

} // namespace teaselshore
