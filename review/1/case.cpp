// An entry of another writer in kind `servers` that cannot be read; then all processes are killed and start again.
#include "../stand/stand.hpp"

using namespace stand;

namespace {

constexpr double contact = 3.0; // contact_ms
constexpr double recover = 12.0; // recover_s
constexpr double down = 1.6; // down_s of the closing kill_all in the site file

bool serve(Engine& engine, Request& request, Channel& channel)
{
    record().line("%s runs %s", engine.id.c_str(), request.field("x-attempt-id").c_str());
    sleepFor(0.02);
    return channel.write(answerText(200, "done", engine.stamp(request)));
}

struct Sent {
    double at;
    bool served;
};

} // namespace

int main(int count, char** arguments)
{
    if (!prepare(count, arguments))
        return 2;
    Store store;
    store.put("config", "main",
        configuration(7, { route("status", "/status/", "safe", "app", 3000, 2) }, { service("app") }));
    Engine first(store, "i-1", "app", serve);
    Engine second(store, "i-2", "app", serve);
    Engine third(store, "i-3", "app", serve);
    std::vector<std::unique_ptr<Node>> nodes;
    for (const char* name : { "front-a-1", "front-a-2", "front-b-1" })
        nodes.push_back(std::make_unique<Node>(store, name, arguments[2]));
    for (const auto& node : nodes)
        node->start();
    for (const auto& node : nodes) {
        if (!node->waitUntilReady(10))
            conclude(2, "a node did not become ready at the first start");
    }

    // 30 requests a second, dealt to the nodes in turn as a balancer does that finds none or all of them ready.
    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> stop { false };
    std::thread load([&] {
        for (std::size_t number = 0; !stop; ++number) {
            std::thread([&, number] {
                const Node& node = *nodes[number % nodes.size()];
                const std::string id = attemptId();
                const double at = now();
                record().line("caller sends %s to %s", id.c_str(), node.name.c_str());
                const Answer answer = call(node.callers,
                    requestText("GET", "/status/1", { { "X-Attempt-Id", id }, { "X-Deadline-Ms", "3000" } }), 3.2);
                record().line("caller got %d for %s", answer.status, id.c_str());
                const std::lock_guard<std::mutex> lock(mutex);
                sent.push_back({ at, answer.status == 200 && answer.complete });
            }).detach();
            sleepFor(1.0 / 30);
        }
    });

    sleepFor(2);
    if (trouble()) {
        store.put("servers", "i-other", R"({"service":"\udc80\udcff","state":7})");
        record().line("another writer put the entry i-other");
    }
    sleepFor(contact + 1);
    const double killedAt = now();
    for (const auto& node : nodes)
        node->signal(SIGKILL);
    for (const auto& node : nodes)
        node->waitForEnd(2);
    sleepUntil(killedAt + down);
    for (const auto& node : nodes)
        node->start();
    const double backAt = now();
    sleepUntil(backAt + recover + 8);
    stop = true;
    load.join();
    sleepFor(3.4);

    int before = 0;
    int servedBefore = 0;
    int after = 0;
    int servedAfter = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const Sent& request : sent) {
            before += request.at < killedAt - 0.5;
            servedBefore += request.at < killedAt - 0.5 && request.served;
            after += request.at > backAt + recover;
            servedAfter += request.at > backAt + recover && request.served;
        }
    }
    int ready = 0;
    for (const auto& node : nodes) {
        ready += node->isReady();
        record().line("%s: ready %d, process ended %d", node->name.c_str(), node->isReady(), node->hasEnded());
    }
    for (const auto& node : nodes)
        node->end();
    record().line("before the final fault: %d of %d requests served", servedBefore, before);
    record().line("later than recover_s after the machines are back: %d of %d requests served; %d of %zu nodes ready",
        servedAfter, after, ready, nodes.size());
    if (before == 0 || 4 * servedBefore < before || after == 0)
        conclude(2, "the case could not run");
    const bool broken = 4 * servedAfter < after;
    conclude(broken ? 1 : 0, broken ? "RECOVER broken" : "RECOVER held");
}
