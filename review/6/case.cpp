// One of four machines is cut off from all engines while engines are in the middle of the first event of some streams.
// The other machines still reach them. The caller's stream must hold whole events, each made by one run.
#include "../stand-2/stand.hpp"

using namespace stand;

namespace {

constexpr int eventsOfStream = 6;
constexpr int tokensOfEvent = 4;
/// An engine writes each token as it makes it, so that an event takes four steps.
constexpr int stepMs = 15;
constexpr int firstTokenMs = 20;
constexpr int requestEveryMs = 12;
constexpr int requestsBeforeCut = 170;
constexpr int requestsAfterCut = 40;
constexpr int cutMs = 4000;

std::string token(const std::string& run, int event, int number)
{
    return run + "." + std::to_string(event) + "." + std::to_string(number);
}

/// Text of an event of a run.
std::string eventText(const std::string& run, int event)
{
    std::string text = "id: " + std::to_string(event) + "\ndata:";
    for (int number = 0; number < tokensOfEvent; ++number)
        text += " " + token(run, event, number);
    return text;
}

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const std::string command = argv[1];
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[3]);
    Platform platform(record);
    std::atomic<int> runs { 0 };

    const auto run = [&](Engine& engine, Channel& channel, const Message& request) {
        const std::string id = request.field("x-attempt-id");
        const std::string name = engine.id + "-" + std::to_string(++runs);
        const std::string echo = "X-Attempt-Id: " + id + "\r\n" + engine.stamp();
        if (engine.service == "app")
            return channel.write(response(200, "done", echo));
        const int after = std::atoi(request.field("last-event-id").c_str());
        record.line("run %s: request %s at %s after event %d", name.c_str(), id.c_str(), engine.id.c_str(), after);
        sleepMs(firstTokenMs);
        bool open = channel.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = after + 1; event <= eventsOfStream; ++event) {
            for (int number = 0; number < tokensOfEvent && open; ++number) {
                const std::string begin = number == 0 ? "id: " + std::to_string(event) + "\ndata:" : "";
                const std::string end = number + 1 == tokensOfEvent ? "\n\n" : "";
                open = channel.write(chunk(begin + " " + token(name, event, number) + end));
                sleepMs(stepMs);
            }
        }
        return open && channel.write("0\r\n\r\n");
    };

    std::vector<std::unique_ptr<Engine>> engines;
    for (int number = 1; number <= 3; ++number)
        engines.push_back(std::make_unique<Engine>(platform, "i-llm" + std::to_string(number), "llm", 64, run));
    engines.push_back(std::make_unique<Engine>(platform, "i-app1", "app", 6, run));
    platform.put("config", "main", configuration(7));

    std::vector<std::unique_ptr<Link>> links;
    std::map<int, int> linkOf;
    for (const auto& engine : engines) {
        links.push_back(std::make_unique<Link>(engine->port()));
        linkOf[engine->port()] = links.back()->port;
    }
    Entry first(command, folder, "front-1", platform.front(linkOf), platform.front({}));
    std::vector<std::unique_ptr<Entry>> others;
    for (int number = 2; number <= 4; ++number)
        others.push_back(std::make_unique<Entry>(
            command, folder, "front-" + std::to_string(number), platform.front({}), platform.front({})));
    const auto endAll = [&] {
        first.end();
        for (const auto& other : others)
            other->end();
    };
    first.start();
    bool isReady = true;
    for (const auto& other : others)
        other->start();
    for (const auto& other : others)
        isReady = other->waitReady(10'000) && isReady;
    if (!isReady || !first.waitReady(10'000)) {
        record.line("a process is not ready");
        endAll();
        std::_Exit(2);
    }
    // The processes learn of each other by their reports, which they write each 5 s.
    sleepMs(14'000);

    std::mutex mutex;
    int broken = 0;
    int whole = 0;
    int cut = 0;
    int other = 0;
    const auto call = [&](int number) {
        char id[32];
        std::snprintf(id, sizeof(id), "a%015d", number);
        Channel channel(connectTo(first.callers));
        const double sent = record.now();
        record.line("sent: request %s to front-1", id);
        channel.write(request("POST", "/query/x", id,
            "X-Model: m\r\nX-Token-Count: 100,24\r\nX-Prompt-Prefix: 5c1e07a2:60," + std::to_string(1000 + number)
                + ":40\r\nX-Deadline-Ms: 3000\r\nX-Key: key-1\r\n",
            "{}"));
        const auto answer = channel.read(4500, true);
        const std::lock_guard lock(mutex);
        if (!answer || answer->status() != 200) {
            ++other;
            record.line("request %s, sent at %.3f: %s", id, sent, answer ? answer->first.c_str() : "no answer");
            return;
        }
        std::string problem;
        int badEvent = 0;
        std::string rest = answer->body;
        int expected = 1;
        for (std::size_t end = rest.find("\n\n"); end != std::string::npos; end = rest.find("\n\n")) {
            const std::string event = rest.substr(0, end);
            rest.erase(0, end + 2);
            const std::size_t name = event.find("data: ");
            const std::string made
                = name == std::string::npos ? "" : event.substr(name + 6, event.find('.', name) - name - 6);
            if (event != eventText(made, expected) && problem.empty()) {
                problem = event;
                badEvent = expected;
            }
            ++expected;
        }
        ++(answer->whole ? whole : cut);
        if (answer->whole && problem.empty() && expected != eventsOfStream + 1)
            problem = "(none; the stream ends as complete after event " + std::to_string(expected - 1) + ")";
        if (problem.empty()) {
            record.line("request %s: status 200, %s, %d events", id, answer->whole ? "complete" : "cut", expected - 1);
            return;
        }
        ++broken;
        std::replace(problem.begin(), problem.end(), '\n', '|');
        record.line("request %s, sent at %.3f: status 200, %s, but event %d is: %s", id, sent,
            answer->whole ? "complete" : "cut", badEvent, problem.c_str());
    };

    std::vector<std::thread> callers;
    for (int number = 0; number < requestsBeforeCut + requestsAfterCut; ++number) {
        if (number == requestsBeforeCut) {
            record.line("%s", trouble ? "front-1 is cut off from all engines" : "no disruption");
            for (const auto& link : links) {
                if (trouble)
                    link->cut();
            }
        }
        callers.emplace_back(call, number);
        sleepMs(requestEveryMs);
    }
    sleepMs(cutMs - requestsAfterCut * requestEveryMs);
    record.line("front-1 reaches the engines again");
    for (const auto& link : links)
        link->heal();
    for (std::thread& caller : callers)
        caller.join();
    const bool ended = first.ended().has_value();
    record.line(
        "%d streams complete, %d cut, %d other answers; streams with an event of two runs or a missing one: %d%s",
        whole, cut, other, broken, ended ? "; a process ended" : "");
    endAll();
    std::printf("%d complete, %d cut, %d other, %d broken\n", whole, cut, other, broken);
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : 0);
}
