#pragma once

#include <cstdint>

#include "teaselshore/node/error_response.hpp"

namespace teaselshore {

/// @brief Counters of a node since its start.
struct NodeStatistics {
    std::uint64_t requests = 0;
    std::uint64_t responses = 0;
    std::uint64_t notRun = 0;
    std::uint64_t outcomeUnknown = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    /// Streams that went on at another upstream.
    std::uint64_t resumes = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t upstreamCrashes = 0;
    std::uint64_t forwards = 0;
    /// Late events of attempts that had ended.
    std::uint64_t lateEvents = 0;

    /// @brief Counts an error that was reported to a caller.
    void count(ErrorCode code);

    auto operator<=>(const NodeStatistics&) const = default;
};

} // namespace teaselshore
