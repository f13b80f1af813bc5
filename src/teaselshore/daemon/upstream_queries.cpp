#include "upstream_queries.hpp"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;
    constexpr int hexBase = 16;
    constexpr Duration queryConnectTimeout = std::chrono::milliseconds(300);
    constexpr Duration queryIdleTimeout = std::chrono::milliseconds(700);
    constexpr Duration outcomeIdleTimeout = std::chrono::seconds(2);
    /// Longest reply: cache events are a few tens of bytes each.
    constexpr std::size_t maxReplyBytes = std::size_t { 8 } * 1024 * 1024;

    struct Response {
        int status = 0;
        HttpHeaders headers;
        std::string body;
    };

    Duration millisecondsOf(const Json& value)
    {
        return value.is_number() ? fromSeconds(value.get<double>() / 1000.0) : Duration::zero();
    }

    std::uint32_t countOf(const Json& body, const char* name)
    {
        const auto found = body.find(name);
        return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
    }

    std::optional<LoadReport> parseLoad(const UpstreamId& upstream, const Response& response)
    {
        const Json body = Json::parse(response.body, nullptr, false);
        if (response.status != statusOk || !body.is_object())
            return std::nullopt;
        LoadReport report { upstream, countOf(body, "queued"), countOf(body, "running"), Duration::zero() };
        if (const auto age = body.find("ageMs"); age != body.end())
            report.lag = millisecondsOf(*age);
        return report;
    }

    std::optional<Fingerprint> parseHex(const Json& value)
    {
        if (!value.is_string())
            return std::nullopt;
        const std::string& text = value.get_ref<const std::string&>();
        Fingerprint number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, hexBase);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::optional<CacheEvent> parseCacheEvent(const UpstreamId& upstream, const Json& value)
    {
        if (!value.is_object() || !value.contains("number") || !value["number"].is_number_unsigned())
            return std::nullopt;
        CacheEvent event;
        event.upstream = upstream;
        event.sequence = value["number"].get<std::uint64_t>();
        event.kind = value.value("kind", Json()) == "stored" ? CacheEventKind::Stored : CacheEventKind::Removed;
        for (const Json& block : value.value("blocks", Json::array())) {
            if (const auto hash = parseHex(block))
                event.blocks.push_back(*hash);
        }
        return event;
    }

    std::vector<CacheEvent> parseCacheEvents(const UpstreamId& upstream, const Response& response)
    {
        std::vector<CacheEvent> events;
        const Json body = Json::parse(response.body, nullptr, false);
        if (response.status != statusOk || !body.is_object())
            return events;
        for (const Json& value : body.value("events", Json::array())) {
            if (auto event = parseCacheEvent(upstream, value))
                events.push_back(std::move(*event));
        }
        return events;
    }

    /// The upstream confirms a run with a positive count; it may also return the response of the run.
    std::optional<StoredAnswer> parseOutcome(const Response& response)
    {
        const Json body = Json::parse(response.body, nullptr, false);
        if (response.status != statusOk || !body.is_object() || countOf(body, "count") == 0)
            return std::nullopt;
        return StoredAnswer { statusOk, { { "content-type", "application/json" }, { "x-outcome", "looked-up" } },
            response.body, true };
    }

} // namespace

struct UpstreamQueries::Impl : std::enable_shared_from_this<UpstreamQueries::Impl> {
    Impl(EventLoop& loop, std::function<void(NodeEvent)> emit)
        : emit(std::move(emit))
        , client(HttpClient::create(loop))
    {
    }

    using Done = std::function<void(const std::optional<Response>& response, const HttpError& error)>;

    void get(const std::string& authority, const std::string& path, Duration idleTimeout, const Done& done)
    {
        const auto response = std::make_shared<Response>();
        HttpCallHandlers handlers;
        handlers.onHead = [response](int status, const HttpHeaders& headers) {
            response->status = status;
            response->headers = headers;
        };
        const auto id = std::make_shared<CallId>(0);
        const std::weak_ptr<Impl> weak = this->weak_from_this();
        handlers.onData = [weak, response, done, id](std::string_view bytes) {
            response->body.append(bytes);
            const auto self = weak.lock();
            if (!self || response->body.size() <= maxReplyBytes)
                return;
            self->client->cancel(*id);
            done(std::nullopt, { HttpError::Kind::MalformedReply, "reply is longer than the limit", true });
        };
        handlers.onEnd = [response, done] { done(*response, {}); };
        handlers.onError = [done](const HttpError& error) { done(std::nullopt, error); };
        HttpCall call { authority, { "GET", path, {}, {} }, queryConnectTimeout, idleTimeout };
        call.totalTimeout = queryConnectTimeout + idleTimeout;
        *id = this->client->start(std::move(call), std::move(handlers));
    }

    void readCacheEvents(const UpstreamId& upstream, const std::string& authority)
    {
        const std::uint64_t after = this->lastCacheEvent[upstream];
        const std::weak_ptr<Impl> weak = this->weak_from_this();
        this->get(authority, "/cache-events?after=" + std::to_string(after), queryIdleTimeout,
            [weak, upstream](const std::optional<Response>& response, const HttpError&) {
                const auto self = weak.lock();
                if (!self || !response)
                    return;
                auto events = parseCacheEvents(upstream, *response);
                if (events.empty())
                    return;
                self->lastCacheEvent[upstream] = events.back().sequence;
                self->emit(CacheEventsRead { upstream, std::move(events) });
            });
    }

    std::function<void(NodeEvent)> emit;
    std::unique_ptr<HttpClient> client;
    std::unordered_map<UpstreamId, std::uint64_t> lastCacheEvent;
};

UpstreamQueries::UpstreamQueries(EventLoop& loop, std::function<void(NodeEvent)> emit)
    : impl(std::make_shared<Impl>(loop, std::move(emit)))
{
}

UpstreamQueries::~UpstreamQueries() = default;

void UpstreamQueries::execute(const QueryLoad& query)
{
    const std::weak_ptr<Impl> weak = this->impl;
    this->impl->get(query.authority, "/load", queryIdleTimeout,
        [weak, query](const std::optional<Response>& response, const HttpError& error) {
            const auto self = weak.lock();
            if (!self)
                return;
            LoadQueried result { query.upstream, std::nullopt, false, query.check };
            if (response)
                result.report = parseLoad(query.upstream, *response);
            else
                result.refused = error.kind == HttpError::Kind::ConnectFailed;
            // A process that came back numbers its cache events from the start again.
            if (result.refused)
                self->lastCacheEvent.erase(query.upstream);
            const bool readEvents = query.engine && result.report.has_value();
            self->emit(std::move(result));
            if (readEvents)
                self->readCacheEvents(query.upstream, query.authority);
        });
}

void UpstreamQueries::execute(const QueryOutcome& query)
{
    const std::weak_ptr<Impl> weak = this->impl;
    this->impl->get(query.authority, query.path, outcomeIdleTimeout,
        [weak, query](const std::optional<Response>& response, const HttpError&) {
            const auto self = weak.lock();
            if (!self)
                return;
            OutcomeQueried result { query.request, std::nullopt };
            if (response)
                result.answer = parseOutcome(*response);
            self->emit(std::move(result));
        });
}

} // namespace teaselshore
