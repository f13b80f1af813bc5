#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "teaselshore/emulators/cloud_model.hpp"
#include "teaselshore/emulators/object_store.hpp"
#include "teaselshore/emulators/serving.hpp"
#include "teaselshore/emulators/weight_store.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Settings of all emulated platform APIs.
struct PlatformSettings {
    ObjectStoreSettings objects;
    CloudSettings cloud;
    WeightStoreSettings weights;
    Duration hostListLag = std::chrono::seconds(2);
    /// Hosts that run from the start.
    std::vector<Host> hosts;
};

/// @brief Serves the platform models over HTTP. All methods belong to the event loop's thread. The
/// loop must not run after the server is destroyed.
class PlatformServer {
public:
    /// @brief Starts to listen. Returns nothing and sets error if the address cannot be used.
    static std::unique_ptr<PlatformServer> listen(EventLoop& loop, const HttpServerSettings& address,
        const PlatformSettings& platform, std::uint64_t seed, HttpError* error);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    std::uint16_t port() const;
    ServingHooks hooks();

private:
    struct Impl;
    explicit PlatformServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
