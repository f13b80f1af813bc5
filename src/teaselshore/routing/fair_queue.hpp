#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "teaselshore/routing/admission_controller.hpp"

namespace teaselshore {

/// @brief Waiting requests of one service and priority, in the order of weighted fair queueing over workspaces.
///
/// Start-time fair queueing: each workspace has a finish tag that advances by cost / share with each request it starts;
/// the workspace whose next request has the smallest start tag goes first. A workspace that was idle starts at the
/// virtual time of the queue, so it neither waits for the others' backlog nor saves up credit.
class FairQueue {
public:
    using Shares = std::map<WorkspaceName, double>;

    explicit FairQueue(const Shares& shares);

    bool empty() const { return this->waiting == 0; }
    std::size_t size() const { return this->waiting; }
    std::size_t sizeOf(const WorkspaceName& workspace) const;

    void push(const AdmissionRequest& request, bool atHead);
    std::optional<AdmissionRequest> pop();
    bool erase(const WorkspaceName& workspace, const RequestId& request);

    /// @brief Counts a request that starts without waiting.
    void start(const AdmissionRequest& request);

    /// @brief Returns how many requests of this queue start before the one at the position in its workspace's queue.
    double ahead(const WorkspaceName& workspace, std::size_t position) const;

    /// @brief Removes the requests for which late(request, ahead) is true and returns them.
    template <typename Late> std::vector<AdmissionRequest> removeLate(Late late);

    /// @brief Takes over changed shares.
    void onSharesChanged();

    /// @brief Forgets idle workspaces whose past no longer matters.
    void prune();

private:
    struct Flow {
        double finish = 0;
        /// Start tag of the head, as it stands in order.
        double headStart = 0;
        std::list<AdmissionRequest> requests;
    };

    double shareOf(const WorkspaceName& workspace) const;
    void activate(const WorkspaceName& workspace, Flow& flow);
    void deactivate(const WorkspaceName& workspace, Flow& flow);

    const Shares& shares;
    std::map<WorkspaceName, Flow> flows;
    /// Workspaces with waiting requests, by start tag.
    std::set<std::pair<double, WorkspaceName>> order;
    double virtualTime = 0;
    double activeShares = 0;
    std::size_t waiting = 0;
};

template <typename Late> std::vector<AdmissionRequest> FairQueue::removeLate(Late late)
{
    std::vector<AdmissionRequest> removed;
    for (auto& [workspace, flow] : this->flows) {
        if (flow.requests.empty())
            continue;
        std::size_t position = 0;
        for (auto request = flow.requests.begin(); request != flow.requests.end();) {
            if (!late(*request, this->ahead(workspace, position))) {
                position++;
                ++request;
                continue;
            }
            removed.push_back(std::move(*request));
            request = flow.requests.erase(request);
            this->waiting--;
        }
        if (flow.requests.empty())
            this->deactivate(workspace, flow);
    }
    return removed;
}

} // namespace teaselshore
