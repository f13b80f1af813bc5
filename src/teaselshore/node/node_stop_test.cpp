#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/journal/fake_store_test_support.hpp"
#include "teaselshore/node/node.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration grace = 8s;
    constexpr Duration step = 20ms;
    constexpr Instant stopAt { 1000s };
    /// Time in which a node that starts owns the slots of its journal.
    constexpr Duration claimTime = 10s;
    /// The latest time at which the load balancer may still send requests, and a margin.
    constexpr Duration balancerTime = 2100ms;
    constexpr int statusNotRun = 503;
    constexpr int statusUnknown = 504;
    constexpr int statusFailed = 502;

    constexpr const char* configurationText = R"(
regions:
  - {name: r, zones: [a]}
classes:
  - {name: interactive, priority: 0, first-token-ms: 500, deadline-ms: 30000}
workspaces:
  - {name: w, share: 1}
services:
  - name: ordering
    kind: plain
    versions:
      - {name: v1}
    upstreams:
      - {id: u-1, zone: a, address: "127.0.0.1:9001", version: v1, capacity: 100}
    routes:
      - {name: status, path: /orders/, method: GET, class: interactive, idempotent: true}
      - {name: order, path: /orders, method: POST, class: interactive, idempotent: false}
  - name: narrow
    kind: plain
    versions:
      - {name: v1}
    upstreams:
      - {id: u-2, zone: a, address: "127.0.0.1:9002", version: v1, capacity: 1}
    routes:
      - {name: find, path: /find/, method: GET, class: interactive, idempotent: true}
)";

    NodeSettings nodeSettings()
    {
        NodeSettings settings;
        settings.self.id = NodeId("node-0");
        settings.self.zone = AvailabilityZone("a");
        settings.self.region = Region("r");
        settings.self.address = "127.0.0.1:7000";
        settings.hostName = "host-0";
        settings.seed = 1;
        settings.router.zone = settings.self.zone;
        settings.drainTimeout = grace;
        return settings;
    }

    /// One node whose upstream answers when it is told to.
    class StoppingNode {
    public:
        StoppingNode()
        {
            this->deliver(ConfigurationRead { 1, configurationText });
            const auto& refused = this->node.refusedConfiguration();
            EXPECT_TRUE(this->node.configuration()) << (refused ? refused->reason : "");
            this->advanceTo(stopAt - 1s);
        }

        /// @brief Returns the id of the request that was sent.
        RequestId request(
            const std::string& method, const std::string& path, Duration timeLimit = 30s, HeaderList headers = {})
        {
            RequestId id = this->node.nextRequestId();
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLimit).count();
            headers.emplace_back("x-workspace", "w");
            headers.emplace_back("x-deadline-ms", std::to_string(milliseconds));
            this->deliver(RequestArrived { id, method, path, std::move(headers), "" });
            return id;
        }

        /// @brief Goes on until the load balancer sends no more. The open request keeps the process.
        void stopWithAnOpenRequest()
        {
            this->advanceTo(stopAt);
            this->request("GET", "/orders/1");
            this->deliver(StopRequested {});
            this->advanceTo(stopAt + balancerTime);
        }

        void finish(const RequestId& id)
        {
            if (const auto attempt = this->attempts.find(id); attempt != this->attempts.end())
                this->deliver(AttemptFinished { attempt->second, 200, {}, "{}", false, 0 });
        }

        void startStream(const RequestId& id) { this->deliver(AttemptStarted { this->attempts.at(id), {} }); }

        void advanceTo(Instant end)
        {
            while (this->now < end && !this->stoppedAt) {
                this->now += step;
                for (ObjectResult& reply : std::exchange(this->replies, {}))
                    this->deliver(std::move(reply));
                this->deliver(Tick {});
            }
        }

        void deliver(NodeEvent event)
        {
            for (const NodeCommand& command : this->node.handle(std::move(event), this->now)) {
                if (const auto* start = std::get_if<StartAttempt>(&command)) {
                    EXPECT_FALSE(this->stoppedAt) << "an attempt behind the end of the process";
                    this->attempts.insert_or_assign(start->request, start->attempt);
                } else if (const auto* response = std::get_if<Respond>(&command)) {
                    this->answer(response->request, response->status);
                } else if (const auto* failure = std::get_if<FailStream>(&command)) {
                    this->answer(failure->request, statusFailed);
                } else if (const auto* call = std::get_if<CallObjectApi>(&command)) {
                    this->replies.push_back(this->store.apply(call->call));
                } else if (const auto* stop = std::get_if<StopProcess>(&command)) {
                    this->stoppedAt = this->now;
                    this->processEnd = stop->deadline;
                }
            }
        }

        Node node { nodeSettings() };
        Instant now = stopAt - claimTime;
        std::map<RequestId, AttemptId> attempts;
        std::map<RequestId, int> answers;
        std::optional<Instant> stoppedAt;
        Instant processEnd {};

    private:
        void answer(const RequestId& id, int status)
        {
            EXPECT_FALSE(this->stoppedAt) << "the end of the process was announced before the answer";
            EXPECT_TRUE(this->answers.emplace(id, status).second) << "two answers";
        }

        test::FakeStore store;
        std::vector<ObjectResult> replies;
    };

    // Guards against requests that a kept connection brings late in a planned stop, and that are cut at its end.
    TEST(NodeStop, LateRequestThatMayOutlastTheProcessIsToldThatItDidNotRun)
    {
        StoppingNode node;
        node.stopWithAnOpenRequest();
        const RequestId tooLong = node.request("GET", "/orders/2");
        EXPECT_FALSE(node.attempts.contains(tooLong));
        EXPECT_EQ(node.answers[tooLong], statusNotRun);
        const RequestId shortOne = node.request("GET", "/orders/3", 4s);
        EXPECT_TRUE(node.attempts.contains(shortOne)) << "it ends before the process does";
    }

    // Guards against requests that get no answer since the process ends while they wait or run.
    TEST(NodeStop, OpenRequestsAreAnsweredBeforeTheProcessEnds)
    {
        StoppingNode node;
        node.advanceTo(stopAt);
        const RequestId running = node.request("GET", "/orders/1");
        const RequestId stream = node.request("GET", "/orders/2");
        node.startStream(stream);
        node.request("GET", "/find/1");
        const RequestId waiting = node.request("GET", "/find/2");
        ASSERT_FALSE(node.attempts.contains(waiting));
        const RequestId order = node.request("POST", "/orders");
        node.advanceTo(stopAt + 1s);
        ASSERT_TRUE(node.answers.empty());
        node.deliver(StopRequested {});
        node.advanceTo(stopAt + 2 * grace);
        ASSERT_TRUE(node.stoppedAt);
        EXPECT_EQ(node.answers[running], statusFailed);
        EXPECT_EQ(node.answers[stream], statusFailed);
        EXPECT_EQ(node.answers[waiting], statusNotRun);
        EXPECT_EQ(node.answers[order], statusUnknown);
    }

    // Guards against a process that the host ends before its callers have their answers, since its event loop came to
    // the request to stop late.
    TEST(NodeStop, TimeForOpenRequestsCountsFromTheRequestToStop)
    {
        StoppingNode node;
        node.advanceTo(stopAt);
        node.request("GET", "/orders/1");
        node.now += 900ms;
        node.deliver(StopRequested { {}, stopAt });
        node.advanceTo(stopAt + 2 * grace);
        ASSERT_TRUE(node.stoppedAt);
        EXPECT_LT(*node.stoppedAt, stopAt + grace - 200ms);
        EXPECT_LT(node.processEnd, stopAt + grace);
    }

    // Guards against a journalled request that takes the place of one that the stop has ended, and runs when the node
    // has gone. A request to stop that is handled late must release the journal all the same.
    TEST(NodeStop, NothingStartsOnceTheEndIsAnnounced)
    {
        StoppingNode node;
        node.advanceTo(stopAt);
        node.request("GET", "/find/1");
        const RequestId waiting = node.request("GET", "/find/2", 30s, { { "prefer", "respond-async" } });
        node.advanceTo(stopAt + 1s);
        ASSERT_EQ(node.answers[waiting], 202);
        ASSERT_FALSE(node.attempts.contains(waiting));
        node.now += grace;
        node.deliver(StopRequested { {}, node.now - grace * 9 / 10 });
        node.advanceTo(node.now + grace);
        EXPECT_TRUE(node.stoppedAt);
    }

    // Guards against a repeated request that the node refuses by itself, though the journal may know that its key has
    // run.
    TEST(NodeStop, LateRequestWithAKeyIsAnsweredByTheJournal)
    {
        StoppingNode node;
        node.stopWithAnOpenRequest();
        for (const bool hasKey : { false, true }) {
            HeaderList headers { { "x-workspace", "w" } };
            if (hasKey)
                headers.emplace_back("idempotency-key", "k");
            const NodeCommands commands = node.node.handle(
                RequestArrived { node.node.nextRequestId(), "POST", "/orders", headers, "" }, node.now);
            const bool isRefused = std::any_of(commands.begin(), commands.end(), [](const NodeCommand& command) {
                const auto* response = std::get_if<Respond>(&command);
                return response && response->body.find("this node stops") != std::string::npos;
            });
            EXPECT_EQ(isRefused, !hasKey);
        }
    }

    // Guards against a request that was moved from an upstream, and is told at the end that it did not run.
    TEST(NodeStop, InterruptedRequestIsNotToldThatItDidNotRun)
    {
        StoppingNode node;
        node.advanceTo(stopAt);
        const RequestId moved = node.request("GET", "/orders/1");
        node.deliver(NoticesRead { { { "u-1", 1s } } });
        node.advanceTo(stopAt + 100ms);
        node.deliver(AttemptFailed { node.attempts.at(moved), true, false, 0, "interrupted", std::nullopt });
        node.deliver(StopRequested {});
        node.advanceTo(stopAt + 2 * grace);
        EXPECT_EQ(node.answers[moved], statusFailed);
    }

    // Guards against requests that a node takes once it has announced its end.
    TEST(NodeStop, RequestsAfterTheEndAreRefused)
    {
        StoppingNode node;
        node.advanceTo(stopAt);
        node.deliver(StopRequested {});
        node.advanceTo(stopAt + 2 * grace);
        ASSERT_TRUE(node.stoppedAt);
        for (const char* path : { "/orders/1", "/v1/requests/unknown" }) {
            const NodeCommands commands = node.node.handle(
                RequestArrived { node.node.nextRequestId(), "GET", path, { { "x-deadline-ms", "1" } }, "" }, node.now);
            ASSERT_EQ(commands.size(), 1u) << path;
            const auto* response = std::get_if<Respond>(&commands.front());
            ASSERT_TRUE(response) << path;
            EXPECT_EQ(response->status, statusNotRun) << path;
        }
    }

    // Guards against requests without an answer, or that were taken late and are ended by the stop, whenever they come.
    RC_GTEST_PROP(NodeStopRandom, EachRequestIsAnsweredAndNoLateOneIsCut, ())
    {
        struct Drawn {
            Instant sentAt;
            Duration timeLimit;
            Duration runTime;
        };
        const auto milliseconds
            = [](int from, int to) { return std::chrono::milliseconds(*rc::gen::inRange(from, to)); };
        std::vector<Drawn> requests;
        for (int count = *rc::gen::inRange(1, 20); count > 0; --count)
            requests.push_back(
                { stopAt + milliseconds(-1000, 9000), milliseconds(1, 12'000), milliseconds(1, 12'000) });
        std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) { return a.sentAt < b.sentAt; });

        StoppingNode node;
        std::multimap<Instant, RequestId> ends;
        std::map<RequestId, Drawn> sent;
        bool isStopping = false;
        auto next = requests.begin();
        while (!node.stoppedAt && node.now < stopAt + 2 * grace) {
            if (!isStopping && node.now >= stopAt) {
                isStopping = true;
                node.deliver(StopRequested { {}, node.now });
            }
            for (; next != requests.end() && next->sentAt <= node.now && !node.stoppedAt; ++next) {
                const RequestId id = node.request("GET", "/orders/1", next->timeLimit);
                sent.emplace(id, *next);
                ends.emplace(node.now + next->runTime, id);
            }
            for (; !ends.empty() && ends.begin()->first <= node.now && !node.stoppedAt; ends.erase(ends.begin())) {
                if (!node.answers.contains(ends.begin()->second))
                    node.finish(ends.begin()->second);
            }
            node.advanceTo(node.now + step);
        }
        RC_ASSERT(node.stoppedAt.has_value());
        RC_ASSERT(*node.stoppedAt < stopAt + grace);
        for (const auto& [id, request] : sent) {
            RC_ASSERT(node.answers.contains(id));
            const bool isLate = request.sentAt >= stopAt + balancerTime;
            const bool isOverTime = request.runTime + 2 * step > request.timeLimit;
            if (isLate && node.attempts.contains(id) && !isOverTime)
                RC_ASSERT(node.answers[id] == 200);
        }
    }

} // namespace
} // namespace teaselshore
