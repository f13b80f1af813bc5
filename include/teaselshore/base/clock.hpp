#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Returns the time since the host started, including the time that it was suspended. Thread-safe.
///
/// Leases, deadlines and rates need it: a clock that stands still while the host is suspended shows a process that
/// wakes up a lease that others have taken over meanwhile.
Instant monotonicNow();

} // namespace teaselshore
