#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/daemon/request_relay.hpp"
#include "teaselshore/node/event_splitter.hpp"

namespace teaselshore {
namespace {

    constexpr Duration testLimit = std::chrono::seconds(5);
    /// Time for written bytes to leave before the connection is broken off.
    constexpr Duration flushTime = std::chrono::milliseconds(30);

    std::string event(int index) { return "id: " + std::to_string(index) + "\ndata: token\n\n"; }

    /// A caller, a relay and scripted upstreams on one event loop.
    class RequestRelayTest : public testing::Test {
    protected:
        RequestRelayTest()
            : loop(EventLoop::create())
            , relay(*loop, {}, [this](const RelayEvent& relayEvent) { this->onEvent(relayEvent); })
            , client(HttpClient::create(*loop))
        {
            HttpError error;
            this->entry = HttpServer::listen(
                *this->loop, {}, [this](const std::shared_ptr<ServerExchange>& exchange) { this->onCaller(exchange); },
                &error);
            this->upstream = HttpServer::listen(
                *this->loop, {},
                [this](const std::shared_ptr<ServerExchange>& exchange) { this->onUpstream(exchange); }, &error);
            this->loop->runAfter(testLimit, [this] { this->loop->stop(); });
        }

        void call()
        {
            HttpCallHandlers handlers;
            handlers.onHead = [this](int code, const HttpHeaders&) { this->status = code; };
            handlers.onData = [this](std::string_view bytes) { this->received.append(bytes); };
            handlers.onEnd = [this] { this->end(true); };
            handlers.onError = [this](const HttpError&) { this->end(false); };
            this->client->start(
                { "127.0.0.1:" + std::to_string(this->entry->port()), { "POST", "/", {}, "{}" } }, handlers);
            this->loop->run();
        }

        void end(bool whole)
        {
            this->complete = whole;
            this->loop->stop();
        }

        void onCaller(const std::shared_ptr<ServerExchange>& exchange)
        {
            this->relay.addCaller(this->request, exchange);
            this->startAttempt();
        }

        void startAttempt() { this->relay.execute(this->attempt()); }

        StartAttempt attempt()
        {
            StartAttempt start;
            start.attempt = ++this->lastAttempt;
            start.request = this->request;
            start.authority = "127.0.0.1:" + std::to_string(this->upstream->port());
            start.method = "POST";
            start.path = "/v1/chat/completions";
            start.connectTimeout = std::chrono::seconds(1);
            start.idleTimeout = std::chrono::seconds(1);
            start.relay = true;
            return start;
        }

        void onUpstream(const std::shared_ptr<ServerExchange>& exchange) { this->script(exchange); }

        void onEvent(const RelayEvent& relayEvent)
        {
            if (const auto* failed = std::get_if<AttemptFailed>(&relayEvent))
                this->failures.push_back(*failed);
            if (this->onFailed && std::holds_alternative<AttemptFailed>(relayEvent))
                this->onFailed();
        }

        std::unique_ptr<EventLoop> loop;
        RequestRelay relay;
        std::unique_ptr<HttpClient> client;
        std::unique_ptr<HttpServer> entry;
        std::unique_ptr<HttpServer> upstream;
        std::function<void(std::shared_ptr<ServerExchange>)> script;
        std::function<void()> onFailed;
        std::vector<AttemptFailed> failures;
        const RequestId request { "q-1" };
        AttemptId lastAttempt = 0;
        int status = 0;
        std::string received;
        bool complete = false;
    };

    // Guards against a daemon that aborts, because it had sent a response head, when the upstream dies before the first
    // event and the request then ends with an error.
    TEST_F(RequestRelayTest, ErrorAfterDeathBeforeFirstEvent)
    {
        this->script = [](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            exchange->write("id: 0\nda");
            exchange->abort();
        };
        this->onFailed = [this] { this->relay.execute(Respond { this->request, 502, {}, "failed" }); };
        this->call();
        EXPECT_EQ(this->status, 502);
        EXPECT_EQ(this->received, "failed");
        ASSERT_EQ(this->failures.size(), 1u);
        EXPECT_EQ(this->failures[0].relayedEvents, 0u);
        EXPECT_TRUE(this->failures[0].connectionBroken);
    }

    // Guards against lost, repeated or partial events when a stream goes on at another upstream.
    TEST_F(RequestRelayTest, StreamContinuesAtNextUpstreamWithoutGap)
    {
        this->script = [this](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            if (this->lastAttempt == 1) {
                exchange->write(event(0) + event(1) + "id: 2\nda");
                this->loop->runAfter(flushTime, [exchange] { exchange->abort(); });
                return;
            }
            exchange->write(event(2) + event(3) + "data: [DONE]\n\n");
            exchange->finish();
        };
        this->onFailed = [this] { this->startAttempt(); };
        this->call();
        EXPECT_TRUE(this->complete);
        EXPECT_EQ(this->received, event(0) + event(1) + event(2) + event(3) + "data: [DONE]\n\n");
        ASSERT_EQ(this->failures.size(), 1u);
        EXPECT_EQ(this->failures[0].relayedEvents, 2u);
    }

    // Guards against a caller that gets the bytes of an event of a cancelled attempt joined with the first event of the
    // next attempt.
    TEST_F(RequestRelayTest, CancelledAttemptLeavesNothingOfItsEvent)
    {
        this->script = [this](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            if (this->lastAttempt == 1) {
                exchange->write("id: 0\ndata: of the first");
                this->loop->runAfter(flushTime, [this] {
                    this->relay.execute(CancelAttempt { 1 });
                    this->startAttempt();
                });
                return;
            }
            exchange->write(event(0) + "data: [DONE]\n\n");
            exchange->finish();
        };
        this->call();
        EXPECT_TRUE(this->complete);
        EXPECT_EQ(this->received, event(0) + "data: [DONE]\n\n");
    }

    /// How an attempt ends before its stream does.
    enum class Ending { Cancelled, Interrupted, Reset, EndedEarly };

    /// An attempt of a drawn stream, up to where it ends.
    struct DrawnAttempt {
        /// Events before the first missing one that the upstream sends again.
        int repeated = 0;
        std::size_t bytes = 0;
        std::size_t bytesPerWrite = 0;
        Ending ending = Ending::Cancelled;
    };

    std::string eventOfRun(int index, AttemptId run)
    {
        return "id: " + std::to_string(index) + "\ndata: of run " + std::to_string(run) + "\n\n";
    }

    // Guards against streams whose callers get the bytes of two runs joined, an event twice or one less: upstreams
    // write in pieces of any size, and each attempt ends at any byte in any of the ways there are.
    RC_GTEST_FIXTURE_PROP(RequestRelayTest, StreamOfAnyAttemptsHoldsEachEventOnce, ())
    {
        constexpr auto pauseBetweenWrites = std::chrono::microseconds(200);
        const int total = *rc::gen::inRange(1, 6);
        const auto drawn = *rc::gen::container<std::vector<DrawnAttempt>>(*rc::gen::inRange<std::size_t>(0, 4),
            rc::gen::build<DrawnAttempt>(rc::gen::set(&DrawnAttempt::repeated, rc::gen::inRange(0, 3)),
                rc::gen::set(&DrawnAttempt::bytes, rc::gen::inRange<std::size_t>(0, 60)),
                rc::gen::set(&DrawnAttempt::bytesPerWrite, rc::gen::inRange<std::size_t>(1, 30)),
                rc::gen::set(&DrawnAttempt::ending,
                    rc::gen::element(Ending::Cancelled, Ending::Interrupted, Ending::Reset, Ending::EndedEarly))));
        // Number of events that the owner of the relay knows to be delivered.
        int known = 0;
        std::function<void(std::shared_ptr<ServerExchange>, std::string, DrawnAttempt)> write;
        write = [&](const std::shared_ptr<ServerExchange>& exchange, std::string text, const DrawnAttempt& attempt) {
            if (!text.empty()) {
                exchange->write(text.substr(0, attempt.bytesPerWrite));
                text.erase(0, attempt.bytesPerWrite);
                this->loop->runAfter(
                    pauseBetweenWrites, [&write, exchange, text, attempt] { write(exchange, text, attempt); });
                return;
            }
            switch (attempt.ending) {
            case Ending::Cancelled:
                this->relay.execute(CancelAttempt { this->lastAttempt });
                this->startAttempt();
                return;
            case Ending::Interrupted:
                this->relay.execute(InterruptAttempt { this->lastAttempt });
                return;
            case Ending::Reset:
                exchange->abort();
                return;
            case Ending::EndedEarly:
                exchange->finish();
                return;
            }
        };
        this->script = [&](const std::shared_ptr<ServerExchange>& exchange) {
            const AttemptId run = this->lastAttempt;
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            std::string text;
            if (run > drawn.size()) {
                for (int index = known; index < total; ++index)
                    text += eventOfRun(index, run);
                exchange->write(text + "data: [DONE]\n\n");
                exchange->finish();
                return;
            }
            const DrawnAttempt& attempt = drawn[run - 1];
            for (int index = std::max(0, known - attempt.repeated); index < total; ++index)
                text += eventOfRun(index, run);
            write(exchange, text.substr(0, attempt.bytes), attempt);
        };
        this->onFailed = [&] {
            known = static_cast<int>(this->failures.back().relayedEvents);
            this->startAttempt();
        };
        this->call();

        RC_ASSERT(this->complete);
        std::string_view rest = this->received;
        for (int index = 0; index < total; ++index) {
            bool isFound = false;
            for (AttemptId run = 1; run <= this->lastAttempt && !isFound; ++run) {
                const std::string text = eventOfRun(index, run);
                isFound = rest.starts_with(text);
                if (isFound)
                    rest.remove_prefix(text.size());
            }
            RC_ASSERT(isFound);
        }
        RC_ASSERT(rest == "data: [DONE]\n\n");
    }

    // Guards against memory and processor time without bound while an upstream sends an event that has no end.
    TEST_F(RequestRelayTest, EventWithoutEndIsGivenUp)
    {
        std::size_t written = 0;
        this->script = [this, &written](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            exchange->write(event(0) + "id: 1\ndata: ");
            const auto more = std::make_shared<std::function<void()>>();
            *more = [this, exchange, more, &written] {
                if (!this->failures.empty())
                    return;
                exchange->write(std::string(10'000, 'a'));
                written += 10'000;
                this->loop->runAfter(std::chrono::milliseconds(1), *more);
            };
            (*more)();
        };
        this->onFailed = [this] { this->relay.execute(FailStream { this->request, "{}" }); };
        this->call();
        ASSERT_EQ(this->failures.size(), 1u);
        EXPECT_LT(written, 4 * EventSplitter::maxEventBytes);
        EXPECT_EQ(this->received, event(0) + "event: error\ndata: {}\n\n");
        EXPECT_EQ(this->relay.counters().endlessResponses, 1u);
    }

    // Guards against a caller that waits for its deadline while a response is collected that is longer than the limit.
    TEST_F(RequestRelayTest, ResponseOfAnnouncedLengthBeyondTheLimitIsGivenUpAtItsHead)
    {
        this->script = [](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-length", "1000000000" } });
            exchange->write("first bytes");
        };
        this->onFailed = [this] { this->relay.execute(Respond { this->request, 502, {}, "failed" }); };
        const Instant start = this->loop->now();
        this->call();
        EXPECT_EQ(this->received, "failed");
        ASSERT_EQ(this->failures.size(), 1u);
        EXPECT_TRUE(this->failures[0].mayHaveRun);
        EXPECT_EQ(this->relay.counters().endlessResponses, 1u);
        EXPECT_LT(this->loop->now() - start, std::chrono::milliseconds(500)) << "the idle timeout is 1 s";
    }

    // Guards against answers to HEAD that are given up for the length of a body that does not follow.
    TEST_F(RequestRelayTest, AnswerToHeadMayAnnounceAnyLength)
    {
        bool finished = false;
        RequestRelay heads(*this->loop, {}, [&](const RelayEvent& relayEvent) {
            finished = std::holds_alternative<AttemptFinished>(relayEvent);
            this->loop->stop();
        });
        this->script = [](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-length", "1000000000" } });
            exchange->finish();
        };
        StartAttempt start = this->attempt();
        start.method = "HEAD";
        heads.execute(std::move(start));
        this->loop->run();
        EXPECT_TRUE(finished);
    }

    // Guards against memory that grows with the number of upstreams that send a body without end at the same time.
    TEST_F(RequestRelayTest, ResponsesCollectedTogetherAreBounded)
    {
        RequestRelay::Settings settings;
        settings.maxCollectedBytes = 100'000;
        settings.maxCollectedTotal = 250'000;
        std::size_t failed = 0;
        RequestRelay bounded(*this->loop, settings, [&](const RelayEvent& relayEvent) {
            if (const auto* end = std::get_if<AttemptFailed>(&relayEvent)) {
                EXPECT_TRUE(end->mayHaveRun);
                if (++failed == 10)
                    this->loop->stop();
            }
        });
        this->script = [this](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, {});
            const auto more = std::make_shared<std::function<void()>>();
            *more = [this, exchange, more] {
                exchange->write(std::string(1'000, 'a'));
                this->loop->runAfter(std::chrono::milliseconds(1), *more);
            };
            (*more)();
        };
        for (AttemptId id = 1; id <= 10; ++id) {
            StartAttempt start;
            start.attempt = id;
            start.request = RequestId("q-" + std::to_string(id));
            start.authority = "127.0.0.1:" + std::to_string(this->upstream->port());
            start.method = "POST";
            start.path = "/";
            start.connectTimeout = std::chrono::seconds(1);
            start.idleTimeout = std::chrono::seconds(1);
            bounded.execute(std::move(start));
        }
        this->loop->run();
        EXPECT_EQ(failed, 10u);
        EXPECT_EQ(bounded.counters().endlessResponses, 10u);
        EXPECT_EQ(bounded.openAttempts(), 0u);
    }

    // Guards against another request's response reaching this caller.
    TEST_F(RequestRelayTest, MisdirectedResponseIsDropped)
    {
        this->script = [](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" }, { "x-request-id", "q-2" } });
            exchange->write(event(0) + "data: [DONE]\n\n");
            exchange->finish();
        };
        this->onFailed = [this] { this->relay.execute(Respond { this->request, 502, {}, "failed" }); };
        this->call();
        EXPECT_EQ(this->received, "failed");
        EXPECT_EQ(this->relay.counters().misdirectedResponses, 1u);
    }

    // Guards against a stream without an end mark that is taken for complete although it ends inside an event, and
    // against passing on the part of that event.
    TEST_F(RequestRelayTest, FramedStreamThatEndsInsideAnEventIsBrokenOff)
    {
        for (const std::string& last :
            { std::string(), std::string("id: 1\nda"), std::string("id: 1\ndata: token\n") }) {
            RequestRelay::Settings settings;
            settings.streams = FramedStreams { "x-mark" };
            std::size_t failed = 0;
            std::size_t finished = 0;
            RequestRelay framed(*this->loop, settings, [&](const RelayEvent& relayEvent) {
                failed += std::holds_alternative<AttemptFailed>(relayEvent) ? 1 : 0;
                finished += std::holds_alternative<AttemptFinished>(relayEvent) ? 1 : 0;
                if (std::holds_alternative<AttemptFailed>(relayEvent))
                    framed.execute(FailStream { this->request, {} });
            });
            HttpError error;
            this->entry = HttpServer::listen(
                *this->loop, {},
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                    framed.addCaller(this->request, exchange);
                    framed.execute(this->attempt());
                },
                &error);
            this->script = [&last](const std::shared_ptr<ServerExchange>& exchange) {
                exchange->startStream(200, { { "content-type", "text/event-stream" }, { "x-mark", "1" } });
                exchange->write(event(0) + last);
                exchange->finish();
            };
            this->received.clear();
            this->call();
            EXPECT_EQ(this->received, event(0)) << last;
            EXPECT_EQ(this->complete, last.empty()) << last;
            EXPECT_EQ(failed, last.empty() ? 0u : 1u) << last;
            EXPECT_EQ(finished, last.empty() ? 1u : 0u) << last;
        }
    }

    // Guards against a stream that ends early being taken for a complete response, and against a lost error event.
    TEST_F(RequestRelayTest, StreamWithoutEndMarkEndsWithErrorEvent)
    {
        this->script = [](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startStream(200, { { "content-type", "text/event-stream" } });
            exchange->write(event(0));
            exchange->finish();
        };
        this->onFailed = [this] { this->relay.execute(FailStream { this->request, "{}" }); };
        this->call();
        EXPECT_EQ(this->failures.size(), 1u);
        EXPECT_EQ(this->received, event(0) + "event: error\ndata: {}\n\n");
    }

} // namespace
} // namespace teaselshore
