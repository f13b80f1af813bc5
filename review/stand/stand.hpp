// Stand-ins for the scripts of this review: a platform's object store, upstreams and callers on loopback addresses, and
// the program under test as a separate process. Header-only; blocking sockets, one thread for each connection.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#ifndef STAND_PROGRAM
#define STAND_PROGRAM "target/teaselshore-entry"
#endif

namespace stand {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline Steady::time_point& origin()
{
    static Steady::time_point start = Steady::now();
    return start;
}

/// Seconds since the start of the script.
inline double now() { return std::chrono::duration<double>(Steady::now() - origin()).count(); }

inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline void sleepUntil(double time)
{
    if (time > now())
        sleepFor(time - now());
}

/// The file record.txt: what was sent, answered and run, with times.
class Record {
public:
    static Record& instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(this->file, "%9.3f ", now());
        std::vfprintf(this->file, format, arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
        va_end(arguments);
    }

private:
    std::mutex mutex;
    std::FILE* file = stderr;
};

inline Record& record() { return Record::instance(); }

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a free port if the given one is 0.
inline int listenOn(int& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || listen(descriptor, 1024) != 0) {
        close(descriptor);
        return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

/// A port that is free now, below those that the system gives to outgoing connections, and not given before.
inline int freePort()
{
    static std::mt19937 random { std::random_device {}() };
    static std::set<int> given;
    while (true) {
        int port = std::uniform_int_distribution<int>(10'240, 32'000)(random);
        const int descriptor = given.insert(port).second ? listenOn(port) : -1;
        if (descriptor < 0)
            continue;
        close(descriptor);
        return port;
    }
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

using Headers = std::map<std::string, std::string>;

/// A connection with a read buffer.
class Channel {
public:
    explicit Channel(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Channel() { this->closeNow(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    int fd() const { return this->descriptor; }

    void closeNow()
    {
        if (this->descriptor >= 0)
            close(std::exchange(this->descriptor, -1));
    }

    /// Closes with a reset.
    void reset()
    {
        const linger option { 1, 0 };
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        this->closeNow();
    }

    /// Reads more bytes; false at the end, on an error or after the timeout.
    bool fill(double timeout = 3600)
    {
        pollfd item { this->descriptor, POLLIN, 0 };
        if (poll(&item, 1, static_cast<int>(timeout * 1000)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = recv(this->descriptor, bytes, std::min(sizeof(bytes), this->readSize), 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads a head up to its empty line, without that line.
    std::optional<std::string> head(double timeout = 3600)
    {
        const double end = now() + timeout;
        std::size_t found = 0;
        while ((found = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(std::max(0.0, end - now())))
                return std::nullopt;
        }
        std::string text = this->buffer.substr(0, found);
        this->buffer.erase(0, found + 4);
        return text;
    }

    bool take(std::size_t count, std::string& target, double timeout = 3600)
    {
        const double end = now() + timeout;
        while (this->buffer.size() < count) {
            if (!this->fill(std::max(0.0, end - now()))) {
                target.append(std::exchange(this->buffer, {}));
                return false;
            }
        }
        target.append(this->buffer, 0, count);
        this->buffer.erase(0, count);
        return true;
    }

    bool takeLine(std::string& line, double timeout = 3600)
    {
        std::size_t found = 0;
        const double end = now() + timeout;
        while ((found = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(std::max(0.0, end - now())))
                return false;
        }
        line = this->buffer.substr(0, found);
        this->buffer.erase(0, found + 2);
        return true;
    }

    /// Bytes that one read takes at most.
    std::size_t readSize = 65536;
    std::string buffer;

private:
    int descriptor;
};

inline Headers parseFields(const std::string& head)
{
    Headers fields;
    std::size_t start = head.find("\r\n");
    while (start != std::string::npos) {
        start += 2;
        const std::size_t end = std::min(head.find("\r\n", start), head.size());
        const std::string line = head.substr(start, end - start);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            fields[lower(line.substr(0, colon))] = line.substr(value);
        }
        start = head.find("\r\n", start);
    }
    return fields;
}

/// Reads a body with a length or in chunks. Returns whether it is complete.
inline bool readBody(Channel& channel, const Headers& fields, std::string& body, double timeout = 3600)
{
    if (const auto encoding = fields.find("transfer-encoding"); encoding != fields.end()) {
        std::string line;
        while (channel.takeLine(line, timeout)) {
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0)
                return channel.takeLine(line, timeout);
            std::string end;
            if (!channel.take(size, body, timeout) || !channel.take(2, end, timeout))
                return false;
        }
        return false;
    }
    const auto length = fields.find("content-length");
    return length == fields.end() || channel.take(std::strtoul(length->second.c_str(), nullptr, 10), body, timeout);
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    Headers fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
};

inline std::optional<Request> readRequest(Channel& channel)
{
    const std::optional<std::string> head = channel.head();
    if (!head)
        return std::nullopt;
    Request request;
    const std::string line = head->substr(0, head->find("\r\n"));
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    request.method = line.substr(0, first);
    request.path = line.substr(first + 1, second - first - 1);
    if (const std::size_t mark = request.path.find('?'); mark != std::string::npos) {
        std::string rest = request.path.substr(mark + 1);
        request.path.resize(mark);
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('&'), rest.size());
            const std::string item = rest.substr(0, end);
            const std::size_t equals = std::min(item.find('='), item.size());
            request.query[item.substr(0, equals)] = equals < item.size() ? item.substr(equals + 1) : "";
            rest.erase(0, end + 1);
        }
    }
    request.fields = parseFields(*head);
    if (!readBody(channel, request.fields, request.body))
        return std::nullopt;
    return request;
}

inline std::string answerText(int status, const std::string& body, const Headers& fields = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and handles each in its own thread. The handler returns false to close the connection.
class Server {
public:
    using Handler = std::function<bool(Request&, Channel&)>;

    explicit Server(Handler handler, int port = 0)
        : handler(std::move(handler))
        , portNumber(port)
        , listener(listenOn(this->portNumber))
    {
        if (this->listener < 0) {
            std::fprintf(stderr, "cannot listen\n");
            std::_Exit(2);
        }
        std::thread([this] { this->run(); }).detach();
    }

    int port() const { return this->portNumber; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->portNumber); }

    /// Refuses new connections and breaks off the open ones, as a process that ends.
    void stop()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (std::exchange(this->stopped, true))
            return;
        shutdown(this->listener, SHUT_RDWR);
        for (const int descriptor : this->open)
            shutdown(descriptor, SHUT_RDWR);
    }

private:
    void run()
    {
        while (true) {
            const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                close(this->listener);
                return;
            }
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->stopped) {
                close(descriptor);
                continue;
            }
            this->open.push_back(descriptor);
            std::thread([this, descriptor] { this->serve(descriptor); }).detach();
        }
    }

    void serve(int descriptor)
    {
        {
            Channel channel(dup(descriptor));
            while (std::optional<Request> request = readRequest(channel)) {
                if (!this->handler(*request, channel))
                    break;
            }
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase(this->open, descriptor);
        close(descriptor);
    }

    Handler handler;
    int portNumber;
    int listener;
    std::mutex mutex;
    std::vector<int> open;
    bool stopped = false;
};

/// The platform's object store and its API for duties, as PROTOCOL.md describes them.
class Store {
public:
    Store()
        : server([this](Request& request, Channel& channel) { return this->handle(request, channel, true); })
        , others([this](Request& request, Channel& channel) { return this->handle(request, channel, false); })
        , cloud([](Request&, Channel& channel) { return channel.write(answerText(200, "{}")); })
    {
    }

    std::string address() const { return this->server.address(); }
    /// The same store for machines that it serves all the while.
    std::string addressForOthers() const { return this->others.address(); }
    std::string cloudAddress() const { return this->cloud.address(); }

    /// Writes an object as another writer does; spec is JSON text. Returns the time of the confirmation.
    double put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Object& object = this->kinds[kind][name];
        if (object.spec == spec)
            return now();
        object.spec = spec;
        this->changed(kind, name, object, false);
        return now();
    }

    double remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Object object = this->kinds[kind][name];
        this->kinds[kind].erase(name);
        this->changed(kind, name, object, true);
        return now();
    }

    /// The store answers no call at address(); one that it got meanwhile stays without an answer.
    std::atomic<bool> silent { false };
    /// When a watch of kind `servers` arrived last at address().
    std::atomic<double> watchedAt { 0 };
    /// Seconds that an answer takes.
    std::atomic<double> delay { 0.004 };

private:
    struct Object {
        std::string spec = "null";
        std::string status = "null";
        std::uint64_t revision = 0;
    };
    struct Event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string text(const std::string& name, const Object& object)
    {
        return R"({"metadata":{"name":)" + Json(name).dump() + R"(,"revision":)" + std::to_string(object.revision)
            + R"(,"created_at":1,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":)"
            + object.status + "}";
    }

    void changed(const std::string& kind, const std::string& name, Object& object, bool deleted)
    {
        object.revision = ++this->revision;
        this->events.push_back({ this->revision, kind,
            std::string(R"({"deleted":)") + (deleted ? "true" : "false") + R"(,"object":)" + text(name, object)
                + "}" });
        this->condition.notify_all();
    }

    bool handle(Request& request, Channel& channel, bool heedsSilence)
    {
        if (heedsSilence && request.path == "/objects/servers" && request.query.contains("watch"))
            this->watchedAt = now();
        if (heedsSilence && this->silent)
            return keepSilent(channel);
        sleepFor(this->delay);
        const auto [status, body] = this->answer(request);
        if (heedsSilence && this->silent)
            return keepSilent(channel);
        return channel.write(answerText(status, body, { { "Content-Type", "application/json" } }));
    }

    /// Waits for the caller to close the connection.
    static bool keepSilent(Channel& channel)
    {
        while (channel.fill())
            channel.buffer.clear();
        return false;
    }

    std::pair<int, std::string> answer(const Request& request)
    {
        const std::string prefix = "/objects/";
        if (request.path.compare(0, prefix.size(), prefix) != 0)
            return { 404, "{}" };
        std::vector<std::string> parts;
        std::string rest = request.path.substr(prefix.size());
        while (!rest.empty()) {
            const std::size_t slash = std::min(rest.find('/'), rest.size());
            parts.push_back(rest.substr(0, slash));
            rest.erase(0, slash + 1);
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        if (request.method == "GET" && parts.size() == 1)
            return request.query.contains("watch") ? this->watch(request, parts[0], lock)
                                                   : this->list(request, parts[0]);
        auto& objects = this->kinds[parts[0]];
        const Json body = request.body.empty() ? Json() : Json::parse(request.body);
        const std::string name = parts.size() > 1 ? parts[1] : body.at("metadata").at("name").get<std::string>();
        const auto found = objects.find(name);
        if (request.method == "GET")
            return found == objects.end() ? std::pair(404, std::string("{}"))
                                          : std::pair(200, text(name, found->second));
        if (request.method == "POST") {
            if (found != objects.end())
                return { 409, text(name, found->second) };
            Object& object = objects[name];
            object.spec = body.at("spec").dump();
            this->changed(parts[0], name, object, false);
            return { 200, text(name, object) };
        }
        if (found == objects.end())
            return { 404, "{}" };
        Object& object = found->second;
        std::optional<std::uint64_t> expected;
        if (body.is_object() && body.at("metadata").contains("revision"))
            expected = body.at("metadata").at("revision").get<std::uint64_t>();
        if (const auto revision = request.query.find("revision"); revision != request.query.end())
            expected = std::strtoull(revision->second.c_str(), nullptr, 10);
        if (expected && *expected != object.revision)
            return { 409, text(name, object) };
        if (request.method == "DELETE") {
            this->changed(parts[0], name, object, true);
            objects.erase(found);
            return { 200, "{}" };
        }
        std::string& target = parts.size() > 2 ? object.status : object.spec;
        const std::string value = body.at(parts.size() > 2 ? "status" : "spec").dump();
        if (target != value) {
            target = value;
            this->changed(parts[0], name, object, false);
        }
        return { 200, text(name, object) };
    }

    std::pair<int, std::string> list(const Request& request, const std::string& kind)
    {
        constexpr std::size_t mostItems = 500;
        const auto after = request.query.find("after");
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto& [name, object] : this->kinds[kind]) {
            if (after != request.query.end() && name <= after->second)
                continue;
            if (count == mostItems) {
                more = true;
                break;
            }
            items += (count++ ? "," : "") + text(name, object);
        }
        return { 200,
            "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false")
                + ",\"at\":" + std::to_string(this->revision) + "}" };
    }

    std::pair<int, std::string> watch(
        const Request& request, const std::string& kind, std::unique_lock<std::mutex>& lock)
    {
        const std::uint64_t after = std::strtoull(request.query.at("watch").c_str(), nullptr, 10);
        const double wait = std::strtod(request.query.at("wait_ms").c_str(), nullptr) / 1000;
        const auto end
            = Steady::now() + std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(wait));
        while (true) {
            std::string found;
            for (const Event& event : this->events) {
                if (event.revision > after && event.kind == kind)
                    found += (found.empty() ? "" : ",") + event.text;
            }
            if (!found.empty() || this->condition.wait_until(lock, end) == std::cv_status::timeout)
                return { 200, "{\"events\":[" + found + "],\"at\":" + std::to_string(this->revision) + "}" };
        }
    }

    std::mutex mutex;
    std::condition_variable condition;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
    std::uint64_t revision = 100;
    Server server;
    Server others;
    Server cloud;
};

/// An upstream that registers itself in the store.
class Engine {
public:
    using Behaviour = std::function<bool(Engine&, Request&, Channel&)>;

    Engine(Store& store, std::string id, std::string service, Behaviour behaviour)
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , behaviour(std::move(behaviour))
        , born(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count())
        , server([this](Request& request, Channel& channel) { return this->handle(request, channel); })
    {
        this->report("ready");
    }

    std::string address() const { return this->server.address(); }

    double report(const std::string& state)
    {
        const Json spec { { "service", this->service }, { "address", this->server.address() }, { "zone", "zone-a" },
            { "version", "v1" }, { "slots", 64 }, { "state", state }, { "cold_left_ms", 0 }, { "seq", 1 },
            { "born", this->born } };
        const double time = this->store.put("servers", this->id, spec.dump());
        record().line("engine %s reported %s, confirmed by the store", this->id.c_str(), state.c_str());
        return time;
    }

    /// The entry goes, the process serves on. Returns the time of the store's confirmation.
    double removeEntry()
    {
        const double time = this->store.remove("servers", this->id);
        record().line("the entry of engine %s is removed, confirmed by the store", this->id.c_str());
        return time;
    }

    /// The process ends, and its connections break.
    void end()
    {
        this->server.stop();
        record().line("engine %s ended", this->id.c_str());
    }

    /// Header fields of an answer that was run.
    Headers stamp(const Request& request) const
    {
        return { { "X-Attempt-Id", request.field("x-attempt-id") }, { "X-Server-Stamp", this->id + ".1" } };
    }

    Store& store;
    const std::string id;

private:
    bool handle(Request& request, Channel& channel)
    {
        const std::string expected = request.field("x-expect-instance");
        if (!expected.empty() && expected != this->id)
            return channel.write(answerText(421, "",
                { { "X-Instance-Id", this->id }, { "X-Attempt-Id", request.field("x-attempt-id") },
                    { "X-Not-Executed", "1" } }));
        if (request.path == "/health")
            return channel.write(answerText(200, "", { { "X-Instance-Id", this->id } }));
        return this->behaviour(*this, request, channel);
    }

    const std::string service;
    Behaviour behaviour;
    const std::int64_t born;
    Server server;
};

/// A process of the program under test.
class Node {
public:
    Node(const Store& store, std::string name, std::string folder)
        : Node(store, store.address(), std::move(name), std::move(folder))
    {
    }
    Node(const Store& store, const std::string& platform, std::string name, std::string folder)
        : name(std::move(name))
        , folder(std::move(folder))
        , callers(freePort())
        , readiness(freePort())
        , admin(freePort())
        , peers(freePort())
    {
        // deploy/settings.yaml with its placeholders filled in by the values of a small deployment.
        std::ofstream file(this->settings());
        file << "node: \"" << this->name << "\"\nzone: \"zone-a\"\nzones: [\"zone-a\",\"zone-b\",\"zone-c\"]\n"
             << "callers: \"127.0.0.1:" << this->callers << "\"\nreadiness: \"127.0.0.1:" << this->readiness << "\"\n"
             << "admin: \"127.0.0.1:" << this->admin << "\"\npeers: \"127.0.0.1:" << this->peers << "\"\n"
             << "platform: \"" << platform << "\"\ncloud: \"" << store.cloudAddress() << "\"\n"
             << "platform-rates: { writes-per-second: 400, reads-per-second: 2000 }\n"
             << "retries: { ratio: 0.2, floor: 58, window-s: 10 }\n"
             << "quota: { window-s: 8, excess: 0.1, slack: 140000 }\n"
             << "recovery-ms: 3000\nstop-grace-s: 8\nlease-ms: 3000\nusage-window-s: 5\nusage-due-s: 10\n";
    }
    ~Node() { this->end(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start()
    {
        const std::string log = this->folder + "/" + this->name + ".log";
        const std::string variable = "TEASELSHORE_NODE_FILE=" + this->settings();
        this->process = fork();
        if (this->process == 0) {
            // It ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(descriptor, STDOUT_FILENO);
            dup2(descriptor, STDERR_FILENO);
            char program[] = STAND_PROGRAM;
            char* arguments[] = { program, nullptr };
            char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
            execve(program, arguments, environment);
            _exit(127);
        }
        record().line("node %s started", this->name.c_str());
    }

    void signal(int number)
    {
        record().line("node %s gets signal %d", this->name.c_str(), number);
        kill(this->process, number);
    }

    /// Waits for the end of the process; returns false after the timeout.
    bool waitForEnd(double timeout)
    {
        const double end = now() + timeout;
        while (now() < end) {
            if (this->hasEnded())
                return true;
            sleepFor(0.01);
        }
        return this->hasEnded();
    }

    bool hasEnded()
    {
        if (this->process <= 0)
            return true;
        int status = 0;
        if (waitpid(this->process, &status, WNOHANG) != this->process)
            return false;
        record().line("node %s ended, status %d, signal %d", this->name.c_str(),
            WIFEXITED(status) ? WEXITSTATUS(status) : -1, WIFSIGNALED(status) ? WTERMSIG(status) : 0);
        this->process = 0;
        return true;
    }

    void end()
    {
        if (this->process > 0) {
            kill(this->process, SIGKILL);
            int status = 0;
            waitpid(this->process, &status, 0);
            this->process = 0;
        }
    }

    /// Resident memory of the process in bytes; 0 if it is not known.
    std::size_t memory() const
    {
        std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
        std::size_t pages = 0;
        file >> pages >> pages;
        return file ? pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
    }

    bool isReady() const;
    bool waitUntilReady(double timeout) const
    {
        const double end = now() + timeout;
        while (now() < end) {
            if (this->isReady())
                return true;
            sleepFor(0.05);
        }
        return false;
    }

    const std::string name;
    const std::string folder;
    const int callers;
    const int readiness;
    const int admin;
    const int peers;

private:
    std::string settings() const { return this->folder + "/" + this->name + ".yaml"; }

    pid_t process = 0;
};

struct Answer {
    /// 0 if no head arrived.
    int status = 0;
    Headers fields;
    std::string body;
    bool complete = false;
};

/// Connects to a loopback port; the descriptor is -1 if that fails.
inline int connectTo(int port, const std::function<void(int)>& prepare = {})
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare)
        prepare(descriptor);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

inline std::string requestText(const std::string& method, const std::string& path, const Headers& fields,
    const std::string& body = {}, const std::string& host = "app.example")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline Answer readAnswer(Channel& channel, double timeout)
{
    Answer answer;
    const double end = now() + timeout;
    const std::optional<std::string> head = channel.head(timeout);
    if (!head)
        return answer;
    answer.status = std::atoi(head->c_str() + head->find(' '));
    answer.fields = parseFields(*head);
    answer.complete = readBody(channel, answer.fields, answer.body, std::max(0.0, end - now()));
    return answer;
}

/// Sends a request on a new connection and reads the answer.
inline Answer call(int port, const std::string& text, double timeout)
{
    const int descriptor = connectTo(port);
    if (descriptor < 0)
        return {};
    Channel channel(descriptor);
    if (!channel.write(text))
        return {};
    return readAnswer(channel, timeout);
}

inline bool Node::isReady() const { return call(this->readiness, requestText("GET", "/ready", {}), 1).status == 200; }

inline std::string attemptId()
{
    static std::atomic<std::uint64_t> last { 0 };
    char text[32];
    std::snprintf(
        text, sizeof(text), "%08x%08llx", static_cast<unsigned>(getpid()), static_cast<unsigned long long>(++last));
    return text;
}

inline Json route(const std::string& name, const std::string& prefix, const std::string& kind,
    const std::string& service, int timeoutMs, int attempts, bool resumable = false)
{
    Json value { { "name", name }, { "host", "app.example" }, { "path_prefix", prefix }, { "kind", kind },
        { "timeout_ms", timeoutMs }, { "target_latency_ms", 600 }, { "priority", 0 }, { "service", service },
        { "max_attempts", attempts }, { "public", false }, { "affinity", false }, { "resumable", resumable } };
    if (kind == "streaming")
        value["gap_target_ms"] = 500;
    return value;
}

inline Json service(const std::string& name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_conns", 370 }, { "protocol", "h1" },
        { "tls", false } };
}

inline std::string configuration(
    std::uint64_t version, const std::vector<Json>& routes, const std::vector<Json>& services)
{
    return Json {
        { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } }
    }.dump();
}

/// Prepares a script: arguments are the folder for the record and a folder for temporary files.
inline bool prepare(int count, char** arguments)
{
    if (count < 3)
        return false;
    std::signal(SIGPIPE, SIG_IGN);
    origin();
    record().open(std::string(arguments[1]) + "/record.txt");
    return true;
}

/// Whether the disruption is wanted (TROUBLE is not 0).
inline bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Ends the script. All nodes must have been ended before; threads of the stand-ins are not joined.
[[noreturn]] inline void conclude(int code, const char* verdict)
{
    record().line("result: %s (exit status %d)", verdict, code);
    std::printf("%s\n", verdict);
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace stand
