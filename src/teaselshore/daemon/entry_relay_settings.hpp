#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "teaselshore/daemon/request_relay.hpp"

namespace teaselshore {

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
    // Strings that grow side by side take up to four times their bytes.
    settings.maxCollectedTotal = 12 * megabyte;
    settings.streams = FramedStreams { std::move(streamField) };
    return settings;
}

} // namespace teaselshore
