#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry_test_support.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    std::optional<std::string> field(const Respond& response, const std::string& name)
    {
        for (const auto& [key, value] : response.headers) {
            if (key == name)
                return value;
        }
        return std::nullopt;
    }

    // Guards against status 401 or 404 from a node that has not read the configuration yet.
    TEST(EntryRequests, RespondsUnavailableWithoutConfiguration)
    {
        EntryHarness harness;
        harness.request("order");
        // The first requests after a process start wait briefly.
        harness.advance(200ms);
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 503);
        harness.send(EntryConfigurationRead { EntryHarness::configuration() });
        harness.request("order");
        EXPECT_EQ(harness.first<Respond>()->status, 503) << "no list of upstreams yet";
    }

    // Guards against forwarding requests with unknown routes or keys.
    TEST(EntryRequests, RefusesUnknownRoutesAndKeys)
    {
        EntryHarness harness;
        harness.start();
        harness.request("nothing");
        EXPECT_EQ(harness.first<Respond>()->status, 404);
        harness.request("order", 3s, "key-of-nobody");
        EXPECT_EQ(harness.first<Respond>()->status, 401);
        EXPECT_FALSE(harness.first<ForwardRequest>());
    }

    // Guards against accepting a key after a newer configuration has revoked it.
    TEST(EntryRequests, RefusesRevokedKeyAtOnce)
    {
        EntryHarness harness;
        harness.start();
        EntryConfiguration next = EntryHarness::configuration(2);
        next.workspaces[0].keys = { "key-new" };
        harness.send(EntryConfigurationRead { next });
        harness.request("order");
        EXPECT_EQ(harness.first<Respond>()->status, 401);
        harness.request("order", 3s, "key-new");
        EXPECT_TRUE(harness.first<ForwardRequest>());
    }

    // Guards against replacing the configuration by an older version.
    TEST(EntryRequests, IgnoresOlderConfiguration)
    {
        EntryHarness harness;
        harness.start();
        EntryConfiguration newer = EntryHarness::configuration(5);
        newer.routes.erase(newer.routes.begin());
        harness.send(EntryConfigurationRead { newer });
        harness.send(EntryConfigurationRead { EntryHarness::configuration(4) });
        harness.request("order");
        EXPECT_EQ(harness.first<Respond>()->status, 404);
        EXPECT_EQ(harness.node.statistics().configurationVersion, 5u);
    }

    // Guards against running a non-idempotent request twice: once it was sent, it may have run.
    TEST(EntryRequests, DoesNotRetryUnsafeRequestThatMayHaveRun)
    {
        EntryHarness harness;
        harness.start();
        harness.request("order");
        const auto sent = harness.first<ForwardRequest>();
        ASSERT_TRUE(sent);
        harness.fail(sent->attempt.attempt, true);
        EXPECT_FALSE(harness.first<ForwardRequest>());
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 502);
    }

    // Guards against an answer that is ended since its upstream is silent for a while.
    TEST(EntryRequests, AttemptsMayBeSilentUntilTheDeadline)
    {
        for (const char* route : { "order", "status", "digest", "query" }) {
            EntryHarness harness;
            harness.start();
            harness.request(route, 1400ms);
            const auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent) << route;
            EXPECT_GE(sent->attempt.idleTimeout, 1400ms) << route;
            harness.advance(1390ms);
            EXPECT_FALSE(harness.first<CancelAttempt>()) << route;
            EXPECT_FALSE(harness.first<Respond>()) << route;
        }
    }

    // Guards against failing a request that certainly did not run while other upstreams are available.
    TEST(EntryRequests, RetriesUnsafeRequestThatDidNotRun)
    {
        EntryHarness harness;
        harness.start();
        harness.request("order");
        const auto refused = harness.first<ForwardRequest>();
        harness.respond(refused->attempt.attempt, 503, true);
        const auto second = harness.first<ForwardRequest>();
        ASSERT_TRUE(second);
        EXPECT_NE(second->attempt.upstream, refused->attempt.upstream);
        harness.fail(second->attempt.attempt, false);
        const auto third = harness.first<ForwardRequest>();
        ASSERT_TRUE(third);
        harness.respond(third->attempt.attempt, 200);
        EXPECT_EQ(harness.first<Respond>()->status, 200);
    }

    // Guards against reporting that a request did not run although an earlier attempt may have run it.
    TEST(EntryRequests, DoesNotReportNotRunAfterARun)
    {
        EntryHarness harness;
        harness.start(2);
        harness.request("status");
        harness.fail(harness.first<ForwardRequest>()->attempt.attempt, true);
        const auto second = harness.first<ForwardRequest>();
        ASSERT_TRUE(second);
        harness.respond(second->attempt.attempt, 503, true);
        while (const auto again = harness.first<ForwardRequest>())
            harness.respond(again->attempt.attempt, 503, true);
        for (int round = 0; round < 200 && !harness.first<Respond>(); ++round)
            harness.advance(20ms);
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 502);
    }

    // Guards against losing an upstream's failure response when the retry fails too.
    TEST(EntryRequests, ForwardsUpstreamFailureUnchanged)
    {
        EntryHarness harness;
        harness.start(2);
        harness.request("status");
        const AttemptId failed = harness.first<ForwardRequest>()->attempt.attempt;
        harness.respond(failed, 500);
        const auto second = harness.first<ForwardRequest>();
        ASSERT_TRUE(second) << "an idempotent request is retried";
        harness.fail(second->attempt.attempt, true);
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 500);
        EXPECT_EQ(field(*harness.first<Respond>(), "x-stamp"), std::to_string(failed));
    }

    // Guards against running a request more often than its route allows.
    TEST(EntryRequests, RespectsMaxAttemptsOfRoute)
    {
        EntryHarness harness;
        harness.start(3);
        harness.request("status");
        int sends = 0;
        while (const auto sent = harness.first<ForwardRequest>()) {
            ++sends;
            harness.respond(sent->attempt.attempt, 500);
        }
        EXPECT_EQ(sends, 2);
    }

    // Guards against resuming a stream at the wrong event, or on a route that does not allow it.
    TEST(EntryRequests, ResumesStreamAfterItsLastEvent)
    {
        EntryHarness harness;
        harness.start();
        harness.request("query");
        const auto sent = harness.first<ForwardRequest>();
        harness.send(UpstreamStreamStarted { sent->attempt.attempt, {} });
        harness.fail(sent->attempt.attempt, true, 17);
        const auto resumed = harness.first<ForwardRequest>();
        ASSERT_TRUE(resumed);
        EXPECT_EQ(resumed->context.resumeAfter, 17u);

        harness.request("digest");
        const auto digest = harness.first<ForwardRequest>();
        harness.send(UpstreamStreamStarted { digest->attempt.attempt, {} });
        harness.fail(digest->attempt.attempt, true, 3);
        EXPECT_FALSE(harness.first<ForwardRequest>());
        EXPECT_TRUE(harness.first<FailStream>());
    }

    // Guards against an error, or a response that is no stream, in the middle of a caller's stream: the upstream at
    // which it was to go on answered so, and the process asserted that no response follows a started stream.
    TEST(EntryRequests, ResponseThatIsNoStreamNeverFollowsAStartedOne)
    {
        for (const int status : { 200, 400, 404, 409, 500, 503 }) {
            EntryHarness harness;
            harness.start();
            harness.request("query");
            auto sent = harness.first<ForwardRequest>();
            harness.send(UpstreamStreamStarted { sent->attempt.attempt, {} });
            harness.fail(sent->attempt.attempt, true, 17);
            int attempts = 1;
            for (sent = harness.first<ForwardRequest>(); sent; sent = harness.first<ForwardRequest>()) {
                ++attempts;
                EXPECT_EQ(sent->context.resumeAfter, 17u);
                harness.respond(sent->attempt.attempt, status);
                EXPECT_FALSE(harness.first<Respond>()) << status;
            }
            EXPECT_GT(attempts, 1) << status;
            EXPECT_TRUE(harness.first<FailStream>()) << status;
        }
    }

    // Guards against requests that stay open past the route's timeout, and against giving upstreams a later deadline
    // than the request has.
    TEST(EntryRequests, RespondsWhenRouteTimeoutExpires)
    {
        EntryHarness harness;
        harness.start();
        harness.request("order", 10s);
        const auto sent = harness.first<ForwardRequest>();
        EXPECT_EQ(sent->context.deadline, harness.now + 1500ms);
        harness.advance(1499ms);
        EXPECT_FALSE(harness.first<Respond>());
        harness.advance(1ms);
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 504);
        EXPECT_TRUE(harness.first<CancelAttempt>());

        harness.request("order", 200ms);
        EXPECT_EQ(harness.first<ForwardRequest>()->context.deadline, harness.now + 200ms);
    }

    // Load pattern: all upstreams are full. Guards against requests that wait until their deadline although they cannot
    // be served, and against refusals without retry-after.
    TEST(EntryRequests, RefusesSoonWhenAllUpstreamsAreFull)
    {
        EntryHarness harness;
        harness.start(1, 1);
        std::vector<RequestId> sent;
        while (true) {
            harness.request("status");
            if (!harness.first<ForwardRequest>())
                break;
            ASSERT_LT(sent.size(), 100u);
            sent.emplace_back();
        }
        EXPECT_FALSE(harness.first<Respond>()) << "it may wait briefly";
        harness.advance(110ms);
        ASSERT_TRUE(harness.first<Respond>());
        const Respond refusal = *harness.first<Respond>();
        EXPECT_EQ(refusal.status, 503);
        ASSERT_TRUE(field(refusal, "retry-after"));
        EXPECT_GT(std::stod(*field(refusal, "retry-after")), 0);
    }

    // Load pattern: a burst of requests that the upstreams work off. Guards against a slot that stays free while a
    // request waits.
    TEST(EntryRequests, DispatchesWaitingRequestWhenSlotBecomesFree)
    {
        EntryHarness harness;
        harness.start(1, 1);
        std::vector<AttemptId> running;
        while (true) {
            harness.request("status");
            const auto sent = harness.first<ForwardRequest>();
            if (!sent)
                break;
            running.push_back(sent->attempt.attempt);
        }
        harness.respond(running.front(), 200);
        EXPECT_TRUE(harness.first<ForwardRequest>());
    }

    // Guards against attempts that continue after the caller has closed its connection.
    TEST(EntryRequests, CancelsAttemptWhenCallerDisconnects)
    {
        EntryHarness harness;
        harness.start();
        const RequestId id = harness.request("query");
        const AttemptId attempt = harness.first<ForwardRequest>()->attempt.attempt;
        harness.send(CallerGone { id });
        ASSERT_TRUE(harness.first<CancelAttempt>());
        EXPECT_EQ(harness.first<CancelAttempt>()->attempt, attempt);
        EXPECT_EQ(harness.node.statistics().openRequests, 0u);
    }

    /// Sends requests one at a time and returns how many were forwarded to the upstream.
    int sendsTo(EntryHarness& harness, const UpstreamId& upstream, int requests = 40)
    {
        int count = 0;
        for (int request = 0; request < requests; ++request) {
            harness.request("order");
            const auto sent = harness.first<ForwardRequest>();
            if (!sent)
                continue;
            count += sent->attempt.upstream == upstream ? 1 : 0;
            harness.respond(sent->attempt.attempt, 200);
        }
        return count;
    }

    // Guards against new requests to an upstream that announced in a response that it is leaving. The registry may
    // report this later or never, or list the upstream again.
    TEST(EntryRequests, SendsNothingToUpstreamThatAnnouncedLeaving)
    {
        EntryHarness harness;
        harness.start(3);
        harness.request("query");
        const UpstreamId leaving = harness.first<ForwardRequest>()->attempt.upstream;
        UpstreamStreamStarted started { harness.first<ForwardRequest>()->attempt.attempt, {} };
        started.facts.isLeaving = true;
        harness.send(started);
        EXPECT_EQ(sendsTo(harness, leaving), 0);
        UpstreamsListed listed;
        for (int number = 1; number <= 3; ++number)
            listed.upstreams.push_back(EntryHarness::upstream(number));
        harness.send(listed);
        harness.advance(60s);
        EXPECT_EQ(sendsTo(harness, leaving), 0);
        // New processes with the same instance names have not announced it.
        for (RegisteredUpstream& upstream : listed.upstreams)
            upstream.startedAt += 1000;
        harness.send(listed);
        EXPECT_GT(sendsTo(harness, listed.upstreams[0].id()) + sendsTo(harness, listed.upstreams[1].id())
                + sendsTo(harness, listed.upstreams[2].id()),
            0);
    }

    /// Sends an upstream's refusal of an attempt with a request for a pause.
    void refuseWithPause(EntryHarness& harness, AttemptId attempt, Duration pause)
    {
        UpstreamResponded refused;
        refused.response.attempt = attempt;
        refused.response.status = 503;
        refused.facts.notRun = true;
        refused.facts.pause = pause;
        harness.send(std::move(refused));
    }

    // Load pattern: an upstream refuses requests and asks for a pause. Guards against requests that reach it during the
    // pause, and against an upstream that stays unused after it.
    TEST(EntryRequests, SendsNothingToUpstreamDuringItsPause)
    {
        EntryHarness harness;
        harness.start(3);
        harness.request("order");
        const auto sent = harness.first<ForwardRequest>();
        refuseWithPause(harness, sent->attempt.attempt, 3s);
        const auto next = harness.first<ForwardRequest>();
        ASSERT_TRUE(next) << "it is sent to another upstream at once";
        harness.respond(next->attempt.attempt, 200);
        for (int round = 0; round < 29; ++round) {
            EXPECT_EQ(sendsTo(harness, sent->attempt.upstream, 5), 0) << round;
            harness.advance(100ms);
        }
        harness.advance(10s);
        // As many concurrent requests as all upstreams have slots.
        bool isUsed = false;
        for (int request = 0; request < 12; ++request) {
            harness.request("order");
            const auto open = harness.first<ForwardRequest>();
            isUsed = isUsed || (open && open->attempt.upstream == sent->attempt.upstream);
        }
        EXPECT_TRUE(isUsed);
    }

    // Load pattern: all upstreams ask for a pause. Guards against callers that wait although they cannot be served, and
    // against a retry-after time that ends before the pause.
    TEST(EntryRequests, RefusesAtOnceWhileAllUpstreamsArePaused)
    {
        EntryHarness harness;
        harness.start(2);
        harness.request("order");
        while (const auto sent = harness.first<ForwardRequest>())
            refuseWithPause(harness, sent->attempt.attempt, 2s);
        for (int request = 0; request < 2; ++request) {
            ASSERT_TRUE(harness.first<Respond>());
            EXPECT_EQ(harness.first<Respond>()->status, 503);
            EXPECT_GE(std::stod(field(*harness.first<Respond>(), "retry-after").value_or("0")), 2);
            harness.request("order");
        }
    }

    // Guards against new requests to an upstream that is draining or whose entry was removed.
    TEST(EntryRequests, SendsNothingToDrainingOrRemovedUpstream)
    {
        EntryHarness harness;
        harness.start(3);
        RegisteredUpstream draining = EntryHarness::upstream(1);
        draining.draining = true;
        harness.send(UpstreamChanged { draining });
        harness.send(UpstreamRemoved { "i-2" });
        for (int count = 0; count < 4; ++count) {
            harness.request("order");
            ASSERT_TRUE(harness.first<ForwardRequest>());
            EXPECT_EQ(harness.first<ForwardRequest>()->context.instance, "i-3");
        }
    }

    // Guards against retries that multiply the load of a failing service.
    TEST(EntryRequests, RetriesStayWithinSharedBudget)
    {
        EntryHarness harness;
        harness.start(3, 64);
        int retries = 0;
        constexpr int requests = 400;
        for (int count = 0; count < requests; ++count) {
            harness.now += 10ms;
            harness.request("status");
            auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent);
            // The failure rate is low enough for the circuit breakers to stay closed.
            harness.respond(sent->attempt.attempt, count % 3 == 0 ? 500 : 200);
            sent = harness.first<ForwardRequest>();
            if (!sent)
                continue;
            ++retries;
            harness.respond(sent->attempt.attempt, 200);
        }
        EXPECT_LE(retries, 0.2 * requests + 20);
        EXPECT_GT(harness.node.statistics().deniedRetries, 0u);
    }

    // Guards against losing requests during a planned stop: the readiness check fails first, requests that still arrive
    // are served, and the process ends when none is open.
    TEST(EntryRequests, PlannedStopServesRequestsThatStillArrive)
    {
        EntryHarness harness;
        harness.start();
        harness.send(EntryStopRequested {});
        ASSERT_TRUE(harness.first<SetReady>());
        EXPECT_FALSE(harness.first<SetReady>()->ready);
        EXPECT_TRUE(harness.first<AnnounceClose>());
        harness.request("order");
        const auto sent = harness.first<ForwardRequest>();
        ASSERT_TRUE(sent);
        bool stopped = false;
        bool acceptingStopped = false;
        for (int round = 0; round < 14; ++round) {
            harness.advance(100ms);
            stopped = stopped || harness.first<StopProcess>();
        }
        EXPECT_FALSE(stopped);
        harness.respond(sent->attempt.attempt, 200);
        for (int round = 0; round < 40 && !stopped; ++round) {
            harness.advance(100ms);
            acceptingStopped = acceptingStopped || harness.first<StopAccepting>();
            stopped = stopped || harness.first<StopProcess>();
        }
        EXPECT_TRUE(acceptingStopped);
        EXPECT_TRUE(stopped);
    }

    /// What the property test records about a request.
    struct TrackedRequest {
        std::string route;
        int answers = 0;
        int sends = 0;
        int runs = 0;
        int lastStatus = 0;
        bool gone = false;
    };

    // Checks the invariants of the request path under random responses, failures, draining and configurations: each
    // request ends exactly once, a request that is not retryable runs at most once, no request runs more often than its
    // route allows, and status 429 or 503 is returned only for a request that did not run.
    RC_GTEST_PROP(EntryRequests, KeepsInvariantsUnderFaults, ())
    {
        EntryHarness harness(*rc::gen::inRange<std::uint64_t>(1, 1000));
        harness.start(3, 2);
        const std::vector<std::string> routes { "order", "status", "digest", "query" };
        const std::map<std::string, int> maxRuns { { "order", 1 }, { "status", 2 }, { "digest", 1 }, { "query", 3 } };
        std::map<RequestId, TrackedRequest> requests;
        std::map<AttemptId, RequestId> running;
        std::set<AttemptId> streaming;
        std::uint64_t version = 1;

        const auto applyCommands = [&] {
            for (const EntryCommand& command : harness.commands) {
                if (const auto* forward = std::get_if<ForwardRequest>(&command)) {
                    running[forward->attempt.attempt] = forward->attempt.request;
                    ++requests.at(forward->attempt.request).sends;
                } else if (const auto* cancel = std::get_if<CancelAttempt>(&command)) {
                    // The attempt may have run.
                    ++requests.at(running.at(cancel->attempt)).runs;
                    running.erase(cancel->attempt);
                } else if (const auto* response = std::get_if<Respond>(&command)) {
                    TrackedRequest& request = requests.at(response->request);
                    ++request.answers;
                    request.lastStatus = response->status;
                    const std::set<int> promises { 408, 421, 429, 503 };
                    RC_ASSERT(!(promises.contains(response->status) && request.runs > 0));
                } else if (const auto* failed = std::get_if<FailStream>(&command)) {
                    ++requests.at(failed->request).answers;
                }
            }
            for (const auto& [id, request] : requests) {
                RC_ASSERT(request.answers <= 1);
                RC_ASSERT(request.runs <= maxRuns.at(request.route));
            }
        };

        const int steps = *rc::gen::inRange(20, 150);
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 10);
            if (action < 4) {
                CallerRequestArrived arrived { harness.node.nextRequestId(), {} };
                const std::string route = *rc::gen::elementOf(routes);
                arrived.request.method = "POST";
                arrived.request.path = "/" + route + "/x";
                arrived.request.host = EntryHarness::hostName;
                arrived.request.key = "key-n";
                arrived.request.timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
                requests[arrived.id].route = route;
                harness.send(std::move(arrived));
            } else if (action < 8 && !running.empty()) {
                const auto chosen = std::next(
                    running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(running.size())));
                const AttemptId attempt = chosen->first;
                TrackedRequest& request = requests.at(chosen->second);
                const int outcome = *rc::gen::inRange(0, 6);
                const bool isStream = request.route == "digest" || request.route == "query";
                if (outcome == 0 && isStream && !streaming.contains(attempt)) {
                    streaming.insert(attempt);
                    harness.send(UpstreamStreamStarted { attempt, {} });
                } else {
                    const bool notRun = outcome == 1 && !streaming.contains(attempt);
                    const bool unsent = outcome == 2 && !streaming.contains(attempt);
                    running.erase(attempt);
                    if (!notRun && !unsent)
                        ++request.runs;
                    if (outcome == 3 || unsent) {
                        harness.fail(attempt, !unsent, streaming.contains(attempt) ? std::optional(5) : std::nullopt);
                    } else if (streaming.contains(attempt)) {
                        UpstreamResponded done;
                        done.response.attempt = attempt;
                        done.response.status = 200;
                        done.response.relayed = true;
                        done.facts.isStamped = true;
                        ++request.answers;
                        harness.send(std::move(done));
                    } else {
                        const int failure = *rc::gen::element(500, 503, 429, 408, 421);
                        harness.respond(attempt, notRun ? 503 : outcome == 4 ? failure : 200, notRun);
                    }
                }
            } else if (action == 8) {
                harness.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 700)));
            } else if (*rc::gen::arbitrary<bool>()) {
                EntryConfiguration next = EntryHarness::configuration(++version);
                harness.send(EntryConfigurationRead { next });
            } else {
                RegisteredUpstream changed = EntryHarness::upstream(*rc::gen::inRange(1, 4), 2);
                changed.draining = *rc::gen::arbitrary<bool>();
                harness.send(UpstreamChanged { changed });
            }
            applyCommands();
        }
        for (int round = 0; round < 10; ++round) {
            harness.advance(1s);
            applyCommands();
        }
        for (const auto& [id, request] : requests)
            RC_ASSERT(request.answers == 1);
        RC_ASSERT(harness.node.statistics().openRequests == 0u);
    }

    // Load pattern: all callers reconnect at once to a process that has just started. Guards against refusing requests
    // that can be served some milliseconds later: without waiting, one caller in four was refused and told to retry
    // after half a second when all nodes restarted.
    TEST(EntryRequests, FirstRequestsWaitForTheConfiguration)
    {
        EntryHarness harness;
        const RequestId left = harness.request("order");
        const RequestId unknown = harness.request("nowhere");
        harness.request("order");
        EXPECT_FALSE(harness.first<Respond>());
        harness.send(CallerGone { left });
        harness.advance(60ms);
        EXPECT_FALSE(harness.first<Respond>());
        harness.send(EntryConfigurationRead { EntryHarness::configuration() });
        EXPECT_FALSE(harness.first<Respond>()) << "upstreams are not known yet";
        harness.send(UpstreamsListed { { EntryHarness::upstream(1) } });
        EXPECT_EQ(harness.all<ForwardRequest>().size(), 1u);
        ASSERT_EQ(harness.all<Respond>().size(), 1u);
        EXPECT_EQ(harness.first<Respond>()->request, unknown);
        EXPECT_EQ(harness.first<Respond>()->status, 404);
    }

    // Guards against callers that wait for a node that cannot reach the platform.
    TEST(EntryRequests, RefusesWhileTheConfigurationIsMissing)
    {
        EntryHarness harness;
        harness.request("order");
        harness.advance(190ms);
        EXPECT_FALSE(harness.first<Respond>());
        EXPECT_EQ(harness.node.nextTick(), harness.now + 10ms);
        harness.advance(10ms);
        ASSERT_TRUE(harness.first<Respond>());
        EXPECT_EQ(harness.first<Respond>()->status, 503);
        EXPECT_TRUE(field(*harness.first<Respond>(), "retry-after"));
        harness.request("order");
        ASSERT_TRUE(harness.first<Respond>()) << "later requests are refused at once";
        EXPECT_EQ(harness.first<Respond>()->status, 503);
    }

    /// Node whose share of a quota does not cover one request, with a peer to borrow from.
    class QuotaHarness : public EntryHarness {
    public:
        QuotaHarness()
        {
            this->start();
            EntryConfiguration limited = configuration(2);
            limited.workspaces[0].quota = WorkspaceQuota { QuotaUnit::Tokens, 1000, 1000, 1000 };
            this->send(EntryConfigurationRead { limited });
            this->send(ClockRead { this->now.time_since_epoch() });
            NodeReport peer;
            peer.host = "host-b";
            peer.process = NodeId("host-b-1");
            peer.number = 1;
            peer.peerAddress = "10.0.0.2:7500";
            this->send(NodeReportsRead { { peer.encode() } });
            this->advance(200ms);
        }

        std::optional<QuotaLoanRequest> asked() const
        {
            const auto message = this->first<SendEntryMessage>();
            const auto* request = message ? std::get_if<QuotaLoanRequest>(&message->message) : nullptr;
            return request ? std::optional(*request) : std::nullopt;
        }

        void lend(const QuotaLoanRequest& request, double amount)
        {
            this->send(EntryMessageReceived { "10.0.0.2:7500", QuotaLoan { request.loan, amount } });
        }
    };

    // Guards against refusing a request that the quota shares of other nodes cover.
    TEST(EntryRequests, RunsRequestBeyondOwnShareWithBorrowedQuota)
    {
        QuotaHarness harness;
        harness.request("order");
        const auto asked = harness.asked();
        ASSERT_TRUE(asked);
        EXPECT_EQ(asked->workspace, WorkspaceName("north"));
        EXPECT_GT(asked->amount, 0);
        EXPECT_FALSE(harness.first<ForwardRequest>());
        harness.lend(*asked, asked->amount);
        EXPECT_TRUE(harness.first<ForwardRequest>());
        EXPECT_FALSE(harness.first<Respond>());
    }

    // Guards against a request that hangs because a peer is gone or has no quota left, and against a refusal without
    // retry-after.
    TEST(EntryRequests, RefusesAtOnceIfPeersLendTooLittle)
    {
        for (const bool answers : { true, false }) {
            QuotaHarness harness;
            harness.request("order");
            const auto asked = harness.asked();
            ASSERT_TRUE(asked);
            if (answers) {
                harness.lend(*asked, asked->amount / 2);
                const auto returned = harness.first<SendEntryMessage>();
                ASSERT_TRUE(returned);
                EXPECT_EQ(returned->address, "10.0.0.2:7500");
                EXPECT_EQ(returned->message, EntryMessage(QuotaReturn { asked->workspace, asked->amount / 2 }));
            } else {
                harness.advance(110ms);
            }
            ASSERT_TRUE(harness.first<Respond>()) << answers;
            EXPECT_EQ(harness.first<Respond>()->status, 429);
            EXPECT_TRUE(field(*harness.first<Respond>(), "retry-after"));
            // A late loan has no effect.
            harness.lend(*asked, asked->amount);
            EXPECT_TRUE(harness.commands.empty());
        }
    }

    // Guards against requests that are ended by a configuration which takes their route, service, key or time away
    // while they are open, wait for an upstream or wait for a loan.
    TEST(EntryRequests, ConfigurationEndsNoRequestThatHasBegun)
    {
        const std::pair<const char*, std::function<void(EntryConfiguration&)>> changes[] {
            { "routes", [](EntryConfiguration& next) { next.routes.clear(); } },
            { "services", [](EntryConfiguration& next) { next.routes.clear(), next.services.clear(); } },
            { "workspaces", [](EntryConfiguration& next) { next.workspaces.clear(); } },
            { "keys", [](EntryConfiguration& next) { next.workspaces[0].keys = { "key-of-nobody" }; } },
            { "timeout",
                [](EntryConfiguration& next) {
                    for (EntryRoute& route : next.routes)
                        route.timeout = 10ms, route.latencyTarget = 1ms, route.maxAttempts = 1;
                } },
        };
        for (const auto& [name, change] : changes) {
            EntryHarness harness;
            harness.start(1, 1);
            EntryConfiguration configuration = EntryHarness::configuration(2);
            for (EntryRoute& route : configuration.routes)
                route.timeout = 15s, route.latencyTarget = 80s;
            harness.send(EntryConfigurationRead { configuration });
            std::vector<RequestId> open { harness.request("order", 15s) };
            const auto sent = harness.first<ForwardRequest>();
            ASSERT_TRUE(sent) << name;
            open.push_back(harness.request("order", 15s));
            EXPECT_FALSE(harness.first<ForwardRequest>()) << name;

            configuration.version = 3;
            change(configuration);
            harness.send(EntryConfigurationRead { configuration });
            std::vector<Respond> responses;
            const auto collect = [&] {
                for (const Respond& response : harness.all<Respond>())
                    responses.push_back(response);
            };
            collect();
            for (int round = 0; round < 20; ++round) {
                harness.advance(100ms);
                collect();
                EXPECT_FALSE(harness.first<CancelAttempt>()) << name;
            }
            EXPECT_TRUE(responses.empty()) << name;
            harness.respond(sent->attempt.attempt, 200);
            collect();
            ASSERT_EQ(responses.size(), 1u) << name;
            EXPECT_EQ(responses[0].request, open[0]) << name;
            EXPECT_EQ(responses[0].status, 200) << name;
            if (const auto next = harness.first<ForwardRequest>())
                harness.respond(next->attempt.attempt, 200);
            else
                harness.advance(15s);
            collect();
            ASSERT_EQ(responses.size(), 2u) << name;
            EXPECT_EQ(responses[1].status, std::string(name) == "services" ? 503 : 200) << name;
        }
    }

    // Guards against a request that gets no answer since its workspace is removed, or its quota raised or lowered,
    // while it waits for a loan.
    TEST(EntryRequests, ConfigurationEndsNoRequestThatWaitsForALoan)
    {
        for (const std::optional<double> quota : { std::optional<double>(), std::optional(10.0), std::optional(1e6) }) {
            for (const bool lends : { true, false }) {
                QuotaHarness harness;
                harness.request("order");
                const auto asked = harness.asked();
                ASSERT_TRUE(asked);
                EntryConfiguration next = EntryHarness::configuration(3);
                if (quota)
                    next.workspaces[0].quota = WorkspaceQuota { QuotaUnit::Tokens, *quota, *quota, 1000 };
                else
                    next.workspaces.clear();
                harness.send(EntryConfigurationRead { next });
                EXPECT_FALSE(harness.first<Respond>());
                if (lends)
                    harness.lend(*asked, asked->amount);
                else
                    harness.advance(110ms);
                const auto refused = harness.first<Respond>();
                EXPECT_NE(refused.has_value(), harness.first<ForwardRequest>().has_value());
                EXPECT_TRUE(!refused || refused->status == 429);
            }
        }
    }

    // Guards against running a request with a loan that arrives after the caller has closed its connection.
    TEST(EntryRequests, ReturnsLoanOfDisconnectedCaller)
    {
        QuotaHarness harness;
        const RequestId id = harness.request("order");
        const auto asked = harness.asked();
        ASSERT_TRUE(asked);
        harness.send(CallerGone { id });
        harness.lend(*asked, asked->amount);
        EXPECT_FALSE(harness.first<ForwardRequest>());
        const auto returned = harness.first<SendEntryMessage>();
        ASSERT_TRUE(returned);
        EXPECT_EQ(returned->message, EntryMessage(QuotaReturn { asked->workspace, asked->amount }));
        harness.advance(1s);
        EXPECT_FALSE(harness.first<Respond>());
    }

    // Guards against a loan request of a peer that gets no reply, or a loan larger than requested.
    TEST(EntryRequests, LendsToPeerOnRequest)
    {
        QuotaHarness harness;
        harness.send(EntryMessageReceived { "10.0.0.2:7500", QuotaLoanRequest { 7, WorkspaceName("north"), 3 } });
        const auto message = harness.first<SendEntryMessage>();
        ASSERT_TRUE(message);
        EXPECT_EQ(message->address, "10.0.0.2:7500");
        const auto* loan = std::get_if<QuotaLoan>(&message->message);
        ASSERT_TRUE(loan);
        EXPECT_EQ(loan->loan, 7u);
        EXPECT_EQ(loan->amount, 3);
    }

    // Guards against refusing prompts that need the quota shares of many nodes, as with a limit of 16 lenders per node.
    TEST(EntryRequests, LargeRequestBorrowsFromAsManyPeersAsItNeeds)
    {
        QuotaHarness harness;
        std::vector<std::string> reports;
        for (int index = 0; index < 60; ++index) {
            NodeReport peer;
            peer.host = "host-" + std::to_string(index);
            peer.process = NodeId(peer.host);
            peer.number = 1;
            peer.peerAddress = "10.0.1." + std::to_string(index) + ":7500";
            reports.push_back(peer.encode());
        }
        harness.send(NodeReportsRead { reports });
        harness.advance(6s);
        harness.request("order");
        std::set<std::string> lenders;
        bool isForwarded = false;
        while (!isForwarded) {
            const std::vector<SendEntryMessage> messages = harness.all<SendEntryMessage>();
            ASSERT_FALSE(messages.empty());
            ASSERT_FALSE(harness.first<Respond>());
            for (const SendEntryMessage& message : messages) {
                if (isForwarded)
                    break;
                const auto* asked = std::get_if<QuotaLoanRequest>(&message.message);
                ASSERT_TRUE(asked);
                EXPECT_TRUE(lenders.insert(message.address).second) << "asked twice";
                // Each peer lends the amount that was requested from it, about the share of one node.
                harness.send(EntryMessageReceived { message.address, QuotaLoan { asked->loan, asked->amount } });
                isForwarded = harness.first<ForwardRequest>().has_value();
            }
        }
        EXPECT_GT(lenders.size(), 16u);
    }

    // Guards against losing quota that a peer returns.
    TEST(EntryRequests, LendsReturnedQuotaAgain)
    {
        QuotaHarness harness;
        const auto lend = [&harness] {
            harness.send(EntryMessageReceived { "10.0.0.2:7500", QuotaLoanRequest { 7, WorkspaceName("north"), 1e6 } });
            return std::get<QuotaLoan>(harness.first<SendEntryMessage>()->message).amount;
        };
        const double lent = lend();
        EXPECT_GT(lent, 0);
        EXPECT_LT(lend(), lent);
        harness.send(EntryMessageReceived { "10.0.0.2:7500", QuotaReturn { WorkspaceName("north"), lent } });
        EXPECT_GE(lend(), lent / 2);
    }

    /// Node without peers, whose quota covers two requests at once and then one per 100 s.
    class OwnQuotaHarness : public EntryHarness {
    public:
        OwnQuotaHarness()
        {
            this->start();
            EntryConfiguration limited = configuration(2);
            // Before other nodes are known, a node uses a hundredth of the quota.
            limited.workspaces[0].quota = WorkspaceQuota { QuotaUnit::Requests, 1, 200, 1 };
            this->send(EntryConfigurationRead { limited });
        }

        int statusOf(const std::string& route)
        {
            this->request(route);
            const auto response = this->first<Respond>();
            return response ? response->status : 0;
        }
    };

    // Guards against refunding the quota of a request that an upstream may have run until its deadline. Under heavy
    // load, such refunds let a workspace run more than its quota.
    TEST(EntryRequests, TimedOutRequestCountsAgainstQuota)
    {
        OwnQuotaHarness harness;
        harness.request("order");
        harness.request("order");
        harness.advance(1600ms);
        EXPECT_EQ(harness.all<Respond>().size(), 2u);
        EXPECT_EQ(harness.statusOf("order"), 429);
    }

    // Guards against retries that do not count against the quota.
    TEST(EntryRequests, EachRunCountsAgainstTheQuota)
    {
        OwnQuotaHarness harness;
        harness.request("status");
        harness.fail(harness.first<ForwardRequest>()->attempt.attempt, true);
        ASSERT_TRUE(harness.first<ForwardRequest>()) << "the request is retried";
        EXPECT_EQ(harness.statusOf("order"), 429);
    }

    // Guards against charging quota for a request that no upstream ran.
    TEST(EntryRequests, RefundsQuotaOfRequestThatDidNotRun)
    {
        OwnQuotaHarness harness;
        for (int round = 0; round < 4; ++round) {
            harness.request("order");
            for (auto sent = harness.first<ForwardRequest>(); sent; sent = harness.first<ForwardRequest>())
                harness.respond(sent->attempt.attempt, 503, true);
            // The request waits for an upstream that has not refused it.
            harness.advance(100ms);
            ASSERT_TRUE(harness.first<Respond>());
            EXPECT_EQ(harness.first<Respond>()->status, 503) << round;
        }
    }

} // namespace
} // namespace teaselshore
