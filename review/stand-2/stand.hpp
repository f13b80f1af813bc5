// Stand-ins for the scripts of this review: the platform's store and cloud, engines, links that can be cut, callers,
// and the processes under test. Plain blocking sockets on loopback addresses, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void sleepMs(int milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

/// Writes what was sent, answered and run to record.txt, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
        , start(Clock::now())
    {
    }
    double now() const { return std::chrono::duration<double>(Clock::now() - this->start).count(); }
    void line(const char* format, ...)
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%9.3f  ", this->now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::FILE* file;
    Clock::time_point start;
    std::mutex mutex;
};

// ---- sockets and HTTP/1.1 -------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Listens on a port that is free if it is 0, and returns the socket and the port.
inline std::pair<int, int> listenOn(int port, int backlog = 1024)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || listen(descriptor, backlog) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return { descriptor, ntohs(address.sin_port) };
}

/// Returns a port below those that the kernel gives to outgoing connections, which nobody listens on.
inline int freePort()
{
    static std::mt19937 random(std::random_device {}());
    while (true) {
        const int port = 12'000 + static_cast<int>(random() % 20'000);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(descriptor);
        if (isFree)
            return port;
    }
}

inline int connectTo(int port, int timeoutMs = 1000)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        pollfd waiting { descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, timeoutMs) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(descriptor);
            return -1;
        }
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

struct Message {
    /// Request line or status line.
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;
    /// Whether head and body came whole.
    bool whole = false;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
    int status() const { return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0; }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string path() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

/// A connection with what was read ahead on it. Closes its socket.
class Channel {
public:
    explicit Channel(int descriptor)
        : descriptor(descriptor)
    {
    }
    Channel(const Channel&) = delete;
    ~Channel() { this->shut(); }
    void shut()
    {
        if (this->descriptor >= 0)
            close(this->descriptor);
        this->descriptor = -1;
    }
    bool isOpen() const { return this->descriptor >= 0; }
    int socket() const { return this->descriptor; }

    bool write(const std::string& bytes) const
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

    /// Reads a message; nothing if the connection ended or the time passed before its head was whole. An incomplete
    /// body is returned as far as it came.
    std::optional<Message> read(int timeoutMs, bool isResponse)
    {
        const auto until = Clock::now() + Milliseconds(timeoutMs);
        std::size_t end = 0;
        while ((end = this->ahead.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until))
                return std::nullopt;
        }
        Message message;
        const std::string head = this->ahead.substr(0, end + 2);
        this->ahead.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.first = head.substr(0, line);
        while (line + 2 < head.size()) {
            const std::size_t begin = line + 2;
            line = head.find("\r\n", begin);
            const std::string field = head.substr(begin, line - begin);
            const std::size_t colon = field.find(':');
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const std::size_t value = field.find_first_not_of(' ', colon + 1);
            message.fields[name] = value == std::string::npos ? "" : field.substr(value);
        }
        message.whole = this->readBody(message, isResponse, until);
        return message;
    }

private:
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd waiting { this->descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1)
            return false;
        char bytes[16384];
        const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        this->ahead.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readBody(Message& message, bool isResponse, Clock::time_point until)
    {
        if (message.field("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = this->ahead.find("\r\n")) == std::string::npos) {
                    if (!this->more(until))
                        return false;
                }
                const std::size_t size = std::strtoull(this->ahead.c_str(), nullptr, 16);
                while (this->ahead.size() < end + 2 + size + 2) {
                    if (!this->more(until)) {
                        message.body += this->ahead.substr(std::min(end + 2, this->ahead.size()));
                        this->ahead.clear();
                        return false;
                    }
                }
                message.body += this->ahead.substr(end + 2, size);
                this->ahead.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return true;
            }
        }
        const std::string text = message.field("content-length");
        if (text.empty()) {
            while (isResponse && this->more(until))
                continue;
            message.body = isResponse ? std::exchange(this->ahead, {}) : std::string();
            return true;
        }
        const std::size_t length = std::strtoull(text.c_str(), nullptr, 10);
        while (this->ahead.size() < length) {
            if (!this->more(until)) {
                message.body = std::exchange(this->ahead, {});
                return false;
            }
        }
        message.body = this->ahead.substr(0, length);
        this->ahead.erase(0, length);
        return true;
    }

    int descriptor;
    std::string ahead;
};

/// Serves each connection in a thread; the handler answers one request and returns whether the connection goes on.
class Server {
public:
    using Handler = std::function<bool(Channel&, const Message&)>;
    Server(Handler handler, int wantedPort = 0)
        : handler(std::move(handler))
    {
        std::tie(this->descriptor, this->port) = listenOn(wantedPort);
        std::thread([this] { this->accept(); }).detach();
    }
    int port = 0;

private:
    void accept()
    {
        while (true) {
            const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, accepted] {
                Channel channel(accepted);
                while (const auto request = channel.read(3'600'000, false)) {
                    if (!request->whole || !this->handler(channel, *request))
                        break;
                }
            }).detach();
        }
    }
    Handler handler;
    int descriptor = -1;
};

inline std::string response(int status, const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// ---- the platform ---------------------------------------------------------------------------------------------------

/// Returns the text of a member of a JSON object; empty if there is none.
inline std::string member(const std::string& object, const std::string& name)
{
    int depth = 0;
    std::string key;
    for (std::size_t at = 0; at < object.size(); ++at) {
        const char letter = object[at];
        if (letter == '"') {
            const std::size_t begin = at + 1;
            for (at = begin; at < object.size() && object[at] != '"'; ++at)
                at += object[at] == '\\' ? 1 : 0;
            if (depth == 1)
                key = object.substr(begin, at - begin);
            continue;
        }
        if (letter == '{' || letter == '[')
            ++depth;
        if (letter == '}' || letter == ']')
            --depth;
        if (letter != ':' || depth != 1 || key != name)
            continue;
        const std::size_t begin = at + 1;
        int inner = 0;
        for (at = begin; at < object.size(); ++at) {
            if (object[at] == '"') {
                for (++at; at < object.size() && object[at] != '"'; ++at)
                    at += object[at] == '\\' ? 1 : 0;
                continue;
            }
            if (object[at] == '{' || object[at] == '[')
                ++inner;
            if ((object[at] == '}' || object[at] == ']') && inner-- == 0)
                break;
            if (object[at] == ',' && inner == 0)
                break;
        }
        return object.substr(begin, at - begin);
    }
    return {};
}

/// The platform's store of objects and its cloud. A front is an address at which one machine reaches the store; it may
/// show the machine another address of an engine: that of the machine's own link to it.
class Platform {
public:
    explicit Platform(Record& record)
        : record(record)
    {
    }

    int front(std::map<int, int> links)
    {
        auto* server = new Server([this, links](Channel& channel, const Message& request) {
            std::string answer = this->answer(request);
            for (const auto& [engine, link] : links) {
                const std::string from = "127.0.0.1:" + std::to_string(engine) + "\"";
                const std::string to = "127.0.0.1:" + std::to_string(link) + "\"";
                for (auto at = answer.find(from); at != std::string::npos; at = answer.find(from, at + to.size()))
                    answer.replace(at, from.size(), to);
            }
            const std::size_t mark = answer.find(' ');
            return channel.write(
                response(std::atoi(answer.c_str()), answer.substr(mark + 1), "Content-Type: application/json\r\n"));
        });
        return server->port;
    }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(this->mutex);
        this->store(kind, name, spec, std::nullopt);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return;
        found->second.revision = ++this->revision;
        this->events[kind].push_back({ this->revision, true, this->text(name, found->second) });
        this->kinds[kind].erase(found);
        this->changed.notify_all();
    }
    std::string status(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        return this->kinds[kind][name].status;
    }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec = "null";
        std::string status = "null";
    };
    struct Event {
        std::uint64_t revision;
        bool deleted;
        std::string object;
    };

    std::string text(const std::string& name, const Object& object) const
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created_at\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec
            + ",\"status\":" + object.status + "}";
    }

    std::string store(const std::string& kind, const std::string& name, std::optional<std::string> spec,
        std::optional<std::string> status)
    {
        Object& object = this->kinds[kind][name];
        if (spec)
            object.spec = *spec;
        if (status)
            object.status = *status;
        object.revision = ++this->revision;
        this->events[kind].push_back({ this->revision, false, this->text(name, object) });
        this->changed.notify_all();
        return this->text(name, object);
    }

    static std::string query(const std::string& path, const std::string& name)
    {
        const std::size_t mark = path.find('?');
        for (std::size_t at = mark; at != std::string::npos && at < path.size(); at = path.find('&', at + 1)) {
            if (path.compare(at + 1, name.size() + 1, name + "=") == 0)
                return path.substr(at + name.size() + 2, path.find('&', at + 1) - at - name.size() - 2);
        }
        return {};
    }

    /// Returns status and body, separated by a space.
    std::string answer(const Message& request)
    {
        const std::string path = request.path();
        if (path.rfind("/objects/", 0) != 0) {
            this->record.line("cloud: %s by %s with %s: %s", path.c_str(), request.field("x-duty-holder").c_str(),
                request.field("x-fence-token").c_str(), request.body.c_str());
            return "200 {}";
        }
        std::string rest = path.substr(9, path.find('?') - 9);
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(this->mutex);
        if (request.method() == "GET" && name.empty()) {
            const std::string watched = query(path, "watch");
            if (watched.empty()) {
                std::string items;
                for (const auto& [key, object] : this->kinds[kind])
                    items += (items.empty() ? "" : ",") + this->text(key, object);
                return "200 {\"items\":[" + items + "],\"has_more\":false,\"at\":" + std::to_string(this->revision)
                    + "}";
            }
            const std::uint64_t after = std::strtoull(watched.c_str(), nullptr, 10);
            const int wait = std::atoi(query(path, "wait_ms").c_str());
            std::string found;
            this->changed.wait_for(lock, Milliseconds(wait), [&] {
                found.clear();
                for (const Event& event : this->events[kind]) {
                    if (event.revision > after)
                        found += std::string(found.empty() ? "" : ",") + "{\"object\":" + event.object
                            + ",\"deleted\":" + (event.deleted ? "true" : "false") + "}";
                }
                return !found.empty();
            });
            return "200 {\"events\":[" + found + "],\"at\":" + std::to_string(this->revision) + "}";
        }
        const std::string status = "/status";
        const bool isStatus = name.size() > status.size() && name.ends_with(status);
        if (isStatus)
            name.resize(name.size() - status.size());
        const std::string metadata = member(request.body, "metadata");
        if (request.method() == "POST") {
            name = member(metadata, "name");
            name = name.substr(1, name.size() - 2);
        }
        const auto known = this->kinds[kind].find(name);
        const bool exists = known != this->kinds[kind].end();
        if (request.method() == "POST")
            return exists ? "409 " + this->text(name, known->second)
                          : "200 " + this->store(kind, name, member(request.body, "spec"), std::nullopt);
        if (!exists)
            return "404 {}";
        std::string expected = member(metadata, "revision");
        if (expected.empty())
            expected = query(path, "revision");
        if (!expected.empty() && std::strtoull(expected.c_str(), nullptr, 10) != known->second.revision)
            return "409 " + this->text(name, known->second);
        if (request.method() == "GET")
            return "200 " + this->text(name, known->second);
        if (request.method() == "PUT")
            return "200 "
                + (isStatus ? this->store(kind, name, std::nullopt, member(request.body, "status"))
                            : this->store(kind, name, member(request.body, "spec"), std::nullopt));
        known->second.revision = ++this->revision;
        this->events[kind].push_back({ this->revision, true, this->text(name, known->second) });
        this->kinds[kind].erase(known);
        this->changed.notify_all();
        return "200 {}";
    }

    Record& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::map<std::string, std::vector<Event>> events;
};

// ---- engines --------------------------------------------------------------------------------------------------------

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// An engine that registers itself in the store and renews its entry. What it does with a request is the case's.
class Engine {
public:
    using Run = std::function<bool(Engine&, Channel&, const Message&)>;
    Engine(Platform& platform, std::string id, std::string service, int slots, Run run)
        : id(std::move(id))
        , service(std::move(service))
        , slots(slots)
        , run(std::move(run))
        , platform(platform)
        , server([this](Channel& channel, const Message& request) { return this->handle(channel, request); })
        , born(unixMilliseconds())
    {
        this->renew();
        std::thread([this] {
            while (true) {
                sleepMs(1200);
                if (this->registered)
                    this->renew();
            }
        }).detach();
    }
    int port() const { return this->server.port; }
    std::string stamp() const { return "X-Server-Stamp: " + this->id + ".1.c0ffee\r\n"; }
    const std::string id;
    const std::string service;
    std::string state = "ready";
    std::atomic<bool> registered { true };

    /// Starts again as another process under the same id.
    void reborn()
    {
        this->born = unixMilliseconds();
        this->sequence = 0;
        this->renew();
    }
    void renew()
    {
        this->platform.put("servers", this->id,
            "{\"service\":\"" + this->service + "\",\"address\":\"127.0.0.1:" + std::to_string(this->port())
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\""
                + this->state + "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++this->sequence)
                + ",\"born\":" + std::to_string(this->born) + "}");
    }

private:
    bool handle(Channel& channel, const Message& request)
    {
        const std::string expected = request.field("x-expect-instance");
        const std::string own = "X-Instance-Id: " + this->id + "\r\n";
        const std::string echo = request.fields.contains("x-attempt-id")
            ? "X-Attempt-Id: " + request.field("x-attempt-id") + "\r\n"
            : std::string();
        if (!expected.empty() && expected != this->id)
            return channel.write(response(421, "", own + echo));
        if (request.path() == "/health")
            return channel.write(response(200, "", own));
        if (echo.empty())
            return channel.write(response(400, "", "X-Not-Executed: 1\r\n"));
        return this->run(*this, channel, request);
    }

    int slots;
    Run run;
    Platform& platform;
    Server server;
    std::int64_t born;
    std::uint64_t sequence = 0;
};

// ---- a machine's link to an engine ----------------------------------------------------------------------------------

/// Passes bytes between a machine and an engine. While it is cut, it passes nothing in either direction and takes no
/// new connections: their first packets get no answer, as on a machine behind a partition.
class Link {
public:
    explicit Link(int enginePort)
        : enginePort(enginePort)
    {
        std::tie(this->descriptor, this->port) = listenOn(0, 1);
        std::thread([this] { this->accept(); }).detach();
    }
    int port = 0;

    void cut()
    {
        this->isCut = true;
        // Full queue of new connections: the kernel drops the first packets of further ones.
        for (int count = 0; count < 4; ++count) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            sockaddr_in address = loopback(this->port);
            [[maybe_unused]] const int result
                = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
            this->fillers.push_back(descriptor);
        }
    }
    void heal()
    {
        for (const int descriptor : this->fillers)
            close(descriptor);
        this->fillers.clear();
        this->isCut = false;
    }

private:
    void accept()
    {
        while (true) {
            if (this->isCut) {
                sleepMs(1);
                continue;
            }
            pollfd waiting { this->descriptor, POLLIN, 0 };
            if (poll(&waiting, 1, 5) != 1 || this->isCut)
                continue;
            const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            std::thread([this, accepted] { this->pass(accepted); }).detach();
        }
    }
    void pass(int accepted)
    {
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const int engine = connectTo(this->enginePort);
        pollfd both[2] { { accepted, POLLIN, 0 }, { engine, POLLIN, 0 } };
        char bytes[65536];
        bool open = engine >= 0;
        while (open) {
            if (this->isCut) {
                sleepMs(1);
                continue;
            }
            if (poll(both, 2, 5) <= 0 || this->isCut)
                continue;
            for (int side = 0; side < 2 && open; ++side) {
                if (both[side].revents == 0)
                    continue;
                const ssize_t count = recv(both[side].fd, bytes, sizeof(bytes), 0);
                // A reset is passed on as one.
                const linger reset { 1, 0 };
                if (count < 0)
                    setsockopt(both[1 - side].fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                open = count > 0
                    && send(both[1 - side].fd, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
            }
        }
        close(accepted);
        if (engine >= 0)
            close(engine);
    }

    int enginePort;
    int descriptor = -1;
    std::atomic<bool> isCut { false };
    std::vector<int> fillers;
};

// ---- processes under test -------------------------------------------------------------------------------------------

/// A process of teaselshore-entry with settings in the form of deploy/settings.yaml, for a deployment of small hosts.
class Entry {
public:
    Entry(
        std::string command, std::string folder, std::string node, int platformPort, int cloudPort, int memoryMb = 260)
        : node(std::move(node))
        , callers(freePort())
        , readiness(freePort())
        , command(std::move(command))
        , settings(folder + "/" + this->node + ".yaml")
        , log(folder + "/" + this->node + ".log")
        , memoryMb(memoryMb)
    {
        const auto own = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::string text = "node: \"" + this->node + "\"\nzone: \"zone-a\"\nzones: [\"zone-a\"]\ncallers: "
            + own(this->callers) + "readiness: " + own(this->readiness) + "admin: " + own(freePort())
            + "peers: " + own(freePort()) + "relays: " + own(freePort()) + "platform: " + own(platformPort)
            + "cloud: " + own(cloudPort) + "memory-mb: " + std::to_string(memoryMb)
            + "\nplatform-rates: { writes-per-second: 400, reads-per-second: 2000 }\n"
              "retries: { ratio: 0.2, floor: 58, window-s: 10 }\n"
              "quota: { window-s: 8, excess: 0.1, slack: 140000 }\n"
              "recovery-ms: 3000\nupstream-renewal-ms: 1200\nstop-grace-s: 8\nlease-ms: 3000\nusage-window-s: 5\n"
              "usage-due-s: 10\n";
        std::FILE* file = std::fopen(this->settings.c_str(), "w");
        std::fputs(text.c_str(), file);
        std::fclose(file);
    }
    ~Entry() { this->end(); }
    Entry(const Entry&) = delete;

    void start()
    {
        // Prepared before the fork, after which other threads may hold locks.
        const std::string variable = "TEASELSHORE_NODE_FILE=" + this->settings;
        char* const arguments[] { const_cast<char*>(this->command.c_str()), nullptr };
        char* const environment[] { const_cast<char*>(variable.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"),
            nullptr };
        this->how.reset();
        this->pid = fork();
        if (this->pid != 0)
            return;
        // It must not outlive the case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        execve(this->command.c_str(), arguments, environment);
        _exit(127);
    }
    bool isReady() const
    {
        Channel channel(connectTo(this->readiness, 200));
        if (!channel.isOpen())
            return false;
        channel.write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto answer = channel.read(500, true);
        return answer && answer->status() == 200;
    }
    bool waitReady(int milliseconds) const
    {
        for (int waited = 0; waited < milliseconds; waited += 50) {
            if (this->isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }
    void signal(int number) const { kill(this->pid, number); }
    /// Returns how the process ended, or nothing while it runs.
    std::optional<int> ended()
    {
        int how = 0;
        if (!this->how && this->pid > 0 && waitpid(this->pid, &how, WNOHANG) == this->pid)
            this->how = how;
        return this->how;
    }
    long residentMb() const
    {
        std::FILE* file = std::fopen(("/proc/" + std::to_string(this->pid) + "/statm").c_str(), "r");
        long total = 0;
        long resident = 0;
        if (file == nullptr)
            return 0;
        if (std::fscanf(file, "%ld %ld", &total, &resident) != 2)
            resident = 0;
        std::fclose(file);
        return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
    }
    void end()
    {
        if (this->pid > 0 && !this->ended()) {
            kill(this->pid, SIGKILL);
            int how = 0;
            waitpid(this->pid, &how, 0);
            this->how = how;
        }
    }
    const std::string node;
    const int callers;
    const int readiness;

private:
    std::string command;
    std::string settings;
    std::string log;

public:
    const int memoryMb;

private:
    pid_t pid = -1;
    std::optional<int> how;
};

/// The operator's configuration of a small deployment: a model service `llm` and a plain service `app`.
inline std::string configuration(int version, int idleMs = 15000)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":["
          "{\"name\":\"query\",\"host\":\"a.example\",\"path_prefix\":\"/query/\",\"kind\":\"streaming\","
          "\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,"
          "\"public\":false,\"affinity\":true,\"resumable\":true,\"gap_target_ms\":500},"
          "{\"name\":\"digest\",\"host\":\"a.example\",\"path_prefix\":\"/digest/\",\"kind\":\"streaming\","
          "\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
          "\"public\":false,\"affinity\":true,\"resumable\":false,\"gap_target_ms\":500},"
          "{\"name\":\"order\",\"host\":\"a.example\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
          "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\",\"max_attempts\":1,"
          "\"public\":false},"
          "{\"name\":\"status\",\"host\":\"a.example\",\"path_prefix\":\"/status/\",\"kind\":\"safe\","
          "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\",\"max_attempts\":2,"
          "\"public\":false}],"
          "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\","
          "\"tls\":false,\"engine\":{\"slots\":64,\"kv_tokens\":854385,\"kv_bytes\":18432,\"link_mbps\":130000.0,"
          "\"models\":[{\"name\":\"m\"}]}},"
          "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":"
        + std::to_string(idleMs)
        + "},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],\"unit\":\"tokens\",\"uncached_tokens\":200,"
          "\"per_s\":400000,\"burst\":400000},"
          "{\"name\":\"t2\",\"api_keys\":[\"key-2\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"per_s\":400000,"
          "\"burst\":400000}]}";
}

inline std::string request(const std::string& method, const std::string& path, const std::string& attempt,
    const std::string& fields, const std::string& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt + "\r\n" + fields
        + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n"
        + body;
}

} // namespace stand
