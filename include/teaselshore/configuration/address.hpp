#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief IPv4 address and port.
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress&) const = default;
};

/// @brief Tells whether the text is an IPv4 address in dotted decimal form.
bool isIpv4Address(std::string_view text);

/// @brief Parses "address:port" with an IPv4 address and a port from 1 to 65535; nothing otherwise.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// @brief Returns "address:port".
std::string formatSocketAddress(const SocketAddress& address);

} // namespace teaselshore
