#include "teaselshore/entry/quota_shares.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Part that the reporting nodes share equally, so that new demand finds some quota everywhere.
    constexpr double equalPart = 0.4;

    double demandOf(const NodeReport& report, const WorkspaceName& workspace)
    {
        const auto found = report.quotaDemand.find(workspace);
        return found == report.quotaDemand.end() ? 0 : found->second;
    }

} // namespace

std::map<WorkspaceName, double> quotaShares(const QuotaShareInput& input, const std::vector<WorkspaceName>& workspaces)
{
    std::map<WorkspaceName, double> shares;
    const double nodes = static_cast<double>(std::max<std::size_t>(1, input.liveNodes));
    std::vector<const NodeReport*> current;
    const NodeReport* own = nullptr;
    for (const NodeReport& report : input.reports) {
        if (report.completeWindow < input.window)
            continue;
        current.push_back(&report);
        if (report.host == input.self)
            own = &report;
    }
    for (const WorkspaceName& workspace : workspaces) {
        if (!own) {
            shares[workspace] = 1 / nodes;
            continue;
        }
        const double reporting = static_cast<double>(current.size());
        const double shared = std::min(1.0, reporting / nodes);
        double all = 0;
        for (const NodeReport* report : current)
            all += demandOf(*report, workspace);
        const double byDemand = all > 0 ? demandOf(*own, workspace) / all : 1 / reporting;
        shares[workspace] = shared * (equalPart / reporting + (1 - equalPart) * byDemand);
    }
    return shares;
}

} // namespace teaselshore
