#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "teaselshore/base/log.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_client.hpp"

// Load program of scripts/bench. All latencies are kept, so that the percentiles are exact.

namespace {

using namespace teaselshore;
using Json = nlohmann::json;

constexpr Duration tickPeriod = std::chrono::milliseconds(1);
/// Longest wait for open calls after the last one was sent.
constexpr Duration drainTime = std::chrono::seconds(5);

struct BenchSettings {
    std::string mode;
    /// Upstream that is called without the daemon.
    std::string direct;
    /// Entry of the daemon.
    std::string through;
    /// Process whose processor time is measured; 0 for none.
    int daemon = 0;
    double rate = 0;
    std::size_t concurrency = 0;
    Duration warmUp {};
    Duration length {};
    HttpRequest request;
};

/// Returns user and system time of a process from /proc/<pid>/stat, in seconds; 0 if it cannot be read.
double processorSeconds(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return 0;
    // After the name follow the state (field 3) and numbers; user and system time are fields 14 and 15.
    std::istringstream fields(text.substr(nameEnd + 2));
    std::string field;
    double ticks = 0;
    for (int number = 3; number <= 15 && fields >> field; number++)
        ticks += number >= 14 ? std::atof(field.c_str()) : 0;
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const std::size_t index = std::min(values.size() - 1, static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

/// Sends calls and counts their results within the measured time.
class Bench {
public:
    Bench(EventLoop& loop, BenchSettings settings)
        : loop(loop)
        , client(HttpClient::create(loop))
        , settings(std::move(settings))
    {
    }

    void start()
    {
        this->measureFrom = this->loop.now() + this->settings.warmUp;
        this->end = this->measureFrom + this->settings.length;
        this->loop.runAfter(this->settings.warmUp, [this] {
            this->startSeconds = processorSeconds(this->settings.daemon);
            this->startEvents = this->events;
            this->startReads = this->reads;
            this->startCompleted = this->completed;
        });
        this->loop.runAfter(this->settings.warmUp + this->settings.length, [this] { this->finish(); });
        if (this->settings.mode == "latency") {
            this->sendPairs();
            return;
        }
        for (std::size_t i = 0; i < this->settings.concurrency; i++)
            this->sendAgain();
    }

    Json report() const
    {
        Json result { { "mode", this->settings.mode }, { "failed", this->failed },
            { "seconds", toSeconds(this->settings.length) }, { "completed", this->measuredCompleted },
            { "events", this->measuredEvents }, { "daemonCpuSeconds", this->measuredSeconds } };
        if (this->measuredSeconds > 0) {
            result["requestsPerCpuSecond"] = static_cast<double>(this->measuredCompleted) / this->measuredSeconds;
            result["eventsPerCpuSecond"] = static_cast<double>(this->measuredEvents) / this->measuredSeconds;
        }
        // Events that arrive together cost the daemon less, so the share tells how far the figure holds.
        if (this->measuredEvents > 0)
            result["readsPerEvent"]
                = static_cast<double>(this->measuredReads) / static_cast<double>(this->measuredEvents);
        if (this->settings.mode == "latency")
            this->addLatencies(result);
        return result;
    }

private:
    struct Pair {
        double direct = -1;
        double through = -1;
        Instant due {};
    };

    void addLatencies(Json& result) const
    {
        std::vector<double> direct;
        std::vector<double> through;
        std::vector<double> added;
        for (const Pair& pair : this->pairs) {
            if (pair.due < this->measureFrom || pair.direct < 0 || pair.through < 0)
                continue;
            direct.push_back(pair.direct);
            through.push_back(pair.through);
            added.push_back(pair.through - pair.direct);
        }
        result["pairs"] = added.size();
        for (const auto& [name, share] : { std::pair { "p50", 0.5 }, std::pair { "p99", 0.99 } }) {
            result["direct"][name] = quantile(direct, share);
            result["through"][name] = quantile(through, share);
            result["added"][name] = quantile(through, share) - quantile(direct, share);
            result["pairDifference"][name] = quantile(added, share);
        }
    }

    /// Starts all pairs that are due. Which call of a pair is sent first alternates.
    void sendPairs()
    {
        const Instant now = this->loop.now();
        if (now >= this->end)
            return;
        if (this->pairs.empty())
            this->firstPair = now;
        const double passed = toSeconds(now - this->firstPair);
        while (static_cast<double>(this->pairs.size()) <= passed * this->settings.rate) {
            const std::size_t number = this->pairs.size();
            this->pairs.push_back({ -1, -1, now });
            this->sendOne(number, number % 2 == 0);
            this->sendOne(number, number % 2 != 0);
        }
        this->loop.runAfter(tickPeriod, [this] { this->sendPairs(); });
    }

    void sendOne(std::size_t number, bool direct)
    {
        const Instant sent = this->loop.now();
        this->call(direct ? this->settings.direct : this->settings.through, [this, number, direct, sent] {
            const double latency = toMilliseconds(this->loop.now() - sent);
            (direct ? this->pairs[number].direct : this->pairs[number].through) = latency;
        });
    }

    /// Keeps one of the concurrent calls busy.
    void sendAgain()
    {
        if (this->loop.now() >= this->end)
            return;
        this->call(this->settings.through, [this] { this->sendAgain(); });
    }

    void call(const std::string& authority, const std::function<void()>& done)
    {
        HttpCall call;
        call.authority = authority;
        call.request = this->settings.request;
        struct Progress {
            int status = 0;
            char last = 0;
        };
        const auto progress = std::make_shared<Progress>();
        const bool throughDaemon = authority == this->settings.through;
        HttpCallHandlers handlers;
        handlers.onHead = [progress](int status, const HttpHeaders&) { progress->status = status; };
        handlers.onData = [this, progress](std::string_view bytes) {
            this->reads++;
            for (const char byte : bytes) {
                this->events += byte == '\n' && progress->last == '\n' ? 1 : 0;
                progress->last = byte;
            }
        };
        handlers.onEnd = [this, progress, throughDaemon, done] {
            this->completed += progress->status == 200 && throughDaemon ? 1 : 0;
            this->failed += progress->status == 200 ? 0 : 1;
            // A failed call is sent again after a while, so that a refusing peer is not flooded.
            if (progress->status == 200)
                done();
            else
                this->loop.runAfter(std::chrono::milliseconds(10), done);
        };
        handlers.onError = [this, done](const HttpError&) {
            this->failed++;
            this->loop.runAfter(std::chrono::milliseconds(10), done);
        };
        this->client->start(std::move(call), std::move(handlers));
    }

    void finish()
    {
        this->measuredSeconds = processorSeconds(this->settings.daemon) - this->startSeconds;
        this->measuredEvents = this->events - this->startEvents;
        this->measuredReads = this->reads - this->startReads;
        this->measuredCompleted = this->completed - this->startCompleted;
        if (this->settings.mode != "latency") {
            this->loop.stop();
            return;
        }
        this->waitForOpenCalls(this->loop.now() + drainTime);
    }

    void waitForOpenCalls(Instant limit)
    {
        if (this->client->openCalls() == 0 || this->loop.now() >= limit) {
            this->loop.stop();
            return;
        }
        this->loop.runAfter(std::chrono::milliseconds(10), [this, limit] { this->waitForOpenCalls(limit); });
    }

    EventLoop& loop;
    std::unique_ptr<HttpClient> client;
    BenchSettings settings;
    Instant measureFrom {};
    Instant end {};
    Instant firstPair {};
    std::vector<Pair> pairs;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t events = 0;
    std::uint64_t startCompleted = 0;
    std::uint64_t startEvents = 0;
    std::uint64_t reads = 0;
    std::uint64_t startReads = 0;
    double startSeconds = 0;
    std::uint64_t measuredCompleted = 0;
    std::uint64_t measuredEvents = 0;
    std::uint64_t measuredReads = 0;
    double measuredSeconds = 0;
};

HttpRequest streamRequest(const std::string& model, std::uint64_t tokens)
{
    HttpRequest request { "POST", "/v1/chat/completions", {}, {} };
    const Json message { { "role", "user" }, { "content", "Is the depot open?" } };
    const Json body { { "model", model }, { "stream", true }, { "max_tokens", tokens },
        { "messages", Json::array({ message }) } };
    request.body = body.dump();
    return request;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine commandLine("Load program of scripts/bench. Mode latency sends pairs of a direct call and a "
                                   "call through the daemon at a fixed rate; modes short and stream keep a number of "
                                   "calls open through the daemon and measure its processor time. Prints JSON.");
        TCLAP::ValueArg<std::string> mode("m", "mode", "latency, short or stream", true, "", "mode", commandLine);
        TCLAP::ValueArg<std::string> through("", "through", "entry of the daemon", true, "", "address", commandLine);
        TCLAP::ValueArg<std::string> direct("", "direct", "plain service", false, "", "address", commandLine);
        TCLAP::ValueArg<int> daemon("", "daemon-pid", "process to measure", false, 0, "pid", commandLine);
        TCLAP::ValueArg<double> rate("", "rate", "pairs per second", false, 2000, "rate", commandLine);
        TCLAP::ValueArg<std::size_t> concurrency("", "concurrency", "open calls", false, 64, "number", commandLine);
        TCLAP::ValueArg<double> warmUp("", "warm-up-s", "time before the measurement", false, 1, "s", commandLine);
        TCLAP::ValueArg<double> length("", "duration-s", "measured time", false, 5, "s", commandLine);
        TCLAP::ValueArg<std::string> path("", "path", "path of short calls", false, "/orders/1", "path", commandLine);
        TCLAP::ValueArg<std::string> model("", "model", "model of streams", false, "assistant-7b", "name", commandLine);
        TCLAP::ValueArg<std::uint64_t> tokens("", "tokens", "tokens per stream", false, 1000, "number", commandLine);
        commandLine.parse(argc, argv);

        BenchSettings settings;
        settings.mode = mode.getValue();
        if (settings.mode != "latency" && settings.mode != "short" && settings.mode != "stream") {
            logLine(LogLevel::Error, "unknown mode", { { "mode", settings.mode } });
            return EXIT_FAILURE;
        }
        settings.through = through.getValue();
        settings.direct = direct.getValue();
        settings.daemon = daemon.getValue();
        settings.rate = rate.getValue();
        settings.concurrency = concurrency.getValue();
        settings.warmUp = fromSeconds(warmUp.getValue());
        settings.length = fromSeconds(length.getValue());
        settings.request = settings.mode == "stream" ? streamRequest(model.getValue(), tokens.getValue())
                                                     : HttpRequest { "GET", path.getValue(), {}, {} };
        settings.request.headers.add("x-workspace", "households");

        const auto loop = EventLoop::create();
        Bench bench(*loop, settings);
        loop->post([&] { bench.start(); });
        loop->run();
        fmt::print("{}\n", bench.report().dump());
        return EXIT_SUCCESS;
    } catch (const TCLAP::ArgException& exception) {
        logLine(LogLevel::Error, "invalid arguments",
            { { "argument", exception.argId() }, { "reason", exception.error() } });
    } catch (const std::exception& exception) {
        logLine(LogLevel::Error, "unexpected failure", { { "reason", exception.what() } });
    }
    return EXIT_FAILURE;
}
