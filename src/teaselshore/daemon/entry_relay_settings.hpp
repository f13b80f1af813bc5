#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "teaselshore/daemon/request_relay.hpp"

namespace teaselshore {

/// @brief Strings that grow side by side take up to so many times their bytes.
constexpr std::size_t growingStringFactor = 4;

/// @brief Limits of the relay of teaselshore-entry: what upstreams and callers can make it keep must leave room for the
/// rest of the process on the smallest hosts, which have 160 MB.
/// streamField is a field that the head of a usable stream has.
inline RequestRelay::Settings entryRelaySettings(std::string streamField)
{
    constexpr std::size_t kilobyte = 1024;
    constexpr std::size_t megabyte = 1024 * kilobyte;
    RequestRelay::Settings settings;
    settings.maxPendingStreamBytes = 512 * kilobyte;
    settings.maxPendingTotal = 24 * megabyte;
    settings.maxCollectedBytes = 8 * megabyte;
    settings.maxCollectedTotal = 12 * megabyte;
    settings.streams = FramedStreams { std::move(streamField) };
    return settings;
}

/// @brief Returns how many bytes the bodies of open requests may take, in a process that may take so many: what the
/// node itself and the responses that the relay keeps leave.
inline std::size_t requestBodyBudget(std::optional<std::size_t> memoryBytes, const RequestRelay::Settings& relay)
{
    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;
    // What a node of a fleet of hundreds takes for itself.
    constexpr std::size_t nodeBytes = 64 * megabyte;
    // Without it no host that is smaller than expected would take any body.
    constexpr std::size_t leastBytes = 8 * megabyte;
    if (!memoryBytes)
        return SIZE_MAX;
    const std::size_t others = nodeBytes + relay.maxPendingTotal + growingStringFactor * relay.maxCollectedTotal;
    return std::max(leastBytes, *memoryBytes - std::min(*memoryBytes, others));
}

} // namespace teaselshore
