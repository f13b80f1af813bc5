#pragma once

#include <cstdint>
#include <memory>

#include "teaselshore/emulators/engine_settings.hpp"
#include "teaselshore/emulators/serving.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Serves an EngineModel over HTTP.
///
/// A crash of the model ends the process with std::_Exit(). All methods belong to the event loop's thread. The
/// loop must not run after the server is destroyed.
class EngineServer {
public:
    /// @brief Starts to listen. Returns nothing and sets error if the address cannot be used.
    static std::unique_ptr<EngineServer> listen(EventLoop& loop, const HttpServerSettings& address,
        const EngineSettings& engine, std::uint64_t seed, HttpError* error);
    ~EngineServer();
    EngineServer(const EngineServer&) = delete;
    EngineServer& operator=(const EngineServer&) = delete;

    std::uint16_t port() const;
    ServingHooks hooks();

private:
    struct Impl;
    explicit EngineServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
