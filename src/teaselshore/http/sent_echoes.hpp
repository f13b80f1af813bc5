#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Values of HttpCall::expectedEcho that were sent over one connection.
///
/// A second reply to a value may come late and looks like the reply to the next request with the same value. So each
/// value may be sent over a connection once. Not thread-safe.
class SentEchoes {
public:
    /// @brief Returns whether the replies to a request with this value can be told from those to all earlier ones.
    bool canDistinguish(std::string_view value) const;
    /// @brief Records that a request with this value is sent; an empty value if it has none.
    void add(std::string_view value);
    std::size_t count() const { return this->sent.size(); }
    /// @brief Returns false once the connection should be replaced: after a request without a value, and after so many
    /// that memory and the time of a look-up would grow.
    bool mayTakeAnother() const;

private:
    std::vector<Fingerprint> sent;
    bool hasUnnamed = false;
};

} // namespace teaselshore
