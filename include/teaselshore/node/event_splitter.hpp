#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Splits the bytes of one response into whole server-sent events, so that a caller never gets part of one.
///
/// Each attempt has a splitter of its own: bytes of an event whose end never arrives are gone with their attempt, and
/// cannot be joined with those of the next one. Not thread-safe.
class EventSplitter {
public:
    static constexpr std::size_t maxEventBytes = std::size_t { 256 } * 1024;

    /// @brief Takes bytes as they arrive and returns the events that are whole now, unchanged and in order.
    std::string takeComplete(std::string_view bytes);

    /// @brief Returns whether bytes of an event arrived whose end did not.
    bool hasPartial() const { return !this->partial.empty(); }
    std::size_t partialBytes() const { return this->partial.size(); }
    /// @brief Returns whether the event that has not ended yet is longer than any real one: a few tokens and their
    /// fields.
    bool isTooLong() const { return this->partial.size() > maxEventBytes; }

private:
    std::string partial;
};

} // namespace teaselshore
