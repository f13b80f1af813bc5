#include <array>
#include <atomic>
#include <ctime>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include "test_support.hpp"

namespace teaselshore {
namespace {

    void echo(const std::shared_ptr<ServerExchange>& exchange)
    {
        const HttpRequest& request = exchange->request();
        HttpReply reply;
        reply.headers.add("X-Method", request.method);
        reply.headers.add("X-Path", request.path);
        reply.headers.add("X-Custom", request.headers.find("x-custom").value_or("absent"));
        reply.body = request.body.text();
        exchange->reply(std::move(reply));
    }

    /// Sends bytes on a raw connection and returns all that comes back until the server closes.
    std::string exchangeRaw(HttpFixture& fixture, const std::string& bytes)
    {
        const RawConnection connection(fixture.server->port());
        connection.send(bytes);
        std::string answer;
        bool ended = false;
        EXPECT_TRUE(fixture.runUntil([&] {
            answer += connection.receive(ended);
            return ended;
        }));
        return answer;
    }

    void runFor(HttpFixture& fixture, Duration time)
    {
        fixture.runUntil([] { return false; }, time);
    }

    /// Sends a request, and waits for its answer and for the server to await the next request.
    void makeIdle(HttpFixture& fixture, const RawConnection& connection, const std::string& request)
    {
        connection.send(request);
        std::string answer;
        bool ended = false;
        EXPECT_TRUE(fixture.runUntil([&] { return !(answer += connection.receive(ended)).empty(); }));
        runFor(fixture, std::chrono::milliseconds(10));
    }

    // Guards against requests that reach the handler without body, query, host or header fields.
    TEST(HttpServer, PassesWholeRequestAndReply)
    {
        HttpFixture fixture(echo);
        HttpCall call = fixture.call("POST", "/orders?depot=3&x=%20", std::string(300000, 'b'));
        call.request.headers.add("X-Custom", "value");
        const CallRecord record = fixture.run(std::move(call));
        EXPECT_EQ(record.status, 200) << (record.error ? record.error->detail : "");
        EXPECT_EQ(record.headers.find("X-Path"), "/orders?depot=3&x=%20");
        EXPECT_EQ(record.headers.find("x-method"), "POST");
        EXPECT_EQ(record.headers.find("x-custom"), "value");
        EXPECT_EQ(record.body.size(), 300000u);
        EXPECT_EQ(fixture.server->openExchanges(), 0u);
    }

    // Guards against a body sent in answer to HEAD, which would be read as the next answer.
    TEST(HttpServer, SendsNoBodyForHead)
    {
        HttpFixture fixture([](const auto& exchange) { exchange->reply({ 200, {}, "12345" }); });
        const CallRecord head = fixture.run(fixture.call("HEAD", "/"));
        EXPECT_TRUE(head.ended);
        EXPECT_EQ(head.body, "");
        EXPECT_EQ(fixture.run(fixture.call("GET", "/")).body, "12345");
    }

    // Guards against streams whose chunks are held back, lost or reordered.
    TEST(HttpServer, StreamsChunksAsTheyAreWritten)
    {
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            exchange->write("first");
            open = exchange;
        });
        CallRecord record;
        fixture.start(fixture.call("GET", "/"), record);
        ASSERT_TRUE(fixture.runUntil([&] { return record.body == "first"; }));
        EXPECT_FALSE(record.isDone());
        std::string expected = "first";
        for (int index = 0; index < 1000; ++index) {
            const std::string chunk = "|" + std::to_string(index);
            open->write(chunk);
            expected += chunk;
        }
        open->finish();
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_TRUE(record.ended);
        EXPECT_EQ(record.body, expected);
        EXPECT_EQ(open->pendingBytes(), 0u);
    }

    // Guards against work that goes on for a caller that left, before and inside the answer.
    TEST(HttpServer, ReportsCallerThatGoesAway)
    {
        for (const bool streaming : { false, true }) {
            int closed = 0;
            std::shared_ptr<ServerExchange> open;
            HttpFixture fixture([&](const auto& exchange) {
                exchange->onClosed([&closed] { ++closed; });
                if (streaming) {
                    exchange->startStream(200, {});
                    exchange->write("x");
                }
                open = exchange;
            });
            RawConnection connection(fixture.server->port());
            connection.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
            ASSERT_TRUE(fixture.runUntil([&] { return open != nullptr; }));
            EXPECT_EQ(fixture.server->openExchanges(), 1u);
            connection.close();
            ASSERT_TRUE(fixture.runUntil([&] { return closed > 0; }));
            open->write("ignored");
            open->finish();
            open->abort();
            EXPECT_EQ(fixture.server->openExchanges(), 0u);
            EXPECT_EQ(closed, 1);
        }
    }

    // Guards against an incomplete answer that the caller takes for a complete one.
    TEST(HttpServer, AbortIsVisibleToTheCaller)
    {
        for (const std::string mode : { "unanswered", "chunked", "length" }) {
            HttpFixture fixture([&](const auto& exchange) {
                if (mode == "chunked")
                    exchange->startStream(200, {});
                if (mode == "length")
                    exchange->startStream(200, { { "content-length", "100" } });
                if (mode != "unanswered")
                    exchange->write("partial");
                fixture.loop->runAfter(std::chrono::milliseconds(5), [exchange] { exchange->abort(); });
            });
            const CallRecord record = fixture.run(fixture.call("GET", "/"));
            EXPECT_FALSE(record.ended) << mode;
            ASSERT_TRUE(record.error) << mode;
            EXPECT_EQ(record.error->kind, HttpError::Kind::ConnectionClosed) << mode;
            EXPECT_TRUE(record.error->requestMayHaveBeenSent) << mode;
            EXPECT_EQ(record.body, mode == "unanswered" ? "" : "partial");
        }
    }

    // Guards against an aborted answer to HTTP/1.0 whose end looks orderly; there the end of the connection is the end.
    TEST(HttpServer, AbortResetsUnframedAnswer)
    {
        HttpFixture fixture([&](const auto& exchange) {
            exchange->startStream(200, {});
            exchange->write("partial");
            fixture.loop->runAfter(std::chrono::milliseconds(5), [exchange] { exchange->abort(); });
        });
        const RawConnection connection(fixture.server->port());
        connection.send("GET / HTTP/1.0\r\n\r\n");
        bool ended = false;
        std::string answer;
        ASSERT_TRUE(fixture.runUntil([&] {
            answer += connection.receive(ended);
            return ended;
        }));
        EXPECT_TRUE(answer.empty() || answer.find("partial") != std::string::npos);
        EXPECT_TRUE(connection.wasReset());
    }

    // Guards against memory use that callers control.
    TEST(HttpServer, RefusesOversizedBody)
    {
        HttpServerSettings settings;
        settings.maxBodyBytes = 1000;
        int handled = 0;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); }, settings);
        EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(1000, 'x'))).status, 200);
        EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(1001, 'x'))).status, 413);
        const std::string chunked = exchangeRaw(fixture,
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x')
                + "\r\n");
        EXPECT_EQ(chunked.rfind("HTTP/1.1 413", 0), 0u);
        EXPECT_EQ(handled, 1);
    }

    // Guards against connections that stay for good, since the few bytes on them may become HTTP/2.
    TEST(HttpServer, ClosesIdleConnectionsWithTheBeginningOfAPreface)
    {
        HttpServerSettings settings;
        settings.idleTimeout = std::chrono::milliseconds(50);
        HttpFixture fixture(echo, settings);
        EXPECT_EQ(exchangeRaw(fixture, "P"), "");
    }

    // Guards against malformed or truncated requests that reach the handler or hold a connection for ever.
    TEST(HttpServer, DropsMalformedTruncatedAndSlowRequests)
    {
        HttpServerSettings settings;
        settings.requestTimeout = std::chrono::milliseconds(100);
        int handled = 0;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); }, settings);
        for (const std::string bytes : {
                 "\x01\x02nonsense\r\n\r\n",
                 "GET / HTTP/1.1\r\nbad header\r\n\r\n",
                 "POST / HTTP/1.1\r\ncontent-length: -5\r\n\r\nabc",
                 "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
                 "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\nabc",
                 "GET / HTT",
                 "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
                 "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
             }) {
            const std::string answer = exchangeRaw(fixture, bytes);
            EXPECT_TRUE(answer.empty() || answer.rfind("HTTP/1.1 4", 0) == 0) << bytes << " -> " << answer;
        }
        EXPECT_EQ(handled, 0);
        EXPECT_EQ(fixture.run(fixture.call("GET", "/")).status, 200);
    }

    // Guards against request smuggling: bytes behind a request of ambiguous length must not run as a second request.
    TEST(HttpServer, RefusesAmbiguousFramingAndClosesTheConnection)
    {
        const std::string second = "GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n";
        for (const std::string head : {
                 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
                 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcde",
                 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5, 6\r\n\r\nabcde",
                 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: identity\r\n\r\n",
                 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\n\r\n0\r\n\r\n",
                 "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                 "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
                 "GET / HTTP/1.1\r\n\r\n",
             }) {
            int handled = 0;
            HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); });
            const std::string answer = exchangeRaw(fixture, head + second);
            EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0u) << head << " -> " << answer;
            EXPECT_NE(answer.find("connection: close"), std::string::npos) << head;
            EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << head;
            EXPECT_EQ(handled, 0) << head;
        }
    }

    // Guards against a path that an upstream resolves to one outside of the route's prefix.
    TEST(HttpServer, RefusesDotSegmentsAndForeignTargets)
    {
        int handled = 0;
        HttpServerSettings settings;
        settings.refuseDotSegments = true;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); }, settings);
        for (const std::string path :
            { "/orders/../../etc", "/orders/%2e%2E/x", "/orders/.", "/a/./b", "*", "http://other/orders", "orders" }) {
            const std::string answer = exchangeRaw(fixture, "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n");
            EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0u) << path << " -> " << answer;
        }
        EXPECT_EQ(handled, 0);
        EXPECT_EQ(fixture.run(fixture.call("GET", "/orders/..x/a.b?up=/../")).status, 200);
    }

    // Guards against header memory that callers control.
    TEST(HttpServer, RefusesOversizedHeader)
    {
        HttpServerSettings settings;
        settings.maxHeaderBytes = 16384;
        int handled = 0;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); }, settings);
        const std::string answer
            = exchangeRaw(fixture, "GET / HTTP/1.1\r\nhost: a\r\nx-large: " + std::string(200'000, 'x') + "\r\n\r\n");
        EXPECT_EQ(answer.rfind("HTTP/1.1 431", 0), 0u) << answer;
        EXPECT_EQ(handled, 0);
        HttpCall fits = fixture.call("GET", "/");
        fits.request.headers.add("x-large", std::string(15'000, 'x'));
        EXPECT_EQ(fixture.run(std::move(fits)).status, 200);
    }

    // Guards against lines between and behind the chunks of a body that are kept until they end, which no limit
    // counted.
    TEST(HttpServer, RefusesChunkLinesWithoutEnd)
    {
        HttpServerSettings settings;
        settings.maxHeaderBytes = 16384;
        int handled = 0;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); }, settings);
        const std::string head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        for (const std::string lines : { "1;", "1\r\nx\r\n2;name=", "0\r\nfield: " }) {
            const std::string answer = exchangeRaw(fixture, head + lines + std::string(40'000, 'e'));
            EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0u) << lines << " -> " << answer;
        }
        EXPECT_EQ(handled, 0);
        const std::string sound
            = "1;" + std::string(15'000, 'e') + "\r\nx\r\n0\r\nfield: " + std::string(15'000, 'e') + "\r\n\r\n";
        EXPECT_TRUE(exchangeRaw(
            fixture, "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n" + sound)
                        .starts_with("HTTP/1.1 200"));
    }

    // Guards against heads that take many times their bytes, since each field is kept as two strings.
    TEST(HttpServer, RefusesHeadersOfManyFields)
    {
        int handled = 0;
        HttpFixture fixture([&](const auto& exchange) { ++handled, echo(exchange); });
        const auto withFields = [&fixture](std::size_t count) {
            std::string text = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
            for (std::size_t field = 2; field < count; ++field)
                text += "f:\r\n";
            return exchangeRaw(fixture, text + "\r\n");
        };
        EXPECT_TRUE(withFields(256).starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(withFields(257).starts_with("HTTP/1.1 431"));
        EXPECT_EQ(handled, 1);
    }

    // Guards against a body that stops short and holds its connection without an answer.
    TEST(HttpServer, AnswersBodyThatStopsShortWith408)
    {
        HttpServerSettings settings;
        settings.requestTimeout = std::chrono::milliseconds(100);
        HttpFixture fixture(echo, settings);
        const std::string answer = exchangeRaw(fixture, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc");
        EXPECT_EQ(answer.rfind("HTTP/1.1 408", 0), 0u) << answer;
    }

    // Guards against requests that are refused since limits that shrink meanwhile apply to what has begun under those
    // of before: heads, bodies, and lines between and behind chunks.
    TEST(HttpServer, LimitsThatShrinkApplyToLaterRequests)
    {
        const std::string post = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
        const std::string filler(1000, 'f');
        const std::array<std::string, 3> requests[] {
            { post + "x-custom: " + filler, filler, "\r\ncontent-length: 0\r\n\r\n" },
            { post + "content-length: 2001\r\n\r\n" + filler, filler, "f" },
            { post + "transfer-encoding: chunked\r\n\r\n1;" + filler, filler, "\r\nx\r\n0\r\n\r\n" },
            { post + "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nfield: " + filler, filler, "\r\n\r\n" },
        };
        for (const std::array<std::string, 3>& pieces : requests) {
            HttpFixture fixture(echo);
            const RawConnection connection(fixture.server->port());
            connection.send(pieces[0]);
            runFor(fixture, std::chrono::milliseconds(20));
            fixture.server->setLimits({ 100, 100, std::chrono::milliseconds(50), std::chrono::milliseconds(50) });
            runFor(fixture, std::chrono::milliseconds(150));
            connection.send(pieces[1]);
            runFor(fixture, std::chrono::milliseconds(20));
            EXPECT_TRUE(connection.trySend(pieces[2]));
            std::string answer;
            bool ended = false;
            ASSERT_TRUE(fixture.runUntil([&] {
                answer += connection.receive(ended);
                return ended;
            }));
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << pieces[0] << " -> " << answer;
        }
    }

    // Guards against a connection that is closed before the caller expects it, since the idle limit shrank after its
    // last use.
    TEST(HttpServer, IdleConnectionsKeepTheLimitOfTheirLastUse)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        HttpFixture fixture(echo);
        const RawConnection connection(fixture.server->port());
        makeIdle(fixture, connection, request);
        fixture.server->setLimits({ 16384, 16384, std::chrono::seconds(3), std::chrono::milliseconds(50) });
        // Beyond the new limit and what the server adds to it.
        runFor(fixture, std::chrono::milliseconds(2300));
        makeIdle(fixture, connection, request);
        EXPECT_EQ(fixture.server->droppedRequests(), 0u);
    }

    // Guards against work that goes on for a caller that has left: an end of the sending side cannot be told from a
    // close, so that a caller which still wants its answer keeps that side open.
    TEST(HttpServer, CallerThatEndsItsSendingSideIsTakenForGone)
    {
        int closed = 0;
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) {
            exchange->onClosed([&closed] { ++closed; });
            open = exchange;
        });
        const RawConnection connection(fixture.server->port());
        connection.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
        ASSERT_TRUE(fixture.runUntil([&] { return open != nullptr; }));
        connection.endSending();
        std::string answer;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] {
            answer += connection.receive(ended);
            return ended;
        }));
        EXPECT_EQ(closed, 1);
        EXPECT_EQ(answer, "");
    }

    // Guards against a client that waits in vain for permission to send its body.
    TEST(HttpServer, AnswersExpectContinue)
    {
        HttpFixture fixture(echo);
        const RawConnection connection(fixture.server->port());
        connection.send("POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n");
        std::string answer;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return !(answer += connection.receive(ended)).empty(); }));
        EXPECT_EQ(answer, "HTTP/1.1 100 Continue\r\n\r\n");
        connection.send("abc");
        ASSERT_TRUE(fixture.runUntil([&] { return (answer += connection.receive(ended)).ends_with("abc"); }));
    }

    /// Keeps all requests open.
    struct OpenExchanges {
        HttpHandler handler()
        {
            return [this](std::shared_ptr<ServerExchange> exchange) { this->open.push_back(std::move(exchange)); };
        }
        void answerAll()
        {
            for (const auto& exchange : this->open)
                exchange->reply({ 200, {}, "done" });
            this->open.clear();
        }

        std::vector<std::shared_ptr<ServerExchange>> open;
    };

    HttpServerSettings withBodyBudget(std::size_t bytes)
    {
        HttpServerSettings settings;
        settings.bodyBudget = bytes;
        return settings;
    }

    bool isRefusalForMemory(const std::string& answer)
    {
        return answer.starts_with("HTTP/1.1 503 ") && answer.find("retry-after: 1\r\n") != std::string::npos;
    }

    // Guards against requests that together take more memory than the host has, against a refusal of one that was
    // passed on, and against memory that is not given back: by answers, callers that go, bodies that stop short and
    // refusals.
    TEST(HttpServer, RefusesBodiesBeyondTheBudgetUntilOthersEnd)
    {
        OpenExchanges requests;
        HttpServerSettings settings = withBodyBudget(1000);
        settings.requestTimeout = std::chrono::milliseconds(200);
        HttpFixture fixture(requests.handler(), settings);
        CallRecord first;
        fixture.start(fixture.call("POST", "/", std::string(600, 'a')), first);
        ASSERT_TRUE(fixture.runUntil([&] { return requests.open.size() == 1; }));
        EXPECT_EQ(fixture.server->bodyMemory(), (BodyMemory { 600, 1000, 0 }));

        // The body has not been sent, so that the answer came before it was read, and no 100 before it.
        const std::string head = "POST / HTTP/1.1\r\nhost: a\r\n";
        EXPECT_TRUE(isRefusalForMemory(exchangeRaw(fixture, head + "content-length: 401\r\n\r\n")));
        EXPECT_TRUE(
            isRefusalForMemory(exchangeRaw(fixture, head + "expect: 100-continue\r\ncontent-length: 401\r\n\r\n")));
        EXPECT_TRUE(isRefusalForMemory(
            exchangeRaw(fixture, head + "transfer-encoding: chunked\r\n\r\n191\r\n" + std::string(401, 'b') + "\r\n")));
        EXPECT_EQ(fixture.server->bodyMemory(), (BodyMemory { 600, 1000, 3 }));
        EXPECT_EQ(requests.open.size(), 1U);

        EXPECT_TRUE(exchangeRaw(fixture, head + "content-length: 400\r\n\r\nb").starts_with("HTTP/1.1 408 "));
        EXPECT_EQ(fixture.server->bodyMemory().bytes, 600U);

        CallRecord second;
        const CallId gone = fixture.start(fixture.call("POST", "/", std::string(400, 'c')), second);
        ASSERT_TRUE(fixture.runUntil([&] { return requests.open.size() == 2; }));
        EXPECT_EQ(fixture.server->bodyMemory().bytes, 1000U);
        CallRecord empty;
        fixture.start(fixture.call("GET", "/"), empty);
        ASSERT_TRUE(fixture.runUntil([&] { return requests.open.size() == 3; })) << "it needs no memory for a body";
        fixture.client->cancel(gone);
        requests.open.erase(requests.open.begin() + 1);
        ASSERT_TRUE(fixture.runUntil([&] { return fixture.server->bodyMemory().bytes == 600; }));

        requests.answerAll();
        ASSERT_TRUE(fixture.runUntil([&] { return first.isDone() && empty.isDone(); }));
        EXPECT_EQ(first.status, 200);
        EXPECT_EQ(fixture.server->bodyMemory().bytes, 0U);
    }

    // Guards against requests that are refused since others announce bodies which they do not send.
    TEST(HttpServer, AnnouncedBodiesTakeTheirMemoryAsTheyArrive)
    {
        constexpr std::size_t bodyBytes = 100'000;
        HttpFixture fixture(echo, withBodyBudget(2 * bodyBytes));
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int caller = 0; caller < 20; ++caller) {
            connections.push_back(std::make_unique<RawConnection>(fixture.server->port()));
            connections.back()->send(
                "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(bodyBytes) + "\r\n\r\nx");
        }
        ASSERT_TRUE(fixture.runUntil([&] { return fixture.server->bodyMemory().bytes > 0; }));
        for (int round = 0; round < 3; ++round)
            EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(bodyBytes, 'a'))).status, 200);
        EXPECT_EQ(fixture.server->bodyMemory().refusedRequests, 0U);
        // What can never fit is refused before it is sent.
        EXPECT_TRUE(isRefusalForMemory(exchangeRaw(
            fixture, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(2 * bodyBytes) + "\r\n\r\n")));
    }

    // Guards against heads and lines without end on many connections, whose bytes together no limit counted.
    TEST(HttpServer, UnfinishedHeadsAndLinesTakeMemoryOfTheBudget)
    {
        constexpr std::size_t budget = 100'000;
        constexpr int callers = 40;
        HttpFixture fixture(echo, withBodyBudget(budget));
        std::string fields;
        while (fields.size() < 12'000)
            fields += "field-" + std::to_string(fields.size()) + ": " + std::string(100, 'v') + "\r\n";
        for (const std::string& bytes : { "GET / HTTP/1.1\r\nhost: a\r\n" + fields,
                 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;" + std::string(12'000, 'e') }) {
            std::vector<std::unique_ptr<RawConnection>> connections;
            const std::uint64_t refusedBefore = fixture.server->bodyMemory().refusedRequests;
            for (int caller = 0; caller < callers; ++caller) {
                connections.push_back(std::make_unique<RawConnection>(fixture.server->port()));
                connections.back()->send(bytes);
            }
            const auto refused = [&] { return fixture.server->bodyMemory().refusedRequests - refusedBefore; };
            EXPECT_TRUE(fixture.runUntil([&] { return refused() >= callers - budget / 8'000; }));
            EXPECT_GT(fixture.server->bodyMemory().bytes, budget / 2);
            EXPECT_EQ(fixture.run(fixture.call("GET", "/")).status, 200) << "a short head needs no memory";
            connections.clear();
            EXPECT_TRUE(fixture.runUntil([&] { return fixture.server->bodyMemory().bytes == 0; }));
        }
    }

    // Guards against a budget that is free again while someone still holds the body, as for a later attempt.
    TEST(HttpServer, BodyTakesItsMemoryUntilNobodyHoldsIt)
    {
        SharedBytes kept;
        HttpFixture fixture(
            [&kept](const std::shared_ptr<ServerExchange>& exchange) {
                kept = exchange->request().body;
                exchange->reply({ 200, {}, "done" });
            },
            withBodyBudget(1000));
        EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(600, 'a'))).status, 200);
        EXPECT_EQ(fixture.server->bodyMemory().bytes, 600U);
        EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(600, 'b'))).status, 503);
        kept = {};
        EXPECT_EQ(fixture.run(fixture.call("POST", "/", std::string(600, 'c'))).status, 200);
    }

    // Guards against a planned stop that closes a connection on which the caller may send the next request.
    TEST(HttpServer, AnnouncesTheCloseInTheAnswer)
    {
        HttpFixture fixture(echo);
        const RawConnection connection(fixture.server->port());
        fixture.server->announceClose();
        connection.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        std::string answer;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] {
            answer += connection.receive(ended);
            return ended;
        }));
        EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u);
        EXPECT_NE(answer.find("connection: close"), std::string::npos);
    }

    // Guards against events that a caller loses since its stream cannot be finished.
    TEST(HttpServer, FinishIncompleteSendsWhatWasWritten)
    {
        HttpFixture fixture([&](const auto& exchange) {
            exchange->startStream(200, {});
            exchange->write(std::string(100'000, 'x'));
            exchange->finishIncomplete();
        });
        const CallRecord record = fixture.run(fixture.call("GET", "/"));
        EXPECT_EQ(record.body.size(), 100'000u);
        EXPECT_FALSE(record.ended);
    }

    // Guards against pipelined requests that are lost or answered out of order while an earlier one is open.
    TEST(HttpServer, AnswersPipelinedRequestsInOrder)
    {
        HttpFixture fixture([&](const auto& exchange) {
            fixture.loop->runAfter(std::chrono::milliseconds(exchange->request().path == "/1" ? 20 : 0), [exchange] {
                exchange->reply({ 200, {}, exchange->request().path + ";" });
            });
        });
        const std::string answer = exchangeRaw(fixture,
            "GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\nGET /3 HTTP/1.1\r\nhost: a\r\n"
            "connection: close\r\n\r\n");
        EXPECT_LT(answer.find("/1;"), answer.find("/2;"));
        EXPECT_LT(answer.find("/2;"), answer.find("/3;"));
        EXPECT_NE(answer.find("/3;"), std::string::npos);
    }

    // Guards against a shutdown that breaks open exchanges off or leaves idle connections open.
    TEST(HttpServer, StopsAcceptingButFinishesOpenExchanges)
    {
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) { open = exchange; });
        const RawConnection idle(fixture.server->port());
        CallRecord record;
        fixture.start(fixture.call("GET", "/"), record);
        ASSERT_TRUE(fixture.runUntil([&] { return open != nullptr; }));
        fixture.server->stopAccepting();
        bool idleEnded = false;
        ASSERT_TRUE(fixture.runUntil([&] { return idle.receive(idleEnded).empty() && idleEnded; }));
        const CallRecord refused = fixture.run(fixture.call("GET", "/"));
        ASSERT_TRUE(refused.error);
        EXPECT_FALSE(refused.error->requestMayHaveBeenSent);
        open->reply({ 200, {}, "late" });
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_EQ(record.body, "late");
    }

    // Guards against requests that reach a server while it stops to accept, and whose connections then end without an
    // answer: on a connection that waits to be accepted, on an idle one, and on a new one that had no request yet.
    TEST(HttpServer, StopAcceptingAnswersRequestsThatAreOnTheirWay)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        HttpFixture fixture([&](const auto& exchange) { exchange->reply({ 200, {}, "late" }); });
        const auto isAnswered = [&](const RawConnection& connection) {
            std::string received;
            bool ended = false;
            return fixture.runUntil([&] {
                received += connection.receive(ended);
                return received.find("late") != std::string::npos || ended;
            }) && received.find("connection: close") != std::string::npos;
        };
        const RawConnection idle(fixture.server->port());
        const RawConnection unused(fixture.server->port());
        idle.send(request);
        std::string first;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return !(first += idle.receive(ended)).empty(); }));

        const RawConnection waiting(fixture.server->port());
        waiting.send(request);
        idle.send(request);
        fixture.server->stopAccepting();
        unused.send(request);
        EXPECT_TRUE(isAnswered(waiting)) << "waits to be accepted";
        EXPECT_TRUE(isAnswered(idle)) << "idle";
        EXPECT_TRUE(isAnswered(unused)) << "without a request before";
    }

    // Guards against requests that had arrived behind another one and are dropped, since its answer announced the close
    // of the connection at a planned stop.
    TEST(HttpServer, AnnouncesNoCloseWhileARequestWaits)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        for (const bool isSentAtOnce : { true, false }) {
            std::vector<std::shared_ptr<ServerExchange>> open;
            HttpFixture fixture([&](const auto& exchange) { open.push_back(exchange); });
            const RawConnection connection(fixture.server->port());
            connection.send(isSentAtOnce ? request + request : request);
            ASSERT_TRUE(fixture.runUntil([&] { return open.size() == 1; }));
            if (!isSentAtOnce)
                connection.send(request);
            fixture.server->announceClose();
            open.front()->startStream(200, {});
            open.front()->write("first");
            runFor(fixture, std::chrono::milliseconds(50));
            open.front()->finish();
            ASSERT_TRUE(fixture.runUntil([&] { return open.size() == 2; })) << "at once: " << isSentAtOnce;
            open.back()->reply({ 200, {}, "second" });
            std::string received;
            bool ended = false;
            ASSERT_TRUE(fixture.runUntil([&] {
                received += connection.receive(ended);
                return ended;
            }));
            EXPECT_LT(received.find("first"), received.find("connection: close"));
            EXPECT_LT(received.find("connection: close"), received.find("second"));
        }
    }

    // Guards against requests that are dropped without a trace, and against others that are counted as dropped: those
    // behind an answer that announced the end of its connection.
    TEST(HttpServer, CountsRequestsThatAreDropped)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        for (const bool isAnnounced : { false, true }) {
            std::shared_ptr<ServerExchange> streaming;
            HttpFixture fixture([&](const auto& exchange) {
                exchange->startStream(200, {});
                exchange->write("part");
                streaming = exchange;
            });
            if (isAnnounced)
                fixture.server->announceClose();
            const RawConnection connection(fixture.server->port());
            connection.send(isAnnounced ? request : request + request);
            std::shared_ptr<ServerExchange> open;
            ASSERT_TRUE(fixture.runUntil([&] { return (open = std::exchange(streaming, nullptr)) != nullptr; }));
            // Behind the head that announces the close.
            if (isAnnounced)
                connection.send(request);
            runFor(fixture, std::chrono::milliseconds(50));
            open->finishIncomplete();
            bool ended = false;
            ASSERT_TRUE(fixture.runUntil([&] { return connection.receive(ended).empty() && ended; }));
            EXPECT_EQ(fixture.server->droppedRequests(), isAnnounced ? 0u : 1u);
        }
    }

    // Guards against requests that have arrived while the process had no processor, and that are dropped unread since
    // the time of their idle connection is over when it goes on: at a planned stop, and beyond the idle timeout.
    TEST(HttpServer, LateLoopAnswersRequestsThatArrivedOnIdleConnections)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        for (const bool isStopping : { true, false }) {
            HttpServerSettings settings;
            settings.idleTimeout = std::chrono::milliseconds(50);
            HttpFixture fixture([&](const auto& exchange) { exchange->reply({ 200, {}, "whole" }); }, settings);
            const RawConnection idle(fixture.server->port());
            makeIdle(fixture, idle, request);
            if (isStopping)
                fixture.server->stopAccepting();
            idle.send(request);
            // Nothing runs meanwhile; the server allows two seconds more than the idle time.
            std::this_thread::sleep_for(std::chrono::milliseconds(isStopping ? 200 : 2200));
            std::string received;
            bool ended = false;
            ASSERT_TRUE(fixture.runUntil([&] {
                received += idle.receive(ended);
                return ended || received.find("whole") != std::string::npos;
            }));
            EXPECT_NE(received.find("whole"), std::string::npos) << "stopping: " << isStopping;
            EXPECT_EQ(received.find("connection: close") != std::string::npos, isStopping);
        }
    }

    // Guards against requests whose last bytes arrived in time and that are refused as too slow, since the process had
    // no processor until their time was over.
    TEST(HttpServer, LateLoopAnswersRequestsThatArrivedInTime)
    {
        HttpServerSettings settings;
        settings.requestTimeout = std::chrono::milliseconds(300);
        HttpFixture fixture(echo, settings);
        const RawConnection connection(fixture.server->port());
        connection.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nfirst");
        runFor(fixture, std::chrono::milliseconds(50));
        connection.send("-last");
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        std::string received;
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] {
            received += connection.receive(ended);
            return ended || received.find("\r\n\r\n") != std::string::npos;
        }));
        EXPECT_EQ(received.rfind("HTTP/1.1 200", 0), 0u) << received;
    }

    // Guards against requests behind an answer that began before a planned stop: it told nobody that its connection
    // ends, and the caller sends its next request at once.
    TEST(HttpServer, StopAcceptingAnswersRequestsBehindAnAnswerThatAnnouncedNoClose)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) {
            if (open) {
                exchange->reply({ 200, {}, "second" });
                return;
            }
            open = exchange;
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            exchange->write("first");
        });
        const RawConnection connection(fixture.server->port());
        connection.send(request);
        std::string received;
        bool ended = false;
        const auto hasReceived = [&](const std::string& text) {
            received += connection.receive(ended);
            return received.find(text) != std::string::npos;
        };
        ASSERT_TRUE(fixture.runUntil([&] { return hasReceived("first"); }));
        ASSERT_EQ(received.find("connection: close"), std::string::npos);
        fixture.server->announceClose();
        fixture.server->stopAccepting();
        open->finish();
        // The caller has the end of the answer before the server knows that it was written.
        ASSERT_TRUE(hasReceived("0\r\n\r\n"));
        connection.send(request);
        ASSERT_TRUE(fixture.runUntil([&] { return hasReceived("second") || ended; }));
        EXPECT_NE(received.find("second"), std::string::npos);
        EXPECT_NE(received.find("connection: close"), std::string::npos);
    }

    // Guards against an idle connection that reads a request after it has ended its side, and drops it: its caller
    // cannot tell that the request did not run.
    TEST(HttpServer, ClosedIdleConnectionReadsNoRequests)
    {
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        HttpFixture fixture(echo);
        const RawConnection idle(fixture.server->port());
        makeIdle(fixture, idle, request);
        fixture.server->stopAccepting();
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return idle.receive(ended).empty() && ended; }));
        idle.trySend(request);
        runFor(fixture, std::chrono::milliseconds(50));
        EXPECT_FALSE(idle.trySend(request)) << "the first one was refused";
    }

    // Guards against connections, and the answers that they keep, that stay for good when a caller stops to read, and
    // against callers that read slowly and are cut.
    TEST(HttpServer, DisconnectsOnlyCallersThatStopReadingTheirAnswer)
    {
        HttpServerSettings settings;
        settings.idleTimeout = std::chrono::milliseconds(200);
        const std::string body(std::size_t { 24 } * 1024 * 1024, 'a');
        HttpFixture fixture([&](const auto& exchange) { exchange->reply({ 200, {}, body }); }, settings);
        const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        const RawConnection slow(fixture.server->port());
        const RawConnection stopped(fixture.server->port());
        slow.send(request);
        stopped.send(request);
        std::size_t received = 0;
        bool ended = false;
        // A server allows two seconds more than the idle time.
        const Instant start = fixture.loop->now();
        Instant lastRead = start;
        ASSERT_TRUE(fixture.runUntil(
            [&] {
                const Instant now = fixture.loop->now();
                if (now - lastRead < std::chrono::milliseconds(1000))
                    return false;
                lastRead = now;
                received += slow.receive(ended).size();
                return now - start > std::chrono::milliseconds(4500);
            },
            std::chrono::seconds(10)));
        EXPECT_FALSE(ended) << "reads slowly";
        ASSERT_TRUE(fixture.runUntil(
            [&] {
                received += slow.receive(ended).size();
                return received > body.size();
            },
            std::chrono::seconds(20)));
        std::size_t left = 0;
        bool stoppedEnded = false;
        ASSERT_TRUE(fixture.runUntil([&] {
            left += stopped.receive(stoppedEnded).size();
            return stoppedEnded;
        }));
        EXPECT_LT(left, body.size());
    }

    // Guards against a truncated answer to HTTP/1.0 whose end looks orderly: of a caller that stops to read, of one
    // that ends its side, and of a server that is destroyed.
    TEST(HttpServer, TruncatedUnframedAnswerEndsWithReset)
    {
        enum class End { StopsReading, EndsItsSide, ServerDestroyed };
        const std::string body(std::size_t { 24 } * 1024 * 1024, 'a');
        for (const End end : { End::StopsReading, End::EndsItsSide, End::ServerDestroyed }) {
            HttpServerSettings settings;
            settings.idleTimeout = std::chrono::milliseconds(200);
            std::shared_ptr<ServerExchange> open;
            HttpFixture fixture(
                [&](const auto& exchange) {
                    exchange->startStream(200, {});
                    exchange->write(end == End::EndsItsSide ? "partial" : body);
                    if (end == End::EndsItsSide)
                        open = exchange;
                    else
                        exchange->finish();
                },
                settings);
            const RawConnection connection(fixture.server->port());
            connection.send("GET / HTTP/1.0\r\n\r\n");
            fixture.runUntil([&] { return connection.unreadBytes() > 0; });
            if (end == End::EndsItsSide)
                connection.endSending();
            if (end == End::ServerDestroyed)
                fixture.server.reset();
            // A server allows two seconds more than the idle time.
            const Duration pause = std::chrono::milliseconds(end == End::StopsReading ? 2500 : 20);
            fixture.runUntil([] { return false; }, pause);
            bool ended = false;
            std::size_t received = 0;
            ASSERT_TRUE(fixture.runUntil([&] {
                received += connection.receive(ended).size();
                return ended;
            }));
            EXPECT_LT(received, body.size());
            EXPECT_TRUE(connection.wasReset()) << static_cast<int>(end);
        }
    }

    // Guards against use of released state when a server is destroyed while exchanges are open.
    TEST(HttpServer, DestructionBreaksOpenExchangesOff)
    {
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) { open = exchange; });
        CallRecord record;
        fixture.start(fixture.call("GET", "/"), record);
        ASSERT_TRUE(fixture.runUntil([&] { return open != nullptr; }));
        fixture.server.reset();
        open->reply({ 200, {}, "too late" });
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_TRUE(record.error);
    }

    // Guards against text of callers that adds fields or a second answer to an answer.
    TEST(HttpServer, LeavesInvalidAnswerFieldsOut)
    {
        HttpFixture fixture([](const auto& exchange) {
            exchange->reply({ 200,
                { { "x-split", "a\r\nx-injected: b" }, { "x bad", "c" }, { "content-length", "1" }, { "x-good", "d" } },
                "body" });
        });
        const CallRecord record = fixture.run(fixture.call("GET", "/"));
        EXPECT_EQ(record.body, "body");
        EXPECT_EQ(record.headers.find("x-good"), "d");
        EXPECT_FALSE(record.headers.find("x-injected"));
        EXPECT_FALSE(record.headers.find("x-split"));
    }

    // Guards against a server that spins or stops accepting for good once the process has run out of descriptors.
    TEST(HttpServer, SurvivesLackOfDescriptors)
    {
        HttpFixture fixture(echo);
        const RawConnection connection(fixture.server->port());
        rlimit limit {};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
        const int next = dup(0);
        close(next);
        const rlimit lowered { static_cast<rlim_t>(next), limit.rlim_max };
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
        const std::clock_t before = std::clock();
        fixture.runUntil([] { return false; }, std::chrono::milliseconds(200));
        const double busySeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
        EXPECT_LT(busySeconds, 0.1);
        connection.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        bool ended = false;
        EXPECT_TRUE(fixture.runUntil([&] { return !connection.receive(ended).empty(); }));
    }

    // Guards against a server that claims to listen on an address that it cannot use.
    TEST(HttpServer, ReportsUnusableAddress)
    {
        HttpFixture fixture(echo);
        HttpServerSettings settings;
        settings.port = fixture.server->port();
        HttpError error;
        EXPECT_EQ(HttpServer::listen(*fixture.loop, settings, echo, &error), nullptr);
        EXPECT_EQ(error.kind, HttpError::Kind::ListenFailed);
        settings.address = "localhost";
        EXPECT_EQ(HttpServer::listen(*fixture.loop, settings, echo, &error), nullptr);
        EXPECT_EQ(error.kind, HttpError::Kind::AddressInvalid);
    }

    // Guards against a server that stops while it has no descriptors, and that uses its listener once it is closed.
    TEST(HttpServer, StopsAcceptingWithoutDescriptors)
    {
        HttpFixture fixture(echo);
        runFor(fixture, std::chrono::milliseconds(10));
        const RawConnection connection(fixture.server->port());
        rlimit limit {};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
        const int next = dup(0);
        close(next);
        const rlimit lowered { static_cast<rlim_t>(next), limit.rlim_max };
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
        runFor(fixture, std::chrono::milliseconds(10));
        fixture.server->stopAccepting();
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
        runFor(fixture, std::chrono::milliseconds(100));
    }

    // Guards against a caller that keeps a request, and its connection, open as long as it sends.
    TEST(HttpServer, RefusesRequestsThatGoOnBeyondTheirTime)
    {
        HttpServerSettings settings;
        settings.requestTimeout = std::chrono::milliseconds(200);
        HttpFixture fixture(echo, settings);
        const RawConnection connection(fixture.server->port());
        connection.send("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
        std::string chunk = "1;" + std::string(8000, 'x') + "\r\na\r\n";
        std::atomic<bool> done { false };
        std::thread sender([&] {
            while (!done && connection.trySend(chunk))
                continue;
        });
        const Instant start = fixture.loop->now();
        fixture.runUntil([&] { return fixture.server->refusedRequests() > 0; }, std::chrono::seconds(10));
        EXPECT_LT(fixture.loop->now() - start, std::chrono::seconds(1));
        done = true;
        fixture.server.reset();
        runFor(fixture, std::chrono::milliseconds(10));
        sender.join();
    }

} // namespace
} // namespace teaselshore
