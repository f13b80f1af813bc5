#include "teaselshore/daemon/serving_task.hpp"

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "node_settings_from.hpp"
#include "teaselshore/base/clock.hpp"
#include "teaselshore/http/test_support.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr const char* loopback = "127.0.0.1";
    constexpr Duration drainTime = 8s;

    /// Returns a port that was free a moment ago.
    std::uint16_t freePort()
    {
        const auto loop = EventLoop::create();
        HttpError error;
        return HttpServer::listen(
            *loop, {}, [](const auto&) {}, &error)
            ->port();
    }

    /// A ServingTask without peers and platform, in a thread of its own.
    class ServingTaskTest : public testing::Test {
    protected:
        void SetUp() override
        {
            DaemonSettings settings;
            settings.node = "host-a";
            settings.timeouts.drain = this->drain;
            HttpError error;
            // Another process can take a port between the choice and the start of listening.
            for (int attempt = 0; !this->task && attempt < 5; ++attempt) {
                settings.listen = { loopback, freePort() };
                settings.admin = { loopback, freePort() };
                this->task = ServingTask::create(settings, nodeSettingsFrom(settings, NodeId("host-a-1"), 1), &error);
            }
            ASSERT_TRUE(this->task) << error.detail;
            this->port = settings.listen.port;
            ServingOutlets outlets;
            outlets.sendToPeer = [](const std::string&, const PeerContent&) {};
            outlets.forgetPeer = [](const std::string&) {};
            outlets.callObjectApi = [](const ObjectCommand&) {};
            outlets.watchConfiguration = [](bool) {};
            outlets.readHostList = [] {};
            outlets.readNotices = [] {};
            this->task->connect(std::move(outlets));
            this->thread = std::thread([this] {
                this->task->run();
                // As at the end of the process, all connections are closed.
                this->task.reset();
            });
        }

        void TearDown() override
        {
            this->requestStop();
            this->thread.join();
        }

        void requestStop()
        {
            // The task may be gone once it was told to stop.
            if (!std::exchange(this->stopRequested, true))
                this->task->requestStop();
        }

        /// @brief Returns what arrives until the text does, the connection ends or the time is over.
        static std::string receiveUntil(const RawConnection& connection, const std::string& text, bool& hasEnded)
        {
            const Instant limit = monotonicNow() + 2 * drainTime;
            std::string received;
            hasEnded = false;
            while (!hasEnded && received.find(text) == std::string::npos && monotonicNow() < limit) {
                received += connection.receive(hasEnded);
                std::this_thread::sleep_for(1ms);
            }
            return received;
        }

        Duration drain = drainTime;
        std::unique_ptr<ServingTask> task;
        std::thread thread;
        bool stopRequested = false;
        int port = 0;
    };

    // Guards against requests that are read after the last answer, and get neither an answer nor a refusal.
    TEST_F(ServingTaskTest, RequestThatIsReadAfterTheLastAnswerIsToldThatItDidNotRun)
    {
        const RawConnection idle(this->port);
        const RawConnection late(this->port);
        late.send("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{");
        this->requestStop();
        bool hasEnded = false;
        receiveUntil(idle, "\r\n", hasEnded);
        ASSERT_TRUE(hasEnded) << "idle connections are closed once the node has stopped";
        late.send("}");
        const std::string answer = receiveUntil(late, "retryAfterMs", hasEnded);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_NE(answer.find("retry-after: "), std::string::npos) << answer;
        EXPECT_NE(answer.find("\"not_run\""), std::string::npos) << answer;
    }

    // Guards against connections that are closed at the end of a planned stop though no answer had announced it.
    TEST_F(ServingTaskTest, AnswersAnnounceTheCloseOnceTheNodeIsNotReady)
    {
        const std::string request = "GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";
        const RawConnection kept(this->port);
        bool hasEnded = false;
        kept.send(request);
        const std::string before = receiveUntil(kept, "ready\n", hasEnded);
        EXPECT_EQ(before.find("connection: close"), std::string::npos) << before;
        this->requestStop();
        const Instant limit = monotonicNow() + drainTime;
        std::string answer;
        while (!answer.starts_with("HTTP/1.1 503 ") && monotonicNow() < limit) {
            const RawConnection balancer(this->port);
            balancer.send(request);
            answer = receiveUntil(balancer, "\n\r\n", hasEnded);
        }
        EXPECT_NE(answer.find("connection: close"), std::string::npos) << answer;
        kept.send(request);
        answer = receiveUntil(kept, "stopping\n", hasEnded);
        EXPECT_NE(answer.find("connection: close"), std::string::npos) << answer;
    }

    /// As ServingTaskTest, with one upstream that never answers.
    class ServingTaskWithUpstream : public ServingTaskTest {
    protected:
        void SetUp() override
        {
            this->drain = shortDrainTime;
            ServingTaskTest::SetUp();
            this->task->deliver(ConfigurationRead { 1,
                fmt::format(R"(
regions:
  - {{name: r, zones: [a]}}
classes:
  - {{name: interactive, priority: 0, first-token-ms: 500, deadline-ms: 30000}}
workspaces:
  - {{name: w, share: 1}}
services:
  - name: ordering
    kind: plain
    versions:
      - {{name: v1}}
    upstreams:
      - {{id: u-1, zone: a, address: "{}", version: v1, capacity: 10}}
    routes:
      - {{name: status, path: /orders/, method: GET, class: interactive, idempotent: true}}
)",
                    this->upstream.authority()) });
        }

        static constexpr Duration shortDrainTime = 2s;
        RawServer upstream;
    };

    // Guards against requests that are open when the drain time is over, and whose callers get no answer.
    TEST_F(ServingTaskWithUpstream, OpenRequestIsAnsweredAtTheEndOfAPlannedStop)
    {
        const RawConnection caller(this->port);
        caller.send("GET /orders/1 HTTP/1.1\r\nhost: a\r\nx-workspace: w\r\n\r\n");
        std::unique_ptr<RawConnection> attempt;
        for (const Instant limit = monotonicNow() + drainTime; !attempt && monotonicNow() < limit;) {
            attempt = this->upstream.accept();
            std::this_thread::sleep_for(1ms);
        }
        ASSERT_TRUE(attempt) << "the upstream has the request";
        const Instant stopAt = monotonicNow();
        this->requestStop();
        bool hasEnded = false;
        const std::string answer = receiveUntil(caller, "\"failed\"", hasEnded);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
        EXPECT_LT(monotonicNow(), stopAt + shortDrainTime);
    }

} // namespace
} // namespace teaselshore
