#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace teaselshore {

/// @brief Error of a call to the platform's APIs.
struct PlatformError {
    enum class Kind {
        /// The condition of a write did not hold; currentVersion is set if the platform told it.
        Conflict,
        /// No such object, host or offer.
        NotFound,
        /// The platform permanently refuses the call as it is.
        Rejected,
        /// A host start was refused for lack of capacity; nothing was started.
        StartRefused,
        /// The call certainly had no effect, or it was a read whose answer did not arrive. It can be repeated.
        Unavailable,
        /// A write may have taken effect, or may do so later.
        OutcomeUnknown,
        /// A read was answered with something that cannot be understood.
        MalformedReply,
    };

    Kind kind = Kind::Unavailable;
    std::string detail;
    std::optional<std::uint64_t> currentVersion;

    auto operator<=>(const PlatformError&) const = default;
};

} // namespace teaselshore
