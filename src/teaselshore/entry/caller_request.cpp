#include "teaselshore/entry/caller_request.hpp"

namespace teaselshore {

Fingerprint contentFingerprint(const CallerRequest& request, const std::optional<WorkspaceName>& workspace)
{
    return fingerprint({ workspace ? workspace->value() : std::string(), request.host, request.path, request.body });
}

} // namespace teaselshore
