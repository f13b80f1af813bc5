#include "teaselshore/emulators/platform_server.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "platform_json.hpp"
#include "teaselshore/emulators/host_list.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/target.hpp"
#include "teaselshore/emulators/tick_timer.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    HttpReply notFound() { return errorReply(404, "not_found", "no such resource"); }

    std::optional<Instant> earlier(std::optional<Instant> first, std::optional<Instant> second)
    {
        if (!first || !second)
            return first ? first : second;
        return std::min(*first, *second);
    }

} // namespace

struct PlatformServer::Impl {
    Impl(EventLoop& loop, const PlatformSettings& settings, std::uint64_t seed)
        : loop(loop)
        , objects(settings.objects, seed)
        , cloud(settings.cloud, seed)
        , hostList(settings.hostListLag)
        , weights(settings.weights)
        , timer(loop, [this] { this->tick(); })
    {
        for (const Host& host : settings.hosts)
            this->cloud.onRegister(host, loop.now());
        this->feedHostList();
    }

    void handle(const std::shared_ptr<ServerExchange>& exchange);
    void callObjects(const std::shared_ptr<ServerExchange>& exchange, const ObjectCall& call);
    void fetchWeights(const std::shared_ptr<ServerExchange>& exchange, const std::string& model);
    HttpReply answer(const HttpRequest& request, const RequestTarget& target);
    HttpReply get(const RequestTarget& target);
    HttpReply post(const RequestTarget& target, const json& body);
    HttpReply stopHost(const HostId& id);
    HttpReply startHost(const json& body);
    HttpReply registerHost(const json& body);
    HttpReply reclaim(const json& body);
    HttpReply faults(const json& body);
    HttpReply statistics() const;
    void deliver(std::vector<ObjectDelivery> deliveries);
    void end(const ObjectDelivery& delivery);
    void feedHostList();
    void tick();
    void arm();

    EventLoop& loop;
    ObjectStore objects;
    CloudModel cloud;
    CloudFaults cloudFaults;
    HostList hostList;
    WeightStore weights;
    std::map<ObjectCallId, std::shared_ptr<ServerExchange>> calls;
    ObjectCallId lastCall = 0;
    TickTimer timer;
    std::unique_ptr<HttpServer> server;
};

std::unique_ptr<PlatformServer> PlatformServer::listen(EventLoop& loop, const HttpServerSettings& address,
    const PlatformSettings& platform, std::uint64_t seed, HttpError* error)
{
    auto impl = std::make_unique<Impl>(loop, platform, seed);
    Impl* state = impl.get();
    impl->server = HttpServer::listen(
        loop, address, [state](const std::shared_ptr<ServerExchange>& exchange) { state->handle(exchange); }, error);
    if (!impl->server)
        return nullptr;
    return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(impl)));
}

PlatformServer::PlatformServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PlatformServer::~PlatformServer() = default;

std::uint16_t PlatformServer::port() const { return this->impl->server->port(); }

ServingHooks PlatformServer::hooks()
{
    HttpServer* server = this->impl->server.get();
    return { [server] { server->stopAccepting(); }, [server] { return server->openExchanges(); } };
}

void PlatformServer::Impl::handle(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    const RequestTarget target = parseTarget(request.path);
    if (target.path == "/objects" || target.path == "/watch" || target.path.starts_with("/objects/")) {
        const auto call = objectCall(request, target);
        if (call)
            this->callObjects(exchange, *call);
        else
            exchange->reply(errorReply(400, "bad_request", "malformed call of the object API"));
    } else if (const auto model = target.after("/weights/"); model && request.method == "GET") {
        this->fetchWeights(exchange, *model);
    } else {
        exchange->reply(this->answer(request, target));
    }
    this->feedHostList();
    this->arm();
}

void PlatformServer::Impl::callObjects(const std::shared_ptr<ServerExchange>& exchange, const ObjectCall& call)
{
    const ObjectCallId id = ++this->lastCall;
    this->calls.emplace(id, exchange);
    exchange->onClosed([this, id] {
        this->calls.erase(id);
        this->objects.onCallerGone(id);
    });
    this->deliver(this->objects.onCall(id, call, this->loop.now()));
}

void PlatformServer::Impl::fetchWeights(const std::shared_ptr<ServerExchange>& exchange, const std::string& model)
{
    const auto fetch = this->weights.onFetch(model, this->loop.now());
    if (!fetch) {
        exchange->reply(errorReply(429, "rate_limited", "too many fetches"));
        return;
    }
    this->loop.runAfter(fetch->duration, [exchange, fetch = *fetch] {
        exchange->reply(jsonReply(200, { { "model", fetch.model }, { "bytes", fetch.bytes } }));
    });
}

HttpReply PlatformServer::Impl::answer(const HttpRequest& request, const RequestTarget& target)
{
    if (request.method == "GET")
        return this->get(target);
    if (request.method == "DELETE") {
        for (const std::string_view prefix : { "/cloud/hosts/", "/hosts/" }) {
            if (const auto id = target.after(prefix))
                return this->stopHost(HostId(*id));
        }
        return notFound();
    }
    const auto body = parseObject(request.body);
    if (request.method != "POST" || !body)
        return errorReply(400, "bad_request", "expected POST with a JSON object");
    return this->post(target, *body);
}

HttpReply PlatformServer::Impl::get(const RequestTarget& target)
{
    const Instant now = this->loop.now();
    if (target.path == "/cloud/prices")
        return jsonReply(200, pricesJson(this->cloud.prices()));
    if (target.path == "/cloud/hosts")
        return jsonReply(200, hostsJson(this->cloud.hosts()));
    if (target.path == "/cloud/notices")
        return jsonReply(200, noticesJson(this->cloud.noticesAfter(target.number("after").value_or(0)), now));
    if (target.path == "/hosts")
        return jsonReply(200, hostsJson(this->hostList.view(now)));
    if (target.path == "/stats")
        return this->statistics();
    return notFound();
}

HttpReply PlatformServer::Impl::post(const RequestTarget& target, const json& body)
{
    if (target.path == "/cloud/hosts")
        return this->startHost(body);
    if (target.path == "/hosts")
        return this->registerHost(body);
    if (target.path == "/cloud/reclaim")
        return this->reclaim(body);
    if (target.path == "/faults")
        return this->faults(body);
    return notFound();
}

HttpReply PlatformServer::Impl::stopHost(const HostId& id)
{
    if (!this->cloud.onStop(id, this->loop.now()))
        return errorReply(404, "not_found", "no such host");
    return jsonReply(200, json::object());
}

HttpReply PlatformServer::Impl::startHost(const json& body)
{
    const auto host = parseHost(body);
    if (!host)
        return errorReply(400, "bad_request", "expected zone, class and kind (reclaimable or on-demand)");
    HostStartError error {};
    const auto started = this->cloud.onStart(
        { host->zone, host->hostClass, host->kind, host->role, host->address }, this->loop.now(), &error);
    if (started)
        return jsonReply(201, hostJson(*started));
    if (error == HostStartError::UnknownOffer)
        return errorReply(404, "unknown_offer", "no such offer in this zone");
    return errorReply(503, "start_refused", "no capacity for this offer");
}

HttpReply PlatformServer::Impl::registerHost(const json& body)
{
    const auto host = parseHost(body);
    if (!host || host->id.empty())
        return errorReply(400, "bad_request", "expected id, zone, class and kind (reclaimable or on-demand)");
    this->cloud.onRegister(*host, this->loop.now());
    return jsonReply(201, hostJson(*host));
}

HttpReply PlatformServer::Impl::reclaim(const json& body)
{
    const Instant now = this->loop.now();
    const Duration notice = std::chrono::milliseconds(memberNumber(body, "noticeMs").value_or(5000));
    const std::string zone = memberText(body, "zone");
    const std::string host = memberText(body, "host");
    if (zone.empty() == host.empty())
        return errorReply(400, "bad_request", "expected either zone or host");
    if (!zone.empty())
        return jsonReply(200, { { "hosts", this->cloud.onReclaimZone(AvailabilityZone(zone), notice, now) } });
    if (!this->cloud.onReclaimHost(HostId(host), notice, now))
        return errorReply(404, "not_found", "no such host");
    return jsonReply(200, { { "hosts", 1 } });
}

HttpReply PlatformServer::Impl::faults(const json& body)
{
    PlatformFaults faults { this->objects.faults(), this->cloudFaults, std::nullopt };
    std::string problem;
    if (!applyFaults(body, this->loop.now(), faults, &problem))
        return errorReply(400, "bad_request", problem);
    this->deliver(this->objects.onFaults(faults.objects, this->loop.now()));
    this->cloudFaults = faults.cloud;
    this->cloud.onFaults(faults.cloud);
    if (faults.hostListLag)
        this->hostList.setLag(*faults.hostListLag);
    return jsonReply(200, json::object());
}

HttpReply PlatformServer::Impl::statistics() const
{
    return jsonReply(200,
        { { "objects", objectStatisticsJson(this->objects.statistics()) }, { "objectCount", this->objects.size() },
            { "waitingWatches", this->objects.waitingWatches() },
            { "weights",
                { { "fetches", this->weights.fetches().total() },
                    { "peakPerSecond", this->weights.fetches().peakPerSecond() },
                    { "rejected", this->weights.rejected() } } },
            { "cloud",
                { { "spend", this->cloud.spend(this->loop.now()) }, { "hosts", this->cloud.hosts().size() },
                    { "startsRefused", this->cloud.startsRefused() } } } });
}

void PlatformServer::Impl::deliver(std::vector<ObjectDelivery> deliveries)
{
    for (ObjectDelivery& delivery : deliveries) {
        if (delivery.delay == Duration::zero()) {
            this->end(delivery);
            continue;
        }
        const Duration delay = delivery.delay;
        this->loop.runAfter(delay, [this, delivery = std::move(delivery)] { this->end(delivery); });
    }
}

void PlatformServer::Impl::end(const ObjectDelivery& delivery)
{
    if (delivery.outcome == ObjectOutcome::Hangs)
        return;
    const auto node = this->calls.extract(delivery.call);
    if (node.empty())
        return;
    if (delivery.outcome == ObjectOutcome::ConnectionClosed)
        node.mapped()->abort();
    else
        node.mapped()->reply(objectReply(delivery.answer));
}

void PlatformServer::Impl::feedHostList()
{
    const Instant now = this->loop.now();
    for (HostChange& change : this->cloud.takeChanges())
        this->hostList.onChange(std::move(change), now);
}

void PlatformServer::Impl::tick()
{
    const Instant now = this->loop.now();
    this->deliver(this->objects.onTick(now));
    this->cloud.onTick(now);
    this->feedHostList();
    this->arm();
}

void PlatformServer::Impl::arm() { this->timer.armAt(earlier(this->objects.nextTick(), this->cloud.nextTick())); }

} // namespace teaselshore
