#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_relay_settings.hpp"
#include "resident_bytes.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {
namespace {

    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;
    /// Memory of the smallest hosts, less what a node of a fleet of hundreds takes for itself.
    constexpr std::size_t memoryForResponses = (160 - 64) * megabyte;
    constexpr int attemptsAtOnce = 200;
    constexpr Duration longestAttempt = std::chrono::seconds(20);
    constexpr const char* streamField = "x-mark";

    std::string repeated(std::string_view text, std::size_t bytes)
    {
        std::string result;
        while (result.size() < bytes)
            result.append(text);
        return result;
    }

    /// Bytes of a response that has no end: what it begins with, and what follows again and again.
    struct EndlessResponse {
        std::string name;
        std::string beginning;
        std::string repeats;
    };

    std::vector<EndlessResponse> endlessResponses()
    {
        const std::string okLine = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = okLine + "transfer-encoding: chunked\r\n\r\n";
        const std::string stream = okLine + "content-type: text/event-stream\r\nx-mark: 1\r\n";
        return {
            { "no head", "", "spam" },
            { "status line", "HTTP/1.1 200 ", "OK" },
            { "field", okLine + "x-a: ", "a" },
            { "fields", okLine, "a:\r\n" },
            { "informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n" },
            { "body with a length", okLine + "content-length: 4000000000\r\n\r\n", "a" },
            { "body without a length", okLine + "\r\n", "a" },
            { "body of a failure", "HTTP/1.1 500 Failed\r\n\r\n", "a" },
            { "chunks", chunked, "1\r\na\r\n" },
            { "line of a chunk", chunked + "1;", "a" },
            { "trailers", chunked + "1\r\na\r\n0\r\n", "a: a\r\n" },
            { "event", stream + "\r\nid: 0\ndata: ", "a" },
            { "event in chunks", stream + "transfer-encoding: chunked\r\n\r\n", "5\r\nid: a\r\n" },
            { "response to another request", okLine + "x-echo: other\r\ncontent-length: 4000000000\r\n\r\n", "a" },
        };
    }

    /// An upstream that answers each connection with a response without end, as fast as it is read, and falls silent
    /// after some bytes. Keeps nothing.
    class EndlessUpstream {
    public:
        explicit EndlessUpstream(std::vector<EndlessResponse> responses, std::size_t bytesEach = SIZE_MAX)
            : responses(std::move(responses))
            , bytesEach(bytesEach)
            , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
        {
            for (EndlessResponse& response : this->responses)
                response.repeats = repeated(response.repeats, 12'000);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
            EXPECT_EQ(listen(this->listener, SOMAXCONN), 0);
            socklen_t size = sizeof(address);
            getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
            this->authority = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
            this->thread = std::thread([this] { this->run(); });
        }

        ~EndlessUpstream()
        {
            this->isStopped = true;
            this->thread.join();
            for (const Connection& connection : this->connections)
                close(connection.socket);
            close(this->listener);
        }
        EndlessUpstream(const EndlessUpstream&) = delete;
        EndlessUpstream& operator=(const EndlessUpstream&) = delete;

        std::string authority;

    private:
        struct Connection {
            int socket = -1;
            const EndlessResponse* response = nullptr;
            std::size_t sentOfBeginning = 0;
            std::size_t sentOfRepeats = 0;
            std::size_t sent = 0;
        };

        void run()
        {
            while (!this->isStopped) {
                std::vector<pollfd> waits { { this->listener, POLLIN, 0 } };
                for (const Connection& connection : this->connections)
                    waits.push_back(
                        { connection.socket, static_cast<short>(connection.sent < this->bytesEach ? POLLOUT : 0), 0 });
                poll(waits.data(), waits.size(), 10);
                this->accept();
                for (std::size_t index = 0; index + 1 < waits.size(); ++index) {
                    if (waits[index + 1].revents != 0)
                        this->send(this->connections[index]);
                }
                std::erase_if(this->connections, [](const Connection& connection) { return connection.socket < 0; });
            }
        }

        void accept()
        {
            while (true) {
                const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
                if (socket < 0)
                    return;
                this->connections.push_back({ socket, &this->responses[this->accepted % this->responses.size()] });
                ++this->accepted;
            }
        }

        static void send(Connection& connection)
        {
            const std::string& beginning = connection.response->beginning;
            const bool isBeginning = connection.sentOfBeginning < beginning.size();
            const std::string& bytes = isBeginning ? beginning : connection.response->repeats;
            std::size_t& sent = isBeginning ? connection.sentOfBeginning : connection.sentOfRepeats;
            const ssize_t count = ::send(connection.socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN) {
                close(connection.socket);
                connection.socket = -1;
            }
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                connection.sent += static_cast<std::size_t>(count);
            }
            if (!isBeginning && sent == bytes.size())
                sent = 0;
        }

        std::vector<EndlessResponse> responses;
        std::size_t bytesEach;
        int listener;
        std::vector<Connection> connections;
        std::size_t accepted = 0;
        std::atomic<bool> isStopped = false;
        std::thread thread;
    };

    /// Accepts all that is written to it and never reads any of it, as a connection whose caller stopped to read.
    class UnreadExchange : public ServerExchange {
    public:
        const HttpRequest& request() const override { return this->content; }
        void reply(HttpReply) override { this->pending.clear(); }
        void startStream(int, HttpHeaders) override { }
        void write(std::string_view bytes) override { this->pending.append(bytes); }
        void finish() override { this->pending.clear(); }
        void abort() override { std::string().swap(this->pending); }
        void finishIncomplete() override { std::string().swap(this->pending); }
        std::size_t pendingBytes() const override { return this->pending.size(); }
        void onClosed(std::function<void()>) override { }

    private:
        HttpRequest content;
        std::string pending;
    };

    /// A relay with the limits of teaselshore-entry and many attempts at once.
    class EndlessResponsesTest : public testing::Test {
    protected:
        EndlessResponsesTest()
            : loop(EventLoop::create())
            , relay(*loop, entryRelaySettings(streamField), [this](const RelayEvent& event) { this->onEvent(event); })
        {
        }

        void start(const std::string& authority)
        {
            StartAttempt start;
            start.attempt = ++this->lastAttempt;
            start.request = RequestId("q-" + std::to_string(start.attempt));
            start.authority = authority;
            start.method = "POST";
            start.path = "/";
            start.connectTimeout = std::chrono::seconds(5);
            start.idleTimeout = std::chrono::seconds(5);
            start.expectedEcho = { "x-echo", "mine" };
            start.relay = true;
            this->relay.addCaller(start.request, std::make_shared<UnreadExchange>());
            this->open.insert(start.attempt);
            this->relay.execute(std::move(start));
        }

        void onEvent(const RelayEvent& event)
        {
            if (const auto* failed = std::get_if<AttemptFailed>(&event)) {
                EXPECT_TRUE(failed->mayHaveRun);
                this->end(failed->attempt);
            } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
                this->finished.push_back(*finished);
                this->end(finished->attempt);
            } else if (const auto* gone = std::get_if<CallerGone>(&event)) {
                ++this->callersGone;
                const AttemptId attempt = std::stoull(gone->request.value().substr(2));
                this->open.erase(attempt);
                this->relay.execute(CancelAttempt { attempt });
            }
        }

        void end(AttemptId attempt)
        {
            this->open.erase(attempt);
            this->relay.execute(Respond { RequestId("q-" + std::to_string(attempt)), 502, {}, {} });
        }

        /// Runs until no attempt is open, and returns the most memory that was added meanwhile.
        std::size_t runToTheEnd()
        {
            const std::size_t before = residentBytes();
            const Instant limit = this->loop->now() + longestAttempt;
            std::size_t most = before;
            std::function<void()> look = [&] {
                most = std::max(most, residentBytes());
                if (this->open.empty() || this->loop->now() > limit)
                    this->loop->stop();
                else
                    this->loop->runAfter(std::chrono::milliseconds(1), look);
            };
            this->loop->post(look);
            this->loop->run();
            return most - before;
        }

        std::unique_ptr<EventLoop> loop;
        RequestRelay relay;
        AttemptId lastAttempt = 0;
        std::set<AttemptId> open;
        std::size_t callersGone = 0;
        std::vector<AttemptFinished> finished;
    };

    // Guards against a host that runs out of memory, and with it all requests of other callers, since an upstream sends
    // bytes without end in any part of its responses.
    TEST_F(EndlessResponsesTest, EndWithinTheMemoryOfASmallHost)
    {
        for (const EndlessResponse& response : endlessResponses()) {
            const EndlessUpstream upstream({ response });
            for (int number = 0; number < attemptsAtOnce; ++number)
                this->start(upstream.authority);
            EXPECT_LT(this->runToTheEnd(), memoryForResponses) << response.name;
            EXPECT_TRUE(this->open.empty()) << response.name << ": " << this->open.size() << " never ended";
        }
        EXPECT_TRUE(this->finished.empty());
    }

    // Guards against limits that hold for each part of a response and not for all parts together.
    TEST_F(EndlessResponsesTest, EndWithinTheMemoryOfASmallHostAllTogether)
    {
        const EndlessUpstream upstream(endlessResponses());
        for (int number = 0; number < 2 * attemptsAtOnce; ++number)
            this->start(upstream.authority);
        EXPECT_LT(this->runToTheEnd(), memoryForResponses);
        EXPECT_TRUE(this->open.empty()) << this->open.size() << " never ended";
    }

    // Guards against events without end, each of them whole, that are kept for callers who do not read them.
    TEST_F(EndlessResponsesTest, UnreadEventsOfAllCallersAreBounded)
    {
        const EndlessUpstream upstream({ { "events",
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-mark: 1\r\n\r\n", ": nothing\n\n" } });
        for (int number = 0; number < 2 * attemptsAtOnce; ++number)
            this->start(upstream.authority);
        EXPECT_LT(this->runToTheEnd(), memoryForResponses);
        EXPECT_EQ(this->callersGone, 2u * attemptsAtOnce);
    }

    // Guards against sound responses that are given up since responses without end have used up the memory for all.
    TEST_F(EndlessResponsesTest, SoundResponsesSurviveBesideThem)
    {
        const std::string okLine = "HTTP/1.1 200 OK\r\n";
        // All together a little more than may be collected, each alone far less.
        const std::size_t bytesEach = entryRelaySettings(streamField).maxCollectedTotal / attemptsAtOnce * 11 / 10;
        const EndlessUpstream endless({ { "body", okLine + "content-length: 4000000000\r\n\r\n", "a" } }, bytesEach);
        HttpError error;
        const auto sound = HttpServer::listen(
            *this->loop, {},
            [this](const std::shared_ptr<ServerExchange>& exchange) {
                exchange->startStream(200, { { "content-length", "20000" } });
                const auto more = std::make_shared<std::function<void(int)>>();
                *more = [this, exchange, more](int left) {
                    exchange->write(std::string(200, 's'));
                    if (left > 1)
                        this->loop->runAfter(std::chrono::milliseconds(5), [more, left] { (*more)(left - 1); });
                    else
                        exchange->finish();
                };
                (*more)(100);
            },
            &error);
        constexpr int soundCount = 20;
        for (int number = 0; number < soundCount; ++number)
            this->start("127.0.0.1:" + std::to_string(sound->port()));
        for (int number = 0; number < attemptsAtOnce; ++number)
            this->start(endless.authority);
        EXPECT_LT(this->runToTheEnd(), memoryForResponses);
        EXPECT_EQ(this->finished.size(), std::size_t { soundCount });
        for (const AttemptFinished& response : this->finished)
            EXPECT_EQ(response.body, std::string(20'000, 's'));
    }

} // namespace
} // namespace teaselshore
