#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselshore {

// Replies of the daemons' admin interface, as docs/admin-api.md defines them. A field that is missing or has another
// type than expected keeps its default, so that a newer or older daemon can still be read.

/// @brief Version rollout of one service as a node sees it.
struct MoveStatus {
    std::string from;
    std::string to;
    /// "in_progress", "complete" or "rolled_back".
    std::string state;
    std::string reason;
    /// Share of the traffic that goes to the new version, in [0, 1].
    double share = 0;
    std::string moveBy;

    auto operator<=>(const MoveStatus&) const = default;
};

struct ServiceStatus {
    std::string name;
    std::uint64_t upstreams = 0;
    std::uint64_t availableUpstreams = 0;
    std::optional<MoveStatus> move;

    auto operator<=>(const ServiceStatus&) const = default;
};

/// @brief Version of the configuration that a node refused, and its first problem.
struct RejectedConfiguration {
    std::uint64_t version = 0;
    std::string problem;

    auto operator<=>(const RejectedConfiguration&) const = default;
};

/// @brief Reply of GET /admin/status.
struct NodeStatus {
    std::string node;
    std::string zone;
    /// "starting", "serving" or "draining".
    std::string state;
    /// 0 if the node has no configuration.
    std::uint64_t configurationVersion = 0;
    std::string revisionNote;
    std::uint64_t configurationAgeMs = 0;
    std::optional<RejectedConfiguration> rejected;
    bool platformReachable = false;
    std::uint64_t openRequests = 0;
    std::uint64_t queuedRequests = 0;
    std::vector<ServiceStatus> services;

    auto operator<=>(const NodeStatus&) const = default;
};

struct MemberStatus {
    std::string node;
    std::string zone;
    /// "alive", "suspect", "dead" or "left".
    std::string state;
    std::string adminAddress;
    std::uint64_t configurationVersion = 0;

    auto operator<=>(const MemberStatus&) const = default;
};

/// @brief Reply of GET /admin/nodes.
struct NodeMembers {
    std::string node;
    std::vector<MemberStatus> members;

    auto operator<=>(const NodeMembers&) const = default;
};

struct TraceSpan {
    std::string spanId;
    /// Empty for the first span of a trace.
    std::string parentSpanId;
    std::string node;
    std::string name;
    /// Microseconds since 1970-01-01 UTC.
    std::int64_t startMicros = 0;
    std::int64_t durationMicros = 0;
    std::map<std::string, std::string> attributes;

    auto operator<=>(const TraceSpan&) const = default;
};

/// @brief Reply of GET /admin/trace/<id>.
struct NodeTrace {
    std::string traceId;
    std::vector<TraceSpan> spans;

    auto operator<=>(const NodeTrace&) const = default;
};

/// @brief One decision about a request.
struct ExplainStep {
    /// Microseconds since 1970-01-01 UTC.
    std::int64_t timeMicros = 0;
    std::string node;
    std::string kind;
    std::string text;

    auto operator<=>(const ExplainStep&) const = default;
};

/// @brief Reply of GET /admin/explain/<request>.
struct NodeExplanation {
    std::string node;
    std::string traceId;
    std::string workspace;
    std::string service;
    std::string route;
    std::string latencyClass;
    std::string state;
    std::vector<ExplainStep> steps;

    auto operator<=>(const NodeExplanation&) const = default;
};

/// @brief Upstream that a request could go to.
struct ForecastCandidate {
    std::string upstream;
    double score = 0;
    double predictedFirstEventMs = 0;
    std::uint64_t cachedTokens = 0;
    /// Terms of the score in seconds, in the order of the reply.
    std::vector<std::pair<std::string, double>> terms;

    auto operator<=>(const ForecastCandidate&) const = default;
};

/// @brief Reply of POST /admin/explain.
struct NodeForecast {
    std::string node;
    /// "routed", "relayed", "queued" or "rejected".
    std::string outcome;
    std::string reason;
    std::uint64_t status = 0;
    std::optional<double> retryAfterMs;
    std::optional<double> longestWaitMs;
    std::string route;
    std::string workspace;
    std::string service;
    std::string zone;
    std::string version;
    /// Chosen upstream first.
    std::vector<ForecastCandidate> candidates;

    auto operator<=>(const NodeForecast&) const = default;
};

/// @brief Reply of POST /admin/drain.
struct DrainReply {
    std::string node;
    std::string state;
    std::uint64_t openRequests = 0;

    auto operator<=>(const DrainReply&) const = default;
};

// Each returns nothing if the text is not a JSON object.
std::optional<NodeStatus> parseNodeStatus(std::string_view text);
std::optional<NodeMembers> parseNodeMembers(std::string_view text);
std::optional<NodeTrace> parseNodeTrace(std::string_view text);
std::optional<NodeExplanation> parseNodeExplanation(std::string_view text);
std::optional<NodeForecast> parseNodeForecast(std::string_view reply);
std::optional<DrainReply> parseDrainReply(std::string_view text);

} // namespace teaselshore
