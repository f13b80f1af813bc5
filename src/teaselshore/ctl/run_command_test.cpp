#include "teaselshore/ctl/run_command.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {
namespace {

    std::string configurationText(const std::string& note)
    {
        return "revision-note: " + note
            + "\nregions: [{name: r, zones: [z]}]\nclasses: [{name: c, priority: 0}]\nworkspaces: [{name: w}]\n"
              "services:\n  - name: s\n    kind: plain\n    upstreams: [{id: u, zone: z, address: '127.0.0.1:1'}]\n"
              "    routes: [{name: r, path: /r, method: GET, class: c}]\n";
    }

    /// Object API and admin interface of one node in a thread of its own. The fields belong to that thread while a
    /// command runs.
    class FakeServer {
    public:
        FakeServer()
        {
            HttpError error;
            this->server = HttpServer::listen(
                *this->loop, {}, [this](const auto& exchange) { this->handle(exchange); }, &error);
            this->thread = std::thread([this]() { this->loop->run(); });
        }
        ~FakeServer()
        {
            this->loop->stop();
            this->thread.join();
            this->server.reset();
        }
        FakeServer(const FakeServer&) = delete;
        FakeServer& operator=(const FakeServer&) = delete;

        std::string address() const { return fmt::format("127.0.0.1:{}", this->server->port()); }

        std::uint64_t version = 0;
        std::string value;
        /// Number of writes that take effect without a reply.
        int lostReplies = 0;
        /// Text that another operator writes before the next write arrives.
        std::string rival;
        std::uint64_t nodeVersion = 0;
        std::string rejected;
        std::string traceReply;

    private:
        void handle(const std::shared_ptr<ServerExchange>& exchange)
        {
            const HttpRequest& request = exchange->request();
            if (request.path == "/objects/configuration" && request.method == "GET")
                exchange->reply(this->version == 0 ? HttpReply { 404, {}, {} } : this->objectReply(200, this->value));
            else if (request.path == "/objects/configuration")
                this->write(*exchange);
            else if (request.path == "/admin/status")
                exchange->reply({ 200, {}, this->status() });
            else if (request.path == "/admin/trace/t1" && !this->traceReply.empty())
                exchange->reply({ 200, {}, this->traceReply });
            else if (request.path == "/admin/drain" && request.method == "POST")
                exchange->reply({ 202, {}, R"({"node":"node-1","state":"draining","openRequests":4})" });
            else
                exchange->reply({ 404, {}, "{}" });
        }

        HttpReply objectReply(int status, std::string body) const
        {
            return { status, { { "x-object-version", fmt::format("{}", this->version) } }, std::move(body) };
        }

        void write(ServerExchange& exchange)
        {
            if (!this->rival.empty()) {
                this->value = std::exchange(this->rival, "");
                ++this->version;
            }
            const std::string expected = exchange.request().headers.find("if-match").value_or("0");
            if (expected != fmt::format("{}", this->version)) {
                exchange.reply(this->objectReply(409, ""));
                return;
            }
            this->value = exchange.request().body.text();
            ++this->version;
            if (this->lostReplies > 0) {
                --this->lostReplies;
                exchange.abort();
                return;
            }
            exchange.reply(this->objectReply(200, ""));
        }

        std::string status() const
        {
            nlohmann::json reply { { "node", "node-1" }, { "zone", "z" }, { "state", "serving" },
                { "configuration", { { "version", this->nodeVersion }, { "rejected", nullptr } } },
                { "platform", { { "reachable", true } } } };
            if (!this->rejected.empty())
                reply["configuration"]["rejected"] = { { "version", this->version }, { "problem", this->rejected } };
            reply["services"] = nlohmann::json::array(
                { { { "name", "assistant" }, { "upstreams", { { "total", 20 }, { "available", 19 } } },
                    { "move",
                        { { "from", "v1" }, { "to", "v2" }, { "state", "rolled_back" }, { "share", 0.0 },
                            { "reason", "error rate\u001b[2J" } } } } });
            return reply.dump();
        }

        std::unique_ptr<EventLoop> loop = EventLoop::create();
        std::unique_ptr<HttpServer> server;
        std::thread thread;
    };

    class RunCommand : public testing::Test {
    protected:
        RunCommand()
        {
            std::ofstream(this->file) << configurationText("mine");
            this->apply.file = this->file;
            this->apply.platform = this->server.address();
            this->apply.nodes = { this->server.address() };
            this->apply.waitTimeout = std::chrono::milliseconds(600);
        }
        ~RunCommand() override { std::remove(this->file.c_str()); }

        template <typename T> ExitCode run(const T& command)
        {
            CommandContext context { *this->fetcher, this->out, this->error };
            return runCommand(command, context);
        }

        FakeServer server;
        std::unique_ptr<HttpFetcher> fetcher = HttpFetcher::create();
        /// The process id keeps runs at the same time apart.
        std::string file = fmt::format("{}/run_command_test_{}.yaml", testing::TempDir(), getpid());
        ApplyCommand apply;
        std::ostringstream out;
        std::ostringstream error;
    };

    // Guards against an apply that is reported as failed, or done twice, when the reply to its write is lost.
    TEST_F(RunCommand, AppliesOnceWhenReplyIsLost)
    {
        this->server.lostReplies = 1;
        EXPECT_EQ(this->run(this->apply), ExitCode::Ok) << this->error.str();
        EXPECT_EQ(this->server.version, 1u);
        EXPECT_NE(this->out.str().find("version 1 written"), std::string::npos) << this->out.str();
        EXPECT_NE(this->out.str().find("added upstream s/u"), std::string::npos) << this->out.str();
    }

    // Guards against a conflict that overwrites the winner or hides who won.
    TEST_F(RunCommand, NamesWinnerOfConflict)
    {
        this->server.version = 4;
        this->server.value = configurationText("old");
        this->server.rival = configurationText("theirs");
        EXPECT_EQ(this->run(this->apply), ExitCode::LostRace);
        EXPECT_EQ(this->server.value, configurationText("theirs"));
        EXPECT_NE(this->error.str().find("version 5 is in force (revision-note: theirs)"), std::string::npos)
            << this->error.str();
    }

    // Guards against a wait that ends early, never ends, or does not name the node that lags behind.
    TEST_F(RunCommand, WaitsForNodes)
    {
        this->apply.wait = true;
        EXPECT_EQ(this->run(this->apply), ExitCode::WaitTimedOut);
        EXPECT_EQ(this->error.str(), "node node-1: version 0 is in force\n");

        this->server.rejected = "1:1: unknown key";
        EXPECT_EQ(this->run(this->apply), ExitCode::ProblemsInText);

        this->server.nodeVersion = 1;
        EXPECT_EQ(this->run(this->apply), ExitCode::Ok);
    }

    // Guards against an unreachable platform that looks like a conflict or like success.
    TEST_F(RunCommand, ReportsUnreachablePlatform)
    {
        this->apply.platform = "127.0.0.1:1";
        EXPECT_EQ(this->run(this->apply), ExitCode::Unreachable);
        EXPECT_NE(this->error.str().find("nothing was changed"), std::string::npos) << this->error.str();
    }

    // Guards against a text with problems that reaches the object API.
    TEST_F(RunCommand, WritesNoTextWithProblems)
    {
        std::ofstream(this->file) << "regions: 1\n";
        EXPECT_EQ(this->run(this->apply), ExitCode::ProblemsInText);
        EXPECT_EQ(this->server.version, 0u);
        EXPECT_NE(this->out.str().find(this->file + ":1:10: regions: must be a list"), std::string::npos);
    }

    // Guards against a status that hides an unreachable node, and against replies that drive the terminal.
    TEST_F(RunCommand, ShowsMovesAndUnreachableNodes)
    {
        EXPECT_EQ(this->run(StatusCommand { { this->server.address(), "127.0.0.1:1" } }), ExitCode::Unreachable);
        EXPECT_NE(this->out.str().find("127.0.0.1:1  -     unreachable"), std::string::npos) << this->out.str();
        EXPECT_NE(this->out.str().find("rolled_back  v1 -> v2"), std::string::npos) << this->out.str();
        EXPECT_EQ(this->out.str().find('\x1b'), std::string::npos);
    }

    // Guards against trace and drain that mistake an unknown id for an unreachable node or the reverse.
    TEST_F(RunCommand, TellsUnknownFromUnreachable)
    {
        const std::vector<std::string> nodes { this->server.address() };
        EXPECT_EQ(this->run(TraceCommand { "t1", nodes }), ExitCode::NotFound);
        EXPECT_EQ(this->run(TraceCommand { "t1", { nodes[0], "127.0.0.1:1" } }), ExitCode::Unreachable);
        EXPECT_EQ(this->run(TraceCommand { "../status", nodes }), ExitCode::Usage);
        EXPECT_EQ(this->run(DrainCommand { "node-2", nodes }), ExitCode::NotFound);
        EXPECT_EQ(this->run(DrainCommand { "node-1", nodes }), ExitCode::Ok);
        this->server.traceReply = R"({"node":"node-1","traceId":"t1","spans":[{"spanId":"a","name":"request"},7]})";
        EXPECT_EQ(this->run(TraceCommand { "t1", nodes }), ExitCode::Ok);
    }

    // Guards against command lines that are accepted although a value is missing or out of range.
    TEST(ParseCommandLine, RefusesWrongUsage)
    {
        const CommandDefaults none;
        const CommandDefaults both { "127.0.0.1:20000", "127.0.0.1:20101,127.0.0.1:20102" };
        const auto isRefused = [](const std::vector<std::string>& arguments, const CommandDefaults& defaults) {
            std::vector<std::string> all { "teaselshorectl" };
            all.insert(all.end(), arguments.begin(), arguments.end());
            return std::holds_alternative<UsageError>(parseCommandLine(all, defaults));
        };
        EXPECT_TRUE(isRefused({}, both));
        EXPECT_TRUE(isRefused({ "aply", "f" }, both));
        EXPECT_TRUE(isRefused({ "apply" }, both));
        EXPECT_TRUE(isRefused({ "apply", "f" }, none));
        EXPECT_TRUE(isRefused({ "apply", "f", "--platform", "localhost:1" }, none));
        EXPECT_TRUE(isRefused({ "apply", "f", "--wait", "--timeout", "0" }, both));
        EXPECT_TRUE(isRefused({ "status", "--output", "xml" }, both));
        EXPECT_TRUE(isRefused({ "status" }, none));
        EXPECT_FALSE(isRefused({ "status" }, both));
        EXPECT_TRUE(isRefused({ "explain" }, both));
        EXPECT_TRUE(isRefused({ "explain", "--host", "h" }, both));
        EXPECT_TRUE(isRefused({ "explain", "r1", "--host", "h", "--path", "/p" }, both));
        EXPECT_TRUE(isRefused({ "explain", "--host", "h", "--path", "/p" }, none));
        EXPECT_TRUE(isRefused({ "explain", "--host", "h", "--path", "/p", "--part", "7" }, both));
        EXPECT_TRUE(isRefused({ "explain", "--host", "h", "--path", "/p", "--part", "7:x" }, both));
        EXPECT_FALSE(isRefused({ "explain", "--host", "h", "--path", "/p", "--part", "7:100" }, both));
        EXPECT_FALSE(isRefused({ "explain", "r1" }, both));
        EXPECT_FALSE(isRefused({ "check", "f" }, none));
        EXPECT_FALSE(isRefused({ "apply", "f", "--base", "3", "--wait", "-o", "json" }, both));
    }

} // namespace
} // namespace teaselshore
