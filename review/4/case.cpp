// The store answers one machine nothing for some seconds; an engine leaves just after that.
#include "../stand/stand.hpp"

using namespace stand;

namespace {

constexpr double contact = 3.0; // contact_ms
constexpr double drain = 2.0; // drain_ms
/// How much longer than drain_ms the engine serves after its entry is gone (linger_ms of the site file).
constexpr double lingerTime = 1.5;
/// Of platform_down with "nodes" in the site file.
constexpr double longestSilence = 9.0;
constexpr double shortestSilence = 5.0;

struct Sent {
    std::string node;
    double at;
};

struct Run {
    std::string engine;
    std::string node;
    double sentAt;
    double at;
};

std::mutex runsMutex;
std::map<std::string, Run> runs;
std::map<std::string, Sent> sent;

bool serve(Engine& engine, Request& request, Channel& channel)
{
    const std::string id = request.field("x-attempt-id");
    {
        const std::lock_guard<std::mutex> lock(runsMutex);
        runs[id] = { engine.id, sent[id].node, sent[id].at, now() };
    }
    record().line("%s runs %s", engine.id.c_str(), id.c_str());
    sleepFor(0.2);
    return channel.write(answerText(200, "done", engine.stamp(request)));
}

} // namespace

int main(int count, char** arguments)
{
    if (!prepare(count, arguments))
        return 2;
    Store store;
    store.put("config", "main",
        configuration(7, { route("orders", "/orders/", "unsafe", "app", 3000, 1) }, { service("app") }));
    Engine first(store, "i-1", "app", serve);
    Engine second(store, "i-2", "app", serve);
    Node node(store, "front-a-1", arguments[2]);
    // A machine that the store serves all the while.
    Node other(store, store.addressForOthers(), "front-a-2", arguments[2]);
    node.start();
    other.start();
    if (!node.waitUntilReady(10) || !other.waitUntilReady(10))
        conclude(2, "a node did not become ready");

    // 30 orders a second to each node until the end.
    std::atomic<bool> stop { false };
    std::atomic<int> lost { 0 };
    std::atomic<double> leftAt { 1e9 };
    std::thread load([&] {
        for (int number = 0; !stop; ++number) {
            const Node& target = number % 2 == 0 ? node : other;
            std::thread([&, port = target.callers, name = target.name] {
                const std::string id = attemptId();
                const double at = now();
                {
                    const std::lock_guard<std::mutex> lock(runsMutex);
                    sent[id] = { name, at };
                }
                record().line("caller sends %s to %s", id.c_str(), name.c_str());
                const Answer answer = call(port,
                    requestText("POST", "/orders/1", { { "X-Attempt-Id", id }, { "X-Deadline-Ms", "3000" } }, "x"), 4);
                record().line("caller got %d for %s", answer.status, id.c_str());
                const std::lock_guard<std::mutex> lock(runsMutex);
                if (answer.status != 200 && runs.contains(id) && at > leftAt + drain) {
                    ++lost;
                    record().line("%s was run by %s, and its answer is lost", id.c_str(), runs[id].engine.c_str());
                }
            }).detach();
            sleepFor(1.0 / 60);
        }
    });

    sleepFor(contact + 1);
    if (trouble()) {
        store.silent = true;
        const double silentAt = now();
        record().line("the store answers front-a-1 nothing");
        // The silence ends while a call of the machine is open, as it does most of the time.
        sleepUntil(silentAt + shortestSilence);
        const double seen = store.watchedAt;
        while (store.watchedAt == seen && now() < silentAt + longestSilence - 0.2)
            sleepFor(0.005);
        sleepFor(0.1);
        store.silent = false;
        record().line("the store answers front-a-1 again, after %.1f s", now() - silentAt);
    } else {
        sleepFor(shortestSilence);
    }
    const double backAt = now();
    sleepFor(0.4);
    leftAt = first.removeEntry();
    sleepUntil(leftAt + drain + lingerTime);
    first.end();
    sleepUntil(backAt + contact + 3);
    stop = true;
    load.join();
    sleepFor(0.5);

    int late = 0;
    int lateAtOther = 0;
    int before = 0;
    {
        const std::lock_guard<std::mutex> lock(runsMutex);
        for (const auto& [id, run] : runs) {
            // The machine is in touch again contact_ms after the store answers it.
            const bool isLate = run.sentAt > leftAt + drain && run.sentAt > backAt + contact;
            late += run.engine == "i-1" && isLate && run.node == node.name;
            lateAtOther += run.engine == "i-1" && isLate && run.node == other.name;
            before += run.engine == "i-1" && run.at < leftAt;
        }
    }
    const bool alive = !node.hasEnded() && !other.hasEnded();
    node.end();
    other.end();
    record().line("sent in touch and later than drain_ms after the confirmation: %d runs at i-1 by front-a-1, %d by "
                  "front-a-2; answers lost at its end %d",
        late, lateAtOther, lost.load());
    if (before == 0 || !alive)
        conclude(2, "the case could not run");
    const bool broken = late + lateAtOther > 0;
    conclude(broken ? 1 : 0, broken ? "DRAIN broken" : "DRAIN held");
}
