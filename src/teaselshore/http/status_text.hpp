#pragma once

namespace teaselshore {

/// @brief Returns the reason phrase of an HTTP status code.
const char* statusText(int status);

} // namespace teaselshore
