#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/header_list.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/shared_bytes.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/routing/prompt_blocks.hpp"

namespace teaselshore {

/// @brief Token counts that a caller declares for a generation.
struct PromptSize {
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;

    auto operator<=>(const PromptSize&) const = default;
};

/// @brief Decoded request of a caller.
struct CallerRequest {
    std::string method;
    /// Path with query string.
    std::string path;
    std::string host;
    /// Id that the caller assigned to this attempt. Upstreams echo it in their responses.
    std::string attemptId;
    std::optional<std::string> key;
    /// How long the caller waits for the response.
    std::optional<Duration> timeout;
    std::optional<PromptSize> size;
    /// Prompt parts in prompt order.
    std::vector<PromptPart> parts;
    /// Last event that the caller received of a stream that it resumes.
    std::optional<std::uint64_t> lastEventId;
    /// Header fields that are forwarded to the upstream unchanged.
    HeaderList forwardedHeaders;
    SharedBytes body;

    auto operator<=>(const CallerRequest&) const = default;
};

/// @brief Returns a fingerprint of workspace, host, path and body. Repeats of a request have the same fingerprint on
/// every node.
Fingerprint contentFingerprint(const CallerRequest& request, const std::optional<WorkspaceName>& workspace);

/// @brief Returns the keys under which crashes of a request are recorded: its content first, then each part of its
/// prompt that other requests may share. The last part belongs to the request itself.
std::vector<Fingerprint> crashKeys(const CallerRequest& request, const std::optional<WorkspaceName>& workspace);

/// @brief Data that the node adds to a request when it forwards it to an upstream.
struct ForwardingContext {
    /// When the caller stops waiting.
    Instant deadline {};
    /// Instance that must answer. Another instance at the same address refuses the request.
    std::string instance;
    std::optional<WorkspaceName> workspace;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Event after which the upstream resumes the stream.
    std::optional<std::uint64_t> resumeAfter;

    auto operator<=>(const ForwardingContext&) const = default;
};

/// @brief What a node that hands a request to a peer knows of it.
struct HandedRequest {
    /// How often the request may have run already.
    std::uint32_t runs = 0;
    /// Version of the configuration that has the request's route and key. A peer with an older one must not decide by
    /// it.
    std::uint64_t configuration = 0;
    /// A node has counted the request in its retry budget; no other counts it again.
    bool isCounted = false;

    auto operator<=>(const HandedRequest&) const = default;
};

/// @brief Field of a node's own refusal of a handed request: "1" if an upstream may have received it, otherwise "0".
inline constexpr std::string_view handedArrivedField = "teaselshore-arrived";

/// @brief What a node adds to a request that it hands to a peer.
struct RelayContext {
    /// When the caller stops waiting.
    Instant deadline {};
    /// The caller's key, which the peer checks.
    std::optional<std::string> key;
    /// Event after which the peer resumes the stream.
    std::optional<std::uint64_t> resumeAfter;
    HandedRequest history;

    auto operator<=>(const RelayContext&) const = default;
};

/// @brief Information that an upstream's response carries besides its status and body.
struct ResponseFacts {
    /// The upstream guarantees that it did not run the request.
    bool notRun = false;
    /// The response carries the header that upstreams set on all their responses.
    bool isStamped = false;
    /// The upstream is shutting down and accepts no further requests.
    bool isLeaving = false;
    /// How long the upstream wants no requests from this node; set only if it refused this one.
    std::optional<Duration> pause;
    /// Requests per second that the upstream takes from all nodes together; nothing if it names no limit.
    std::optional<double> limit;
    /// Requests of all nodes together that the upstream can refuse in a second for lack of room without failing;
    /// nothing if it names no such bound.
    std::optional<double> refusalAllowance;
    /// Time for which the upstream is still cold, zero if it is warm; nothing if the response does not state it.
    std::optional<Duration> coldFor;
    /// An instance other than the expected one answered.
    bool wrongInstance = false;
    struct Load {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;

        auto operator<=>(const Load&) const = default;
    };
    std::optional<Load> load;

    auto operator<=>(const ResponseFacts&) const = default;
};

} // namespace teaselshore
