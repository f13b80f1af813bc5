#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "teaselshore/emulators/service_model.hpp"
#include "teaselshore/emulators/serving.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Serves a ServiceModel over HTTP. All methods belong to the event loop's thread. The
/// loop must not run after the server is destroyed.
class ServiceServer {
public:
    /// @brief Starts to listen. Returns nothing and sets error if the address or the log file cannot be used.
    ///
    /// Each run is appended to the file executionLog, from which a restarted service restores its counts; an empty
    /// name keeps the counts in memory only.
    static std::unique_ptr<ServiceServer> listen(EventLoop& loop, const HttpServerSettings& address,
        const ServiceSettings& service, std::uint64_t seed, const std::string& executionLog, HttpError* error);
    ~ServiceServer();
    ServiceServer(const ServiceServer&) = delete;
    ServiceServer& operator=(const ServiceServer&) = delete;

    std::uint16_t port() const;
    ServingHooks hooks();

private:
    struct Impl;
    explicit ServiceServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
