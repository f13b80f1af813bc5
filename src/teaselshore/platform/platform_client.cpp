#include "teaselshore/platform/platform_client.hpp"

#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "call_runner.hpp"
#include "platform_replies.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/http/percent_encode.hpp"
#include "teaselshore/journal/object_api.hpp"

namespace teaselshore {

namespace {

    using Kind = PlatformCallKind;

    PlatformRequest makeRequest(Kind kind, std::string method, std::string path)
    {
        return { kind, { std::move(method), std::move(path), {}, {} }, {} };
    }

    std::optional<std::optional<StoredObject>> parseWatched(const HttpReply& reply)
    {
        constexpr int noContent = 204;
        if (reply.status == noContent)
            return std::optional<StoredObject>();
        const std::optional<StoredObject> object = KeyedObjects().parseObject(reply);
        if (!object)
            return std::nullopt;
        return object;
    }

    std::optional<std::monostate> parseNothing(const HttpReply&) { return std::monostate(); }

    /// List of a kind that is being read.
    struct KindListing {
        std::string kind;
        ReadFreshness freshness = ReadFreshness::Current;
        PlatformHandler<KindPage> handler;
        PlatformCallId id = 0;
        /// Call of the page that is awaited.
        PlatformCallId page = 0;
        /// Name after which that page begins.
        std::string after;
        /// Objects of the pages so far, and the version of the first page.
        std::vector<KindObject> objects;
        std::optional<std::uint64_t> at;
    };

} // namespace

struct PlatformClient::Impl {
    Impl(EventLoop& loop, const PlatformClientSettings& settings)
        : loop(loop)
        , objects(settings.objects)
        , runner(loop, settings)
        , availability(loop.now())
    {
    }

    /// @brief Starts a call and converts its reply.
    ///
    /// basis is the version that a conditional write expects or a watch goes on from. It is meaningless in another era,
    /// where the same revision may be that of another change.
    template <typename Value, typename Parse>
    PlatformCallId start(PlatformRequest&& request, Parse parse, PlatformHandler<Value> handler,
        std::optional<std::uint64_t> basis = std::nullopt)
    {
        const Kind kind = request.kind;
        if (basis && this->isOutdated(*basis)) {
            this->runner.countFailure(kind);
            return this->refuse<Value>(
                { isPlatformWatch(kind) ? PlatformError::Kind::NotFound : PlatformError::Kind::Conflict,
                    "the platform was restored since the version was read", std::nullopt },
                std::move(handler));
        }
        return this->runner.start(
            std::move(request), [this, kind, parse, basis, handler = std::move(handler)](const CallOutcome& outcome) {
                this->updateAvailability(kind, outcome);
                PlatformResult<Value> result = this->convert<Value>(kind, parse, basis, outcome);
                if (std::holds_alternative<PlatformError>(result))
                    this->runner.countFailure(kind);
                handler(std::move(result));
            });
    }

    /// @brief Ends a call with an error in a later round of the loop.
    template <typename Value> PlatformCallId refuse(const PlatformError& error, PlatformHandler<Value> handler)
    {
        return this->runner.refuse(error, [handler = std::move(handler)](const CallOutcome& outcome) {
            handler(std::get<CallNotSent>(outcome).error);
        });
    }

    void updateAvailability(Kind kind, const CallOutcome& outcome)
    {
        const std::optional<bool> answered = isAnswered(kind, outcome);
        if (!answered)
            return;
        const bool changed = *answered ? this->availability.onAnswer(this->loop.now()) : this->availability.onFailure();
        if (changed && !*answered)
            this->runner.closeIdleConnections();
        if (*answered && this->answeredHandler)
            this->answeredHandler();
        if (!changed)
            return;
        for (const auto& [id, observer] : this->observers)
            observer(*answered);
    }

    bool isOutdated(std::uint64_t version) const { return this->era && eraOf(version) != *this->era; }

    template <typename Value, typename Parse>
    PlatformResult<Value> convert(
        Kind kind, Parse parse, std::optional<std::uint64_t> basis, const CallOutcome& outcome)
    {
        if (const auto* error = std::get_if<PlatformError>(&outcome))
            return *error;
        if (const auto* notSent = std::get_if<CallNotSent>(&outcome))
            return notSent->error;
        const HttpReply& reply = std::get<HttpReply>(outcome);
        if (!this->noticeEra(reply))
            return PlatformError { isPlatformWrite(kind) ? PlatformError::Kind::OutcomeUnknown
                                                         : PlatformError::Kind::Unavailable,
                "reply of before the platform was restored", std::nullopt };
        if (std::optional<PlatformError> error = replyError(this->objects, kind, reply))
            return *error;
        if (basis && this->isOutdated(*basis))
            return PlatformError { isPlatformWrite(kind) ? PlatformError::Kind::OutcomeUnknown
                                                         : PlatformError::Kind::NotFound,
                "the platform was restored since the version was read", std::nullopt };
        this->loop.nameWork("platform reply decoded");
        std::optional<Value> value = parse(reply);
        if (!value)
            return malformedReply(kind, "reply cannot be understood");
        if constexpr (std::is_same_v<Value, KindPage>)
            this->runner.countUnreadableObjects(kind, value->unreadable);
        return std::move(*value);
    }

    /// @brief Starts an object call with the translation of this platform.
    template <typename Value, typename Make, typename Parse>
    PlatformCallId startObjectCall(
        Make make, Parse parse, PlatformHandler<Value> handler, std::optional<std::uint64_t> basis = std::nullopt)
    {
        return std::visit(
            [&](const auto& api) {
                return this->start(
                    make(api), [api, parse](const HttpReply& reply) { return parse(api, reply); }, std::move(handler),
                    basis);
            },
            this->objects);
    }

    /// @brief Starts a call that only platforms with kinds have.
    template <typename Value, typename Make, typename Parse>
    PlatformCallId startKindCall(
        Make make, Parse parse, PlatformHandler<Value> handler, std::optional<std::uint64_t> basis = std::nullopt)
    {
        if (const auto* api = std::get_if<KindedObjects>(&this->objects))
            return this->start(make(*api), parse, std::move(handler), basis);
        return this->refuse<Value>(
            { PlatformError::Kind::Rejected, "the platform has no kinds", std::nullopt }, std::move(handler));
    }

    /// @brief Lists a kind page by page. The listing is known by the call of its first page.
    PlatformCallId list(KindListing listing)
    {
        const auto shared = std::make_shared<KindListing>(std::move(listing));
        shared->id = this->readPage(shared, {});
        this->listings.emplace(shared->id, shared);
        return shared->id;
    }

    PlatformCallId readPage(const std::shared_ptr<KindListing>& listing, const std::string& after)
    {
        listing->after = after;
        listing->page = this->startKindCall<KindPage>(
            [&](const KindedObjects& api) { return api.listKind(listing->kind, after, listing->freshness); },
            KindedObjects::parsePage,
            [this, listing](PlatformResult<KindPage> result) { this->onPage(listing, std::move(result)); });
        return listing->page;
    }

    void onPage(const std::shared_ptr<KindListing>& listing, PlatformResult<KindPage> result)
    {
        auto* page = std::get_if<KindPage>(&result);
        if (page == nullptr) {
            this->endListing(*listing, std::move(result));
            return;
        }
        if (listing->at && eraOf(*listing->at) != eraOf(page->at)) {
            // The pages before are of another era.
            listing->at.reset();
            listing->objects.clear();
            this->readPage(listing, {});
            return;
        }
        // What changes on the earlier pages meanwhile is learnt by watching from the version of the first one.
        listing->at = listing->at.value_or(page->at);
        // A page is followed by those after its last name, so that one without a new name would be read again for ever.
        if (page->hasMore && (page->objects.empty() || page->objects.back().name == listing->after)) {
            this->endListing(*listing, malformedReply(Kind::ListKind, "page without new objects promises more"));
            return;
        }
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(listing->objects));
        if (page->hasMore)
            this->readPage(listing, std::string(listing->objects.back().name));
        else
            this->endListing(*listing, KindPage { std::move(listing->objects), *listing->at, false });
    }

    void endListing(KindListing& listing, PlatformResult<KindPage> result)
    {
        this->listings.erase(listing.id);
        listing.handler(std::move(result));
    }

    void cancel(PlatformCallId call)
    {
        const auto found = this->listings.find(call);
        this->runner.cancel(found == this->listings.end() ? call : found->second->page);
        if (found != this->listings.end())
            this->listings.erase(found);
    }

    /// @brief Returns false for a reply of before the last known restore, or with a result of an unknown era.
    bool noticeEra(const HttpReply& reply)
    {
        const std::optional<std::uint64_t> seen
            = std::visit([&reply](const auto& api) { return api.parseEra(reply); }, this->objects);
        if (!seen)
            return !this->era || reply.status / 100 != 2;
        if (seen <= this->era)
            return seen == this->era;
        const std::optional<std::uint64_t> previous = std::exchange(this->era, seen);
        if (!previous)
            return true;
        logLine(LogLevel::Warning, "platform was restored from an older copy", { { "era", *seen } });
        if (this->restoredHandler)
            this->restoredHandler();
        return true;
    }

    EventLoop& loop;
    ObjectApi objects;
    CallRunner runner;
    PlatformAvailability availability;
    std::map<AvailabilityObserverId, std::function<void(bool available)>> observers;
    AvailabilityObserverId lastObserver = 0;
    std::function<void()> answeredHandler;
    std::unordered_map<PlatformCallId, std::shared_ptr<KindListing>> listings;
    /// Era of the platform, as the latest reply told it.
    std::optional<std::uint64_t> era;
    std::function<void()> restoredHandler;
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
    return this->impl->startObjectCall<StoredObject>([&](const auto& api) { return api.read(key); },
        [](const auto& api, const HttpReply& reply) { return api.parseObject(reply); }, std::move(handler));
}

PlatformCallId PlatformClient::createObject(
    const std::string& key, std::string value, PlatformHandler<std::uint64_t> handler)
{
    return this->impl->startObjectCall<std::uint64_t>(
        [&](const auto& api) { return api.create(key, std::move(value)); },
        [](const auto& api, const HttpReply& reply) { return api.parseVersion(reply); }, std::move(handler));
}

PlatformCallId PlatformClient::updateObject(
    const std::string& key, std::string value, std::uint64_t expected, PlatformHandler<std::uint64_t> handler)
{
    return this->impl->startObjectCall<std::uint64_t>(
        [&](const auto& api) { return api.update(key, std::move(value), expected); },
        [](const auto& api, const HttpReply& reply) { return api.parseVersion(reply); }, std::move(handler), expected);
}

PlatformCallId PlatformClient::deleteObject(
    const std::string& key, std::optional<std::uint64_t> expected, PlatformHandler<std::monostate> handler)
{
    return this->impl->startObjectCall<std::monostate>([&](const auto& api) { return api.remove(key, expected); },
        [](const auto&, const HttpReply& reply) { return parseNothing(reply); }, std::move(handler), expected);
}

PlatformCallId PlatformClient::listObjects(
    const std::string& prefix, PlatformHandler<std::vector<ListedObject>> handler)
{
    return this->impl->startObjectCall<std::vector<ListedObject>>([&](const auto& api) { return api.list(prefix); },
        [](const auto& api, const HttpReply& reply) { return api.parseList(reply); }, std::move(handler));
}

PlatformCallId PlatformClient::listKind(
    const std::string& kind, ReadFreshness freshness, PlatformHandler<KindPage> handler)
{
    KindListing listing;
    listing.kind = kind;
    listing.freshness = freshness;
    listing.handler = std::move(handler);
    return this->impl->list(std::move(listing));
}

PlatformCallId PlatformClient::watchKind(
    const std::string& kind, std::uint64_t after, Duration wait, PlatformHandler<KindPage> handler)
{
    return this->impl->startKindCall<KindPage>(
        [&](const KindedObjects& api) { return api.watchKind(kind, after, wait); }, KindedObjects::parseEvents,
        std::move(handler), after);
}

PlatformCallId PlatformClient::replaceObject(
    const std::string& key, std::string value, PlatformHandler<std::uint64_t> handler)
{
    return this->impl->startKindCall<std::uint64_t>([&](const KindedObjects& api) { return api.replace(key, value); },
        [](const HttpReply& reply) { return KindedObjects().parseVersion(reply); }, std::move(handler));
}

PlatformCallId PlatformClient::writeStatus(const std::string& key, const std::string& status,
    std::optional<std::uint64_t> expected, PlatformHandler<std::uint64_t> handler)
{
    return this->impl->startKindCall<std::uint64_t>(
        [&](const KindedObjects& api) { return api.writeStatus(key, status, expected); },
        [](const HttpReply& reply) { return KindedObjects().parseVersion(reply); }, std::move(handler), expected);
}

PlatformCallId PlatformClient::reportUsage(const UsageReport& report, PlatformHandler<std::monostate> handler)
{
    return this->impl->startKindCall<std::monostate>(
        [&](const KindedObjects& api) { return api.reportUsage(report); }, parseNothing, std::move(handler));
}

PlatformCallId PlatformClient::orderUpstreams(const UpstreamOrder& order, PlatformHandler<std::monostate> handler)
{
    return this->impl->startKindCall<std::monostate>(
        [&](const KindedObjects& api) { return api.orderUpstreams(order); }, parseNothing, std::move(handler));
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

const PlatformAvailability& PlatformClient::availability() const { return this->impl->availability; }

AvailabilityObserverId PlatformClient::observeAvailability(std::function<void(bool available)> observer)
{
    this->impl->observers.emplace(++this->impl->lastObserver, std::move(observer));
    return this->impl->lastObserver;
}

void PlatformClient::stopObserving(AvailabilityObserverId observer) { this->impl->observers.erase(observer); }

void PlatformClient::onAnswered(std::function<void()> handler) { this->impl->answeredHandler = std::move(handler); }

void PlatformClient::onRestored(std::function<void()> handler) { this->impl->restoredHandler = std::move(handler); }

void PlatformClient::cancel(PlatformCallId call) { this->impl->cancel(call); }

void PlatformClient::setBudget(const CallBudgetLimits& limits) { this->impl->runner.setBudget(limits); }

PlatformCallCounts PlatformClient::counts(PlatformCallKind kind) const { return this->impl->runner.counts(kind); }

std::size_t PlatformClient::waitingWatches() const { return this->impl->runner.waitingWatches(); }

} // namespace teaselshore
