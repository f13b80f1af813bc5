#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/http_client.hpp"

namespace teaselshore {

using FetchResult = std::variant<HttpReply, HttpError>;

/// @brief Blocking HTTP calls for a command-line program. Not thread-safe.
class HttpFetcher {
public:
    static std::unique_ptr<HttpFetcher> create();
    ~HttpFetcher();
    HttpFetcher(const HttpFetcher&) = delete;
    HttpFetcher& operator=(const HttpFetcher&) = delete;

    /// @brief Runs the calls at the same time and returns their results in the order of the calls.
    ///
    /// Ends after a bounded time: a call that is not complete by then gives HttpError::Kind::Timeout.
    std::vector<FetchResult> fetch(const std::vector<HttpCall>& calls);

    /// @brief Runs one call.
    FetchResult fetch(const HttpCall& call);

    void pause(Duration length);
    Instant now() const;

private:
    struct Impl;
    explicit HttpFetcher(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

/// @brief Returns a call with the time limits of teaselshorectl.
HttpCall makeCall(std::string authority, std::string method, std::string path, std::string body = {});

/// @brief Returns one line, for example "connection failed: refused".
std::string describe(const HttpError& error);

} // namespace teaselshore
