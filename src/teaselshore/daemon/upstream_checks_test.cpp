#include "upstream_checks.hpp"

#include <optional>

#include <gtest/gtest.h>

#include "teaselshore/http/http_server.hpp"

namespace teaselshore {
namespace {

    using State = UpstreamChecked::State;

    /// An upstream that answers checks as a test says, on the loop of the checks.
    class UpstreamChecksTest : public testing::Test {
    protected:
        UpstreamChecksTest()
            : loop(EventLoop::create())
            , checks(*loop, [this](UpstreamChecked result) {
                this->result = std::move(result);
                this->loop->stop();
            })
        {
            HttpError error;
            this->upstream = HttpServer::listen(
                *this->loop, {},
                [this](const std::shared_ptr<ServerExchange>& exchange) {
                    this->requested = exchange->request();
                    if (this->status == 0)
                        this->silent.push_back(exchange);
                    else
                        exchange->reply({ this->status, {}, "body" });
                },
                &error);
            this->port = this->upstream->port();
            this->loop->runAfter(std::chrono::seconds(5), [this] { this->loop->stop(); });
        }

        State check()
        {
            this->checks.execute({ UpstreamId("i-1@5"), "127.0.0.1:" + std::to_string(this->port), "i-1", "/health" });
            this->loop->run();
            EXPECT_TRUE(this->result);
            return this->result ? this->result->state : State::Unknown;
        }

        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<HttpServer> upstream;
        int port = 0;
        int status = 200;
        HttpRequest requested;
        std::vector<std::shared_ptr<ServerExchange>> silent;
        std::optional<UpstreamChecked> result;
        UpstreamChecks checks;
    };

    // Guards against upstreams that count as ended though they only reset a connection.
    TEST_F(UpstreamChecksTest, ProcessThatAnswersStillRuns)
    {
        EXPECT_EQ(this->check(), State::Answered);
        EXPECT_EQ(this->requested.path, "/health");
        EXPECT_EQ(this->result->upstream, UpstreamId("i-1@5"));
    }

    // Guards against a busy or leaving upstream that counts as ended since it refuses the check.
    TEST_F(UpstreamChecksTest, ProcessThatRefusesTheCheckStillRuns)
    {
        this->status = 503;
        EXPECT_EQ(this->check(), State::Answered);
    }

    // Guards against a crash that goes unseen since another process has taken the address already.
    TEST_F(UpstreamChecksTest, OtherProcessAtTheAddressShowsTheEnd)
    {
        this->status = 421;
        EXPECT_EQ(this->check(), State::Ended);
    }

    // Guards against a crash that goes unseen: nothing listens at the address any more.
    TEST_F(UpstreamChecksTest, RefusedConnectionShowsTheEnd)
    {
        this->upstream.reset();
        EXPECT_EQ(this->check(), State::Ended);
    }

    // Guards against upstreams that count as ended while they are cut off or frozen.
    TEST_F(UpstreamChecksTest, SilenceShowsNothing)
    {
        this->status = 0;
        EXPECT_EQ(this->check(), State::Unknown);
    }

} // namespace
} // namespace teaselshore
