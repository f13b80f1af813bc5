#include "fair_queue.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    constexpr double defaultShare = 1;
    constexpr double minimumShare = 1e-3;

} // namespace

FairQueue::FairQueue(const Shares& shares)
    : shares(shares)
{
}

std::size_t FairQueue::sizeOf(const WorkspaceName& workspace) const
{
    const auto found = this->flows.find(workspace);
    return found == this->flows.end() ? 0 : found->second.requests.size();
}

void FairQueue::push(const AdmissionRequest& request, bool atHead)
{
    Flow& flow = this->flows[request.workspace];
    if (atHead)
        flow.requests.push_front(request);
    else
        flow.requests.push_back(request);
    this->waiting++;
    if (flow.requests.size() == 1)
        this->activate(request.workspace, flow);
}

std::optional<AdmissionRequest> FairQueue::pop()
{
    if (this->byStartTag.empty())
        return std::nullopt;
    const WorkspaceName workspace = this->byStartTag.begin()->second;
    Flow& flow = this->flows[workspace];
    this->deactivate(workspace, flow);
    AdmissionRequest request = std::move(flow.requests.front());
    flow.requests.pop_front();
    this->waiting--;
    this->recordStart(request);
    if (!flow.requests.empty())
        this->activate(workspace, flow);
    return request;
}

bool FairQueue::erase(const WorkspaceName& workspace, const RequestId& request)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end())
        return false;
    Flow& flow = found->second;
    const auto position = std::find_if(flow.requests.begin(), flow.requests.end(),
        [&](const AdmissionRequest& candidate) { return candidate.request == request; });
    if (position == flow.requests.end())
        return false;
    flow.requests.erase(position);
    this->waiting--;
    if (flow.requests.empty())
        this->deactivate(workspace, flow);
    return true;
}

void FairQueue::recordStart(const AdmissionRequest& request)
{
    Flow& flow = this->flows[request.workspace];
    const double startTag = std::max(this->virtualTime, flow.finishTag);
    this->virtualTime = startTag;
    flow.finishTag = startTag + request.cost / this->shareOf(request.workspace);
}

double FairQueue::requestsAhead(const WorkspaceName& workspace, std::size_t position) const
{
    const double share = this->shareOf(workspace);
    const double totalShares = this->activeShareSum + (this->sizeOf(workspace) == 0 ? share : 0);
    const double others = static_cast<double>(this->waiting - std::min(this->waiting, this->sizeOf(workspace)));
    const double othersByShare = static_cast<double>(position + 1) * (totalShares - share) / share;
    return static_cast<double>(position) + std::min(others, othersByShare);
}

void FairQueue::onSharesChanged()
{
    this->activeShareSum = 0;
    for (const auto& [workspace, flow] : this->flows) {
        if (!flow.requests.empty())
            this->activeShareSum += this->shareOf(workspace);
    }
}

void FairQueue::prune()
{
    std::erase_if(this->flows, [&](const auto& entry) {
        return entry.second.requests.empty() && entry.second.finishTag <= this->virtualTime;
    });
}

double FairQueue::shareOf(const WorkspaceName& workspace) const
{
    const auto found = this->shares.find(workspace);
    return found == this->shares.end() ? defaultShare : std::max(minimumShare, found->second);
}

void FairQueue::activate(const WorkspaceName& workspace, Flow& flow)
{
    flow.headStartTag = std::max(this->virtualTime, flow.finishTag);
    this->byStartTag.emplace(flow.headStartTag, workspace);
    this->activeShareSum += this->shareOf(workspace);
}

void FairQueue::deactivate(const WorkspaceName& workspace, Flow& flow)
{
    this->byStartTag.erase({ flow.headStartTag, workspace });
    this->activeShareSum -= this->shareOf(workspace);
}

} // namespace teaselshore
