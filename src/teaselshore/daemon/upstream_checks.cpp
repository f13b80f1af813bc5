#include "upstream_checks.hpp"

#include <optional>
#include <utility>

#include "header_conversion.hpp"
#include "platform/caller_codec.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {

namespace {

    /// For a connection between zones, with its first packet sent twice.
    constexpr Duration checkConnectTimeout = std::chrono::milliseconds(250);
    /// A busy upstream may answer no sooner; it then counts as unknown.
    constexpr Duration checkIdleTimeout = std::chrono::milliseconds(250);

} // namespace

struct UpstreamChecks::Impl {
    Impl(EventLoop& loop, std::function<void(UpstreamChecked)> emit)
        : emit(std::move(emit))
        , client(HttpClient::create(loop))
    {
    }

    std::function<void(UpstreamChecked)> emit;
    std::unique_ptr<HttpClient> client;
};

UpstreamChecks::UpstreamChecks(EventLoop& loop, std::function<void(UpstreamChecked)> emit)
    : impl(std::make_shared<Impl>(loop, std::move(emit)))
{
}

UpstreamChecks::~UpstreamChecks() = default;

void UpstreamChecks::execute(const CheckUpstream& check)
{
    using State = UpstreamChecked::State;

    HttpCall call;
    call.authority = check.authority;
    call.request.method = "GET";
    call.request.path = check.path;
    for (const auto& [name, value] : encodeCheckHeaders(check.instance))
        call.request.headers.add(name, value);
    // The connection is of no further use.
    call.request.headers.add("connection", "close");
    call.connectTimeout = checkConnectTimeout;
    call.idleTimeout = checkIdleTimeout;
    call.totalTimeout = checkConnectTimeout + checkIdleTimeout;
    call.acceptUnframedReply = true;

    const std::weak_ptr<Impl> weak = this->impl;
    const auto id = std::make_shared<CallId>(0);
    const auto conclude
        = [weak, upstream = check.upstream](State state, bool isReached, std::optional<Duration> coldFor) {
              if (const auto self = weak.lock())
                  self->emit({ upstream, state, isReached, coldFor });
          };
    HttpCallHandlers handlers;
    handlers.onHead = [weak, id, conclude](int status, const HttpHeaders& headers) {
        // The body says nothing more and may have no end.
        if (const auto self = weak.lock())
            self->client->cancel(*id);
        const ResponseFacts facts = decodeResponseFacts(status, toHeaderList(headers));
        conclude(facts.wrongInstance ? State::Ended : State::Answered, true, facts.coldFor);
    };
    handlers.onError = [conclude](const HttpError& error) {
        const bool isRefused = error.kind == HttpError::Kind::ConnectFailed;
        conclude(isRefused ? State::Ended : State::Unknown, error.requestMayHaveBeenSent, {});
    };
    *id = this->impl->client->start(std::move(call), std::move(handlers));
}

} // namespace teaselshore
