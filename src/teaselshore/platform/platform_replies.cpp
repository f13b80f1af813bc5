#include "platform_replies.hpp"

#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "read_entries.hpp"
#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;
    using Kind = PlatformError::Kind;

    constexpr int statusTooManyRequests = 429;

    /// Runs a conversion that throws on missing members or wrong types.
    template <typename Convert> auto guarded(Convert convert) -> std::optional<decltype(convert())>
    {
        try {
            return convert();
        } catch (const json::exception&) {
            return std::nullopt;
        }
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

    Kind errorKind(const ObjectApi& objects, PlatformCallKind call, const HttpReply& reply)
    {
        if (reply.status == 404 || reply.status == 410)
            return Kind::NotFound;
        if (reply.status == 409 || reply.status == 412)
            return Kind::Conflict;
        if (call == PlatformCallKind::StartHost && errorCode(reply) == "start_refused")
            return Kind::StartRefused;
        if (std::visit([&reply](const auto& api) { return api.hadNoEffect(reply); }, objects))
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
    case PlatformCallKind::WriteStatus:
    case PlatformCallKind::ReportUsage:
    case PlatformCallKind::OrderUpstreams:
        return true;
    default:
        return false;
    }
}

bool isPlatformWatch(PlatformCallKind kind)
{
    return kind == PlatformCallKind::WatchObject || kind == PlatformCallKind::WatchKind;
}

std::optional<bool> isAnswered(PlatformCallKind kind, const CallOutcome& outcome)
{
    if (const auto* error = std::get_if<PlatformError>(&outcome))
        return error->kind == Kind::Rejected ? std::nullopt : std::optional(false);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (!reply)
        return std::nullopt;
    if (reply->status == statusTooManyRequests)
        return isPlatformWrite(kind) ? std::nullopt : std::optional(false);
    return reply->status / 100 != 5;
}

PlatformError convertPlatformError(PlatformCallKind kind, const HttpError& error)
{
    const bool invalid = error.kind == HttpError::Kind::AddressInvalid || error.kind == HttpError::Kind::RequestInvalid;
    if (invalid)
        return { Kind::Rejected, error.detail, std::nullopt };
    const bool unknown = isPlatformWrite(kind) && error.requestMayHaveBeenSent;
    return { unknown ? Kind::OutcomeUnknown : Kind::Unavailable, error.detail, std::nullopt };
}

std::optional<PlatformError> replyError(const ObjectApi& objects, PlatformCallKind kind, const HttpReply& reply)
{
    if (reply.status / 100 == 2)
        return std::nullopt;
    PlatformError error { errorKind(objects, kind, reply), fmt::format("status {}", reply.status), std::nullopt };
    if (error.kind == Kind::Conflict)
        error.currentVersion = std::visit([&reply](const auto& api) { return api.parseVersion(reply); }, objects);
    return error;
}

PlatformError malformedReply(PlatformCallKind kind, std::string detail)
{
    return { isPlatformWrite(kind) ? Kind::OutcomeUnknown : Kind::MalformedReply, std::move(detail), std::nullopt };
}

std::optional<std::vector<CloudPrice>> parseCloudPrices(const std::string& body)
{
    return readEntries(body, { "prices", {}, { "zone", "class", "reclaimable", "onDemand" }, 1 }, toPrice);
}

std::optional<std::vector<CloudNotice>> parseCloudNotices(const std::string& body)
{
    return readEntries(body, { "notices", {}, { "number", "host", "zone", "remainingMs" }, 1 }, toNotice);
}

std::optional<std::vector<CloudHost>> parseCloudHosts(const std::string& body)
{
    return readEntries(body, { "hosts", {}, { "id", "zone", "class", "kind", "state", "role", "address" }, 1 }, toHost);
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
    return toJsonText(body);
}

} // namespace teaselshore
