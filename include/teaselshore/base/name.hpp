#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

/// @brief Immutable string value whose type says what it names.
///
/// Two names of different tags do not convert into each other. Thread-safe as any const value.
template <typename Tag> class Name {
public:
    Name() = default;
    explicit Name(std::string text)
        : text(std::move(text))
    {
    }

    const std::string& value() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    auto operator<=>(const Name&) const = default;

private:
    std::string text;
};

using ServiceName = Name<struct ServiceNameTag>;
using VersionName = Name<struct VersionNameTag>;
using WorkspaceName = Name<struct WorkspaceNameTag>;
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using Region = Name<struct RegionTag>;
using RouteName = Name<struct RouteNameTag>;
using ClassName = Name<struct ClassNameTag>;
using HostClass = Name<struct HostClassTag>;
using UpstreamId = Name<struct UpstreamIdTag>;
/// @brief One process of the system. A restarted process gets a new id.
using NodeId = Name<struct NodeIdTag>;
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
using RequestId = Name<struct RequestIdTag>;
/// @brief W3C trace id: 32 lower-case hexadecimal digits.
using TraceId = Name<struct TraceIdTag>;

} // namespace teaselshore

template <typename Tag> struct std::hash<teaselshore::Name<Tag>> {
    std::size_t operator()(const teaselshore::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.value());
    }
};

template <typename Tag> struct fmt::formatter<teaselshore::Name<Tag>> : fmt::formatter<std::string_view> {
    template <typename Context> auto format(const teaselshore::Name<Tag>& name, Context& context) const
    {
        return fmt::formatter<std::string_view>::format(name.value(), context);
    }
};
