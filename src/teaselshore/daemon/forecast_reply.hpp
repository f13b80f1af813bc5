#pragma once

#include <string>
#include <string_view>

#include "teaselshore/entry/entry_node.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Answers POST /admin/explain: what the node would do with the request that the JSON body describes.
HttpReply forecastReply(EntryNode& node, const std::string& nodeName, std::string_view body, Instant now);

} // namespace teaselshore
