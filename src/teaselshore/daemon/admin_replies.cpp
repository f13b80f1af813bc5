#include "admin_replies.hpp"

#include <algorithm>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"
#include "teaselshore/node/error_response.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr int statusOk = 200;
    constexpr int statusAccepted = 202;
    constexpr int statusNotFound = 404;

    std::int64_t milliseconds(Duration length)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    }

    HttpReply jsonReply(int status, const Json& body)
    {
        return { status, { { "content-type", "application/json" } }, toJsonText(body) };
    }

    HttpReply notFoundReply(const std::string& message)
    {
        const CallerError error = rejectedError(statusNotFound, message);
        return { error.status, { { "content-type", "application/json" } }, errorBody(RequestId(), error) };
    }

    std::string_view stateName(const Node& node)
    {
        if (node.stopping())
            return "draining";
        return node.configuration() ? "serving" : "starting";
    }

    std::string_view memberStateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Dead:
            return "dead";
        case MemberState::Left:
            return "left";
        }
        return "unknown";
    }

    /// Node ids are "<node>-<start>", see makeNodeId().
    std::string nodeName(const NodeId& id) { return id.value().substr(0, id.value().rfind('-')); }

    Json moveJson(const RolloutRecord* move)
    {
        if (!move)
            return nullptr;
        return { { "from", move->pair.from.value() }, { "to", move->pair.to.value() },
            { "state", rolloutStateName(move->state) }, { "share", move->share },
            { "moveBy", fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", move->pair.moveBy) }, { "reason", move->reason } };
    }

    Json serviceJson(
        const ServiceConfiguration& service, const std::vector<UpstreamStatus>& statuses, const RolloutRecord* move)
    {
        std::size_t total = 0;
        std::size_t available = 0;
        std::size_t leaving = 0;
        std::size_t circuitOpen = 0;
        for (const UpstreamStatus& status : statuses) {
            if (status.service != service.name)
                continue;
            ++total;
            const bool open = status.circuit == CircuitState::Open;
            circuitOpen += open ? 1 : 0;
            available += status.state == UpstreamState::Available && !open ? 1 : 0;
            leaving += status.state == UpstreamState::Leaving || status.state == UpstreamState::Draining ? 1 : 0;
        }
        Json result { { "name", service.name.value() } };
        result["upstreams"] = { { "total", total }, { "available", available }, { "draining", leaving },
            { "circuitOpen", circuitOpen } };
        result["move"] = moveJson(move);
        return result;
    }

    Json configurationJson(const AdminContext& context)
    {
        const Node& node = context.node;
        Json result { { "version", node.configurationVersion() },
            { "revisionNote", node.configuration() ? node.configuration()->revisionNote : std::string() },
            { "ageMs", milliseconds(context.configurationAge) }, { "rejected", nullptr } };
        if (const auto& refused = node.refusedConfiguration())
            result["rejected"] = { { "version", refused->version }, { "problem", refused->reason } };
        return result;
    }

    std::string describeTerms(const ScoredUpstream& scored)
    {
        const ScoreTerms& terms = scored.terms;
        return fmt::format(
            "{} scored {:.4f} s (first token {:.4f}, over target {:.4f}, link delay {:.4f}, link cost "
            "{:.4f}, price {:.4f}, reclaim risk {:.4f}, interference {:.4f}, blocking {:.4f}, refusal {:.4f}, affinity "
            "{:.4f}; {} prompt "
            "tokens cached)",
            scored.upstream.value(), terms.sum(), terms.firstToken, terms.overTarget, terms.linkDelay, terms.linkCost,
            terms.price, terms.reclaimRisk, terms.interference, terms.blocking, terms.refusal, terms.affinity,
            scored.cachedTokens);
    }

    Json stepJson(const RoutingDecision& decision)
    {
        std::string text = "sent to " + describeTerms(decision.chosen) + " in " + decision.zone.value() + ", version "
            + decision.version.value();
        for (const ScoredUpstream& other : decision.runnersUp)
            text += "; next best " + describeTerms(other);
        return { { "timeMicros", 0 }, { "kind", "routing" }, { "text", text } };
    }

} // namespace

HttpReply statusReply(const AdminContext& context)
{
    const Node& node = context.node;
    Json body { { "node", context.settings.node }, { "instance", node.settings().self.id.value() },
        { "region", context.settings.region.value() }, { "zone", context.settings.zone.value() },
        { "state", stateName(node) }, { "uptimeMs", milliseconds(context.uptime) } };
    body["configuration"] = configurationJson(context);
    body["platform"] = { { "reachable", node.slotOwner().storeAvailable() }, { "unreachableMs", 0 } };
    body["requests"] = { { "open", node.openRequests() }, { "queued", node.queuedRequests() } };
    body["services"] = Json::array();
    if (const auto configuration = node.configuration()) {
        const auto statuses = node.router().statuses(context.now);
        for (const ServiceConfiguration& service : configuration->services)
            body["services"].push_back(serviceJson(service, statuses, node.move(service.name)));
    }
    return jsonReply(statusOk, body);
}

HttpReply nodesReply(const AdminContext& context)
{
    Json members = Json::array();
    for (const Member& member : context.node.membership().members()) {
        const bool self = member.id == context.node.settings().self.id;
        members.push_back(
            { { "node", nodeName(member.id) }, { "instance", member.id.value() }, { "zone", member.zone.value() },
                { "state", memberStateName(member.state) }, { "incarnation", member.incarnation },
                { "adminAddress", self ? formatSocketAddress(context.settings.admin) : std::string() },
                { "configurationVersion", self ? context.node.configurationVersion() : 0 } });
    }
    return jsonReply(statusOk, { { "node", context.settings.node }, { "members", members } });
}

HttpReply traceReply(const AdminContext& context)
{
    if (!context.trace)
        return notFoundReply("this node has no trace with this id");
    const auto spans = context.spans.find(*context.trace);
    if (spans.empty())
        return notFoundReply("this node has no trace with this id");
    Json body { { "node", context.settings.node }, { "traceId", context.trace->value() }, { "spans", Json::array() } };
    for (const Span& span : spans)
        body["spans"].push_back(toJson(span));
    return jsonReply(statusOk, body);
}

HttpReply explainReply(const AdminContext& context, const RequestId& request)
{
    const auto decisions = context.node.decisions(request);
    if (decisions.empty())
        return notFoundReply("this node remembers no decision about this request");
    Json body { { "node", context.settings.node }, { "requestId", request.value() },
        { "traceId", context.trace ? context.trace->value() : std::string() },
        { "service", decisions.front().service.value() }, { "steps", Json::array() } };
    for (const RoutingDecision& decision : decisions)
        body["steps"].push_back(stepJson(decision));
    return jsonReply(statusOk, body);
}

HttpReply drainReply(const AdminContext& context)
{
    return jsonReply(statusAccepted,
        { { "node", context.settings.node }, { "state", "draining" },
            { "openRequests", context.node.openRequests() } });
}

} // namespace teaselshore
