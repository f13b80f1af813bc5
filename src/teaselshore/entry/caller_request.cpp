#include "teaselshore/entry/caller_request.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Maximum number of prompt parts per request whose crashes are recorded.
    constexpr std::size_t maxRecordedParts = 64;

} // namespace

Fingerprint contentFingerprint(const CallerRequest& request, const std::optional<WorkspaceName>& workspace)
{
    return fingerprint(
        { workspace ? workspace->value() : std::string(), request.host, request.path, request.body.text() });
}

std::vector<Fingerprint> crashKeys(const CallerRequest& request, const std::optional<WorkspaceName>& workspace)
{
    std::vector<Fingerprint> keys { contentFingerprint(request, workspace) };
    const Fingerprint partDomain = fingerprint("prompt part");
    const std::size_t sharedParts = request.parts.empty() ? 0 : request.parts.size() - 1;
    for (std::size_t index = 0; index < std::min(sharedParts, maxRecordedParts); ++index)
        keys.push_back(combine(partDomain, request.parts[index].id));
    return keys;
}

} // namespace teaselshore
