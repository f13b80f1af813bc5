#include "waiting_requests.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

WaitingRequests::Position WaitingRequests::positionOf(const WaitingRequest& request)
{
    return { request.priority, request.arrivedAt, request.id };
}

void WaitingRequests::add(WaitingRequest request)
{
    Position position = positionOf(request);
    if (!this->positions.emplace(request.id, position).second)
        return;
    std::sort(request.excluded.begin(), request.excluded.end());
    this->expiries.emplace(request.until, request.id);
    this->requests.emplace(std::move(position), std::move(request));
}

void WaitingRequests::remove(const RequestId& id)
{
    const auto position = this->positions.find(id);
    if (position == this->positions.end())
        return;
    const auto request = this->requests.find(position->second);
    this->expiries.erase({ request->second.until, request->second.id });
    this->requests.erase(request);
    this->positions.erase(position);
}

bool WaitingRequests::isHeldUp(const WaitingRequest& request, const WaitingRequest& blocked)
{
    return request.service == blocked.service
        && std::includes(
            request.excluded.begin(), request.excluded.end(), blocked.excluded.begin(), blocked.excluded.end());
}

void WaitingRequests::dispatch(const std::function<bool(const RequestId&)>& trySend)
{
    std::vector<WaitingRequest> blocked;
    for (const RequestId& id : this->ids()) {
        const auto position = this->positions.find(id);
        if (position == this->positions.end())
            continue;
        WaitingRequest request = this->requests.at(position->second);
        const bool isHeld = std::any_of(
            blocked.begin(), blocked.end(), [&](const WaitingRequest& other) { return isHeldUp(request, other); });
        if (isHeld)
            continue;
        if (!trySend(request.id))
            blocked.push_back(std::move(request));
    }
}

std::vector<RequestId> WaitingRequests::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(this->requests.size());
    for (const auto& [position, request] : this->requests)
        ids.push_back(request.id);
    return ids;
}

std::vector<RequestId> WaitingRequests::expired(Instant now) const
{
    std::vector<RequestId> ids;
    for (const auto& [until, id] : this->expiries) {
        if (until > now)
            break;
        ids.push_back(id);
    }
    return ids;
}

Instant WaitingRequests::nextExpiry() const
{
    return this->expiries.empty() ? Instant::max() : this->expiries.begin()->first;
}

} // namespace teaselshore
