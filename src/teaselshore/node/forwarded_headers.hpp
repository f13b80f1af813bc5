#pragma once

#include "teaselshore/base/header_list.hpp"
#include "teaselshore/node/request_event.hpp"

namespace teaselshore {

/// @brief Returns the caller's headers that go to an upstream: without hop-by-hop fields and those that this node sets.
HeaderList upstreamHeaders(const HeaderList& callerHeaders);

/// @brief Returns an upstream's headers that go to the caller.
HeaderList callerHeaders(const HeaderList& upstreamHeaders);

/// @brief Returns true if the response guarantees that the request did not run (503 with X-Not-Run: true).
bool saysNotRun(const AttemptFinished& finished);

} // namespace teaselshore
