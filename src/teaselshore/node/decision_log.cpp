#include "teaselshore/node/decision_log.hpp"

namespace teaselshore {

void DecisionLog::add(const RequestId& request, const RoutingDecision& decision)
{
    const auto [position, added] = this->decisions.try_emplace(request);
    position->second.push_back(decision);
    if (!added)
        return;
    this->order.push_back(request);
    if (this->order.size() <= maxRequests)
        return;
    this->decisions.erase(this->order.front());
    this->order.pop_front();
}

std::vector<RoutingDecision> DecisionLog::find(const RequestId& request) const
{
    const auto found = this->decisions.find(request);
    return found == this->decisions.end() ? std::vector<RoutingDecision> {} : found->second;
}

} // namespace teaselshore
