#include "cluster_events.hpp"

#include <utility>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/overloaded.hpp"
#include "teaselshore/configuration/parse.hpp"

namespace teaselshore {

namespace {

    /// Nodes that do not watch the configuration read the host list this many times less often.
    constexpr int relaxedHostListFactor = 15;
    /// A member that missed the report of a crash waits for the end of an isolated retry that is over; after some
    /// periods it has been told again.
    constexpr Duration suspectsPeriod = std::chrono::seconds(1);
    /// Crashes that are told again; a poison request comes back within seconds.
    constexpr Duration recentSuspects = std::chrono::seconds(30);

} // namespace

ClusterEvents::ClusterEvents(NodeState& state, DurableRequests& durable)
    : state(state)
    , durable(durable)
{
}

void ClusterEvents::onMembershipMessage(const MembershipMessage& message, Instant now)
{
    Membership& membership = this->state.membership;
    const auto commands
        = std::visit(Overloaded { [&](const Ping& ping) { return membership.onPing(ping, now); },
                         [&](const PingRequest& request) { return membership.onPingRequest(request, now); },
                         [&](const Ack& ack) { return membership.onAck(ack, now); } },
            message);
    this->execute(commands, now);
}

void ClusterEvents::onConfigurationMessage(const std::string& sender, const ConfigurationMessage& message, Instant now)
{
    ConfigurationDistributor& distributor = this->state.distributor;
    const auto commands = std::visit(
        Overloaded { [&](const ConfigurationDigest& digest) { return distributor.onDigest(sender, digest, now); },
            [&](const ConfigurationRequest& request) { return distributor.onRequest(sender, request, now); },
            [&](const ConfigurationText& text) { return distributor.onText(sender, text, now); } },
        message);
    this->execute(commands, now);
}

void ClusterEvents::onConfigurationRead(ConfigurationRead read, Instant now)
{
    if (this->state.settings.mutations.acceptOldConfiguration && read.version < this->state.configurationVersion) {
        std::vector<ConfigurationProblem> problems;
        if (parseConfiguration(read.text, problems))
            this->adopt({ read.version, std::move(read.text) }, now);
        return;
    }
    this->execute(this->state.distributor.onObjectVersion(read.version, std::move(read.text), now), now);
}

void ClusterEvents::onHostList(const HostListRead& read, Instant now)
{
    this->execute(this->state.membership.onHostList(read.entryHosts, now), now);
    if (!read.upstreams.entries.empty())
        this->state.router.onHostList(read.upstreams, now);
}

void ClusterEvents::onTick(Instant now)
{
    this->execute(this->state.membership.onTick(now), now);
    this->execute(this->state.distributor.onTick(now), now);
    this->pollPlatform(now);
    this->repeatSuspects(now);
}

void ClusterEvents::repeatSuspects(Instant now)
{
    if (now < this->nextSuspects)
        return;
    this->nextSuspects = now + suspectsPeriod;
    const std::vector<Member> members = this->state.membership.liveMembers();
    if (members.empty())
        return;
    const Member& member = members[this->state.random.below(members.size())];
    SuspectReports reports { this->state.suspects.reports(now, recentSuspects) };
    if (member.id != this->state.settings.self.id && !reports.reports.empty())
        this->state.commands.emplace_back(SendToPeer { member.address, RequestMessage { std::move(reports) } });
}

void ClusterEvents::leave(Instant now) { this->execute(this->state.membership.onLeave(now), now); }

void ClusterEvents::pollPlatform(Instant now)
{
    const bool watch = this->state.distributor.shouldWatch();
    if (watch != this->watching) {
        this->watching = watch;
        this->state.commands.emplace_back(WatchConfiguration { watch });
    }
    if (now >= this->nextHostList) {
        const Duration period = this->state.settings.hostListPeriod;
        this->nextHostList = now + (watch ? period : period * relaxedHostListFactor);
        this->state.commands.emplace_back(ReadHostList {});
    }
    if (watch && now >= this->nextNotices) {
        this->nextNotices = now + this->state.settings.noticePeriod;
        this->state.commands.emplace_back(ReadNotices {});
    }
}

void ClusterEvents::execute(const std::vector<MembershipCommand>& commands, Instant now)
{
    for (const MembershipCommand& command : commands) {
        std::visit(
            Overloaded {
                [&](const SendPing& send) {
                    this->state.commands.emplace_back(SendToPeer { send.address, MembershipMessage { send.ping } });
                },
                [&](const SendPingRequest& send) {
                    this->state.commands.emplace_back(SendToPeer { send.address, MembershipMessage { send.request } });
                },
                [&](const SendAck& send) {
                    this->state.commands.emplace_back(SendToPeer { send.address, MembershipMessage { send.ack } });
                },
                [&](const MemberChanged& change) { this->onMemberChanged(change, now); } },
            command);
    }
}

void ClusterEvents::onMemberChanged(const MemberChanged& change, Instant now)
{
    const bool live = isLive(change.member);
    const bool wasLive = change.previous == MemberState::Alive || change.previous == MemberState::Suspect;
    this->state.distributor.onMembers(this->state.membership.members());
    if (live == wasLive && change.previous)
        return;

    this->state.log(LogLevel::Info, live ? "member joined" : "member left",
        { { "member", change.member.id.value() }, { "address", change.member.address } });
    if (!live) {
        // A restarted process may already be live at the same address.
        if (!this->state.membership.findLiveAt(change.member.address))
            this->state.commands.emplace_back(ForgetPeer { change.member.address });
        this->state.onMemberDead(change.member.id, now);
        this->durable.handle(MemberDead { change.member.id }, now);
        return;
    }
    this->durable.handle(MemberAlive { change.member.id }, now);
    SuspectReports reports { this->state.suspects.reports(now) };
    if (!reports.reports.empty())
        this->state.commands.emplace_back(SendToPeer { change.member.address, RequestMessage { std::move(reports) } });
}

void ClusterEvents::execute(const std::vector<ConfigurationCommand>& commands, Instant now)
{
    for (const ConfigurationCommand& command : commands) {
        std::visit(
            Overloaded { [&](const SendDigest& send) {
                            this->state.commands.emplace_back(
                                SendToPeer { send.address, ConfigurationMessage { send.digest } });
                        },
                [&](const RequestConfiguration& send) {
                    this->state.commands.emplace_back(
                        SendToPeer { send.address, ConfigurationMessage { send.request } });
                },
                [&](const SendConfiguration& send) {
                    this->state.commands.emplace_back(SendToPeer { send.address, ConfigurationMessage { send.text } });
                },
                [&](const AdoptConfiguration& adopted) { this->adopt(adopted, now); },
                [&](const ReportInvalid& report) {
                    this->state.refusedConfiguration = report;
                    this->state.log(LogLevel::Error, "configuration refused; the last valid one stays in effect",
                        { { "version", std::to_string(report.version) }, { "reason", report.reason } });
                } },
            command);
    }
}

void ClusterEvents::adopt(const AdoptConfiguration& adopted, Instant now)
{
    TEASELSHORE_ASSERT(
        adopted.version > this->state.configurationVersion || this->state.settings.mutations.acceptOldConfiguration,
        "a configuration may only be replaced by a newer one");
    this->state.configuration = this->state.takeConfiguration(adopted.text);
    this->state.configurationVersion = adopted.version;
    // A notice may be about an address that only this configuration names.
    this->nextNotices = now;
    this->state.refusedConfiguration.reset();
    this->state.router.onConfiguration(*this->state.configuration, now);
    this->state.admission.onConfiguration(*this->state.configuration, now);
    this->state.refreshCapacity(now);
    this->state.log(LogLevel::Info, "configuration in effect",
        { { "version", std::to_string(adopted.version) }, { "note", this->state.configuration->revisionNote } });
}

} // namespace teaselshore
