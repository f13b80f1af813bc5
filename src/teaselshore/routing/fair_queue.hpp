#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "teaselshore/routing/admission_controller.hpp"

namespace teaselshore {

/// @brief Waiting requests of one service and priority, ordered by weighted fair queueing over workspaces.
///
/// Start-time fair queueing: each workspace has a finish tag that advances by cost / share with each request it starts.
/// The workspace whose next request has the smallest start tag goes first. A workspace that was idle resumes at the
/// virtual time of the queue, so it neither waits for the backlog of the others nor accumulates credit.
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

    /// @brief Advances the tags for a request that starts, with or without having waited.
    void recordStart(const AdmissionRequest& request);

    /// @brief Returns the estimated number of requests that start before the one at the given position of its
    /// workspace's queue.
    double requestsAhead(const WorkspaceName& workspace, std::size_t position) const;

    /// @brief Removes and returns the requests for which isExpired(request, requestsAhead) is true.
    template <typename IsExpired> std::vector<AdmissionRequest> removeExpired(IsExpired isExpired);

    /// @brief Recomputes the sum of the active shares after the shares have changed.
    void onSharesChanged();

    /// @brief Removes idle workspaces whose finish tag no longer affects their next start tag.
    void prune();

private:
    struct Flow {
        double finishTag = 0;
        /// Start tag of the first request, under which the workspace is listed in byStartTag.
        double headStartTag = 0;
        std::list<AdmissionRequest> requests;
    };

    double shareOf(const WorkspaceName& workspace) const;
    void activate(const WorkspaceName& workspace, Flow& flow);
    void deactivate(const WorkspaceName& workspace, Flow& flow);

    const Shares& shares;
    std::map<WorkspaceName, Flow> flows;
    /// Workspaces with waiting requests, ordered by start tag.
    std::set<std::pair<double, WorkspaceName>> byStartTag;
    double virtualTime = 0;
    double activeShareSum = 0;
    std::size_t waiting = 0;
};

template <typename IsExpired> std::vector<AdmissionRequest> FairQueue::removeExpired(IsExpired isExpired)
{
    std::vector<AdmissionRequest> removed;
    for (auto& [workspace, flow] : this->flows) {
        if (flow.requests.empty())
            continue;
        std::size_t position = 0;
        for (auto request = flow.requests.begin(); request != flow.requests.end();) {
            if (!isExpired(*request, this->requestsAhead(workspace, position))) {
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
