#include "fair_queue.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    constexpr double defaultShare = 1;
    constexpr double smallestShare = 1e-3;

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
    if (this->order.empty())
        return std::nullopt;
    const WorkspaceName workspace = this->order.begin()->second;
    Flow& flow = this->flows[workspace];
    this->deactivate(workspace, flow);
    AdmissionRequest request = std::move(flow.requests.front());
    flow.requests.pop_front();
    this->waiting--;
    this->start(request);
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

void FairQueue::start(const AdmissionRequest& request)
{
    Flow& flow = this->flows[request.workspace];
    const double start = std::max(this->virtualTime, flow.finish);
    this->virtualTime = start;
    flow.finish = start + request.cost / this->shareOf(request.workspace);
}

double FairQueue::ahead(const WorkspaceName& workspace, std::size_t position) const
{
    const double share = this->shareOf(workspace);
    const double all = this->activeShares + (this->sizeOf(workspace) == 0 ? share : 0);
    const double others = static_cast<double>(this->waiting - std::min(this->waiting, this->sizeOf(workspace)));
    const double byShare = static_cast<double>(position + 1) * (all - share) / share;
    return static_cast<double>(position) + std::min(others, byShare);
}

void FairQueue::onSharesChanged()
{
    this->activeShares = 0;
    for (const auto& [workspace, flow] : this->flows) {
        if (!flow.requests.empty())
            this->activeShares += this->shareOf(workspace);
    }
}

void FairQueue::prune()
{
    std::erase_if(this->flows,
        [&](const auto& entry) { return entry.second.requests.empty() && entry.second.finish <= this->virtualTime; });
}

double FairQueue::shareOf(const WorkspaceName& workspace) const
{
    const auto found = this->shares.find(workspace);
    return found == this->shares.end() ? defaultShare : std::max(smallestShare, found->second);
}

void FairQueue::activate(const WorkspaceName& workspace, Flow& flow)
{
    flow.headStart = std::max(this->virtualTime, flow.finish);
    this->order.emplace(flow.headStart, workspace);
    this->activeShares += this->shareOf(workspace);
}

void FairQueue::deactivate(const WorkspaceName& workspace, Flow& flow)
{
    this->order.erase({ flow.headStart, workspace });
    this->activeShares -= this->shareOf(workspace);
}

} // namespace teaselshore
