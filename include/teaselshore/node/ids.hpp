#pragma once

#include <cstdint>

namespace teaselshore {

/// @brief One try of a request at an upstream; unique per node instance and never reused.
using AttemptId = std::uint64_t;

} // namespace teaselshore
