#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "teaselshore/http/http_server.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {
namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr std::size_t pageSize = 3;

    /// A platform that lists one kind in pages of a few objects.
    class KindListTest : public testing::Test {
    protected:
        KindListTest()
            : loop(EventLoop::create())
        {
            HttpError error;
            this->server = HttpServer::listen(
                *this->loop, {}, [this](const auto& exchange) { this->answer(exchange); }, &error);
            PlatformClientSettings settings;
            settings.authority = "127.0.0.1:" + std::to_string(this->server->port());
            settings.objects = KindedObjects {};
            settings.budget = { 1000, 1000, 1000, 1000 };
            settings.callTimeout = 300ms;
            this->client = PlatformClient::create(*this->loop, settings);
        }

        void put(int first, int last)
        {
            for (int number = first; number <= last; ++number)
                this->objects["node-" + std::to_string(number)] = ++this->revision;
        }

        PlatformCallId start()
        {
            return this->client->listKind("nodes", ReadFreshness::Current, [this](PlatformResult<KindPage> result) {
                EXPECT_FALSE(this->result) << "the handler ran twice";
                this->result = std::move(result);
                this->loop->stop();
            });
        }

        void runFor(Duration limit)
        {
            const TimerId timer = this->loop->runAfter(limit, [this] { this->loop->stop(); });
            this->loop->run();
            this->loop->cancelTimer(timer);
        }

        std::vector<std::string> names() const
        {
            std::vector<std::string> names;
            const auto* list = this->result ? std::get_if<KindPage>(&*this->result) : nullptr;
            if (!list)
                return names;
            for (const KindObject& object : list->objects)
                names.push_back(object.name);
            return names;
        }

        std::vector<std::string> expectedNames() const
        {
            std::vector<std::string> names;
            for (const auto& [name, version] : this->objects)
                names.push_back(name);
            return names;
        }

        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<PlatformClient> client;
        std::map<std::string, std::uint64_t> objects;
        std::uint64_t revision = 10;
        std::optional<std::uint64_t> era;
        int pages = 0;
        /// Runs before the page with this number is answered, counted from 1.
        std::map<int, std::function<void()>> beforePage;
        bool promisesMoreAfterTheLast = false;
        bool repeatsPages = false;
        int failingPage = 0;
        std::optional<PlatformResult<KindPage>> result;

    private:
        void answer(const std::shared_ptr<ServerExchange>& exchange)
        {
            ++this->pages;
            if (const auto found = this->beforePage.find(this->pages); found != this->beforePage.end())
                found->second();
            if (this->pages == this->failingPage) {
                exchange->reply({ 503, {}, {} });
                return;
            }
            const std::string& path = exchange->request().path;
            const std::size_t after = path.find("after=");
            auto next = after == std::string::npos || this->repeatsPages
                ? this->objects.begin()
                : this->objects.upper_bound(path.substr(after + 6));
            json items = json::array();
            for (; next != this->objects.end() && items.size() < pageSize; ++next)
                items.push_back({ { "metadata", { { "name", next->first }, { "revision", next->second } } },
                    { "spec", json::object() } });
            const bool hasMore = next != this->objects.end() || this->promisesMoreAfterTheLast;
            HttpHeaders headers;
            if (this->era)
                headers.add("store-era", std::to_string(*this->era));
            exchange->reply({ 200, headers,
                json { { "items", items }, { "has_more", hasMore }, { "at", this->revision } }.dump() });
        }
    };

    // Guards against a fleet of which only the first page of reports is known, so that its nodes take too large a share
    // of the quotas and report the usage of a part of it.
    TEST_F(KindListTest, ReadsEveryPage)
    {
        for (const int count : { 0, 1, 3, 4, 6, 8 }) {
            this->objects.clear();
            this->put(1, count);
            this->pages = 0;
            this->result.reset();
            this->start();
            this->runFor(5s);
            ASSERT_TRUE(this->result) << count;
            EXPECT_EQ(this->names(), this->expectedNames()) << count;
            EXPECT_EQ(this->pages, std::max(1, (count + 2) / 3)) << count;
            EXPECT_FALSE(std::get<KindPage>(*this->result).hasMore) << count;
        }
    }

    // Guards against changes of the earlier pages that are missed since the watch goes on from the version of the last.
    TEST_F(KindListTest, IsCompleteUpToTheVersionOfItsFirstPage)
    {
        this->put(1, 5);
        const std::uint64_t first = this->revision;
        this->beforePage[2] = [this] { this->put(1, 1); };
        this->start();
        this->runFor(5s);
        ASSERT_EQ(this->names(), this->expectedNames());
        EXPECT_EQ(std::get<KindPage>(*this->result).at, first);
    }

    // Guards against a list that holds pages of before and after the platform was restored from an older copy.
    TEST_F(KindListTest, BeginsAgainInAnotherEra)
    {
        this->era = 1;
        this->put(1, 8);
        this->beforePage[3] = [this] {
            this->era = 2;
            this->objects.erase("node-1");
            this->objects.erase("node-8");
        };
        this->start();
        this->runFor(5s);
        EXPECT_EQ(this->names(), this->expectedNames());
        EXPECT_EQ(this->pages, 3 + 2);
    }

    // Guards against calls without end to a platform that promises more than it has.
    TEST_F(KindListTest, EndsWhenAPageHasNothing)
    {
        this->put(1, 4);
        this->promisesMoreAfterTheLast = true;
        this->start();
        this->runFor(5s);
        ASSERT_TRUE(this->result);
        EXPECT_EQ(std::get<PlatformError>(*this->result).kind, PlatformError::Kind::MalformedReply);
        EXPECT_EQ(this->pages, 3);
    }

    // Guards against calls without end to a platform that answers with the same page again and again.
    TEST_F(KindListTest, EndsWhenAPageIsRepeated)
    {
        this->put(1, 8);
        this->repeatsPages = true;
        this->start();
        this->runFor(5s);
        ASSERT_TRUE(this->result);
        EXPECT_EQ(std::get<PlatformError>(*this->result).kind, PlatformError::Kind::MalformedReply);
        EXPECT_EQ(this->pages, 2);
    }

    // Guards against the first pages of a list that pass for the whole when a later one fails.
    TEST_F(KindListTest, FailsAsAWhole)
    {
        this->put(1, 8);
        this->failingPage = 2;
        this->start();
        this->runFor(5s);
        ASSERT_TRUE(this->result);
        EXPECT_EQ(std::get<PlatformError>(*this->result).kind, PlatformError::Kind::Unavailable);
    }

    // Guards against a handler that runs for an owner that is gone.
    TEST_F(KindListTest, CanBeCancelledOnAnyPage)
    {
        for (const int page : { 1, 2, 3 }) {
            this->objects.clear();
            this->put(1, 8);
            this->pages = 0;
            PlatformCallId call = 0;
            this->beforePage = { { page, [&] { this->client->cancel(call); } } };
            call = this->start();
            this->runFor(100ms);
            EXPECT_FALSE(this->result) << page;
            EXPECT_EQ(this->pages, page);
        }
    }

} // namespace
} // namespace teaselshore
