#include "teaselshore/emulators/caller_flow.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/emulators/chat_format.hpp"
#include "teaselshore/emulators/execution_audit.hpp"

namespace teaselshore {
namespace {

    constexpr Instant start {};
    constexpr PromptKey key = 42;

    /// Events of tokens [first, count) of a stream.
    std::string events(std::uint64_t first, std::uint64_t count, bool withEnd)
    {
        const ChatStreamFormat format(RequestId("r"), "m");
        std::string text;
        for (std::uint64_t i = first; i < count; ++i)
            format.appendToken(text, key, i);
        if (withEnd)
            format.appendEnd(text, {});
        return text;
    }

    PlannedRequest planned(RequestKind kind)
    {
        PlannedRequest request;
        request.kind = kind;
        request.key = IdempotencyKey("k");
        request.request = { "POST", "/x", { { "idempotency-key", "k" } }, "body" };
        request.promptKey = key;
        request.maxTokens = 20;
        request.deadline = std::chrono::seconds(10);
        return request;
    }

    CallerOutcome outcomeOf(const FlowStep& step)
    {
        const auto* done = std::get_if<FlowDone>(&step);
        EXPECT_NE(done, nullptr);
        return done == nullptr ? CallerOutcome::Lost : done->answer.outcome;
    }

    // Guards against a checker that depends on how bytes are split, or that accepts a changed or missing byte.
    RC_GTEST_PROP(StreamCheckerProperty, AcceptsExactlyTheGeneratedStream, (std::uint16_t split, std::uint16_t place))
    {
        const std::string text = events(0, 20, true);
        const std::size_t first = split % text.size();
        StreamChecker good(key, 20);
        good.onBytes(std::string_view(text).substr(0, first));
        good.onBytes(std::string_view(text).substr(first));
        RC_ASSERT(good.result() == CheckedAnswer {});

        // A token of the text is replaced by another one.
        const std::string token = generatedToken(key, place % 20);
        std::string changed = text;
        changed.replace(changed.find(token), token.size(), generatedToken(key, 1000));
        StreamChecker bad(key, 20);
        bad.onBytes(changed);
        RC_ASSERT(bad.result().has_value());
        RC_ASSERT(bad.result()->outcome == CallerOutcome::Wrong);

        const std::size_t end = text.rfind("data: [DONE]");
        StreamChecker cut(key, 20);
        cut.onBytes(std::string_view(text).substr(0, place % end));
        RC_ASSERT(!cut.result().has_value());
    }

    // Guards against streams that repeat or skip tokens after a re-attach and are still counted as complete.
    TEST(CallerFlow, ReattachedStreamMustGoOnExactlyWhereItBroke)
    {
        for (const std::uint64_t resumedAt : { 6, 7, 8 }) {
            CallerFlow flow(planned(RequestKind::Question), { .entries = 3 }, start);
            flow.onHead(200, {}, start);
            flow.onData(events(0, 7, false) + "id: 7\ndata: {\"cho", start);
            const FlowStep step = flow.onError({ HttpError::Kind::ConnectionClosed }, start);
            const auto& again = std::get<FlowSend>(step);
            EXPECT_EQ(again.entry, 1u);
            EXPECT_EQ(again.request.headers.find("last-event-id"), "6");
            EXPECT_EQ(again.request.headers.find("idempotency-key"), "k");
            flow.onHead(200, {}, start);
            flow.onData(events(resumedAt, 20, true), start);
            EXPECT_EQ(outcomeOf(flow.onEnd(start)), resumedAt == 7 ? CallerOutcome::Ok : CallerOutcome::Wrong);
        }
    }

    // Guards against callers that try for ever, and against a cut stream that is counted as an error answer.
    TEST(CallerFlow, GivesUpAtTheDeadline)
    {
        CallerFlow cut(planned(RequestKind::Question), {}, start);
        cut.onHead(200, {}, start);
        cut.onData(events(0, 3, false), start);
        const Instant late = start + std::chrono::seconds(10);
        EXPECT_EQ(outcomeOf(cut.onError({}, late)), CallerOutcome::Cut);
        CallerFlow lost(planned(RequestKind::Order), {}, start);
        EXPECT_TRUE(std::holds_alternative<FlowSend>(lost.onError({}, start)));
        EXPECT_EQ(outcomeOf(lost.onError({}, late)), CallerOutcome::Lost);
    }

    // Guards against accepted plans whose result is never asked for or not verified.
    TEST(CallerFlow, PollsAcceptedPlanUntilItsResult)
    {
        CallerFlow flow(planned(RequestKind::Plan), { .entries = 2 }, start);
        flow.onHead(202, { { "location", "http://127.0.0.1:1/v1/requests/7" } }, start);
        FlowStep step = flow.onEnd(start);
        EXPECT_EQ(std::get<FlowSend>(step).request.path, "/v1/requests/7");
        EXPECT_EQ(std::get<FlowSend>(step).request.method, "GET");
        step = flow.onError({}, start);
        EXPECT_EQ(std::get<FlowSend>(step).request.path, "/v1/requests/7");
        flow.onHead(200, {}, start);
        flow.onData(completionBody(RequestId("r"), "m", generatedText(key, 0, 20), {}), start);
        EXPECT_EQ(outcomeOf(flow.onEnd(start)), CallerOutcome::Ok);
        flow.onHead(200, {}, start);
        flow.onData(completionBody(RequestId("r"), "m", generatedText(key, 0, 19), {}), start);
        EXPECT_EQ(outcomeOf(flow.onEnd(start)), CallerOutcome::Wrong);
    }

    // Guards against malformed errors that pass as honest ones.
    TEST(AnswerCheck, AcceptsOnlyKnownErrorsWithTheirStatus)
    {
        const auto check = [](int status, const HttpHeaders& headers, const char* code) {
            const std::string body = std::string(R"({"error":{"code":")") + code + R"(","message":"m"}})";
            return checkError(status, headers, body).outcome;
        };
        EXPECT_EQ(check(503, { { "retry-after", "1" } }, "not_run"), CallerOutcome::NotRun);
        EXPECT_EQ(check(503, {}, "not_run"), CallerOutcome::Wrong);
        EXPECT_EQ(check(504, {}, "outcome_unknown"), CallerOutcome::OutcomeUnknown);
        EXPECT_EQ(check(503, {}, "outcome_unknown"), CallerOutcome::Wrong);
        EXPECT_EQ(check(409, {}, "rejected"), CallerOutcome::Rejected);
        EXPECT_EQ(check(502, {}, "failed"), CallerOutcome::Failed);
        EXPECT_EQ(check(500, {}, "version_fault"), CallerOutcome::Wrong);
        EXPECT_EQ(checkError(502, {}, "Bad Gateway").outcome, CallerOutcome::Wrong);
    }

    // Guards against answers of another request that pass as the caller's own.
    TEST(AnswerCheck, ServiceAnswerMustBeTheCallersOwn)
    {
        const auto check = [](const char* answerKey, const char* body, int count) {
            const std::string text = fmt::format(R"({{"key":"{}","path":"/orders","count":{},"checksum":"{:016x}"}})",
                answerKey, count, fingerprint(std::string_view(body)));
            return checkServiceAnswer(IdempotencyKey("k"), "/orders", "mine", text).outcome;
        };
        EXPECT_EQ(check("k", "mine", 1), CallerOutcome::Ok);
        EXPECT_EQ(check("other", "mine", 1), CallerOutcome::Wrong);
        EXPECT_EQ(check("k", "other", 1), CallerOutcome::Wrong);
        EXPECT_EQ(check("k", "mine", 2), CallerOutcome::Wrong);
    }

    // Guards against an audit that misses a double run, a lost order, or a run behind not_run.
    TEST(ExecutionAudit, FindsEachBrokenGuarantee)
    {
        ExecutionAudit audit;
        const auto finish = [&](const char* name, CallerOutcome outcome, bool unseen = false) {
            audit.onFinished(IdempotencyKey(name), outcome, unseen);
        };
        finish("ok", CallerOutcome::Ok);
        finish("ok", CallerOutcome::NotRun);
        finish("double", CallerOutcome::OutcomeUnknown);
        finish("lost", CallerOutcome::Ok);
        finish("lie", CallerOutcome::NotRun);
        finish("broken", CallerOutcome::NotRun, true);
        finish("not-run", CallerOutcome::NotRun);
        const AuditResult result
            = audit.check({ { "ok", 1 }, { "double", 2 }, { "lie", 1 }, { "broken", 1 }, { "foreign", 3 } });
        EXPECT_EQ(result.doubled, std::vector { IdempotencyKey("double") });
        EXPECT_EQ(result.lost, std::vector { IdempotencyKey("lost") });
        EXPECT_EQ(result.ranDespiteNotRun, std::vector { IdempotencyKey("lie") });
    }

} // namespace
} // namespace teaselshore
