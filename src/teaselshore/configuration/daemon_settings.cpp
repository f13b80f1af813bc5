#include "teaselshore/configuration/daemon_settings.hpp"

#include "yaml_fields.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t maxSettingsBytes = 100'000;
    constexpr std::size_t maxTextBytes = 256;
    constexpr NumberRange portRange { 1, 65'535 };
    constexpr NumberRange ratioRange { 0, 1 };
    constexpr NumberRange shortMilliseconds { 1, 60'000 };
    constexpr NumberRange longMilliseconds { 1, 3'600'000 };
    constexpr NumberRange failureRange { 1, 1000 };
    constexpr NumberRange bodyBytesRange { 1024, 64.0 * 1024 * 1024 };
    constexpr NumberRange pendingBytesRange { 1024, 16.0 * 1024 * 1024 };
    constexpr NumberRange openRequestsRange { 1, 1'000'000 };
    /// The slot map has 1024 slots, so that more owners would own nothing.
    constexpr NumberRange ownersRange { 1, 1024 };
    /// The platform accepts several hundred writes and about 2,000 reads a second.
    constexpr NumberRange writesRange { 1, 500 };
    constexpr NumberRange callsRange { 0.1, 2000 };
    constexpr NumberRange burstRange { 1, 10'000 };

    class SettingsReader {
    public:
        DaemonSettings read(const YamlCursor& root)
        {
            YamlFields fields(root);
            this->readNode(fields);
            this->readAddresses(fields);
            this->readLogLevel(fields);
            this->readSections(fields);
            fields.finish();
            return std::move(this->result);
        }

    private:
        void readNode(YamlFields& fields)
        {
            Name<struct NodeNameTag> node;
            fields.name("node", node, Presence::Required);
            this->result.node = node.value();
            fields.name("region", this->result.region, Presence::Required);
            fields.name("zone", this->result.zone, Presence::Required);
        }

        void readAddresses(YamlFields& fields)
        {
            UniqueValues<SocketAddress> unique("address");
            this->result.listen = readListener(fields, "listen", "127.0.0.1", unique);
            this->result.admin = readListener(fields, "admin", this->result.listen.address, unique);
            this->result.peer = readListener(fields, "peer", this->result.listen.address, unique);

            const std::optional<YamlCursor> field = fields.find("platform", Presence::Required);
            const std::optional<std::string> text = field ? field->text(maxTextBytes) : std::nullopt;
            if (!text)
                return;
            if (const std::optional<SocketAddress> address = parseSocketAddress(*text))
                this->result.platform = *address;
            else
                field->report(
                    fmt::format("must be an IPv4 address and port such as '127.0.0.1:20000', is {}", quoted(*text)));
        }

        static SocketAddress readListener(YamlFields& fields, std::string_view key, const std::string& defaultAddress,
            UniqueValues<SocketAddress>& unique)
        {
            SocketAddress listener { defaultAddress, 0 };
            const std::optional<YamlCursor> section = fields.find(key, Presence::Required);
            if (!section)
                return listener;
            YamlFields listenerFields(*section);
            listenerFields.text("address", listener.address);
            if (const std::optional<YamlCursor> address = listenerFields.find("address");
                address && !isIpv4Address(listener.address))
                address->report(fmt::format("must be an IPv4 address, is {}", quoted(listener.address)));
            listenerFields.integer("port", listener.port, portRange, Presence::Required);
            listenerFields.finish();
            if (listener.port != 0)
                unique.add(listener, *section, formatSocketAddress(listener));
            return listener;
        }

        void readLogLevel(YamlFields& fields)
        {
            const std::optional<YamlCursor> field = fields.find("log-level");
            const std::optional<std::string> text = field ? field->text(maxTextBytes) : std::nullopt;
            if (!text)
                return;
            if (const std::optional<LogLevel> level = parseLogLevel(*text))
                this->result.logLevel = *level;
            else
                field->report(fmt::format("must be debug, info, warning or error, is {}", quoted(*text)));
        }

        void readSections(YamlFields& fields)
        {
            this->section(fields, "retries", &SettingsReader::readRetries);
            this->section(fields, "circuit-breaker", &SettingsReader::readCircuitBreaker);
            this->section(fields, "timeouts", &SettingsReader::readTimeouts);
            this->section(fields, "limits", &SettingsReader::readLimits);
            this->section(fields, "membership", &SettingsReader::readMembership);
            this->section(fields, "journal", &SettingsReader::readJournal);
            this->section(fields, "platform-budget", &SettingsReader::readPlatformBudget);
        }

        void section(YamlFields& fields, std::string_view key, void (SettingsReader::*read)(YamlFields&))
        {
            const std::optional<YamlCursor> field = fields.find(key);
            if (!field)
                return;
            YamlFields sectionFields(*field);
            (this->*read)(sectionFields);
            sectionFields.finish();
        }

        void readRetries(YamlFields& fields)
        {
            RetrySettings& retries = this->result.retries;
            fields.number("budget-ratio", retries.budgetRatio, ratioRange);
            fields.milliseconds("backoff-base-ms", retries.backoffBase, shortMilliseconds);
            fields.milliseconds("backoff-cap-ms", retries.backoffCap, shortMilliseconds);
            if (retries.backoffCap < retries.backoffBase)
                fields.cursor().report("backoff-cap-ms must not be below backoff-base-ms");
        }

        void readCircuitBreaker(YamlFields& fields)
        {
            fields.integer("failures", this->result.circuitBreaker.failures, failureRange);
            fields.milliseconds("open-ms", this->result.circuitBreaker.openTime, shortMilliseconds);
        }

        void readTimeouts(YamlFields& fields)
        {
            fields.milliseconds("connect-ms", this->result.timeouts.connect, shortMilliseconds);
            fields.milliseconds("idle-ms", this->result.timeouts.idle, longMilliseconds);
            fields.milliseconds("drain-ms", this->result.timeouts.drain, longMilliseconds);
        }

        void readLimits(YamlFields& fields)
        {
            fields.integer("max-body-bytes", this->result.limits.maxBodyBytes, bodyBytesRange);
            fields.integer("max-open-requests", this->result.limits.maxOpenRequests, openRequestsRange);
            fields.integer("max-pending-stream-bytes", this->result.limits.maxPendingStreamBytes, pendingBytesRange);
        }

        void readMembership(YamlFields& fields)
        {
            MembershipSection& membership = this->result.membership;
            fields.milliseconds("probe-period-ms", membership.probePeriod, shortMilliseconds);
            fields.milliseconds("probe-timeout-ms", membership.probeTimeout, shortMilliseconds);
            fields.milliseconds("suspicion-ms", membership.suspicionTime, longMilliseconds);
            // Direct and indirect probe must both fit into one period.
            if (membership.probeTimeout * 2 > membership.probePeriod)
                fields.cursor().report("probe-timeout-ms must be at most half of probe-period-ms");
            if (membership.suspicionTime < membership.probePeriod)
                fields.cursor().report("suspicion-ms must not be below probe-period-ms");
        }

        void readJournal(YamlFields& fields)
        {
            fields.integer("max-owners", this->result.journal.maxOwners, ownersRange);
            fields.number("writes-per-second", this->result.journal.writesPerSecond, writesRange);
        }

        void readPlatformBudget(YamlFields& fields)
        {
            fields.number("calls-per-second", this->result.platformBudget.callsPerSecond, callsRange);
            fields.integer("burst", this->result.platformBudget.burst, burstRange);
        }

        DaemonSettings result;
    };

} // namespace

std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, std::vector<ConfigurationProblem>& problems)
{
    ProblemList list;
    std::optional<DaemonSettings> settings;
    if (const std::optional<YamlNode> root = parseYaml(text, maxSettingsBytes, list))
        settings = SettingsReader().read(YamlCursor(*root, "", list));
    if (list.empty())
        return settings;
    list.appendTo(problems);
    return std::nullopt;
}

} // namespace teaselshore
