#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Request target split into its decoded path and query parameters.
struct RequestTarget {
    std::string path;
    std::map<std::string, std::string> query;

    /// @brief Returns the path after the prefix; nothing if the path does not start with it.
    std::optional<std::string> after(std::string_view prefix) const;

    /// @brief Returns the query parameter as a number; nothing if it is absent or not a number.
    std::optional<std::uint64_t> number(const std::string& name) const;

    auto operator<=>(const RequestTarget&) const = default;
};

/// @brief Splits and percent-decodes a request target. Malformed escapes stay as they are.
RequestTarget parseTarget(std::string_view text);

/// @brief Percent-encodes all but unreserved characters and "/".
std::string encodePath(std::string_view text);

/// @brief Parses an unsigned decimal number that fills the whole text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace teaselshore
