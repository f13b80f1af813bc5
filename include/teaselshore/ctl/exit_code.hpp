#pragma once

namespace teaselshore {

/// @brief Exit codes of teaselshorectl; part of its interface, see docs/operators-guide.md.
enum class ExitCode {
    Ok = 0,
    ProblemsInText = 1,
    Usage = 2,
    /// The platform or a node gave no usable reply.
    Unreachable = 3,
    /// Another revision is in force than the one that the change was based on.
    LostRace = 4,
    WaitTimedOut = 5,
    /// No node that replied knows the node, request, trace or route.
    NotFound = 6,
    /// No node that replied knows the caller's key.
    KeyUnknown = 7,
};

} // namespace teaselshore
