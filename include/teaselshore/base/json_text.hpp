#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace teaselshore {

/// @brief Encodes a value on one line. Bytes that are not UTF-8 are replaced, so that it never throws. Thread-safe.
template <typename Json> std::string toJsonText(const Json& value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace teaselshore
