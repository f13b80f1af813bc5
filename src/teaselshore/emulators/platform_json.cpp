#include "platform_json.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

#include "teaselshore/emulators/json_reply.hpp"

namespace teaselshore {

using nlohmann::json;

namespace {

    std::optional<ObjectCall> putCall(const HttpRequest& request, std::string key)
    {
        const auto ifMatch = request.headers.find("if-match");
        const auto ifNoneMatch = request.headers.find("if-none-match");
        if (ifNoneMatch) {
            if (ifMatch || *ifNoneMatch != "*")
                return std::nullopt;
            return CreateObject { std::move(key), request.body.text() };
        }
        std::optional<std::uint64_t> version;
        if (ifMatch) {
            version = parseNumber(*ifMatch);
            if (!version)
                return std::nullopt;
        }
        return ReplaceObject { std::move(key), request.body.text(), version };
    }

    std::optional<ObjectCall> removeCall(const HttpRequest& request, std::string key)
    {
        const auto ifMatch = request.headers.find("if-match");
        if (!ifMatch)
            return RemoveObject { std::move(key), std::nullopt };
        const auto version = parseNumber(*ifMatch);
        if (!version)
            return std::nullopt;
        return RemoveObject { std::move(key), version };
    }

    int statusCode(ObjectStatus status)
    {
        switch (status) {
        case ObjectStatus::Ok:
            return 200;
        case ObjectStatus::NotFound:
            return 404;
        case ObjectStatus::Conflict:
            return 409;
        case ObjectStatus::TooLarge:
            return 413;
        case ObjectStatus::RateLimited:
            return 429;
        case ObjectStatus::Unavailable:
            return 503;
        case ObjectStatus::NotChanged:
            return 204;
        }
        return 500;
    }

    std::string_view stateName(HostState state)
    {
        switch (state) {
        case HostState::Starting:
            return "starting";
        case HostState::Live:
            return "live";
        case HostState::Departing:
            break;
        }
        return "departing";
    }

    std::optional<DownMode> parseDownMode(const json& value)
    {
        if (value == "close")
            return DownMode::Close;
        if (value == "refuse")
            return DownMode::Refuse;
        if (value == "hang")
            return DownMode::Hang;
        return std::nullopt;
    }

    bool isShare(const json& value) { return value.is_number() && value >= 0 && value <= 1; }

    Duration milliseconds(const json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); }

    bool applyFault(const std::string& name, const json& value, Instant now, PlatformFaults& faults)
    {
        const bool isCount = value.is_number_unsigned();
        if (name == "reset" && value.is_boolean())
            return true;
        if (name == "down" && value.is_boolean())
            faults.objects.down = value.get<bool>();
        else if (name == "downMode" && parseDownMode(value))
            faults.objects.downMode = *parseDownMode(value);
        else if (name == "latencyMs" && isCount)
            faults.objects.latency = milliseconds(value);
        else if (name == "loseAnswers" && isShare(value))
            faults.objects.loseAnswers = value.get<double>();
        else if (name == "forMs" && isCount)
            faults.objects.until = now + milliseconds(value);
        else if (name == "refuseStarts" && isShare(value))
            faults.cloud.refuseStarts = value.get<double>();
        else if (name == "refuseZone" && value.is_string())
            faults.cloud.refuseZone = AvailabilityZone(value.get<std::string>());
        else if (name == "hostListLagMs" && isCount)
            faults.hostListLag = milliseconds(value);
        else
            return false;
        return true;
    }

} // namespace

std::optional<ObjectCall> objectCall(const HttpRequest& request, const RequestTarget& target)
{
    const auto parameter = [&](const char* name) {
        const auto found = target.query.find(name);
        return found == target.query.end() ? std::string() : found->second;
    };
    if (target.path == "/objects" && request.method == "GET")
        return ListObjects { parameter("prefix") };
    if (target.path == "/watch" && request.method == "GET") {
        constexpr std::uint64_t defaultTimeout = 30000;
        constexpr std::uint64_t longestTimeout = 3600000;
        const std::uint64_t timeout = std::min(target.number("timeoutMs").value_or(defaultTimeout), longestTimeout);
        return WatchObject { parameter("key"), target.number("after").value_or(0), std::chrono::milliseconds(timeout) };
    }
    auto key = target.after("/objects/");
    if (!key || key->empty())
        return std::nullopt;
    if (request.method == "GET")
        return ReadObject { *key };
    if (request.method == "PUT")
        return putCall(request, std::move(*key));
    if (request.method == "DELETE")
        return removeCall(request, std::move(*key));
    return std::nullopt;
}

HttpReply objectReply(const ObjectAnswer& answer)
{
    HttpReply reply;
    if (answer.listing) {
        json list = json::array();
        for (const ObjectSummary& summary : *answer.listing)
            list.push_back({ { "key", summary.key }, { "version", summary.version } });
        reply = jsonReply(200, { { "objects", list } });
    } else {
        reply.status = statusCode(answer.status);
        reply.body = answer.value;
        reply.headers.add("content-type", "application/json");
    }
    reply.headers.add("x-object-version", std::to_string(answer.version));
    return reply;
}

bool applyFaults(const json& document, Instant now, PlatformFaults& faults, std::string* problem)
{
    if (document.value("reset", json(false)) == true) {
        faults.objects = {};
        faults.cloud = {};
    }
    for (const auto& [name, value] : document.items()) {
        if (applyFault(name, value, now, faults))
            continue;
        *problem = "unknown fault or wrong value: " + name;
        return false;
    }
    return true;
}

std::optional<Host> parseHost(const json& document)
{
    Host host;
    host.id = HostId(memberText(document, "id"));
    host.zone = AvailabilityZone(memberText(document, "zone"));
    host.hostClass = HostClass(memberText(document, "class"));
    const std::string kind = memberText(document, "kind");
    host.kind = kind == "on-demand" ? HostKind::OnDemand : HostKind::Reclaimable;
    host.state = HostState::Live;
    host.role = memberText(document, "role");
    host.address = memberText(document, "address");
    const bool isKnownKind = kind == "on-demand" || kind == "reclaimable";
    if (host.zone.empty() || host.hostClass.empty() || !isKnownKind)
        return std::nullopt;
    return host;
}

json hostJson(const Host& host)
{
    return { { "id", host.id.value() }, { "zone", host.zone.value() }, { "class", host.hostClass.value() },
        { "kind", host.kind == HostKind::OnDemand ? "on-demand" : "reclaimable" }, { "state", stateName(host.state) },
        { "role", host.role }, { "address", host.address } };
}

json hostsJson(const std::vector<Host>& hosts)
{
    json list = json::array();
    for (const Host& host : hosts)
        list.push_back(hostJson(host));
    return { { "hosts", list } };
}

json pricesJson(const std::vector<HostPrice>& prices)
{
    json list = json::array();
    for (const HostPrice& price : prices) {
        list.push_back({ { "zone", price.zone.value() }, { "class", price.hostClass.value() },
            { "reclaimable", price.reclaimablePerHour }, { "onDemand", price.onDemandPerHour } });
    }
    return { { "prices", list } };
}

json noticesJson(const std::vector<ReclaimNotice>& notices, Instant now)
{
    json list = json::array();
    for (const ReclaimNotice& notice : notices) {
        list.push_back({ { "number", notice.number }, { "host", notice.host.value() }, { "zone", notice.zone.value() },
            { "remainingMs", toMilliseconds(notice.deadline - now) } });
    }
    return { { "notices", list } };
}

json objectStatisticsJson(const ObjectStoreStatistics& statistics)
{
    static constexpr std::array<const char*, objectCallKinds> names { "read", "create", "replace", "remove", "list",
        "watch" };
    json calls = json::object();
    for (std::size_t i = 0; i < objectCallKinds; ++i) {
        const RateMeter& meter = statistics.calls[i];
        calls[names[i]] = { { "total", meter.total() }, { "peakPerSecond", meter.peakPerSecond() } };
    }
    return { { "calls", calls }, { "reads", statistics.reads.total() },
        { "peakReadsPerSecond", statistics.reads.peakPerSecond() }, { "writes", statistics.writes.total() },
        { "peakWritesPerSecond", statistics.writes.peakPerSecond() }, { "conflicts", statistics.conflicts },
        { "rateLimited", statistics.rateLimited }, { "answersLost", statistics.answersLost },
        { "refusedWhileDown", statistics.refusedWhileDown } };
}

std::optional<std::uint32_t> memberNumber(const json& document, const char* name)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_number_unsigned())
        return std::nullopt;
    const std::uint64_t value = found->get<std::uint64_t>();
    if (value > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(value);
}

} // namespace teaselshore
