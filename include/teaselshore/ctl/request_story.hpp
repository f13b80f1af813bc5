#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace teaselshore {

/// @brief Picks from logs what explains one request: its own lines, and what its nodes believed meanwhile.
///
/// That is, for each node with a line about the request: the last line of each kind about the node itself
/// (configuration, platform, readiness) before the request and all until its end, and the last change of each upstream
/// that it was sent to. Lines of one node must come in their order; the lines of several nodes may be mixed. Takes one
/// pass and keeps only the last line of each kind. Not thread-safe.
class RequestStory {
public:
    explicit RequestStory(std::string request);

    /// @brief Takes one line. What precedes the JSON object, such as a collector's prefix, is ignored.
    void addLine(std::string_view line);

    /// @brief Returns the picked lines by time; empty if no line names the request.
    std::vector<nlohmann::json> lines() const;

private:
    struct Line {
        /// Number of the line, which orders lines of the same time.
        std::size_t number = 0;
        nlohmann::json content;
    };
    struct Node {
        /// Last line of each kind about the node itself.
        std::map<std::string, Line> context;
        /// Lines about the node itself since the last one about the request.
        std::vector<Line> since;
        /// Last line about each upstream, by the name of its instance.
        std::map<std::string, Line> upstreams;
        bool isInvolved = false;
    };

    void addRequestLine(Node& node, const Line& line);
    void pick(const Line& line) { this->picked.emplace(line.number, line.content); }

    std::string request;
    std::size_t lastNumber = 0;
    std::map<std::string, Node> nodes;
    std::map<std::size_t, nlohmann::json> picked;
};

} // namespace teaselshore
