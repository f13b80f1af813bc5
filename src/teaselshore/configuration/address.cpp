#include "teaselshore/configuration/address.hpp"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace teaselshore {

bool isIpv4Address(std::string_view text)
{
    in_addr parsed {};
    return text.find('\0') == std::string_view::npos && inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpv4Address(text.substr(0, colon)))
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return SocketAddress { std::string(text.substr(0, colon)), port };
}

std::string formatSocketAddress(const SocketAddress& address)
{
    return fmt::format("{}:{}", address.address, address.port);
}

} // namespace teaselshore
