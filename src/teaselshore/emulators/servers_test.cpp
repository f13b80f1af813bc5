#include <optional>

#include <gtest/gtest.h>

#include "teaselshore/emulators/engine_server.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/load_runner.hpp"
#include "teaselshore/emulators/platform_server.hpp"
#include "teaselshore/emulators/service_server.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {
namespace {

    constexpr Duration testLimit = std::chrono::seconds(20);

    struct Reply {
        int status = 0;
        HttpHeaders headers;
        std::string body;
        bool broken = false;
    };

    std::string authority(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    /// Sends one request and runs the loop until its end.
    Reply ask(EventLoop& loop, std::uint16_t port, HttpRequest request)
    {
        Reply reply;
        const auto client = HttpClient::create(loop);
        HttpCallHandlers handlers;
        handlers.onHead = [&](int status, const HttpHeaders& headers) {
            reply.status = status;
            reply.headers = headers;
        };
        handlers.onData = [&](std::string_view bytes) { reply.body += bytes; };
        handlers.onEnd = [&] { loop.stop(); };
        handlers.onError = [&](const HttpError&) {
            reply.broken = true;
            loop.stop();
        };
        const TimerId limit = loop.runAfter(testLimit, [&] { loop.stop(); });
        client->start({ authority(port), std::move(request) }, std::move(handlers));
        loop.run();
        loop.cancelTimer(limit);
        return reply;
    }

    LoadRunSettings loadOn(std::uint16_t port)
    {
        LoadRunSettings settings;
        settings.entries = { authority(port) };
        settings.load.length = std::chrono::seconds(1);
        settings.load.workspaces = { { WorkspaceName("w"), 1 } };
        settings.load.runId = "run";
        settings.load.questionDeadline = std::chrono::seconds(5);
        settings.load.planDeadline = std::chrono::seconds(5);
        settings.load.orderDeadline = std::chrono::seconds(5);
        return settings;
    }

    nlohmann::json runLoad(EventLoop& loop, const LoadRunSettings& settings)
    {
        LoadRunner runner(loop, settings, [&] { loop.stop(); });
        const TimerId limit = loop.runAfter(testLimit, [&] { loop.stop(); });
        loop.post([&] { runner.start(); });
        loop.run();
        loop.cancelTimer(limit);
        return runner.report().json();
    }

    // Guards against engine streams that the load generator cannot verify, which would make each run fail or pass
    // without meaning.
    TEST(Servers, EngineAnswersPassTheChecks)
    {
        const auto loop = EventLoop::create();
        HttpError error;
        EngineSettings engine;
        engine.speed = 50;
        const auto server = EngineServer::listen(*loop, {}, engine, 1, &error);
        ASSERT_TRUE(server) << error.detail;
        LoadRunSettings settings = loadOn(server->port());
        settings.load.mix = { .questions = 60, .plans = 10, .orders = 0, .statuses = 0 };
        const nlohmann::json report = runLoad(*loop, settings);
        EXPECT_TRUE(report["clean"]) << report.dump();
        EXPECT_GT(report["classes"]["question"]["ok"], 20);
        EXPECT_EQ(report["classes"]["question"]["ok"], report["classes"]["question"]["sent"]);
        EXPECT_EQ(report["classes"]["plan"]["ok"], report["classes"]["plan"]["sent"]);
    }

    // Guards against a load generator that reports a clean run although a service ran orders twice.
    TEST(Servers, DoubleRunsAfterLostAnswersAreFound)
    {
        const auto loop = EventLoop::create();
        HttpError error;
        ServiceSettings service;
        service.meanWork = std::chrono::milliseconds(2);
        service.faults.loseAnswers = 0.3;
        const auto server = ServiceServer::listen(*loop, {}, service, 1, "", &error);
        ASSERT_TRUE(server) << error.detail;
        LoadRunSettings settings = loadOn(server->port());
        settings.services = settings.entries;
        settings.load.mix = { .questions = 0, .plans = 0, .orders = 40, .statuses = 20 };
        settings.load.duplicateShare = 0;
        const nlohmann::json report = runLoad(*loop, settings);
        EXPECT_FALSE(report["clean"]);
        EXPECT_GT(report["classes"]["order"]["reattached"], 0);
        EXPECT_FALSE(report["audit"]["doubled"].empty()) << report.dump();
        EXPECT_TRUE(report["audit"]["lost"].empty()) << report.dump();
    }

    // Guards against object API faults that end at the model and never reach HTTP callers.
    TEST(Servers, PlatformLosesAnswersAndRefusesConflicts)
    {
        const auto loop = EventLoop::create();
        HttpError error;
        const auto server = PlatformServer::listen(*loop, {}, {}, 1, &error);
        ASSERT_TRUE(server) << error.detail;
        const std::uint16_t port = server->port();
        const HttpRequest create { "PUT", "/objects/journal/a/1", { { "if-none-match", "*" } }, "one" };
        EXPECT_EQ(ask(*loop, port, { "POST", "/faults", {}, R"({"loseAnswers":1})" }).status, 200);
        EXPECT_TRUE(ask(*loop, port, create).broken);
        EXPECT_EQ(ask(*loop, port, { "POST", "/faults", {}, R"({"loseAnswers":2})" }).status, 400);
        EXPECT_EQ(ask(*loop, port, { "POST", "/faults", {}, R"({"reset":true})" }).status, 200);
        const Reply conflict = ask(*loop, port, create);
        EXPECT_EQ(conflict.status, 409);
        const std::string version = conflict.headers.find("x-object-version").value_or("");
        const Reply read = ask(*loop, port, { "GET", "/objects/journal/a/1", {}, "" });
        EXPECT_EQ(read.body, "one");
        EXPECT_EQ(read.headers.find("x-object-version"), version);

        EXPECT_EQ(ask(*loop, port, { "PUT", "/objects/journal/a/1", { { "if-match", version } }, "two" }).status, 200);
        const Reply watch = ask(*loop, port, { "GET", "/watch?key=journal/a/1&after=" + version, {}, "" });
        EXPECT_EQ(watch.body, "two");
        const Reply list = ask(*loop, port, { "GET", "/objects?prefix=none", {}, "" });
        EXPECT_EQ(list.body, R"({"objects":[]})");
    }

    // Guards against an engine that goes on to compute for a caller that is gone.
    TEST(Servers, EngineDropsWorkOfCallerThatLeaves)
    {
        const auto loop = EventLoop::create();
        HttpError error;
        const auto server = EngineServer::listen(*loop, {}, {}, 1, &error);
        ASSERT_TRUE(server) << error.detail;
        const std::string body = R"({"max_tokens":100000,"stream":true,"messages":[{"role":"user","content":"x"}]})";
        auto client = HttpClient::create(*loop);
        HttpCallHandlers handlers;
        handlers.onData = [&](std::string_view) { loop->stop(); };
        client->start({ authority(server->port()), { "POST", "/v1/chat/completions", {}, body } }, handlers);
        const TimerId limit = loop->runAfter(testLimit, [&] { loop->stop(); });
        loop->run();
        loop->cancelTimer(limit);
        client.reset();
        std::optional<nlohmann::json> statistics;
        for (int i = 0; i < 100 && (!statistics || statistics->at("cancelled") == 0); ++i)
            statistics = parseObject(ask(*loop, server->port(), { "GET", "/stats", {}, "" }).body);
        ASSERT_TRUE(statistics);
        EXPECT_EQ(statistics->at("cancelled"), 1);
    }

} // namespace
} // namespace teaselshore
