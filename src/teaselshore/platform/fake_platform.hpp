#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Small platform for tests: objects with versions and watches, and fixed answers for other paths.
class FakePlatform {
public:
    enum class Fault {
        None,
        /// Applies a write, then closes the connection.
        LoseAnswer,
        /// Never answers.
        Hang,
        /// Answers 503.
        Unavailable,
        /// Answers 503 with the guarantee that nothing ran.
        NotRun,
        RateLimited,
        /// Answers 200 with a body and header that make no sense.
        Garbage,
    };

    explicit FakePlatform(EventLoop& loop);

    std::string authority() const { return "127.0.0.1:" + std::to_string(this->server->port()); }
    void put(const std::string& key, const std::string& value);

    Fault fault = Fault::None;
    std::map<std::string, HttpReply> fixed;
    std::vector<HttpRequest> requests;
    std::map<std::string, std::pair<std::string, std::uint64_t>> objects;

private:
    struct Watch {
        std::string key;
        std::uint64_t after;
        std::shared_ptr<ServerExchange> exchange;
    };

    void handle(const std::shared_ptr<ServerExchange>& exchange);
    HttpReply answer(const HttpRequest& request);
    HttpReply write(const HttpRequest& request, const std::string& key);
    HttpReply list(const std::string& prefix) const;
    void watch(const std::shared_ptr<ServerExchange>& exchange);
    HttpReply current(const std::string& key, int status) const;

    EventLoop& loop;
    std::uint64_t lastVersion = 0;
    std::vector<Watch> watches;
    std::unique_ptr<HttpServer> server;
};

} // namespace teaselshore
