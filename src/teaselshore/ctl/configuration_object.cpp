#include "teaselshore/ctl/configuration_object.hpp"

#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    constexpr const char* objectPath = "/objects/configuration";
    constexpr const char* versionHeader = "x-object-version";

    std::optional<std::uint64_t> versionOf(const HttpReply& reply)
    {
        const std::optional<std::string> text = reply.headers.find(versionHeader);
        if (!text)
            return std::nullopt;
        std::uint64_t version = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), version);
        if (error != std::errc() || end != text->data() + text->size())
            return std::nullopt;
        return version;
    }

    std::string statusText(const HttpReply& reply) { return fmt::format("replied with status {}", reply.status); }

} // namespace

ConfigurationObject::ConfigurationObject(HttpFetcher& fetcher, std::string platform)
    : fetcher(fetcher)
    , platform(std::move(platform))
{
}

ReadResult ConfigurationObject::read()
{
    FetchResult result = this->fetcher.fetch(makeCall(this->platform, "GET", objectPath));
    if (const auto* error = std::get_if<HttpError>(&result))
        return CallRefused { describe(*error) };
    auto& reply = std::get<HttpReply>(result);
    if (reply.status == 404)
        return ObjectAbsent {};
    const std::optional<std::uint64_t> version = versionOf(reply);
    if (reply.status != 200)
        return CallRefused { statusText(reply) };
    if (!version)
        return CallRefused { "replied without an object version" };
    return StoredConfiguration { *version, std::move(reply.body) };
}

WriteResult ConfigurationObject::write(const std::string& text, std::optional<std::uint64_t> expected)
{
    HttpCall call = makeCall(this->platform, "PUT", objectPath, text);
    if (expected)
        call.request.headers.add("if-match", fmt::format("{}", *expected));
    else
        call.request.headers.add("if-none-match", "*");
    call.request.headers.add("content-type", "application/yaml");

    const FetchResult result = this->fetcher.fetch(call);
    if (const auto* error = std::get_if<HttpError>(&result)) {
        if (error->requestMayHaveBeenSent)
            return WriteUnknown { describe(*error) };
        return CallRefused { describe(*error) };
    }
    const auto& reply = std::get<HttpReply>(result);
    const std::optional<std::uint64_t> version = versionOf(reply);
    if (reply.status >= 200 && reply.status < 300 && version)
        return WriteDone { *version };
    if (reply.status == 409 || reply.status == 412)
        return WriteConflict {};
    // Below 500, the object API says that it did not accept the request.
    if (reply.status >= 400 && reply.status < 500)
        return CallRefused { statusText(reply) };
    return WriteUnknown { statusText(reply) };
}

} // namespace teaselshore
