#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "test_support.hpp"

namespace teaselshore {
namespace {

    using Kind = HttpError::Kind;

    void ignore(const std::shared_ptr<ServerExchange>&) { }

    /// Plays a server that answers a request with fixed bytes and then ends the connection.
    class ScriptedUpstream {
    public:
        enum class Ending {
            Close,
            Reset,
            KeepOpen,
        };

        ScriptedUpstream()
            : fixture(ignore)
        {
        }

        CallRecord run(const std::string& answer, Ending ending, bool acceptUnframed = false)
        {
            HttpCall call = this->fixture.call("GET", "/");
            call.authority = this->server.authority();
            call.acceptUnframedReply = acceptUnframed;
            CallRecord record;
            this->fixture.start(std::move(call), record);
            EXPECT_TRUE(this->fixture.runUntil([&] { return (this->connection = this->server.accept()) != nullptr; }));
            bool ended = false;
            EXPECT_TRUE(this->fixture.runUntil([&] { return !this->connection->receive(ended).empty(); }));
            this->connection->send(answer);
            // The reply must be read before a reset discards it.
            this->fixture.runUntil([] { return false; }, std::chrono::milliseconds(20));
            if (ending == Ending::Close)
                this->connection->close();
            if (ending == Ending::Reset)
                this->connection->reset();
            EXPECT_TRUE(this->fixture.runUntil([&] { return record.isDone(); })) << answer;
            return record;
        }

        HttpFixture fixture;
        RawServer server;
        std::unique_ptr<RawConnection> connection;
    };

    // Guards against replies that arrived in time and are given up, since the process had no processor until their time
    // was over: of a request that must not run twice, nobody would get the answer.
    TEST(HttpClient, LateLoopTakesRepliesThatArrivedInTime)
    {
        HttpFixture fixture(ignore);
        const RawServer server;
        HttpCall call = fixture.call("POST", "/");
        call.authority = server.authority();
        call.idleTimeout = std::chrono::milliseconds(200);
        CallRecord record;
        fixture.start(std::move(call), record);
        std::unique_ptr<RawConnection> connection;
        ASSERT_TRUE(fixture.runUntil([&] { return (connection = server.accept()) != nullptr; }));
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return !connection->receive(ended).empty(); }));
        connection->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_FALSE(record.error) << record.error->detail;
        EXPECT_EQ(record.body, "ok");
    }

    // Guards against replies that were cut off but are reported as complete.
    TEST(HttpClient, ReportsReplyThatBreaksOff)
    {
        using Ending = ScriptedUpstream::Ending;
        const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> answers {
            { "", "" },
            { "HTTP/1.1 200 OK\r\ncontent-le", "" },
            { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", "" },
            { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n123456789", "123456789" },
            { chunked, "" },
            { chunked + "5\r\nhello\r\n", "hello" },
            { chunked + "5\r\nhel", "hel" },
            { chunked + "5\r\nhello\r\n0\r\n", "hello" },
        };
        for (const auto& [answer, body] : answers) {
            for (const Ending ending : { Ending::Close, Ending::Reset }) {
                ScriptedUpstream upstream;
                const CallRecord record = upstream.run(answer, ending);
                EXPECT_FALSE(record.ended) << answer;
                ASSERT_TRUE(record.error) << answer;
                EXPECT_EQ(record.error->kind, Kind::ConnectionClosed) << answer;
                EXPECT_TRUE(record.error->requestMayHaveBeenSent) << answer;
                EXPECT_EQ(record.body, body) << answer;
            }
        }
    }

    // Guards against a call that ends as complete, with an empty or short body, although the server stopped in the
    // middle of the head and closed the connection in order: a plain response or the start or the resume of a stream.
    TEST(HttpClient, ReportsHeadThatBreaksOffAtAnyByte)
    {
        const std::string head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-mark: 1\r\n\r\n";
        for (std::size_t length = 0; length < head.size(); ++length) {
            ScriptedUpstream upstream;
            const CallRecord record
                = upstream.run(head.substr(0, length), ScriptedUpstream::Ending::Close, /*acceptUnframed=*/true);
            EXPECT_FALSE(record.ended) << length;
            ASSERT_TRUE(record.error) << length;
            EXPECT_EQ(record.error->kind, Kind::ConnectionClosed) << length;
            EXPECT_TRUE(record.error->requestMayHaveBeenSent) << length;
            EXPECT_EQ(record.status, 0) << length;
        }
    }

    // Guards against an abort inside h2o when timers write on kept-alive connections while more sockets are ready than
    // one poll reports (256).
    TEST(HttpClient, WritesFromTimersWhileManySocketsAreReady)
    {
        constexpr std::size_t calls = 600;
        constexpr std::size_t rounds = 6;
        HttpFixture fixture([](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->reply({ 200, {}, "ok" });
        });
        std::size_t ended = 0;
        std::size_t failed = 0;
        for (std::size_t round = 1; round <= rounds; ++round) {
            for (std::size_t index = 0; index < calls; ++index) {
                // Timers of several rounds of the loop, so that some calls start while others are being answered.
                fixture.loop->runAfter(std::chrono::milliseconds(index % 4), [&] {
                    HttpCallHandlers handlers;
                    handlers.onEnd = [&] { ++ended; };
                    handlers.onError = [&](const HttpError&) { ++failed; };
                    fixture.client->start(fixture.call("GET", "/"), std::move(handlers));
                });
            }
            EXPECT_TRUE(fixture.runUntil([&] { return ended + failed == round * calls; }));
        }
        EXPECT_EQ(failed, 0U);
    }

    // Guards against replies that two parsers would delimit differently, and against broken ones taken as valid.
    TEST(HttpClient, RefusesMalformedReplies)
    {
        for (const std::string answer : {
                 "nonsense\r\n\r\n",
                 "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
                 "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
                 "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
                 "HTTP/1.1 200 OK\r\n\r\nno length",
             }) {
            ScriptedUpstream upstream;
            const CallRecord record = upstream.run(answer, ScriptedUpstream::Ending::KeepOpen);
            ASSERT_TRUE(record.error) << answer;
            EXPECT_EQ(record.error->kind, Kind::MalformedReply) << answer;
            EXPECT_TRUE(record.error->requestMayHaveBeenSent) << answer;
        }
    }

    // Guards against statuses that HTTP does not have, or an unrequested change of protocol, that are passed on as the
    // status of a reply, and against more informational replies than a client should skip.
    TEST(HttpClient, RefusesInvalidStatuses)
    {
        constexpr std::size_t skippedInformational = 16;
        std::string informational;
        for (std::size_t count = 0; count < skippedInformational; ++count)
            informational += "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n";
        const auto reply = [](const std::string& before, const std::string& status) {
            return fmt::format("{}HTTP/1.1 {} Status\r\ncontent-length: 2\r\n\r\nok", before, status);
        };
        for (const std::string status : { "000", "001", "099", "101", "600", "601", "700", "999" }) {
            for (const std::string& before : { std::string(), informational }) {
                ScriptedUpstream upstream;
                const CallRecord record = upstream.run(reply(before, status), ScriptedUpstream::Ending::KeepOpen);
                EXPECT_EQ(record.status, 0) << status;
                EXPECT_EQ(record.body, "") << status;
                ASSERT_TRUE(record.error) << status;
                EXPECT_EQ(record.error->kind, Kind::MalformedReply) << status;
                EXPECT_TRUE(record.error->requestMayHaveBeenSent) << status;
            }
        }
        for (const std::string status : { "200", "299", "599" }) {
            ScriptedUpstream upstream;
            const CallRecord record = upstream.run(reply(informational, status), ScriptedUpstream::Ending::KeepOpen);
            EXPECT_TRUE(record.ended) << status;
            EXPECT_EQ(std::to_string(record.status), status);
        }
        ScriptedUpstream upstream;
        const CallRecord record = upstream.run(
            reply(informational + "HTTP/1.1 100 Continue\r\n\r\n", "200"), ScriptedUpstream::Ending::KeepOpen);
        ASSERT_TRUE(record.error);
        EXPECT_EQ(record.error->kind, Kind::MalformedReply);
    }

    // Guards against memory and time without bound while a peer goes on sending what is no reply: a head, a line
    // between chunks, fields after the last chunk, informational replies or replies to other requests.
    TEST(HttpClient, GivesUpRepliesWithoutEnd)
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        const std::string foreign = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx";
        constexpr std::size_t most = std::size_t { 8 } * 1024 * 1024;
        const std::string filler(10'000, 'a');
        const std::vector<std::pair<std::string, std::string>> replies {
            { "", filler },
            { "HTTP/1.1 200 OK\r\n", "x-" + filler + ": b\r\n" },
            { "HTTP/1.1 200 OK\r\nx-a: ", filler },
            { chunked + "5;", filler },
            { chunked + "0\r\n", "x-" + filler + ": b\r\n" },
            { "", "HTTP/1.1 100 Continue\r\n\r\n" },
            { "", foreign },
            { "HTTP/1.1 200 OK\r\nx-id: other\r\ntransfer-encoding: chunked\r\n\r\n", "2710\r\n" + filler + "\r\n" },
        };
        for (const auto& [start, repeated] : replies) {
            SCOPED_TRACE(start + repeated.substr(0, 30));
            HttpFixture fixture(ignore);
            const RawServer server;
            HttpCall call = fixture.call("GET", "/");
            call.authority = server.authority();
            call.expectedEcho = HttpHeader { "x-id", "own" };
            CallRecord record;
            fixture.start(std::move(call), record);
            std::unique_ptr<RawConnection> connection;
            ASSERT_TRUE(fixture.runUntil([&] { return (connection = server.accept()) != nullptr; }));
            std::size_t sent = start.size();
            connection->send(start);
            // Only what the client has read leaves room for more.
            while (!record.isDone() && sent < most) {
                connection->send(repeated);
                sent += repeated.size();
                fixture.runUntil([&] { return record.isDone(); }, std::chrono::microseconds(200));
            }
            ASSERT_TRUE(record.error) << sent;
            EXPECT_EQ(record.error->kind, Kind::MalformedReply);
            EXPECT_LT(record.body.size(), 1u);
        }
    }

    // Guards against a call that a peer holds for good by a byte now and then.
    TEST(HttpClient, TrickleEndsWithTheTimeForTheWholeCall)
    {
        HttpFixture fixture(ignore);
        const RawServer server;
        HttpCall call = fixture.call("GET", "/");
        call.authority = server.authority();
        call.idleTimeout = std::chrono::milliseconds(100);
        call.totalTimeout = std::chrono::milliseconds(200);
        CallRecord record;
        fixture.start(std::move(call), record);
        std::unique_ptr<RawConnection> connection;
        ASSERT_TRUE(fixture.runUntil([&] { return (connection = server.accept()) != nullptr; }));
        connection->send("HTTP/1.1 200 OK\r\n");
        for (int sent = 0; sent < 100 && !record.isDone(); ++sent) {
            connection->send("a");
            fixture.runUntil([&] { return record.isDone(); }, std::chrono::milliseconds(20));
        }
        ASSERT_TRUE(record.error);
        EXPECT_EQ(record.error->kind, Kind::Timeout);
    }

    // Guards against an end of connection by reset that counts as the end of an accepted unframed reply.
    TEST(HttpClient, AcceptsUnframedReplyOnlyWithOrderlyEnd)
    {
        const std::string answer = "HTTP/1.0 200 OK\r\n\r\nbody";
        ScriptedUpstream orderly;
        const CallRecord complete = orderly.run(answer, ScriptedUpstream::Ending::Close, true);
        EXPECT_TRUE(complete.ended);
        EXPECT_EQ(complete.body, "body");
        ScriptedUpstream broken;
        EXPECT_TRUE(broken.run(answer, ScriptedUpstream::Ending::Reset, true).error);
    }

    // Guards against bytes after one reply that the next call on the connection takes for its own.
    TEST(HttpClient, DropsConnectionWithSurplusBytes)
    {
        for (const std::string answer : {
                 "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
                 "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n"
                 "content-length: 5\r\n\r\nwrong",
             }) {
            ScriptedUpstream upstream;
            EXPECT_TRUE(upstream.run(answer, ScriptedUpstream::Ending::KeepOpen).ended);
            // run() waits for a new connection.
            const CallRecord next
                = upstream.run("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nright", ScriptedUpstream::Ending::KeepOpen);
            EXPECT_EQ(next.body, "right") << answer;
        }
        ScriptedUpstream late;
        EXPECT_TRUE(late.run("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ScriptedUpstream::Ending::KeepOpen).ended);
        late.connection->send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong");
        const CallRecord next
            = late.run("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nright", ScriptedUpstream::Ending::KeepOpen);
        EXPECT_EQ(next.body, "right");
    }

    // Guards against a late second reply to an earlier request that is taken for the reply to the next one.
    TEST(HttpClient, SkipsReplyToAnEarlierRequest)
    {
        HttpFixture fixture(ignore);
        const RawServer server;
        std::unique_ptr<RawConnection> connection;
        const auto start = [&](const std::string& id, CallRecord& record) {
            HttpCall call = fixture.call("POST", "/", "body");
            call.authority = server.authority();
            call.request.headers.add("x-id", id);
            call.expectedEcho = HttpHeader { "x-id", id };
            fixture.start(std::move(call), record);
        };
        const auto replyTo = [](const std::string& id) {
            return "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\ncontent-length: 1\r\n\r\n" + id;
        };
        bool ended = false;
        CallRecord first;
        start("a", first);
        ASSERT_TRUE(fixture.runUntil([&] { return (connection = server.accept()) != nullptr; }));
        ASSERT_TRUE(fixture.runUntil([&] { return !connection->receive(ended).empty(); }));
        connection->send(replyTo("a"));
        ASSERT_TRUE(fixture.runUntil([&] { return first.isDone(); }));

        CallRecord second;
        start("b", second);
        ASSERT_TRUE(fixture.runUntil([&] { return !connection->receive(ended).empty(); }));
        connection->send(replyTo("a"));
        fixture.runUntil([] { return false; }, std::chrono::milliseconds(20));
        EXPECT_FALSE(second.isDone());
        connection->send(replyTo("b"));
        ASSERT_TRUE(fixture.runUntil([&] { return second.isDone(); }));
        EXPECT_EQ(second.body, "b");
        EXPECT_EQ(second.headers.find("x-id"), "b");
    }

    /// Sends a request to the server and answers it with the fields. Takes a new connection if the client opens one.
    void exchangeWith(HttpFixture& fixture, const RawServer& server, std::unique_ptr<RawConnection>& connection,
        const std::string& fields)
    {
        HttpCall call = fixture.call("GET", "/");
        call.authority = server.authority();
        CallRecord record;
        fixture.start(std::move(call), record);
        bool ended = false;
        EXPECT_TRUE(fixture.runUntil([&] {
            if (auto accepted = server.accept())
                connection = std::move(accepted);
            return connection && !connection->receive(ended).empty();
        }));
        connection->send("HTTP/1.1 200 OK\r\n" + fields + "content-length: 0\r\n\r\n");
        EXPECT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
    }

    // Guards against a request that crosses the close of an idle connection by the peer.
    TEST(HttpClient, LeavesConnectionBeforeThePeersKeepAliveEnds)
    {
        HttpFixture fixture(ignore);
        const RawServer server;
        std::unique_ptr<RawConnection> connection;
        exchangeWith(fixture, server, connection, "keep-alive: timeout=1\r\n");
        const RawConnection* first = connection.get();
        fixture.runUntil([] { return false; }, std::chrono::milliseconds(400));
        exchangeWith(fixture, server, connection, {});
        EXPECT_NE(connection.get(), first);
    }

    // Guards against a connection for each request to a peer whose keep-alive time overflows.
    TEST(HttpClient, KeepsConnectionForAnyLongKeepAliveTime)
    {
        for (const std::string seconds : { "86400", "9223372036854", "9223372036855", "9223372036854775807" }) {
            HttpFixture fixture(ignore);
            const RawServer server;
            std::unique_ptr<RawConnection> connection;
            exchangeWith(fixture, server, connection, "keep-alive: timeout=" + seconds + "\r\n");
            const RawConnection* first = connection.get();
            exchangeWith(fixture, server, connection, {});
            EXPECT_EQ(connection.get(), first) << seconds;
        }
    }

    // Guards against a request on a connection that the upstream closed while it was idle.
    TEST(HttpClient, ReplacesIdleConnectionThatWasClosed)
    {
        ScriptedUpstream upstream;
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        EXPECT_TRUE(upstream.run(answer, ScriptedUpstream::Ending::Close).ended);
        EXPECT_EQ(upstream.run(answer, ScriptedUpstream::Ending::Close).body, "ok");
    }

    // Guards against calls on idle connections that went silent while their peer did not answer.
    TEST(HttpClient, OpensNewConnectionsAfterClosingIdleOnes)
    {
        ScriptedUpstream upstream;
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        EXPECT_TRUE(upstream.run(answer, ScriptedUpstream::Ending::KeepOpen).ended);
        const std::unique_ptr<RawConnection> first = std::move(upstream.connection);
        upstream.fixture.client->closeIdleConnections();
        EXPECT_EQ(upstream.run(answer, ScriptedUpstream::Ending::KeepOpen).body, "ok");
    }

    // Guards against "not run" answers that are reported as unknown, and against invalid input that is sent.
    TEST(HttpClient, SaysThatRequestWasNotSent)
    {
        HttpFixture fixture(ignore);
        HttpCall refused = fixture.call("GET", "/");
        {
            const RawServer closed;
            refused.authority = closed.authority();
        }
        HttpCall address = fixture.call("GET", "/");
        address.authority = "localhost:80";
        HttpCall path = fixture.call("GET", "/ HTTP/1.1\r\nx: y\r\n");
        HttpCall header = fixture.call("GET", "/");
        header.request.headers.add("x", "y\r\ncontent-length: 3");
        const std::vector<std::pair<HttpCall, Kind>> calls {
            { refused, Kind::ConnectFailed },
            { address, Kind::AddressInvalid },
            { path, Kind::RequestInvalid },
            { header, Kind::RequestInvalid },
        };
        for (const auto& [call, kind] : calls) {
            const CallRecord record = fixture.run(call);
            ASSERT_TRUE(record.error);
            EXPECT_EQ(record.error->kind, kind);
            EXPECT_FALSE(record.error->requestMayHaveBeenSent);
        }
    }

    // Guards against calls that never end: no reply at all, or a stream that falls silent.
    TEST(HttpClient, TimesOutWithoutProgress)
    {
        HttpFixture fixture([&](const auto& exchange) {
            if (exchange->request().path == "/silent")
                return;
            exchange->startStream(200, {});
            for (int index = 0; index < 4; ++index)
                fixture.loop->runAfter(std::chrono::milliseconds(30 * index), [exchange] { exchange->write("x"); });
        });
        for (const std::string path : { "/silent", "/stalled" }) {
            HttpCall call = fixture.call("GET", path);
            call.idleTimeout = std::chrono::milliseconds(60);
            const CallRecord record = fixture.run(std::move(call));
            ASSERT_TRUE(record.error);
            EXPECT_EQ(record.error->kind, Kind::Timeout);
            EXPECT_TRUE(record.error->requestMayHaveBeenSent);
            EXPECT_EQ(record.body, path == "/silent" ? "" : "xxxx");
        }
        EXPECT_EQ(fixture.client->openCalls(), 0u);
    }

    // Guards against a connect attempt without limit. The backlog of the listener is full, so that it drops attempts.
    TEST(HttpClient, TimesOutWhileConnecting)
    {
        HttpFixture fixture(ignore);
        const RawServer server;
        std::vector<CallRecord> records(40);
        for (CallRecord& record : records) {
            HttpCall call = fixture.call("GET", "/");
            call.authority = server.authority();
            call.connectTimeout = std::chrono::milliseconds(100);
            call.idleTimeout = std::chrono::milliseconds(100);
            fixture.start(std::move(call), record);
        }
        int notSent = 0;
        for (const CallRecord& record : records) {
            ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
            ASSERT_TRUE(record.error);
            EXPECT_EQ(record.error->kind, Kind::Timeout);
            notSent += record.error->requestMayHaveBeenSent ? 0 : 1;
        }
        EXPECT_GT(notSent, 0);
    }

    // Guards against callbacks of a cancelled call, also when it is cancelled inside its own callbacks.
    TEST(HttpClient, CancelledCallStaysSilent)
    {
        int closed = 0;
        HttpFixture fixture([&](const auto& exchange) {
            exchange->onClosed([&closed] { ++closed; });
            exchange->startStream(200, {});
            exchange->write("x");
        });
        int calls = 0;
        for (const std::string where : { "outside", "head", "data" }) {
            CallId id = 0;
            bool cancelled = false;
            int later = 0;
            const auto onCallback = [&](const std::string& name) {
                later += cancelled ? 1 : 0;
                if (name != where)
                    return;
                cancelled = true;
                fixture.client->cancel(id);
            };
            HttpCallHandlers handlers;
            handlers.onHead = [&](int, const HttpHeaders&) { onCallback("head"); };
            handlers.onData = [&](std::string_view) { onCallback("data"); };
            handlers.onEnd = [&] { onCallback("end"); };
            handlers.onError = [&](const HttpError&) { onCallback("error"); };
            id = fixture.client->start(fixture.call("GET", "/"), handlers);
            ++calls;
            if (where == "outside") {
                ASSERT_TRUE(fixture.runUntil([&] { return fixture.server->openExchanges() == 1; }));
                onCallback("outside");
            }
            ASSERT_TRUE(fixture.runUntil([&] { return closed == calls; }));
            EXPECT_TRUE(cancelled);
            EXPECT_EQ(later, 0) << where;
            EXPECT_EQ(fixture.client->openCalls(), 0u);
        }
    }

    // Guards against a fast upstream that fills the memory while the caller reads slowly.
    TEST(HttpClient, PausedCallReceivesNothing)
    {
        const std::string chunk(65536, 'x');
        constexpr std::size_t chunks = 400;
        std::shared_ptr<ServerExchange> open;
        HttpFixture fixture([&](const auto& exchange) {
            exchange->startStream(200, {});
            exchange->write("first");
            open = exchange;
        });
        CallRecord record;
        HttpCall call = fixture.call("GET", "/");
        call.idleTimeout = std::chrono::milliseconds(500);
        const CallId id = fixture.start(std::move(call), record);
        ASSERT_TRUE(fixture.runUntil([&] { return !record.body.empty(); }));
        fixture.client->setPaused(id, true);
        for (std::size_t index = 0; index < chunks; ++index)
            open->write(chunk);
        open->finish();
        fixture.runUntil([&] { return record.isDone(); }, std::chrono::milliseconds(1500));
        EXPECT_EQ(record.body, "first");
        EXPECT_FALSE(record.isDone());
        fixture.client->setPaused(id, false);
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_TRUE(record.ended);
        EXPECT_EQ(record.body.size(), 5 + chunks * chunk.size());
    }

    // Guards against replies that reach the wrong call when connections are shared by many.
    TEST(HttpClient, GivesEachConcurrentCallItsOwnReply)
    {
        HttpFixture fixture([&](const auto& exchange) {
            const int delay = static_cast<int>(exchange->request().body.size() * 7 % 5);
            fixture.loop->runAfter(std::chrono::milliseconds(delay), [exchange] {
                exchange->startStream(200, {});
                exchange->write(exchange->request().path);
                exchange->write(exchange->request().body);
                exchange->finish();
            });
        });
        constexpr int concurrent = 50;
        constexpr int total = 3000;
        int started = 0;
        int correct = 0;
        std::vector<std::string> bodies(total);
        std::function<void()> startNext = [&] {
            if (started == total)
                return;
            const int index = started++;
            const std::string path = "/" + std::to_string(index);
            const std::string body(static_cast<std::size_t>(index % 300), static_cast<char>('a' + index % 26));
            HttpCallHandlers handlers;
            handlers.onData = [&bodies, index](std::string_view bytes) { bodies[index].append(bytes); };
            handlers.onEnd = [&, index, expected = path + body] {
                correct += bodies[index] == expected ? 1 : 0;
                startNext();
            };
            handlers.onError = [](const HttpError& error) { ADD_FAILURE() << error.detail; };
            fixture.client->start(fixture.call("POST", path, body), handlers);
        };
        for (int index = 0; index < concurrent; ++index)
            startNext();
        EXPECT_TRUE(fixture.runUntil([&] { return correct == total; }, std::chrono::seconds(30)));
        EXPECT_EQ(correct, total);
    }

    // Guards against replies that arrived in time and are given up by a timer that was due earlier: its time had been
    // extended by progress, and ended after the latest poll.
    TEST(HttpClient, LateLoopTakesRepliesThatArrivedWithinAnExtendedTime)
    {
        using namespace std::chrono_literals;
        HttpFixture fixture(ignore);
        const RawServer server;
        HttpCall call = fixture.call("POST", "/");
        call.authority = server.authority();
        call.idleTimeout = 300ms;
        CallRecord record;
        fixture.start(std::move(call), record);
        std::unique_ptr<RawConnection> connection;
        ASSERT_TRUE(fixture.runUntil([&] { return (connection = server.accept()) != nullptr; }));
        bool ended = false;
        ASSERT_TRUE(fixture.runUntil([&] { return !connection->receive(ended).empty(); }));
        fixture.runUntil([] { return false; }, 50ms);
        // Extends the time to 350 ms; the timer stays due at 300 ms.
        connection->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n");
        ASSERT_TRUE(fixture.runUntil([&] { return record.status == 200; }));
        // No processor from 200 to 310 ms, so that the next poll begins when both other timers are due.
        fixture.loop->runAfter(150ms, [] { std::this_thread::sleep_for(110ms); });
        fixture.loop->runAfter(200ms, [&] {
            connection->send("ok");
            std::this_thread::sleep_for(80ms);
        });
        ASSERT_TRUE(fixture.runUntil([&] { return record.isDone(); }));
        EXPECT_FALSE(record.error) << record.error->detail;
        EXPECT_EQ(record.body, "ok");
    }

    // Guards against replies that arrived in time and are given up, since one poll reads no more than 256 sockets.
    TEST(HttpClient, LateLoopTakesMoreRepliesThanOnePollReads)
    {
        using namespace std::chrono_literals;
        constexpr std::size_t calls = 300;
        HttpFixture fixture(ignore);
        const RawServer server;
        std::vector<CallRecord> records(calls);
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (CallRecord& record : records) {
            HttpCall call = fixture.call("POST", "/");
            call.authority = server.authority();
            call.idleTimeout = 2s;
            fixture.start(std::move(call), record);
            ASSERT_TRUE(fixture.runUntil([&] {
                auto accepted = server.accept();
                if (accepted)
                    connections.push_back(std::move(accepted));
                return connections.size() == static_cast<std::size_t>(&record - records.data()) + 1;
            }));
        }
        fixture.runUntil([] { return false; }, 50ms);
        for (const auto& connection : connections)
            connection->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        std::this_thread::sleep_for(2200ms);
        ASSERT_TRUE(fixture.runUntil([&] {
            return std::all_of(
                records.begin(), records.end(), [](const CallRecord& record) { return record.isDone(); });
        }));
        EXPECT_EQ(std::count_if(records.begin(), records.end(),
                      [](const CallRecord& record) { return record.error.has_value(); }),
            0);
    }

} // namespace
} // namespace teaselshore
