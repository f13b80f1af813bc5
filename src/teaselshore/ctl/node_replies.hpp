#pragma once

#include <optional>
#include <string>
#include <vector>

#include <fmt/ostream.h>

#include "teaselshore/ctl/run_command.hpp"

namespace teaselshore {

/// @brief What one node answered.
template <typename T> struct NodeReply {
    /// Admin address of the node.
    std::string address;
    /// Set if the node gave a usable reply with status 200 or 202.
    std::optional<T> value;
    /// Reply as received, for JSON output.
    std::string body;
    /// Why there is no value; empty if there is one, or if the node replied that it does not know the id.
    std::string failure;
};

/// @brief Sends the request to all nodes at the same time and parses the replies.
template <typename T>
std::vector<NodeReply<T>> askNodes(CommandContext& context, const std::vector<std::string>& nodes,
    const std::string& method, const std::string& path, std::optional<T> (*parse)(std::string_view),
    const std::string& body = {})
{
    std::vector<HttpCall> calls;
    calls.reserve(nodes.size());
    for (const std::string& node : nodes)
        calls.push_back(makeCall(node, method, path, body));
    std::vector<FetchResult> results = context.fetcher.fetch(calls);

    std::vector<NodeReply<T>> replies;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        NodeReply<T> reply { nodes[index], std::nullopt, {}, {} };
        if (const auto* error = std::get_if<HttpError>(&results[index])) {
            reply.failure = describe(*error);
            replies.push_back(std::move(reply));
            continue;
        }
        auto& http = std::get<HttpReply>(results[index]);
        if (http.status == 200 || http.status == 202)
            reply.value = parse(http.body);
        if (!reply.value && http.status != 404)
            reply.failure = http.status < 300 ? "malformed reply" : fmt::format("replied with status {}", http.status);
        reply.body = std::move(http.body);
        replies.push_back(std::move(reply));
    }
    return replies;
}

/// @brief Prints one line for each node without a usable reply; returns whether there was one.
template <typename T> bool printFailures(const std::vector<NodeReply<T>>& replies, CommandContext& context)
{
    bool failed = false;
    for (const NodeReply<T>& reply : replies) {
        if (reply.failure.empty())
            continue;
        failed = true;
        fmt::print(context.error, "node {}: {}\n", reply.address, reply.failure);
    }
    return failed;
}

/// @brief Tells whether an id can stand in a path: letters, digits, '.', '_' and '-'.
bool isPathSegment(const std::string& id);

} // namespace teaselshore
