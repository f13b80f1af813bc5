#include "teaselshore/emulators/service_model.hpp"

#include <gtest/gtest.h>

#include "teaselshore/emulators/target.hpp"

namespace teaselshore {
namespace {

    constexpr Instant start {};

    ServiceRequest order(const char* key) { return { "POST", "/orders", IdempotencyKey(key), "body" }; }

    std::vector<ServiceAnswer> finishAll(ServiceModel& service)
    {
        std::vector<ServiceAnswer> answers;
        while (service.nextTick()) {
            for (ServiceAnswer& answer : service.onTick(*service.nextTick()))
                answers.push_back(std::move(answer));
        }
        return answers;
    }

    // Guards against a service that deduplicates: a double run by the system under test would be invisible.
    TEST(ServiceModel, CountsEachRunOfAKey)
    {
        ServiceModel service({}, 1, start);
        service.onRequest(1, order("k"), start);
        service.onRequest(2, order("k"), start);
        EXPECT_EQ(service.executions(IdempotencyKey("k")).running, 2u);
        EXPECT_EQ(finishAll(service).size(), 2u);
        EXPECT_EQ(service.executions(IdempotencyKey("k")).started, 2u);
        EXPECT_EQ(service.executions(IdempotencyKey("other")).started, 0u);
    }

    // Guards against refusals that run anyway, and against lost answers whose run is not counted.
    TEST(ServiceModel, RefusalNeverRunsAndLostAnswerCounts)
    {
        ServiceModel service({ .faults = { .refuse = 1 } }, 1, start);
        const auto refusal = service.onRequest(1, order("k"), start);
        ASSERT_TRUE(refusal);
        EXPECT_TRUE(guaranteesNotRun(*refusal));
        EXPECT_FALSE(service.nextTick());
        EXPECT_EQ(service.executions(IdempotencyKey("k")).started, 0u);

        service.setFaults({ .loseAnswers = 1 });
        EXPECT_FALSE(service.onRequest(2, order("k"), start));
        EXPECT_EQ(finishAll(service).front().fate, AnswerFate::Lost);
        EXPECT_EQ(service.executions(IdempotencyKey("k")).started, 1u);
    }

    // Guards against requests that are forgotten in the queue or counted before they run.
    TEST(ServiceModel, QueuedRequestsRunLaterAndAreRefusedWhenTheQueueIsFull)
    {
        ServiceModel service({ .maxRunning = 1, .maxQueued = 1 }, 1, start);
        EXPECT_FALSE(service.onRequest(1, order("a"), start));
        EXPECT_FALSE(service.onRequest(2, order("b"), start));
        EXPECT_EQ(service.onRequest(3, order("c"), start), ServiceRefusal::QueueFull);
        EXPECT_EQ(service.executions(IdempotencyKey("b")).started, 0u);
        EXPECT_EQ(finishAll(service).size(), 2u);
        EXPECT_EQ(service.executions(IdempotencyKey("b")).started, 1u);
        EXPECT_EQ(service.executions(IdempotencyKey("c")).started, 0u);
    }

    // Guards against keys and queries that change on their way through the request target.
    TEST(RequestTarget, DecodesPathAndQuery)
    {
        const RequestTarget target = parseTarget("/objects/a%20b/c%?prefix=x%2Fy&n=12&flag");
        EXPECT_EQ(target.after("/objects/"), "a b/c%");
        EXPECT_EQ(target.query.at("prefix"), "x/y");
        EXPECT_EQ(target.number("n"), 12u);
        EXPECT_FALSE(target.number("flag"));
        EXPECT_EQ(parseTarget(encodePath("/k/ä b%")).path, "/k/ä b%");
    }

} // namespace
} // namespace teaselshore
