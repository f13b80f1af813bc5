#pragma once

#include <functional>
#include <memory>

#include "teaselshore/entry/entry_command.hpp"
#include "teaselshore/entry/entry_event.hpp"
#include "teaselshore/http/event_loop.hpp"

namespace teaselshore {

/// @brief Asks upstreams whose connections broke whether their process still runs.
///
/// All methods belong to the event loop's thread. Events are emitted from the loop, never from inside execute().
class UpstreamChecks {
public:
    UpstreamChecks(EventLoop& loop, std::function<void(UpstreamChecked)> emit);
    ~UpstreamChecks();
    UpstreamChecks(const UpstreamChecks&) = delete;
    UpstreamChecks& operator=(const UpstreamChecks&) = delete;

    void execute(const CheckUpstream& check);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace teaselshore
