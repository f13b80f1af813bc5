#include "teaselshore/ctl/request_story.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    std::string textOf(const Json& line, const char* field)
    {
        const auto found = line.find(field);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    /// Names the instance that a line is about; empty if it is about none. The id of an upstream is the name of its
    /// instance and the start of its process.
    std::string instanceOf(const Json& line)
    {
        std::string instance = textOf(line, "instance");
        if (!instance.empty())
            return instance;
        const std::string upstream = textOf(line, "upstream");
        return upstream.substr(0, upstream.find('@'));
    }

} // namespace

RequestStory::RequestStory(std::string request)
    : request(std::move(request))
{
}

void RequestStory::addLine(std::string_view text)
{
    const std::size_t start = text.find('{');
    if (start == std::string_view::npos)
        return;
    Line line { ++this->lastNumber, Json::parse(text.substr(start), nullptr, false) };
    if (!line.content.is_object())
        return;
    Node& node = this->nodes[textOf(line.content, "node")];
    const std::string named = textOf(line.content, "request");
    if (named == this->request) {
        this->addRequestLine(node, line);
        return;
    }
    if (!named.empty())
        return;
    const std::string instance = instanceOf(line.content);
    if (!instance.empty()) {
        node.upstreams[instance] = std::move(line);
        return;
    }
    if (node.isInvolved)
        node.since.push_back(line);
    // Two kinds of the platform's objects may fail apart from each other.
    const std::string kind = textOf(line.content, "message") + textOf(line.content, "kind");
    node.context[kind] = std::move(line);
}

void RequestStory::addRequestLine(Node& node, const Line& line)
{
    if (!std::exchange(node.isInvolved, true)) {
        for (const auto& [kind, context] : node.context)
            this->pick(context);
    }
    for (const Line& context : std::exchange(node.since, {}))
        this->pick(context);
    const auto upstream = node.upstreams.find(instanceOf(line.content));
    if (upstream != node.upstreams.end())
        this->pick(upstream->second);
    this->pick(line);
}

std::vector<Json> RequestStory::lines() const
{
    std::vector<Json> result;
    for (const auto& [number, line] : this->picked)
        result.push_back(line);
    std::stable_sort(result.begin(), result.end(),
        [](const Json& first, const Json& second) { return textOf(first, "time") < textOf(second, "time"); });
    return result;
}

} // namespace teaselshore
