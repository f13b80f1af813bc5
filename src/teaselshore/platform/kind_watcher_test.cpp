#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "teaselshore/http/http_server.hpp"
#include "teaselshore/platform/kind_watcher.hpp"
#include "teaselshore/platform/outage_probe.hpp"

namespace teaselshore {
namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    /// Object API with one kind, whose watches answer at once if there is news and are kept waiting otherwise.
    class KindWatcherTest : public testing::Test {
    protected:
        KindWatcherTest()
            : loop(EventLoop::create())
        {
            HttpError error;
            this->server = HttpServer::listen(
                *this->loop, {}, [this](const auto& exchange) { this->answer(exchange); }, &error);
            this->connect(300ms);
        }

        void connect(Duration callTimeout)
        {
            PlatformClientSettings settings;
            settings.authority = "127.0.0.1:" + std::to_string(this->server->port());
            settings.objects = KindedObjects {};
            settings.budget = { 1000, 1000, 1000, 1000 };
            settings.callTimeout = callTimeout;
            this->client = PlatformClient::create(*this->loop, settings);
        }

        void start(std::optional<Duration> pollEvery = std::nullopt, Duration wait = 200ms)
        {
            KindWatcherSettings settings;
            settings.pollEvery = pollEvery;
            settings.wait = wait;
            settings.firstBackoff = 10ms;
            KindWatcherHandlers handlers;
            handlers.onListed = [this](const auto& objects) {
                ++this->lists;
                this->lastListed = objects.size();
                this->listedAfterOutage = this->client->availability().returns() > 0;
            };
            handlers.onChanged = [this](const auto& objects) {
                for (const KindObject& object : objects)
                    this->changes.push_back(object.name + (object.deleted ? " deleted" : ""));
                this->changedAfterOutage = this->client->availability().returns() > 0;
            };
            handlers.onReachable = [this](bool reachable, const std::string&) { this->reachable.push_back(reachable); };
            this->watcher = std::make_unique<KindWatcher>(
                *this->loop, *this->client, "servers", settings, std::move(handlers), RandomSource(3));
        }

        void put(const std::string& name, bool deleted = false, const std::string& spec = "{}")
        {
            ++this->revision;
            this->history.push_back({ name, this->revision, deleted, spec });
            if (this->waiting)
                this->reply(std::exchange(this->waiting, nullptr), this->waitingFrom);
        }

        bool runUntil(const std::function<bool()>& condition)
        {
            const Instant end = this->loop->now() + 5s;
            std::function<void()> check = [&] {
                if (condition() || this->loop->now() >= end)
                    this->loop->stop();
                else
                    this->loop->runAfter(1ms, check);
            };
            this->loop->post(check);
            this->loop->run();
            return condition();
        }

        struct Change {
            std::string name;
            std::uint64_t revision = 0;
            bool deleted = false;
            /// Text in place of the object's value, which need not be valid.
            std::string spec;
        };

        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<PlatformClient> client;
        std::unique_ptr<KindWatcher> watcher;
        std::vector<Change> history;
        std::uint64_t revision = 10;
        /// Changes up to this revision are forgotten.
        std::uint64_t forgotten = 0;
        bool down = false;
        /// Calls get no reply, also those that are waiting.
        bool silent = false;
        /// Watches are refused, and other calls are answered.
        bool refusesWatches = false;
        std::vector<std::shared_ptr<ServerExchange>> unanswered;
        int rolloutLists = 0;
        /// The next reply to a watch is only half of one.
        bool nextEventsAreCut = false;
        /// Told in all replies if set.
        std::optional<std::uint64_t> era;
        int watchCalls = 0;
        int staleLists = 0;
        std::shared_ptr<ServerExchange> waiting;
        std::uint64_t waitingFrom = 0;

        int lists = 0;
        std::size_t lastListed = 0;
        bool listedAfterOutage = false;
        bool changedAfterOutage = false;
        std::vector<std::string> changes;
        std::vector<bool> reachable;

    private:
        HttpHeaders eraField() const
        {
            return this->era ? HttpHeaders { { "store-era", std::to_string(*this->era) } } : HttpHeaders();
        }

        static std::string object(const Change& change)
        {
            const json metadata { { "name", change.name }, { "revision", change.revision } };
            return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + change.spec + "}";
        }

        static std::string joined(const std::vector<std::string>& texts)
        {
            std::string result;
            for (const std::string& text : texts)
                result += (result.empty() ? "" : ",") + text;
            return result;
        }

        void answer(const std::shared_ptr<ServerExchange>& exchange)
        {
            const std::string& path = exchange->request().path;
            this->rolloutLists += path == "/objects/rollouts" ? 1 : 0;
            if (this->silent) {
                this->watchCalls += path.find("watch=") == std::string::npos ? 0 : 1;
                this->unanswered.push_back(exchange);
                return;
            }
            if (this->down) {
                exchange->reply({ 503, this->eraField(), {} });
                return;
            }
            const std::size_t watch = path.find("watch=");
            if (watch == std::string::npos) {
                this->staleLists += path.find("allow_stale=1") == std::string::npos ? 0 : 1;
                std::map<std::string, Change> current;
                for (const Change& change : this->history) {
                    if (change.deleted)
                        current.erase(change.name);
                    else
                        current[change.name] = change;
                }
                std::vector<std::string> items;
                items.reserve(current.size());
                for (const auto& [name, change] : current)
                    items.push_back(object(change));
                exchange->reply({ 200, this->eraField(),
                    R"({"items":[)" + joined(items) + R"(],"has_more":false,"at":)" + std::to_string(this->revision)
                        + "}" });
                return;
            }
            ++this->watchCalls;
            if (this->refusesWatches) {
                exchange->reply({ 503, this->eraField(), {} });
                return;
            }
            const std::uint64_t from = std::stoull(path.substr(watch + 6));
            if (from < this->forgotten) {
                exchange->reply({ 410, this->eraField(), {} });
                return;
            }
            if (from < this->revision) {
                this->reply(exchange, from);
                return;
            }
            this->waiting = exchange;
            this->waitingFrom = from;
        }

        void reply(const std::shared_ptr<ServerExchange>& exchange, std::uint64_t from)
        {
            std::vector<std::string> events;
            for (const Change& change : this->history) {
                if (change.revision > from)
                    events.push_back(std::string(R"({"deleted":)") + (change.deleted ? "true" : "false")
                        + R"(,"object":)" + object(change) + "}");
            }
            std::string text = R"({"events":[)" + joined(events) + R"(],"at":)" + std::to_string(this->revision) + "}";
            if (std::exchange(this->nextEventsAreCut, false))
                text.resize(text.size() / 2);
            exchange->reply({ 200, this->eraField(), std::move(text) });
        }
    };

    // Guards against changes that are missed between the list and the watch, or between two watches.
    TEST_F(KindWatcherTest, ReportsEachChangeOnceAndInOrder)
    {
        this->put("a");
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        EXPECT_EQ(this->lastListed, 1u);
        this->put("b");
        this->put("a", true);
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 2; }));
        this->put("c");
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 3; }));
        EXPECT_EQ(this->changes, (std::vector<std::string> { "b", "a deleted", "c" }));
        EXPECT_EQ(this->lists, 1);
        EXPECT_FALSE(this->changedAfterOutage);
    }

    // Load pattern: the upstreams of a zone change one by one within milliseconds, as at a reclaim. Guards against a
    // call of each node for each of them.
    TEST_F(KindWatcherTest, ReadsChangesThatComeTogetherInFewCalls)
    {
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        const int before = this->watchCalls;
        constexpr int changed = 40;
        for (int number = 0; number < changed; ++number) {
            this->loop->runAfter(
                std::chrono::milliseconds(number), [this, number] { this->put("upstream-" + std::to_string(number)); });
        }
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == changed; }));
        EXPECT_LE(this->watchCalls - before, 3);
    }

    // Guards against an entry of another writer that hides the changes of all other objects from a running node, and
    // against one that keeps a node that starts from its first list.
    TEST_F(KindWatcherTest, UnreadableObjectsHideNoOthers)
    {
        this->put("a");
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->put("odd", false, R"({"service":"\udc80"})");
        this->put("cut", false, R"({"service":)");
        this->put("b");
        this->put("a", true);
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 4; }));
        EXPECT_EQ(this->changes, (std::vector<std::string> { "odd", "cut", "b", "a deleted" }));
        EXPECT_EQ(this->client->counts(PlatformCallKind::WatchKind).unreadableObjects, 2u);
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->lists == 2; }));
        EXPECT_EQ(this->lastListed, 3u);
    }

    // Guards against changes that are missed since the name of the changed object could not be read.
    TEST_F(KindWatcherTest, ListsAgainWhenItIsUnknownWhatChanged)
    {
        this->put("a");
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->waiting->reply({ 200, {}, R"({"events":[{"deleted":true}],"at":12})" });
        this->waiting = nullptr;
        ASSERT_TRUE(this->runUntil([this] { return this->lists == 2; }));
        EXPECT_EQ(this->client->counts(PlatformCallKind::WatchKind).unreadableObjects, 1u);
    }

    // Guards against a node that asks for the same unreadable events for good.
    TEST_F(KindWatcherTest, ListsAgainWhenTheEventsCannotBeRead)
    {
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->nextEventsAreCut = true;
        this->put("a");
        ASSERT_TRUE(this->runUntil([this] { return this->lists == 2; }));
        EXPECT_EQ(this->lastListed, 1u);
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->put("b");
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
    }

    // Guards against changes that are lost with the history of the platform.
    TEST_F(KindWatcherTest, ListsAgainWhenTheHistoryIsGone)
    {
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->waiting->reply({ 503, {}, {} });
        this->waiting = nullptr;
        this->put("a");
        this->forgotten = this->revision;
        ASSERT_TRUE(this->runUntil([this] { return this->lists == 2; }));
        EXPECT_EQ(this->lastListed, 1u);
        EXPECT_TRUE(this->listedAfterOutage);
    }

    // Guards against changes that are missed since the platform was restored from an older copy and has meanwhile given
    // out revisions beyond the one that the watch goes on from.
    TEST_F(KindWatcherTest, ListsAgainWhenThePlatformIsRestored)
    {
        this->era = 1;
        this->put("a");
        this->put("b");
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->waiting->reply({ 503, {}, {} });
        this->waiting = nullptr;
        // The copy lacks b; c comes before the revision that was reached in the earlier era, d after it.
        this->era = 2;
        this->history.pop_back();
        this->revision = 11;
        this->put("c");
        this->put("d");
        ASSERT_TRUE(this->runUntil([this] { return this->lists == 2; }));
        EXPECT_EQ(this->lastListed, 3u);
        EXPECT_TRUE(this->listedAfterOutage);
        this->put("e");
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
        EXPECT_EQ(this->changes, (std::vector<std::string> { "e" }));
    }

    // Guards against an outage that costs the changes made meanwhile, or that nobody is told of.
    TEST_F(KindWatcherTest, GoesOnWhereItStoppedAfterAnOutage)
    {
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->down = true;
        this->waiting->reply({ 503, {}, {} });
        this->waiting = nullptr;
        ASSERT_TRUE(this->runUntil([this] { return !this->reachable.empty(); }));
        this->put("a");
        this->down = false;
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
        EXPECT_EQ(this->reachable, (std::vector<bool> { false, true }));
        EXPECT_EQ(this->lists, 1);
        EXPECT_TRUE(this->changedAfterOutage);
    }

    // Guards against a kind that nothing waits for and that costs as much as a watched one, and against polling that
    // stops after a failure.
    TEST_F(KindWatcherTest, PollsFromStaleData)
    {
        this->put("a");
        this->start(20ms);
        ASSERT_TRUE(this->runUntil([this] { return this->lists >= 3; }));
        this->down = true;
        ASSERT_TRUE(this->runUntil([this] { return !this->reachable.empty(); }));
        this->down = false;
        this->put("b");
        ASSERT_TRUE(this->runUntil([this] { return this->lastListed == 2; }));
        EXPECT_EQ(this->watchCalls, 0);
        EXPECT_EQ(this->staleLists, this->lists);
    }

    // Guards against changes that are learnt late since the call that was open when the platform returned is waited
    // for: it gets no answer, and takes as long as a watch.
    TEST_F(KindWatcherTest, ReadsSoonAfterTheReturnThoughItsCallIsOpen)
    {
        constexpr Duration probePeriod = 100ms;
        const OutageProbe probe(
            *this->loop, *this->client, "rollouts", probePeriod, RandomSource(5), [](const auto&) {});
        this->start(std::nullopt, 1s);
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->silent = true;
        this->unanswered.push_back(std::exchange(this->waiting, nullptr));
        ASSERT_TRUE(this->runUntil([this] { return !this->reachable.empty(); }));
        const std::size_t open = this->unanswered.size();
        ASSERT_TRUE(this->runUntil([&] { return this->unanswered.size() > open; }));
        this->put("a");
        this->silent = false;
        const Instant returned = this->loop->now();
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
        EXPECT_LT(this->loop->now() - returned, 500ms);
        EXPECT_TRUE(this->changedAfterOutage);
        EXPECT_EQ(this->client->availability().lastOutage().returned >= returned, true);
    }

    // Guards against a watch that was lost with its connection and is waited for though another call has shown that.
    TEST_F(KindWatcherTest, ReadsAgainWhenAnotherCallEndsAnOutage)
    {
        this->start(std::nullopt, 4s);
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        this->unanswered.push_back(std::exchange(this->waiting, nullptr));
        this->put("a");
        this->down = true;
        bool failed = false;
        this->client->listKind("nodes", ReadFreshness::Current, [&](const auto&) { failed = true; });
        ASSERT_TRUE(this->runUntil([&] { return failed; }));
        this->down = false;
        const Instant returned = this->loop->now();
        this->client->listKind("nodes", ReadFreshness::Current, [](const auto&) {});
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
        EXPECT_LT(this->loop->now() - returned, 500ms);
        EXPECT_EQ(this->reachable, (std::vector<bool> { false, true }));
    }

    // Guards against calls without a pause when only the watcher's own calls fail.
    TEST_F(KindWatcherTest, KeepsToItsDelaysWhileOtherCallsAreAnswered)
    {
        const OutageProbe probe(*this->loop, *this->client, "rollouts", 20ms, RandomSource(5), [](const auto&) {});
        this->refusesWatches = true;
        this->start();
        const Instant begun = this->loop->now();
        ASSERT_TRUE(this->runUntil([&] { return this->loop->now() - begun > 1s; }));
        // 10, 20, 40 ms and so on up to 600 ms, each shortened by up to half.
        EXPECT_GE(this->watchCalls, 5);
        EXPECT_LE(this->watchCalls, 10);
    }

    // Guards against probes that go on after the outage, and against more of them than their period allows.
    TEST_F(KindWatcherTest, ProbesDuringAnOutageOnly)
    {
        // The server has the thread of the client: when the process is kept waiting, its calls must not count as an
        // outage of their own.
        this->connect(30s);
        std::size_t lists = 0;
        const OutageProbe probe(
            *this->loop, *this->client, "rollouts", 50ms, RandomSource(5), [&](const auto&) { ++lists; });
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        EXPECT_EQ(this->rolloutLists, 0);
        this->down = true;
        this->waiting->reply({ 503, {}, {} });
        this->waiting = nullptr;
        const Instant begun = this->loop->now();
        ASSERT_TRUE(this->runUntil([&] { return this->loop->now() - begun > 500ms; }));
        EXPECT_GE(this->rolloutLists, 5);
        EXPECT_LE(this->rolloutLists, 15);
        this->down = false;
        ASSERT_TRUE(this->runUntil([&] { return lists == 1; }));
        const int probes = this->rolloutLists;
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        const Instant returned = this->loop->now();
        ASSERT_TRUE(this->runUntil([&] { return this->loop->now() - returned > 200ms; }));
        EXPECT_EQ(this->rolloutLists, probes);
    }

    // Guards against a connection that went silent and is waited for without end.
    TEST_F(KindWatcherTest, NoticesASilentConnection)
    {
        this->start();
        ASSERT_TRUE(this->runUntil([this] { return this->waiting != nullptr; }));
        const std::shared_ptr<ServerExchange> silent = std::exchange(this->waiting, nullptr);
        this->put("a");
        ASSERT_TRUE(this->runUntil([this] { return this->changes.size() == 1; }));
    }

} // namespace
} // namespace teaselshore
