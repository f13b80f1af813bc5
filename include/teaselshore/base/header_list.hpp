#pragma once

#include <string>
#include <utility>
#include <vector>

namespace teaselshore {

/// @brief Header fields of a request or response in decision code: lower-case name and value.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

} // namespace teaselshore
