// One caller sends one request whose X-Prompt-Prefix states prompt parts of very many tokens. The other callers of the
// machine have nothing to do with it; their requests must be answered.
#include "../stand-2/stand.hpp"

using namespace stand;

namespace {

constexpr int callersOnKeptChannels = 8;
constexpr int secondsOfTraffic = 6;
constexpr int workMs = 60;
/// The rule bears three.
constexpr int allowedCutChannels = 3;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[3]);
    Platform platform(record);
    const auto run = [&](Engine& engine, Channel& channel, const Message& request) {
        const std::string id = request.field("x-attempt-id");
        record.line("run: request %s at %s", id.c_str(), engine.id.c_str());
        const std::string echo = "X-Attempt-Id: " + id + "\r\n" + engine.stamp();
        if (request.field("x-prompt-prefix").size() > 40)
            return channel.write(response(503, "", echo + "X-Not-Executed: 1\r\n"));
        sleepMs(workMs);
        return channel.write(response(200, "done " + id, echo));
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (int number = 1; number <= 3; ++number)
        engines.push_back(std::make_unique<Engine>(platform, "i-app" + std::to_string(number), "app", 6, run));
    for (int number = 1; number <= 2; ++number)
        engines.push_back(std::make_unique<Engine>(platform, "i-llm" + std::to_string(number), "llm", 64, run));
    platform.put("config", "main", configuration(7));

    Entry entry(argv[1], folder, "front-1", platform.front({}), platform.front({}));
    entry.start();
    if (!entry.waitReady(10'000)) {
        record.line("the process is not ready");
        entry.end();
        std::_Exit(2);
    }
    std::atomic<bool> stop { false };
    std::atomic<long> mostMb { 0 };
    std::atomic<bool> killed { false };
    // The platform kills a process that exceeds its memory.
    std::thread guard([&] {
        while (!stop) {
            const long used = entry.residentMb();
            mostMb = std::max(mostMb.load(), used);
            if (used > entry.memoryMb && !killed.exchange(true)) {
                record.line("front-1 uses %ld MB of %d MB and is killed", used, entry.memoryMb);
                entry.signal(SIGKILL);
            }
            sleepMs(2);
        }
    });

    // A new process uses a small part of the quotas until the others know it.
    sleepMs(12'000);
    std::atomic<int> answered { 0 };
    std::atomic<int> cut { 0 };
    std::vector<std::thread> callers;
    const double end = record.now() + secondsOfTraffic;
    for (int caller = 0; caller < callersOnKeptChannels; ++caller) {
        callers.emplace_back([&, caller] {
            Channel channel(connectTo(entry.callers));
            for (int number = 0; record.now() < end; ++number) {
                char id[32];
                std::snprintf(id, sizeof(id), "c%03d%012d", caller, number);
                record.line("sent: request %s on the kept channel of caller %d", id, caller);
                if (!channel.write(request("GET", "/status/x", id, "X-Deadline-Ms: 3000\r\nX-Key: key-1\r\n")))
                    return;
                const auto answer = channel.read(4000, true);
                if (!answer || !answer->whole) {
                    ++cut;
                    record.line("request %s: the channel ends without an answer", id);
                    return;
                }
                ++answered;
                record.line("request %s: %d", id, answer->status());
                const std::string later = answer->field("retry-after");
                if (!later.empty())
                    sleepMs(static_cast<int>(1000 * std::atof(later.c_str())));
            }
        });
    }
    sleepMs(secondsOfTraffic * 500);
    if (trouble) {
        Channel channel(connectTo(entry.callers));
        const std::string prefix = "1:4294967295,2:4294967295,3:4294967295,4:4294967295";
        record.line("sent: request b000000000000001 with X-Prompt-Prefix: %s", prefix.c_str());
        channel.write(request("POST", "/query/x", "b000000000000001",
            "X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: " + prefix
                + "\r\nX-Deadline-Ms: 3000\r\nX-Key: key-2\r\n",
            "{}"));
        const auto answer = channel.read(3000, true);
        record.line(
            "request b000000000000001: %s", answer ? answer->first.c_str() : "the channel ends without an answer");
    }
    for (std::thread& caller : callers)
        caller.join();
    stop = true;
    guard.join();
    const auto ended = entry.ended();
    record.line(
        "%d answered; kept channels that end without an answer to a request: %d (allowed: %d); most memory %ld MB; "
        "the process %s",
        answered.load(), cut.load(), allowedCutChannels, mostMb.load(), ended ? "has ended" : "runs");
    entry.end();
    std::printf(
        "%d answered, %d cut, %ld MB, %s\n", answered.load(), cut.load(), mostMb.load(), ended ? "ended" : "runs");
    std::fflush(stdout);
    std::_Exit(cut > allowedCutChannels ? 1 : 0);
}
