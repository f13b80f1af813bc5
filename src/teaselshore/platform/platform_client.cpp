#include "teaselshore/platform/platform_client.hpp"

#include <utility>

#include <fmt/format.h>

#include "call_runner.hpp"
#include "platform_replies.hpp"

namespace teaselshore {

namespace {

    using Kind = PlatformCallKind;

    std::string objectPath(const std::string& key) { return "/objects/" + percentEncode(key, true); }

    PlatformRequest makeRequest(Kind kind, std::string method, std::string path)
    {
        return { kind, { std::move(method), std::move(path), {}, {} }, {} };
    }

    std::optional<StoredObject> parseStoredObject(const HttpReply& reply)
    {
        const std::optional<std::uint64_t> version = parseObjectVersion(reply);
        if (!version)
            return std::nullopt;
        return StoredObject { reply.body, *version };
    }

    std::optional<std::optional<StoredObject>> parseWatched(const HttpReply& reply)
    {
        constexpr int noContent = 204;
        if (reply.status == noContent)
            return std::optional<StoredObject>();
        const std::optional<StoredObject> object = parseStoredObject(reply);
        if (!object)
            return std::nullopt;
        return object;
    }

    std::optional<std::monostate> parseNothing(const HttpReply&) { return std::monostate(); }

} // namespace

struct PlatformClient::Impl {
    Impl(EventLoop& loop, const PlatformClientSettings& settings)
        : runner(loop, settings)
    {
    }

    /// @brief Starts a call and converts its reply.
    template <typename Value, typename Parse>
    PlatformCallId start(PlatformRequest&& request, Parse parse, PlatformHandler<Value> handler)
    {
        const Kind kind = request.kind;
        return this->runner.start(std::move(request),
            [this, kind, parse, handler = std::move(handler)](const std::variant<HttpReply, PlatformError>& outcome) {
                PlatformResult<Value> result = convert<Value>(kind, parse, outcome);
                if (std::holds_alternative<PlatformError>(result))
                    this->runner.countFailure(kind);
                handler(std::move(result));
            });
    }

    template <typename Value, typename Parse>
    static PlatformResult<Value> convert(Kind kind, Parse parse, const std::variant<HttpReply, PlatformError>& outcome)
    {
        if (const auto* error = std::get_if<PlatformError>(&outcome))
            return *error;
        const HttpReply& reply = std::get<HttpReply>(outcome);
        if (std::optional<PlatformError> error = replyError(kind, reply))
            return *error;
        std::optional<Value> value = parse(reply);
        if (!value)
            return malformedReply(kind, "reply cannot be understood");
        return std::move(*value);
    }

    CallRunner runner;
};

std::unique_ptr<PlatformClient> PlatformClient::create(EventLoop& loop, const PlatformClientSettings& settings)
{
    return std::unique_ptr<PlatformClient>(new PlatformClient(std::make_unique<Impl>(loop, settings)));
}

PlatformClient::PlatformClient(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PlatformClient::~PlatformClient() = default;

PlatformCallId PlatformClient::readObject(const std::string& key, PlatformHandler<StoredObject> handler)
{
    return this->impl->start(
        makeRequest(Kind::ReadObject, "GET", objectPath(key)), parseStoredObject, std::move(handler));
}

PlatformCallId PlatformClient::createObject(
    const std::string& key, std::string value, PlatformHandler<std::uint64_t> handler)
{
    PlatformRequest request = makeRequest(Kind::CreateObject, "PUT", objectPath(key));
    request.request.headers.add("if-none-match", "*");
    request.request.body = std::move(value);
    return this->impl->start(std::move(request), parseObjectVersion, std::move(handler));
}

PlatformCallId PlatformClient::updateObject(
    const std::string& key, std::string value, std::uint64_t expected, PlatformHandler<std::uint64_t> handler)
{
    PlatformRequest request = makeRequest(Kind::UpdateObject, "PUT", objectPath(key));
    request.request.headers.add("if-match", std::to_string(expected));
    request.request.body = std::move(value);
    return this->impl->start(std::move(request), parseObjectVersion, std::move(handler));
}

PlatformCallId PlatformClient::deleteObject(
    const std::string& key, std::optional<std::uint64_t> expected, PlatformHandler<std::monostate> handler)
{
    PlatformRequest request = makeRequest(Kind::DeleteObject, "DELETE", objectPath(key));
    if (expected)
        request.request.headers.add("if-match", std::to_string(*expected));
    return this->impl->start(std::move(request), parseNothing, std::move(handler));
}

PlatformCallId PlatformClient::listObjects(
    const std::string& prefix, PlatformHandler<std::vector<ListedObject>> handler)
{
    PlatformRequest request = makeRequest(Kind::ListObjects, "GET", "/objects?prefix=" + percentEncode(prefix, false));
    return this->impl->start(
        std::move(request), [](const HttpReply& reply) { return parseListedObjects(reply.body); }, std::move(handler));
}

PlatformCallId PlatformClient::watchObject(
    const std::string& key, std::uint64_t after, Duration wait, PlatformHandler<std::optional<StoredObject>> handler)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    PlatformRequest request = makeRequest(Kind::WatchObject, "GET",
        fmt::format("/watch?key={}&after={}&timeoutMs={}", percentEncode(key, false), after, milliseconds));
    request.wait = wait;
    return this->impl->start(std::move(request), parseWatched, std::move(handler));
}

PlatformCallId PlatformClient::readPrices(PlatformHandler<std::vector<CloudPrice>> handler)
{
    return this->impl->start(
        makeRequest(Kind::ReadPrices, "GET", "/cloud/prices"),
        [](const HttpReply& reply) { return parseCloudPrices(reply.body); }, std::move(handler));
}

PlatformCallId PlatformClient::readNotices(std::uint64_t after, PlatformHandler<std::vector<CloudNotice>> handler)
{
    return this->impl->start(
        makeRequest(Kind::ReadNotices, "GET", fmt::format("/cloud/notices?after={}", after)),
        [](const HttpReply& reply) { return parseCloudNotices(reply.body); }, std::move(handler));
}

PlatformCallId PlatformClient::readHosts(PlatformHandler<std::vector<CloudHost>> handler)
{
    return this->impl->start(
        makeRequest(Kind::ReadHosts, "GET", "/hosts"),
        [](const HttpReply& reply) { return parseCloudHosts(reply.body); }, std::move(handler));
}

PlatformCallId PlatformClient::startHost(const CloudHostRequest& request, PlatformHandler<CloudHost> handler)
{
    PlatformRequest call = makeRequest(Kind::StartHost, "POST", "/cloud/hosts");
    call.request.headers.add("content-type", "application/json");
    call.request.body = hostRequestBody(request);
    return this->impl->start(
        std::move(call), [](const HttpReply& reply) { return parseCloudHost(reply.body); }, std::move(handler));
}

PlatformCallId PlatformClient::stopHost(const std::string& id, PlatformHandler<std::monostate> handler)
{
    return this->impl->start(makeRequest(Kind::StopHost, "DELETE", "/cloud/hosts/" + percentEncode(id, false)),
        parseNothing, std::move(handler));
}

void PlatformClient::cancel(PlatformCallId call) { this->impl->runner.cancel(call); }

void PlatformClient::setBudget(const CallBudgetLimits& limits) { this->impl->runner.setBudget(limits); }

PlatformCallCounts PlatformClient::counts(PlatformCallKind kind) const { return this->impl->runner.counts(kind); }

std::size_t PlatformClient::waitingWatches() const { return this->impl->runner.waitingWatches(); }

} // namespace teaselshore
