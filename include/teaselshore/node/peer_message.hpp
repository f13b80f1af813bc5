#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/control/rollout_record.hpp"
#include "teaselshore/control/version_evidence.hpp"
#include "teaselshore/journal/slot_messages.hpp"
#include "teaselshore/reliability/crash_suspects.hpp"

namespace teaselshore {

/// @brief Durable request for a slot that the receiver owns.
struct ForwardedRequest {
    /// Caller id and attempt number at the sender; the response repeats them.
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    JournalRequest request;
    /// Upstream that the sender chose, if any.
    std::optional<UpstreamId> upstream;

    auto operator<=>(const ForwardedRequest&) const = default;
};

/// @brief Asks the owner of a slot for the stored response of a durable request.
struct ForwardedRead {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    RequestId request;

    auto operator<=>(const ForwardedRead&) const = default;
};

/// @brief Response to ForwardedRequest or ForwardedRead.
struct ForwardedAnswer {
    CallerId caller = 0;
    std::uint32_t attempt = 1;
    Answer answer;

    auto operator<=>(const ForwardedAnswer&) const = default;
};

/// @brief Crash suspects of the sender, sent before it retries any of them.
struct SuspectReports {
    std::vector<SuspectReport> reports;

    auto operator<=>(const SuspectReports&) const = default;
};

/// @brief State of a version rollout, told by its controller.
struct MoveUpdate {
    /// Without evidence.
    RolloutRecord record;

    auto operator<=>(const MoveUpdate&) const = default;
};

/// @brief An upstream was announced to leave.
struct UpstreamLeaving {
    UpstreamId upstream;
    /// Time until it stops, from the sender's view.
    Duration notice {};

    auto operator<=>(const UpstreamLeaving&) const = default;
};

/// @brief The receiver of a HandOver has taken the journal over.
struct HandOverAck {
    OwnerInstance instance;

    auto operator<=>(const HandOverAck&) const = default;
};

/// @brief Messages between the request paths of two nodes.
using RequestMessage = std::variant<ForwardedRequest, ForwardedRead, ForwardedAnswer, SuspectReports, VersionEvidence,
    VersionReport, MoveUpdate, UpstreamLeaving, HandOver, HandOverAck>;

} // namespace teaselshore
