#include "fake_platform.hpp"

#include <algorithm>
#include <utility>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace teaselshore {

namespace {

    std::string parameter(const std::string& path, const std::string& name)
    {
        const std::size_t start = path.find(name + "=");
        if (start == std::string::npos)
            return {};
        const std::size_t begin = start + name.size() + 1;
        const std::string encoded = path.substr(begin, path.find('&', begin) - begin);
        std::string value;
        for (std::size_t index = 0; index < encoded.size(); ++index) {
            const bool isSlash = encoded.compare(index, 3, "%2F") == 0;
            value += isSlash ? '/' : encoded[index];
            index += isSlash ? 2 : 0;
        }
        return value;
    }

} // namespace

FakePlatform::FakePlatform(EventLoop& loop)
    : loop(loop)
{
    HttpError error;
    this->server = HttpServer::listen(
        loop, {}, [this](const std::shared_ptr<ServerExchange>& exchange) { this->handle(exchange); }, &error);
    EXPECT_TRUE(this->server) << error.detail;
}

void FakePlatform::handle(const std::shared_ptr<ServerExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    this->requests.push_back(request);
    switch (this->fault) {
    case Fault::Hang:
        return;
    case Fault::Unavailable:
        exchange->reply({ 503, {}, "" });
        return;
    case Fault::NotRun:
        exchange->reply({ 503, { { "x-not-run", "true" } }, "" });
        return;
    case Fault::RateLimited:
        exchange->reply({ 429, {}, "" });
        return;
    case Fault::Garbage:
        exchange->reply({ 200, { { "x-object-version", "-1" } }, "{\"objects\":[{}],\"hosts\":3}" });
        return;
    case Fault::LoseAnswer:
        this->answer(request);
        exchange->abort();
        return;
    case Fault::None:
        break;
    }
    if (request.path.starts_with("/watch"))
        this->watch(exchange);
    else
        exchange->reply(this->answer(request));
}

HttpReply FakePlatform::answer(const HttpRequest& request)
{
    const auto found = this->fixed.find(request.method + " " + request.path);
    if (found != this->fixed.end())
        return found->second;
    if (request.path.starts_with("/objects?"))
        return this->list(parameter(request.path, "prefix"));
    const std::string prefix = "/objects/";
    if (!request.path.starts_with(prefix))
        return { 404, {}, "" };
    const std::string key = request.path.substr(prefix.size());
    if (request.method != "GET")
        return this->write(request, key);
    return this->current(key, this->objects.contains(key) ? 200 : 404);
}

HttpReply FakePlatform::write(const HttpRequest& request, const std::string& key)
{
    const bool exists = this->objects.contains(key);
    const std::uint64_t version = exists ? this->objects.at(key).second : 0;
    const auto expected = request.headers.find("if-match");
    const bool conflict
        = (request.headers.find("if-none-match") && exists) || (expected && *expected != std::to_string(version));
    if (conflict)
        return this->current(key, 409);
    if (request.method == "DELETE") {
        this->objects.erase(key);
        return { 200, {}, "" };
    }
    this->put(key, request.body.text());
    return this->current(key, 200);
}

HttpReply FakePlatform::list(const std::string& prefix) const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [key, object] : this->objects) {
        if (key.starts_with(prefix))
            entries.push_back({ { "key", key }, { "version", object.second } });
    }
    return { 200, {}, nlohmann::json { { "objects", entries } }.dump() };
}

void FakePlatform::watch(const std::shared_ptr<ServerExchange>& exchange)
{
    const std::string& path = exchange->request().path;
    const std::string key = parameter(path, "key");
    const std::uint64_t after = std::stoull(parameter(path, "after"));
    const auto found = this->objects.find(key);
    if (found != this->objects.end() && found->second.second > after) {
        exchange->reply(this->current(key, 200));
        return;
    }
    this->watches.push_back({ key, after, exchange });
    const std::weak_ptr<ServerExchange> waiting = exchange;
    this->loop.runAfter(std::chrono::milliseconds(std::stoi(parameter(path, "timeoutMs"))), [this, waiting] {
        // The loop may outlive this platform, whose exchanges end with it.
        const std::shared_ptr<ServerExchange> exchange = waiting.lock();
        if (!exchange)
            return;
        if (std::erase_if(this->watches, [&](const Watch& entry) { return entry.exchange == exchange; }) > 0)
            exchange->reply({ 204, {}, "" });
    });
}

void FakePlatform::put(const std::string& key, const std::string& value)
{
    this->objects[key] = { value, ++this->lastVersion };
    const auto isDue = [&](const Watch& entry) { return entry.key == key && entry.after < this->lastVersion; };
    for (const Watch& entry : this->watches) {
        if (isDue(entry))
            entry.exchange->reply(this->current(key, 200));
    }
    std::erase_if(this->watches, isDue);
}

HttpReply FakePlatform::current(const std::string& key, int status) const
{
    const auto found = this->objects.find(key);
    const std::uint64_t version = found == this->objects.end() ? 0 : found->second.second;
    return { status, { { "x-object-version", std::to_string(version) } },
        found == this->objects.end() ? "" : found->second.first };
}

} // namespace teaselshore
