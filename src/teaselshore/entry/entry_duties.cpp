#include "entry_duties.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view dutiesLease = "duties";
    /// Number of nodes that compete for the lease; more would only add reads.
    constexpr std::size_t maxContenders = 3;
    /// Added to the configured time within which one holder may follow another.
    constexpr Duration leaseExtension = std::chrono::seconds(1);
    constexpr Duration leaseMargin = std::chrono::seconds(1);
    constexpr Duration leaseRenewPeriod = std::chrono::milliseconds(1200);
    constexpr Duration leaseReadPeriod = std::chrono::seconds(2);
    /// Delay of the reports after the end of a window, and the interval over which they are spread by host.
    constexpr Duration reportDelay = std::chrono::milliseconds(150);
    constexpr Duration reportSpread = std::chrono::milliseconds(700);
    /// Delay of the reads after the end of a window.
    constexpr Duration readDelay = std::chrono::milliseconds(1100);
    /// Time after the end of a window at which all nodes set their shares from the reports read.
    constexpr Duration shareDelay = std::chrono::milliseconds(2200);
    constexpr Duration holderReadPeriod = std::chrono::milliseconds(1500);
    /// Period of reports and reads during a rollout, whose decisions cannot wait for the end of a window.
    constexpr Duration rolloutPeriod = std::chrono::seconds(1);
    constexpr Duration readTimeout = std::chrono::seconds(3);
    /// Number of report periods without a new report after which a node is no longer live.
    constexpr double livenessPeriods = 2.4;
    /// Number of past windows in a report.
    constexpr std::int64_t keptWindows = 3;
    /// Fraction of its share that a node uses until its first report has been seen, since the others do not know it
    /// yet. The tolerance of the quotas covers 1.5 times as many new nodes as known ones. Meanwhile the node borrows
    /// quota.
    constexpr double newNodeFraction = 0.03;
    /// Number of report periods without a report after which the others take over a node's share: one minute with
    /// windows of 5 s. Until then, disconnected nodes, or all nodes during a platform outage, keep their shares.
    constexpr double shareTimeoutPeriods = 12;
    /// Margin by which a node gives up its share before the others take it over. They may have read its last report
    /// later than the node itself, by the time between two reads plus the spread of the reports.
    constexpr Duration shareMargin = std::chrono::seconds(3);
    /// Fraction of its share that a node uses once the others may have taken it over. The tolerance of the quotas
    /// covers it even if nearly all nodes are disconnected while others join.
    constexpr double silentFraction = 0.03;
    /// Number of peers that are asked to write a report which this node could not write; two, since the platform may
    /// reject several nodes at once.
    constexpr std::size_t relayCount = 2;
    /// Maximum number of nodes to borrow quota from. Each needs an open connection, which takes two of the 4,100 file
    /// descriptors of a small host. A prompt of a third of a workspace's burst needs half of the nodes as lenders.
    constexpr std::size_t maxLenders = 128;

    LeaseSettings leaseSettings(const EntrySettings& host)
    {
        LeaseSettings settings;
        settings.duration = host.leaseLength + leaseExtension;
        settings.margin = leaseMargin;
        settings.renewEvery = leaseRenewPeriod;
        settings.readEvery = leaseReadPeriod;
        settings.callTimeout = std::chrono::seconds(2);
        return settings;
    }

} // namespace

EntryDuties::EntryDuties(EntryState& state, CrashDetector& crashes, LimitExchange& limits)
    : state(state)
    , crashes(crashes)
    , limits(limits)
    , nodes(state.settings.host.node, fromSeconds(livenessPeriods * toSeconds(state.settings.host.usageWindow)))
    , shareTimeout(fromSeconds(shareTimeoutPeriods * toSeconds(state.settings.host.usageWindow)))
    , lease(state.settings.id, ServiceName(std::string(dutiesLease)), leaseSettings(state.settings.host))
    , usageReporter(state, ids)
    , fleetController(state, ids)
    , versionRollouts(state, ids)
{
    this->lease.setContending(false);
}

void EntryDuties::onReports(const std::vector<std::string>& texts, Instant now)
{
    this->isReading = false;
    std::vector<NodeReport> reports;
    for (const std::string& text : texts) {
        if (auto report = NodeReport::decodeHead(text))
            reports.push_back(std::move(*report));
        else
            this->state.log(LogLevel::Warning, "report of a node is malformed", {});
    }
    if (!this->ownUsageRestored) {
        this->ownUsageRestored = true;
        this->usageReporter.onPlatformAnswered(now);
        this->joinedRunningFleet = !reports.empty();
        for (NodeReport& report : reports) {
            if (report.host != this->state.settings.host.node || report.process == this->state.settings.id)
                continue;
            if (!report.decodeDetails())
                this->state.log(LogLevel::Warning, "usage of the earlier process on this host is malformed", {});
            this->state.usage.merge(report.usage);
        }
    }
    // Crashes in reports of hosts that are no longer live count too: after a restart of all nodes there are no others.
    for (const NodeReport& report : reports)
        this->crashes.onCrashes(report.crashes, now);
    this->limits.onNodeReports(reports, now);
    this->nodes.onReports(std::move(reports), now);
    this->state.peerAddresses = this->peers(now);
    std::vector<std::string> relays;
    for (const NodeReport& report : this->nodes.reports(now)) {
        if (report.host != this->state.settings.host.node && !report.relayAddress.empty())
            relays.push_back(report.relayAddress);
    }
    this->state.relays.setPeers(std::move(relays));
    std::vector<std::string> lenders = this->state.peerAddresses;
    lenders.resize(std::min(lenders.size(), maxLenders));
    this->state.borrower.setPeers(std::move(lenders));
    this->isContending = this->nodes.rank(dutiesLease, now) < maxContenders;
    this->lease.setContending(this->isContending);
}

std::vector<std::string> EntryDuties::peers(Instant now) const
{
    std::vector<std::pair<Fingerprint, std::string>> others;
    for (const NodeReport& report : this->nodes.reports(now)) {
        if (report.host != this->state.settings.host.node && !report.peerAddress.empty())
            others.emplace_back(fingerprint({ this->state.settings.host.node, report.host }), report.peerAddress);
    }
    std::sort(others.begin(), others.end());
    std::vector<std::string> addresses;
    addresses.reserve(others.size());
    for (const auto& [hash, address] : others)
        addresses.push_back(address);
    return addresses;
}

void EntryDuties::applyShares(std::int64_t window, Instant now)
{
    this->appliedWindow = window;
    bool isKnownHost = false;
    for (const NodeReport& report : this->nodes.reports(now)) {
        if (report.host != this->state.settings.host.node)
            continue;
        isKnownHost = true;
        if (report.completeWindow >= window)
            this->ownReportSeenAt = now;
    }
    // The others may have taken over the share of a node that has been silent for too long, and do not know a new host
    // yet. The share of a process that has just restarted on a known host is still reserved.
    const bool isSilent = this->ownReportSeenAt && now - *this->ownReportSeenAt > this->shareTimeout - shareMargin;
    const double fraction = isSilent ? silentFraction : this->ownReportSeenAt || isKnownHost ? 1 : newNodeFraction;
    // A silent node reads no reports and keeps its last count of live nodes. If it counted only itself, each
    // disconnected node would use silentFraction of the whole quota.
    if (!isSilent || this->state.liveNodes == 0) {
        std::vector<std::string> hosts = this->nodes.hostsReportedWithin(this->shareTimeout, now);
        this->state.liveNodes = hosts.size();
        // The others do not know a new host yet, and take its turns.
        if (!this->ownReportSeenAt && !isKnownHost)
            hosts.clear();
        this->state.limits.setFleet(std::move(hosts), this->state.settings.host.node,
            this->state.wallClockTime(now).value_or(Duration::zero()));
    }
    const auto liveNodes = static_cast<double>(this->state.liveNodes);
    const double share = fraction / liveNodes;
    if (share != this->quotaShare) {
        this->state.log(LogLevel::Info, "share of the quotas changed",
            { { "share", fmt::format("{:.4f}", share) }, { "previous", fmt::format("{:.4f}", this->quotaShare) },
                { "nodes", std::to_string(this->state.liveNodes) }, { "part", fmt::format("{}", fraction) },
                { "window", std::to_string(window) }, { "silent", isSilent ? "true" : "false" } });
    }
    this->quotaShare = share;
    this->state.quotas.setShare(share, now);
    // In the window before this process started, an earlier process on this host or the other nodes may have used up
    // the whole floor.
    const bool floorIsFree
        = !this->joinedRunningFleet || now - *this->startedAt >= this->state.settings.host.retries.window;
    const bool knowsFloorShare = this->ownReportSeenAt && !isSilent && floorIsFree;
    this->state.setRetryFloorShare(knowsFloorShare ? std::optional(1 / liveNodes) : std::nullopt);
}

std::optional<FencedHolder> EntryDuties::fencedHolder(Instant now) const
{
    const std::optional<std::uint64_t> token = this->lease.fencingToken(now);
    if (!token || token == this->refusedToken)
        return std::nullopt;
    return FencedHolder { this->state.settings.host.node, *token };
}

void EntryDuties::execute(std::vector<ObjectCommand> commands)
{
    for (ObjectCommand& command : commands)
        this->state.commands.emplace_back(CallObjectApi { std::move(command) });
}

void EntryDuties::onObjectResult(const ObjectResult& result, Instant now)
{
    if (this->usageReporter.awaits(result.id))
        this->usageReporter.onObjectResult(result, now);
    else if (this->fleetController.awaits(result.id))
        this->fleetController.onObjectResult(result, now);
    else
        this->execute(this->lease.onResult(result, now, this->ids));
}

void EntryDuties::onCloudResult(const CloudCallEnded& result, Instant now)
{
    if (this->versionRollouts.awaitsCloudCall(result.call)) {
        this->versionRollouts.onCloudResult(result, now);
        return;
    }
    if (this->fleetController.awaitsCloudCall(result.call)) {
        this->fleetController.onCloudResult(result, now);
        return;
    }
    if (!this->usageReporter.awaitsCloudCall(result.call) || this->usageReporter.onCloudResult(result, now))
        return;
    this->refusedToken = this->lease.fencingToken(now);
    this->state.log(LogLevel::Warning,
        "fencing token refused since a newer holder has acted; the fleet's tasks pause until a new lease", {});
}

bool EntryDuties::onTick(Instant now)
{
    if (!this->startedAt)
        this->startedAt = now;
    this->scheduleReports(now);
    this->execute(this->lease.tick(now, this->ids));
    const bool held = this->holdsLease(now);
    if (held != this->state.statistics.holdsLease) {
        this->state.statistics.holdsLease = held;
        this->state.log(LogLevel::Info,
            held ? "lease for the fleet's tasks acquired" : "lease for the fleet's tasks ended",
            { { "fencingToken", std::to_string(this->lease.fencingToken(now).value_or(0)) } });
    }
    const std::optional<FencedHolder> holder = this->fencedHolder(now);
    const RolloutRole role = holder ? RolloutRole::Holder
        : this->isStandby()         ? RolloutRole::Standby
                                    : RolloutRole::None;
    if (const std::size_t malformed = role != RolloutRole::None ? this->nodes.decodeDetails(now) : 0)
        this->state.log(
            LogLevel::Warning, "details of reports are malformed", { { "count", std::to_string(malformed) } });
    const LiveReports reports = role != RolloutRole::None ? this->nodes.reports(now) : LiveReports();
    this->usageReporter.onTick(reports, holder, now);
    this->fleetController.onTick(holder, reports, this->versionRollouts, now);
    return this->versionRollouts.onTick(reports, role, now);
}

Duration EntryDuties::readPeriod(Instant now) const
{
    if (this->versionRollouts.isActive() && (this->holdsLease(now) || this->isStandby()))
        return rolloutPeriod;
    return this->holdsLease(now) ? holderReadPeriod : this->state.settings.host.usageWindow;
}

void EntryDuties::scheduleReports(Instant now)
{
    if (this->isReading && now - this->readStartedAt > readTimeout)
        this->isReading = false;
    // The period may have become shorter since the last read.
    const Instant due = std::min(this->nextRead, this->readStartedAt + this->readPeriod(now));
    if (!this->isReading && now >= due) {
        this->isReading = true;
        this->readStartedAt = now;
        this->nextRead = now + this->readPeriod(now);
        this->state.commands.emplace_back(ReadNodeReports {});
    }
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    // The counts of an earlier process must be restored before its report is overwritten.
    if (!wallClock || !this->ownUsageRestored)
        return;
    const std::int64_t current = this->state.usage.windowAt(*wallClock);
    const Duration sinceStart = *wallClock - current * this->state.settings.host.usageWindow;
    // All nodes apply the shares of a round of reports at the same time, including those that could not read it.
    const bool sharesDue = sinceStart >= shareDelay && this->appliedWindow != current - 1;
    if (this->nodes.hasReports() && (sharesDue || this->state.liveNodes == 0))
        this->applyShares(current - 1, now);
    const Fingerprint hostHash = fingerprint(this->state.settings.host.node);
    const Duration delay = reportDelay + Duration(static_cast<Duration::rep>(hostHash % reportSpread.count()));
    const bool rolloutDue = this->versionRollouts.isActive() && now - this->reportedAt >= rolloutPeriod;
    const bool windowDue = this->reportedWindow != current - 1 && (!this->reportedWindow || sinceStart >= delay);
    const bool suspectsDue = this->reportedWindow && this->crashes.takeReportDue();
    if (!windowDue && !rolloutDue && !suspectsDue)
        return;
    if (windowDue)
        this->reportedWindow = current - 1;
    this->writeReport(now, windowDue);
    if (!windowDue)
        return;
    // The next read comes after all nodes have written their reports.
    this->nextRead = std::min(this->nextRead, now + std::max(Duration(0), readDelay - sinceStart));
}

void EntryDuties::writeLastReport(Instant now)
{
    // Before the first report, the counts of an earlier process may still have to be restored.
    if (this->reportedWindow)
        this->writeReport(now, false);
}

void EntryDuties::writeReport(Instant now, bool endsWindow)
{
    this->reportedAt = now;
    NodeReport report;
    report.host = this->state.settings.host.node;
    report.process = this->state.settings.id;
    if (this->state.settings.host.peers)
        report.peerAddress = formatSocketAddress(*this->state.settings.host.peers);
    if (this->state.settings.host.relays)
        report.relayAddress = formatSocketAddress(*this->state.settings.host.relays);
    report.number = ++this->reportNumber;
    report.completeWindow = *this->reportedWindow;
    this->state.usage.dropBefore(*this->reportedWindow - keptWindows);
    report.usage = this->state.usage.windows();
    if (endsWindow) {
        this->serviceDemand = this->state.demand.takeRates(now);
    }
    report.demand = this->serviceDemand;
    report.versions = this->versionRollouts.reports();
    report.crashes = this->crashes.reportedCrashes();
    report.limits = this->limits.statements(now);
    this->lastReport = report.encode();
    this->state.commands.emplace_back(WriteNodeReport { report.host, this->lastReport });
}

void EntryDuties::onReportWritten(const NodeReportWritten& result)
{
    if (result.written)
        return;
    const std::vector<std::string> relays = this->state.borrower.samplePeers(relayCount);
    this->state.log(LogLevel::Warning, "report of this node could not be written",
        { { "number", std::to_string(this->reportNumber) }, { "reason", result.reason },
            { "relays", std::to_string(relays.size()) } });
    for (const std::string& address : relays)
        this->state.commands.emplace_back(SendEntryMessage { address, RelayedReport { this->lastReport } });
}

void EntryDuties::onRelayed(const RelayedReport& relayed)
{
    const auto report = NodeReport::decode(relayed.report);
    if (!report || report->host == this->state.settings.host.node) {
        this->state.log(LogLevel::Warning, "relayed report is malformed or from this node", {});
        return;
    }
    this->state.commands.emplace_back(WriteNodeReport { report->host, relayed.report });
}

} // namespace teaselshore
