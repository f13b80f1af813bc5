#include "teaselshore/ctl/http_fetcher.hpp"

#include <optional>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/http/event_loop.hpp"

namespace teaselshore {

namespace {

    constexpr Duration connectTimeout = std::chrono::seconds(1);
    constexpr Duration idleTimeout = std::chrono::seconds(5);
    /// Bounds the wait for a peer that sends a byte now and then.
    constexpr Duration totalTimeout = std::chrono::seconds(15);
    /// Far above the largest object (1 MB) and the largest admin reply.
    constexpr std::size_t maxReplyBytes = std::size_t { 16 } * 1024 * 1024;

    std::string kindText(HttpError::Kind kind)
    {
        switch (kind) {
        case HttpError::Kind::AddressInvalid:
            return "invalid address";
        case HttpError::Kind::RequestInvalid:
            return "invalid request";
        case HttpError::Kind::ListenFailed:
            return "listen failed";
        case HttpError::Kind::ConnectFailed:
            return "connection failed";
        case HttpError::Kind::Timeout:
            return "timed out";
        case HttpError::Kind::ConnectionClosed:
            return "connection closed";
        case HttpError::Kind::MalformedReply:
            return "malformed reply";
        case HttpError::Kind::Cancelled:
            return "cancelled";
        }
        return "unknown error";
    }

    /// Call in progress.
    struct OpenFetch {
        CallId id = 0;
        HttpReply reply;
        std::optional<FetchResult> result;
    };

} // namespace

struct HttpFetcher::Impl {
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<HttpClient> client;
    std::vector<OpenFetch> open;
    std::size_t unfinished = 0;

    void finish(OpenFetch& fetch, FetchResult result)
    {
        if (fetch.result)
            return;
        fetch.result = std::move(result);
        if (--this->unfinished == 0)
            this->loop->stop();
    }

    void onData(OpenFetch& fetch, std::string_view bytes)
    {
        if (fetch.result)
            return;
        if (fetch.reply.body.size() + bytes.size() > maxReplyBytes) {
            this->finish(fetch, HttpError { HttpError::Kind::MalformedReply, "the reply is too large", true });
            return;
        }
        fetch.reply.body += bytes;
    }

    HttpCallHandlers handlers(OpenFetch& fetch)
    {
        return {
            [&fetch](int status, const HttpHeaders& headers) {
                fetch.reply.status = status;
                fetch.reply.headers = headers;
            },
            [this, &fetch](std::string_view bytes) { this->onData(fetch, bytes); },
            [this, &fetch]() { this->finish(fetch, std::move(fetch.reply)); },
            [this, &fetch](const HttpError& error) { this->finish(fetch, error); },
        };
    }

    void giveUp()
    {
        for (OpenFetch& fetch : this->open) {
            if (!fetch.result)
                this->finish(fetch, HttpError { HttpError::Kind::Timeout, "no complete reply", true });
        }
    }
};

HttpFetcher::HttpFetcher(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

HttpFetcher::~HttpFetcher() = default;

std::unique_ptr<HttpFetcher> HttpFetcher::create()
{
    auto impl = std::make_unique<Impl>();
    impl->loop = EventLoop::create();
    impl->client = HttpClient::create(*impl->loop);
    return std::unique_ptr<HttpFetcher>(new HttpFetcher(std::move(impl)));
}

std::vector<FetchResult> HttpFetcher::fetch(const std::vector<HttpCall>& calls)
{
    if (calls.empty())
        return {};
    Impl& state = *this->impl;
    state.open = std::vector<OpenFetch>(calls.size());
    state.unfinished = calls.size();
    for (std::size_t index = 0; index < calls.size(); ++index)
        state.open[index].id = state.client->start(calls[index], state.handlers(state.open[index]));
    const TimerId timer = state.loop->runAfter(totalTimeout, [&state]() { state.giveUp(); });
    state.loop->run();
    state.loop->cancelTimer(timer);

    std::vector<FetchResult> results;
    for (OpenFetch& fetch : state.open) {
        // Does nothing for a complete call; drops one that was given up.
        state.client->cancel(fetch.id);
        results.push_back(std::move(*fetch.result));
    }
    state.open.clear();
    return results;
}

FetchResult HttpFetcher::fetch(const HttpCall& call) { return std::move(this->fetch(std::vector { call }).front()); }

void HttpFetcher::pause(Duration length)
{
    this->impl->loop->runAfter(length, [this]() { this->impl->loop->stop(); });
    this->impl->loop->run();
}

Instant HttpFetcher::now() const { return this->impl->loop->now(); }

HttpCall makeCall(std::string authority, std::string method, std::string path, std::string body)
{
    HttpCall call;
    call.authority = std::move(authority);
    call.request.method = std::move(method);
    call.request.path = std::move(path);
    call.request.body = std::move(body);
    call.connectTimeout = connectTimeout;
    call.idleTimeout = idleTimeout;
    return call;
}

std::string describe(const HttpError& error)
{
    if (error.detail.empty() || error.detail == kindText(error.kind))
        return kindText(error.kind);
    return fmt::format("{}: {}", kindText(error.kind), error.detail);
}

} // namespace teaselshore
