#include "platform_replies.hpp"

#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    using nlohmann::json;
    using Kind = PlatformError::Kind;

    /// Runs a conversion that throws on missing members or wrong types.
    template <typename Convert> auto guarded(Convert convert) -> std::optional<decltype(convert())>
    {
        try {
            return convert();
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    template <typename Value>
    std::optional<std::vector<Value>> parseList(
        const std::string& body, const char* member, Value (*convert)(const json&))
    {
        return guarded([&] {
            std::vector<Value> values;
            const json document = json::parse(body);
            for (const json& entry : document.at(member))
                values.push_back(convert(entry));
            return values;
        });
    }

    ListedObject toListedObject(const json& entry)
    {
        return { entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>() };
    }

    CloudPrice toPrice(const json& entry)
    {
        return { AvailabilityZone(entry.at("zone").get<std::string>()), HostClass(entry.at("class").get<std::string>()),
            entry.at("reclaimable").get<double>(), entry.at("onDemand").get<double>() };
    }

    CloudNotice toNotice(const json& entry)
    {
        return { entry.at("number").get<std::uint64_t>(), entry.at("host").get<std::string>(),
            AvailabilityZone(entry.at("zone").get<std::string>()),
            fromSeconds(entry.at("remainingMs").get<double>() / 1000.0) };
    }

    CloudHostState toState(const std::string& name)
    {
        if (name == "live")
            return CloudHostState::Live;
        return name == "starting" ? CloudHostState::Starting : CloudHostState::Departing;
    }

    CloudHost toHost(const json& entry)
    {
        CloudHost host;
        host.id = entry.at("id").get<std::string>();
        host.zone = AvailabilityZone(entry.at("zone").get<std::string>());
        host.hostClass = HostClass(entry.at("class").get<std::string>());
        host.reclaimable = entry.at("kind").get<std::string>() != "on-demand";
        host.state = toState(entry.at("state").get<std::string>());
        host.role = entry.value("role", std::string());
        host.address = entry.value("address", std::string());
        return host;
    }

    std::string errorCode(const HttpReply& reply)
    {
        const json document = json::parse(reply.body, nullptr, false);
        const json::json_pointer path("/error/code");
        return document.is_object() && document.contains(path) && document.at(path).is_string()
            ? document.at(path).get<std::string>()
            : std::string();
    }

    /// Returns whether the platform guarantees that a refused call had no effect. A bare 503 is no guarantee: a gateway
    /// also sends it after it lost the connection to the server that ran the call.
    bool hadNoEffect(const HttpReply& reply)
    {
        constexpr int tooManyRequests = 429;
        return reply.status == tooManyRequests || reply.headers.find("x-not-run") == "true";
    }

    Kind errorKind(PlatformCallKind call, const HttpReply& reply)
    {
        if (reply.status == 404)
            return Kind::NotFound;
        if (reply.status == 409 || reply.status == 412)
            return Kind::Conflict;
        if (call == PlatformCallKind::StartHost && errorCode(reply) == "start_refused")
            return Kind::StartRefused;
        if (hadNoEffect(reply))
            return Kind::Unavailable;
        if (reply.status >= 500)
            return isPlatformWrite(call) ? Kind::OutcomeUnknown : Kind::Unavailable;
        return Kind::Rejected;
    }

} // namespace

bool isPlatformWrite(PlatformCallKind kind)
{
    switch (kind) {
    case PlatformCallKind::CreateObject:
    case PlatformCallKind::UpdateObject:
    case PlatformCallKind::DeleteObject:
    case PlatformCallKind::StartHost:
    case PlatformCallKind::StopHost:
        return true;
    default:
        return false;
    }
}

PlatformError convertPlatformError(PlatformCallKind kind, const HttpError& error)
{
    const bool invalid = error.kind == HttpError::Kind::AddressInvalid || error.kind == HttpError::Kind::RequestInvalid;
    if (invalid)
        return { Kind::Rejected, error.detail, std::nullopt };
    const bool unknown = isPlatformWrite(kind) && error.requestMayHaveBeenSent;
    return { unknown ? Kind::OutcomeUnknown : Kind::Unavailable, error.detail, std::nullopt };
}

std::optional<PlatformError> replyError(PlatformCallKind kind, const HttpReply& reply)
{
    if (reply.status / 100 == 2)
        return std::nullopt;
    PlatformError error { errorKind(kind, reply), fmt::format("status {}", reply.status), std::nullopt };
    if (error.kind == Kind::Conflict)
        error.currentVersion = parseObjectVersion(reply);
    return error;
}

PlatformError malformedReply(PlatformCallKind kind, std::string detail)
{
    return { isPlatformWrite(kind) ? Kind::OutcomeUnknown : Kind::MalformedReply, std::move(detail), std::nullopt };
}

std::string percentEncode(std::string_view text, bool keepsSlashes)
{
    std::string result;
    result.reserve(text.size());
    for (const char letter : text) {
        const bool isAlphanumeric
            = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
        const bool isUnreserved = isAlphanumeric || std::string_view("-._~").find(letter) != std::string_view::npos;
        if (isUnreserved || (keepsSlashes && letter == '/'))
            result += letter;
        else
            result += fmt::format("%{:02X}", static_cast<unsigned char>(letter));
    }
    return result;
}

std::optional<std::uint64_t> parseObjectVersion(const HttpReply& reply)
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

std::optional<std::vector<ListedObject>> parseListedObjects(const std::string& body)
{
    return parseList(body, "objects", toListedObject);
}

std::optional<std::vector<CloudPrice>> parseCloudPrices(const std::string& body)
{
    return parseList(body, "prices", toPrice);
}

std::optional<std::vector<CloudNotice>> parseCloudNotices(const std::string& body)
{
    return parseList(body, "notices", toNotice);
}

std::optional<std::vector<CloudHost>> parseCloudHosts(const std::string& body)
{
    return parseList(body, "hosts", toHost);
}

std::optional<CloudHost> parseCloudHost(const std::string& body)
{
    return guarded([&body] { return toHost(json::parse(body)); });
}

std::string hostRequestBody(const CloudHostRequest& request)
{
    const json body = { { "zone", request.zone.value() }, { "class", request.hostClass.value() },
        { "kind", request.reclaimable ? "reclaimable" : "on-demand" }, { "role", request.role },
        { "address", request.address } };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace teaselshore
