#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "teaselshore/http/http_client.hpp"
#include "teaselshore/node/node_command.hpp"
#include "teaselshore/node/node_event.hpp"

namespace teaselshore {

/// @brief Asks upstreams for load, cache events and outcomes, and turns their JSON into events.
///
/// All methods belong to the event loop's thread.
class UpstreamQueries {
public:
    UpstreamQueries(EventLoop& loop, std::function<void(NodeEvent)> emit);
    ~UpstreamQueries();
    UpstreamQueries(const UpstreamQueries&) = delete;
    UpstreamQueries& operator=(const UpstreamQueries&) = delete;

    void execute(const QueryLoad& query);
    void execute(const QueryOutcome& query);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace teaselshore
