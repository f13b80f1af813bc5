#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform/kinded_objects.hpp"
#include "teaselshore/platform/platform_request.hpp"
#include "teaselshore/platform/platform_types.hpp"

namespace teaselshore {

/// @brief Object API with one flat name space: `/objects/<key>` with versions in header fields.
struct KeyedObjects {
    PlatformRequest read(const std::string& key) const;
    PlatformRequest create(const std::string& key, std::string value) const;
    PlatformRequest update(const std::string& key, std::string value, std::uint64_t expected) const;
    PlatformRequest remove(const std::string& key, std::optional<std::uint64_t> expected) const;
    PlatformRequest list(const std::string& prefix) const;
    std::optional<StoredObject> parseObject(const HttpReply& reply) const;
    std::optional<std::uint64_t> parseVersion(const HttpReply& reply) const;
    std::optional<std::vector<ListedObject>> parseList(const HttpReply& reply) const;
    /// @brief This platform is never restored from a copy.
    static std::optional<std::uint64_t> parseEra(const HttpReply&) { return std::nullopt; }
    /// @brief Returns whether the platform guarantees that a refused call had no effect.
    bool hadNoEffect(const HttpReply& reply) const;

    auto operator<=>(const KeyedObjects&) const = default;
};

/// @brief How a platform's object API is spoken.
using ObjectApi = std::variant<KeyedObjects, KindedObjects>;

} // namespace teaselshore
