#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "read_entries.hpp"
#include "teaselshore/http/percent_encode.hpp"
#include "teaselshore/platform/object_api.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;
    using Kind = PlatformCallKind;

    constexpr int statusTooManyRequests = 429;

    PlatformRequest objectRequest(Kind kind, std::string method, const std::string& key)
    {
        return { kind, { std::move(method), "/objects/" + percentEncode(key, true), {}, {} }, {} };
    }

    ListedObject toListedObject(const json& entry)
    {
        return { entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>() };
    }

} // namespace

PlatformRequest KeyedObjects::read(const std::string& key) const { return objectRequest(Kind::ReadObject, "GET", key); }

PlatformRequest KeyedObjects::create(const std::string& key, std::string value) const
{
    PlatformRequest request = objectRequest(Kind::CreateObject, "PUT", key);
    request.request.headers.add("if-none-match", "*");
    request.request.body = std::move(value);
    return request;
}

PlatformRequest KeyedObjects::update(const std::string& key, std::string value, std::uint64_t expected) const
{
    PlatformRequest request = objectRequest(Kind::UpdateObject, "PUT", key);
    request.request.headers.add("if-match", std::to_string(expected));
    request.request.body = std::move(value);
    return request;
}

PlatformRequest KeyedObjects::remove(const std::string& key, std::optional<std::uint64_t> expected) const
{
    PlatformRequest request = objectRequest(Kind::DeleteObject, "DELETE", key);
    if (expected)
        request.request.headers.add("if-match", std::to_string(*expected));
    return request;
}

PlatformRequest KeyedObjects::list(const std::string& prefix) const
{
    return { Kind::ListObjects, { "GET", "/objects?prefix=" + percentEncode(prefix, false), {}, {} }, {} };
}

std::optional<StoredObject> KeyedObjects::parseObject(const HttpReply& reply) const
{
    const std::optional<std::uint64_t> version = this->parseVersion(reply);
    if (!version)
        return std::nullopt;
    return StoredObject { reply.body, *version };
}

std::optional<std::uint64_t> KeyedObjects::parseVersion(const HttpReply& reply) const
{
    const std::optional<std::string> text = reply.headers.find("x-object-version");
    if (!text)
        return std::nullopt;
    std::uint64_t version = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return version;
}

std::optional<std::vector<ListedObject>> KeyedObjects::parseList(const HttpReply& reply) const
{
    return readEntries(reply.body, { "objects", {}, { "key", "version" }, 1 }, toListedObject);
}

bool KeyedObjects::hadNoEffect(const HttpReply& reply) const
{
    // A bare 503 is no guarantee: a gateway also sends it after it lost the connection to the server that ran the call.
    return reply.status == statusTooManyRequests || reply.headers.find("x-not-run") == "true";
}

} // namespace teaselshore
